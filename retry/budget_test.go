package retry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A process without a share must neither lose the runs that it continues nor send rejected continuations without
// a bound.
func TestContinuationsWithoutAShareAreBounded(t *testing.T) {
	var b Budget
	b.UpdateShare(modelSettings, View{Gateways: 4}, 0)
	for range 20 {
		require.True(t, b.TryTake(modelSettings, Continuation, time.Second))
		b.GiveBack(modelSettings, Continuation, time.Second, time.Second)
	}
	for range freeContinuations {
		require.True(t, b.TryTake(modelSettings, Continuation, time.Second))
	}
	require.False(t, b.TryTake(modelSettings, Continuation, time.Second))
	require.True(t, b.TryTake(modelSettings, Continuation, 2*time.Second+DefaultWindow))
}

// Retries of less value must not use up what continuations need.
func TestHedgesAndRacesLeaveRetriesForContinuations(t *testing.T) {
	for _, kind := range []Kind{Hedge, Race, FurtherRepeat, Repeat} {
		var b Budget
		b.UpdateShare(modelSettings, View{Gateways: 1, Informed: true, Whole: true}, 0)
		for b.TryTake(modelSettings, kind, time.Second) {
		}
		require.True(t, b.TryTake(modelSettings, Continuation, time.Second), kind)
	}
}

// Retries must count for as long as the window lasts, and no longer.
func TestRetriesLeaveTheWindow(t *testing.T) {
	var b Budget
	b.UpdateShare(modelSettings, View{Gateways: 1, Informed: true, Whole: true}, 0)
	used := 0
	for b.TryTake(modelSettings, Repeat, time.Second) {
		used++
	}
	require.False(t, b.TryTake(modelSettings, Repeat, DefaultWindow))
	again := 0
	for b.TryTake(modelSettings, Repeat, 2*time.Second+DefaultWindow) {
		again++
	}
	require.Equal(t, used, again)
}

// A gateway that returns must get the share that its earlier process has left, and no other.
func TestReturningGatewayLearnsWhatItHasUsed(t *testing.T) {
	const now = time.Minute
	others := Members{Others: []string{"vm-2"}}
	peer := Report{Process: Process{"vm-2", 1}, Complete: true, Ended: []Ended{{Process: Process{"vm-1", 1}, Uses: map[string]Use{"s": {Extra: 12}}, Remaining: 8 * time.Second}}}
	p := NewPeers(Process{"vm-1", 2}, false, now)
	require.Zero(t, p.View("s", others, DefaultWindow, now).share(40, 10))
	p.Heard(peer, DefaultWindow, now)
	require.InDelta(t, 28*(1-equalPart/2), p.View("s", others, DefaultWindow, now).share(40, 10), 0.01)
	p.Silent("vm-2", DefaultWindow, now)
	require.InDelta(t, 8, p.View("s", others, DefaultWindow, now).share(40, 10), 0.01)
}
