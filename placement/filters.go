package placement

import "slices"

// Reachable drops servers without a session.
func Reachable(_ *Request, s *Server) bool { return s.Connected }

// NotLeaving drops servers that say, or are said, to leave.
func NotLeaving(_ *Request, s *Server) bool { return !s.Leaving }

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
