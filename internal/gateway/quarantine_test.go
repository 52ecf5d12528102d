package gateway

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"kingcupplank.example/kingcup/internal/standin/fleet"
	"kingcupplank.example/kingcup/quarantine"
)

const (
	// crashingBody is part of the bodies under which engines crash.
	crashingBody = "harmful"
	// quarantineTarget is how long after the third crash under a request gateways may still
	// send it to servers.
	quarantineTarget = time.Second
	// maxExtraServers is how many servers such a request may reach after the third crash,
	// by the attempts that were in flight.
	maxExtraServers = 3
)

// crashingEngine is an engine that crashes under crashing requests, shortly after their
// first event.
var crashingEngine = fleet.Behavior{
	Events: 5, EventInterval: 20 * time.Millisecond, Delay: 100 * time.Millisecond,
	CrashOn: crashingBody, CrashDelay: 50 * time.Millisecond,
}

// crashLog records when engines crashed under requests.
type crashLog struct {
	mu sync.Mutex
	at []time.Time
}

func (l *crashLog) record(*fleet.Server) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.at = append(l.at, time.Now())
}

func (l *crashLog) times() []time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.at)
}

// startCrashingEngines starts engines that crash under crashing requests.
func (s *system) startCrashingEngines(n int) *crashLog {
	log := &crashLog{}
	s.fleet.OnCrash = log.record
	for range n {
		s.server(fleet.ModelService, crashingEngine)
	}
	return log
}

// arrivalTimes lists when servers got requests whose body contains a text.
func (s *system) arrivalTimes(text string) (at []time.Time) {
	for _, srv := range s.fleet.Servers() {
		for _, seen := range srv.Executions() {
			if strings.Contains(seen.Body, text) {
				at = append(at, seen.At)
			}
		}
	}
	slices.SortFunc(at, time.Time.Compare)
	return at
}

// generate sends a generation with a body as a new attempt, and returns the status.
func (n *testGateway) generate(path, body string) int {
	as := fleet.CallerRequest{ID: fleet.NextID(), Key: fleet.Key, Body: body}
	// The error that cuts a response off doesn't matter here.
	status, _ := fleet.StreamWith(context.Background(), n.callers, path, as, func(string) {})
	return status
}

// repeat sends a body to the gateways in turn, every interval for duration, and returns the
// statuses. Each attempt has an ID of its own.
func repeat(t *testing.T, gateways []*testGateway, body string, interval, duration time.Duration) (statuses []int) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	for i, begun := 0, time.Now(); time.Since(begun) < duration; i++ {
		n := gateways[i%len(gateways)]
		wg.Go(func() {
			status := n.generate(fleet.CheckPath, body)
			mu.Lock()
			defer mu.Unlock()
			statuses = append(statuses, status)
		})
		time.Sleep(interval)
	}
	wg.Wait()
	return statuses
}

// One caller's request crashes each engine that starts to run it. The caller comes back
// several times a second, with a new attempt ID, at any gateway. Each gateway would send it
// to another engine, and engine after engine would crash, along with the generations of
// other callers. After the third crash no gateway may send the request on.
func TestCrashingRequestIsSentOnByNobody(t *testing.T) {
	s := newSystem(t)
	crashes := s.startCrashingEngines(6)
	gateways := []*testGateway{s.gateway("vm-1"), s.gateway("vm-2"), s.gateway("vm-3")}
	repeat(t, gateways, crashingBody, 150*time.Millisecond, 6*time.Second)
	at := crashes.times()
	require.GreaterOrEqual(t, len(at), 3)
	require.LessOrEqual(t, len(at), 3+maxExtraServers, "total number of crashes")
	for _, sentAt := range s.arrivalTimes(crashingBody) {
		require.Less(t, sentAt.Sub(at[2]), quarantineTarget, "sent on after the third crash")
	}
}

// All gateways are killed while a request is quarantined, and new ones start in their
// place. The caller comes back. The quarantine must survive in the store, or engines would
// crash again.
func TestLaterGatewaysKnowQuarantinedRequests(t *testing.T) {
	s := newSystem(t)
	crashes := s.startCrashingEngines(6)
	first := []*testGateway{s.gateway("vm-1"), s.gateway("vm-2")}
	repeat(t, first, crashingBody, 150*time.Millisecond, 3*time.Second)
	for _, n := range first {
		n.Close()
	}
	crashesBefore := len(crashes.times())
	later := []*testGateway{s.gateway("vm-3"), s.gateway("vm-4")}
	started := time.Now()
	statuses := repeat(t, later, crashingBody, 100*time.Millisecond, 2*time.Second)
	require.Equal(t, crashesBefore, len(crashes.times()), "engines crashed again")
	for _, sentAt := range s.arrivalTimes(crashingBody) {
		require.True(t, sentAt.Before(started), "sent on by a gateway that started later")
	}
	require.NotContains(t, statuses, http.StatusOK)
}

// Twelve gateways are linked to a few others each. Three of them see one crash each while
// the store is unavailable, so only forwarding between gateways reaches those that are
// linked to none of the three. All of them must refuse the request a second later.
func TestQuarantineReachesGatewaysNotLinkedToWitnesses(t *testing.T) {
	s, gateways := startPartialMesh(t)
	crashes := s.startCrashingEngines(6)
	time.Sleep(readersSettleTime)
	s.fleet.Store.SetFault(fleet.Silent)
	witnesses := []*testGateway{gateways[0], gateways[5], gateways[9]}
	for i := 0; len(crashes.times()) < 3; i++ {
		witnesses[i%len(witnesses)].generate(fleet.PlanPath, crashingBody)
	}
	reached := len(s.arrivalTimes(crashingBody))
	time.Sleep(quarantineTarget)
	for _, n := range gateways {
		require.Equal(t, http.StatusServiceUnavailable, n.generate(fleet.PlanPath, crashingBody), n.settings.Load().VM)
	}
	require.Len(t, s.arrivalTimes(crashingBody), reached)
}

// The servers have been fixed, and an operator lifts the quarantine of a request at one
// gateway. The other gateways must serve the request too, and so must one that starts
// later.
func TestOperatorLiftsQuarantine(t *testing.T) {
	s := newSystem(t)
	crashes := s.startCrashingEngines(5)
	gateways := []*testGateway{s.gateway("vm-1"), s.gateway("vm-2")}
	for i := 0; len(crashes.times()) < 3; i++ {
		gateways[i%2].generate(fleet.PlanPath, crashingBody)
	}
	content := quarantine.NewID(fleet.Team, "POST", fleet.Host, fleet.PlanPath, []byte(crashingBody)).String()
	for _, n := range gateways {
		n.eventually(func() bool { return n.generate(fleet.PlanPath, crashingBody) == http.StatusServiceUnavailable }, "quarantined")
		require.Equal(t, content, adminQuarantine{n.group.quarantine}.Held()[0].Content)
	}
	for _, srv := range s.fleet.Servers() {
		srv.SetBehavior(fleet.Behavior{Events: 3})
	}
	require.False(t, adminQuarantine{gateways[0].group.quarantine}.Lift("no such content"))
	require.True(t, adminQuarantine{gateways[0].group.quarantine}.Lift(content))
	for _, n := range append(gateways, s.gateway("vm-3")) {
		n.eventually(func() bool { return n.generate(fleet.PlanPath, crashingBody) == http.StatusOK }, "served")
		require.Empty(t, adminQuarantine{n.group.quarantine}.Held())
	}
}

// Several callers send the same harmless request all the time. It runs on each server that
// crashes under a crashing request, and is quarantined with it. It must be served again
// within seconds, while the crashing one stays quarantined.
func TestPopularRequestIsServedAgainBesideACrashingOne(t *testing.T) {
	s := newSystem(t)
	crashes := s.startCrashingEngines(3)
	gateways := []*testGateway{s.gateway("vm-1"), s.gateway("vm-2")}
	var wg sync.WaitGroup
	wg.Go(func() { repeat(t, gateways, "popular", 20*time.Millisecond, 4*time.Second) })
	repeat(t, gateways, crashingBody, 100*time.Millisecond, 4*time.Second)
	wg.Wait()
	require.GreaterOrEqual(t, len(crashes.times()), 3)
	gateways[0].eventually(func() bool { return gateways[0].generate(fleet.CheckPath, "popular") == http.StatusOK }, "popular request is served")
	require.Equal(t, http.StatusServiceUnavailable, gateways[1].generate(fleet.CheckPath, crashingBody))
}

// One caller's request crashes servers and comes back twice a second; other callers send
// their own requests. Once three servers have crashed and are back, the other requests must
// be served as usual: neither the refusals nor the crashes may keep them from servers.
func TestOthersAreServedBesideAQuarantinedRequest(t *testing.T) {
	s := newSystem(t)
	crashes := s.startCrashingEngines(6)
	gateways := []*testGateway{s.gateway("vm-1"), s.gateway("vm-2"), s.gateway("vm-3")}
	var wg sync.WaitGroup
	wg.Go(func() { repeat(t, gateways, crashingBody, 500*time.Millisecond, 10*time.Second) })
	var mu sync.Mutex
	sent, served := 0, 0
	for i, begun := 0, time.Now(); time.Since(begun) < 10*time.Second; i++ {
		at := crashes.times()
		counts := len(at) >= 3 && time.Since(at[2]) > s.fleet.ReplacementDelay+quarantineTarget
		wg.Go(func() {
			ok := gateways[i%3].generate(fleet.CheckPath, fmt.Sprint("own-", i)) == http.StatusOK
			mu.Lock()
			defer mu.Unlock()
			if counts {
				sent++
			}
			if counts && ok {
				served++
			}
		})
		time.Sleep(25 * time.Millisecond)
	}
	wg.Wait()
	t.Logf("%d crashes, %d of %d served after the third", len(crashes.times()), served, sent)
	require.Greater(t, sent, 100)
	require.GreaterOrEqual(t, float64(served), 0.98*float64(sent))
}
