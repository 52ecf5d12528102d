package gateway

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"kingcupplank.example/kingcup/internal/standin/fleet"
	"kingcupplank.example/kingcup/retry"
)

const (
	// limitWindow is the window in which requests to a rate-limited server are counted.
	limitWindow = 4 * time.Second
	// propagationTarget is the target time in which all gateways learn what a server's
	// response headers say.
	propagationTarget = 300 * time.Millisecond
)

// maxAllowed is the platform's bound for the requests to a rate-limited server in
// limitWindow.
func maxAllowed(perSecond float64) int { return int(1.5*perSecond*limitWindow.Seconds()) + 5 }

// callRepeatedly has perGateway callers at every gateway repeat a request for d, and counts
// the requests that were served and refused.
func callRepeatedly(gateways []*testGateway, perGateway int, d time.Duration, c callerRequest) (served, refused int) {
	var wg sync.WaitGroup
	var mu sync.Mutex
	for i, n := range callersFor(gateways, perGateway) {
		wg.Go(func() {
			time.Sleep(time.Duration(i) * time.Millisecond)
			for from := time.Now(); time.Since(from) < d; time.Sleep(25 * time.Millisecond) {
				status := n.do(c).status
				mu.Lock()
				if status == http.StatusOK {
					served++
				} else {
					refused++
				}
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	return served, refused
}

// callersFor returns the gateway of each caller.
func callersFor(gateways []*testGateway, perGateway int) (out []*testGateway) {
	for range perGateway {
		out = append(out, gateways...)
	}
	return out
}

// maxArrivals returns the maximum number of requests that reached a server in any span of
// limitWindow after a time.
func maxArrivals(srv *fleet.Server, from time.Time) (maxCount int) {
	var at []time.Time
	for _, a := range srv.Arrivals() {
		if !a.At.Before(from) {
			at = append(at, a.At)
		}
	}
	for first, i := 0, 0; i < len(at); i++ {
		for at[i].Sub(at[first]) >= limitWindow {
			first++
		}
		maxCount = max(maxCount, i-first+1)
	}
	return maxCount
}

// Guards against a rate-limited server getting several times its limit from all gateways
// together.
func TestLimitedServersGetTheirLimitFromAllGateways(t *testing.T) {
	s := newSystem(t)
	limits := map[*fleet.Server]float64{
		s.server(fleet.DeskService, fleet.Behavior{}): 2.3,
		s.server(fleet.DeskService, fleet.Behavior{}): 3.9,
	}
	s.server(fleet.DeskService, fleet.Behavior{})
	gateways := []*testGateway{s.gateway("vm-1"), s.gateway("vm-2"), s.gateway("vm-3")}
	for _, n := range gateways {
		n.eventually(func() bool {
			return n.registry.CountReady(fleet.DeskService) == 3 && len(n.group.links.LiveStates()) == 2
		}, "listed")
	}
	callRepeatedly(gateways, 1, time.Second, plain(fleet.OncePath))
	for srv, limit := range limits {
		srv.SetBehavior(fleet.Behavior{Headers: fleet.RateLimitHeaders(limit)})
	}
	limitedAt := time.Now()
	_, refused := callRepeatedly(gateways, 1, limitWindow+time.Second, plain(fleet.OncePath))
	require.Zero(t, refused, "the third server has room")
	for srv, limit := range limits {
		count := maxArrivals(srv, limitedAt.Add(propagationTarget))
		t.Logf("%s got %d in %v, its limit is %v a second", srv.ID, count, limitWindow, limit)
		require.LessOrEqual(t, count, maxAllowed(limit), srv.ID)
	}
}

// Guards against gateways that learn of a rate limit, or of its removal, only by their own
// requests. The store has no information about rate limits.
func TestRateLimitIsPropagatedAtOnce(t *testing.T) {
	s := newSystem(t)
	srv := s.server(fleet.DeskService, fleet.Behavior{})
	gateways := []*testGateway{s.gateway("vm-1"), s.gateway("vm-2"), s.gateway("vm-3")}
	for _, n := range gateways {
		n.eventually(func() bool {
			return n.registry.CountReady(fleet.DeskService) == 1 && len(n.group.links.LiveStates()) == 2
		}, "listed")
	}
	gateways[2].endpoint.SetFault(fleet.Reset)
	waitKnown := func(limited int) {
		t.Helper()
		for begun := time.Now(); time.Since(begun) < propagationTarget; time.Sleep(5 * time.Millisecond) {
			if gateways[1].registry.CountRateLimited() == limited && gateways[2].registry.CountRateLimited() == limited {
				return
			}
		}
		t.Fatalf("not known to all within %v", propagationTarget)
	}
	srv.SetBehavior(fleet.Behavior{Headers: fleet.RateLimitHeaders(20)})
	require.Equal(t, http.StatusOK, gateways[0].do(plain(fleet.OncePath)).status)
	waitKnown(1)
	srv.SetBehavior(fleet.Behavior{})
	gateways[0].eventually(func() bool {
		gateways[0].do(plain(fleet.OncePath))
		return gateways[0].registry.CountRateLimited() == 0
	}, "no limit any more")
	waitKnown(0)
}

// countArrivals counts the requests that reached a server after a time.
func countArrivals(srv *fleet.Server, from time.Time) (n int) {
	for _, a := range srv.Arrivals() {
		if a.At.After(from) {
			n++
		}
	}
	return n
}

// Guards against requests to a server that has reported in a response that it is leaving,
// both while the store is unavailable and when it is back with a stale entry that says that
// the server is ready.
func TestServerThatSaysItIsLeavingGetsNothingNew(t *testing.T) {
	s := newSystem(t)
	leaves := s.server(fleet.DeskService, fleet.Behavior{})
	s.server(fleet.DeskService, fleet.Behavior{})
	gateways := []*testGateway{s.gateway("vm-1"), s.gateway("vm-2"), s.gateway("vm-3")}
	for _, n := range gateways {
		n.eventually(func() bool {
			return n.registry.CountReady(fleet.DeskService) == 2 && len(n.group.links.LiveStates()) == 2
		}, "listed")
	}
	s.fleet.Store.SetFault(fleet.Reset)
	leaves.SetHeaders(fleet.LeavingHeaders())
	before := len(leaves.Arrivals())
	gateways[0].eventually(func() bool {
		require.Equal(t, http.StatusOK, gateways[0].do(plain(fleet.OpenPath)).status)
		return len(leaves.Arrivals()) > before
	}, "the server got a request")
	reportedAt := time.Now()
	requestAll(t, gateways[:1], propagationTarget, plain(fleet.OpenPath))
	require.Zero(t, countArrivals(leaves, reportedAt), "from the gateway that got the response")
	requestAll(t, gateways, time.Second, plain(fleet.OpenPath))
	require.Zero(t, countArrivals(leaves, reportedAt.Add(propagationTarget)), "from any")
	s.fleet.Store.SetFault(fleet.NoFault)
	leaves.Heartbeat()
	requestAll(t, gateways, time.Second, plain(fleet.OpenPath))
	require.Zero(t, countArrivals(leaves, reportedAt.Add(propagationTarget)), "after a stale entry")
}

// A server refuses a request and asks the gateway to back off. Guards against requests from
// that gateway during the backoff, against callers being refused because of it, and against
// the server staying unused after the backoff.
func TestServerThatAsksForBackoffGetsNoRequests(t *testing.T) {
	const backoff = 2 * time.Second
	s := newSystem(t)
	busy := s.server(fleet.DeskService, fleet.Behavior{RejectAll: true, Headers: fleet.BackoffHeaders(backoff)})
	s.server(fleet.DeskService, fleet.Behavior{})
	gateways := []*testGateway{s.gateway("vm-1"), s.gateway("vm-2")}
	for i, n := range gateways {
		n.eventually(func() bool { return n.registry.CountReady(fleet.DeskService) == 2 }, "listed")
		n.eventually(func() bool {
			return n.group.RetryView(fleet.DeskService, retry.Settings{Window: testBounds.RetryWindow}).Informed
		}, "may retry")
		c := plain(fleet.OncePath).with("X-Kingcupplank-Attempt-Id", fmt.Sprint("of vm-", i+1))
		before := len(busy.Arrivals())
		n.eventually(func() bool {
			require.Equal(t, http.StatusOK, n.do(c).status)
			return len(busy.Arrivals()) > before
		}, "refused")
		refusedAt := busy.Arrivals()[before].At
		requestAll(t, []*testGateway{n}, backoff-time.Since(refusedAt)-100*time.Millisecond, c)
		for _, a := range busy.Arrivals()[before+1:] {
			require.False(t, a.At.Sub(refusedAt) < backoff, "got a request %v after it refused one", a.At.Sub(refusedAt))
		}
	}
	busy.SetBehavior(fleet.Behavior{})
	served := len(busy.Executions())
	requestAll(t, gateways, backoff, plain(fleet.OncePath))
	require.Greater(t, len(busy.Executions()), served, "used again")
}
