package gateway

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"kingcupplank.example/kingcup/internal/standin/fleet"
)

// servedShare sends plain requests and generations on new connections for duration, to gateways that pick
// returns, and returns the share that is served at the first attempt, each after an initial time.
func servedShare(pick func(i int) *testGateway, skip, duration time.Duration) (plainShare, streamShare float64) {
	var mu sync.Mutex
	sent, served := make(map[string]int), make(map[string]int)
	count := func(path string, begun time.Time, ok bool) {
		if time.Since(begun) < skip {
			return
		}
		mu.Lock()
		defer mu.Unlock()
		sent[path]++
		if ok {
			served[path]++
		}
	}
	begun := time.Now()
	var wg sync.WaitGroup
	wg.Go(func() {
		every(4*time.Millisecond, duration, func(i int) {
			begunHere := time.Now()
			status, _, err := fleet.Call(context.Background(), pick(i).callers, fleet.SafePath)
			count(fleet.SafePath, begun, err == nil && status == http.StatusOK && time.Since(begunHere) < time.Second)
		})
	})
	wg.Go(func() {
		every(25*time.Millisecond, duration, func(i int) {
			count(fleet.CheckPath, begun, pick(i).generateParts("5c") == http.StatusOK)
		})
	})
	wg.Wait()
	return float64(served[fleet.SafePath]) / float64(sent[fleet.SafePath]), float64(served[fleet.CheckPath]) / float64(sent[fleet.CheckPath])
}

// Guards against requests being refused because most new connections go to one gateway, while servers and the
// other gateways have room.
func TestMostConnectionsAtOneGatewayAreServed(t *testing.T) {
	s := newSystem(t)
	for range 6 {
		s.server(fleet.ModelService, fleet.Behavior{Events: 5, EventInterval: 20 * time.Millisecond, Delay: 400 * time.Millisecond})
	}
	for range 3 {
		s.server(fleet.DeskService, fleet.Behavior{Delay: 40 * time.Millisecond, Slots: 6})
	}
	gateways := []*testGateway{s.gateway("vm-1"), s.gateway("vm-2"), s.gateway("vm-3")}
	plainBefore, streamsBefore := servedShare(func(i int) *testGateway { return gateways[i%3] }, 2*time.Second, 5*time.Second)
	plainAfter, streamsAfter := servedShare(func(i int) *testGateway {
		if i%10 == 0 {
			return gateways[i/10%2+1]
		}
		return gateways[0]
	}, contactWindow, 5*time.Second)
	t.Logf("served at the first attempt: plain %.3f, then %.3f; streams %.3f, then %.3f", plainBefore, plainAfter, streamsBefore, streamsAfter)
	require.GreaterOrEqual(t, plainAfter, 0.95*plainBefore)
	require.GreaterOrEqual(t, streamsAfter, 0.95*streamsBefore)
}
