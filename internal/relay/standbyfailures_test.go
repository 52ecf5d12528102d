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
	"kingcupplank.example/kingcup/standby"
)

// The engine refuses the copy: nothing is left of it, and another engine is asked a second later.
func TestRefusedStandbyIsMadeElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startStreams(t, 0)
		s.addEngine("second", "zone-2")
		s.peerLoad("vm-2", "second", backends.Load{Running: 4, ExpectedTokens: 13000})
		s.upstream.copyRun = func(_ context.Context, _ backends.Server, _, to string, _ bool) (string, error) {
			if len(s.upstream.copyCalls()) == 1 {
				return "", ErrNoCapacity
			}
			return "h", nil
		}
		s.start()
		s.written = []int{0}
		s.run(900 * time.Millisecond)
		require.Len(t, s.upstream.copyCalls(), 1)
		require.Len(t, s.registry.Loads(), 1, "the reservation is released")
		s.run(200 * time.Millisecond)
		require.Len(t, s.upstream.copyCalls(), 2)
		require.NotEqual(t, s.upstream.copyCalls()[0], s.upstream.copyCalls()[1])
		s.end()
	})
}

// The engine that keeps the copy crashes, leaves or is cordoned: the run goes on without the copy,
// whose reservation is released.
func TestRunOutlivesTheEngineOfItsStandby(t *testing.T) {
	for name, lose := range map[string]func(s *copiedStreams, keeper backends.Server){
		"crashed": func(s *copiedStreams, keeper backends.Server) { s.registry.MarkDown(keeper, s.now()) },
		"left":    func(s *copiedStreams, keeper backends.Server) { s.registry.MarkLeaving(keeper) },
		"gone":    func(s *copiedStreams, keeper backends.Server) { s.registry.Remove(keeper.ID, 0, s.now()) },
		"cordoned": func(s *copiedStreams, keeper backends.Server) {
			s.registry.SetCordoned([]string{keeper.FailureDomain}, s.now())
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := startStreams(t, 1)
				keeper := s.newEntry("keeper", modelService)
				keeper.FailureDomain = "zone-2"
				lose(s, keeper)
				time.Sleep(standbyCheckInterval)
				synctest.Wait()
				require.Equal(t, []KVCopy{copyOf(0)}, s.upstream.droppedCopies())
				require.Equal(t, 1, s.count(StandbyLost))
				require.Empty(t, s.registry.Loads()["keeper"])
				s.bodies[0].write(events(2, 4))
				s.end()
				s.callers[0].requireWhole(t, events(1, 4))
			})
		})
	}
}

// Guards against a copy that is thought to be at an engine which has started again since.
func TestStandbyAtARestartedEngineIsDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, o := newZoneFixture(t)
		home, keeper := f.addEngine("home", "zone-1"), f.newIncarnation("keeper", 1)
		f.registry.Put(keeper, f.now())
		f.upstream.copyRun = func(context.Context, backends.Server, string, string, bool) (string, error) { return "h", nil }
		u := f.startRun(2000, home)
		f.relay.updateStandby(u)
		synctest.Wait()
		require.Equal(t, 1, o.count(StandbyMade))
		keeper.StartTime = 2
		f.registry.Put(keeper, f.now())
		time.Sleep(standbyCheckInterval)
		synctest.Wait()
		require.Equal(t, 1, o.count(StandbyLost))
		require.Equal(t, []KVCopy{{Source: "home:1", Handle: "h"}}, f.upstream.droppedCopies())
		require.Empty(t, u.takeCopies(t.Context()))
		f.relay.removeRun(u)
		require.Empty(t, f.registry.Loads())
	})
}

// domainLossShare runs long responses on engines of three failure domains that are a third full, and
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
			domains[s.Address], loads[s.ID] = s.FailureDomain, backends.Load{Running: 1, ExpectedTokens: 3000}
		}
		f.registry.SetRemoteLoads("vm-2", loads)
		crashed, copied := false, make(map[string]bool)
		f.upstream.copyRun = func(_ context.Context, from backends.Server, id, to string, _ bool) (string, error) {
			mu.Lock()
			defer mu.Unlock()
			if !copied[id] {
				copied[id] = true
				mu.Unlock()
				time.Sleep(fakeCopyTime)
				mu.Lock()
			}
			if crashed && (from.FailureDomain == "zone-0" || domains[to] == "zone-0") {
				return "", ErrNoCapacity
			}
			return "h-" + id, nil
		}
		f.upstream.send = func(_ context.Context, a *Attempt) (*Response, error) {
			body := newFakeBody()
			mu.Lock()
			defer mu.Unlock()
			switch {
			case a.ResumeFrom == nil:
				bodies[body] = a.Server.FailureDomain
				go writePaced(body, 1, 200, 40*time.Millisecond)
			case a.Server.FailureDomain == "zone-0":
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
		time.Sleep(2 * time.Second)
		synctest.Wait()
		mu.Lock()
		crashed = true
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

// A whole failure domain crashes under engines that are a third full. Without the setting copies are
// made in the same domain and all responses there are lost; with it, none is.
func TestResponsesOutliveTheirFailureDomain(t *testing.T) {
	without, with := domainLossShare(t, Config{}), domainLossShare(t, Config{DomainFailures: 1})
	t.Logf("lost without the setting %.2f, with it %.2f", without, with)
	require.Equal(t, 1.0, without)
	require.Zero(t, with)
}

// Guards against copies that hold up migrations on the links of engines, and cost a small gateway more
// than its streams: two are made at a time, the next one after an event of its run.
func TestFewStandbysAreMadeAtATime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startStreams(t, 0)
		for i := range standby.MaxCopying + 1 {
			s.startAtHome()
			s.written = append(s.written, 1)
			s.bodies[i].write(event(1))
		}
		synctest.Wait()
		require.Len(t, s.upstream.copyCalls(), standby.MaxCopying)
		s.run(fakeCopyTime / 2)
		require.Len(t, s.upstream.copyCalls(), standby.MaxCopying)
		s.run(fakeCopyTime)
		require.Len(t, s.upstream.copyCalls(), standby.MaxCopying+1, "there is room for the next one")
		s.run(fakeCopyTime)
		s.end()
	})
}

// Guards against migrations that are refused because copies take the memory: they see it as free,
// and the copies go.
func TestMigrationTakesMemoryOfStandbys(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startStreams(t, 3)
		third := s.addEngine("third", "zone-1")
		s.registry.SetRemoteLoads("vm-2", map[string]backends.Load{"home": {Running: 4, ExpectedTokens: 20500}, "keeper": {Running: 6, ExpectedTokens: 14000}})
		c, r := &caller{}, request("/plan/x")
		r.ID, r.Generation = "short", &Generation{PromptTokens: 3000, MaxOutput: 40, EstimatedOutput: 20}
		go s.relay.Serve(t.Context(), r, c)
		synctest.Wait()
		require.Equal(t, "third", s.upstream.sent[3].Server.ID)
		s.bodies[3].write(event(1))
		synctest.Wait()
		s.registry.MarkLeaving(third)
		time.Sleep(time.Millisecond)
		require.Equal(t, []KVCopy{copyOf(2)}, s.upstream.droppedCopies(), "at once")
		time.Sleep(2 * fakeCopyTime)
		require.Contains(t, s.upstream.copyCalls(), "short third>keeper:1 true")
		require.Len(t, s.upstream.droppedCopies(), 1)
		s.end()
	})
}

// Guards against a migration that a standby copy holds up or that copies the run a second time: the
// run of a leaving engine is stopped after what is new has been copied, and resumes from the copy.
func TestMigrationContinuesTheStandby(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startStreams(t, 3)
		s.startAtHome()
		s.bodies[3].write(event(1))
		synctest.Wait()
		require.Len(t, s.upstream.copyCalls(), 4, "the last copy is being made")
		s.registry.MarkLeaving(s.newEntry("home", modelService))
		time.Sleep(fakeCopyTime + 10*time.Millisecond)
		synctest.Wait()
		for i := range 4 {
			require.Contains(t, s.upstream.copyCalls(), fmt.Sprintf("r%d home>keeper:1 true", i))
			s.bodies[i].breakOff()
		}
		synctest.Wait()
		require.Len(t, s.resumed, 4)
		require.Empty(t, s.upstream.droppedCopies())
		require.Zero(t, s.registry.Loads()["keeper"].Standby)
		s.end()
	})
}

// The engine of the copy has no memory for the rest of a run that is migrated: the run resumes from
// the copy when its own engine has stopped. If the engine of the copy is down, another one is asked.
func TestMigrationWithAStandbyThatCannotGrow(t *testing.T) {
	for _, down := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			s := startStreams(t, 1)
			s.addEngine("second", "zone-1")
			s.upstream.copyRun = func(_ context.Context, _ backends.Server, _, to string, _ bool) (string, error) {
				if to == "keeper:1" {
					return "", ErrNoCapacity
				}
				return "second-copy", nil
			}
			want := copyOf(0)
			if down {
				s.upstream.setDown("keeper")
				want.Handle = "second-copy"
			}
			s.registry.MarkLeaving(s.newEntry("home", modelService))
			time.Sleep(time.Second)
			s.bodies[0].breakOff()
			synctest.Wait()
			require.Len(t, s.resumed, 1)
			require.Equal(t, want, *s.upstream.sent[1].ResumeFrom)
			s.end()
		})
	}
}

// A leaving engine, or one that was cordoned, must not get a run by a migration because it has a copy
// of it.
func TestMigrationDropsAStandbyAtALeavingEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startStreams(t, 1)
		s.addEngine("second", "zone-1")
		keeper := s.newEntry("keeper", modelService)
		keeper.FailureDomain = "zone-2"
		s.registry.MarkLeaving(keeper)
		s.registry.MarkLeaving(s.newEntry("home", modelService))
		time.Sleep(fakeCopyTime)
		require.Equal(t, []KVCopy{copyOf(0)}, s.upstream.droppedCopies())
		require.Contains(t, s.upstream.copyCalls(), "r0 home>second:1 true")
		s.bodies[0].breakOff()
		synctest.Wait()
		require.Len(t, s.resumed, 1)
		s.end()
	})
}
