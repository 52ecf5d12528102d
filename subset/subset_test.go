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

// At the target size every server must be watched by about equally many entries,
// and each entry must watch servers outside its own failure domain.
func TestPickSpreads(t *testing.T) {
	const entries, servers, n = 330, 56, 6
	watched := make(map[string]int)
	for e := range entries {
		domain := fmt.Sprint("d", e%8)
		picked := Pick(fmt.Sprint("entry-", e), domain, items(servers), n)
		require.Len(t, picked, n)
		far := 0
		for _, it := range picked {
			watched[it.Name]++
			if it.FailureDomain != domain {
				far++
			}
		}
		require.GreaterOrEqual(t, far, n/2)
	}
	require.Len(t, watched, servers)
	mean := entries * n / servers
	for name, count := range watched {
		require.InDelta(t, mean, count, float64(mean), name)
	}
}

// When one server leaves, an entry that did not watch it keeps its subset, and
// one that did changes one place.
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
