package follow

import (
	"context"
	"io"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"kingcupplank.example/kingcup/revision"
)

var errAway = errors.New("store away")

// fakeStore is a table whose history a test writes.
type fakeStore struct {
	start time.Time

	mu       sync.Mutex
	rows     map[string]Row
	log      []Row
	revision uint64
	oldest   uint64
	away     bool
	calls    int
	changed  chan struct{}
	// slow is how long a snapshot takes.
	slow time.Duration
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

// compact forgets the history.
func (s *fakeStore) compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.oldest = s.revision
}

func (s *fakeStore) setAway(away bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = away
}

func (s *fakeStore) called() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

func (s *fakeStore) page() Page {
	return Page{Revision: revision.At(0, s.revision), Clock: time.Since(s.start)}
}

func (s *fakeStore) Snapshot(ctx context.Context, patience time.Duration) (Page, error) {
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	select {
	case <-time.After(s.slow):
	case <-ctx.Done():
		return Page{}, ctx.Err()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.away {
		return Page{}, errAway
	}
	p := s.page()
	for _, r := range s.rows {
		p.Rows = append(p.Rows, r)
	}
	return p, nil
}

func (s *fakeStore) Changes(ctx context.Context, since revision.Revision, wait time.Duration, _ func()) (Page, error) {
	s.mu.Lock()
	s.calls++
	if s.away {
		s.mu.Unlock()
		return Page{}, errAway
	}
	if since.Version() < s.oldest {
		s.mu.Unlock()
		return Page{}, ErrHistoryLost
	}
	changed, none := s.changed, since.Version() >= s.revision
	s.mu.Unlock()
	if none {
		select {
		case <-changed:
		case <-time.After(wait):
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

// table is a sink that records.
type table struct {
	mu        sync.Mutex
	rows      map[string]string
	resets    int
	outages   map[string]time.Duration
	confirmed time.Duration
}

func newTable() *table {
	return &table{rows: make(map[string]string), outages: make(map[string]time.Duration)}
}

func (t *table) Reset(rows []Row, outage time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.resets++
	clear(t.rows)
	for _, r := range rows {
		t.rows[r.Key] = string(r.Value)
	}
}

func (t *table) Apply(rows []Row, outage time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range rows {
		if r.Deleted {
			delete(t.rows, r.Key)
			t.outages[r.Key] = outage
			continue
		}
		t.rows[r.Key] = string(r.Value)
	}
}

func (t *table) Confirm(at time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.confirmed = at
}

func (t *table) get(key string) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.rows[key]
}

func (t *table) age(now time.Duration) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return now - t.confirmed
}

func (t *table) outage(key string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.outages[key]
}

type fixedSharing struct {
	reads   func(reached bool) bool
	shared  func(SharedPage)
	reading bool
	// fetch is nil where no peer serves the table.
	fetch func() (Page, error)
}

func (f fixedSharing) IsPeerReading() bool { return f.reading }

func (f fixedSharing) MayCallStore(time.Duration) bool { return true }

func (f fixedSharing) Fetch(context.Context, revision.Revision) (Page, error) {
	if f.fetch == nil {
		return Page{}, ErrNoPeer
	}
	return f.fetch()
}

func (f fixedSharing) IsReader(reached bool) bool { return f.reads(reached) }
func (f fixedSharing) Share(s SharedPage)         { f.shared(s) }

func quiet() logrus.FieldLogger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

const testWait = 1500 * time.Millisecond

// begin runs a follower in a bubble.
func begin(t *testing.T, feed Feed, sink Sink, sharing Sharing) (f *Follower, now func() time.Duration) {
	return beginWith(t, Config{Name: "t", PollTimeout: testWait}, feed, sink, sharing)
}

func beginWith(t *testing.T, cfg Config, feed Feed, sink Sink, sharing Sharing) (f *Follower, now func() time.Duration) {
	start := time.Now()
	now = func() time.Duration { return time.Since(start) + time.Minute }
	f = New(cfg, feed, sink, sharing, now, quiet())
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	go f.Run(ctx)
	return f, now
}

// The store drops its history while a follower is behind: rows that were dropped
// in the gap must not stay, so the table is read anew.
func TestGapInTheHistoryReadsTheTableAnew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, sink := newFakeStore(), newTable()
		store.put("a", "1")
		store.put("b", "1")
		begin(t, store, sink, nil)
		time.Sleep(100 * time.Millisecond)
		require.Equal(t, "1", sink.get("b"))
		store.setAway(true)
		time.Sleep(2 * time.Second)
		store.remove("b")
		store.put("a", "2")
		store.compact()
		store.setAway(false)
		time.Sleep(time.Second)
		require.Equal(t, "2", sink.get("a"))
		require.Empty(t, sink.get("b"))
		require.Equal(t, 2, sink.resets)
	})
}

// The store is away. The age of the view must grow all the while, so that keys
// are not trusted; after its return the view is fresh again within a second.
func TestAgeGrowsWhileTheStoreIsAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, sink := newFakeStore(), newTable()
		_, now := begin(t, store, sink, nil)
		time.Sleep(5 * time.Second)
		require.LessOrEqual(t, sink.age(now()), testWait)
		store.setAway(true)
		time.Sleep(5 * time.Second)
		require.Greater(t, sink.age(now()), 3*time.Second)
		store.setAway(false)
		time.Sleep(time.Second)
		require.LessOrEqual(t, sink.age(now()), time.Second)
	})
}

// A row vanishes in a quiet moment, another shortly after the store was away. Only
// the second may have lapsed while its owner lives; the first is gone at once.
func TestOnlyOutagesExcuseLapsedRows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, sink := newFakeStore(), newTable()
		store.put("a", "1")
		store.put("b", "1")
		begin(t, store, sink, nil)
		time.Sleep(testWait + testWait/2)
		store.remove("a")
		time.Sleep(10 * time.Millisecond)
		require.Zero(t, sink.outage("a"))
		store.setAway(true)
		// A call that waits at the store when the outage begins is still answered.
		time.Sleep(testWait + 3*time.Second)
		store.setAway(false)
		time.Sleep(time.Second)
		store.remove("b")
		time.Sleep(10 * time.Millisecond)
		require.Greater(t, sink.outage("b"), 2*time.Second)
	})
}

// Two processes follow a table and one reads for both. The other makes no calls of
// its own and has each change as soon; when the reader falls silent, it reads by
// itself within the time in which keys are still trusted.
func TestOneReadsForTheOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, far := newFakeStore(), newFakeStore()
		reader, other := newTable(), newTable()
		var silent atomic.Bool
		var peer atomic.Pointer[Follower]
		begin(t, store, reader, fixedSharing{
			reads: func(bool) bool { return true },
			shared: func(s SharedPage) {
				if f := peer.Load(); f != nil && !silent.Load() {
					f.ReceivePage(s)
				}
			},
		})
		synctest.Wait()
		f, now := begin(t, far, other, fixedSharing{reads: func(bool) bool { return false }, shared: func(SharedPage) {}})
		peer.Store(f)
		time.Sleep(10 * time.Millisecond)
		require.Equal(t, 1, far.called())
		store.put("a", "1")
		time.Sleep(10 * time.Millisecond)
		require.Equal(t, "1", other.get("a"))
		time.Sleep(10 * time.Second)
		require.Equal(t, 1, far.called())
		require.LessOrEqual(t, other.age(now()), testWait+100*time.Millisecond)

		silent.Store(true)
		time.Sleep(testWait + 2*silentSlack)
		require.Greater(t, far.called(), 1)
	})
}

// A page from a peer is lost. The next one does not join on to what is known; its
// rows must wait until the gap has been read, or a change would be missed for
// good.
func TestMissedPageIsReadFromTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, sink := newFakeStore(), newTable()
		store.put("a", "1")
		f, _ := begin(t, store, sink, fixedSharing{reads: func(bool) bool { return false }, shared: func(SharedPage) {}})
		time.Sleep(10 * time.Millisecond)
		store.put("a", "2")
		store.put("b", "1")
		f.ReceivePage(SharedPage{Since: revision.At(0, 2), Page: Page{Revision: revision.At(0, 3), Clock: time.Since(store.start), Rows: []Row{{Key: "b", Value: []byte("1"), Revision: revision.At(0, 3)}}}})
		time.Sleep(10 * time.Millisecond)
		require.Equal(t, "2", sink.get("a"))
		require.Equal(t, "1", sink.get("b"))
	})
}

// Pages overtake each other on two links. An older one must not bring back what a
// newer one has changed.
func TestOlderPageChangesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, sink := newFakeStore(), newTable()
		store.put("a", "1")
		f, _ := begin(t, store, sink, fixedSharing{reads: func(bool) bool { return false }, shared: func(SharedPage) {}})
		time.Sleep(10 * time.Millisecond)
		row := func(v string, version uint64) Page {
			rev := revision.At(0, version)
			return Page{Revision: rev, Clock: time.Since(store.start), Rows: []Row{{Key: "a", Value: []byte(v), Revision: rev}}}
		}
		f.ReceivePage(SharedPage{Since: revision.At(0, 1), Page: row("3", 3)})
		f.ReceivePage(SharedPage{Since: revision.At(0, 1), Page: row("2", 2)})
		require.Equal(t, "3", sink.get("a"))
	})
}

// All VMs start at once, and the store needs seconds for each table. Tries that
// are given up too early keep its link busy without end; they must become longer.
func TestSlowSnapshotIsWaitedFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, sink := newFakeStore(), newTable()
		store.slow = 3 * time.Second
		store.put("a", "1")
		begin(t, store, sink, nil)
		time.Sleep(8 * time.Second)
		require.Equal(t, "1", sink.get("a"))
	})
}

// A page was missed, and a peer can bring what it held: the store, whose answer may be a
// large row, must not be asked for it as well. When the peer cannot, the store is.
func TestMissedPageIsFetchedFromAPeer(t *testing.T) {
	for _, serves := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			store, sink := newFakeStore(), newTable()
			store.put("a", "1")
			fetched := 0
			f, now := begin(t, store, sink, fixedSharing{
				reads: func(bool) bool { return false }, shared: func(SharedPage) {},
				fetch: func() (Page, error) {
					fetched++
					if !serves {
						return Page{}, errAway
					}
					sink.Apply([]Row{{Key: "a", Value: []byte("2")}}, 0)
					return Page{Revision: revision.At(0, 2), Clock: time.Since(store.start)}, nil
				},
			})
			time.Sleep(10 * time.Millisecond)
			store.put("a", "2")
			before := store.called()
			f.ReceivePage(SharedPage{Since: revision.At(0, 2), Page: Page{Revision: revision.At(0, 2), Clock: time.Since(store.start)}})
			time.Sleep(10 * time.Millisecond)
			require.Equal(t, "2", sink.get("a"))
			require.Equal(t, 1, fetched)
			require.Equal(t, !serves, store.called() > before)
			require.Less(t, sink.age(now()), 50*time.Millisecond)
			position, _ := f.Position()
			require.EqualValues(t, 2, position.Revision.Version())
		})
	}
}

// Another process says that it has a newer table, and cannot be asked: the process that
// lives on others goes on doing so, and does not call the store for it.
func TestBeingBehindIsNoReasonToReadTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		f, _ := begin(t, store, newTable(), fixedSharing{reads: func(bool) bool { return false }, shared: func(SharedPage) {}})
		time.Sleep(10 * time.Millisecond)
		before := store.called()
		for range 5 {
			f.ReceivePosition(Position{Changed: revision.At(0, 99), Revision: revision.At(0, 99)})
			time.Sleep(100 * time.Millisecond)
		}
		require.Equal(t, before, store.called())
	})
}

// The peer that reads the store for this one takes in a long row for 2 s and announces
// nothing meanwhile. Reading the row here as well would fill a thin link with it. Only
// when that lasts too long the store is asked.
func TestLongAnswerAtAPeerIsWaitedFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		begin(t, store, newTable(), fixedSharing{reads: func(bool) bool { return false }, shared: func(SharedPage) {}, reading: true})
		time.Sleep(readingPatience - 100*time.Millisecond)
		require.Equal(t, 1, store.called())
		time.Sleep(2 * testWait)
		require.Greater(t, store.called(), 1)
	})
}

// A VM that lives on what peers read is suspended, and its peers' links are gone when it
// wakes. By its timers it has just heard of them; by the clock its view is old, so it reads
// the store at once, and what it says of its age tells the truth.
func TestSuspendedVMReadsAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, sink := newFakeStore(), newTable()
		store.put("a", "1")
		log := logrus.New()
		log.SetOutput(io.Discard)
		start, suspended := time.Now(), atomic.Int64{}
		now := func() time.Duration { return time.Since(start) + time.Duration(suspended.Load()) }
		f := New(Config{Name: "t", PollTimeout: testWait}, store, sink, fixedSharing{reads: func(bool) bool { return false }, shared: func(SharedPage) {}}, now, log)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go f.Run(ctx)
		time.Sleep(10 * time.Millisecond)
		store.put("a", "2")
		suspended.Store(int64(10 * time.Second))
		require.GreaterOrEqual(t, sink.age(now()), 10*time.Second)
		time.Sleep(2 * leanPoll)
		require.Equal(t, "2", sink.get("a"))
		require.Less(t, sink.age(now()), time.Second)
	})
}
