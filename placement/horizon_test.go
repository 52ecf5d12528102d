package placement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a short request that waits for memory which long ones will need only after its end, and
// against one that makes a server preempt: all growth within its time must fit.
func TestShortRequestIsCheckedAgainstMemoryOverTime(t *testing.T) {
	s := Server{Name: "a", MemoryTotal: 26880, MemoryForecast: 25000, MemoryHeld: 22800, Running: 7}
	r := Request{Tokens: 2200, MaxMemoryUse: 0.97, Horizon: 500 * time.Millisecond, TokensPerEvent: 4, MeanPause: 40 * time.Millisecond}
	peak := r
	peak.Horizon = 0
	require.False(t, WithinBounds(&peak, &s))
	require.True(t, WithinBounds(&r, &s))
	for name, change := range map[string]func(r *Request, s *Server){
		"held memory unknown":     func(_ *Request, s *Server) { s.MemoryHeld = s.MemoryForecast },
		"longer than expected":    func(r *Request, _ *Server) { r.Horizon = 3 * time.Second },
		"prompts before it":       func(r *Request, s *Server) { r.PromptSpeed, s.PromptPending = 1000, 3000 },
		"fast server":             func(_ *Request, s *Server) { s.UsualPause = 10 * time.Millisecond },
		"runs beyond their guess": func(_ *Request, s *Server) { s.MemoryHeld, s.MemoryForecast = 24500, 24600 },
	} {
		r, s := r, s
		change(&r, &s)
		require.False(t, WithinBounds(&r, &s), name)
	}
	r.MeanPause = 0
	require.False(t, WithinBounds(&r, &s), "growth unknown")
}
