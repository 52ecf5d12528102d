package backends

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"kingcupplank.example/kingcup/cells"
)

// newEngines returns a registry with engines of 1,000 tokens, one in each failure domain.
func newEngines(domains ...string) *Registry {
	r := New(domains[0], func(string) ServiceTraits { return ServiceTraits{MemoryTokens: 1000} }, func(Server, LeaveReason) {})
	for _, d := range domains {
		r.Put(Server{ID: "e-" + d, Service: svc, FailureDomain: d, Slots: 24}, 0)
	}
	return r
}

// Guards against requests and migrations that find no room because of evictable copies, and
// against new copies that take the memory of others.
func TestEvictableCopiesTakeNoMemoryFromRequests(t *testing.T) {
	r := newEngines("z1")
	r.SetRemoteLoads("vm-2", map[string]Load{"e-z1": {Running: 4, ExpectedTokens: 900, Standby: 500}})
	request := Query{Service: svc, ExpectedTokens: 500, MaxMemoryUse: 0.97}
	migration, standby := request, request
	migration.ForCopy = true
	standby.ForCopy, standby.Evictable = true, true
	require.Nil(t, r.Acquire(standby, 0))
	for _, q := range []Query{request, migration} {
		res := r.Acquire(q, 0)
		require.NotNil(t, res)
		res.Release(ResultInconclusive, 0)
	}
	// A copy of a gateway of the previous release counts as used.
	r.SetRemoteLoads("vm-2", map[string]Load{"e-z1": {Running: 4, ExpectedTokens: 900}})
	require.Nil(t, r.Acquire(request, 0))
	require.Nil(t, r.Acquire(migration, 0))
}

// An engine that only keeps copies is idle: guards against a request that is larger than the bound
// on memory waiting for the end of the copies.
func TestEngineWithCopiesOnlyIsIdle(t *testing.T) {
	r := newEngines("z1")
	large := Query{Service: svc, ExpectedTokens: 1000, MaxMemoryUse: 0.97}
	r.SetRemoteLoads("vm-2", map[string]Load{"e-z1": {Running: 2, ExpectedTokens: 600, Standby: 600}})
	require.NotNil(t, r.Acquire(large, 0))
	r = newEngines("z1")
	r.SetRemoteLoads("vm-2", map[string]Load{"e-z1": {Running: 2, ExpectedTokens: 600, Standby: 599}})
	require.Nil(t, r.Acquire(large, 0))
}

func TestCopyInAnotherFailureDomain(t *testing.T) {
	r := newEngines("z1", "z2")
	for range 20 {
		res := r.Acquire(Query{Service: svc, ExpectedTokens: 1, ForCopy: true, Evictable: true, PreferredDomain: "z1", OtherDomainsOnly: true}, 0)
		require.Equal(t, "z2", res.Server.FailureDomain)
	}
	r.MarkLeaving(Server{ID: "e-z2"})
	require.Nil(t, r.Acquire(Query{Service: svc, ForCopy: true, Evictable: true, PreferredDomain: "z1", OtherDomainsOnly: true}, 0))
}

// The excess at an engine counts all copies; those of a gateway that has died are gone with its
// state. A copy from which a run resumes is no longer evictable.
func TestStandbyExcess(t *testing.T) {
	r := newEngines("z1")
	r.SetCell(cells.Place{Self: "vm-1", CellCount: 1})
	res := r.Acquire(Query{Service: svc, ExpectedTokens: 300, ForCopy: true, Evictable: true}, 0)
	excess := func() int {
		tokens, _ := res.StandbyExcess(0.95)
		return tokens
	}
	require.Equal(t, -650, excess())
	r.SetRemoteLoads("vm-2", map[string]Load{"e-z1": {Running: 3, ExpectedTokens: 750, Standby: 200}})
	require.Equal(t, 100, excess())
	res.SetMemory(350, 200)
	require.Equal(t, 150, excess())
	require.Equal(t, 350, r.Loads()["e-z1"].Standby)
	require.Zero(t, r.Loads()["e-z1"].Growth, "an evictable copy counts as held")
	res.KeepStandby()
	require.Zero(t, r.Loads()["e-z1"].Standby)
	require.Equal(t, 150, excess())
	r.SetRemoteLoads("vm-2", nil)
	require.Equal(t, -600, excess())
	res.Release(ResultInconclusive, 0)
	require.Empty(t, r.Loads())
}

// Of the gateways with copies at an engine exactly one is the first to drop, in any number of them.
func TestOneGatewayDropsFirst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := rapid.SliceOfNDistinct(rapid.StringMatching(`vm-[0-9]{1,3}`), 2, 12, rapid.ID[string]).Draw(t, "names")
		first := 0
		for i, self := range names {
			r := newEngines("z1")
			r.SetCell(cells.Place{Self: self, CellCount: 1})
			res := r.Acquire(Query{Service: svc, ExpectedTokens: 500, ForCopy: true, Evictable: true}, 0)
			for k, peer := range names {
				if k != i {
					r.SetRemoteLoads(peer, map[string]Load{"e-z1": {Running: 1, ExpectedTokens: 500, Standby: 500}})
				}
			}
			if _, preceding := res.StandbyExcess(0.95); preceding == 0 {
				first++
			}
		}
		require.Equal(t, 1, first)
	})
}

// Loads of peers may be out of range: no view of an engine is negative.
func TestLoadWithoutStandbyIsNeverNegative(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := Load{Running: rapid.IntRange(0, 1<<40).Draw(t, "running"), ExpectedTokens: rapid.Int().Draw(t, "tokens"), Standby: rapid.Int().Draw(t, "standby"), Growth: rapid.Int().Draw(t, "growth")}
		l.Growth = max(0, min(l.Growth, l.ExpectedTokens))
		without := l.withoutStandby()
		if l.ExpectedTokens >= 0 {
			require.GreaterOrEqual(t, without.ExpectedTokens, 0)
			require.LessOrEqual(t, without.ExpectedTokens, l.ExpectedTokens)
		}
		if l.ExpectedTokens >= 0 {
			require.GreaterOrEqual(t, without.Held(), 0)
			require.GreaterOrEqual(t, without.Growth, 0)
		}
		require.GreaterOrEqual(t, without.Running, 0)
		require.LessOrEqual(t, without.Running, l.Running)
	})
}
