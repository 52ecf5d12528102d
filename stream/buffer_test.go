package stream

import (
	"context"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"kingcupplank.example/kingcup/engine"
)

func token(attempt uint32, i uint64) []byte { return fmt.Appendf(nil, " %d.%d", attempt, i) }

// Attempts begin, engines repeat and deliver late, readers join anywhere. Every
// reader must see indices without gap or repeat, and never a token that came
// from an attempt after a higher one had begun.
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
				require.ErrorIs(t, b.Append(stale, b.NextIndex(), token(stale, b.NextIndex())), ErrStaleAttempt)
			default:
				i := rapid.Uint64Range(0, b.NextIndex()+1).Draw(t, "index")
				err := b.Append(attempt, i, token(attempt, i))
				if i > uint64(len(want)) {
					require.ErrorIs(t, err, ErrGap)
					continue
				}
				require.NoError(t, err)
				if i == uint64(len(want)) {
					want = append(want, string(token(attempt, i)))
				}
			}
		}
		from := rapid.Uint64Range(0, b.NextIndex()).Draw(t, "from")
		require.Equal(t, want[from:], readAll(t, b, from))
	})
}

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
		require.Equal(t, from+uint64(len(got)), batch.First)
		for _, text := range batch.Texts {
			got = append(got, string(text))
		}
	}
}

func TestBufferBoundsMemory(t *testing.T) {
	const bound = 1 << 10
	b := NewBuffer(bound)
	require.NoError(t, b.BeginAttempt(1))
	for i := range uint64(10000) {
		require.NoError(t, b.Append(1, i, token(1, i)))
		require.LessOrEqual(t, len(b.data), bound)
	}
	r := b.NewReader(0)
	defer r.Close()
	var batch Batch
	_, err := r.Read(context.Background(), &batch, 10)
	require.ErrorIs(t, err, ErrTrimmed)
	_, err = b.Prefix()
	require.ErrorIs(t, err, ErrTrimmed)
}

func TestFinishChecksTheEnginesRecord(t *testing.T) {
	digest := engine.NewDigest()
	digest.Add(token(1, 0))
	for _, c := range []struct {
		end  End
		want error
	}{
		{End{Tokens: 1, Digest: digest.Sum()}, nil},
		{End{Tokens: 2, Digest: digest.Sum()}, ErrGap},
		{End{Tokens: 1, Digest: digest.Sum() + 1}, ErrDigest},
	} {
		b := NewBuffer(1 << 10)
		require.NoError(t, b.BeginAttempt(1))
		require.NoError(t, b.Append(1, 0, token(1, 0)))
		require.ErrorIs(t, b.Finish(1, c.end), c.want)
	}
}

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
