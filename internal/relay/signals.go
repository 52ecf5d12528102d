package relay

import (
	"time"

	"github.com/sirupsen/logrus"

	"kingcupplank.example/kingcup/backends"
)

// HandleSignals processes the signals that a server sent about itself in the head of a response.
// sentAt is when the answered attempt was sent; 0 means that signals missing from the response
// say nothing.
func (r *Relay) HandleSignals(s backends.Server, signals backends.Signals, sentAt time.Duration) {
	changes := r.Registry.ApplySignals(s, signals, sentAt, r.Now())
	log := r.Log.WithFields(logrus.Fields{"server": s.ID, "born": s.StartTime, "service": s.Service})
	if changes.FirstInvalid {
		log.WithField("headers", signals.InvalidHeaders).Warn("response headers contain signals that cannot be parsed")
	}
	if changes.Leaving {
		log.Info("server reports in a response that it is leaving")
		r.Peers.Notify()
	}
	if changes.BackoffStarted {
		log.WithField("for_ms", signals.Backoff.Milliseconds()).Info("server asks for backoff")
		r.Peers.Notify()
	}
	switch {
	case changes.RateLimitSet:
		log.WithField("per_second", signals.RateLimit).Info("server sets a rate limit")
		r.Peers.Notify()
	case changes.RateLimitRemoved:
		log.Info("server lifts its rate limit")
		r.Peers.Notify()
	}
}
