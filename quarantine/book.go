package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Policy is when a request is refused.
type Policy struct {
	// Ends is how many servers must have ended under a request.
	Ends int
	// Window is the time within which they must have ended.
	Window time.Duration
	// Term is how long after the last of them the request is refused. It is tried again
	// then: servers may have learnt to survive it.
	Term time.Duration
	// TrialAfter is how long after the last end under it a request whose verdict is doubtful
	// may be tried, and again after a trial that decided nothing, each time twice as long.
	TrialAfter time.Duration
	// TrialApart is how long a trial keeps requests that share ends with it from theirs,
	// unless it has shown something earlier.
	TrialApart time.Duration
	// TrialEnds is how many servers may end under trials.
	TrialEnds int
	// Records bounds the requests that are remembered, PerTeam those of one team.
	Records, PerTeam int
}

// Default is the policy of gateways. Fewer ends would convict what ran beside a harmful
// request twice; with more, what runs beside it is lost once more each.
func Default() Policy {
	return Policy{Ends: 3, Window: time.Hour, Term: time.Hour, TrialAfter: 1500 * time.Millisecond, TrialApart: time.Second, TrialEnds: 2,
		Records: 1024, PerTeam: 128}
}

// Tracker holds the records of all requests, and the verdicts that follow from them.
type Tracker struct {
	policy  Policy
	records map[ID]*Record
	// held are the requests that are refused.
	held map[ID]verdict
}

// verdict is why a request is refused.
type verdict struct {
	// newest is the newest end under it.
	newest time.Duration
	// doubtful says that it has too few ends of its own: all others it shares with requests
	// under which several servers ended.
	doubtful bool
}

// NewTracker returns an empty book.
func NewTracker(p Policy) *Tracker {
	return &Tracker{policy: p, records: make(map[ID]*Record), held: make(map[ID]verdict)}
}

// Len counts the requests that are remembered.
func (b *Tracker) Len() int { return len(b.records) }

// QuarantinedCount counts the requests that are refused.
func (b *Tracker) QuarantinedCount() int { return len(b.held) }

// Update is what a Book has learnt.
type Update struct {
	// Changed are the records that have changed, as they are now.
	Changed []Record
	// Quarantined are the requests that are refused from now on, Released those that no longer are.
	Quarantined, Released []ID
}

// Crashed notes that a life of a server has ended while requests ran there.
func (b *Tracker) Crashed(server uint64, at time.Duration, ran []ID) Update {
	list := make([]Record, 0, len(ran))
	for _, id := range ran {
		list = append(list, Record{ID: id, Crashes: []Crash{{Incarnation: server, At: at}}})
	}
	return b.Merge(list)
}

// Clear notes that a server has answered a request, or that an operator lifts its
// verdict. It is no news where nothing is held against the request.
func (b *Tracker) Clear(id ID, at time.Duration) Update {
	if r := b.records[id]; r == nil || len(r.together(b.policy.Window)) == 0 {
		return Update{}
	}
	return b.Merge([]Record{{ID: id, ClearedAt: at}})
}

// Merge takes records of this process or of others.
func (b *Tracker) Merge(list []Record) Update {
	var news []*Record
	for _, o := range list {
		if r := b.take(o); r != nil {
			news = append(news, r)
		}
	}
	if len(news) == 0 {
		return Update{}
	}
	b.bound()
	var c Update
	for _, r := range news {
		if b.records[r.ID] == r {
			c.Changed = append(c.Changed, r.clone())
		}
	}
	c.Quarantined, c.Released = b.judge()
	return c
}

// take merges a record, and returns what it changed, nil if it brought no news.
func (b *Tracker) take(o Record) *Record {
	r := b.records[o.ID]
	if r == nil {
		r = &Record{ID: o.ID}
	}
	if !r.merge(o) {
		return nil
	}
	b.records[o.ID] = r
	return r
}

// Quarantined reports whether a request is refused, and when to come back: after its term, or after
// its next trial where it is held in doubt.
func (b *Tracker) Quarantined(id ID, now time.Duration) (left time.Duration, held bool) {
	v, held := b.held[id]
	if !held {
		return 0, false
	}
	left = b.policy.Term - (now - v.newest)
	if left <= 0 {
		return left, false
	}
	if at, tried := b.nextTrial(id); tried {
		left = min(left, max(0, at-now)+b.policy.TrialApart)
	}
	return left, true
}

// NearThreshold reports whether a request would be refused, or already is, if one more server ended
// under it.
func (b *Tracker) NearThreshold(id ID) bool {
	r := b.records[id]
	return r != nil && len(r.together(b.policy.Window)) >= b.policy.Ends-1
}

// Record returns what is known of a request.
func (b *Tracker) Record(id ID) Record {
	if r := b.records[id]; r != nil {
		return r.clone()
	}
	return Record{ID: id}
}

// ReachesThreshold reports whether a record by itself has a request refused.
func (b *Tracker) ReachesThreshold(r Record) bool {
	return len(r.together(b.policy.Window)) >= b.policy.Ends
}

// Expired reports whether a record does not count any more.
func (b *Tracker) Expired(r Record, now time.Duration) bool {
	age, kept := now-r.last(), max(b.policy.Window, b.policy.Term)
	return age >= kept || age <= -kept
}

// List returns the records of requests under which at least so many servers ended, in the
// order of their IDs.
func (b *Tracker) List(ends int) (out []Record) {
	for _, r := range b.records {
		if len(r.together(b.policy.Window)) >= ends {
			out = append(out, r.clone())
		}
	}
	slices.SortFunc(out, func(x, y Record) int { return compareIDs(x.ID, y.ID) })
	return out
}

// Expire forgets what does not count any more. What seems to lie far ahead is of a clock
// that has begun anew.
func (b *Tracker) Expire(now time.Duration) Update {
	maps.DeleteFunc(b.records, func(_ ID, r *Record) bool { return b.Expired(*r, now) })
	var c Update
	c.Quarantined, c.Released = b.judge()
	return c
}

// judge draws the verdicts from the records, and returns those that are new.
//
// All that ran on a server that has ended are suspected alike: an end is not explained by a
// request that is held already. A request that many make would be held first, explain the
// ends under a harmful one, and that would go on. What is held for nothing shares its ends
// with others under which several servers ended, and shows by a trial that it is harmless;
// that one of them has shown so already takes nothing of the doubt.
func (b *Tracker) judge() (held, freed []ID) {
	was := b.held
	b.held = make(map[ID]verdict, len(was))
	shared := make(map[uint64]int)
	for id, r := range b.records {
		if ends := r.together(b.policy.Window); len(ends) >= b.policy.Ends {
			b.held[id] = verdict{newest: ends[0].At}
		}
		if len(r.Crashes) > 1 {
			for _, e := range r.Crashes {
				shared[e.Incarnation]++
			}
		}
	}
	for id, v := range b.held {
		v.doubtful = b.records[id].endsAmong(b.policy.Window, func(e Crash) bool { return shared[e.Incarnation] == 1 }) < b.policy.Ends
		b.held[id] = v
	}
	return missing(b.held, was), missing(was, b.held)
}

// missing lists the requests of one set that are not in another, in order.
func missing(in, from map[ID]verdict) (out []ID) {
	for id := range in {
		if _, ok := from[id]; !ok {
			out = append(out, id)
		}
	}
	slices.SortFunc(out, compareIDs)
	return out
}

// spare is the part of a bound that is made free when it is reached, so that not each
// further record has all looked through.
const spare = 1.0 / 8

// bound forgets the weakest records of teams beyond their bound, then of all: someone may
// send ten thousand different harmful requests.
func (b *Tracker) bound() {
	if len(b.records) <= b.policy.PerTeam {
		return
	}
	teams := make(map[string][]*Record)
	for id, r := range b.records {
		teams[id.Team] = append(teams[id.Team], r)
	}
	for _, records := range teams {
		b.forgetWeakest(records, b.policy.PerTeam)
	}
	if len(b.records) > b.policy.Records {
		b.forgetWeakest(slices.Collect(maps.Values(b.records)), b.policy.Records)
	}
}

// forgetWeakest drops the records with the fewest ends, of these the oldest, if there are
// more than so many.
func (b *Tracker) forgetWeakest(records []*Record, most int) {
	if len(records) <= most {
		return
	}
	slices.SortFunc(records, weaker)
	for _, r := range records[:len(records)-int((1-spare)*float64(most))] {
		delete(b.records, r.ID)
	}
}

func weaker(x, y *Record) int {
	return cmp.Or(cmp.Compare(x.live(), y.live()), cmp.Compare(x.last(), y.last()), compareIDs(x.ID, y.ID))
}
