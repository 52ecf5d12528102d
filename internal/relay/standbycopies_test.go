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
	// written is the number of events that each of bodies has had.
	written []int
}

// runTokens is the memory that a run of startStreams counts.
const runTokens = 3000 + maxCountedGrowth

// startStreams starts n generations r0, r1 and so on, of which each has fewer events than the one
// before. Other gateways have runs that take 12,000 of 30,000 tokens at keeper.
func startStreams(t *testing.T, n int) *copiedStreams {
	f, o := newZoneFixture(t)
	s := &copiedStreams{fixture: f, standbyRecorder: o}
	f.addEngine("home", "zone-1")
	f.addEngine("keeper", "zone-2")
	f.peerLoad("vm-2", "keeper", backends.Load{Running: 4, ExpectedTokens: 12000})
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
		s.start()
		require.Equal(t, "home", f.upstream.sent[i].Server.ID)
		require.Equal(t, "keeper:1", f.upstream.sent[i].StandbyAddress)
		s.written = append(s.written, n-i)
		s.bodies[i].write(events(1, n-i))
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

// copyOf returns the copy of the i-th stream.
func copyOf(i int) KVCopy { return KVCopy{Source: "keeper:1", Handle: fmt.Sprint("r", i)} }

// Where a failure domain may be lost, copies are made although requests queue, up to 0.85 of the
// memory of the engine and of the service, and outside of the run's failure domain if there is room.
func TestStandbysThatGiveWayAreMadeUnderTheirLimits(t *testing.T) {
	for _, tt := range []struct {
		name string
		// other and same are the memory in use at the engines of another and of the run's failure
		// domain that may keep the copy, of 30,000 tokens.
		other, same, maxOutput int
		want                   string
	}{
		{"another domain first", 15000, 5000, 2000, "other:1"},
		{"no room in another domain", 24000, 5000, 2000, "same:1"},
		{"no room at any engine", 24000, 24000, 2000, ""},
		{"room at one engine, not in the service", 10000, 29000, 2000, "other:1"},
		{"run too short while room is scarce", 20000, 20000, 220, ""},
		{"short run, enough room", 5000, 5000, 220, "other:1"},
		{"run too short", 5000, 5000, 40, ""},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f, o := newZoneFixture(t)
				eq := f.relay.engineQueue(modelService)
				f.relay.reportQueue(modelService, eq, 1)
				f.relay.reportQueue(modelService, eq, -1)
				home := f.addEngine("home", "zone-1")
				f.addEngine("other", "zone-2")
				f.addEngine("same", "zone-1")
				f.registry.SetRemoteLoads("vm-2", map[string]backends.Load{
					"home": {Running: 4, ExpectedTokens: 24000}, "other": {Running: 4, ExpectedTokens: tt.other}, "same": {Running: 4, ExpectedTokens: tt.same},
				})
				j := f.newGeneration(tt.maxOutput)
				reservation := f.relay.reserveStandby(j, home)
				if tt.want == "" {
					require.Nil(t, reservation)
					return
				}
				require.Equal(t, tt.want, reservation.Server.Address)
				require.Equal(t, 1, o.count(StandbyMade))
				f.relay.releaseStandby(reservation)
			})
		})
	}
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
		s.registry.SetRemoteLoads("vm-2", map[string]backends.Load{"home": {Running: 6, ExpectedTokens: 19000}, "keeper": {Running: 6, ExpectedTokens: 18000}})
		s.run(200 * time.Millisecond)
		require.Empty(t, s.upstream.droppedCopies(), "0.93 of the memory is in use")
		notified := s.peers.notified()
		start := time.Now()
		s.start()
		require.Zero(t, time.Since(start))
		require.Equal(t, "keeper", s.upstream.sent[3].Server.ID)
		require.Equal(t, []KVCopy{copyOf(2)}, s.upstream.droppedCopies())
		require.Equal(t, 1, s.count(StandbyDropped))
		require.Greater(t, s.peers.notified(), notified)
		require.Equal(t, 2*runTokens, s.registry.Loads()["keeper"].Standby, "peers see two copies")

		s.bodies[2].breakOff()
		s.bodies[0].breakOff()
		synctest.Wait()
		require.True(t, s.callers[2].aborted)
		require.Equal(t, 1, s.count(StandbyMissing))
		require.Len(t, s.resumed, 1)
		require.Equal(t, copyOf(0), *s.upstream.sent[4].ResumeFrom)
		require.Equal(t, 1, s.count(StandbyUsed))
		require.Equal(t, runTokens, s.registry.Loads()["keeper"].Standby, "the memory of the resumed run is its own")
		s.end()
	})
}

// Guards against copies that keep the memory which a request of another gateway has been given:
// they are dropped once its report arrives, and no more of them than needed.
func TestPeersRequestsTakeMemoryOfStandbys(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startStreams(t, 3)
		s.peerLoad("vm-2", "keeper", backends.Load{Running: 7, ExpectedTokens: 22000})
		s.run(standbyCheckInterval)
		require.ElementsMatch(t, []KVCopy{copyOf(2), copyOf(1)}, s.upstream.droppedCopies())
		s.peerLoad("vm-2", "keeper", backends.Load{Running: 8, ExpectedTokens: 29000})
		s.run(standbyCheckInterval)
		require.Len(t, s.upstream.droppedCopies(), 3)
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
			s.peerLoad(peer, "keeper", backends.Load{Running: 2, ExpectedTokens: 5600, Standby: 3300})
			total += 5600
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
		excess := total + 2*runTokens - 28500
		require.Positive(t, excess)
		require.Less(t, excess, 3300, "one copy is enough")
		s.run(3 * standbyCheckInterval)
		require.Empty(t, s.upstream.droppedCopies(), "the others are first")
		s.run(standby.PeerWait)
		require.Len(t, s.upstream.droppedCopies(), 1, "the others do not drop theirs")
		s.registry.SetCell(cells.Place{Self: first, CellCount: 1})
		s.peerLoad("vm-2", "keeper", backends.Load{Running: 3, ExpectedTokens: 8900, Standby: 3300})
		s.run(standbyCheckInterval)
		require.Len(t, s.upstream.droppedCopies(), 2, "at once")
		s.end()
	})
}

// anyStandby returns the reservation of one of the copies.
func (s *copiedStreams) anyStandby() *backends.Reservation {
	for _, at := range s.relay.standbys.servers() {
		return s.relay.standbys.at(at)[0].reservation
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

// Guards against copies whose growth is not counted, so that their engine runs out of memory.
func TestStandbysCountWhatTheirRunsHold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startStreams(t, 2)
		s.run(2 * time.Second)
		loads := s.registry.Loads()
		require.Greater(t, loads["home"].ExpectedTokens, 2*runTokens)
		require.Equal(t, loads["home"].ExpectedTokens, loads["keeper"].ExpectedTokens)
		require.Equal(t, loads["home"].ExpectedTokens, loads["keeper"].Standby)
		s.end()
	})
}

// Guards against a hedge that uses a copy which has been dropped.
func TestSilentStreamWithDroppedStandbyIsNotHedged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startStreams(t, 1)
		s.peerLoad("vm-2", "keeper", backends.Load{Running: 9, ExpectedTokens: 30000})
		time.Sleep(5 * time.Second)
		require.Len(t, s.upstream.droppedCopies(), 1)
		require.Len(t, s.upstream.sent, 1)
		s.end()
		s.callers[0].requireWhole(t, event(1))
	})
}

// Guards against memory that a copy takes although it was dropped while its prompt was being read:
// the engine begins to send it afterwards, so that it is freed once more.
func TestStandbyDroppedBeforeTheResponseIsFreed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startStreams(t, 0)
		send := s.upstream.send
		s.upstream.send = func(ctx context.Context, a *Attempt) (*Response, error) {
			s.peerLoad("vm-2", "keeper", backends.Load{Running: 9, ExpectedTokens: 30000})
			time.Sleep(300 * time.Millisecond)
			require.Equal(t, []KVCopy{copyOf(0)}, s.upstream.droppedCopies())
			return send(ctx, a)
		}
		s.start()
		time.Sleep(time.Second)
		require.Equal(t, []KVCopy{copyOf(0), copyOf(0)}, s.upstream.droppedCopies())
		s.bodies[0].write(event(1))
		s.bodies[0].breakOff()
		synctest.Wait()
		require.True(t, s.callers[0].aborted)
		require.Len(t, s.upstream.sent, 1, "nothing to resume from")
		s.end()
	})
}

// The engine that keeps the copy crashes, or leaves: the run goes on without it.
func TestRunOutlivesTheEngineOfItsStandby(t *testing.T) {
	for name, lose := range map[string]func(s *copiedStreams, keeper backends.Server){
		"crashed": func(s *copiedStreams, keeper backends.Server) { s.registry.MarkDown(keeper, s.now()) },
		"left":    func(s *copiedStreams, keeper backends.Server) { s.registry.MarkLeaving(keeper) },
		"gone":    func(s *copiedStreams, keeper backends.Server) { s.registry.Remove(keeper.ID, 0, s.now()) },
		"started again": func(s *copiedStreams, keeper backends.Server) {
			keeper.StartTime = 2
			s.registry.Put(keeper, s.now())
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := startStreams(t, 1)
				keeper := s.newEntry("keeper", modelService)
				keeper.FailureDomain = "zone-2"
				lose(s, keeper)
				s.bodies[0].write(events(2, 4))
				s.end()
				s.callers[0].requireWhole(t, events(1, 4))
			})
		})
	}
}

// domainLossShare runs long responses on engines of three failure domains that are 57 % full, and
// all engines of one domain crash at once. It returns the share of the responses there that are lost.
func domainLossShare(t *testing.T, cfg Config) float64 {
	const perDomain, runs = 5, 30
	affected, lost := 0, 0
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, cfg)
		var mu sync.Mutex
		domains, bodies := make(map[string]string), make(map[*fakeBody]string)
		loads := make(map[string]backends.Load)
		for i := range 3 * perDomain {
			s := f.addEngine(fmt.Sprintf("e%02d", i), fmt.Sprint("zone-", i%3))
			domains[s.Address], loads[s.ID] = s.FailureDomain, backends.Load{Running: 4, ExpectedTokens: 10500}
		}
		f.registry.SetRemoteLoads("vm-2", loads)
		f.upstream.send = func(_ context.Context, a *Attempt) (*Response, error) {
			body := newFakeBody()
			mu.Lock()
			defer mu.Unlock()
			switch {
			case a.ResumeFrom == nil:
				bodies[body] = a.Server.FailureDomain
				go writePaced(body, 1, 200, 40*time.Millisecond)
			case domains[a.ResumeFrom.Source] == "zone-0":
				return nil, &NotRunError{Reason: NotRunDown, Detail: "connection refused"}
			default:
				go body.writer.Close()
			}
			return body.response(), nil
		}
		callers := make([]*caller, runs)
		var wg sync.WaitGroup
		for i := range callers {
			callers[i] = &caller{}
			req := request("/plan/x")
			req.ID = fmt.Sprint("r", i)
			wg.Go(func() { f.relay.Serve(t.Context(), req, callers[i]) })
			time.Sleep(100 * time.Millisecond)
		}
		synctest.Wait()
		mu.Lock()
		for body, domain := range bodies {
			if domain == "zone-0" {
				affected++
				body.breakOff()
			} else {
				body.writer.Close()
			}
		}
		mu.Unlock()
		wg.Wait()
		for _, c := range callers {
			if c.aborted {
				lost++
			}
		}
		time.Sleep(9 * time.Second)
	})
	require.Positive(t, affected)
	return float64(lost) / float64(affected)
}

// A whole failure domain crashes under engines that are 57 % full. Without the setting no copy is
// made and all responses there are lost; with it, none is.
func TestResponsesOutliveTheirFailureDomain(t *testing.T) {
	without, with := domainLossShare(t, Config{}), domainLossShare(t, Config{DomainFailures: 1})
	t.Logf("lost without the setting %.2f, with it %.2f", without, with)
	require.Equal(t, 1.0, without)
	require.Zero(t, with)
}

// Guards against copies that hold up migrations on the link of an engine.
func TestFewStandbysAreStartedTowardsAnEngineAtATime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, o := newZoneFixture(t)
		home := f.addEngine("home", "zone-1")
		f.addEngine("keeper", "zone-2")
		var started []*backends.Reservation
		for i := range standby.MaxStarting + 1 {
			j := f.newGeneration(2000)
			j.ID = fmt.Sprint("r", i)
			if reservation := f.relay.reserveStandby(j, home); reservation != nil {
				started = append(started, reservation)
			}
		}
		require.Len(t, started, standby.MaxStarting)
		require.Equal(t, 1, o.count(StandbyRefused))
		require.True(t, f.relay.standbys.begin(started[0], newRun(f.newGeneration(2000))))
		started = append(started, f.relay.reserveStandby(f.newGeneration(2000), home))
		require.NotNil(t, started[standby.MaxStarting], "one response has begun")
		for _, reservation := range started {
			f.relay.releaseStandby(reservation)
		}
		require.Empty(t, f.relay.standbys.busy())
		require.Empty(t, f.registry.Loads())
	})
}

// Guards against migrations that are refused because copies take the memory: they see it as free,
// and the copies go.
func TestMigrationTakesMemoryOfStandbys(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startStreams(t, 3)
		s.peerLoad("vm-2", "keeper", backends.Load{Running: 6, ExpectedTokens: 18500})
		home := s.newEntry("home", modelService)
		s.upstream.copyRun = func(_ context.Context, _ backends.Server, id, to string, _ bool) (string, error) {
			require.Equal(t, "keeper:1", to)
			return "h-" + id, nil
		}
		s.registry.MarkLeaving(home)
		time.Sleep(10 * time.Millisecond)
		require.Contains(t, s.upstream.droppedCopies(), copyOf(2))
		for _, body := range s.bodies {
			body.breakOff()
		}
		synctest.Wait()
		require.Len(t, s.resumed, 3)
		s.end()
	})
}
