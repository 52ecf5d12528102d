package gateway

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"kingcupplank.example/kingcup/internal/standin/fleet"
)

const (
	// crashingPart is the prompt part on which engines crash; commonPart begins the prompts of sound
	// and of crashing requests.
	crashingPart, commonPart = "bad1", "5c"
	// contactWindow is how long after the fifth crash requests with the part may still reach
	// servers, maxLateParts how many of them may later.
	contactWindow, maxLateParts = time.Second, 3
	// maxPartCrashes bounds the servers that crash under the part.
	maxPartCrashes = 8
)

// partEngine crashes on requests with crashingPart, shortly after their first event.
var partEngine = fleet.Behavior{
	Events: 5, EventInterval: 20 * time.Millisecond, Delay: 100 * time.Millisecond,
	CrashOnPart: crashingPart, CrashDelay: 50 * time.Millisecond,
}

// generateParts sends a generation with a body and prompt parts of its own, and returns the status.
func (n *testGateway) generateParts(parts ...string) int {
	as := fleet.CallerRequest{ID: fleet.NextID(), Key: fleet.Key, Body: fleet.NextID(), Parts: append(parts, "e0")}
	status, _ := fleet.StreamWith(context.Background(), n.callers, fleet.CheckPath, as, func(string) {})
	return status
}

// every calls f in a goroutine of its own every interval for duration, and waits for all calls.
func every(interval, duration time.Duration, f func(i int)) {
	var wg sync.WaitGroup
	for i, begun := 0, time.Now(); time.Since(begun) < duration; i++ {
		wg.Go(func() { f(i) })
		time.Sleep(interval)
	}
	wg.Wait()
}

// Guards against requests that crash servers by a prompt part, no two alike, being sent on as each
// content is new.
func TestCrashingPromptPartIsSentOnByNobody(t *testing.T) {
	s := newSystem(t)
	crashes := s.startCrashingEngines(0)
	for range 8 {
		s.server(fleet.ModelService, partEngine)
	}
	gateways := []*testGateway{s.gateway("vm-1"), s.gateway("vm-2"), s.gateway("vm-3")}
	var sent, served, refused sync.Map
	count := func(m *sync.Map) (n int) {
		m.Range(func(any, any) bool { n++; return true })
		return n
	}
	var wg sync.WaitGroup
	wg.Go(func() {
		every(25*time.Millisecond, 8*time.Second, func(i int) {
			at := crashes.times()
			settled := len(at) > 0 && time.Since(at[min(len(at), 5)-1]) > 2*contactWindow
			status := gateways[i%3].generateParts(commonPart, fmt.Sprintf("a%x", i%7))
			if settled {
				sent.Store(i, true)
				if status == http.StatusOK {
					served.Store(i, true)
				}
			}
		})
	})
	time.Sleep(time.Second)
	every(250*time.Millisecond, 6*time.Second, func(i int) {
		if gateways[rand.IntN(3)].generateParts(commonPart, fmt.Sprintf("b%x", i%3), crashingPart) == http.StatusServiceUnavailable {
			refused.Store(i, true)
		}
	})
	wg.Wait()
	at := crashes.times()
	require.GreaterOrEqual(t, len(at), 3)
	late := 0
	for _, srv := range s.fleet.Servers() {
		for _, seen := range srv.Executions() {
			if len(at) >= 5 && partEngine.CrashesOn(seen.Header, "") && seen.At.Sub(at[4]) > contactWindow {
				late++
			}
		}
	}
	t.Logf("%d servers crashed, %d requests late, %d refused; sound ones: %d of %d served", len(at), late, count(&refused), count(&served), count(&sent))
	require.LessOrEqual(t, late, maxLateParts)
	require.LessOrEqual(t, len(at), maxPartCrashes)
	require.Greater(t, count(&sent), 60)
	require.GreaterOrEqual(t, float64(count(&served)), 0.95*float64(count(&sent)), "sound requests with the same first part")
}

// Guards against gateways that start after all others were killed sending a crashing part on, as they know it
// only from the rows of the store.
func TestLaterGatewaysKnowQuarantinedParts(t *testing.T) {
	s := newSystem(t)
	crashes := s.startCrashingEngines(0)
	for range 8 {
		s.server(fleet.ModelService, partEngine)
	}
	first := []*testGateway{s.gateway("vm-1"), s.gateway("vm-2")}
	every(200*time.Millisecond, 4*time.Second, func(i int) {
		first[i%2].generateParts(commonPart, "a1")
		first[i%2].generateParts(commonPart, crashingPart)
	})
	for _, n := range first {
		n.Close()
	}
	crashesBefore := len(crashes.times())
	require.LessOrEqual(t, crashesBefore, maxPartCrashes)
	later := []*testGateway{s.gateway("vm-3"), s.gateway("vm-4")}
	for i := range 20 {
		require.Equal(t, http.StatusServiceUnavailable, later[i%2].generateParts(fmt.Sprintf("a%x", i), crashingPart))
	}
	require.Equal(t, http.StatusOK, later[0].generateParts(commonPart, "a1"))
	require.Len(t, crashes.times(), crashesBefore)
}
