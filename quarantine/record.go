package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// maxCrashes bounds the crashes of a record; the newest are kept. It is above the thresholds, so
// that crashes shared with other suspects are recognized as shared.
const maxCrashes = 16

// maxTrials bounds the trials of a record; the newest are kept. The delay doubles with each
// trial, up to about six minutes.
const maxTrials = 8

// Crash is the crash of one incarnation of a server under a suspect.
type Crash struct {
	// Incarnation identifies the incarnation of the server; all processes compute the same
	// number for it.
	Incarnation uint64
	// At is when the crash was detected, on the monotonic clock that all processes share.
	At time.Duration
}

// CrashRecords returns the records of a crash under requests with these suspects.
func CrashRecords(incarnation uint64, at time.Duration, suspects []ID) []Record {
	list := make([]Record, 0, len(suspects))
	for _, id := range suspects {
		list = append(list, Record{ID: id, Crashes: []Crash{{Incarnation: incarnation, At: at}}})
	}
	return list
}

// compareCrashes orders crashes from the newest to the oldest.
func compareCrashes(a, b Crash) int {
	return cmp.Or(cmp.Compare(b.At, a.At), cmp.Compare(a.Incarnation, b.Incarnation))
}

// Record is what is known of a suspect. Merging records of one suspect is commutative,
// associative and idempotent: the order and the number of merges do not matter.
type Record struct {
	ID
	// Crashes are the crashes under the request, one per incarnation, newest first. Those up to
	// ClearedAt do not count against it, but still show which other requests ran on those
	// servers.
	Crashes []Crash
	// ClearedAt is when a server last answered a request of the suspect, or an operator last
	// released it; crashes up to then do not count. 0 if never.
	ClearedAt time.Duration
	// Trials are the times after ClearedAt at which a request was sent to a server to find
	// out whether the suspect crashes servers, newest first.
	Trials []time.Duration
}

// merge adds the content of another record of the request, and reports whether r changed.
func (r *Record) merge(o Record) bool {
	crashes, trials, clearedAt := r.Crashes, r.Trials, r.ClearedAt
	r.ClearedAt = max(r.ClearedAt, o.ClearedAt)
	r.Trials = newestTrials(slices.Concat(r.Trials, o.Trials), r.ClearedAt)
	r.Crashes = newestCrashes(slices.Concat(r.Crashes, o.Crashes))
	return r.ClearedAt != clearedAt || !slices.Equal(r.Trials, trials) || !slices.Equal(r.Crashes, crashes)
}

// newestCrashes returns the newest crashes, one per incarnation: the one detected last.
func newestCrashes(crashes []Crash) []Crash {
	slices.SortFunc(crashes, compareCrashes)
	seen := make(map[uint64]bool, len(crashes))
	crashes = slices.DeleteFunc(crashes, func(c Crash) bool {
		duplicate := seen[c.Incarnation]
		seen[c.Incarnation] = true
		return duplicate
	})
	if len(crashes) == 0 {
		return nil
	}
	return slices.Clip(crashes[:min(len(crashes), maxCrashes)])
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
	return slices.Clip(trials[:min(len(trials), maxTrials)])
}

// lastChange returns the time of the latest crash or clearing.
func (r *Record) lastChange() time.Duration {
	if len(r.Crashes) == 0 {
		return r.ClearedAt
	}
	return max(r.Crashes[0].At, r.ClearedAt)
}

// countedCrashes returns the crashes that count towards the threshold: those after ClearedAt and
// within a window that ends at the newest crash.
func (r *Record) countedCrashes(window time.Duration) []Crash {
	for i, c := range r.Crashes {
		if c.At <= r.ClearedAt || c.At <= r.Crashes[0].At-window {
			return r.Crashes[:i]
		}
	}
	return r.Crashes
}

// unclearedCrashes returns the number of crashes after ClearedAt.
func (r *Record) unclearedCrashes() (n int) {
	for n < len(r.Crashes) && r.Crashes[n].At > r.ClearedAt {
		n++
	}
	return n
}

// spacedCrashes returns the number of crashes, of which each came gap before the newer one counted before it.
// They are ordered from the newest to the oldest.
func spacedCrashes(crashes []Crash, gap time.Duration) (n int) {
	var last time.Duration
	for _, c := range crashes {
		if n == 0 || last-c.At >= gap {
			n, last = n+1, c.At
		}
	}
	return n
}

// Covers reports whether r has all that o has.
func (r *Record) Covers(o Record) bool {
	c := r.clone()
	return !c.merge(o)
}

// countCrashes returns the number of counted crashes for which match is true.
func (r *Record) countCrashes(window time.Duration, match func(Crash) bool) (n int) {
	for _, c := range r.countedCrashes(window) {
		if match(c) {
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
