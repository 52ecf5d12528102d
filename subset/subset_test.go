package subset

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

func items(n int) []Item {
	out := make([]Item, n)
	for i := range out {
		out[i] = Item{Name: fmt.Sprint("server-", i), FailureDomain: fmt.Sprint("d", i%8)}
	}
	return out
}

// With 330 entries and 56 servers each server must be picked by about equally many entries,
// and each entry must pick at least half of its servers outside its own failure domain.
func TestPickSpreads(t *testing.T) {
	const entries, servers, n = 330, 56, 6
	picks := make(map[string]int)
	for e := range entries {
		domain := fmt.Sprint("d", e%8)
		picked := Pick(fmt.Sprint("entry-", e), domain, items(servers), n)
		require.Len(t, picked, n)
		otherDomains := 0
		for _, it := range picked {
			picks[it.Name]++
			if it.FailureDomain != domain {
				otherDomains++
			}
		}
		require.GreaterOrEqual(t, otherDomains, n/2)
	}
	require.Len(t, picks, servers)
	mean := entries * n / servers
	for name, count := range picks {
		require.InDelta(t, mean, count, float64(mean), name)
	}
}

// When one server leaves, an entry that had not picked it must keep its subset, and an
// entry that had picked it must change one item only.
func TestPickIsStable(t *testing.T) {
	all := items(100)
	for e := range 50 {
		self := fmt.Sprint("entry-", e)
		before := Pick(self, "d0", all, 10)
		after := Pick(self, "d0", all[1:], 10)
		kept := 0
		for _, a := range after {
			for _, b := range before {
				if a == b {
					kept++
				}
			}
		}
		require.GreaterOrEqual(t, kept, 9)
	}
}
