package cells

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// Up to the size at which a gateway hears nearly all others nothing is divided, and beyond
// it a cell stays small enough to be heard whole.
func TestCellsAreHeardWhole(t *testing.T) {
	const links = 32
	for _, n := range []int{1, 6, 31, 38} {
		require.Equal(t, 1, Count(n))
	}
	for _, n := range []int{60, 103, 330, 1000} {
		count := Count(n)
		sizes := make([]int, count)
		for i := range n {
			sizes[IndexOf(Hash(fmt.Sprintf("vm-%d", i)), count)]++
		}
		heard := 0
		for _, s := range sizes {
			require.Positive(t, s)
			heard += min(s, links+1)
		}
		require.GreaterOrEqual(t, heard, n*95/100, "%d processes: %v", n, sizes)
	}
}

// Gateways learn of new ones one after the other, so for a while they count other cells.
// Most servers must be in the same cell for both.
func TestOneCellMoreMovesFewServers(t *testing.T) {
	const servers = 1000
	for count := 2; count < 16; count++ {
		moved := 0
		for i := range servers {
			h := Hash(fmt.Sprintf("i-%d", i))
			if IndexOf(h, count) != IndexOf(h, count+1) {
				moved++
			}
		}
		require.Less(t, moved, 2*servers/(count+1))
	}
}

// A service of a dozen servers is not divided: three of them would be all that a gateway
// has.
func TestSmallServicesAreNotDivided(t *testing.T) {
	require.False(t, IsDivided(12, 4))
	require.False(t, IsDivided(1000, 1))
	require.True(t, IsDivided(144, 4))
}
