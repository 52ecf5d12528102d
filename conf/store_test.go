package conf

import (
	"context"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"kingcupplank.example/kingcup/internal/standin/tables"
)

// There are more changes than the table keeps deltas. A process that starts then
// must reach the head from the snapshot and the remaining deltas. A process that is
// a few versions behind must reach it from deltas alone.
func TestCatchUpAfterPruning(t *testing.T) {
	ctx := context.Background()
	table := tables.New()
	store := NewStore(table, table)
	writer, lagging := NewReplica(), NewReplica()
	const changes = MaxTableDeltas + 5*VersionsPerSnapshot + 7
	for v := uint64(1); v <= changes; v++ {
		d := delta(v)
		d.ChangeId = fmt.Sprint(v)
		require.NoError(t, store.Commit(ctx, d))
		require.NoError(t, writer.Apply(d))
		if v%VersionsPerSnapshot == 0 {
			require.NoError(t, store.SaveSnapshot(ctx, writer.State()))
			require.NoError(t, store.Prune(ctx, v))
		}
		if v%10 == 0 {
			require.NoError(t, store.CatchUp(ctx, lagging))
		}
	}
	rows, err := table.Scan(ctx, deltaPrefix)
	require.NoError(t, err)
	require.LessOrEqual(t, len(rows), MaxTableDeltas+VersionsPerSnapshot)
	fresh := NewReplica()
	for _, r := range []*Replica{fresh, lagging} {
		require.NoError(t, store.CatchUp(ctx, r))
		require.EqualValues(t, changes, r.Version())
		require.EqualValues(t, changes, r.State().Team("t").GetWeight())
	}
}
