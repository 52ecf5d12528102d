package stream

import (
	"context"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"kingcupplank.example/kingcup/engine"
)

func tokenText(attempt uint32, i uint64) []byte { return fmt.Appendf(nil, " %d.%d", attempt, i) }

// New attempts begin, engines repeat tokens, and tokens of superseded attempts
// arrive late. A reader that starts at any index must see each index once, in
// order, and no token that arrived after a higher attempt had begun.
func TestBufferProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := NewBuffer(1 << 20)
		attempt := uint32(1)
		require.NoError(t, b.BeginAttempt(attempt))
		want := []string{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				attempt++
				require.NoError(t, b.BeginAttempt(attempt))
				require.ErrorIs(t, b.BeginAttempt(attempt), ErrStaleAttempt)
			case 1:
				stale := rapid.Uint32Range(0, attempt-1).Draw(t, "stale")
				require.ErrorIs(t, b.Append(stale, b.NextIndex(), tokenText(stale, b.NextIndex())), ErrStaleAttempt)
			default:
				i := rapid.Uint64Range(0, b.NextIndex()+1).Draw(t, "index")
				err := b.Append(attempt, i, tokenText(attempt, i))
				if i > uint64(len(want)) {
					require.ErrorIs(t, err, ErrGap)
					continue
				}
				require.NoError(t, err)
				if i == uint64(len(want)) {
					want = append(want, string(tokenText(attempt, i)))
				}
			}
		}
		from := rapid.Uint64Range(0, b.NextIndex()).Draw(t, "from")
		require.Equal(t, want[from:], readAll(t, b, from))
	})
}

// readAll closes the buffer and returns the tokens from an index on.
func readAll(t require.TestingT, b *Buffer, from uint64) []string {
	b.Fail(context.Canceled)
	r := b.NewReader(from)
	defer r.Close()
	got := []string{}
	var batch Batch
	for {
		_, err := r.Read(context.Background(), &batch, 7)
		if err != nil {
			require.ErrorIs(t, err, context.Canceled)
			return got
		}
		require.Equal(t, from+uint64(len(got)), batch.FirstIndex)
		for _, text := range batch.Texts {
			got = append(got, string(text))
		}
	}
}

// A generation has far more text than the buffer keeps. Its memory must stay below
// the limit, and reading dropped tokens must fail.
func TestBufferBoundsMemory(t *testing.T) {
	const maxBytes = 1 << 10
	b := NewBuffer(maxBytes)
	require.NoError(t, b.BeginAttempt(1))
	for i := range uint64(10000) {
		require.NoError(t, b.Append(1, i, tokenText(1, i)))
		require.LessOrEqual(t, len(b.data), maxBytes)
	}
	r := b.NewReader(0)
	defer r.Close()
	var batch Batch
	_, err := r.Read(context.Background(), &batch, 10)
	require.ErrorIs(t, err, ErrTrimmed)
	_, err = b.Prefix()
	require.ErrorIs(t, err, ErrTrimmed)
}

// A stream whose token count or digest differs from the engine's record must not
// become complete.
func TestFinishChecksTheEnginesRecord(t *testing.T) {
	digest := engine.NewDigest()
	digest.Add(tokenText(1, 0))
	for _, tc := range []struct {
		end  End
		want error
	}{
		{End{Tokens: 1, Digest: digest.Sum()}, nil},
		{End{Tokens: 2, Digest: digest.Sum()}, ErrGap},
		{End{Tokens: 1, Digest: digest.Sum() + 1}, ErrDigestMismatch},
	} {
		b := NewBuffer(1 << 10)
		require.NoError(t, b.BeginAttempt(1))
		require.NoError(t, b.Append(1, 0, tokenText(1, 0)))
		require.ErrorIs(t, b.Finish(1, tc.end), tc.want)
	}
}

// BenchmarkRelay measures one token through a buffer to one reader.
func BenchmarkRelay(b *testing.B) {
	buf := NewBuffer(64 << 10)
	buf.BeginAttempt(1)
	r := buf.NewReader(0)
	defer r.Close()
	text := []byte(" token")
	var batch Batch
	b.ReportAllocs()
	for i := range uint64(b.N) {
		buf.Append(1, i, text)
		r.Read(context.Background(), &batch, 256)
	}
}
