package placement

import (
	"time"

	"kingcupplank.example/kingcup/prefill"
)

// SuitsRole prefers servers whose role suits the request. Like that of PromptWait, the score falls by 1
// for each second that a prompt may wait elsewhere instead.
func SuitsRole(r *Request, s *Server) float64 {
	if r.Kind == prefill.KindOther {
		return 0
	}
	wait := 0.0
	if r.PromptSpeed > 0 {
		wait = float64(s.PromptPending+r.PromptTokens) / r.PromptSpeed
	}
	return -prefill.Cost(r.Kind, s.Role) - prefill.ExtraWait(wait, s.Slowness, s.InDip)
}

// TakesStreams drops servers that a run must not be moved to after its prompt: the run stays where it
// is rather than go there.
func TakesStreams(r *Request, s *Server) bool {
	if !r.ForStream {
		return true
	}
	if s.MemoryTotal == 0 || r.CopySpeed <= 0 {
		return false
	}
	return prefill.Target{
		Role: s.Role, InDip: s.InDip, MemoryUse: (float64(s.MemoryForecast) + float64(r.Tokens)) / float64(s.MemoryTotal),
		CopyTime: time.Duration(float64(s.CopyPending+r.Tokens) / r.CopySpeed * float64(time.Second)),
	}.Takes()
}
