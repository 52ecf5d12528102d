package backends

import (
	"math"
	"time"
)

// usualPause returns the usual pause between two events of a stream of the server, 0 if it is not
// known.
func (s *server) usualPause(now time.Duration) time.Duration {
	if own := s.ownPace.Pause(now); own > 0 {
		return own
	}
	return s.remotePace.Pause(now)
}

// sameSpeedTolerance is the deviation from the mean up to which a server counts as one of the usual
// speed: the pause also depends on how many requests run beside.
const sameSpeedTolerance = 0.25

// comparablePause returns the pause by which a server is compared with others: its own, or the mean if
// its own is not known or is about the mean. A server that has just started must not seem faster than
// all that run.
func comparablePause(own, mean time.Duration) time.Duration {
	if own == 0 || math.Abs(float64(own-mean)) <= sameSpeedTolerance*float64(mean) {
		return mean
	}
	return own
}

// meanPause returns the mean usual pause of the servers of which it is known, 0 if there are none.
func meanPause(list []*server, now time.Duration) time.Duration {
	sum, known := time.Duration(0), time.Duration(0)
	for _, s := range list {
		if p := s.usualPause(now); p > 0 {
			sum += p
			known++
		}
	}
	if known == 0 {
		return 0
	}
	return sum / known
}

// ObservePause records the time between two events of the request's response. While the server reads a
// prompt beside it, the time says nothing of the server's speed.
func (r *Reservation) ObservePause(pause, now time.Duration) {
	r.registry.mu.Lock()
	defer r.registry.mu.Unlock()
	besidePrompt := r.registry.load(r.target).PromptTokens > 0
	r.registry.observeRolePause(r.target, pause, besidePrompt, now)
	if besidePrompt {
		return
	}
	r.target.ownPace.Observe(pause, now)
}

// UsualPause returns the usual pause between two events of a stream of the request's server, 0 if it
// is not known.
func (r *Reservation) UsualPause(now time.Duration) time.Duration {
	r.registry.mu.Lock()
	defer r.registry.mu.Unlock()
	return r.target.usualPause(now)
}

// Pace is the usual pause between two events of a stream of an incarnation of a server.
type Pace struct {
	Pause time.Duration
	// Dip reports that the pauses are far above the usual at present.
	Dip bool
	// StartTime identifies the incarnation of the server, see Server.
	StartTime int64
}

// Paces returns what the streams of this process show of the pace of the servers that it uses, by
// server id.
func (r *Registry) Paces(now time.Duration) map[string]Pace {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make(map[string]Pace)
	for id, s := range r.servers {
		if p := s.ownPace.Pause(now); p > 0 && s.ownLoad.Running > 0 {
			out[id] = Pace{Pause: p, Dip: s.ownDip.Active(now), StartTime: s.StartTime}
		}
	}
	return out
}

// SetRemotePaces records what another process has observed of the pace of servers, by server id.
func (r *Registry) SetRemotePaces(paces map[string]Pace, now time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, p := range paces {
		if s := r.servers[id]; s != nil && s.StartTime == p.StartTime {
			s.remotePace.Merge(p.Pause, now)
			if p.Dip {
				s.remoteDipUntil = now + remoteDipTime
			}
		}
	}
	r.planDue(now)
}
