package relay

import (
	"time"

	"github.com/sirupsen/logrus"

	"kingcupplank.example/kingcup/backends"
)

// Advised is told what a server says of itself in the head of an answer. begun is that of the
// attempt that it answers, 0 if what the answer leaves out says nothing.
func (r *Relay) Advised(s backends.Server, a backends.Signals, begun time.Duration) {
	news := r.Registry.Advised(s, a, begun, r.Now())
	log := r.Log.WithFields(logrus.Fields{"server": s.ID, "born": s.StartTime, "service": s.Service})
	if news.Unreadable {
		log.WithField("headers", a.Unreadable).Warn("server says something of itself that means nothing")
	}
	if news.Leaving {
		log.Info("server says in an answer that it is leaving")
		r.Others.Nudge()
	}
	if news.Rests {
		log.WithField("for_ms", a.Rest.Milliseconds()).Info("server asks for rest")
		r.Others.Nudge()
	}
	switch {
	case news.Limited:
		log.WithField("per_second", a.Limit).Info("server names a limit")
		r.Others.Nudge()
	case news.Lifted:
		log.Info("server names no limit any more")
		r.Others.Nudge()
	}
}
