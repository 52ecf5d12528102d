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
	// toldPerSecond and toldAtOnce bound the records of suspects that a gateway passes on,
	// so that the loss of a failure domain, under which thousands of requests end, does not
	// fill its links: 32 links of 50 bytes a record are 26 KB a second at most.
	toldPerSecond, toldAtOnce = 16, 256
	// greeted bounds the records that a peer is told when a link to it is up.
	greeted = 64
	// saveSoonest and savePerGateway spread the gateways that write a verdict which they
	// have heard of, while the store has no row of it: the first of some hundred writes
	// within a second, and the others hear of its row by the table.
	saveSoonest    = 300 * time.Millisecond
	savePerGateway = 100 * time.Millisecond
	savePoll       = 50 * time.Millisecond
	saveTimeout    = 3 * time.Second
	// expireEvery is how often what does not count any more is forgotten.
	expireEvery = time.Minute
	// mostEvidence bounds the ends that a log line names.
	mostEvidence = 8
)

// suspects is what this gateway knows of requests under which servers end, and shares with
// the others. It implements relay.Suspects.
//
// What it learns it tells its peers, which pass on what is news to them. A verdict is a row
// of the store besides: it outlives all gateways, and reaches those that start later. It is
// safe for concurrent use; mu is a leaf.
type suspects struct {
	group *group
	log   logrus.FieldLogger
	told  *rate.Limiter
	// held is told of each request that is refused from now on; it may be nil.
	held atomic.Pointer[func(quarantine.ID)]
	// any says that the book is not empty.
	any atomic.Bool

	mu   sync.Mutex
	book *quarantine.Tracker
	// rows are the rows of the store, by request, and due is when a row is to be written.
	rows map[quarantine.ID]suspectRow
	due  map[quarantine.ID]time.Time
	// tries counts the writes in a row that failed.
	tries int
}

func newSuspects(g *group) *suspects {
	return &suspects{
		group: g, log: g.log, told: rate.NewLimiter(toldPerSecond, toldAtOnce), book: quarantine.NewTracker(quarantine.Default()),
		rows: make(map[quarantine.ID]suspectRow), due: make(map[quarantine.ID]time.Time),
	}
}

var _ relay.Suspects = (*suspects)(nil)

// Any implements relay.Suspects.
func (s *suspects) Any() bool { return s.any.Load() }

// Held implements relay.Suspects.
func (s *suspects) Held(id quarantine.ID) (time.Duration, bool) {
	now, known := s.group.role.now()
	if !known {
		return 0, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.book.Held(id, now)
}

// Due implements relay.Suspects.
func (s *suspects) Due(id quarantine.ID) bool {
	now, known := s.group.role.now()
	if !known {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.book.Due(id, now)
}

// Try implements relay.Suspects.
func (s *suspects) Try(id quarantine.ID) (tried bool) {
	now, known := s.group.role.now()
	if !known {
		return false
	}
	s.learn("tried", 0, func(b *quarantine.Tracker) (c quarantine.Change) {
		c, tried = b.Try(id, now)
		return c
	})
	if tried {
		s.log.WithFields(logrus.Fields{"content": id.String(), "team": id.Team}).Info("request that is held in doubt is tried")
	}
	return tried
}

// holds counts the requests that are refused.
func (s *suspects) holds() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.book.Holds()
}

// Near implements relay.Suspects.
func (s *suspects) Near(id quarantine.ID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.book.Near(id)
}

// Ended implements relay.Suspects.
func (s *suspects) Ended(server backends.Server, ran []quarantine.ID) {
	now, known := s.group.role.now()
	if !known {
		s.log.WithField("server", server.ID).Warn("end of a server is not counted, the store's clock is not known")
		return
	}
	s.learn("seen here", 0, func(b *quarantine.Tracker) quarantine.Change { return b.Ended(lifeHash(server), now, ran) })
}

// lifeHash identifies a life of a server among all gateways.
func lifeHash(s backends.Server) uint64 {
	return xxhash.Sum64String(s.ID + "/" + strconv.FormatInt(s.StartTime, 10))
}

// Answered implements relay.Suspects.
func (s *suspects) Answered(id quarantine.ID) { s.absolve(id, "answered") }

func (s *suspects) absolve(id quarantine.ID, why string) {
	if now, known := s.group.role.now(); known {
		s.learn(why, 0, func(b *quarantine.Tracker) quarantine.Change { return b.Absolve(id, now) })
	}
}

// hear takes what a peer tells.
func (s *suspects) hear(peer string, list []*peerv1.Suspect) {
	records := make([]quarantine.Record, 0, len(list))
	for _, p := range list {
		records = append(records, recordOf(p))
	}
	s.learn("told by "+peer, s.turn(), func(b *quarantine.Tracker) quarantine.Change { return b.Merge(records) })
}

// turn is when this gateway writes a row that others may write as well.
func (s *suspects) turn() time.Duration {
	return saveSoonest + time.Duration(rand.Float64()*float64(s.group.Known())*float64(savePerGateway))
}

// learn changes the book, and tells peers, the relay and the store what follows from it;
// the store after some time.
func (s *suspects) learn(why string, after time.Duration, change func(*quarantine.Tracker) quarantine.Change) {
	s.mu.Lock()
	c := change(s.book)
	s.any.Store(s.book.Len() > 0)
	for _, id := range slices.Concat(c.Held, c.Freed) {
		s.schedule(id, after)
	}
	for _, r := range c.News {
		if len(r.Trials) > 0 {
			s.schedule(r.ID, after)
		}
	}
	evidence := make([]quarantine.Record, 0, len(c.Held))
	for _, id := range c.Held {
		evidence = append(evidence, s.book.Record(id))
	}
	s.mu.Unlock()
	s.tell(c.News)
	for _, r := range evidence {
		s.log.WithFields(logrus.Fields{"content": r.String(), "team": r.Team, "why": why, "ends": ends(r)}).Warn("request is held: servers end under it")
		if held := s.held.Load(); held != nil {
			(*held)(r.ID)
		}
	}
	for _, id := range c.Freed {
		s.log.WithFields(logrus.Fields{"content": id.String(), "team": id.Team, "why": why}).Warn("request is not held any more")
	}
}

// ends describes the evidence of a record, as the lines on servers that ended name it.
func ends(r quarantine.Record) (out []string) {
	for _, e := range r.Crashes[:min(len(r.Crashes), mostEvidence)] {
		out = append(out, fmt.Sprintf("%016x at %d ms", e.Incarnation, e.At.Milliseconds()))
	}
	return out
}

// tell passes records on to the peers, those with most ends first.
func (s *suspects) tell(news []quarantine.Record) {
	slices.SortStableFunc(news, func(x, y quarantine.Record) int { return cmp.Compare(len(y.Crashes), len(x.Crashes)) })
	out := &peerv1.Suspects{}
	for _, r := range news {
		if !s.told.Allow() {
			s.log.WithField("records", len(news)).Warn("too many suspects, not all are told to peers")
			break
		}
		out.Suspects = append(out.Suspects, suspectOf(r))
	}
	if len(out.Suspects) > 0 {
		s.group.links.Tell(out)
	}
}

// greet is what a peer is told when a link to it is up: it may have been away, or the
// store may be, so that it has heard of no verdict.
func (s *suspects) greet() *peerv1.Suspects {
	s.mu.Lock()
	list := s.book.List(1)
	s.mu.Unlock()
	if len(list) == 0 {
		return nil
	}
	slices.SortStableFunc(list, func(x, y quarantine.Record) int { return cmp.Compare(len(y.Crashes), len(x.Crashes)) })
	out := &peerv1.Suspects{}
	for _, r := range list[:min(len(list), greeted)] {
		out.Suspects = append(out.Suspects, suspectOf(r))
	}
	return out
}

func suspectOf(r quarantine.Record) *peerv1.Suspect {
	p := &peerv1.Suspect{Team: r.Team, Content: r.Content, AbsolvedMs: r.ClearedAt.Milliseconds(), TrialsMs: millis(r.Trials)}
	for _, e := range r.Crashes {
		p.Ends = append(p.Ends, &peerv1.End{Server: e.Incarnation, AtMs: e.At.Milliseconds()})
	}
	return p
}

func recordOf(p *peerv1.Suspect) quarantine.Record {
	r := quarantine.Record{ID: quarantine.ID{Team: p.GetTeam(), Content: p.GetContent()}, ClearedAt: time.Duration(p.GetAbsolvedMs()) * time.Millisecond, Trials: fromMillis(p.GetTrialsMs())}
	for _, e := range p.GetEnds() {
		r.Crashes = append(r.Crashes, quarantine.Crash{Incarnation: e.GetServer(), At: time.Duration(e.GetAtMs()) * time.Millisecond})
	}
	return r
}

func millis(times []time.Duration) (out []int64) {
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

// tend writes rows and forgets what does not count any more, until ctx ends.
func (s *suspects) tend(ctx context.Context) {
	save, expire := time.NewTicker(savePoll), time.NewTicker(expireEvery)
	defer save.Stop()
	defer expire.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-save.C:
			s.saveDue(ctx)
		case <-expire.C:
			s.expire(ctx)
		}
	}
}

// expire forgets records, and drops the rows of those that are forgotten. One gateway of
// all does so in the middle.
func (s *suspects) expire(ctx context.Context) {
	now, known := s.group.role.now()
	if !known {
		return
	}
	s.learn("expired", 0, func(b *quarantine.Tracker) quarantine.Change { return b.Expire(now) })
	for _, row := range s.expiredRows(now) {
		if rand.IntN(max(1, s.group.Known())) > 0 {
			continue
		}
		if err := s.group.store.Remove(ctx, membersTable, suspectKey(row.record.ID), row.revision); err != nil {
			s.log.WithError(err).WithField("content", row.record.String()).Info("row of a request that is not held stays")
		}
	}
}

// quarantined shows verdicts to operators. It implements admin.Quarantine.
type quarantined struct{ *suspects }

// Held implements admin.Quarantine.
func (q quarantined) Held() (out []admin.Held) {
	now, known := q.group.role.now()
	if !known {
		return nil
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, r := range q.book.List(1) {
		if left, held := q.book.Held(r.ID, now); held {
			out = append(out, admin.Held{Content: r.String(), Team: r.Team, Ends: ends(r), LeftSeconds: int(left.Seconds())})
		}
	}
	return out
}

// Lift implements admin.Quarantine.
func (q quarantined) Lift(content string) bool {
	id, found := q.find(content)
	if found {
		q.absolve(id, "lifted by an operator")
	}
	return found
}

func (q quarantined) find(content string) (quarantine.ID, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, r := range q.book.List(1) {
		if r.String() == content {
			return r.ID, true
		}
	}
	return quarantine.ID{}, false
}
