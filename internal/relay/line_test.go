package relay

import (
	"context"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"kingcupplank.example/kingcup/backends"
	"kingcupplank.example/kingcup/cells"
	"kingcupplank.example/kingcup/routing"
)

// limitedWorld has plain servers that each take so many requests a second; an answer takes
// 20 ms.
func limitedWorld(t *testing.T, perSecond float64, servers int) *world {
	w := newWorld(t, Config{})
	split := []routing.Weighted{{Service: deskService, Weight: 1}}
	route := func(name string, priority int) *routing.Route {
		return &routing.Route{Name: name, Host: "h", Prefix: "/" + name + "/", Kind: routing.AtMostOnce, Public: true, Priority: priority, TargetLatency: 150 * time.Millisecond, MaxServers: 2, Split: split}
	}
	w.replica.Put(routing.Content{Version: 2, Routes: []*routing.Route{route("urgent", 0), route("other", 5)}}, func() {})
	w.replica.Confirm(w.now())
	for i := range servers {
		s := w.server(fmt.Sprint("s", i), deskService)
		w.relay.HandleSignals(s, backends.Signals{HasRateLimit: true, RateLimit: perSecond}, 0)
	}
	w.up.send = func(context.Context, *Attempt) (*Response, error) {
		time.Sleep(20 * time.Millisecond)
		return answer(200, "ok"), nil
	}
	return w
}

// outcomes are those of requests by their path.
type outcomes struct {
	mu      sync.Mutex
	served  map[string]int
	refused map[string]int
	// longest is how long a request waited that was refused, soonest the least time after
	// which one may come back.
	longest, soonest time.Duration
}

// press makes requests for a path, n at once each so often.
func (w *world) press(o *outcomes, path string, n int, every, lasts time.Duration) {
	var wg sync.WaitGroup
	for begun := time.Now(); time.Since(begun) < lasts; time.Sleep(every) {
		for range n {
			wg.Go(func() {
				from := time.Now()
				c := w.serve(request(path))
				o.mu.Lock()
				defer o.mu.Unlock()
				if c.refusal == nil {
					o.served[path]++
					return
				}
				o.refused[path]++
				o.longest = max(o.longest, time.Since(from))
				if o.soonest == 0 || c.refusal.RetryAfter < o.soonest {
					o.soonest = c.refusal.RetryAfter
				}
			})
		}
	}
	wg.Wait()
}

func newOutcomes() *outcomes {
	return &outcomes{served: make(map[string]int), refused: make(map[string]int)}
}

// Guards against callers of a service whose servers all name a limit waiting for what they
// cannot get, against the urgent ones being served no sooner, and against servers standing idle.
func TestServiceOfLimitedServersServesTheMostUrgent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const perSecond, servers, lasts = 10.0, 2, 4 * time.Second
		w := limitedWorld(t, perSecond, servers)
		o := newOutcomes()
		var wg sync.WaitGroup
		wg.Go(func() { w.press(o, "/urgent/x", 3, 200*time.Millisecond, lasts) })
		wg.Go(func() { w.press(o, "/other/x", 10, 100*time.Millisecond, lasts) })
		wg.Wait()
		urgent := o.served["/urgent/x"]
		t.Logf("served %v, refused %v, refused after %v at the most, to come back in %v at the least", o.served, o.refused, o.longest, o.soonest)
		require.GreaterOrEqual(t, float64(urgent+o.served["/other/x"]), 0.8*perSecond*servers*lasts.Seconds())
		require.GreaterOrEqual(t, float64(urgent), 0.9*15*lasts.Seconds(), "they take three quarters of the limits")
		require.LessOrEqual(t, o.longest, 500*time.Millisecond, "half of the time that callers have")
		require.GreaterOrEqual(t, o.soonest, returnBase)
	})
}

// Guards against a caller waiting in vain for servers that take next to nothing.
func TestServiceThatTakesNothingRefusesAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := limitedWorld(t, 0, 1)
		w.serve(request("/urgent/x")).whole(t, "ok")
		for range 5 {
			begun := time.Now()
			c := w.serve(request("/urgent/x"))
			require.Equal(t, ReasonNoRoom, c.refusal.Reason)
			require.False(t, c.refusal.MayHaveRun)
			require.Zero(t, time.Since(begun))
			require.Greater(t, c.refusal.RetryAfter, 5*time.Second, "the next look at the server")
		}
		require.Len(t, w.up.sent, 1)
	})
}

// Guards against callers being told to come back in many minutes because this gateway is one of
// many that take turns at a server.
func TestCallersOfLimitedServersComeBackSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := limitedWorld(t, 0.1, 1)
		var others []string
		for i := range 100 {
			others = append(others, fmt.Sprint("vm-", i))
		}
		w.registry.SetCell(cells.Place{Self: "self", CellCount: 1, AllPeers: others})
		c := w.serve(request("/urgent/x"))
		require.Equal(t, ReasonNoRoom, c.refusal.Reason)
		require.LessOrEqual(t, c.refusal.RetryAfter, latestReturn+returnSpread)
	})
}

// Guards against requests queueing behind a limit that has ended, or that a further server
// has made up for.
func TestLineEndsWithTheLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := limitedWorld(t, 2, 1)
		o := newOutcomes()
		go w.press(o, "/urgent/x", 1, 400*time.Millisecond, 2*time.Second)
		time.Sleep(900 * time.Millisecond)
		w.server("more", deskService)
		begun := time.Now()
		w.serve(request("/urgent/x")).whole(t, "ok")
		require.Less(t, time.Since(begun), 30*time.Millisecond)
		time.Sleep(3 * time.Second)
	})
}

// Guards against an answer at hand being held back for a second server that takes no more.
func TestAnswerAtHandDoesNotWaitForLimitedServers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, Config{})
		w.server("a", deskService)
		s := w.server("b", deskService)
		w.relay.HandleSignals(s, backends.Signals{HasRateLimit: true}, 0)
		w.up.send = func(context.Context, *Attempt) (*Response, error) { return answer(500, "failed"), nil }
		for range 3 {
			begun := time.Now()
			require.Equal(t, 500, w.serve(request("/safe/x")).status)
			require.Zero(t, time.Since(begun))
		}
	})
}

// Guards against a stream going on from its standing copy at a server that has named a limit
// since and has had its part.
func TestCopyAtALimitedServerTakesItsTurn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, Config{})
		w.breakBesideACopy(func(sent *Attempt) {
			copied := w.entry(strings.TrimSuffix(sent.StandbyAddress, ":1"), modelService)
			w.relay.HandleSignals(copied, backends.Signals{HasRateLimit: true}, 0)
			lease := w.registry.Acquire(backends.Query{Service: modelService, Tried: []string{sent.Server.ID}}, w.now())
			lease.Release(backends.ResultInconclusive, w.now())
		})
	})
}

// Guards against requests waiting behind one that may have run and has only a server left that
// rests.
func TestRequestThatMayHaveRunHoldsUpNobody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, Config{})
		a, b := w.server("a", deskService), w.server("b", deskService)
		w.relay.HandleSignals(a, backends.Signals{HasRateLimit: true, RateLimit: 20}, 0)
		w.relay.HandleSignals(b, backends.Signals{Backoff: 450 * time.Millisecond}, 0)
		lost := false
		w.up.send = func(_ context.Context, at *Attempt) (*Response, error) {
			if at.Request.Path == "/safe/x" && !lost {
				lost = true
				return nil, io.ErrUnexpectedEOF
			}
			return answer(200, "ok"), nil
		}
		var wg sync.WaitGroup
		wg.Go(func() { w.serve(request("/safe/x")).whole(t, "ok") })
		time.Sleep(100 * time.Millisecond)
		require.True(t, lost)
		for range 3 {
			begun := time.Now()
			w.serve(request("/once/x")).whole(t, "ok")
			require.Less(t, time.Since(begun), 60*time.Millisecond)
		}
		wg.Wait()
		require.Equal(t, []string{"a", "a", "a", "a", "b"}, w.up.servers())
	})
}

// Guards against a request that a full server has turned away being refused while others, which
// take a bounded rate, would take it in time.
func TestRequestWaitsForLimitedServersBesideAFullOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, Config{})
		w.server("full", deskService)
		s := w.server("limited", deskService)
		w.relay.HandleSignals(s, backends.Signals{HasRateLimit: true, RateLimit: 4}, 0)
		w.up.send = func(_ context.Context, a *Attempt) (*Response, error) {
			if a.Server.ID == "full" {
				return nil, &NotRunError{Reason: NotRunFull}
			}
			return answer(200, "ok"), nil
		}
		for range 3 {
			w.serve(request("/once/x")).whole(t, "ok")
		}
	})
}
