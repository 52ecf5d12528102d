package handover

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const ms = time.Millisecond

func TestAnswerEndsTheWait(t *testing.T) {
	for _, r := range []Result{Stopped, NotThere, Ended} {
		s := Begin(0)
		s.Sent(3 * ms)
		got, wait := s.Decide(4 * ms)
		require.Equal(t, Pending, got)
		require.Equal(t, 3*ms+AnswerTime-4*ms, wait)
		s.End(r)
		got, _ = s.Decide(5 * ms)
		require.Equal(t, r, got)
		require.True(t, got.IsKnown())
	}
}

func TestSilenceEndsTheWait(t *testing.T) {
	s := Begin(0)
	got, _ := s.Decide(ConnectTime)
	require.Equal(t, Unreached, got)
	s = Begin(0)
	s.Sent(ConnectTime - ms)
	got, _ = s.Decide(ConnectTime)
	require.Equal(t, Pending, got, "the call was sent late")
	got, _ = s.Decide(ConnectTime - ms + AnswerTime)
	require.Equal(t, Unanswered, got)
	require.False(t, got.IsKnown())
}

// Guards against the silence of a stalled process being taken for that of a server.
func TestLateTimerIsNoSilence(t *testing.T) {
	s := Begin(0)
	got, wait := s.Decide(ConnectTime + 300*ms)
	require.Equal(t, Pending, got)
	require.Equal(t, Grace, wait)
	got, _ = s.Decide(ConnectTime + 300*ms + Grace)
	require.Equal(t, Unreached, got)
}
