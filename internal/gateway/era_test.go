package gateway

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"kingcupplank.example/kingcup/internal/standin/fleet"
)

// away is how long the store is away before it comes back older.
const away = 300 * time.Millisecond

// restore has the store come back from a copy.
func (s *system) restore(c *fleet.Copy) {
	s.fleet.Store.SetFault(fleet.Reset)
	time.Sleep(away)
	s.fleet.Store.Restore(c)
	s.fleet.Store.SetFault(fleet.Sound)
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
	s.server(fleet.DeskService, fleet.Behaviour{})
	nodes := []*node{s.gateway("vm-1"), s.gateway("vm-2"), s.gateway("vm-3")}
	c := s.fleet.Store.Copy()
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
	gone := s.server(fleet.DeskService, fleet.Behaviour{})
	n := s.gateway("vm-1")
	n.eventually(func() bool { return n.status(fleet.Key) == http.StatusOK }, "served")
	c := s.fleet.Store.Copy()
	for range 20 {
		s.fleet.Store.Put("other", "row", 1)
	}
	joined := s.server(fleet.DeskService, fleet.Behaviour{})
	n.eventually(func() bool { n.status(fleet.Key); return len(joined.Seen()) > 0 }, "the server that joined")
	gone.Leave()
	n.eventually(func() bool { return n.registry.Ready(fleet.DeskService) == 1 }, "one has gone")
	seen := len(gone.Seen())
	s.restore(c)
	time.AfterFunc(time.Second, func() {
		gone.Leave()
		joined.Heartbeat()
	})
	for begun := time.Now(); time.Since(begun) < 3*time.Second; time.Sleep(10 * time.Millisecond) {
		require.Equal(t, http.StatusOK, n.status(fleet.Key))
	}
	require.Equal(t, seen, len(gone.Seen()), "sent to a server that has gone")
}

// What gateways write themselves is gone with the store's last seconds: the rows by which
// they find each other, and the verdicts on requests under which servers end. All are there
// again within a second or two.
func TestOwnRowsOfAStoreThatComesBackOlder(t *testing.T) {
	s := newSystem(t)
	ends := s.fragileEngines(5)
	c := s.fleet.Store.Copy()
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
