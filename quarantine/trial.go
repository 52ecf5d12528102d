package quarantine

import (
	"slices"
	"time"
)

const (
	// trialTurn is a request's turn for a trial. News of a trial reaches all processes
	// within it.
	trialTurn = 250 * time.Millisecond
	// mostTurns bounds the turns that a request waits for its own.
	mostTurns = 4
)

// StartTrial reports whether a request that is refused may be let through once, to see whether it
// is harmful, and notes that it is.
//
// A request that many make at once runs on every server that ends under a harmful one. Both
// have the same ends, and the one that is refused without a reason could show by no answer
// that it is harmless. A trial may be cut short by what has nothing to do with it; those
// that servers end under are few, as each costs what runs beside.
func (b *Tracker) StartTrial(id ID, now time.Duration) (Update, bool) {
	if !b.TrialDue(id, now) || !b.hasTurn(b.records[id], now) {
		return Update{}, false
	}
	return b.Merge([]Record{{ID: id, Trials: []time.Duration{now}}}), true
}

// TrialDue reports whether a request is held in doubt and long enough without a trial.
func (b *Tracker) TrialDue(id ID, now time.Duration) bool {
	at, tried := b.nextTrial(id)
	return tried && now >= at
}

// nextTrial is from when on a request is tried, false for one that is not to be tried again.
func (b *Tracker) nextTrial(id ID) (at time.Duration, tried bool) {
	v, held := b.held[id]
	if !held || !v.doubtful {
		return 0, false
	}
	at = v.newest + b.policy.TrialAfter
	r := b.records[id]
	n := len(r.Trials)
	if n == 0 {
		return at, true
	}
	first := r.Trials[n-1]
	ended := r.endsAmong(b.policy.Window, func(e Crash) bool { return e.At > first })
	return max(at, r.Trials[0]+b.policy.TrialAfter<<n), ended < b.policy.TrialEnds
}

// hasTurn reports whether a request may be tried beside those that share ends with it. They
// come due together, and a harmful one at the same server would end the trial of another.
// So one that is under trial keeps the others from theirs, and all take turns in an order
// that is alike in all processes.
func (b *Tracker) hasTurn(r *Record, now time.Duration) bool {
	rank, turns := 0, 1
	for id, v := range b.held {
		o := b.records[id]
		if o == r || !v.doubtful || !o.sharesEnd(r) {
			continue
		}
		if o.underTrial(now, b.policy.TrialApart) {
			return false
		}
		turns++
		if compareIDs(id, r.ID) < 0 {
			rank++
		}
	}
	turns = min(turns, mostTurns)
	return int(now/trialTurn)%turns == rank%turns
}

// underTrial reports whether a trial of the last so much time has shown nothing yet.
func (r *Record) underTrial(now, lasts time.Duration) bool {
	return len(r.Trials) > 0 && now-r.Trials[0] < lasts && !slices.ContainsFunc(r.Crashes, func(e Crash) bool { return e.At > r.Trials[0] })
}

// sharesEnd reports whether a server has ended under both requests.
func (r *Record) sharesEnd(o *Record) bool {
	return slices.ContainsFunc(r.Crashes, func(e Crash) bool {
		return slices.ContainsFunc(o.Crashes, func(f Crash) bool { return f.Incarnation == e.Incarnation })
	})
}
