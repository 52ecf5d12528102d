package placement

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// A leaving server's runs must be copied within less than two seconds. A copy within the
// failure domain takes half the time, so the target must be there unless it is nearly full.
func TestCopiesStayInTheFailureDomain(t *testing.T) {
	servers := []Server{
		{Name: "far", FailureDomain: "z2", MemoryTotal: 100, MemoryForecast: 10},
		{Name: "near", FailureDomain: "z1", MemoryTotal: 100, MemoryForecast: 50},
	}
	r := &Request{FailureDomain: "z1", Tokens: 10}
	require.Equal(t, 0, Direct().BestOf(2, r, servers, 1))
	require.Equal(t, 1, CopyTarget().BestOf(2, r, servers, 1))
	servers[1].MemoryForecast = 95
	require.Equal(t, 0, CopyTarget().BestOf(2, r, servers, 1))
}

// Requests must be spread over equal servers. All processes start with the same view and
// would otherwise all fill the first one.
func TestBestOfSpreadsOverEqualServers(t *testing.T) {
	servers := []Server{{Name: "a"}, {Name: "b"}, {Name: "c"}}
	seen := make(map[int]int)
	for random := range uint64(600) {
		seen[Direct().BestOf(3, &Request{}, servers, random)]++
	}
	require.Len(t, seen, 3)
	for _, n := range seen {
		require.Greater(t, n, 100)
	}
}

// A server with a high failure rate must rank behind a half full one, and a server that
// refused a moment ago behind a failing one.
func TestFailingAndFullServersComeLast(t *testing.T) {
	busy := Server{Name: "busy", Slots: 10, Running: 4}
	failing := Server{Name: "failing", Slots: 10, FailureRate: 0.6}
	full := Server{Name: "full", Slots: 10, Avoid: true}
	require.Equal(t, 1, Direct().BestOf(2, &Request{}, []Server{failing, busy}, 0))
	require.Equal(t, 0, Direct().BestOf(2, &Request{}, []Server{failing, full}, 0))
}

// More urgent requests wait at other processes. A less urgent request must leave them as
// many servers with free capacity, and may use only servers that are its process's turn.
func TestServersAreReservedForMoreUrgentRequests(t *testing.T) {
	servers := []Server{{Name: "a", MemoryTotal: 100}, {Name: "b", MemoryTotal: 100}, {Name: "full", MemoryTotal: 100, MemoryForecast: 95, Running: 3}}
	r := &Request{Tokens: 10, MaxMemoryUse: 1, IsOwnTurn: func(server string) bool { return server == "b" }}
	require.Equal(t, 1, Direct().BestOf(3, r, servers, 1))
	r.Reserved = 1
	require.Equal(t, 1, Direct().BestOf(3, r, servers, 1))
	r.Reserved = 2
	require.Equal(t, -1, Direct().BestOf(3, r, servers, 1))
}

// All gateways copy runs away from leaving servers, and one server has just joined empty.
// Six copies over its link take longer than the leaving servers stay. A run that is copied
// to a server with less free memory instead arrives in time.
func TestCopiesAvoidABusyLink(t *testing.T) {
	servers := []Server{
		{Name: "empty", FailureDomain: "z2", MemoryTotal: 20000, MemoryForecast: 18000 / 2, CopyPending: 18000},
		{Name: "fuller", FailureDomain: "z2", MemoryTotal: 20000, MemoryForecast: 15000},
	}
	r := &Request{FailureDomain: "z1", Tokens: 3000, CopySpeed: 18000}
	require.Equal(t, 1, CopyTarget().BestOf(2, r, servers, 1))
	require.Equal(t, 0, Direct().BestOf(2, r, servers, 1))
}
