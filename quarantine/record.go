package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// keptEnds bounds the ends that a record keeps, the newest. More than the three that convict
// a request are kept, so that it is seen which it shares with others.
const keptEnds = 8

// keptTrials bounds the trials that a record keeps, the newest. The time between two doubles
// with each of them, up to some six minutes.
const keptTrials = 8

// Crash is the end of one life of a server under a request.
type Crash struct {
	// Incarnation identifies the life of the server, alike for all processes.
	Incarnation uint64
	// At is when it was noticed, on the steady clock that all processes share.
	At time.Duration
}

// compareEnds orders ends from the newest to the oldest.
func compareEnds(a, b Crash) int {
	return cmp.Or(cmp.Compare(b.At, a.At), cmp.Compare(a.Incarnation, b.Incarnation))
}

// Record is what is known of a request. Records of one request merge: the result holds
// what either knows, in whatever order and however often they are merged.
type Record struct {
	ID
	// Crashes are ends under the request, one a life, from the newest to the oldest. Those up
	// to Absolved count no more against it; they tell what else ran on those servers.
	Crashes []Crash
	// ClearedAt is when the request was last answered by a server, or an operator lifted
	// the verdict; ends up to then do not count. 0 if never.
	ClearedAt time.Duration
	// Trials are when the request was let through since then, to see whether it is harmful,
	// from the newest to the oldest.
	Trials []time.Duration
}

// merge takes over what another record of the request knows, and reports whether that is
// news.
func (r *Record) merge(o Record) bool {
	old, trials, absolved := r.Crashes, r.Trials, r.ClearedAt
	r.ClearedAt = max(r.ClearedAt, o.ClearedAt)
	r.Trials = newestTrials(slices.Concat(r.Trials, o.Trials), r.ClearedAt)
	r.Crashes = newest(slices.Concat(r.Crashes, o.Crashes))
	return r.ClearedAt != absolved || !slices.Equal(r.Trials, trials) || !slices.Equal(r.Crashes, old)
}

// newest returns the newest ends, one a life, that of the latest notice.
func newest(ends []Crash) []Crash {
	slices.SortFunc(ends, compareEnds)
	seen := make(map[uint64]bool, len(ends))
	ends = slices.DeleteFunc(ends, func(e Crash) bool {
		drop := seen[e.Incarnation]
		seen[e.Incarnation] = true
		return drop
	})
	if len(ends) == 0 {
		return nil
	}
	return slices.Clip(ends[:min(len(ends), keptEnds)])
}

// newestTrials returns the newest trials after a time.
func newestTrials(trials []time.Duration, after time.Duration) []time.Duration {
	trials = slices.DeleteFunc(trials, func(at time.Duration) bool { return at <= after })
	if len(trials) == 0 {
		return nil
	}
	slices.Sort(trials)
	trials = slices.Compact(trials)
	slices.Reverse(trials)
	return slices.Clip(trials[:min(len(trials), keptTrials)])
}

// last is when something was last learnt of the request.
func (r *Record) last() time.Duration {
	if len(r.Crashes) == 0 {
		return r.ClearedAt
	}
	return max(r.Crashes[0].At, r.ClearedAt)
}

// together lists the ends that count together: those since the absolution, within a window
// up to the newest.
func (r *Record) together(window time.Duration) []Crash {
	for i, e := range r.Crashes {
		if e.At <= r.ClearedAt || e.At <= r.Crashes[0].At-window {
			return r.Crashes[:i]
		}
	}
	return r.Crashes
}

// live counts the ends since the absolution.
func (r *Record) live() (n int) {
	for n < len(r.Crashes) && r.Crashes[n].At > r.ClearedAt {
		n++
	}
	return n
}

// endsAmong counts those ends that count together and are of some kind.
func (r *Record) endsAmong(window time.Duration, kind func(Crash) bool) (n int) {
	for _, e := range r.together(window) {
		if kind(e) {
			n++
		}
	}
	return n
}

func (r *Record) clone() Record {
	c := *r
	c.Crashes, c.Trials = slices.Clone(r.Crashes), slices.Clone(r.Trials)
	return c
}
