package relay

import (
	"time"

	"kingcupplank.example/kingcup/backends"
)

// minBoundEvents is the number of events still to come from which on the pauses of a response
// matter for the choice of its engine. A prompt read beside a shorter one rarely falls between two
// of its events.
const minBoundEvents = 8

// pauseBound returns the longest pause with which a generation is on time and how much longer the
// longest pause of a stream is than the usual one of its engine. The bound is 0 for a generation that
// is short or has none. eventCount is the number of events that it has had.
func (r *Relay) pauseBound(j *job, eventCount int) (maxPause time.Duration, stretch float64) {
	if j.Generation == nil || j.expectedEvents(eventCount)-eventCount < minBoundEvents {
		return 0, 0
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return j.route.MaxPause, r.stretch.Ratio()
}

// recordStretch records the longest pause of a stream that has ended.
func (r *Relay) recordStretch(j *job, reservation *backends.Reservation) {
	if j.Generation == nil {
		return
	}
	usual := reservation.UsualPause(r.Now())
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stretch.Observe(j.progress.longestPause, usual, j.progress.events)
}
