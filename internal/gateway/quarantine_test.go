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
	// harmful is in the bodies under which engines end.
	harmful = "harmful"
	// toldWithin is how long after the third end under a request all gateways may still
	// send it to servers.
	toldWithin = time.Second
	// mostFurther is how many servers such a request may reach after the third end, by those
	// attempts that were under way.
	mostFurther = 3
)

// fragile is an engine that ends under harmful requests, shortly after their first event.
var fragile = fleet.Behavior{
	Events: 5, EventInterval: 20 * time.Millisecond, Delay: 100 * time.Millisecond,
	CrashOn: harmful, CrashDelay: 50 * time.Millisecond,
}

// endings notes when engines ended under requests.
type endings struct {
	mu sync.Mutex
	at []time.Time
}

func (e *endings) note(*fleet.Server) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.at = append(e.at, time.Now())
}

func (e *endings) times() []time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.at)
}

// fragileEngines starts engines that end under harmful requests.
func (s *system) fragileEngines(n int) *endings {
	e := &endings{}
	s.fleet.OnCrash = e.note
	for range n {
		s.server(fleet.ModelService, fragile)
	}
	return e
}

// reached lists when servers got requests whose body has a text.
func (s *system) reached(text string) (at []time.Time) {
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

// generate makes a generation of a body as a new attempt, and returns the status.
func (n *node) generate(path, body string) int {
	as := fleet.CallerRequest{ID: fleet.NextID(), Key: fleet.Key, Body: body}
	// What breaks an answer off is no matter here.
	status, _ := fleet.StreamWith(context.Background(), n.callers, path, as, func(string) {})
	return status
}

// repeat sends a body to gateways in turn for some time, and returns the statuses; each
// attempt has an id of its own.
func repeat(t *testing.T, nodes []*node, body string, every, lasts time.Duration) (statuses []int) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	for i, begun := 0, time.Now(); time.Since(begun) < lasts; i++ {
		n := nodes[i%len(nodes)]
		wg.Go(func() {
			status := n.generate(fleet.CheckPath, body)
			mu.Lock()
			defer mu.Unlock()
			statuses = append(statuses, status)
		})
		time.Sleep(every)
	}
	wg.Wait()
	return statuses
}

// One caller's request ends each engine that begins to run it. The caller comes back several
// times a second, with a new id, at any gateway; each gateway finds a sound engine for it,
// and engine after engine ends, with the generations of others on it. The log of ended
// servers shows the same content on each. After the third end nobody may send it on.
func TestRequestThatEndsServersIsSentOnByNobody(t *testing.T) {
	s := newSystem(t)
	ends := s.fragileEngines(6)
	nodes := []*node{s.gateway("vm-1"), s.gateway("vm-2"), s.gateway("vm-3")}
	repeat(t, nodes, harmful, 150*time.Millisecond, 6*time.Second)
	at := ends.times()
	require.GreaterOrEqual(t, len(at), 3)
	require.LessOrEqual(t, len(at), 3+mostFurther, "ends in all")
	for _, reached := range s.reached(harmful) {
		require.Less(t, reached.Sub(at[2]), toldWithin, "sent on after the third end")
	}
}

// All gateways are killed while a request that ends engines is refused, and others start in
// their place. The caller comes back: to them it is new. What the first ones learnt must not
// go with them, or engines end again.
func TestGatewaysThatStartLaterKnowWhichRequestEndsServers(t *testing.T) {
	s := newSystem(t)
	ends := s.fragileEngines(6)
	first := []*node{s.gateway("vm-1"), s.gateway("vm-2")}
	repeat(t, first, harmful, 150*time.Millisecond, 3*time.Second)
	for _, n := range first {
		n.Close()
	}
	known := len(ends.times())
	later := []*node{s.gateway("vm-3"), s.gateway("vm-4")}
	started := time.Now()
	statuses := repeat(t, later, harmful, 100*time.Millisecond, 2*time.Second)
	require.Equal(t, known, len(ends.times()), "engines ended again")
	for _, reached := range s.reached(harmful) {
		require.True(t, reached.Before(started), "sent on by a gateway that started later")
	}
	require.NotContains(t, statuses, http.StatusOK)
}

// Twelve gateways that each hear a few of the others learn of three ends at different ones,
// while the store is away: only what gateways pass on reaches those that hear none of the
// three. All of them must refuse the request a second later.
func TestVerdictReachesGatewaysThatHearNoneOfItsWitnesses(t *testing.T) {
	s, nodes := partial(t)
	ends := s.fragileEngines(6)
	time.Sleep(settle)
	s.fleet.Store.SetFault(fleet.Silent)
	witnesses := []*node{nodes[0], nodes[5], nodes[9]}
	for i := 0; len(ends.times()) < 3; i++ {
		witnesses[i%len(witnesses)].generate(fleet.PlanPath, harmful)
	}
	reached := len(s.reached(harmful))
	time.Sleep(toldWithin)
	for _, n := range nodes {
		require.Equal(t, http.StatusServiceUnavailable, n.generate(fleet.PlanPath, harmful), n.set.Load().VM)
	}
	require.Len(t, s.reached(harmful), reached)
}

// The servers have learnt to survive a request that is held, and an operator lifts the
// verdict at one gateway. The others must serve it too, and one that starts later.
func TestOperatorLiftsAVerdict(t *testing.T) {
	s := newSystem(t)
	ends := s.fragileEngines(5)
	nodes := []*node{s.gateway("vm-1"), s.gateway("vm-2")}
	for i := 0; len(ends.times()) < 3; i++ {
		nodes[i%2].generate(fleet.PlanPath, harmful)
	}
	content := quarantine.NewID(fleet.Team, "POST", fleet.Host, fleet.PlanPath, []byte(harmful)).String()
	for _, n := range nodes {
		n.eventually(func() bool { return n.generate(fleet.PlanPath, harmful) == http.StatusServiceUnavailable }, "held")
		require.Equal(t, content, quarantined{n.group.suspects}.Held()[0].Content)
	}
	for _, srv := range s.fleet.Servers() {
		srv.SetBehavior(fleet.Behavior{Events: 3})
	}
	require.False(t, quarantined{nodes[0].group.suspects}.Lift("no such content"))
	require.True(t, quarantined{nodes[0].group.suspects}.Lift(content))
	for _, n := range append(nodes, s.gateway("vm-3")) {
		n.eventually(func() bool { return n.generate(fleet.PlanPath, harmful) == http.StatusOK }, "served")
		require.Empty(t, quarantined{n.group.suspects}.Held())
	}
}

// Several callers make one and the same harmless request all the time, which runs on each
// server that ends under a harmful one, and is held with it. It must be served again within
// seconds, while the harmful one stays held.
func TestPopularRequestIsServedAgainBesideAHarmfulOne(t *testing.T) {
	s := newSystem(t)
	ends := s.fragileEngines(3)
	nodes := []*node{s.gateway("vm-1"), s.gateway("vm-2")}
	var wg sync.WaitGroup
	wg.Go(func() { repeat(t, nodes, "popular", 20*time.Millisecond, 4*time.Second) })
	repeat(t, nodes, harmful, 100*time.Millisecond, 4*time.Second)
	wg.Wait()
	require.GreaterOrEqual(t, len(ends.times()), 3)
	nodes[0].eventually(func() bool { return nodes[0].generate(fleet.CheckPath, "popular") == http.StatusOK }, "popular request is served")
	require.Equal(t, http.StatusServiceUnavailable, nodes[1].generate(fleet.CheckPath, harmful))
}

// One caller's request ends servers and comes back twice a second; others make their own.
// Once three servers have ended and are back, the others must be served as on a day without
// it: neither its refusals nor the ends it caused may keep them from servers.
func TestOthersAreServedBesideAHeldRequest(t *testing.T) {
	s := newSystem(t)
	ends := s.fragileEngines(6)
	nodes := []*node{s.gateway("vm-1"), s.gateway("vm-2"), s.gateway("vm-3")}
	var wg sync.WaitGroup
	wg.Go(func() { repeat(t, nodes, harmful, 500*time.Millisecond, 10*time.Second) })
	var mu sync.Mutex
	sent, served := 0, 0
	for i, begun := 0, time.Now(); time.Since(begun) < 10*time.Second; i++ {
		at := ends.times()
		counts := len(at) >= 3 && time.Since(at[2]) > s.fleet.ReplacementDelay+toldWithin
		wg.Go(func() {
			ok := nodes[i%3].generate(fleet.CheckPath, fmt.Sprint("own-", i)) == http.StatusOK
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
	t.Logf("%d ends, %d of %d served after the third", len(ends.times()), served, sent)
	require.Greater(t, sent, 100)
	require.GreaterOrEqual(t, float64(served), 0.98*float64(sent))
}
