package gateway

import (
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"kingcupplank.example/kingcup/internal/standin/fleet"
	peerv1 "kingcupplank.example/kingcup/proto/kingcup/peer/v1"
)

// away is how long the store is away before it comes back older.
const away = 300 * time.Millisecond

// restore has the store come back from a copy.
func (s *system) restore(c *fleet.Backup) {
	s.fleet.Store.SetFault(fleet.Reset)
	time.Sleep(away)
	s.fleet.Store.Restore(c)
	s.fleet.Store.SetFault(fleet.NoFault)
}

// status is that of a plain call with a key.
func (n *node) status(key string) int {
	return n.do(plain(fleet.SafePath).with("X-Api-Key", key)).status
}

// The store comes back from a copy of some seconds before. Since then a key was taken away,
// the copy still has it. A caller with that key must stay refused while the old version
// shows, and one with the present key served. Then the operator writes again, under
// revisions that were given out before: what it writes must be in force in the usual time,
// not once the numbers have passed those that gateways saw before.
func TestConfigurationOfAStoreThatComesBackOlder(t *testing.T) {
	s := newSystem(t)
	s.server(fleet.DeskService, fleet.Behavior{})
	nodes := []*node{s.gateway("vm-1"), s.gateway("vm-2"), s.gateway("vm-3")}
	c := s.fleet.Store.Backup()
	for range 20 {
		s.fleet.Store.Put("other", "row", 1)
	}
	s.fleet.Configure("second")
	for _, n := range nodes {
		n.eventually(func() bool { return n.status("second") == http.StatusOK }, "the second key")
	}
	s.restore(c)
	for begun := time.Now(); time.Since(begun) < time.Second; time.Sleep(20 * time.Millisecond) {
		for _, n := range nodes {
			require.Equal(t, http.StatusUnauthorized, n.status(fleet.Key), "a key that was taken away")
			require.Equal(t, http.StatusOK, n.status("second"))
		}
	}
	s.fleet.Configure("third")
	written := time.Now()
	for _, n := range nodes {
		n.eventually(func() bool { return n.status("third") == http.StatusOK }, "the third key")
		require.Equal(t, http.StatusUnauthorized, n.status("second"))
	}
	require.Less(t, time.Since(written), time.Second)
}

// Since the copy was made one server has joined and another has gone. Neither is as the
// copy says: the one that joined is served from on, the one that has gone gets nothing.
func TestServersOfAStoreThatComesBackOlder(t *testing.T) {
	s := newSystem(t)
	gone := s.server(fleet.DeskService, fleet.Behavior{})
	n := s.gateway("vm-1")
	n.eventually(func() bool { return n.status(fleet.Key) == http.StatusOK }, "served")
	c := s.fleet.Store.Backup()
	for range 20 {
		s.fleet.Store.Put("other", "row", 1)
	}
	joined := s.server(fleet.DeskService, fleet.Behavior{})
	n.eventually(func() bool { n.status(fleet.Key); return len(joined.Executions()) > 0 }, "the server that joined")
	gone.RemoveEntry()
	n.eventually(func() bool { return n.registry.CountReady(fleet.DeskService) == 1 }, "one has gone")
	seen := len(gone.Executions())
	s.restore(c)
	time.AfterFunc(time.Second, func() {
		gone.RemoveEntry()
		joined.Heartbeat()
	})
	for begun := time.Now(); time.Since(begun) < 3*time.Second; time.Sleep(10 * time.Millisecond) {
		require.Equal(t, http.StatusOK, n.status(fleet.Key))
	}
	require.Equal(t, seen, len(gone.Executions()), "sent to a server that has gone")
}

// What gateways write themselves is gone with the store's last seconds: the rows by which
// they find each other, and the verdicts on requests under which servers end. All are there
// again within a second or two.
func TestOwnRowsOfAStoreThatComesBackOlder(t *testing.T) {
	s := newSystem(t)
	ends := s.fragileEngines(5)
	c := s.fleet.Store.Backup()
	nodes := []*node{s.gateway("vm-1"), s.gateway("vm-2")}
	for i := 0; len(ends.times()) < 3; i++ {
		nodes[i%2].generate(fleet.PlanPath, harmful)
	}
	var held string
	nodes[0].eventually(func() bool {
		list := quarantined{nodes[0].group.suspects}.Held()
		if len(list) == 1 {
			held = suspectPrefix + list[0].Content
		}
		return held != "" && s.fleet.Store.Row(membersTable, held) != nil
	}, "the verdict is in the store")
	s.restore(c)
	back := time.Now()
	nodes[0].eventually(func() bool {
		for _, key := range []string{"vm-1", "vm-2", held} {
			if s.fleet.Store.Row(membersTable, key) == nil {
				return false
			}
		}
		return true
	}, "own rows")
	require.Less(t, time.Since(back), 2*time.Second)
}

// One gateway cannot reach the store when that comes back older; it hears of the new era
// through peers only. What the operator writes then, under revisions that it has seen
// before, must be in force there as well, and a key that was taken away stays refused.
func TestGatewayCutOffHearsOfAnEraThroughPeers(t *testing.T) {
	s := newSystem(t)
	s.server(fleet.DeskService, fleet.Behavior{})
	nodes := []*node{s.gateway("vm-1"), s.gateway("vm-2"), s.gateway("vm-3")}
	c := s.fleet.Store.Backup()
	for range 20 {
		s.fleet.Store.Put("other", "row", 1)
	}
	s.fleet.Configure("second")
	for _, n := range nodes {
		n.eventually(func() bool { return n.status("second") == http.StatusOK }, "the second key")
	}
	var cut *node
	nodes[0].eventually(func() bool {
		i := slices.IndexFunc(nodes, func(n *node) bool { return len(reading([]*node{n})) == 0 })
		if i >= 0 {
			cut = nodes[i]
		}
		return i >= 0
	}, "one lives on the others")
	s.restore(c)
	cut.door.SetFault(fleet.Reset)
	s.fleet.Configure("third")
	cut.eventually(func() bool { return cut.status("third") == http.StatusOK }, "the third key")
	require.Equal(t, http.StatusUnauthorized, cut.status("second"))
}

// A gateway starts inside a drill, while the store shows a key that was taken away before.
// The others know better; it must not serve that key once it is ready.
func TestGatewayThatStartsInADrillRefusesRemovedKeys(t *testing.T) {
	s := newSystem(t)
	s.server(fleet.DeskService, fleet.Behavior{})
	nodes := []*node{s.gateway("vm-1"), s.gateway("vm-2")}
	c := s.fleet.Store.Backup()
	s.fleet.Configure("second")
	for _, n := range nodes {
		n.eventually(func() bool { return n.status("second") == http.StatusOK }, "the second key")
	}
	s.restore(c)
	late := s.gateway("vm-3")
	begun := time.Now()
	for time.Since(begun) < time.Second {
		require.NotEqual(t, http.StatusOK, late.status(fleet.Key), "after %v", time.Since(begun))
		time.Sleep(5 * time.Millisecond)
	}
	require.Equal(t, http.StatusOK, late.status("second"))
}

// Guards against a gateway that starts inside a drill trusting the keys of the copy while the
// others cannot answer it, and keeping to it although they name a newer version.
func TestGatewayThatStartsTrustsNoKeyBeforePeersAnswer(t *testing.T) {
	s := newSystem(t)
	s.server(fleet.DeskService, fleet.Behavior{})
	nodes := []*node{s.gateway("vm-1"), s.gateway("vm-2")}
	c := s.fleet.Store.Backup()
	s.fleet.Configure("second")
	for _, n := range nodes {
		n.eventually(func() bool { return n.status("second") == http.StatusOK }, "the second key")
		n.group.answerBy(func(*peerv1.Fetch) (*peerv1.Change, [][]byte, error) { return nil, nil, errNoTable })
	}
	s.restore(c)
	late := s.launch(s.settings("vm-3"))
	for begun := time.Now(); time.Since(begun) < 3*agreePatience; time.Sleep(5 * time.Millisecond) {
		require.NotEqual(t, http.StatusOK, late.status(fleet.Key), "after %v", time.Since(begun))
		require.False(t, late.isReady())
	}
	for _, n := range nodes {
		n.group.answerBy(n.group.newest)
	}
	late.eventually(func() bool { return late.isReady() && late.status("second") == http.StatusOK }, "the second key")
	require.Equal(t, http.StatusUnauthorized, late.status(fleet.Key))
}

// Streams run while the store comes back older: their servers are missing in the copy. They
// go on to their end.
func TestStreamsGoOnThroughADrill(t *testing.T) {
	s := newSystem(t)
	s.server(fleet.DeskService, fleet.Behavior{})
	n := s.gateway("vm-1")
	c := s.fleet.Store.Backup()
	engine := s.server(fleet.ModelService, fleet.Behavior{Events: 150, EventInterval: 20 * time.Millisecond})
	n.eventually(func() bool { return n.registry.CountReady(fleet.ModelService) == 1 }, "the engine is known")
	done := make(chan reply, 1)
	go func() { done <- n.do(generation(fleet.PlanPath)) }()
	n.eventually(func() bool { return engine.Running() == 1 }, "the stream runs")
	s.restore(c)
	time.AfterFunc(time.Second, engine.Heartbeat)
	a := <-done
	require.NoError(t, a.err)
	require.Equal(t, events(1, 150), a.body)
}

// Guards against gateways that all start inside a drill, with nobody to tell them better, never
// being ready, or keeping what the copy showed once the operator has written again.
func TestStartOfAllInsideADrill(t *testing.T) {
	s := newSystem(t)
	s.server(fleet.DeskService, fleet.Behavior{})
	c := s.fleet.Store.Backup()
	for range 20 {
		s.fleet.Store.Put("other", "row", 1)
	}
	s.fleet.Configure("second")
	s.fleet.Store.SetFault(fleet.Reset)
	var nodes []*node
	for _, name := range []string{"vm-1", "vm-2", "vm-3", "vm-4"} {
		set, door := s.settings(name)
		door.SetFault(fleet.Reset)
		nodes = append(nodes, s.launch(set, door))
	}
	time.Sleep(away)
	s.fleet.Store.Restore(c)
	s.fleet.Store.SetFault(fleet.NoFault)
	s.fleet.Configure("third")
	written := time.Now()
	for _, n := range nodes {
		n.eventually(func() bool { return n.status("third") == http.StatusOK }, "the newest key")
		require.Equal(t, http.StatusUnauthorized, n.status(fleet.Key), "of the copy")
		require.Equal(t, http.StatusUnauthorized, n.status("second"), "of before the drill")
	}
	require.Less(t, time.Since(written), testBounds.ApplyConfig)
}

// Guards against a second drill, within the time of the first one's reads, being taken for the
// same: the store falls back twice to the same copy, and what is written between is gone.
func TestDrillsInARow(t *testing.T) {
	s := newSystem(t)
	s.server(fleet.DeskService, fleet.Behavior{})
	nodes := []*node{s.gateway("vm-1"), s.gateway("vm-2")}
	c := s.fleet.Store.Backup()
	s.fleet.Configure("second")
	for _, n := range nodes {
		n.eventually(func() bool { return n.status("second") == http.StatusOK }, "the second key")
	}
	for range 3 {
		s.fleet.Store.Restore(c)
		s.fleet.Store.Put("other", "row", 1)
		time.Sleep(30 * time.Millisecond)
	}
	s.fleet.Configure("third")
	written := time.Now()
	for _, n := range nodes {
		n.eventually(func() bool { return n.status("third") == http.StatusOK }, "the third key")
		require.Equal(t, http.StatusUnauthorized, n.status("second"))
	}
	require.Less(t, time.Since(written), testBounds.ApplyConfig)
}

// Twelve gateways, each with a few links. What they call the store for in the five seconds
// after it came back older is at most twice what they call it for after a plain outage of
// the same length.
func TestDrillIsNoBurst(t *testing.T) {
	t.Parallel()
	s, _ := partial(t)
	after := func(back func()) int {
		s.fleet.Store.SetFault(fleet.Reset)
		time.Sleep(away)
		back()
		s.fleet.Store.SetFault(fleet.NoFault)
		calls := s.fleet.Store.Calls()
		time.Sleep(5 * time.Second)
		return s.fleet.Store.Calls() - calls
	}
	c := s.fleet.Store.Backup()
	plain := after(func() {})
	drill := after(func() { s.fleet.Store.Restore(c) })
	t.Logf("calls in 5 s: %d after an outage, %d after a drill", plain, drill)
	require.LessOrEqual(t, drill, 2*plain)
}
