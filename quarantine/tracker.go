package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Policy sets when a suspect is quarantined and when it is tried again.
type Policy struct {
	// CrashThreshold is the number of server crashes at which a whole content is quarantined.
	CrashThreshold int
	// Window is the time within which these crashes must have happened.
	Window time.Duration
	// QuarantineTime is how long after the last of these crashes the suspect stays quarantined.
	// After that it is served again, as servers may have been fixed in the meantime.
	QuarantineTime time.Duration
	// TrialDelay is the time from the last crash under a suspect with an ambiguous decision to its first
	// trial. It doubles with each trial that had no result.
	TrialDelay time.Duration
	// TrialTimeout is how long a trial without a result blocks the trials of suspects that
	// share crashes with it.
	TrialTimeout time.Duration
	// MaxTrialCrashes is the number of crashes under trials after which a suspect is not
	// tried any more, MaxAnsweredTrialCrashes the same number for a whole content that servers have
	// answered before.
	MaxTrialCrashes, MaxAnsweredTrialCrashes int
	// PartThreshold is the number of crashes at which a prompt part is quarantined. It is above
	// CrashThreshold, as more requests depend on a part than on a content.
	PartThreshold int
	// MinCrashGap is the time between two crashes under a prompt part that both count, MinPartSpan the
	// time that they must span.
	MinCrashGap, MinPartSpan time.Duration
	// RaisedPartThreshold is the number of crashes for a part that servers have answered before, or
	// under which few of all servers that crash do.
	RaisedPartThreshold int
	// SharedPartThreshold is the number of teams under whose requests with a part servers must
	// have crashed for the part to be quarantined for all teams.
	SharedPartThreshold int
	// PartTrialDelay is the time from the last crash under a part to its first trial if the
	// decision is not ambiguous. AnsweredPartTrialDelay is the same time for a part that servers
	// have answered before. MaxPartTrialCrashes is the number of crashes after which there are no
	// more of these trials.
	PartTrialDelay, AnsweredPartTrialDelay time.Duration
	MaxPartTrialCrashes                    int
	// MaxRecords bounds the records of all teams, MaxRecordsPerTeam those of one team.
	MaxRecords, MaxRecordsPerTeam int
}

// Default returns the policy of gateways. With a lower CrashThreshold, a harmless request that twice
// ran on the same server as a crashing one would be quarantined. With a higher one, each crashing
// request would crash one more server, with all requests that run there.
func Default() Policy {
	return Policy{
		CrashThreshold: 3, Window: time.Hour, QuarantineTime: time.Hour, TrialDelay: 1500 * time.Millisecond, TrialTimeout: time.Second, MaxTrialCrashes: 1, MaxAnsweredTrialCrashes: 4,
		PartThreshold: 4, MinCrashGap: 100 * time.Millisecond, MinPartSpan: 400 * time.Millisecond, RaisedPartThreshold: 7, SharedPartThreshold: 3,
		PartTrialDelay: 10 * time.Second, AnsweredPartTrialDelay: 250 * time.Millisecond, MaxPartTrialCrashes: 1,
		MaxRecords: 2048, MaxRecordsPerTeam: 256,
	}
}

// Tracker stores the records of suspects under which servers crashed, and derives from them
// which suspects are quarantined.
type Tracker struct {
	policy  Policy
	records map[ID]*Record
	// quarantined are the suspects that decide has quarantined, also those whose
	// QuarantineTime is over but whose records have not been deleted yet.
	quarantined map[ID]decision
}

// decision is why a suspect is quarantined.
type decision struct {
	// lastCrash is the time of the latest crash under the suspect.
	lastCrash time.Duration
	// crashes are those because of which it is quarantined.
	crashes []Crash
	// trialDelay is the time from lastCrash to the first trial. maxTrialCrashes is the number of
	// crashes under trials after which there are no more, 0 for no trials.
	trialDelay      time.Duration
	maxTrialCrashes int
}

// NewTracker returns a Tracker without records.
func NewTracker(p Policy) *Tracker {
	return &Tracker{policy: p, records: make(map[ID]*Record), quarantined: make(map[ID]decision)}
}

// Len returns the number of records.
func (t *Tracker) Len() int { return len(t.records) }

// QuarantinedCount returns the number of quarantined suspects. It includes those whose
// QuarantineTime has ended since their records were last expired.
func (t *Tracker) QuarantinedCount() int { return len(t.quarantined) }

// Update lists what a call to a Tracker has changed.
type Update struct {
	// Changed are the records that have changed, with their new content.
	Changed []Record
	// Quarantined are the suspects that the call quarantined, Released those that it released.
	Quarantined, Released []ID
}

// Crashed records that an incarnation of a server crashed while requests with these suspects ran there.
func (t *Tracker) Crashed(incarnation uint64, at time.Duration, running []ID) Update {
	return t.Merge(CrashRecords(incarnation, at, running))
}

// Clear records that a server has answered a request, or that an operator has released it:
// earlier crashes do not count any more. If no crash counts against the request, it changes
// nothing.
func (t *Tracker) Clear(id ID, at time.Duration) Update {
	if r := t.records[id]; r == nil || len(r.countedCrashes(t.policy.Window)) == 0 {
		return Update{}
	}
	return t.Merge([]Record{{ID: id, ClearedAt: at}})
}

// Merge adds records of this process or of others.
func (t *Tracker) Merge(list []Record) Update {
	var changed []*Record
	for _, o := range list {
		if r := t.mergeRecord(o); r != nil {
			changed = append(changed, r)
		}
	}
	if len(changed) == 0 {
		return Update{}
	}
	t.evict()
	var u Update
	for _, r := range changed {
		if t.records[r.ID] == r {
			u.Changed = append(u.Changed, r.clone())
		}
	}
	u.Quarantined, u.Released = t.decide()
	return u
}

// mergeRecord merges one record and returns the stored record, nil if it did not change.
func (t *Tracker) mergeRecord(o Record) *Record {
	r := t.records[o.ID]
	if r == nil {
		r = &Record{ID: o.ID}
	}
	if !r.merge(o) {
		return nil
	}
	t.records[o.ID] = r
	return r
}

// Quarantined reports whether a request is quarantined, and after what time its caller should
// retry: at the end of the quarantine, or after the next trial if the decision is ambiguous.
func (t *Tracker) Quarantined(id ID, now time.Duration) (retryAfter time.Duration, quarantined bool) {
	d, quarantined := t.quarantined[id]
	if !quarantined {
		return 0, false
	}
	retryAfter = t.policy.QuarantineTime - (now - d.lastCrash)
	if retryAfter <= 0 {
		return retryAfter, false
	}
	if at, ok := t.nextTrial(id); ok {
		retryAfter = min(retryAfter, max(0, at-now)+t.policy.TrialTimeout)
	}
	return retryAfter, true
}

// NearThreshold reports whether one more crash under a suspect would reach its crash threshold, or whether
// it is reached already.
func (t *Tracker) NearThreshold(id ID) bool {
	r := t.records[id]
	if r == nil {
		return false
	}
	crashes := r.countedCrashes(t.policy.Window)
	switch {
	case id.Kind == WholeContent:
		return len(crashes) >= t.policy.CrashThreshold-1
	case r.ClearedAt > 0:
		return spacedCrashes(crashes, t.policy.MinCrashGap) >= t.policy.RaisedPartThreshold-1
	}
	return spacedCrashes(crashes, t.policy.MinCrashGap) >= t.policy.PartThreshold-1
}

// Record returns the record of a request, one without crashes if there is none.
func (t *Tracker) Record(id ID) Record {
	if r := t.records[id]; r != nil {
		return r.clone()
	}
	return Record{ID: id}
}

// IsQuarantined reports whether a suspect is quarantined, or was until its QuarantineTime ended.
func (t *Tracker) IsQuarantined(id ID) bool {
	_, quarantined := t.quarantined[id]
	return quarantined
}

// IDs returns the suspects with a record, in no particular order.
func (t *Tracker) IDs() []ID { return slices.Collect(maps.Keys(t.records)) }

// Expired reports whether a record is too old to count. A record far in the future is also
// expired: it comes from a clock that has restarted since.
func (t *Tracker) Expired(r Record, now time.Duration) bool {
	age, maxAge := now-r.lastChange(), max(t.policy.Window, t.policy.QuarantineTime)
	return age >= maxAge || age <= -maxAge
}

// List returns the records of requests with at least minCrashes counted crashes, ordered by ID.
func (t *Tracker) List(minCrashes int) (out []Record) {
	for _, r := range t.records {
		if len(r.countedCrashes(t.policy.Window)) >= minCrashes {
			out = append(out, r.clone())
		}
	}
	slices.SortFunc(out, func(x, y Record) int { return compareIDs(x.ID, y.ID) })
	return out
}

// Expire deletes expired records.
func (t *Tracker) Expire(now time.Duration) Update {
	maps.DeleteFunc(t.records, func(_ ID, r *Record) bool { return t.Expired(*r, now) })
	var u Update
	u.Quarantined, u.Released = t.decide()
	return u
}

// missing returns the requests of one set that are not in another, ordered by ID.
func missing(in, from map[ID]decision) (out []ID) {
	for id := range in {
		if _, ok := from[id]; !ok {
			out = append(out, id)
		}
	}
	slices.SortFunc(out, compareIDs)
	return out
}

// evictionShare is the part of a bound that is freed when the bound is reached, so that not
// every further record causes a scan of all records.
const evictionShare = 1.0 / 8

// evict deletes the records with the least evidence: first of each team above its bound, then of
// all teams together. The bounds are needed as a team may send ten thousand different crashing
// requests.
func (t *Tracker) evict() {
	if len(t.records) <= t.policy.MaxRecordsPerTeam {
		return
	}
	teams := make(map[string][]*Record)
	for id, r := range t.records {
		teams[id.Team] = append(teams[id.Team], r)
	}
	for _, records := range teams {
		t.evictFrom(records, t.policy.MaxRecordsPerTeam)
	}
	if len(t.records) > t.policy.MaxRecords {
		t.evictFrom(slices.Collect(maps.Values(t.records)), t.policy.MaxRecords)
	}
}

// evictFrom deletes records with the least evidence if there are more than maxRecords.
func (t *Tracker) evictFrom(records []*Record, maxRecords int) {
	if len(records) <= maxRecords {
		return
	}
	slices.SortFunc(records, compareEvidence)
	for _, r := range records[:len(records)-int((1-evictionShare)*float64(maxRecords))] {
		delete(t.records, r.ID)
	}
}

// compareEvidence orders records from the least to the most evidence: by the number of uncleared
// crashes, and of equal numbers the oldest first.
func compareEvidence(x, y *Record) int {
	return cmp.Or(cmp.Compare(x.unclearedCrashes(), y.unclearedCrashes()), cmp.Compare(x.lastChange(), y.lastChange()), compareIDs(x.ID, y.ID))
}
