package claim

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"kingcupplank.example/kingcup/internal/standin/tables"
	"kingcupplank.example/kingcup/storage"
)

// Two different keys must never share a row. The test splits one text with slashes
// at two places, which gives different keys that look alike when joined.
func TestKeysNeverShareARow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		parts := rapid.SliceOfN(rapid.StringMatching(`[a1/]{0,3}`), 3, 5).Draw(t, "parts")
		split := func(name string) Key {
			n := rapid.IntRange(1, len(parts)-1).Draw(t, name)
			return Key{strings.Join(parts[:n], "/"), strings.Join(parts[n:], "/")}
		}
		a, b := split("first"), split("second")
		require.Equal(t, a == b, a.rowKey() == b.rowKey())
		require.True(t, IsRowKey(a.rowKey()))
	})
}

// A key is claimed, released, claimed again and finished, while the table applies
// commits but loses its responses. Each step must take effect once and be visible
// to the next step.
func TestClaimStatesWithLostAnswers(t *testing.T) {
	ctx := context.Background()
	table := tables.New()
	c := New(table, time.Millisecond)
	defer c.Close()
	key := Key{"team", "id"}
	loseResponse := func() { table.LoseCommitResponses(1, 1) }

	loseResponse()
	won, existing, err := c.Claim(ctx, key, Record{Nonce: "first"})
	require.NoError(t, err)
	require.Nil(t, existing)
	_, existing, err = c.Claim(ctx, key, Record{Nonce: "second"})
	require.NoError(t, err)
	require.Equal(t, "first", existing.Nonce)

	loseResponse()
	require.NoError(t, c.Release(ctx, won))
	won, _, err = c.Claim(ctx, key, Record{Nonce: "third"})
	require.NoError(t, err)
	loseResponse()
	require.NoError(t, c.Finish(ctx, won, []byte("answer")))
	_, existing, err = c.Claim(ctx, key, Record{Nonce: "fourth"})
	require.NoError(t, err)
	require.Equal(t, Done, existing.State)
	require.Equal(t, "answer", string(existing.Answer))

	table.SetOutage(true)
	_, _, err = c.Claim(ctx, Key{"team", "other"}, Record{Nonce: "fifth"})
	require.ErrorIs(t, err, storage.ErrUnavailable)
}
