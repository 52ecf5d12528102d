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
)

// An engine crashes without a notice in the middle of a long answer that may not run
// again. Its memory was sent to a second engine as it grew: the caller gets the rest from
// there, every event once, instead of half an answer.
func TestStreamOutlivesACrashedEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, Config{})
		w.server("a", modelService)
		w.server("b", modelService)
		old := newSource()
		w.up.send = func(_ context.Context, a *Attempt) (*Response, error) {
			if a.ResumeFrom == nil {
				require.NotEmpty(t, a.StandbyAddress)
				require.NotEqual(t, a.Server.Address, a.StandbyAddress)
				go func() {
					old.write(events(1, 3) + "id: 4\nda")
					old.breakOff()
				}()
				return old.answer(), nil
			}
			require.Equal(t, &KVCopy{Source: a.Server.Address, Handle: "r1"}, a.ResumeFrom)
			require.Equal(t, w.up.sent[0].StandbyAddress, a.Server.Address)
			require.Equal(t, "3", a.LastEventID)
			next := newSource()
			go func() {
				next.write(events(4, 6))
				next.w.Close()
			}()
			return next.answer(), nil
		}
		w.serve(request("/plan/x")).whole(t, events(1, 6))
		require.Empty(t, w.registry.Loads(), "nothing is counted for the copy any more")
	})
}

// The second engine had no room for the copy after all and refuses to go on. The caller's
// answer ends, and the refusal is not held against a sound engine.
func TestMissingStandingCopyIsNoFailure(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, Config{})
		w.server("a", modelService)
		w.server("b", modelService)
		w.up.send = func(_ context.Context, a *Attempt) (*Response, error) {
			if a.ResumeFrom != nil {
				return nil, &NotRunError{Reason: NotRunFull, Detail: "no such copy"}
			}
			src := newSource()
			go func() {
				src.write(events(1, 3))
				src.breakOff()
			}()
			return src.answer(), nil
		}
		require.True(t, w.serve(request("/plan/x")).aborted)
		cover := w.up.sent[0].StandbyAddress
		lease := w.registry.Acquire(backends.Query{Service: modelService, Draw: 1}, w.now())
		require.Equal(t, cover, lease.Server.Address, "the engine that crashed is asked last")
		require.Empty(t, w.registry.Statuses(w.now()))
	})
}

// Standing copies are for what would be lost, where there is room to spare. They must
// not take room that runs and moves need, nor be made of answers that are over at once.
func TestStandingCopiesTakeOnlyRoomToSpare(t *testing.T) {
	for _, tt := range []struct {
		name string
		path string
		// used is the memory in use at each engine, full that of a third one.
		used, full, max int
		crowded         bool
		want            bool
	}{
		{"long answer, room", "/plan/x", 5000, 5000, 2000, false, true},
		{"long answer, the other half full", "/plan/x", 13000, 1, 2000, false, false},
		{"an engine has room, all together have not", "/plan/x", 10500, 28000, 2000, false, false},
		{"a request waited for room a moment ago", "/plan/x", 5000, 5000, 2000, true, false},
		{"answer that a new run may continue", "/check/x", 5000, 5000, 2000, false, false},
		{"short answer", "/plan/x", 5000, 5000, 40, false, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t, Config{})
				w.server("a", modelService)
				w.server("b", modelService)
				w.server("c", modelService)
				w.registry.SetRemoteLoads("vm-2", map[string]backends.Load{
					"a": {Running: 2, ExpectedTokens: tt.used}, "b": {Running: 2, ExpectedTokens: tt.used}, "c": {Running: 2, ExpectedTokens: tt.full},
				})
				if tt.crowded {
					l := w.relay.lane(modelService)
					w.relay.tellQueue(modelService, l, 1)
					w.relay.tellQueue(modelService, l, -1)
				}
				w.up.send = func(context.Context, *Attempt) (*Response, error) {
					src := newSource()
					go func() {
						src.write(events(1, 2))
						src.w.Close()
					}()
					return src.answer(), nil
				}
				r := request(tt.path)
				r.Generation = &Generation{PromptTokens: 3000, MaxOutput: tt.max, EstimatedOutput: tt.max / 2}
				w.serve(r).whole(t, events(1, 2))
				require.Equal(t, tt.want, w.up.sent[0].StandbyAddress != "")
			})
		})
	}
}

// crashes plays a load of long answers on engines, a sixth of which crash at once, and
// returns the share that is lost.
func crashes(t *testing.T, engines, runs int, covered bool) float64 {
	lost := 0
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, Config{})
		sources := make(map[*source]string)
		for i := range engines {
			w.server(fmt.Sprintf("e%02d", i), modelService)
		}
		w.up.send = func(_ context.Context, a *Attempt) (*Response, error) {
			src := newSource()
			switch {
			case a.ResumeFrom == nil:
				sources[src] = a.Server.ID
				go paced(src, 1, 100, 40*time.Millisecond)
			case !covered:
				return nil, &NotRunError{Reason: NotRunFull, Detail: "no such copy"}
			default:
				go src.w.Close()
			}
			return src.answer(), nil
		}
		callers := make([]*caller, runs)
		var wg sync.WaitGroup
		for i := range callers {
			callers[i] = &caller{}
			req := request("/plan/x")
			req.ID = fmt.Sprint("r", i)
			wg.Go(func() { w.relay.Serve(t.Context(), req, callers[i]) })
			time.Sleep(100 * time.Millisecond)
		}
		for src, engine := range sources {
			if engine < fmt.Sprintf("e%02d", engines/6) {
				src.breakOff()
			} else {
				src.w.Close()
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

// Three of eighteen engines crash under thirty long answers, whose memory takes a fifth
// of all there is. All that ran there were lost, 13 to 20 %; with standing copies none
// is.
func TestCrashesCostNoAnswersWhereThereIsRoom(t *testing.T) {
	without := crashes(t, 18, 30, false)
	with := crashes(t, 18, 30, true)
	t.Logf("lost without standing copies %.3f, with %.3f", without, with)
	require.Positive(t, without)
	require.Zero(t, with)
}
