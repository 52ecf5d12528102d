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
	"kingcupplank.example/kingcup/routing"
)

// An engine crashes without warning in the middle of a long response that may not run again. Its
// KV cache was sent to a second engine as it grew: the caller gets the remaining events from
// there, each event once.
func TestStreamContinuesFromStandbyAfterCrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, Config{})
		f.addServer("a", modelService)
		f.addServer("b", modelService)
		old := newFakeBody()
		f.upstream.send = func(_ context.Context, a *Attempt) (*Response, error) {
			if a.ResumeFrom == nil {
				require.NotEmpty(t, a.StandbyAddress)
				require.NotEqual(t, a.Server.Address, a.StandbyAddress)
				go func() {
					old.write(events(1, 3) + "id: 4\nda")
					old.breakOff()
				}()
				return old.response(), nil
			}
			require.Equal(t, &KVCopy{Source: a.Server.Address, Handle: "r1"}, a.ResumeFrom)
			require.Equal(t, f.upstream.sent[0].StandbyAddress, a.Server.Address)
			require.Equal(t, "3", a.LastEventID)
			next := newFakeBody()
			go func() {
				next.write(events(4, 6))
				next.writer.Close()
			}()
			return next.response(), nil
		}
		f.serve(request("/plan/x")).requireWhole(t, events(1, 6))
		require.Empty(t, f.registry.Loads(), "no reservation is left for the copy")
	})
}

// The second engine had no memory for the copy after all and does not resume the run. The
// caller's response is aborted, and the second engine does not count as failing.
func TestMissingStandbyIsNoServerFailure(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, Config{})
		f.addServer("a", modelService)
		f.addServer("b", modelService)
		f.upstream.send = func(_ context.Context, a *Attempt) (*Response, error) {
			if a.ResumeFrom != nil {
				return nil, &NotRunError{Reason: NotRunFull, Detail: "no such copy"}
			}
			body := newFakeBody()
			go func() {
				body.write(events(1, 3))
				body.breakOff()
			}()
			return body.response(), nil
		}
		require.True(t, f.serve(request("/plan/x")).aborted)
		standby := f.upstream.sent[0].StandbyAddress
		reservation := f.registry.Acquire(backends.Query{Service: modelService, Draw: 1}, f.now())
		require.Equal(t, standby, reservation.Server.Address, "the engine that crashed is selected last")
		require.Empty(t, f.registry.Statuses(f.now()))
	})
}

// Standby copies are made only of runs that could not be repeated, and where there is memory to
// spare. They must not take memory that runs and migrations need, nor be made of short responses.
func TestStandbysUseOnlySpareMemory(t *testing.T) {
	for _, tt := range []struct {
		name string
		path string
		// used is the memory in use at each of two engines, thirdUsed that at a third one.
		used, thirdUsed, maxOutput int
		saturated                  bool
		wantStandby                bool
	}{
		{"long response, memory to spare", "/plan/x", 5000, 5000, 2000, false, true},
		{"long response, the other engine half full", "/plan/x", 13000, 1, 2000, false, false},
		{"one engine has memory to spare, the service has not", "/plan/x", 10500, 28000, 2000, false, false},
		{"a request was queued for memory recently", "/plan/x", 5000, 5000, 2000, true, false},
		{"resumable stream", "/check/x", 5000, 5000, 2000, false, false},
		{"short response", "/plan/x", 5000, 5000, 40, false, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t, Config{})
				f.addServer("a", modelService)
				f.addServer("b", modelService)
				f.addServer("c", modelService)
				f.registry.SetRemoteLoads("vm-2", map[string]backends.Load{
					"a": {Running: 2, ExpectedTokens: tt.used}, "b": {Running: 2, ExpectedTokens: tt.used}, "c": {Running: 2, ExpectedTokens: tt.thirdUsed},
				})
				if tt.saturated {
					eq := f.relay.engineQueue(modelService)
					f.relay.reportQueue(modelService, eq, 1)
					f.relay.reportQueue(modelService, eq, -1)
				}
				f.upstream.send = func(context.Context, *Attempt) (*Response, error) {
					body := newFakeBody()
					go func() {
						body.write(events(1, 2))
						body.writer.Close()
					}()
					return body.response(), nil
				}
				r := request(tt.path)
				r.Generation = &Generation{PromptTokens: 3000, MaxOutput: tt.maxOutput, EstimatedOutput: tt.maxOutput / 2}
				f.serve(r).requireWhole(t, events(1, 2))
				require.Equal(t, tt.wantStandby, f.upstream.sent[0].StandbyAddress != "")
			})
		})
	}
}

// Guards against a copy, and its reservation for good, of a generation whose response is not a
// stream.
func TestPlainResponseOfAnEngineHasNoStandby(t *testing.T) {
	for _, cfg := range []Config{{}, {DomainFailures: 1}} {
		synctest.Test(t, func(t *testing.T) {
			f := newFixture(t, cfg)
			f.addServer("a", modelService)
			f.addServer("b", modelService)
			engine := &routing.Engine{Slots: 48, MemoryTokens: 30000, TokensPerEvent: 4, SupportsStandby: true}
			f.replica.Put(routing.Content{Version: 2, Routes: []*routing.Route{
				{Name: "whole", Host: "h", Prefix: "/plan/", Kind: routing.AtMostOnce, Public: true, Timeout: 39 * time.Second, MaxServers: 1, Split: []routing.Weighted{{Service: modelService, Weight: 1}}},
			}, Services: []*routing.Service{{Name: modelService, Engine: engine}}}, func() {})
			f.replica.Confirm(f.now())
			f.upstream.send = func(_ context.Context, a *Attempt) (*Response, error) {
				require.Empty(t, a.StandbyAddress)
				return newResponse(200, "ok"), nil
			}
			f.serve(request("/plan/x")).requireWhole(t, "ok")
			require.Empty(t, f.registry.Loads())
		})
	}
}

// crashLossShare runs long responses on engines, a sixth of which crash at once, and returns the
// share of responses that are lost.
func crashLossShare(t *testing.T, engines, runs int, withStandby bool) float64 {
	lost := 0
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, Config{})
		bodies := make(map[*fakeBody]string)
		for i := range engines {
			f.addServer(fmt.Sprintf("e%02d", i), modelService)
		}
		f.upstream.send = func(_ context.Context, a *Attempt) (*Response, error) {
			body := newFakeBody()
			switch {
			case a.ResumeFrom == nil:
				bodies[body] = a.Server.ID
				go writePaced(body, 1, 100, 40*time.Millisecond)
			case !withStandby:
				return nil, &NotRunError{Reason: NotRunFull, Detail: "no such copy"}
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
		for body, engine := range bodies {
			if engine < fmt.Sprintf("e%02d", engines/6) {
				body.breakOff()
			} else {
				body.writer.Close()
			}
		}
		wg.Wait()
		for _, c := range callers {
			if c.aborted {
				lost++
			}
		}
		time.Sleep(5 * time.Second)
	})
	return float64(lost) / float64(runs)
}

// Three of eighteen engines crash under thirty long responses, whose KV caches take a fifth of
// the total memory. Without standby copies, all responses on those engines are lost, 13 to 20 %;
// with them, none is.
func TestCrashesLoseNoStreamsWithStandbys(t *testing.T) {
	without := crashLossShare(t, 18, 30, false)
	with := crashLossShare(t, 18, 30, true)
	t.Logf("lost without standby copies %.3f, with %.3f", without, with)
	require.Positive(t, without)
	require.Zero(t, with)
}
