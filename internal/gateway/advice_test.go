package gateway

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"kingcupplank.example/kingcup/internal/standin/fleet"
)

const (
	// limitWindow is the time in which what reaches a limited server is counted.
	limitWindow = 4 * time.Second
	// knownWithin is the aim for what a server says of itself to be known at all gateways.
	knownWithin = 300 * time.Millisecond
)

// allowedIn is the platform's bound for what a server that names a limit gets in limitWindow.
func allowedIn(perSecond float64) int { return int(1.5*perSecond*limitWindow.Seconds()) + 5 }

// pressAll has callers ask every gateway for a time, each again and again, and returns how many
// were served.
func pressAll(nodes []*node, each int, d time.Duration, c call) (served, refused int) {
	var wg sync.WaitGroup
	var mu sync.Mutex
	for begun, n := range callersOf(nodes, each) {
		wg.Go(func() {
			time.Sleep(time.Duration(begun) * time.Millisecond)
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

func callersOf(nodes []*node, each int) (out []*node) {
	for range each {
		out = append(out, nodes...)
	}
	return out
}

// mostIn is the most that reached a server in any span of limitWindow from a time on.
func mostIn(srv *fleet.Server, from time.Time) (most int) {
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
		most = max(most, i-first+1)
	}
	return most
}

// Guards against servers that name a limit getting several times as much from all gateways
// together.
func TestLimitedServersGetTheirLimitFromAllGateways(t *testing.T) {
	s := newSystem(t)
	limits := map[*fleet.Server]float64{
		s.server(fleet.DeskService, fleet.Behavior{}): 2.3,
		s.server(fleet.DeskService, fleet.Behavior{}): 3.9,
	}
	s.server(fleet.DeskService, fleet.Behavior{})
	nodes := []*node{s.gateway("vm-1"), s.gateway("vm-2"), s.gateway("vm-3")}
	for _, n := range nodes {
		n.eventually(func() bool {
			return n.registry.CountReady(fleet.DeskService) == 3 && len(n.group.links.LiveStates()) == 2
		}, "listed")
	}
	pressAll(nodes, 1, time.Second, plain(fleet.OncePath))
	for srv, limit := range limits {
		srv.SetBehavior(fleet.Behavior{Headers: fleet.RateLimitHeaders(limit)})
	}
	named := time.Now()
	_, refused := pressAll(nodes, 1, limitWindow+time.Second, plain(fleet.OncePath))
	require.Zero(t, refused, "the third server has room")
	for srv, limit := range limits {
		most := mostIn(srv, named.Add(knownWithin))
		t.Logf("%s got %d in %v, its limit is %v a second", srv.ID, most, limitWindow, limit)
		require.LessOrEqual(t, most, allowedIn(limit), srv.ID)
	}
}

// Guards against gateways that learn of a limit, or of its end, only by their own requests; the
// store tells them nothing of it.
func TestLimitIsKnownToAllGatewaysAtOnce(t *testing.T) {
	s := newSystem(t)
	srv := s.server(fleet.DeskService, fleet.Behavior{})
	nodes := []*node{s.gateway("vm-1"), s.gateway("vm-2"), s.gateway("vm-3")}
	for _, n := range nodes {
		n.eventually(func() bool {
			return n.registry.CountReady(fleet.DeskService) == 1 && len(n.group.links.LiveStates()) == 2
		}, "listed")
	}
	nodes[2].door.SetFault(fleet.Reset)
	know := func(limited int) {
		t.Helper()
		for begun := time.Now(); time.Since(begun) < knownWithin; time.Sleep(5 * time.Millisecond) {
			if nodes[1].registry.CountRateLimited() == limited && nodes[2].registry.CountRateLimited() == limited {
				return
			}
		}
		t.Fatalf("not known to all within %v", knownWithin)
	}
	srv.SetBehavior(fleet.Behavior{Headers: fleet.RateLimitHeaders(20)})
	require.Equal(t, http.StatusOK, nodes[0].do(plain(fleet.OncePath)).status)
	know(1)
	srv.SetBehavior(fleet.Behavior{})
	nodes[0].eventually(func() bool {
		nodes[0].do(plain(fleet.OncePath))
		return nodes[0].registry.CountRateLimited() == 0
	}, "no limit any more")
	know(0)
}

// sentAfter counts what reached a server from a time on.
func sentAfter(srv *fleet.Server, from time.Time) (n int) {
	for _, a := range srv.Arrivals() {
		if a.At.After(from) {
			n++
		}
	}
	return n
}

// Guards against requests for a server that has said in an answer that it is leaving, while the
// store is away and when it returns with an entry that still says that the server is ready.
func TestServerThatSaysItIsLeavingGetsNothingNew(t *testing.T) {
	s := newSystem(t)
	leaves := s.server(fleet.DeskService, fleet.Behavior{})
	s.server(fleet.DeskService, fleet.Behavior{})
	nodes := []*node{s.gateway("vm-1"), s.gateway("vm-2"), s.gateway("vm-3")}
	for _, n := range nodes {
		n.eventually(func() bool {
			return n.registry.CountReady(fleet.DeskService) == 2 && len(n.group.links.LiveStates()) == 2
		}, "listed")
	}
	s.fleet.Store.SetFault(fleet.Reset)
	leaves.SetHeaders(fleet.LeavingHeaders())
	before := len(leaves.Arrivals())
	nodes[0].eventually(func() bool {
		require.Equal(t, http.StatusOK, nodes[0].do(plain(fleet.OpenPath)).status)
		return len(leaves.Arrivals()) > before
	}, "asked")
	told := time.Now()
	ask(t, nodes[:1], knownWithin, plain(fleet.OpenPath))
	require.Zero(t, sentAfter(leaves, told), "from the gateway that was told")
	ask(t, nodes, time.Second, plain(fleet.OpenPath))
	require.Zero(t, sentAfter(leaves, told.Add(knownWithin)), "from any")
	s.fleet.Store.SetFault(fleet.NoFault)
	leaves.Heartbeat()
	ask(t, nodes, time.Second, plain(fleet.OpenPath))
	require.Zero(t, sentAfter(leaves, told.Add(knownWithin)), "behind an entry that lags")
}

// Guards against requests from a gateway that a server has turned away and asked for rest, against
// callers being refused for it, and against the server being forgotten when its rest is over.
func TestServerThatAsksForRestGetsNone(t *testing.T) {
	const rest = 2 * time.Second
	s := newSystem(t)
	tired := s.server(fleet.DeskService, fleet.Behavior{RejectAll: true, Headers: fleet.BackoffHeaders(rest)})
	s.server(fleet.DeskService, fleet.Behavior{})
	nodes := []*node{s.gateway("vm-1"), s.gateway("vm-2")}
	for i, n := range nodes {
		n.eventually(func() bool { return n.registry.CountReady(fleet.DeskService) == 2 }, "listed")
		c := plain(fleet.OncePath).with("X-Kingcupplank-Attempt-Id", fmt.Sprint("of vm-", i+1))
		before := len(tired.Arrivals())
		n.eventually(func() bool {
			require.Equal(t, http.StatusOK, n.do(c).status)
			return len(tired.Arrivals()) > before
		}, "turned away")
		turned := tired.Arrivals()[before].At
		ask(t, []*node{n}, rest-time.Since(turned)-100*time.Millisecond, c)
		for _, a := range tired.Arrivals()[before+1:] {
			require.False(t, a.At.Sub(turned) < rest, "asked again %v after it was turned away", a.At.Sub(turned))
		}
	}
	tired.SetBehavior(fleet.Behavior{})
	served := len(tired.Executions())
	ask(t, nodes, rest, plain(fleet.OncePath))
	require.Greater(t, len(tired.Executions()), served, "used again")
}
