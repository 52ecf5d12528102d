package placement

import (
	"slices"
	"time"
)

// Reachable drops servers without a session.
func Reachable(_ *Request, s *Server) bool { return s.Connected }

// NotLeaving drops servers that are leaving, by their own report or by another signal.
func NotLeaving(_ *Request, s *Server) bool { return !s.Leaving }

// NotDown drops servers that refuse connections.
func NotDown(_ *Request, s *Server) bool { return !s.Down }

// NotCordoned drops servers of cordoned failure domains.
func NotCordoned(_ *Request, s *Server) bool { return !s.Cordoned }

// InRegions drops servers outside the regions in which the request may run.
func InRegions(r *Request, s *Server) bool { return r.Regions.Allows(s.Region) }

// RunsRequiredSoftware drops servers that don't run the version of their software that the request
// requires, or run one that it avoids.
func RunsRequiredSoftware(r *Request, s *Server) bool {
	if slices.Contains(r.AvoidSoftware, s.SoftwareVersion) {
		return false
	}
	return r.RequiredSoftware == nil || s.SoftwareVersion != "" && s.SoftwareVersion == *r.RequiredSoftware
}

// NotBackingOff drops servers that have asked this process to send nothing for some time.
func NotBackingOff(_ *Request, s *Server) bool { return !s.BackingOff }

// NotPaced drops servers with a bounded rate that must get nothing from this process for now.
func NotPaced(_ *Request, s *Server) bool { return !s.Paced }

// ServesModel drops servers that have not loaded the model or the adapter.
func ServesModel(r *Request, s *Server) bool {
	if !slices.Contains(s.Models, r.Model) {
		return false
	}
	return r.Adapter == "" || slices.Contains(s.Adapters, r.Adapter)
}

// NotTried drops servers that have already refused the request.
func NotTried(r *Request, s *Server) bool {
	return !slices.Contains(r.Tried, s.Name)
}

// InDomain drops servers of other failure domains if the request is restricted to its own, and
// those of its own if it is restricted to others.
func InDomain(r *Request, s *Server) bool {
	same := s.FailureDomain == r.FailureDomain
	return (same || !r.SameDomainOnly) && !(same && r.OtherDomainsOnly)
}

// WithinBounds drops servers whose pending prompts or memory use would exceed the bounds
// of the request. An idle server always passes.
func WithinBounds(r *Request, s *Server) bool {
	if s.Running == 0 {
		return true
	}
	if r.MaxPromptPending > 0 && s.PromptPending > r.MaxPromptPending {
		return false
	}
	if r.MaxMemoryUse <= 0 || s.MemoryTotal == 0 {
		return true
	}
	return memoryBy(r, s)+float64(r.Tokens) <= r.MaxMemoryUse*float64(s.MemoryTotal)
}

// heldAge is the age that MemoryHeld may have: a gateway updates what a run holds about every half
// second, and its report reaches the others within 0.3 s.
const heldAge = 800 * time.Millisecond

// memoryBy returns the memory, in tokens, that a server's requests need until the end of the
// request: their expected peak, or for a request with a Horizon what they will hold by then. All
// of them grow all that time, so that a server never has to preempt one for the request. The
// peak is the bound in either case.
func memoryBy(r *Request, s *Server) float64 {
	peak := float64(s.MemoryForecast)
	if r.Horizon <= 0 || r.MeanPause <= 0 {
		return peak
	}
	span, pause := r.Horizon+heldAge, r.MeanPause
	if r.PromptSpeed > 0 {
		span += time.Duration(float64(s.PromptPending) / r.PromptSpeed * float64(time.Second))
	}
	if s.UsualPause > 0 {
		pause = min(pause, s.UsualPause)
	}
	growth := float64(s.Running) * float64(r.TokensPerEvent) * float64(span) / float64(pause)
	return min(peak, float64(s.MemoryHeld)+growth)
}
