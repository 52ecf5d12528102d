package backends

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const capacityService = "capacity"

// newCapacityRegistry returns a registry with servers of six slots, and answers of 30 ms of the first
// one.
func newCapacityRegistry(servers ...string) *Registry {
	r := New("zone-1", func(string) ServiceTraits { return ServiceTraits{} }, func(Server, LeaveReason) {})
	for _, id := range servers {
		r.Put(Server{ID: id, Service: capacityService, FailureDomain: "zone-1", Slots: 6, StartTime: 1}, time.Second)
	}
	for range 5 {
		res := r.Acquire(Query{Service: capacityService, Tried: servers[1:]}, time.Second)
		res.ObserveAnswer(30*time.Millisecond, time.Second)
		res.Release(ResultOK, time.Second)
	}
	return r
}

// Guards against servers that take no requests counting for the capacity.
func TestCapacityCountsReadyServers(t *testing.T) {
	r := newCapacityRegistry("a", "b")
	now := time.Second
	c := r.Capacity(capacityService, now)
	require.Equal(t, 12, c.Slots)
	require.InDelta(t, 300, c.PerSecond, 1, "b has not answered yet and counts half")
	c = r.Capacity(capacityService, now+5*time.Second)
	require.InDelta(t, 400, c.PerSecond, 1)
	r.ApplySignals(Server{ID: "b"}, Signals{Backoff: time.Second}, 0, now)
	require.Equal(t, 6, r.Capacity(capacityService, now).Slots, "backs off")
	require.Equal(t, 12, r.Capacity(capacityService, now+time.Second).Slots)
	r.MarkLeaving(Server{ID: "b"})
	require.Equal(t, 6, r.Capacity(capacityService, now+time.Second).Slots, "leaves")
	r.ApplySignals(Server{ID: "a"}, Signals{HasRateLimit: true, RateLimit: 50}, 0, now)
	require.InDelta(t, 50, r.Capacity(capacityService, now+time.Second).PerSecond, 1e-9, "its own rate limit")
	r.MarkDown(Server{ID: "a"}, now+time.Second)
	require.Zero(t, r.Capacity(capacityService, now+time.Second).Slots, "down")
}

// Guards against a new incarnation counting with the answers of the one before.
func TestCapacityOfARestartedServerIsLearnedAnew(t *testing.T) {
	r := newCapacityRegistry("a")
	now := 10 * time.Second
	require.InDelta(t, 200, r.Capacity(capacityService, now).PerSecond, 1)
	r.Put(Server{ID: "a", Service: capacityService, FailureDomain: "zone-1", Slots: 6, StartTime: 2}, now)
	require.InDelta(t, 100, r.Capacity(capacityService, now).PerSecond, 1, "half of what is known")
	require.InDelta(t, 200, r.Capacity(capacityService, now+5*time.Second).PerSecond, 1)
}

// Guards against a server that refuses requests as full keeping its capacity.
func TestFullServerLosesCapacity(t *testing.T) {
	r := newCapacityRegistry("a")
	now := time.Second
	for range 5 {
		now += time.Second
		r.Acquire(Query{Service: capacityService}, now).Release(ResultFull, now)
	}
	require.InDelta(t, 0.6*200, r.Capacity(capacityService, now).PerSecond, 0.11*200)
}

// Guards against all processes choosing the server that seemed idle when their peers reported.
func TestOwnLoadOnlyIgnoresReportedLoads(t *testing.T) {
	r := newCapacityRegistry("a", "b")
	r.SetRemoteLoads("peer", map[string]Load{"a": {Running: 5, StartTime: 1}})
	chosen := map[string]int{}
	for draw := range uint64(200) {
		res := r.Acquire(Query{Service: capacityService, OwnLoadOnly: true, Draw: draw * 0x9e3779b97f4a7c15}, time.Second)
		chosen[res.Server.ID]++
		res.Release(ResultOK, time.Second)
	}
	require.Greater(t, chosen["a"], 50)
	require.Greater(t, chosen["b"], 50)
}
