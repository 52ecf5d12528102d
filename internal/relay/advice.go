package relay

import (
	"time"

	"github.com/sirupsen/logrus"

	"kingcupplank.example/kingcup/backends"
)

// HandleSignals is told what a server says of itself in the head of an answer. begun is that of the
// attempt that it answers, 0 if what the answer leaves out says nothing.
func (r *Relay) HandleSignals(s backends.Server, a backends.Signals, begun time.Duration) {
	news := r.Registry.ApplySignals(s, a, begun, r.Now())
	log := r.Log.WithFields(logrus.Fields{"server": s.ID, "born": s.StartTime, "service": s.Service})
	if news.FirstInvalid {
		log.WithField("headers", a.InvalidHeaders).Warn("server says something of itself that means nothing")
	}
	if news.Leaving {
		log.Info("server says in an answer that it is leaving")
		r.Peers.Notify()
	}
	if news.BackoffStarted {
		log.WithField("for_ms", a.Backoff.Milliseconds()).Info("server asks for rest")
		r.Peers.Notify()
	}
	switch {
	case news.RateLimitSet:
		log.WithField("per_second", a.RateLimit).Info("server names a limit")
		r.Peers.Notify()
	case news.RateLimitRemoved:
		log.Info("server names no limit any more")
		r.Peers.Notify()
	}
}
