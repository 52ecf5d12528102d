package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// keptEnds bounds the ends that a record keeps, the newest. Attempts that are under way
// when a request is convicted may end further servers; the ends that convicted it must not
// be pushed out by these, or they would count against others again.
const keptEnds = 8

// End is the end of one life of a server under a request.
type End struct {
	// Server identifies the life of the server, alike for all processes.
	Server uint64
	// At is when it was noticed, on the steady clock that all processes share.
	At time.Duration
}

// compareEnds orders ends from the newest to the oldest.
func compareEnds(a, b End) int {
	return cmp.Or(cmp.Compare(b.At, a.At), cmp.Compare(a.Server, b.Server))
}

// Record is what is known of a request. Records of one request merge: the result holds
// what either knows, in whatever order and however often they are merged.
type Record struct {
	ID
	// Ends are ends under the request, one a life, from the newest to the oldest.
	Ends []End
	// Absolved is when the request was last answered by a server, or an operator lifted
	// the verdict; ends up to then do not count. 0 if never.
	Absolved time.Duration
	// Tried is when the request was last let through to see whether it is harmful, 0 if
	// never.
	Tried time.Duration
	// Trials counts how often.
	Trials int
}

// merge takes over what another record of the request knows, and reports whether that is
// news.
func (r *Record) merge(o Record) bool {
	old, absolved, tried, trials := r.Ends, r.Absolved, r.Tried, r.Trials
	r.Absolved, r.Tried, r.Trials = max(r.Absolved, o.Absolved), max(r.Tried, o.Tried), max(r.Trials, o.Trials)
	r.Ends = newest(slices.Concat(r.Ends, o.Ends), r.Absolved)
	return r.Absolved != absolved || r.Tried != tried || r.Trials != trials || !slices.Equal(r.Ends, old)
}

// newest returns the newest ends after a time, one a life, that of the latest notice.
func newest(ends []End, after time.Duration) []End {
	slices.SortFunc(ends, compareEnds)
	seen := make(map[uint64]bool, len(ends))
	ends = slices.DeleteFunc(ends, func(e End) bool {
		drop := seen[e.Server] || e.At <= after
		seen[e.Server] = true
		return drop
	})
	if len(ends) == 0 {
		return nil
	}
	return slices.Clip(ends[:min(len(ends), keptEnds)])
}

// last is when something was last learnt of the request.
func (r *Record) last() time.Duration {
	if len(r.Ends) == 0 {
		return r.Absolved
	}
	return max(r.Ends[0].At, r.Absolved)
}

// together lists the ends that count together: those within a window up to the newest.
func (r *Record) together(window time.Duration) []End {
	for i, e := range r.Ends {
		if e.At <= r.Ends[0].At-window {
			return r.Ends[:i]
		}
	}
	return r.Ends
}

// endsAfter counts the ends after a time.
func (r *Record) endsAfter(at time.Duration) (n int) {
	for _, e := range r.Ends {
		if e.At > at {
			n++
		}
	}
	return n
}

func (r *Record) clone() Record {
	c := *r
	c.Ends = slices.Clone(r.Ends)
	return c
}
