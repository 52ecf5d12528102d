package routing

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Guards against a request leaving its regions if route and team both restrict it but have no
// region in common: a nil list and an empty one differ.
func TestRegionsOfRouteAndTeamBothApply(t *testing.T) {
	regions := rapid.Custom(func(t *rapid.T) Regions {
		if rapid.Bool().Draw(t, "free") {
			return nil
		}
		return rapid.SliceOfDistinct(rapid.SampledFrom([]string{"a", "b", "c"}), rapid.ID).Draw(t, "list")
	})
	rapid.Check(t, func(t *rapid.T) {
		r, o := regions.Draw(t, "route"), regions.Draw(t, "team")
		for _, region := range []string{"a", "b", "c", ""} {
			require.Equal(t, r.Allows(region) && o.Allows(region), r.Intersect(o).Allows(region))
		}
	})
}

func TestUnknownRegionIsAllowedOnlyByNil(t *testing.T) {
	require.True(t, Regions(nil).Allows(""))
	require.False(t, Regions{"a"}.Allows(""))
	require.False(t, Regions{}.Allows("a"))
}
