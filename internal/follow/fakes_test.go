package follow

import (
	"context"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"kingcupplank.example/kingcup/revision"
)

var errUnavailable = errors.New("store unavailable")

// fakeStore is a feed whose table a test writes.
type fakeStore struct {
	start time.Time

	mu       sync.Mutex
	rows     map[string]Row
	log      []Row
	revision uint64
	// oldest is the revision from which the history is available.
	oldest      uint64
	unavailable bool
	calls       int
	changed     chan struct{}
	// snapshotTime is how long a snapshot takes.
	snapshotTime time.Duration
}

func newFakeStore() *fakeStore {
	return &fakeStore{start: time.Now(), rows: make(map[string]Row), changed: make(chan struct{})}
}

func (s *fakeStore) put(key, value string) { s.write(Row{Key: key, Value: []byte(value)}) }

func (s *fakeStore) remove(key string) { s.write(Row{Key: key, Deleted: true}) }

func (s *fakeStore) write(r Row) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	r.Revision = revision.At(0, s.revision)
	s.log = append(s.log, r)
	s.rows[r.Key] = r
	if r.Deleted {
		delete(s.rows, r.Key)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// compact removes the history of all changes so far.
func (s *fakeStore) compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.oldest = s.revision
}

func (s *fakeStore) setUnavailable(unavailable bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unavailable = unavailable
}

func (s *fakeStore) callCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

func (s *fakeStore) page() Page {
	return Page{Revision: revision.At(0, s.revision), Clock: time.Since(s.start)}
}

func (s *fakeStore) Snapshot(ctx context.Context, partTimeout time.Duration) (Page, error) {
	ctx, cancel := context.WithTimeout(ctx, partTimeout)
	defer cancel()
	select {
	case <-time.After(s.snapshotTime):
	case <-ctx.Done():
		return Page{}, ctx.Err()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.unavailable {
		return Page{}, errUnavailable
	}
	p := s.page()
	for _, r := range s.rows {
		p.Rows = append(p.Rows, r)
	}
	return p, nil
}

func (s *fakeStore) Changes(ctx context.Context, since revision.Revision, timeout time.Duration, _ func()) (Page, error) {
	s.mu.Lock()
	s.calls++
	if s.unavailable {
		s.mu.Unlock()
		return Page{}, errUnavailable
	}
	if since.Version() < s.oldest {
		s.mu.Unlock()
		return Page{}, ErrHistoryLost
	}
	changed, upToDate := s.changed, since.Version() >= s.revision
	s.mu.Unlock()
	if upToDate {
		select {
		case <-changed:
		case <-time.After(timeout):
		case <-ctx.Done():
			return Page{}, ctx.Err()
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.page()
	for _, r := range s.log {
		if since.Before(r.Revision) {
			p.Rows = append(p.Rows, r)
		}
	}
	return p, nil
}

// recordingSink is a sink that records its calls. outages contains the reported outage for
// each deleted key.
type recordingSink struct {
	mu        sync.Mutex
	rows      map[string]string
	resets    int
	outages   map[string]time.Duration
	confirmed time.Duration
}

func newRecordingSink() *recordingSink {
	return &recordingSink{rows: make(map[string]string), outages: make(map[string]time.Duration)}
}

func (s *recordingSink) Reset(rows []Row, _ revision.Revision, outage time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.resets++
	clear(s.rows)
	for _, r := range rows {
		s.rows[r.Key] = string(r.Value)
	}
}

func (s *recordingSink) Apply(rows []Row, outage time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range rows {
		if r.Deleted {
			delete(s.rows, r.Key)
			s.outages[r.Key] = outage
			continue
		}
		s.rows[r.Key] = string(r.Value)
	}
}

func (s *recordingSink) Confirm(at time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.confirmed = at
}

func (s *recordingSink) get(key string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rows[key]
}

func (s *recordingSink) age(now time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now - s.confirmed
}

func (s *recordingSink) outage(key string) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.outages[key]
}

// fixedSharing is a Sharing with fixed answers. onShare receives the shared pages.
type fixedSharing struct {
	isReader      func(reached bool) bool
	onShare       func(SharedPage)
	peerIsReading bool
	// fetch is nil if no peer serves the table.
	fetch func() (Page, error)
}

func (f fixedSharing) StoreAnswered() {}

func (f fixedSharing) IsPeerReading() bool { return f.peerIsReading }

func (f fixedSharing) MayCallStore(bool, time.Duration) bool { return true }

func (f fixedSharing) Fetch(context.Context, revision.Revision) (Page, error) {
	if f.fetch == nil {
		return Page{}, ErrNoPeer
	}
	return f.fetch()
}

func (f fixedSharing) IsReader(reached bool) bool { return f.isReader(reached) }
func (f fixedSharing) Share(s SharedPage)         { f.onShare(s) }

func discardLogger() logrus.FieldLogger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

const testPollTimeout = 1500 * time.Millisecond

// startFollower runs a follower in a synctest bubble.
func startFollower(t *testing.T, feed Feed, sink Sink, sharing Sharing) (f *Follower, now func() time.Duration) {
	return startFollowerWith(t, Config{Name: "t", PollTimeout: testPollTimeout}, feed, sink, sharing)
}

func startFollowerWith(t *testing.T, cfg Config, feed Feed, sink Sink, sharing Sharing) (f *Follower, now func() time.Duration) {
	begin := time.Now()
	now = func() time.Duration { return time.Since(begin) + time.Minute }
	f = New(cfg, feed, sink, sharing, now, discardLogger())
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	go f.Run(ctx)
	return f, now
}
