package revision

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against versions that are given out again being taken for those of the era before.
func TestLaterErasAreNewerWhateverTheirVersions(t *testing.T) {
	old, again := At(1, 900), At(2, 3)
	require.True(t, old.Before(again))
	require.False(t, again.Before(old))
	require.False(t, old.Before(old))
	require.Equal(t, again, Later(old, again))
	require.Equal(t, old, Earlier(again, old))
	require.Negative(t, old.Compare(again))
	require.Equal(t, []uint64{2, 3}, []uint64{again.Era(), again.Version()})
	require.Equal(t, again, FromWire(again.Wire()))
	require.Equal(t, "2/3", again.String())
	require.Equal(t, "7", At(0, 7).String())
	require.True(t, Revision{}.IsZero())
	require.EqualValues(t, MaxEra, At(MaxEra, 1).Era())
}
