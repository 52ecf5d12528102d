package placement

import "slices"

// Reachable drops servers without a session.
func Reachable(_ *Request, s *Server) bool { return s.Connected }

// NotLeaving drops servers that say, or are said, to leave.
func NotLeaving(_ *Request, s *Server) bool { return !s.Leaving }

// NotEnded drops servers that do not listen.
func NotEnded(_ *Request, s *Server) bool { return !s.Down }

// NotCordoned drops servers of cordoned failure domains.
func NotCordoned(_ *Request, s *Server) bool { return !s.Cordoned }

// InRegions drops servers outside the regions that the request must stay in.
func InRegions(r *Request, s *Server) bool { return r.Regions.Allows(s.Region) }

// NotResting drops servers that want nothing of this process for now.
func NotResting(_ *Request, s *Server) bool { return !s.BackingOff }

// NotPaced drops cold servers that take no more of this process for now.
func NotPaced(_ *Request, s *Server) bool { return !s.Paced }

// ServesModel drops servers that have not loaded the model or the adapter.
func ServesModel(r *Request, s *Server) bool {
	if !slices.Contains(s.Models, r.Model) {
		return false
	}
	return r.Adapter == "" || slices.Contains(s.Adapters, r.Adapter)
}

// NotTried drops servers that have refused the request before.
func NotTried(r *Request, s *Server) bool {
	return !slices.Contains(r.Tried, s.Name)
}

// InDomain drops servers of other failure domains if the request asks for that.
func InDomain(r *Request, s *Server) bool {
	return !r.SameDomainOnly || s.FailureDomain == r.FailureDomain
}

// WithinBounds drops servers that are too busy for the request. A server that has
// nothing to do takes whatever comes.
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
	return float64(s.MemoryForecast)+float64(r.Tokens) <= r.MaxMemoryUse*float64(s.MemoryTotal)
}
