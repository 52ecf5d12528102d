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

// Copies protect runs of other servers. A request must not go where some have to be dropped while
// an equal server has room, but copies must not keep it from a server that is far emptier.
func TestServersThatDropNoCopiesArePreferred(t *testing.T) {
	servers := []Server{
		{Name: "copies", MemoryTotal: 100, MemoryForecast: 40, StandbyTokens: 50},
		{Name: "runs", MemoryTotal: 100, MemoryForecast: 45},
	}
	r := &Request{Tokens: 10}
	for _, p := range []Policy{Direct(), CopyTarget()} {
		require.Equal(t, 1, p.BestOf(2, r, servers, 1))
		servers[0].StandbyTokens = 30
		require.Equal(t, 0, p.BestOf(2, r, servers, 1))
		servers[0].StandbyTokens = 50
	}
	servers[1].MemoryForecast = 70
	require.Equal(t, 0, Direct().BestOf(2, r, servers, 1))
	require.Equal(t, 1, CopyTarget().BestOf(2, r, servers, 1))
}

// A copy that is still being made can't be dropped: a request must not wait for it while copies at
// another server can be dropped at once.
func TestServersToWhichCopiesAreBeingMadeRankLower(t *testing.T) {
	servers := []Server{
		{Name: "being made", MemoryTotal: 100, MemoryForecast: 30, StandbyTokens: 65, CopyPending: 12},
		{Name: "made", MemoryTotal: 100, MemoryForecast: 40, StandbyTokens: 55},
	}
	require.Equal(t, 1, Direct().BestOf(2, &Request{Tokens: 10}, servers, 1))
	servers[0].CopyPending = 0
	require.Equal(t, 0, Direct().BestOf(2, &Request{Tokens: 10}, servers, 1))
}

// Guards against a copy in the failure domain that it is to outlive.
func TestOtherDomainsOnly(t *testing.T) {
	servers := []Server{{Name: "a", FailureDomain: "z1"}, {Name: "b", FailureDomain: "z2"}}
	require.Equal(t, 1, CopyTarget().BestOf(2, &Request{FailureDomain: "z1", OtherDomainsOnly: true}, servers, 1))
	require.Equal(t, -1, CopyTarget().BestOf(2, &Request{FailureDomain: "z1", OtherDomainsOnly: true}, servers[:1], 1))
	require.Equal(t, 0, CopyTarget().BestOf(2, &Request{FailureDomain: "z1", SameDomainOnly: true}, servers, 1))
}
