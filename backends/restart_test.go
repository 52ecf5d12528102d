package backends

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func startedAt(id string, startTime int64) Server {
	s := entry(id)
	s.StartTime = startTime
	return s
}

// A server crashes and restarts under its id. It must get requests at once: what was known of its
// earlier incarnation (leaving, failures, refusals, lost requests, the load of all processes) says
// nothing of the new one, and would keep requests away.
func TestNewIncarnationStartsFresh(t *testing.T) {
	r, calls := newRegistry()
	r.ReplaceAll([]Server{startedAt("a", 100)}, 0, 0)
	for range 3 {
		r.Acquire(Query{Service: svc}, 0).Release(ResultLost, 0)
	}
	earlier := r.Acquire(Query{Service: svc, ExpectedTokens: 20000, PromptTokens: 9000}, 0)
	r.SetRemoteLoads("vm-2", map[string]Load{"a": {Running: 5, ExpectedTokens: 20000, PromptTokens: 9000, StartTime: 100}})
	r.SetRemoteStatuses("vm-2", map[string]ServerStatus{"a": {ConsecutiveLosses: 2, StartTime: 100}}, 0)
	r.MarkLeaving(startedAt("a", 100))
	require.Zero(t, r.CountReady(svc))

	r.Put(startedAt("a", 200), 0)
	require.Equal(t, []leaveCall{{"a", LeaveSelfReported}, {"a", LeaveRestarted}}, *calls)
	require.Equal(t, 1, r.CountReady(svc))
	reservation := r.Acquire(Query{Service: svc, ExpectedTokens: 9000, PromptTokens: 3000, MaxMemoryUse: 0.9, MaxPromptPending: 100}, 0)
	require.NotNil(t, reservation, "nothing of the earlier load is counted")
	require.Equal(t, Load{}, reservation.Load)
	require.Empty(t, r.Statuses(0))
	earlier.Release(ResultLost, 0)
	require.Empty(t, r.Statuses(0), "a request of the earlier incarnation that ends late says nothing of this one")
	require.Equal(t, map[string]Load{"a": {Running: 1, ExpectedTokens: 9000, PromptTokens: 3000, StartTime: 200}}, r.Loads())
}

// Messages of a server's earlier incarnation arrive late: an entry that was written before its
// crash, its report, a refusal at its old address. Each could take the running server out of use,
// or bring back an address that is gone.
func TestLateMessagesOfAnEarlierIncarnationChangeNothing(t *testing.T) {
	r, calls := newRegistry()
	old, current := startedAt("a", 100), startedAt("a", 200)
	current.Address = "elsewhere:1"
	r.ReplaceAll([]Server{old}, 0, 0)
	r.Put(current, 0)
	late := old
	late.Leaving = true
	r.Put(late, 0)
	r.ReplaceAll([]Server{late}, 0, 0)
	r.MarkLeaving(old)
	r.MarkReplaced(old, 0)
	require.Nil(t, r.ReserveAt(old, 100))
	require.Equal(t, []leaveCall{{"a", LeaveRestarted}}, *calls)
	require.True(t, r.HasRestarted(old))
	require.False(t, r.HasRestarted(current))
	require.Equal(t, "elsewhere:1", r.Acquire(Query{Service: svc}, 0).Server.Address)
}

// An entry vanishes while requests run at its server, as in a network partition, and is written
// again by the same incarnation. The server must get requests again at once, and not only after
// the directory is read anew. A server that has left stays away.
func TestServerWhoseEntryIsBackGetsRequests(t *testing.T) {
	r, _ := newRegistry()
	r.ReplaceAll([]Server{entry("a")}, 0, 0)
	running := r.Acquire(Query{Service: svc}, 0)
	r.Remove("a", 0, 0)
	require.Zero(t, r.CountReady(svc))
	r.Put(entry("a"), 0)
	require.Equal(t, 1, r.CountReady(svc))
	running.Release(ResultOK, 0)
	require.Equal(t, "a", r.pick(t, 0))

	running = r.Acquire(Query{Service: svc}, 0)
	r.MarkReplaced(entry("a"), 0)
	r.Put(entry("a"), 0)
	require.Zero(t, r.CountReady(svc), "another server is at its address")
	running.Release(ResultOK, 0)
}

// The entry of a server in use is overwritten by something unreadable. The server gets no more
// requests until a readable entry arrives, and its runs stay where they are.
func TestUnreadableEntryExcludesItsServer(t *testing.T) {
	r, calls := newRegistry()
	r.ReplaceAll([]Server{entry("a"), entry("b")}, 0, 0)
	running := r.Acquire(Query{Service: svc, Tried: []string{"b"}}, 0)
	defer running.Release(ResultOK, 0)
	r.Put(Server{ID: "a", Unreadable: true}, 0)
	r.Put(Server{ID: "never heard of", Unreadable: true}, 0)
	require.Equal(t, 1, r.CountReady(svc))
	require.Nil(t, r.Acquire(Query{Service: svc, Tried: []string{"b"}}, 0))
	r.ReplaceAll([]Server{{ID: "a", Unreadable: true}, entry("b")}, 0, 0)
	require.Empty(t, *calls)
	r.Put(entry("a"), 0)
	require.Equal(t, 2, r.CountReady(svc))
}

// For any order of entries of several incarnations, the newest known incarnation is in use, and
// it gets requests unless it is leaving.
func TestNewestIncarnationWins(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := New("zone-1", func(string) ServiceTraits { return ServiceTraits{MemoryTokens: 30000} }, func(Server, LeaveReason) {})
		newest, leaves := int64(0), false
		for range rapid.IntRange(1, 12).Draw(t, "entries") {
			s := startedAt("a", rapid.Int64Range(1, 5).Draw(t, "start time"))
			s.Leaving = rapid.Bool().Draw(t, "leaving")
			if s.StartTime > newest {
				newest, leaves = s.StartTime, false
			}
			leaves = leaves || s.StartTime == newest && s.Leaving
			r.Put(s, time.Second)
		}
		reservation := r.Acquire(Query{Service: svc}, time.Second)
		if leaves {
			require.Nil(t, reservation)
			return
		}
		require.NotNil(t, reservation)
		require.Equal(t, newest, reservation.Server.StartTime)
	})
}

// Guards against copies and streams of an incarnation whose server has restarted under its id with other
// software, where entries have no start time.
func TestNewSoftwareVersionIsANewIncarnation(t *testing.T) {
	r, calls := newRegistry()
	old := startedAt("a", 0)
	old.SoftwareVersion = "v1"
	r.Put(old, 0)
	require.True(t, r.RunsSoftware(old, "v1"))
	current := old
	current.SoftwareVersion = "v2"
	r.Put(current, 0)
	require.Equal(t, []leaveCall{{"a", LeaveRestarted}}, *calls)
	require.True(t, r.HasRestarted(old))
	require.False(t, r.RunsSoftware(old, "v1"))
	require.True(t, r.RunsSoftware(current, "v2"))
	require.Equal(t, 1, r.CountReadyWithSoftware(svc, "v2", nil, nil))
	require.Zero(t, r.CountReadyWithSoftware(svc, "v1", nil, nil))
	require.Zero(t, r.CountReadyWithSoftware(svc, "v2", nil, []string{"a"}))
	current.SoftwareVersion = ""
	r.Put(current, 0)
	require.Zero(t, r.CountReadyWithSoftware(svc, "", nil, nil), "an unknown version is no version")
}
