package relay

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/require"

	"kingcupplank.example/kingcup/backends"
	"kingcupplank.example/kingcup/prefill"
)

// rolesFixture is a fixture with a fast engine that is full, and two slow ones, of which one reads prompts
// and one runs streams.
type rolesFixture struct {
	*fixture
	// reads and streams are the ids of the slow engines.
	reads, streams string
	body           *fakeBody
	// resume answers the attempts to resume the run, by the id of the server.
	resume map[string]func(a *Attempt) (*Response, error)
}

func newRolesFixture(t *testing.T) *rolesFixture {
	f := &rolesFixture{fixture: newFixture(t, Config{}), body: newFakeBody(), resume: make(map[string]func(a *Attempt) (*Response, error))}
	f.maxPause, f.linkMbps, f.noStandby = 180*time.Millisecond, 800, true
	f.apply(2)
	for _, id := range []string{"fast", "slow-1", "slow-2"} {
		f.addServer(id, modelService)
	}
	f.learnRoles()
	f.upstream.send = func(_ context.Context, a *Attempt) (*Response, error) {
		if a.ResumeFrom != nil {
			return f.resume[a.Server.ID](a)
		}
		return f.body.response(), nil
	}
	return f
}

// load reports the loads of a peer: the fast engine is full and all have prompts to read, except
// the engine that runs streams, once it is known. streamsUse is that engine's memory in use.
func (f *rolesFixture) load(streamsUse int) {
	loads := map[string]backends.Load{
		"fast": {Running: 7, ExpectedTokens: 29500, PromptTokens: 6000}, "slow-1": {Running: 1, ExpectedTokens: 3000, PromptTokens: 500}, "slow-2": {Running: 1, ExpectedTokens: 3000, PromptTokens: 500},
	}
	if f.streams != "" {
		loads[f.reads] = backends.Load{Running: 1, ExpectedTokens: 3000}
		loads[f.streams] = backends.Load{Running: 1, ExpectedTokens: streamsUse, PromptTokens: 100}
	}
	f.registry.SetRemoteLoads("vm-2", loads)
	f.registry.SetRemotePaces(map[string]backends.Pace{"fast": {Pause: 20 * time.Millisecond}, "slow-1": {Pause: 45 * time.Millisecond}, "slow-2": {Pause: 45 * time.Millisecond}}, f.now())
}

// learnRoles lets time pass until the prompt load needs one of the slow engines.
func (f *rolesFixture) learnRoles() {
	roleOf := func(id string) prefill.Role {
		reservation := f.registry.ReserveAt(f.newEntry(id, modelService), 1)
		defer reservation.Release(backends.ResultInconclusive, f.now())
		role, _ := reservation.Role()
		return role
	}
	for range 600 {
		f.load(0)
		q := backends.Query{Service: modelService, Kind: prefill.KindLong, MaxPause: f.maxPause, ExpectedTokens: 3000, CopySpeed: 1e5}
		if reservation := f.registry.Acquire(q, f.now()); reservation != nil {
			reservation.Release(backends.ResultInconclusive, f.now())
		}
		f.load(0)
		if roles := f.registry.Roles(modelService); roles.Prefill == 1 && roles.Stream == 1 {
			f.reads, f.streams = "slow-1", "slow-2"
			if roleOf("slow-1") == prefill.RoleStream {
				f.reads, f.streams = "slow-2", "slow-1"
			}
			require.Equal(f.t, prefill.RoleTolerant, roleOf("fast"))
			f.load(3000)
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	require.FailNow(f.t, "no roles")
}

// start serves a long request and sends its first events.
func (f *rolesFixture) start() (done chan *caller) {
	done = make(chan *caller, 1)
	go func() { done <- f.serve(request("/plan/x")) }()
	f.body.write(events(1, 2))
	return done
}

// answer returns a response with some events that ends the stream.
func answer(from, to int) func(a *Attempt) (*Response, error) {
	return func(*Attempt) (*Response, error) {
		next := newFakeBody()
		go func() {
			next.write(events(from, to))
			next.writer.Close()
		}()
		return next.response(), nil
	}
}

// requireNoOwnLoad requires that no reservation is left.
func (f *rolesFixture) requireNoOwnLoad() {
	f.t.Helper()
	time.Sleep(5 * time.Second)
	require.Empty(f.t, f.registry.Loads())
}

// A slow engine reads the prompt of a long response. Guards against the stream staying beside further
// prompts, and against a token that is lost or sent twice, or a crash check, because of the move.
func TestRunIsMovedAfterItsPrompt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newRolesFixture(t)
		hook := test.NewLocal(f.relay.Log.(*logrus.Logger))
		f.setCopyRun(f.body, 20*time.Millisecond)
		f.resume[f.streams] = func(a *Attempt) (*Response, error) {
			require.Equal(t, &KVCopy{Source: f.reads + ":1", Handle: "h2"}, a.ResumeFrom)
			require.Equal(t, "2", a.LastEventID)
			return answer(3, 40)(a)
		}
		(<-f.start()).requireWhole(t, events(1, 40))
		require.Equal(t, []string{f.reads, f.streams}, f.upstream.servers())
		require.Equal(t, fmt.Sprintf("r1 %s>%s:1 false", f.reads, f.streams), f.upstream.copyCalls()[0])
		moved := 0
		for _, e := range hook.AllEntries() {
			if e.Message == "run moved to a streaming engine" {
				moved++
				require.Equal(t, f.streams, e.Data["to"])
			}
		}
		require.Equal(t, 1, moved)
		require.Zero(t, f.upstream.downChecks)
		f.requireNoOwnLoad()
	})
}

// The engine that runs streams has no room, is in a dip or receives another copy. Guards against a move to
// where the run would be as late, or beyond the memory of an engine.
func TestRunStaysWithoutATarget(t *testing.T) {
	for name, change := range map[string]func(f *rolesFixture){
		"full": func(f *rolesFixture) { f.load(26000) },
		"in a dip": func(f *rolesFixture) {
			f.registry.SetRemotePaces(map[string]backends.Pace{f.streams: {Pause: 45 * time.Millisecond, Dip: true}}, f.now())
		},
		"receives a copy": func(f *rolesFixture) {
			f.registry.SetRemoteLoads("vm-3", map[string]backends.Load{f.streams: {Running: 1, CopyTokens: 30000}})
		},
		"leaving": func(f *rolesFixture) { f.addLeavingServer(f.streams, modelService) },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newRolesFixture(t)
				change(f)
				done := f.start()
				time.Sleep(50 * time.Millisecond)
				f.body.write(events(3, 40))
				f.body.writer.Close()
				(<-done).requireWhole(t, events(1, 40))
				require.Equal(t, []string{f.reads}, f.upstream.servers())
				require.Empty(t, f.upstream.copyCalls())
				f.requireNoOwnLoad()
			})
		})
	}
}

// The target refuses the copy. Guards against a run that ends with the move, or a reservation that is left.
func TestRunStaysIfTheCopyIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newRolesFixture(t)
		f.upstream.copyRun = func(context.Context, backends.Server, string, string, bool) (string, error) {
			return "", ErrNoCapacity
		}
		done := f.start()
		time.Sleep(50 * time.Millisecond)
		f.body.write(events(3, 40))
		f.body.writer.Close()
		(<-done).requireWhole(t, events(1, 40))
		require.NotEmpty(t, f.upstream.copyCalls())
		require.LessOrEqual(t, len(f.upstream.copyCalls()), maxMoves)
		f.requireNoOwnLoad()
	})
}

// The target certainly does not resume the run, which has stopped. Guards against the loss of a stream
// whose memory its source still keeps.
func TestSourceResumesARunThatTheTargetDoesNot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newRolesFixture(t)
		f.setCopyRun(f.body, 20*time.Millisecond)
		f.resume[f.streams] = func(*Attempt) (*Response, error) {
			return nil, &NotRunError{Reason: NotRunFull, Detail: "no such copy"}
		}
		f.resume[f.reads] = func(a *Attempt) (*Response, error) {
			require.Equal(t, &KVCopy{Source: f.reads + ":1", Handle: "h2"}, a.ResumeFrom)
			return answer(3, 40)(a)
		}
		(<-f.start()).requireWhole(t, events(1, 40))
		require.Equal(t, []string{f.reads, f.streams, f.reads}, f.upstream.servers())
		f.requireNoOwnLoad()
	})
}

// The engine that read the prompt dies while the run is copied. Guards against a stream that looks complete
// although it is not, and against a run that is lost although a copy of it was complete.
func TestPrefillEngineDiesDuringAMove(t *testing.T) {
	for _, copied := range []bool{false, true} {
		t.Run(fmt.Sprint("copied ", copied), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newRolesFixture(t)
				calls := 0
				f.upstream.copyRun = func(context.Context, backends.Server, string, string, bool) (string, error) {
					if calls++; copied && calls == 1 {
						return "h1", nil
					}
					time.Sleep(100 * time.Millisecond)
					f.body.breakOff()
					return "", context.DeadlineExceeded
				}
				f.resume[f.streams] = answer(3, 40)
				c := <-f.start()
				if copied {
					c.requireWhole(t, events(1, 40))
				} else {
					require.True(t, c.aborted)
					require.Equal(t, events(1, 2), c.body.String())
				}
				f.requireNoOwnLoad()
			})
		})
	}
}

// The link narrows after the first copy. Guards against a run that is stopped although what is left to
// copy would make it late, and against a move without an end.
func TestMoveIsGivenUpOnASlowLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newRolesFixture(t)
		f.setCopyRun(f.body, 300*time.Millisecond)
		done := f.start()
		time.Sleep(3 * time.Second)
		require.NotContains(t, f.upstream.copyCalls(), fmt.Sprintf("r1 %s>%s:1 true", f.reads, f.streams))
		require.LessOrEqual(t, len(f.upstream.copyCalls()), 5)
		f.body.write(events(3, 40))
		f.body.writer.Close()
		(<-done).requireWhole(t, events(1, 40))
		require.Equal(t, []string{f.reads}, f.upstream.servers())
		f.requireNoOwnLoad()
	})
}

// The caller leaves, as it does when its gateway dies, between the calls of a move. Guards against copies that
// keep memory.
func TestCallerLeavesDuringAMove(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newRolesFixture(t)
		f.setCopyRun(f.body, 50*time.Millisecond)
		ctx, cancel := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		c := &caller{}
		wg.Go(func() { f.relay.Serve(ctx, request("/plan/x"), c) })
		f.body.write(events(1, 2))
		time.Sleep(20 * time.Millisecond)
		cancel()
		wg.Wait()
		require.False(t, c.done)
		f.requireNoOwnLoad()
	})
}

// The run is moved off its engine while that begins to leave, and the move fails. Guards against a run that
// is lost because it was not migrated with the others.
func TestRunOfALeavingEngineIsMigratedAfterAFailedMove(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newRolesFixture(t)
		calls := 0
		f.upstream.copyRun = func(_ context.Context, _ backends.Server, _, _ string, final bool) (string, error) {
			time.Sleep(20 * time.Millisecond)
			if calls++; calls == 1 {
				f.addLeavingServer(f.reads, modelService)
				time.Sleep(20 * time.Millisecond)
				return "", ErrNoRun
			}
			if final {
				f.body.breakOff()
				return "h2", nil
			}
			return "h1", nil
		}
		f.resume[f.streams] = answer(3, 40)
		(<-f.start()).requireWhole(t, events(1, 40))
		require.Equal(t, []string{f.reads, f.streams}, f.upstream.servers())
	})
}

// Engines are equal, or the route has no bound. Guards against a move that gains nothing.
func TestRunsStayWhereEnginesAreEqual(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, Config{})
		f.maxPause, f.linkMbps = 180*time.Millisecond, 800
		f.apply(2)
		f.addServer("a", modelService)
		f.addServer("b", modelService)
		f.registry.SetRemotePaces(map[string]backends.Pace{"a": {Pause: 45 * time.Millisecond}, "b": {Pause: 45 * time.Millisecond}}, f.now())
		f.upstream.send = func(_ context.Context, a *Attempt) (*Response, error) { return answer(1, 40)(a) }
		f.serve(request("/plan/x")).requireWhole(t, events(1, 40))
		require.Empty(t, f.upstream.copyCalls())
		require.False(t, f.registry.Roles(modelService).Active)
	})
}

// A run has a standby copy at one of two engines that run streams. Guards against a move to that engine, which
// would hold the run twice, and against a standby copy that keeps its memory after the move.
func TestMovedRunReleasesItsStandby(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newRolesFixture(t)
		f.noStandby = false
		f.apply(3)
		f.addServer("slow-3", modelService)
		f.registry.SetRemotePaces(map[string]backends.Pace{"slow-3": {Pause: 45 * time.Millisecond}}, f.now())
		time.Sleep(200 * time.Millisecond)
		f.load(3000)
		require.Equal(t, 2, f.registry.Roles(modelService).Stream)
		f.setCopyRun(f.body, 20*time.Millisecond)
		for _, id := range []string{"slow-1", "slow-2", "slow-3"} {
			f.resume[id] = answer(3, 40)
		}
		(<-f.start()).requireWhole(t, events(1, 40))
		require.Len(t, f.upstream.sent, 2)
		require.NotEmpty(t, f.upstream.sent[0].StandbyAddress)
		require.Equal(t, "h2", f.upstream.sent[1].ResumeFrom.Handle)
		require.NotEqual(t, f.upstream.sent[0].StandbyAddress, f.upstream.sent[1].Server.Address)
		f.requireNoOwnLoad()
	})
}

// Guards against a run that is moved after its first event while a second copy of it exists or is made:
// its standby copy is freed first, and no other is made meanwhile.
func TestMoveDropsTheStandbyFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newRolesFixture(t)
		f.noStandby = false
		f.apply(3)
		cfg := *f.relay.cfg.Load()
		cfg.DomainFailures = 1
		f.relay.cfg.Store(&cfg)
		reads := f.newEntry(f.reads, modelService)
		u := f.startRun(2000, reads)
		standby := f.registry.Acquire(backends.Query{Service: modelService, Tried: []string{f.reads, "fast"}, ForCopy: true, Evictable: true, ExpectedTokens: 3300}, f.now())
		standby.FinishCopy()
		c := reservedCopy{KVCopy: KVCopy{Source: reads.Address, Handle: "standby"}, reservation: standby, isStandby: true}
		u.standby = &c
		f.relay.standbys.add(standby, u)
		calls := 0
		f.upstream.copyRun = func(context.Context, backends.Server, string, string, bool) (string, error) {
			calls++
			require.Equal(t, []KVCopy{c.KVCopy}, f.upstream.droppedCopies())
			require.Zero(t, f.registry.Loads()[f.streams].Standby)
			f.relay.updateStandby(u)
			synctest.Wait()
			return "moved", nil
		}
		require.True(t, u.beginMigration(reads))
		f.relay.moveToStreams(u, reads)
		require.True(t, u.isStopped())
		require.Equal(t, 3, calls, "the copies of the move only")
		require.Empty(t, f.relay.standbys.servers())
		f.relay.removeRun(u)
		f.requireNoOwnLoad()
	})
}
