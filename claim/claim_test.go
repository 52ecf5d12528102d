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

// Two different keys must never share a row. Keys that look alike when joined are
// made by cutting one text with slashes at two places.
func TestKeysNeverShareARow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		parts := rapid.SliceOfN(rapid.StringMatching(`[a1/]{0,3}`), 3, 5).Draw(t, "parts")
		cut := func(name string) Key {
			n := rapid.IntRange(1, len(parts)-1).Draw(t, name)
			return Key{strings.Join(parts[:n], "/"), strings.Join(parts[n:], "/")}
		}
		a, b := cut("first"), cut("second")
		require.Equal(t, a == b, a.row() == b.row())
		require.True(t, IsRowKey(a.row()))
	})
}

// A key is claimed, given back, claimed again and finished, while answers are
// lost at every step. Each step must take effect once and be seen by the next.
func TestClaimLifeWithLostAnswers(t *testing.T) {
	ctx := context.Background()
	table := tables.New()
	c := New(table, time.Millisecond)
	defer c.Close()
	key := Key{"team", "id"}
	lose := func() { table.LoseAnswers(1, 1) }

	lose()
	held, existing, err := c.Claim(ctx, key, Record{Nonce: "first"})
	require.NoError(t, err)
	require.Nil(t, existing)
	_, existing, err = c.Claim(ctx, key, Record{Nonce: "second"})
	require.NoError(t, err)
	require.Equal(t, "first", existing.Nonce)

	lose()
	require.NoError(t, c.Release(ctx, held))
	held, _, err = c.Claim(ctx, key, Record{Nonce: "third"})
	require.NoError(t, err)
	lose()
	require.NoError(t, c.Finish(ctx, held, []byte("answer")))
	_, existing, err = c.Claim(ctx, key, Record{Nonce: "fourth"})
	require.NoError(t, err)
	require.Equal(t, Done, existing.State)
	require.Equal(t, "answer", string(existing.Answer))

	table.SetOutage(true)
	_, _, err = c.Claim(ctx, Key{"team", "other"}, Record{Nonce: "fifth"})
	require.ErrorIs(t, err, storage.ErrUnavailable)
}
