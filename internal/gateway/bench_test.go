package gateway

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"kingcupplank.example/kingcup/internal/standin/fleet"
)

// benchServers are the servers of each service, benchCallers the connections of callers.
const benchServers, benchCallers = 24, 64

// underLoad starts two gateways before servers of a service and returns the first.
func underLoad(b *testing.B, service string, how fleet.Behavior) *node {
	s := newSystem(b)
	for range benchServers {
		s.server(service, how)
	}
	nodes := []*node{s.gateway("vm-1"), s.gateway("vm-2")}
	nodes[0].eventually(func() bool { return nodes[0].registry.CountReady(service) == benchServers }, "all servers are known")
	return nodes[0]
}

// load has callers make requests, one after the other on each connection.
func load(b *testing.B, n *node, r call) {
	each := make(chan int, b.N)
	for i := range b.N {
		each <- i
	}
	close(each)
	b.ResetTimer()
	b.ReportAllocs()
	done := make(chan error, benchCallers)
	for range benchCallers {
		go func() {
			c := n.dial()
			for i := range each {
				c.send(r.with("X-Kingcupplank-Attempt-Id", fmt.Sprint("attempt-", i)))
				if a := c.read(); a.err != nil || a.status != http.StatusOK {
					done <- fmt.Errorf("status %d: %w", a.status, a.err)
					return
				}
			}
			done <- nil
		}()
	}
	for range benchCallers {
		require.NoError(b, <-done)
	}
}

// A plain request and its answer, the stand-ins of callers and servers included.
func BenchmarkPlainRequest(b *testing.B) {
	load(b, underLoad(b, fleet.DeskService, fleet.Behavior{}), plain(fleet.SafePath))
}

// A generation of 100 events, the stand-ins included.
func BenchmarkGeneration(b *testing.B) {
	n := underLoad(b, fleet.ModelService, fleet.Behavior{Events: 100, EventInterval: time.Millisecond})
	load(b, n, generation(fleet.PlanPath))
}
