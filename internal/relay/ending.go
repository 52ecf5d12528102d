package relay

import (
	"time"

	"kingcupplank.example/kingcup/routing"
)

const (
	// startPace is the time between two events that is assumed until streams have
	// been seen: four tokens of 9 ms, as on a moderately full engine.
	startPace = 36 * time.Millisecond
	// paceGain is the weight of the newest pause in the usual one.
	paceGain = 0.02
	// movedOn is when a caller that is sent to another VM may come back: at once.
	movedOn = 20 * time.Millisecond
	// restartTime is when VMs that all stop at once are back: the first of them
	// have ended by now and start within a second.
	restartTime = time.Second
	// endReserve is the part of the time left that a stream must not need: output
	// lengths are guesses, right at the median only.
	endReserve = 0.3
)

// SetShutdown tells when this process will be gone. Requests that would not be answered
// by then are sent to other VMs, if there are any that take them, and from
// lastCall on in any case: until then callers come who could not yet know.
func (r *Relay) SetShutdown(t, lastCall time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ends, r.lastCall = t, lastCall
}

// outlasts reports whether a request would probably outlast this process. A
// stream that is taken shortly before the end would be cut off in its middle.
func (r *Relay) outlasts(j *job) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	// Where all stop at once, a caller that is sent away meets the next one that
	// stops; there the request has its best chance here.
	if r.ends.IsZero() || time.Now().Before(r.lastCall) && !r.Peers.AcceptingRequests() {
		return false
	}
	// A wrong estimate costs a caller its whole answer, a refusal a few milliseconds.
	if !time.Now().Before(r.lastCall) && j.route.Kind == routing.Stream && !j.route.Resumable {
		return true
	}
	need := j.route.TargetLatency
	if j.Generation != nil {
		need += time.Duration(j.events(0)) * r.pace
	}
	return need > time.Duration((1-endReserve)*float64(time.Until(r.ends)))
}

// moveOn is when a caller that is sent to another VM may come back.
func (r *Relay) moveOn() time.Duration {
	if r.Peers.AcceptingRequests() {
		return movedOn
	}
	return restartTime
}

// paused notes the time between two events.
func (r *Relay) paused(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pace += time.Duration(paceGain * float64(min(d, 4*startPace)-r.pace))
}

// usualPause is the usual time between two events.
func (r *Relay) usualPause() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.pace
}
