package gateway

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"kingcupplank.example/kingcup/internal/standin/fleet"
)

const (
	// inForce is the aim for a cordon to hold at all gateways on a calm day.
	inForce = 300 * time.Millisecond
	// inForceBehind is the platform's bound where a gateway hears the store late or through
	// others only.
	inForceBehind = 5 * time.Second
	// emptied is the failure domain of the gateways: its servers are asked first.
	emptied, kept = "zone-1", "zone-2"
)

// emptiedSystem has servers of both services in two zones.
func emptiedSystem(t *testing.T) (s *system, inside []*fleet.Server) {
	s = newSystem(t)
	add := func(service, zone string, b fleet.Behavior) *fleet.Server {
		srv, err := s.fleet.Add(service, zone, b)
		require.NoError(t, err)
		return srv
	}
	short := fleet.Behavior{Events: 3, EventInterval: time.Millisecond}
	for range 2 {
		inside = append(inside, add(fleet.DeskService, emptied, fleet.Behavior{}), add(fleet.ModelService, emptied, short))
		add(fleet.DeskService, kept, fleet.Behavior{})
		add(fleet.ModelService, kept, short)
	}
	return s, inside
}

// knows waits until a gateway knows all servers.
func (n *node) knows() {
	n.eventually(func() bool {
		return n.registry.CountReady(fleet.DeskService) == 4 && n.registry.CountReady(fleet.ModelService) == 4
	}, "listed")
}

// askAll makes requests of each kind to all gateways for a time; all must be served.
func askAll(t *testing.T, nodes []*node, d time.Duration) {
	t.Helper()
	ask(t, nodes, d, plain(fleet.SafePath), plain(fleet.OncePath), generation(fleet.PlanPath))
}

func ask(t *testing.T, nodes []*node, d time.Duration, calls ...call) {
	t.Helper()
	for begun := time.Now(); time.Since(begun) < d; {
		for _, n := range nodes {
			for _, c := range calls {
				require.Equal(t, http.StatusOK, n.do(c).status)
			}
		}
	}
}

// requireNone requires that servers ran nothing since a time.
func requireNone(t *testing.T, servers []*fleet.Server, since time.Time) {
	t.Helper()
	for _, srv := range servers {
		for _, seen := range srv.Executions() {
			require.False(t, seen.At.After(since), "%s got %s %v after the bound", srv.ID, seen.Target, seen.At.Sub(since))
		}
	}
}

func requireUsed(t *testing.T, servers []*fleet.Server, since time.Time) {
	t.Helper()
	for _, srv := range servers {
		for _, seen := range srv.Executions() {
			if seen.At.After(since) {
				return
			}
		}
	}
	t.Fatal("servers are not used again")
}

// Guards against requests that go on reaching a failure domain which the operator empties.
func TestCordonedDomainGetsNothingNew(t *testing.T) {
	s, inside := emptiedSystem(t)
	nodes := []*node{s.gateway("vm-1"), s.gateway("vm-2"), s.gateway("vm-3")}
	for _, n := range nodes {
		n.knows()
	}
	askAll(t, nodes, 200*time.Millisecond)
	requireUsed(t, inside, time.Time{})
	s.fleet.Cordon(emptied)
	asked := time.Now()
	askAll(t, nodes, time.Second)
	requireNone(t, inside, asked.Add(inForce))
	s.fleet.Uncordon(emptied)
	back := time.Now()
	askAll(t, nodes, time.Second)
	requireUsed(t, inside, back)
}

// Guards against a gateway that only peers keep up to date, and one that starts while a domain
// is empty, not knowing of it.
func TestCordonReachesGatewaysWithoutTheStore(t *testing.T) {
	s, inside := emptiedSystem(t)
	nodes := []*node{s.gateway("vm-1"), s.gateway("vm-2")}
	for _, n := range nodes {
		n.knows()
		n.eventually(func() bool { return len(n.group.links.LiveStates()) == 1 }, "linked")
	}
	nodes[1].door.SetFault(fleet.Busy)
	time.Sleep(time.Second)
	s.fleet.Cordon(emptied)
	asked := time.Now()
	askAll(t, nodes, time.Second)
	requireNone(t, inside, asked.Add(inForce))
	late := s.gateway("vm-3")
	late.knowsOutside()
	askAll(t, []*node{late}, 500*time.Millisecond)
	requireNone(t, inside, asked.Add(inForce))
}

// knowsOutside waits until a gateway knows the servers that are not cordoned.
func (n *node) knowsOutside() {
	n.eventually(func() bool {
		return n.registry.CountReady(fleet.DeskService) == 2 && n.registry.CountReady(fleet.ModelService) == 2
	}, "listed")
}

// Guards against an emptied domain being used because the store came back from a copy that is
// older than the operator's request, and against one that was taken back staying empty.
func TestCordonHoldsAcrossAStoreThatComesBackOlder(t *testing.T) {
	s, inside := emptiedSystem(t)
	nodes := []*node{s.gateway("vm-1"), s.gateway("vm-2")}
	for _, n := range nodes {
		n.knows()
	}
	older := s.fleet.Store.Backup()
	s.fleet.Cordon(emptied)
	asked := time.Now()
	askAll(t, nodes, inForce)
	s.restore(older)
	askAll(t, nodes, time.Second)
	s.fleet.RewriteRows(func() { time.Sleep(50 * time.Millisecond) })
	askAll(t, nodes, 500*time.Millisecond)
	requireNone(t, inside, asked.Add(inForce))
	s.fleet.Uncordon(emptied)
	back := time.Now()
	askAll(t, nodes, time.Second)
	requireUsed(t, inside, back)
}

// Guards against requests to an emptied domain while the store answers seconds late.
func TestCordonIsInForceBehindASlowStore(t *testing.T) {
	s, inside := emptiedSystem(t)
	nodes := []*node{s.gateway("vm-1"), s.gateway("vm-2")}
	for _, n := range nodes {
		n.knows()
	}
	s.fleet.Store.SetReadDelay("op", 2*time.Second)
	s.fleet.Store.Compact()
	s.fleet.Cordon(emptied)
	asked := time.Now()
	// Keys are not confirmed meanwhile, so callers without one ask.
	ask(t, nodes, inForceBehind+500*time.Millisecond, plain(fleet.OpenPath))
	requireNone(t, inside, asked.Add(inForceBehind))
}

// Guards against a caller waiting for servers that are all in emptied domains.
func TestServiceOfEmptiedDomainsIsRefusedAtOnce(t *testing.T) {
	s := newSystem(t)
	s.server(fleet.DeskService, fleet.Behavior{})
	s.server(fleet.ModelService, fleet.Behavior{Events: 3})
	n := s.gateway("vm-1")
	n.eventually(func() bool { return n.do(plain(fleet.OncePath)).status == http.StatusOK }, "served")
	s.fleet.Cordon("zone-1")
	n.eventually(func() bool { return n.registry.CountReady(fleet.DeskService) == 0 }, "cordoned")
	for _, c := range []call{plain(fleet.OncePath), plain(fleet.SafePath), generation(fleet.PlanPath)} {
		begun := time.Now()
		r := n.do(c)
		require.Equal(t, http.StatusServiceUnavailable, r.status)
		require.Less(t, time.Since(begun), 50*time.Millisecond)
		after, err := strconv.ParseFloat(r.header.Get("Retry-After"), 64)
		require.NoError(t, err)
		require.GreaterOrEqual(t, after, 1.0)
	}
	s.fleet.Uncordon("zone-1")
	n.eventually(func() bool { return n.do(plain(fleet.OncePath)).status == http.StatusOK }, "served again")
}

// Guards against answers under way being cut because their domain is emptied.
func TestStreamInAnEmptiedDomainGoesOn(t *testing.T) {
	s := newSystem(t)
	const events = 60
	srv := s.server(fleet.ModelService, fleet.Behavior{Events: events, EventInterval: 20 * time.Millisecond})
	n := s.gateway("vm-1")
	n.eventually(func() bool { return n.registry.CountReady(fleet.ModelService) == 1 }, "listed")
	c := n.dial()
	c.send(generation(fleet.PlanPath))
	n.eventually(func() bool { return srv.Running() == 1 }, "running")
	s.fleet.Cordon("zone-1")
	r := c.read()
	require.Equal(t, http.StatusOK, r.status)
	require.Contains(t, r.body, "id: "+strconv.Itoa(events)+"\n")
}

// Another writer leaves requests that name no failure domain, or one that is not known; they
// change nothing for the others.
func TestSpoiltCordonsChangeNothing(t *testing.T) {
	s, inside := emptiedSystem(t)
	n := s.gateway("vm-1")
	n.knows()
	s.fleet.Store.PutBytes("op", "evacuate/", []byte("{}"))
	s.fleet.Store.PutBytes("op", "evacuate/zone-that-is-not", nil)
	s.fleet.Store.PutBytes("op", "evacuated", []byte("\xff"))
	askAll(t, []*node{n}, 500*time.Millisecond)
	n.knows()
	s.fleet.Store.PutBytes("op", "evacuate/"+emptied, []byte("\xff{"))
	asked := time.Now()
	askAll(t, []*node{n}, 500*time.Millisecond)
	requireNone(t, inside, asked.Add(inForce))
}
