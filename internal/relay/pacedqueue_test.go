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

// newRateLimitedFixture returns a fixture with plain servers that each accept perSecond requests
// per second; a response takes 20 ms.
func newRateLimitedFixture(t *testing.T, perSecond float64, servers int) *fixture {
	f := newFixture(t, Config{})
	split := []routing.Weighted{{Service: deskService, Weight: 1}}
	route := func(name string, priority int) *routing.Route {
		return &routing.Route{Name: name, Host: "h", Prefix: "/" + name + "/", Kind: routing.AtMostOnce, Public: true, Priority: priority, TargetLatency: 150 * time.Millisecond, MaxServers: 2, Split: split}
	}
	f.replica.Put(routing.Content{Version: 2, Routes: []*routing.Route{route("urgent", 0), route("other", 5)}}, func() {})
	f.replica.Confirm(f.now())
	for i := range servers {
		s := f.addServer(fmt.Sprint("s", i), deskService)
		f.relay.HandleSignals(s, backends.Signals{HasRateLimit: true, RateLimit: perSecond}, 0)
	}
	f.upstream.send = func(context.Context, *Attempt) (*Response, error) {
		time.Sleep(20 * time.Millisecond)
		return newResponse(200, "ok"), nil
	}
	return f
}

// loadResult counts the outcomes of requests by path.
type loadResult struct {
	mu      sync.Mutex
	served  map[string]int
	refused map[string]int
	// longestWait is the longest wait of a refused request, minRetryAfter the shortest retry
	// time.
	longestWait, minRetryAfter time.Duration
}

// applyLoad sends n requests for a path at once, in each interval.
func (f *fixture) applyLoad(result *loadResult, path string, n int, interval, duration time.Duration) {
	var wg sync.WaitGroup
	for start := time.Now(); time.Since(start) < duration; time.Sleep(interval) {
		for range n {
			wg.Go(func() {
				start := time.Now()
				c := f.serve(request(path))
				result.mu.Lock()
				defer result.mu.Unlock()
				if c.refusal == nil {
					result.served[path]++
					return
				}
				result.refused[path]++
				result.longestWait = max(result.longestWait, time.Since(start))
				if result.minRetryAfter == 0 || c.refusal.RetryAfter < result.minRetryAfter {
					result.minRetryAfter = c.refusal.RetryAfter
				}
			})
		}
	}
	wg.Wait()
}

func newLoadResult() *loadResult {
	return &loadResult{served: make(map[string]int), refused: make(map[string]int)}
}

// Guards against callers of a service whose servers are all rate-limited waiting in vain, against
// urgent requests not being served first, and against unused rate of the servers.
func TestRateLimitedServiceServesMostUrgentFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const perSecond, servers, duration = 10.0, 2, 4 * time.Second
		f := newRateLimitedFixture(t, perSecond, servers)
		result := newLoadResult()
		var wg sync.WaitGroup
		wg.Go(func() { f.applyLoad(result, "/urgent/x", 3, 200*time.Millisecond, duration) })
		wg.Go(func() { f.applyLoad(result, "/other/x", 10, 100*time.Millisecond, duration) })
		wg.Wait()
		urgent := result.served["/urgent/x"]
		t.Logf("served %v, refused %v, longest wait before a refusal %v, shortest retry time %v", result.served, result.refused, result.longestWait, result.minRetryAfter)
		require.GreaterOrEqual(t, float64(urgent+result.served["/other/x"]), 0.8*perSecond*servers*duration.Seconds())
		require.GreaterOrEqual(t, float64(urgent), 0.9*15*duration.Seconds(), "they need three quarters of the rate limits")
		require.LessOrEqual(t, result.longestWait, 500*time.Millisecond, "half of the time that callers have")
		require.GreaterOrEqual(t, result.minRetryAfter, retryAfterBase)
	})
}

// Guards against a caller waiting in vain for servers with a rate limit of zero.
func TestZeroRateLimitRefusesAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newRateLimitedFixture(t, 0, 1)
		f.serve(request("/urgent/x")).requireWhole(t, "ok")
		for range 5 {
			start := time.Now()
			c := f.serve(request("/urgent/x"))
			require.Equal(t, ReasonNoCapacity, c.refusal.Reason)
			require.False(t, c.refusal.MayHaveRun)
			require.Zero(t, time.Since(start))
			require.Greater(t, c.refusal.RetryAfter, 5*time.Second, "until the server is tried again")
		}
		require.Len(t, f.upstream.sent, 1)
	})
}

// Guards against retry times of many minutes because this gateway is one of many that take turns
// at a server.
func TestRetryAfterForRateLimitIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newRateLimitedFixture(t, 0.1, 1)
		var others []string
		for i := range 100 {
			others = append(others, fmt.Sprint("vm-", i))
		}
		f.registry.SetCell(cells.Place{Self: "self", CellCount: 1, AllPeers: others})
		c := f.serve(request("/urgent/x"))
		require.Equal(t, ReasonNoCapacity, c.refusal.Reason)
		require.LessOrEqual(t, c.refusal.RetryAfter, maxRateLimitRetryAfter+retryAfterJitter)
	})
}

// Guards against requests being queued because of a rate limit that has ended, or when a further
// server without one is available.
func TestPacedQueueEndsWithTheRateLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newRateLimitedFixture(t, 2, 1)
		result := newLoadResult()
		go f.applyLoad(result, "/urgent/x", 1, 400*time.Millisecond, 2*time.Second)
		time.Sleep(900 * time.Millisecond)
		f.addServer("more", deskService)
		start := time.Now()
		f.serve(request("/urgent/x")).requireWhole(t, "ok")
		require.Less(t, time.Since(start), 30*time.Millisecond)
		time.Sleep(3 * time.Second)
	})
}

// Guards against an available response waiting for a second server that is rate-limited.
func TestAvailableResponseDoesNotWaitForRateLimitedServers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, Config{})
		f.addServer("a", deskService)
		s := f.addServer("b", deskService)
		f.relay.HandleSignals(s, backends.Signals{HasRateLimit: true}, 0)
		f.upstream.send = func(context.Context, *Attempt) (*Response, error) { return newResponse(500, "failed"), nil }
		for range 3 {
			start := time.Now()
			require.Equal(t, 500, f.serve(request("/safe/x")).status)
			require.Zero(t, time.Since(start))
		}
	})
}

// Guards against a stream resuming from its standby copy at a server that has set a rate limit in
// the meantime and has used it up.
func TestStandbyAtRateLimitedServerIsNotUsedEarly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, Config{})
		f.breakWithUnusableStandby(func(sent *Attempt) {
			standby := f.newEntry(strings.TrimSuffix(sent.StandbyAddress, ":1"), modelService)
			f.relay.HandleSignals(standby, backends.Signals{HasRateLimit: true}, 0)
			reservation := f.registry.Acquire(backends.Query{Service: modelService, Tried: []string{sent.Server.ID}}, f.now())
			reservation.Release(backends.ResultInconclusive, f.now())
		})
	})
}

// Guards against requests waiting behind one that may have run and whose only remaining server
// backs off.
func TestRetriedRequestDoesNotBlockPacedQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, Config{})
		a, b := f.addServer("a", deskService), f.addServer("b", deskService)
		f.relay.HandleSignals(a, backends.Signals{HasRateLimit: true, RateLimit: 20}, 0)
		f.relay.HandleSignals(b, backends.Signals{Backoff: 450 * time.Millisecond}, 0)
		lost := false
		f.upstream.send = func(_ context.Context, at *Attempt) (*Response, error) {
			if at.Request.Path == "/safe/x" && !lost {
				lost = true
				return nil, io.ErrUnexpectedEOF
			}
			return newResponse(200, "ok"), nil
		}
		var wg sync.WaitGroup
		wg.Go(func() { f.serve(request("/safe/x")).requireWhole(t, "ok") })
		time.Sleep(100 * time.Millisecond)
		require.True(t, lost)
		for range 3 {
			start := time.Now()
			f.serve(request("/once/x")).requireWhole(t, "ok")
			require.Less(t, time.Since(start), 60*time.Millisecond)
		}
		wg.Wait()
		require.Equal(t, []string{"a", "a", "a", "a", "b"}, f.upstream.servers())
	})
}

// Guards against a request that a full server did not run being refused while a rate-limited
// server would accept it in time.
func TestRequestWaitsForRateLimitedServersBesideAFullOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, Config{})
		f.addServer("full", deskService)
		s := f.addServer("limited", deskService)
		f.relay.HandleSignals(s, backends.Signals{HasRateLimit: true, RateLimit: 4}, 0)
		f.upstream.send = func(_ context.Context, a *Attempt) (*Response, error) {
			if a.Server.ID == "full" {
				return nil, &NotRunError{Reason: NotRunFull}
			}
			return newResponse(200, "ok"), nil
		}
		for range 3 {
			f.serve(request("/once/x")).requireWhole(t, "ok")
		}
	})
}
