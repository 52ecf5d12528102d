package relay

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"kingcupplank.example/kingcup/backends"
	"kingcupplank.example/kingcup/cells"
	"kingcupplank.example/kingcup/standby"
)

// standbyRecorder counts the events of standby copies.
type standbyRecorder struct {
	noObserver
	mu     sync.Mutex
	events map[StandbyEvent]int
}

func (o *standbyRecorder) StandbyCopy(event StandbyEvent) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.events[event]++
}

func (o *standbyRecorder) count(event StandbyEvent) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.events[event]
}

// newZoneFixture returns a fixture of a deployment that may lose a failure domain. Engines are
// added with addEngine.
func newZoneFixture(t *testing.T) (*fixture, *standbyRecorder) {
	f := newFixture(t, Config{DomainFailures: 1})
	o := &standbyRecorder{events: make(map[StandbyEvent]int)}
	f.relay.Observer = o
	return f, o
}

func (f *fixture) addEngine(id, domain string) backends.Server {
	s := f.newEntry(id, modelService)
	s.FailureDomain, s.Slots = domain, 24
	f.registry.Put(s, f.now())
	return s
}

// peerLoad sets the load that a peer reports for an engine.
func (f *fixture) peerLoad(peer, engine string, l backends.Load) {
	f.registry.SetRemoteLoads(peer, map[string]backends.Load{engine: l})
}

// copiedStreams are long generations at the engine home, which have standby copies at the engine
// keeper of another failure domain.
type copiedStreams struct {
	*fixture
	*standbyRecorder
	callers []*caller
	// mu guards bodies and resumed, the bodies of new responses and of those that resume from copies.
	mu              sync.Mutex
	bodies, resumed []*fakeBody
	// copyCalls counts the copies of each run.
	copyCalls map[string]int
	// written is the number of events that each of bodies has had.
	written []int
}

const (
	// copyTokens is the memory that a copy counts which is made after the first event.
	copyTokens = 3000 + 4 + maxCountedGrowth
	// fakeCopyTime is the time that a first copy takes.
	fakeCopyTime = 200 * time.Millisecond
)

// copyRun copies a run as engines do: the first copy takes a while, a later one only has what is new.
func (s *copiedStreams) copyRun(ctx context.Context, _ backends.Server, id, to string, _ bool) (string, error) {
	s.mu.Lock()
	s.copyCalls[id]++
	n := s.copyCalls[id]
	s.mu.Unlock()
	if n == 1 {
		select {
		case <-time.After(fakeCopyTime):
		case <-ctx.Done():
			return "", ctx.Err()
		}
	}
	return fmt.Sprintf("h%d-%s", n, id), nil
}

// startStreams starts n generations r0, r1 and so on, of which each has fewer events than the one
// before. Other gateways have runs that take 6,000 of 30,000 tokens at keeper.
func startStreams(t *testing.T, n int) *copiedStreams {
	f, o := newZoneFixture(t)
	s := &copiedStreams{fixture: f, standbyRecorder: o, copyCalls: make(map[string]int)}
	f.upstream.copyRun = s.copyRun
	f.addEngine("home", "zone-1")
	f.addEngine("keeper", "zone-2")
	f.upstream.send = func(_ context.Context, a *Attempt) (*Response, error) {
		body := newFakeBody()
		s.mu.Lock()
		defer s.mu.Unlock()
		if a.ResumeFrom != nil {
			s.resumed = append(s.resumed, body)
		} else {
			s.bodies = append(s.bodies, body)
		}
		return body.response(), nil
	}
	for i := range n {
		s.startAtHome()
		require.Equal(t, "home", f.upstream.sent[i].Server.ID)
		require.Empty(t, f.upstream.sent[i].StandbyAddress, "a copy of this kind can't be freed")
		require.Len(t, f.upstream.copyCalls(), i, "no copy before the first event")
		s.bodies[i].write(event(1))
		time.Sleep(fakeCopyTime)
		synctest.Wait()
		require.Equal(t, fmt.Sprintf("r%d home>keeper:1 false", i), f.upstream.copyCalls()[i])
	}
	for i, body := range s.bodies {
		s.written = append(s.written, n-i)
		body.write(events(2, n-i))
	}
	synctest.Wait()
	return s
}

// start starts one more generation and waits until its response has begun.
func (s *copiedStreams) start() {
	c, r := &caller{}, request("/plan/x")
	r.ID = fmt.Sprint("r", len(s.callers))
	s.callers = append(s.callers, c)
	go s.relay.Serve(s.t.Context(), r, c)
	synctest.Wait()
}

// startAtHome starts one more generation at home, which keeper is too full for at that time.
func (s *copiedStreams) startAtHome() {
	s.peerLoad("vm-2", "keeper", backends.Load{Running: 4, ExpectedTokens: 12000})
	s.start()
	s.peerLoad("vm-2", "keeper", backends.Load{Running: 2, ExpectedTokens: 6000})
}

// run has the streams of startStreams go on for d, so that none of them is silent.
func (s *copiedStreams) run(d time.Duration) {
	for until := time.Now().Add(d); time.Now().Before(until); {
		for i := range s.written {
			s.written[i]++
			s.bodies[i].write(event(s.written[i]))
		}
		time.Sleep(min(40*time.Millisecond, time.Until(until)))
	}
	synctest.Wait()
}

// end ends all streams and checks that no load is left.
func (s *copiedStreams) end() {
	synctest.Wait()
	for _, body := range append(s.bodies, s.resumed...) {
		body.writer.Close()
	}
	synctest.Wait()
	require.Empty(s.t, s.registry.Loads())
	require.Empty(s.t, s.relay.standbys.servers())
}

// copyOf returns the first copy of the i-th stream.
func copyOf(i int) KVCopy { return KVCopy{Source: "home:1", Handle: fmt.Sprint("h1-r", i)} }

// Where a failure domain may be lost, copies are made up to 0.65 of the memory of the engine and 0.6 of
// that of the service, and outside of the run's failure domain if there is room. Guards against copies that
// take memory for which requests queue, or have queued just before, and against copies of short runs.
func TestEvictableStandbysAreMadeUnderTheirLimits(t *testing.T) {
	for _, tt := range []struct {
		name string
		// other and same are the memory in use at the engines of another and of the run's failure
		// domain that may keep the copy, of 30,000 tokens.
		other, same, maxOutput int
		// queuedAgo is the time since a request was queued, 0 if none was, queued that one is.
		queuedAgo time.Duration
		queued    bool
		want      string
	}{
		{"another domain first", 15000, 5000, 2000, 0, false, "other:1"},
		{"no room in another domain", 18000, 5000, 2000, 0, false, "same:1"},
		{"no room at any engine", 18000, 18000, 2000, 0, false, ""},
		{"room at one engine, just enough in the service", 10000, 28000, 2000, 0, false, "other:1"},
		{"room at one engine, not in the service", 10000, 29500, 2000, 0, false, ""},
		{"a request is queued", 5000, 5000, 2000, 5 * time.Second, true, ""},
		{"a request was queued just before", 5000, 5000, 2000, 1900 * time.Millisecond, false, ""},
		{"a request was queued before", 5000, 5000, 2000, 2 * time.Second, false, "other:1"},
		{"run of below 2 s", 5000, 5000, 220, 0, false, ""},
		{"run of below 1 s", 5000, 5000, 40, 0, false, ""},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f, o := newZoneFixture(t)
				eq := f.relay.engineQueue(modelService)
				if tt.queuedAgo > 0 {
					f.relay.reportQueue(modelService, eq, 1)
					if !tt.queued {
						f.relay.reportQueue(modelService, eq, -1)
					}
					time.Sleep(tt.queuedAgo)
				}
				home := f.addEngine("home", "zone-1")
				f.addEngine("other", "zone-2")
				f.addEngine("same", "zone-1")
				f.registry.SetRemoteLoads("vm-2", map[string]backends.Load{
					"home": {Running: 4, ExpectedTokens: 15000}, "other": {Running: 4, ExpectedTokens: tt.other}, "same": {Running: 4, ExpectedTokens: tt.same},
				})
				f.upstream.copyRun = func(context.Context, backends.Server, string, string, bool) (string, error) { return "h", nil }
				u := f.startRun(tt.maxOutput, home)
				f.relay.updateStandby(u)
				synctest.Wait()
				if tt.want == "" {
					require.Empty(t, f.upstream.copyCalls())
					return
				}
				require.Equal(t, []string{"r1 home>" + tt.want + " false"}, f.upstream.copyCalls())
				require.Equal(t, 1, o.count(StandbyMade))
				f.relay.removeRun(u)
				synctest.Wait()
				require.Empty(t, f.registry.Loads())
			})
		})
	}
}

// startRun returns a run at a server that has had its first event.
func (f *fixture) startRun(maxOutput int, at backends.Server) *run {
	u := newRun(f.newGeneration(maxOutput))
	u.server, u.eventCount = at, 1
	return u
}

// newGeneration returns an admitted generation.
func (f *fixture) newGeneration(maxOutput int) *job {
	r := request("/plan/x")
	r.Generation = &Generation{PromptTokens: 3000, MaxOutput: maxOutput, EstimatedOutput: maxOutput / 2}
	j, refusal := f.relay.admit(r)
	require.Nil(f.t, refusal)
	return j
}

// Guards against a request that waits, or is refused, because of copies: it is placed at once on an
// engine that copies fill, where this gateway drops the copy of the run with the fewest events. If
// that run's engine crashes, its caller is told at once and nothing is sent; the other runs resume.
func TestRequestTakesMemoryOfStandbys(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startStreams(t, 3)
		s.registry.SetRemoteLoads("vm-2", map[string]backends.Load{"home": {Running: 6, ExpectedTokens: 19000}, "keeper": {Running: 6, ExpectedTokens: 14000}})
		s.run(200 * time.Millisecond)
		require.Empty(t, s.upstream.droppedCopies(), "just below 0.8 of the memory is in use")
		notified := s.peers.notified()
		start := time.Now()
		s.start()
		require.Zero(t, time.Since(start))
		require.Equal(t, "keeper", s.upstream.sent[3].Server.ID)
		require.Equal(t, []KVCopy{copyOf(2)}, s.upstream.droppedCopies())
		require.Equal(t, 1, s.count(StandbyDropped))
		require.Greater(t, s.peers.notified(), notified)
		require.Equal(t, 2*copyTokens, s.registry.Loads()["keeper"].Standby, "peers see two copies")

		s.bodies[2].breakOff()
		s.bodies[0].breakOff()
		synctest.Wait()
		require.True(t, s.callers[2].aborted)
		require.Equal(t, 1, s.count(StandbyMissing))
		require.Len(t, s.resumed, 1)
		require.Equal(t, copyOf(0), *s.upstream.sent[4].ResumeFrom)
		require.Equal(t, 1, s.count(StandbyUsed))
		require.Equal(t, copyTokens, s.registry.Loads()["keeper"].Standby, "the memory of the resumed run is its own")
		s.end()
	})
}

// Guards against copies that keep the memory which a request of another gateway has been given:
// they are dropped once its report arrives, and no more of them than needed.
func TestPeersRequestsTakeMemoryOfStandbys(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startStreams(t, 3)
		s.peerLoad("vm-2", "keeper", backends.Load{Running: 7, ExpectedTokens: 17500})
		s.run(standbyCheckInterval)
		require.ElementsMatch(t, []KVCopy{copyOf(2), copyOf(1)}, s.upstream.droppedCopies())
		s.peerLoad("vm-2", "keeper", backends.Load{Running: 8, ExpectedTokens: 24500})
		s.run(standbyCheckInterval)
		require.Len(t, s.upstream.droppedCopies(), 3)
		s.end()
	})
}

// Guards against copies that are made and dropped all the time while memory is short.
func TestDroppedStandbyIsNotMadeAgainAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startStreams(t, 1)
		s.peerLoad("vm-2", "keeper", backends.Load{Running: 9, ExpectedTokens: 27000})
		s.run(standbyCheckInterval)
		require.Len(t, s.upstream.droppedCopies(), 1)
		s.peerLoad("vm-2", "keeper", backends.Load{Running: 4, ExpectedTokens: 12000})
		s.run(standby.RetryAfterDrop - 100*time.Millisecond)
		require.Equal(t, 1, s.count(StandbyMade))
		s.run(200 * time.Millisecond)
		require.Equal(t, 2, s.count(StandbyMade))
		s.end()
	})
}

// Guards against all gateways dropping copies for one request: those that come later in the order
// of the server wait for the others, but not for one that is cut off.
func TestGatewaysDropStandbysInOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startStreams(t, 2)
		total := 0
		for _, peer := range []string{"vm-2", "vm-3", "vm-4", "vm-5"} {
			s.peerLoad(peer, "keeper", backends.Load{Running: 2, ExpectedTokens: 4500, Standby: 3300})
			total += 4500
		}
		// The name of this gateway decides whether it is the first or the last.
		first, last := "", ""
		for i := 0; first == "" || last == ""; i++ {
			s.registry.SetCell(cells.Place{Self: fmt.Sprint("gw-", i), CellCount: 1})
			switch _, preceding := s.anyStandby().StandbyExcess(0.5); preceding {
			case 0:
				first = fmt.Sprint("gw-", i)
			case 4 * 3300:
				last = fmt.Sprint("gw-", i)
			}
		}
		s.registry.SetCell(cells.Place{Self: last, CellCount: 1})
		excess := total + 2*copyTokens - 24000
		require.Positive(t, excess)
		require.Less(t, excess, 3300, "one copy is enough")
		s.run(3 * standbyCheckInterval)
		require.Empty(t, s.upstream.droppedCopies(), "the others are first")
		s.run(standby.PeerWait)
		require.Len(t, s.upstream.droppedCopies(), 1, "the others do not drop theirs")
		s.registry.SetCell(cells.Place{Self: first, CellCount: 1})
		s.peerLoad("vm-2", "keeper", backends.Load{Running: 3, ExpectedTokens: 7800, Standby: 3300})
		s.run(standbyCheckInterval)
		require.Len(t, s.upstream.droppedCopies(), 2, "at once")
		s.end()
	})
}

// anyStandby returns the reservation of one of the copies.
func (s *copiedStreams) anyStandby() *backends.Reservation {
	for _, at := range s.relay.standbys.servers() {
		reservations, _ := s.relay.standbys.at(at)
		return reservations[0]
	}
	return nil
}

// Guards against a copy that is dropped after its run has begun to resume from it.
func TestStandbyInUseIsNotDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startStreams(t, 1)
		s.bodies[0].breakOff()
		synctest.Wait()
		require.Len(t, s.resumed, 1)
		s.peerLoad("vm-2", "keeper", backends.Load{Running: 9, ExpectedTokens: 30000})
		time.Sleep(time.Second)
		require.Empty(t, s.upstream.droppedCopies())
		require.Zero(t, s.registry.Loads()["keeper"].Standby)
		s.end()
	})
}

// Guards against copies whose growth is not counted, so that their engine runs out of memory, and
// against a resume that computes all that its run has made: copies are refreshed, and the newest is
// used.
func TestStandbysAreRefreshed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startStreams(t, 1)
		for s.written[0] < standby.RefreshEvents {
			s.run(40 * time.Millisecond)
		}
		require.Zero(t, s.count(StandbyRefreshed))
		require.Equal(t, copyTokens, s.registry.Loads()["keeper"].Standby)
		s.run(40 * time.Millisecond)
		require.Equal(t, 1, s.count(StandbyRefreshed))
		require.Equal(t, copyTokens+4*standby.RefreshEvents, s.registry.Loads()["keeper"].Standby)
		s.bodies[0].breakOff()
		synctest.Wait()
		require.Len(t, s.resumed, 1)
		require.Equal(t, KVCopy{Source: "home:1", Handle: "h2-r0"}, *s.upstream.sent[1].ResumeFrom)
		s.end()
	})
}

// A refresh fails, for example as the run's engine crashes in the meantime: the run resumes from the
// copy that it has.
func TestFailedRefreshKeepsTheCopy(t *testing.T) {
	for _, failure := range []error{ErrNoCapacity, ErrCopyInProgress, ErrNoRun, context.DeadlineExceeded} {
		synctest.Test(t, func(t *testing.T) {
			s := startStreams(t, 1)
			s.upstream.copyRun = func(context.Context, backends.Server, string, string, bool) (string, error) { return "", failure }
			s.run(4 * time.Second)
			require.Positive(t, s.count(StandbyFailed))
			require.LessOrEqual(t, s.count(StandbyFailed), 3, "once a second")
			s.bodies[0].breakOff()
			synctest.Wait()
			require.Len(t, s.resumed, 1)
			require.Equal(t, copyOf(0), *s.upstream.sent[1].ResumeFrom)
			s.end()
		})
	}
}

// Guards against a second server that continues a run while the first still works on it: only a
// server that receives the run as it grows may be asked while the stream is silent.
func TestSilentStreamIsNotHedgedFromAnEvictableCopy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startStreams(t, 1)
		time.Sleep(5 * time.Second)
		require.Len(t, s.upstream.sent, 1)
		s.end()
		s.callers[0].requireWhole(t, event(1))
	})
}

// Guards against memory that a copy keeps although it was dropped while it was being refreshed: the
// refreshed copy is freed as well.
func TestStandbyDroppedDuringARefreshIsFreed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startStreams(t, 1)
		s.upstream.copyRun = func(context.Context, backends.Server, string, string, bool) (string, error) {
			s.peerLoad("vm-2", "keeper", backends.Load{Running: 9, ExpectedTokens: 30000})
			time.Sleep(fakeCopyTime)
			require.Equal(t, []KVCopy{copyOf(0)}, s.upstream.droppedCopies())
			return "newer", nil
		}
		s.run(3 * time.Second)
		require.Equal(t, []KVCopy{copyOf(0), {Source: "home:1", Handle: "newer"}}, s.upstream.droppedCopies())
		s.bodies[0].breakOff()
		synctest.Wait()
		require.True(t, s.callers[0].aborted)
		require.Len(t, s.upstream.sent, 1, "nothing to resume from")
		s.end()
	})
}

// Guards against memory that copies keep after their runs: a copy is freed when its run ends, also one
// that is still being made then.
func TestStandbyOfAFinishedRunIsFreed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startStreams(t, 1)
		s.start()
		s.bodies[1].write(event(1))
		for _, body := range s.bodies {
			body.writer.Close()
		}
		synctest.Wait()
		require.Equal(t, []KVCopy{copyOf(0)}, s.upstream.droppedCopies())
		require.Equal(t, copyTokens, s.registry.Loads()["keeper"].Standby, "one copy is still being made")
		time.Sleep(fakeCopyTime)
		s.end()
		require.Equal(t, []KVCopy{copyOf(0), copyOf(1)}, s.upstream.droppedCopies())
		require.Zero(t, s.relay.standbys.copying)
	})
}
