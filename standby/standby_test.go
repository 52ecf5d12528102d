package standby

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Guards against copies of runs that end soon, and against copies that are made while requests wait for
// memory.
func TestLimitsByRemainingTimeAndQueue(t *testing.T) {
	for _, tt := range []struct {
		remaining     time.Duration
		queued, worth bool
	}{
		{-time.Second, false, false},
		{1900 * time.Millisecond, false, false},
		{2 * time.Second, false, true},
		{2 * time.Second, true, false},
		{math.MaxInt64, false, true},
		{math.MaxInt64, true, false},
	} {
		limits, worth := LimitsFor(tt.remaining, tt.queued)
		require.Equal(t, tt.worth, worth)
		require.Equal(t, Limits{MaxMemoryUse: 0.65, MaxServiceMemoryUse: 0.6}, limits)
	}
}

// A copy that has just been made must not be dropped for the next request.
func TestNewCopyLeavesRoomForARequest(t *testing.T) {
	require.GreaterOrEqual(t, DropMemoryUse-maxMemoryUse, 0.1)
}

func TestDropsThoseWithTheFewestEvents(t *testing.T) {
	copies := []Copy{{Events: 90, Tokens: 300}, {Events: 3, Tokens: 300}, {Events: 0, Tokens: 300}, {Events: 40, Tokens: 300}}
	for _, tt := range []struct {
		name string
		Excess
		want []int
	}{
		{"no excess", Excess{Tokens: 0}, nil},
		{"one is enough", Excess{Tokens: 300}, []int{2}},
		{"two are needed", Excess{Tokens: 301}, []int{2, 1}},
		{"more than there is", Excess{Tokens: 9000}, []int{2, 1, 3, 0}},
		{"others go first", Excess{Tokens: 300, PrecedingTokens: 300}, nil},
		{"others go first, they are not enough", Excess{Tokens: 700, PrecedingTokens: 300}, []int{2, 1}},
		{"others have not dropped theirs", Excess{Tokens: 300, PrecedingTokens: 900, For: PeerWait}, []int{2}},
	} {
		t.Run(tt.name, func(t *testing.T) { require.Equal(t, tt.want, Drops(tt.Excess, copies)) })
	}
}

// For any input, also one that is out of range, no copy is dropped without an excess, none twice,
// and none more than needed.
func TestDropsAreAsFewAsNeeded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		copies := rapid.SliceOf(rapid.Custom(func(t *rapid.T) Copy {
			return Copy{Events: rapid.IntRange(-5, 500).Draw(t, "events"), Tokens: rapid.IntRange(-10, 5000).Draw(t, "tokens")}
		})).Draw(t, "copies")
		e := Excess{Tokens: rapid.IntRange(-5000, 20000).Draw(t, "excess"), PrecedingTokens: rapid.IntRange(-5000, 20000).Draw(t, "preceding"), For: time.Duration(rapid.Int64().Draw(t, "for"))}
		drops := Drops(e, copies)
		if e.Tokens <= 0 {
			require.Empty(t, drops)
		}
		seen, freed := make(map[int]bool), 0
		for n, i := range drops {
			require.False(t, seen[i])
			seen[i] = true
			require.Less(t, freed, e.Tokens)
			freed += max(0, copies[i].Tokens)
			if n > 0 {
				require.LessOrEqual(t, copies[drops[n-1]].Events, copies[i].Events)
			}
		}
	})
}
