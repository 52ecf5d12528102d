// Package readers decides which of many processes read the platform's store for all: two at
// a time, found without agreement, by what they tell each other of those that do. It is
// pure.
package readers

import (
	"cmp"
	"slices"
	"time"
)

// Count is how many processes read the store for all: one may freeze or lose its way to the
// store, and the others' view goes on without a gap.
const Count = 2

const (
	// AnswerTimeout is the age of a reader's last answer from which it is not counted on: its calls
	// wait for a second, and what it says of itself reaches all others within 0.4 s over
	// two or three links.
	AnswerTimeout = 1800 * time.Millisecond
	// volunteersPerSecond bounds how many processes in all try the store when there are
	// too few readers. The first one tries after 50 ms on average, and what it hears
	// reaches the others before many have tried too; each for itself would call.
	volunteersPerSecond = 20
	// longestLook bounds the time between two looks that counts for a chance: a process
	// that was suspended is one of many that begin to look.
	longestLook = 200 * time.Millisecond
	// ahead is how much newer than the own idea of the store's clock an answer may look.
	// One from before the store's clock began anew would be believed for ever.
	ahead = time.Second
)

// Reader is a process that reads the store, or may.
type Reader struct {
	Name, FailureDomain string
	// LinkMbps is its bandwidth in Mbit/s, 0 if it is not known.
	LinkMbps float64
	// AnsweredAt is the store's steady clock when the store last answered it.
	AnsweredAt time.Duration
}

// Choose picks those that read the store for all, by the same rule everywhere.
//
// Wide links go first: a row that takes 28 ms over 200 Mbit/s takes 0.56 s over 10, and
// stands there before what callers send. The second reader is of another failure domain
// if there is one: the loss of one domain then leaves no gap in anybody's view.
func Choose(live []Reader) []Reader {
	live = slices.Clone(live)
	slices.SortFunc(live, func(a, b Reader) int {
		return cmp.Or(cmp.Compare(b.LinkMbps, a.LinkMbps), cmp.Compare(a.Name, b.Name))
	})
	if len(live) <= Count {
		return live
	}
	for i := 1; i < len(live) && live[i].LinkMbps == live[1].LinkMbps; i++ {
		if live[i].FailureDomain != live[0].FailureDomain {
			return []Reader{live[0], live[i]}
		}
	}
	return live[:Count]
}

// InitialReaders picks n of many processes that read the store first when all start: those that would
// be chosen, and those that would be chosen without them, and so on.
func InitialReaders(all []Reader, n int) (out []Reader) {
	rest := slices.Clone(all)
	for len(out) < n && len(rest) > 0 {
		for _, c := range Choose(rest) {
			out = append(out, c)
			rest = slices.DeleteFunc(rest, func(r Reader) bool { return r.Name == c.Name })
		}
	}
	return out
}

// Role is what one process knows of those that read the store, and whether it is one of
// them. Times are of the store's steady clock. It is not safe for concurrent use.
type Role struct {
	self    Reader
	others  map[string]Reader
	reading bool
	looked  time.Duration
}

// NewRole returns the role of a process that does not read yet.
func NewRole(self Reader) *Role { return &Role{self: self, others: make(map[string]Reader)} }

// IsReading reports whether the process reads the store.
func (r *Role) IsReading() bool { return r.reading }

// AddReports takes what another process knows.
func (r *Role) AddReports(list []Reader, now time.Duration) {
	for _, o := range list {
		if o.Name == r.self.Name || !fresh(o, now) || o.AnsweredAt > now+ahead {
			continue
		}
		if known, ok := r.others[o.Name]; !ok || o.AnsweredAt > known.AnsweredAt {
			r.others[o.Name] = o
		}
	}
}

func fresh(o Reader, now time.Duration) bool { return now-o.AnsweredAt < AnswerTimeout }

// Readers lists those that read the store, as far as it is known here: what is told to
// others. answered is when the store last answered this process.
func (r *Role) Readers(now, answered time.Duration) []Reader {
	list := r.alive(now)
	self := r.self
	self.AnsweredAt = answered
	if r.reading && fresh(self, now) {
		list = append(list, self)
	}
	return Choose(list)
}

// alive lists the others that can be counted on, and forgets the rest.
func (r *Role) alive(now time.Duration) (out []Reader) {
	for name, o := range r.others {
		if !fresh(o, now) {
			delete(r.others, name)
			continue
		}
		out = append(out, o)
	}
	return out
}

// Inputs is what a decision rests on beside what was heard.
type Inputs struct {
	// Now is the store's steady clock, as near as it is known here.
	Now time.Duration
	// StoreReached says that the store answered the last call of this process.
	StoreReached bool
	// ProcessCount is how many processes are in the same place, this one included: those that it
	// knows, by the part of its links that it hears something on. One that hears nobody
	// is alone.
	ProcessCount float64
	// Random is drawn from [0, 1).
	Random float64
}

// ShouldRead decides whether this process reads the store. One that does goes on until two
// better ones do, or until the store fails it. Another begins where there are too few
// readers, or where it is better than one of them; of many that could, few try at a time.
func (r *Role) ShouldRead(l Inputs) bool {
	others := r.alive(l.Now)
	if r.reading && !l.StoreReached {
		r.reading = false
	}
	if r.reading {
		r.reading = r.chosen(others)
		r.looked = l.Now
		return r.reading
	}
	if !r.needed(others) {
		r.looked = l.Now
		return false
	}
	return r.volunteer(l)
}

// MayTryStore decides whether this process tries the store although others seem to read it: it
// hears nothing of what they read.
func (r *Role) MayTryStore(l Inputs) bool { return r.reading || r.volunteer(l) }

func (r *Role) volunteer(l Inputs) bool {
	since := min(max(l.Now-r.looked, 0), longestLook)
	r.looked = l.Now
	r.reading = l.ProcessCount <= 1 || l.Random < volunteersPerSecond*since.Seconds()/l.ProcessCount
	return r.reading
}

func (r *Role) chosen(others []Reader) bool {
	return slices.ContainsFunc(Choose(append(others, r.self)), func(c Reader) bool { return c.Name == r.self.Name })
}

// needed reports whether this process would make the readers better: more of them, a wider
// link, or another failure domain. A name that comes earlier is no reason to change places.
func (r *Role) needed(others []Reader) bool {
	if len(others) < Count {
		return true
	}
	now := Choose(others)
	last := now[len(now)-1]
	if r.self.LinkMbps > last.LinkMbps {
		return true
	}
	oneDomain := !slices.ContainsFunc(now, func(o Reader) bool { return o.FailureDomain != now[0].FailureDomain })
	return oneDomain && r.self.LinkMbps == last.LinkMbps && r.self.FailureDomain != last.FailureDomain
}
