package backends

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// BenchmarkAcquireAmongTold: a choice among 43 servers with what 22 other processes tell of each took
// 50 us, with their sums kept 11.
func BenchmarkAcquireAmongTold(b *testing.B) {
	r := New("z", func(string) ServiceTraits { return ServiceTraits{MemoryTokens: 21900} }, func(Server, LeaveReason) {})
	for i := range 43 {
		r.Put(Server{ID: fmt.Sprint("s-", i), Service: svc, FailureDomain: "z", Slots: 24}, 0)
	}
	rng := rand.New(rand.NewPCG(1, 2))
	for p := range 22 {
		loads := make(map[string]Load)
		for i := range 43 {
			loads[fmt.Sprint("s-", i)] = Load{Running: 1, ExpectedTokens: rng.IntN(800), PromptTokens: rng.IntN(100)}
		}
		r.SetRemoteLoads(fmt.Sprint("vm-", p), loads)
	}
	for b.Loop() {
		if l := r.Acquire(Query{Service: svc, ExpectedTokens: 3000, PromptTokens: 2600, MaxMemoryUse: 0.97, MaxPromptPending: 3000, Draw: rng.Uint64()}, 0); l != nil {
			l.Release(ResultInconclusive, 0)
		}
	}
}

// What is kept of the others' loads is the sum of what each told last, for the life of the
// server that it told of, in whatever order it came.
func TestSumOfToldLoads(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := New("z", func(string) ServiceTraits { return ServiceTraits{} }, func(Server, LeaveReason) {})
		processes, servers := []string{"vm-1", "vm-2", "vm-3"}, []string{"a", "b"}
		last := make(map[string]map[string]Load)
		for range rapid.IntRange(1, 20).Draw(t, "steps") {
			p := rapid.SampledFrom(processes).Draw(t, "process")
			if rapid.IntRange(0, 3).Draw(t, "silent") == 0 {
				r.SetRemoteLoads(p, nil)
				delete(last, p)
				continue
			}
			loads := make(map[string]Load)
			for _, s := range servers {
				if rapid.Bool().Draw(t, "some") {
					loads[s] = Load{Running: rapid.IntRange(0, 9).Draw(t, "running"), ExpectedTokens: 10, StartTime: rapid.Int64Range(0, 1).Draw(t, "born")}
				}
			}
			r.SetRemoteLoads(p, loads)
			last[p] = loads
		}
		for _, id := range servers {
			for _, born := range []int64{0, 1} {
				var want Load
				for _, loads := range last {
					if l := loads[id]; l.StartTime == born {
						want = want.plus(l)
					}
				}
				require.Equal(t, want, r.load(&server{Server: Server{ID: id, StartTime: born}}))
			}
		}
	})
}
