package soak

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a recorded seed that no longer repeats its failure because its load has changed, and
// against a part of the load that no seed draws.
func TestDrawLoad(t *testing.T) {
	for _, r := range regressions {
		if r.kinds < minLoadFaultKinds {
			require.Zero(t, drawLoad(r.seed, r.kinds))
		}
	}
	loads := make(map[load]bool)
	for seed := range uint64(200) {
		l := drawLoad(seed, len(faultKinds))
		require.Equal(t, l, drawLoad(seed, len(faultKinds)))
		loads[l] = true
	}
	require.Len(t, loads, 1<<5)
}
