package quarantine

import (
	"slices"
	"time"
)

const (
	// trialTurn is the length of a turn, in which one of the requests with shared crashes may
	// start a trial. Records reach all processes within it.
	trialTurn = 250 * time.Millisecond
	// maxTurns bounds the number of turns in one rotation, and so the wait for a turn. More
	// requests than that share turns.
	maxTurns = 4
	// maxAnsweredDoublings bounds how often the delay between trials doubles for a whole content that servers have
	// answered before.
	maxAnsweredDoublings = 1
)

// StartTrial reports whether a quarantined request may be sent to one server, to find out whether
// it crashes servers, and records the trial if so.
//
// A request that many callers make at the same time runs on every server that crashes under
// a crashing request. Both have the same crashes, and once quarantined, a harmless request gets
// no response that could show that it is harmless. A trial may end without a result for unrelated
// reasons, and is then repeated. The crashes under trials are limited, as each fails the
// requests that run on the same server.
func (t *Tracker) StartTrial(id ID, now time.Duration) (Update, bool) {
	if !t.TrialDue(id, now) || !t.hasTurn(t.records[id], now) {
		return Update{}, false
	}
	return t.Merge([]Record{{ID: id, Trials: []time.Duration{now}}}), true
}

// TrialDue reports whether a suspect is quarantined, may be tried, and the delay since its last
// crash and its last trial is over.
func (t *Tracker) TrialDue(id ID, now time.Duration) bool {
	at, ok := t.nextTrial(id)
	return ok && now >= at
}

// nextTrial returns from when on a request may be tried; ok is false if it gets no more trials.
func (t *Tracker) nextTrial(id ID) (at time.Duration, ok bool) {
	d, quarantined := t.quarantined[id]
	r := t.records[id]
	if !quarantined || d.maxTrialCrashes == 0 || r == nil {
		return 0, false
	}
	at = d.lastCrash + d.trialDelay
	n := len(r.Trials)
	if n == 0 {
		return at, true
	}
	firstTrial := r.Trials[n-1]
	if id.Kind == WholeContent && r.ClearedAt > 0 {
		n = min(n, maxAnsweredDoublings)
	}
	crashes := 0
	for _, c := range d.crashes {
		if c.At > firstTrial {
			crashes++
		}
	}
	return max(at, r.Trials[0]+d.trialDelay<<n), crashes < d.maxTrialCrashes
}

// hasTurn reports whether no request that shares crashes with r blocks its trial. Such requests
// become due at the same time, and a crashing one on the same server would end the trial of
// another. A request under trial therefore blocks the trials of the others, and all take turns
// in an order that is the same in all processes.
func (t *Tracker) hasTurn(r *Record, now time.Duration) bool {
	rank, turns := 0, 1
	for id, d := range t.quarantined {
		o := t.records[id]
		if o == nil || o == r || d.maxTrialCrashes == 0 || !o.sharesCrash(r) {
			continue
		}
		if o.underTrial(now, t.policy.TrialTimeout) {
			return false
		}
		turns++
		if compareIDs(id, r.ID) < 0 {
			rank++
		}
	}
	turns = min(turns, maxTurns)
	return int(now/trialTurn)%turns == rank%turns
}

// underTrial reports whether the latest trial began less than timeout ago and no server has
// crashed under the request since.
func (r *Record) underTrial(now, timeout time.Duration) bool {
	return len(r.Trials) > 0 && now-r.Trials[0] < timeout && !slices.ContainsFunc(r.Crashes, func(c Crash) bool { return c.At > r.Trials[0] })
}

// sharesCrash reports whether the same server incarnation crashed under both suspects.
func (r *Record) sharesCrash(o *Record) bool {
	return slices.ContainsFunc(r.Crashes, func(a Crash) bool {
		return slices.ContainsFunc(o.Crashes, func(b Crash) bool { return b.Incarnation == a.Incarnation })
	})
}
