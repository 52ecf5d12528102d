package backends

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a light request on an engine whose runs' memory is not known: a peer of the previous
// release reports no held memory, so its runs count with their peak. A run that outgrows its forecast
// counts with what it holds.
func TestLightRequestNeedsKnownMemory(t *testing.T) {
	r := New("zone-1", func(string) ServiceTraits { return ServiceTraits{MemoryTokens: 26880} }, func(Server, LeaveReason) {})
	r.Put(Server{ID: "a", Service: "model", FailureDomain: "zone-1"}, 0)
	light := Query{Service: "model", ExpectedTokens: 2208, HeldTokens: 2200, MaxMemoryUse: 0.97, Horizon: 500 * time.Millisecond, TokensPerEvent: 4, MeanPause: 40 * time.Millisecond}
	try := func() bool {
		res := r.Acquire(light, 0)
		if res != nil {
			res.Release(ResultOK, 0)
		}
		return res != nil
	}
	r.SetRemoteLoads("vm-2", map[string]Load{"a": {Running: 7, ExpectedTokens: 25000}})
	require.False(t, try(), "held memory unknown")
	r.SetRemoteLoads("vm-2", map[string]Load{"a": {Running: 7, ExpectedTokens: 25000, Growth: 2100}})
	require.True(t, try())
	r.SetRemoteLoads("vm-2", nil)
	long := r.Acquire(Query{Service: "model", ExpectedTokens: 25000, HeldTokens: 22000}, 0)
	require.Equal(t, 22000, r.Loads()["a"].Held())
	require.True(t, try())
	long.SetMemory(26000, 26500)
	require.Equal(t, 26000, r.Loads()["a"].Held(), "never more than expected")
	require.False(t, try())
	long.Release(ResultOK, 0)
	require.Empty(t, r.Loads())
	require.Equal(t, 26880, r.ReadyMemory("model", nil))
	r.SetCordoned([]string{"zone-1"}, 0)
	require.Zero(t, r.ReadyMemory("model", nil))
}
