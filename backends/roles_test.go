package backends

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A peer reports a dip of an engine. Guards against a dip that outlasts the reports, or that is taken for one of
// a later incarnation.
func TestReportedDipEndsWithTheReports(t *testing.T) {
	r := New("z", func(string) ServiceTraits { return ServiceTraits{} }, func(Server, LeaveReason) {})
	s := Server{ID: "a", Service: svc, StartTime: 7}
	r.Put(s, 0)
	now := 10 * time.Second
	r.SetRemotePaces(map[string]Pace{"a": {Pause: 40 * time.Millisecond, Dip: true, StartTime: 6}, "gone": {Dip: true}}, now)
	require.False(t, r.InDip(s, now))
	r.SetRemotePaces(map[string]Pace{"a": {Pause: 40 * time.Millisecond, Dip: true, StartTime: 7}}, now)
	require.True(t, r.InDip(s, now+remoteDipTime-1))
	require.False(t, r.InDip(s, now+remoteDipTime))
	// Peers of an earlier release report no dips.
	r.SetRemotePaces(map[string]Pace{"a": {Pause: 100 * time.Millisecond, StartTime: 7}}, now+time.Second)
	require.False(t, r.InDip(s, now+time.Second))
}

// A prompt that is read beside a stream makes its pauses twice as long. Guards against a dip that is seen
// there, which would keep prompts from all engines that read.
func TestPromptIsNoDip(t *testing.T) {
	r := New("z", func(string) ServiceTraits { return ServiceTraits{} }, func(Server, LeaveReason) {})
	s := Server{ID: "a", Service: svc}
	r.Put(s, 0)
	now := 10 * time.Second
	stream := r.Acquire(Query{Service: svc}, now)
	for range 12 {
		stream.ObservePause(40*time.Millisecond, now)
	}
	prompt := r.Acquire(Query{Service: svc, PromptTokens: 3000}, now)
	for range 12 {
		stream.ObservePause(84*time.Millisecond, now)
	}
	require.False(t, r.InDip(s, now))
	stream.ObservePause(200*time.Millisecond, now)
	require.True(t, r.InDip(s, now), "a dip beside a prompt")
	prompt.FinishPrompt()
	stream.ObservePause(42*time.Millisecond, now)
	require.False(t, r.InDip(s, now))
	require.Equal(t, 1, r.CountDips())
}
