package gateway

import (
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"kingcupplank.example/kingcup/internal/soak"
	"kingcupplank.example/kingcup/internal/standin/fleet"
)

// A network partition separates a gateway from one of two servers: old and new connections
// hang without a reset, and the server's entry stays ready. Requests that may be repeated
// are answered by the other server in time. One that may not be repeated gets a status that
// doesn't claim that it was not run. After some lost requests the server gets no more of
// them, and when the partition heals it is used again.
func TestServerBehindAPartitionCostsFewRequests(t *testing.T) {
	s := newSystem(t)
	var proxies []*soak.Proxy
	s.fleet.AddProxy = func(address string) (string, error) {
		p, err := soak.NewProxy(address)
		if err == nil {
			proxies = append(proxies, p)
			t.Cleanup(p.Close)
		}
		return p.Address, err
	}
	b := fleet.Behavior{Delay: 20 * time.Millisecond}
	partitioned := s.server(fleet.DeskService, b)
	s.server(fleet.DeskService, b)
	n := s.gateway("vm-1")
	n.eventually(func() bool {
		return n.do(plain(fleet.SafePath)).status == http.StatusOK && len(partitioned.Executions()) > 0
	}, "both serve")
	proxies[0].SetMode(soak.HoldAll)
	for range 5 {
		a := n.do(plain(fleet.OncePath))
		require.NotContains(t, []int{http.StatusServiceUnavailable, http.StatusTooManyRequests}, a.status, "the request may have run")
	}
	lost := 0
	for range 40 {
		begun := time.Now()
		a := n.do(plain(fleet.SafePath))
		require.NoError(t, a.err)
		require.Less(t, time.Since(begun), 2500*time.Millisecond)
		if a.status != http.StatusOK {
			lost++
		}
	}
	require.LessOrEqual(t, lost, 3)
	proxies[0].SetMode(soak.PassThrough)
	seen := len(partitioned.Executions())
	// A server that has failed is only tried again when the others are busy.
	var callers sync.WaitGroup
	until := time.Now().Add(8 * time.Second)
	for range concurrentCallers {
		callers.Go(func() {
			for time.Now().Before(until) && len(partitioned.Executions()) < seen+concurrentCallers {
				n.do(plain(fleet.SafePath))
			}
		})
	}
	callers.Wait()
	require.GreaterOrEqual(t, len(partitioned.Executions()), seen+concurrentCallers, "not used again")
}

// concurrentCallers is how many callers send requests at once: more than one server answers
// at a time.
const concurrentCallers = 16

// All gateways lose power right after the operator's change was acknowledged, and start
// again. None of them may be ready, or serve a caller, with the version before.
func TestWholeRestartServesTheNewestVersion(t *testing.T) {
	s := newSystem(t)
	s.server(fleet.DeskService, fleet.Behavior{})
	names := []string{"vm-a", "vm-b", "vm-c"}
	var gateways []*testGateway
	for _, name := range names {
		gateways = append(gateways, s.gateway(name))
	}
	waitUntilLinked(gateways...)
	s.fleet.Configure("another key", "/extra/")
	for _, n := range gateways {
		n.Close()
	}
	var served atomic.Int64
	for _, name := range names {
		n := s.gateway(name)
		require.Equal(t, http.StatusUnauthorized, n.do(plain(fleet.OncePath)).status, "a revoked key is accepted")
		a := n.do(plain("/extra/a").with("X-Api-Key", "another key"))
		if a.status == http.StatusOK {
			served.Add(1)
		}
	}
	require.EqualValues(t, len(names), served.Load())
}
