package revision

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a version that is assigned again after a restore being mistaken for the same
// version of the era before.
func TestLaterErasAreNewerWhateverTheirVersions(t *testing.T) {
	old, restored := At(1, 900), At(2, 3)
	require.True(t, old.Before(restored))
	require.False(t, restored.Before(old))
	require.False(t, old.Before(old))
	require.Equal(t, restored, Later(old, restored))
	require.Equal(t, old, Earlier(restored, old))
	require.Negative(t, old.Compare(restored))
	require.Equal(t, []uint64{2, 3}, []uint64{restored.Era(), restored.Version()})
	require.Equal(t, restored, FromWire(restored.Wire()))
	require.Equal(t, "2/3", restored.String())
	require.Equal(t, "7", At(0, 7).String())
	require.True(t, Revision{}.IsZero())
	require.EqualValues(t, MaxEra, At(MaxEra, 1).Era())
}
