// Package readers decides which processes read the platform's store on behalf of all. Two
// processes read at a time. They are chosen without a consensus protocol, from the
// processes' reports to each other about the current readers. The package does no I/O and
// reads no clock.
package readers

import (
	"cmp"
	"slices"
	"time"
)

// Count is the number of processes that read the store for all. If one of them freezes or
// loses its connection to the store, the other processes' views still stay up to date.
const Count = 2

const (
	// AnswerTimeout is the age of a reader's last answer from the store from which other
	// processes no longer rely on this reader. A reader's calls wait for 1 s, and its reports
	// reach all other processes within 0.4 s over two or three links.
	AnswerTimeout = 1800 * time.Millisecond
	// learningTime is how long a process that has started leaves reading to the others. Within it
	// several of its peers have sent it their lists of readers.
	learningTime = 1200 * time.Millisecond
	// volunteersPerSecond bounds the rate at which all processes together try the store
	// while there are too few readers. The first one tries after 50 ms on average, and its
	// success is known to the others before many of them have tried. Without the bound every
	// process would call the store.
	volunteersPerSecond = 20
	// maxCheckInterval bounds the time since the last check that counts for the probability
	// to volunteer. A process that was suspended is usually one of many that resume at the
	// same time.
	maxCheckInterval = 200 * time.Millisecond
	// maxClockSkew is how far the time of an answer may be ahead of the local estimate of the
	// store's clock. Without the bound, an answer from before a restart of the store's clock
	// would count as fresh forever.
	maxClockSkew = time.Second
)

// Reader is a process that reads the store or is a candidate for it.
type Reader struct {
	Name, FailureDomain string
	// LinkMbps is its bandwidth in Mbit/s, 0 if it is not known.
	LinkMbps float64
	// AnsweredAt is the store's steady clock at the store's last answer to this process.
	AnsweredAt time.Duration
}

// Choose picks the readers out of the candidates. All processes use the same rule.
//
// Candidates with the highest bandwidth come first: a row that takes 28 ms over 200 Mbit/s
// takes 0.56 s over 10 Mbit/s and delays callers' bytes on that link. The second reader is
// from another failure domain if a candidate with the same bandwidth exists there. The loss
// of one domain then interrupts no process's view.
func Choose(candidates []Reader) []Reader {
	candidates = slices.Clone(candidates)
	slices.SortFunc(candidates, func(a, b Reader) int {
		return cmp.Or(cmp.Compare(b.LinkMbps, a.LinkMbps), cmp.Compare(a.Name, b.Name))
	})
	if len(candidates) <= Count {
		return candidates
	}
	for i := 1; i < len(candidates) && candidates[i].LinkMbps == candidates[1].LinkMbps; i++ {
		if candidates[i].FailureDomain != candidates[0].FailureDomain {
			return []Reader{candidates[0], candidates[i]}
		}
	}
	return candidates[:Count]
}

// InitialReaders picks the n processes that read the store first when all processes start at the
// same time. It picks the readers by Choose, then the readers among the remaining
// processes, and so on.
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

// IsInitialReader reports whether a process is one of the about n that read the store first when
// all processes start at the same time. known are the processes that it knows, itself included,
// total is the estimated number of all. If it knows all, it uses the rule of InitialReaders.
// Otherwise the processes with the highest bandwidth volunteer with a probability; random is in
// [0, 1).
func IsInitialReader(self Reader, known []Reader, total, n int, random float64) bool {
	if total <= len(known) {
		return slices.ContainsFunc(InitialReaders(known, n), func(r Reader) bool { return r.Name == self.Name })
	}
	fastest := slices.MaxFunc(known, func(a, b Reader) int { return cmp.Compare(a.LinkMbps, b.LinkMbps) }).LinkMbps
	if self.LinkMbps < fastest {
		return false
	}
	fast := 0
	for _, r := range known {
		if r.LinkMbps == fastest {
			fast++
		}
	}
	return random < float64(n)*float64(len(known))/(float64(fast)*float64(total))
}

// Role records which other processes read the store, and whether this process does. All
// times are of the store's steady clock. It is not safe for concurrent use.
type Role struct {
	self      Reader
	others    map[string]Reader
	reading   bool
	checkedAt time.Duration
	// onTrial is set while the call for one table, trialTable, tests whether the store answers
	// this process. The followers of the other tables wait for its result: during an outage
	// each try then takes one call and not one for each table.
	onTrial    bool
	trialTable string
	trialSince time.Duration
	// answeredAt is when the store last answered a call for any table, if hasAnswer is set.
	hasAnswer  bool
	answeredAt time.Duration
	// begunAt is the time of the first decision.
	begun   bool
	begunAt time.Duration
}

// NewRole returns the role of a process that does not read the store yet.
func NewRole(self Reader) *Role { return &Role{self: self, others: make(map[string]Reader)} }

// IsReading reports whether this process reads the store.
func (r *Role) IsReading() bool { return r.reading }

// AddReports adds the readers that another process has reported. Stale reports are ignored,
// and of several reports about one reader the newest counts.
func (r *Role) AddReports(list []Reader, now time.Duration) {
	for _, o := range list {
		if o.Name == r.self.Name || !isFresh(o, now) || o.AnsweredAt > now+maxClockSkew {
			continue
		}
		if known, ok := r.others[o.Name]; !ok || o.AnsweredAt > known.AnsweredAt {
			r.others[o.Name] = o
		}
	}
}

func isFresh(o Reader, now time.Duration) bool { return now-o.AnsweredAt < AnswerTimeout }

// Readers returns the readers of the store that are known to this process, itself included.
// This is the list that it reports to other processes. answered is the time of the store's
// last answer to this process.
func (r *Role) Readers(now, answered time.Duration) []Reader {
	list := r.freshOthers(now)
	self := r.self
	self.AnsweredAt = answered
	if r.reading && isFresh(self, now) {
		list = append(list, self)
	}
	return Choose(list)
}

// freshOthers returns the other readers with a fresh answer and deletes the stale ones.
func (r *Role) freshOthers(now time.Duration) (out []Reader) {
	for name, o := range r.others {
		if !isFresh(o, now) {
			delete(r.others, name)
			continue
		}
		out = append(out, o)
	}
	return out
}

// Inputs are the inputs of a decision in addition to the reports of other processes.
type Inputs struct {
	// Table is the table whose follower asks.
	Table string
	// IsStarting is set if that follower has no table yet. A table that is read whole takes a
	// call of its own in any case.
	IsStarting bool
	// Now is the local estimate of the store's steady clock.
	Now time.Duration
	// KnowsOthers is set if this process knows any other one.
	KnowsOthers bool
	// StoreReached is set if the store answered the last call of this process.
	StoreReached bool
	// ProcessCount is the estimated number of processes in the same situation: this one, plus
	// the other known processes times the share of this process's links on which it receives
	// anything. It is 1 for a process that receives nothing.
	ProcessCount float64
	// Random is a random number in [0, 1).
	Random float64
}

// ShouldRead decides whether this process reads the store. A reader continues until two
// better ones read, or until the store does not answer it. Another process starts if there
// are too few readers or if it would be better than one of them. If many processes could
// start, only a few of them try at a time.
func (r *Role) ShouldRead(in Inputs) bool {
	others := r.freshOthers(in.Now)
	r.noteResult(in)
	if r.reading {
		r.reading = r.isChosen(others)
		r.checkedAt = in.Now
		return r.reading
	}
	if r.awaitsTrial(in) {
		return false
	}
	if r.isLearning(in) || !r.isNeeded(others) {
		r.checkedAt = in.Now
		return false
	}
	return r.volunteer(in)
}

// isLearning reports whether this process has started so recently that it may not have been told yet
// who reads the store. It has its tables from others, so somebody does. Without this, each process
// that starts among hundreds would read the store for the first second.
func (r *Role) isLearning(in Inputs) bool {
	if !r.begun {
		r.begun, r.begunAt = true, in.Now
	}
	return in.KnowsOthers && in.Now-r.begunAt < learningTime
}

// MayTryStore decides whether this process tries the store although other processes are
// reported to read it. It is for a process that receives none of their pages, or has been
// without a table for some time.
func (r *Role) MayTryStore(in Inputs) bool {
	r.noteResult(in)
	return r.reading || !r.awaitsTrial(in) && r.volunteer(in)
}

// NoteAnswer records that the store has answered a call for a table. It ends a trial at once: the next
// decision of its follower may be half a second away.
func (r *Role) NoteAnswer(table string, now time.Duration) {
	r.noteResult(Inputs{Table: table, Now: now, StoreReached: true})
}

// noteResult evaluates the last call of the follower that asks. It ends the reading of a process
// that the store does not answer, and a trial.
func (r *Role) noteResult(in Inputs) {
	isOnTrial := r.onTrial && r.trialTable == in.Table
	if in.StoreReached && (r.reading || isOnTrial) {
		r.hasAnswer, r.answeredAt = true, in.Now
	}
	if isOnTrial {
		r.onTrial = false
		r.reading = in.StoreReached
		return
	}
	r.reading = r.reading && in.StoreReached
}

// awaitsTrial reports whether a follower waits because the call for another table is on trial. One
// that has no table doesn't wait while the store answers for other tables: only its own is slow then.
func (r *Role) awaitsTrial(in Inputs) bool {
	if in.IsStarting && r.answersOthers(in) {
		return false
	}
	return r.onTrial && in.Now-r.trialSince < AnswerTimeout
}

// answersOthers reports whether the store has recently answered a call for any table.
func (r *Role) answersOthers(in Inputs) bool {
	return r.hasAnswer && in.Now-r.answeredAt < AnswerTimeout
}

// volunteer makes this process try the store with a probability that bounds the rate of all
// processes together to volunteersPerSecond.
func (r *Role) volunteer(in Inputs) bool {
	since := min(max(in.Now-r.checkedAt, 0), maxCheckInterval)
	r.checkedAt = in.Now
	if in.ProcessCount > 1 && in.Random >= volunteersPerSecond*since.Seconds()/in.ProcessCount {
		return false
	}
	if in.IsStarting && (in.StoreReached || r.answersOthers(in)) {
		r.reading = true
	} else {
		r.onTrial, r.trialTable, r.trialSince = true, in.Table, in.Now
	}
	return true
}

func (r *Role) isChosen(others []Reader) bool {
	return slices.ContainsFunc(Choose(append(others, r.self)), func(c Reader) bool { return c.Name == r.self.Name })
}

// isNeeded reports whether the readers would be better with this process: if there are too
// few, if its bandwidth is higher, or if it adds a second failure domain. A name that sorts
// earlier is no reason to replace a reader.
func (r *Role) isNeeded(others []Reader) bool {
	if len(others) < Count {
		return true
	}
	current := Choose(others)
	last := current[len(current)-1]
	if r.self.LinkMbps > last.LinkMbps {
		return true
	}
	inOneDomain := !slices.ContainsFunc(current, func(o Reader) bool { return o.FailureDomain != current[0].FailureDomain })
	return inOneDomain && r.self.LinkMbps == last.LinkMbps && r.self.FailureDomain != last.FailureDomain
}
