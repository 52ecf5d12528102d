package conf

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	kingcupv1 "kingcupplank.example/kingcup/proto/kingcup/v1"
)

func teamRow(name string, weight uint32) *kingcupv1.Row {
	return &kingcupv1.Row{Row: &kingcupv1.Row_Team{Team: &kingcupv1.Team{Name: name, Weight: weight}}}
}

func delta(version uint64) *kingcupv1.Delta {
	return &kingcupv1.Delta{Version: version, Puts: []*kingcupv1.Row{teamRow("t", uint32(version))}}
}

// Deltas and snapshots reach a replica late, repeated and out of order. Its version
// must never decrease and must match its rows, and a delta that leaves a gap must be
// refused.
func TestReplicaNeverReverts(t *testing.T) {
	states := []*State{EmptyState()}
	for v := uint64(1); v <= 20; v++ {
		next, err := states[v-1].WithDelta(delta(v))
		require.NoError(t, err)
		states = append(states, next)
	}
	rapid.Check(t, func(t *rapid.T) {
		r := NewReplica()
		for range rapid.IntRange(1, 50).Draw(t, "messages") {
			before := r.Version()
			v := rapid.Uint64Range(1, 20).Draw(t, "version")
			if rapid.Bool().Draw(t, "snapshot") {
				r.Install(FromSnapshot(states[v].Snapshot()))
			} else if err := r.Apply(delta(v)); err != nil {
				require.ErrorIs(t, err, ErrGap)
				require.Greater(t, v, before+1)
			}
			require.GreaterOrEqual(t, r.Version(), before)
			if r.Version() > 0 {
				require.EqualValues(t, r.Version(), r.State().Team("t").GetWeight())
			}
			if deltas, ok := r.DeltasSince(before); ok && len(deltas) > 0 {
				require.Equal(t, before+1, deltas[0].GetVersion())
				require.Equal(t, r.Version(), deltas[len(deltas)-1].GetVersion())
			}
		}
	})
}

// Each row is invalid by itself or refers to a row that does not exist.
func TestValidateFindsBrokenRows(t *testing.T) {
	for name, row := range map[string]*kingcupv1.Row{
		"team without weight":          teamRow("t", 0),
		"team with a missing model":    {Row: &kingcupv1.Row_Team{Team: &kingcupv1.Team{Name: "t", Weight: 1, Models: []string{"none"}}}},
		"team with a missing priority": {Row: &kingcupv1.Row_Team{Team: &kingcupv1.Team{Name: "t", Weight: 1, Priority: "none"}}},
		"adapter with a missing model": {Row: &kingcupv1.Row_Adapter{Adapter: &kingcupv1.Adapter{Name: "a", Model: "none"}}},
		"model without a kind":         {Row: &kingcupv1.Row_Model{Model: &kingcupv1.Model{Name: "m"}}},
	} {
		next, err := EmptyState().WithDelta(&kingcupv1.Delta{Version: 1, Puts: []*kingcupv1.Row{row}})
		require.NoError(t, err)
		require.ErrorIs(t, next.Validate(), ErrInvalid, name)
	}
}
