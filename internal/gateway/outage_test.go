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

// A network partition lies between a gateway and one of two servers: connections to it are
// held up without a reset, old ones and new ones, and its entry stays ready. Requests that
// may be repeated are answered by the other server in time; one that may not is told the
// truth, that it may have run. After some lost requests the server gets no more of them,
// and when the partition heals it is used again.
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
	parted := s.server(fleet.DeskService, b)
	s.server(fleet.DeskService, b)
	n := s.gateway("vm-1")
	n.eventually(func() bool {
		return n.do(plain(fleet.SafePath)).status == http.StatusOK && len(parted.Executions()) > 0
	}, "both serve")
	proxies[0].Set(soak.Silent)
	for range 5 {
		a := n.do(plain(fleet.OncePath))
		require.NotContains(t, []int{http.StatusServiceUnavailable, http.StatusTooManyRequests}, a.status, "not run is untrue")
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
	proxies[0].Set(soak.Pass)
	seen := len(parted.Executions())
	// A server that has failed is tried again when the others have their hands full.
	var callers sync.WaitGroup
	until := time.Now().Add(8 * time.Second)
	for range crowd {
		callers.Go(func() {
			for time.Now().Before(until) && len(parted.Executions()) < seen+crowd {
				n.do(plain(fleet.SafePath))
			}
		})
	}
	callers.Wait()
	require.GreaterOrEqual(t, len(parted.Executions()), seen+crowd, "not used again")
}

// crowd is how many callers ask at once: more than one server answers at a time.
const crowd = 16

// All gateways lose power right after the operator's change was acknowledged, and start
// again. None of them may be ready, or serve a caller, with the version before.
func TestWholeRestartServesTheNewestVersion(t *testing.T) {
	s := newSystem(t)
	s.server(fleet.DeskService, fleet.Behavior{})
	names := []string{"vm-a", "vm-b", "vm-c"}
	var nodes []*node
	for _, name := range names {
		nodes = append(nodes, s.gateway(name))
	}
	linked(nodes...)
	s.fleet.Configure("another key", "/extra/")
	for _, n := range nodes {
		n.Close()
	}
	var served atomic.Int64
	for _, name := range names {
		n := s.gateway(name)
		require.Equal(t, http.StatusUnauthorized, n.do(plain(fleet.OncePath)).status, "a removed key holds")
		a := n.do(plain("/extra/a").with("X-Api-Key", "another key"))
		if a.status == http.StatusOK {
			served.Add(1)
		}
	}
	require.EqualValues(t, len(names), served.Load())
}
