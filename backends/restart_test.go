package backends

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func bornAt(id string, born int64) Server {
	s := entry(id)
	s.StartTime = born
	return s
}

// A server crashes and starts again under its id. Callers must be sent to it at once:
// what was believed of its earlier life (leaving, failures, refusals, lost requests, the
// load of all processes) says nothing of the new one, and would keep them away.
func TestNewLifeIsBelievedAfresh(t *testing.T) {
	r, notices := newRegistry()
	r.ReplaceAll([]Server{bornAt("a", 100)}, 0, 0)
	for range 3 {
		r.Acquire(Query{Service: svc}, 0).Release(ResultLost, 0)
	}
	held := r.Acquire(Query{Service: svc, ExpectedTokens: 20000, PromptTokens: 9000}, 0)
	r.SetRemoteLoads("vm-2", map[string]Load{"a": {Running: 5, ExpectedTokens: 20000, PromptTokens: 9000, StartTime: 100}})
	r.SetRemoteStatuses("vm-2", map[string]ServerStatus{"a": {ConsecutiveLosses: 2, StartTime: 100}}, 0)
	r.MarkLeaving(bornAt("a", 100))
	require.Zero(t, r.CountReady(svc))

	r.Put(bornAt("a", 200), 0)
	require.Equal(t, []told{{"a", NoticeReported}, {"a", LeaveRestarted}}, *notices)
	require.Equal(t, 1, r.CountReady(svc))
	lease := r.Acquire(Query{Service: svc, ExpectedTokens: 9000, PromptTokens: 3000, MaxMemoryUse: 0.9, MaxPromptPending: 100}, 0)
	require.NotNil(t, lease, "nothing of the earlier load is counted")
	require.Equal(t, Load{}, lease.Load)
	require.Empty(t, r.Statuses(0))
	held.Release(ResultLost, 0)
	require.Empty(t, r.Statuses(0), "a request of the earlier life that ends late says nothing of this one")
	require.Equal(t, map[string]Load{"a": {Running: 1, ExpectedTokens: 9000, PromptTokens: 3000, StartTime: 200}}, r.Loads())
}

// Messages of a server's earlier life arrive late: an entry that was written before its
// crash, its report, a refusal at its old address. Each would take the server that now
// runs out of use, or bring back an address that is gone.
func TestLateMessagesOfAnEarlierLifeChangeNothing(t *testing.T) {
	r, notices := newRegistry()
	old, now := bornAt("a", 100), bornAt("a", 200)
	now.Address = "elsewhere:1"
	r.ReplaceAll([]Server{old}, 0, 0)
	r.Put(now, 0)
	late := old
	late.Leaving = true
	r.Put(late, 0)
	r.ReplaceAll([]Server{late}, 0, 0)
	r.MarkLeaving(old)
	r.MarkReplaced(old)
	require.Nil(t, r.ReserveAt(old, 100))
	require.Equal(t, []told{{"a", LeaveRestarted}}, *notices)
	require.True(t, r.HasRestarted(old))
	require.False(t, r.HasRestarted(now))
	require.Equal(t, "elsewhere:1", r.Acquire(Query{Service: svc}, 0).Server.Address)
}

// An entry vanishes while requests run at its server, as behind a cut, and is written
// again by the same life. The server took no requests any more until the directory was
// read anew; it must take them at once. One that has left stays away.
func TestServerWhoseEntryIsBackTakesRequests(t *testing.T) {
	r, _ := newRegistry()
	r.ReplaceAll([]Server{entry("a")}, 0, 0)
	held := r.Acquire(Query{Service: svc}, 0)
	r.Remove("a", 0, 0)
	require.Zero(t, r.CountReady(svc))
	r.Put(entry("a"), 0)
	require.Equal(t, 1, r.CountReady(svc))
	held.Release(ResultOK, 0)
	require.Equal(t, "a", r.pick(t, 0))

	held = r.Acquire(Query{Service: svc}, 0)
	r.MarkReplaced(entry("a"))
	r.Put(entry("a"), 0)
	require.Zero(t, r.CountReady(svc), "another server is at its address")
	held.Release(ResultOK, 0)
}

// Another writer spoils the entry of a server in use: it gets no more requests until a
// readable one comes, and its runs are left where they are.
func TestUnreadableEntryWithholdsItsServer(t *testing.T) {
	r, notices := newRegistry()
	r.ReplaceAll([]Server{entry("a"), entry("b")}, 0, 0)
	held := r.Acquire(Query{Service: svc, Tried: []string{"b"}}, 0)
	defer held.Release(ResultOK, 0)
	r.Put(Server{ID: "a", Unreadable: true}, 0)
	r.Put(Server{ID: "never heard of", Unreadable: true}, 0)
	require.Equal(t, 1, r.CountReady(svc))
	require.Nil(t, r.Acquire(Query{Service: svc, Tried: []string{"b"}}, 0))
	r.ReplaceAll([]Server{{ID: "a", Unreadable: true}, entry("b")}, 0, 0)
	require.Empty(t, *notices)
	r.Put(entry("a"), 0)
	require.Equal(t, 2, r.CountReady(svc))
}

// Whatever order entries of several lives arrive in, the newest life heard of is the
// one in use, and unless it leaves it takes requests.
func TestNewestLifeWins(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := New("zone-1", func(string) ServiceTraits { return ServiceTraits{MemoryTokens: 30000} }, func(Server, LeaveReason) {})
		newest, leaves := int64(0), false
		for range rapid.IntRange(1, 12).Draw(t, "entries") {
			s := bornAt("a", rapid.Int64Range(1, 5).Draw(t, "born"))
			s.Leaving = rapid.Bool().Draw(t, "leaving")
			if s.StartTime > newest {
				newest, leaves = s.StartTime, false
			}
			leaves = leaves || s.StartTime == newest && s.Leaving
			r.Put(s, time.Second)
		}
		lease := r.Acquire(Query{Service: svc}, time.Second)
		if leaves {
			require.Nil(t, lease)
			return
		}
		require.NotNil(t, lease)
		require.Equal(t, newest, lease.Server.StartTime)
	})
}
