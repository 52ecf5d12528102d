package gateway

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"kingcupplank.example/kingcup/internal/standin/fleet"
)

// benchServers is the number of servers of each service, benchCallers the number of
// callers' connections.
const benchServers, benchCallers = 24, 64

// benchGateway starts two gateways and the servers of a service, and returns the first
// gateway.
func benchGateway(b *testing.B, service string, behavior fleet.Behavior) *testGateway {
	s := newSystem(b)
	for range benchServers {
		s.server(service, behavior)
	}
	gateways := []*testGateway{s.gateway("vm-1"), s.gateway("vm-2")}
	gateways[0].eventually(func() bool { return gateways[0].registry.CountReady(service) == benchServers }, "all servers are known")
	return gateways[0]
}

// runRequests sends b.N requests over benchCallers connections, one after the other on
// each.
func runRequests(b *testing.B, n *testGateway, r callerRequest) {
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

// BenchmarkPlainRequest measures a plain request and its response, including the simulated
// callers and servers.
func BenchmarkPlainRequest(b *testing.B) {
	runRequests(b, benchGateway(b, fleet.DeskService, fleet.Behavior{}), plain(fleet.SafePath))
}

// BenchmarkGeneration measures a generation of 100 events, including the simulated callers
// and servers.
func BenchmarkGeneration(b *testing.B) {
	n := benchGateway(b, fleet.ModelService, fleet.Behavior{Events: 100, EventInterval: time.Millisecond})
	runRequests(b, n, generation(fleet.PlanPath))
}
