package gateway

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"

	"kingcupplank.example/kingcup/backends"
	"kingcupplank.example/kingcup/internal/admin"
	"kingcupplank.example/kingcup/internal/relay"
	peerv1 "kingcupplank.example/kingcup/proto/kingcup/peer/v1"
	"kingcupplank.example/kingcup/quarantine"
)

const (
	// recordsPerSecond and recordsBurst limit the records that a gateway sends to its
	// peers, of those with one crash and of the others each. Thousands of requests are in
	// flight when a failure domain is lost; their records must not fill the links. 32 links
	// of 50 bytes a record are 52 KB a second at most.
	recordsPerSecond, recordsBurst = 16, 256
	// maxInitialRecords bounds the records that a peer receives when a link to it is
	// established.
	maxInitialRecords = 64
	// minSaveDelay and saveDelayPerGateway spread the writes of a quarantine decision that
	// a gateway has received, while the store has no row of it. Of some hundred gateways
	// the first one writes within a second; the others see its row when they follow the
	// table.
	minSaveDelay        = 300 * time.Millisecond
	saveDelayPerGateway = 100 * time.Millisecond
	// savePoll is how often rows that are due are written.
	savePoll = 50 * time.Millisecond
	// saveTimeout bounds a write of a row.
	saveTimeout = 3 * time.Second
	// expireInterval is how often expired records are removed.
	expireInterval = time.Minute
	// maxLoggedCrashes bounds the crashes listed in a log line.
	maxLoggedCrashes = 8
)

// sharedQuarantine tracks the requests under which servers crash, and shares the records
// with the other gateways. It implements relay.Quarantine.
//
// New records are sent to the peers, which forward those that are new to them. A quarantine
// decision is also written to the store as a row: it outlives all gateways and reaches
// those that start later. sharedQuarantine is safe for concurrent use; no other lock is
// taken while mu or answersMu is locked.
type sharedQuarantine struct {
	group *group
	log   logrus.FieldLogger
	// firstCrashes limits the records of suspects with one crash, of which there is one for each request
	// that runs on a crashed server; repeatedCrashes limits the others, which decide.
	firstCrashes, repeatedCrashes *rate.Limiter
	// onQuarantined is called for each suspect that becomes quarantined; it may be nil.
	onQuarantined atomic.Pointer[func(quarantine.ID)]
	// hasRecords says that the tracker is not empty.
	hasRecords atomic.Bool

	answersMu sync.Mutex
	// answers are the contents and prompt parts that servers answered here.
	answers quarantine.AnswerLog

	mu      sync.Mutex
	tracker *quarantine.Tracker
	// rows are the rows in the store, by request. saveAt is when a row is due to be
	// written.
	rows   map[quarantine.ID]storedRecord
	saveAt map[quarantine.ID]time.Time
	// failedSaves counts the consecutive failed writes.
	failedSaves int
}

func newSharedQuarantine(g *group) *sharedQuarantine {
	return &sharedQuarantine{
		group: g, log: g.log, firstCrashes: rate.NewLimiter(recordsPerSecond, recordsBurst), repeatedCrashes: rate.NewLimiter(recordsPerSecond, recordsBurst),
		tracker: quarantine.NewTracker(quarantine.Default()),
		rows:    make(map[quarantine.ID]storedRecord), saveAt: make(map[quarantine.ID]time.Time),
	}
}

var _ relay.Quarantine = (*sharedQuarantine)(nil)

// HasRecords implements relay.Quarantine.
func (s *sharedQuarantine) HasRecords() bool { return s.hasRecords.Load() }

// Quarantined implements relay.Quarantine.
func (s *sharedQuarantine) Quarantined(suspects []quarantine.ID) (quarantine.Verdict, bool) {
	now, known := s.group.role.storeTime()
	if !known {
		return quarantine.Verdict{}, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tracker.RequestQuarantined(suspects, now)
}

// TrialDue implements relay.Quarantine.
func (s *sharedQuarantine) TrialDue(suspects []quarantine.ID) bool {
	now, known := s.group.role.storeTime()
	if !known {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tracker.RequestTrialDue(suspects, now)
}

// StartTrial implements relay.Quarantine.
func (s *sharedQuarantine) StartTrial(suspects []quarantine.ID) (tried bool) {
	now, known := s.group.role.storeTime()
	if !known {
		return false
	}
	var tested []string
	s.update("tried", 0, func(t *quarantine.Tracker) (u quarantine.Update) {
		u, tried = t.StartRequestTrial(suspects, now)
		for _, r := range u.Changed {
			tested = append(tested, r.String())
		}
		return u
	})
	if tried {
		s.log.WithFields(logrus.Fields{"content": suspects[0].String(), "tested": tested, "team": suspects[0].Team}).Info("trying a quarantined request whose quarantine decision is ambiguous")
	}
	return tried
}

// countQuarantined returns the number of quarantined requests.
func (s *sharedQuarantine) countQuarantined() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tracker.QuarantinedCount()
}

// NearThreshold implements relay.Quarantine.
func (s *sharedQuarantine) NearThreshold(suspects []quarantine.ID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tracker.RequestNearThreshold(suspects)
}

// Crashed implements relay.Quarantine.
func (s *sharedQuarantine) Crashed(server backends.Server, suspects []quarantine.ID) {
	now, known := s.group.role.storeTime()
	if !known {
		s.log.WithField("server", server.ID).Warn("crash of a server is not recorded, because the store's clock is not known yet")
		return
	}
	s.update("seen here", 0, s.merge(quarantine.CrashRecords(incarnationHash(server), now, suspects)))
}

// merge returns a change that merges records, and what is known here of answers to their suspects.
func (s *sharedQuarantine) merge(records []quarantine.Record) func(*quarantine.Tracker) quarantine.Update {
	s.answersMu.Lock()
	defer s.answersMu.Unlock()
	for _, r := range records {
		if answered, ok := s.answers.Complete(r); ok {
			records = append(records, answered)
		}
	}
	return func(t *quarantine.Tracker) quarantine.Update { return t.Merge(records) }
}

// incarnationHash identifies an incarnation of a server. It is the same at all gateways.
func incarnationHash(s backends.Server) uint64 {
	return xxhash.Sum64String(s.ID + "/" + strconv.FormatInt(s.StartTime, 10))
}

// Answered implements relay.Quarantine.
func (s *sharedQuarantine) Answered(suspects []quarantine.ID) {
	now, known := s.group.role.storeTime()
	if !known {
		return
	}
	s.answersMu.Lock()
	for _, id := range suspects {
		s.answers.Record(id, now)
	}
	s.answersMu.Unlock()
	if s.hasRecords.Load() {
		s.update("answered", 0, func(t *quarantine.Tracker) quarantine.Update { return t.ClearRequest(suspects, now) })
	}
}

// receive merges the records that a peer has sent.
func (s *sharedQuarantine) receive(peer string, suspects []*peerv1.Suspect) {
	records := make([]quarantine.Record, 0, len(suspects))
	for _, p := range suspects {
		records = append(records, recordFromMessage(p))
	}
	s.update("told by "+peer, s.saveDelay(), s.merge(records))
}

// saveDelay returns a random delay before writing a row that other gateways may write as
// well.
func (s *sharedQuarantine) saveDelay() time.Duration {
	return minSaveDelay + time.Duration(rand.Float64()*float64(s.group.Count())*float64(saveDelayPerGateway))
}

// update changes the tracker, sends new records to the peers, notifies the relay of newly
// quarantined requests, and schedules the writes to the store after delay. The reason is
// logged.
func (s *sharedQuarantine) update(reason string, delay time.Duration, change func(*quarantine.Tracker) quarantine.Update) {
	s.mu.Lock()
	u := change(s.tracker)
	s.hasRecords.Store(s.tracker.Len() > 0)
	for _, id := range slices.Concat(u.Quarantined, u.Released) {
		s.scheduleSave(id, delay)
	}
	for _, r := range u.Changed {
		if s.isRowOutdated(r.ID) {
			s.scheduleSave(r.ID, delay)
		}
	}
	quarantined := make([]quarantine.Record, 0, len(u.Quarantined))
	for _, id := range u.Quarantined {
		quarantined = append(quarantined, s.tracker.Record(id))
	}
	s.mu.Unlock()
	s.send(u.Changed)
	for _, r := range quarantined {
		s.log.WithFields(logrus.Fields{"content": r.String(), "team": r.Team, "why": reason, "ends": describeCrashes(r)}).Warn("request is quarantined: servers crash under it")
		if notify := s.onQuarantined.Load(); notify != nil {
			(*notify)(r.ID)
		}
	}
	for _, id := range u.Released {
		s.log.WithFields(logrus.Fields{"content": id.String(), "team": id.Team, "why": reason}).Warn("request is no longer quarantined")
	}
}

// describeCrashes lists the crashes of a record as the log lines on crashed servers name
// them.
func describeCrashes(r quarantine.Record) (out []string) {
	for _, e := range r.Crashes[:min(len(r.Crashes), maxLoggedCrashes)] {
		out = append(out, fmt.Sprintf("%016x at %d ms", e.Incarnation, e.At.Milliseconds()))
	}
	return out
}

// send sends records to the peers, those with the most crashes first. Records beyond the
// rate limit are not sent.
func (s *sharedQuarantine) send(records []quarantine.Record) {
	slices.SortStableFunc(records, func(x, y quarantine.Record) int { return cmp.Compare(len(y.Crashes), len(x.Crashes)) })
	out := &peerv1.Suspects{}
	for _, r := range records {
		limiter := s.firstCrashes
		if len(r.Crashes) > 1 {
			limiter = s.repeatedCrashes
		}
		if !limiter.Allow() {
			s.log.WithField("records", len(records)).Warn("too many quarantine records at once, some are not sent to peers")
			break
		}
		out.Suspects = append(out.Suspects, recordMessage(r))
	}
	if len(out.Suspects) > 0 {
		s.group.links.BroadcastSuspects(out)
	}
}

// initialRecords returns the records that a peer receives when a link to it is established,
// nil if there are none. The peer may not have received them before, if it was unreachable
// or the store is unavailable.
func (s *sharedQuarantine) initialRecords() *peerv1.Suspects {
	s.mu.Lock()
	list := s.tracker.List(1)
	s.mu.Unlock()
	if len(list) == 0 {
		return nil
	}
	slices.SortStableFunc(list, func(x, y quarantine.Record) int { return cmp.Compare(len(y.Crashes), len(x.Crashes)) })
	out := &peerv1.Suspects{}
	for _, r := range list[:min(len(list), maxInitialRecords)] {
		out.Suspects = append(out.Suspects, recordMessage(r))
	}
	return out
}

func recordMessage(r quarantine.Record) *peerv1.Suspect {
	p := &peerv1.Suspect{Team: r.Team, PromptPart: r.Kind == quarantine.PromptPart, Content: r.Content, AbsolvedMs: r.ClearedAt.Milliseconds(), TrialsMs: toMillis(r.Trials)}
	for _, e := range r.Crashes {
		p.Ends = append(p.Ends, &peerv1.End{Server: e.Incarnation, AtMs: e.At.Milliseconds()})
	}
	return p
}

func recordFromMessage(p *peerv1.Suspect) quarantine.Record {
	r := quarantine.Record{ID: quarantine.ID{Team: p.GetTeam(), Kind: kindOf(p.GetPromptPart()), Content: p.GetContent()}, ClearedAt: time.Duration(p.GetAbsolvedMs()) * time.Millisecond, Trials: fromMillis(p.GetTrialsMs())}
	for _, e := range p.GetEnds() {
		r.Crashes = append(r.Crashes, quarantine.Crash{Incarnation: e.GetServer(), At: time.Duration(e.GetAtMs()) * time.Millisecond})
	}
	return r
}

func kindOf(promptPart bool) quarantine.Kind {
	if promptPart {
		return quarantine.PromptPart
	}
	return quarantine.WholeContent
}

func toMillis(times []time.Duration) (out []int64) {
	for _, t := range times {
		out = append(out, t.Milliseconds())
	}
	return out
}

func fromMillis(ms []int64) (out []time.Duration) {
	for _, t := range ms {
		out = append(out, time.Duration(t)*time.Millisecond)
	}
	return out
}

// run writes due rows and removes expired records, until ctx ends.
func (s *sharedQuarantine) run(ctx context.Context) {
	save, expire := time.NewTicker(savePoll), time.NewTicker(expireInterval)
	defer save.Stop()
	defer expire.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-save.C:
			s.saveDueRows(ctx)
		case <-expire.C:
			s.expire(ctx)
		}
	}
}

// expire removes expired records, and their rows from the store. Every gateway draws at
// random whether it removes a row, so that on average one of them does.
func (s *sharedQuarantine) expire(ctx context.Context) {
	now, known := s.group.role.storeTime()
	if !known {
		return
	}
	s.update("expired", 0, func(t *quarantine.Tracker) quarantine.Update { return t.Expire(now) })
	for _, row := range s.expiredRows(now) {
		if rand.IntN(max(1, s.group.Count())) > 0 {
			continue
		}
		if err := s.group.store.Remove(ctx, membersTable, recordRowKey(row.record.ID), row.revision); err != nil {
			s.log.WithError(err).WithField("content", row.record.String()).Info("cannot remove the row of an expired quarantine record")
		}
	}
}

// adminQuarantine lets operators see and lift quarantines. It implements admin.Quarantine.
type adminQuarantine struct{ *sharedQuarantine }

// Held implements admin.Quarantine.
func (q adminQuarantine) Held() (out []admin.QuarantinedRequest) {
	now, known := q.group.role.storeTime()
	if !known {
		return nil
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, id := range q.tracker.QuarantinedIDs() {
		if left, quarantined := q.tracker.Quarantined(id, now); quarantined {
			out = append(out, admin.QuarantinedRequest{Content: id.String(), Team: id.Team, Crashes: describeCrashes(q.tracker.Record(id)), RemainingSeconds: int(left.Seconds())})
		}
	}
	slices.SortFunc(out, func(x, y admin.QuarantinedRequest) int { return cmp.Compare(x.Content, y.Content) })
	return out
}

// Lift implements admin.Quarantine.
func (q adminQuarantine) Lift(content string) (found bool) {
	now, known := q.group.role.storeTime()
	if !known {
		return false
	}
	q.update("lifted by an operator", 0, func(t *quarantine.Tracker) (u quarantine.Update) {
		for _, id := range append(t.QuarantinedIDs(), t.IDs()...) {
			if !found && id.String() == content {
				u, found = t.Lift(id, now)
			}
		}
		return u
	})
	return found
}
