package slopes

import (
	"io"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestFitFindsTheLine(t *testing.T) {
	l := Fit([]Point{{1, 5}, {2, 7}, {4, 11}})
	require.InDelta(t, 2, l.Slope, 1e-9)
	require.InDelta(t, 3, l.Intercept, 1e-9)
	require.InDelta(t, 0, l.Residual, 1e-9)
	off := Fit([]Point{{1, 10}, {2, 20}, {3, 33}})
	require.Greater(t, off.Residual, 0.01)
}

// The slopes that need no load must be measurable in CI, so that the capacity page can be compared
// with the code.
func TestSmallSlopes(t *testing.T) {
	c, err := MeasureConfiguration()
	require.NoError(t, err)
	require.Equal(t, 1515, c.Rows)
	require.Greater(t, c.Memory.Slope, 50.0)
	require.Less(t, c.SnapshotBytes, 200_000)
	DefaultTarget().print(io.Discard, WatchCost{}, StreamCost{}, c)
}
