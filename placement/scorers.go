package placement

// sentCost is the memory, as a share of capacity, that one request sent since
// the last report is taken to need. It keeps an entry from sending a burst to
// the server that looked best one heartbeat ago.
const sentCost = 0.02

// queueCost is the same for a queued request.
const queueCost = 0.03

// Headroom prefers servers whose forecast memory leaves room.
func Headroom(_ *Request, s *Server) float64 {
	if s.MemoryTotal == 0 {
		return 0.5
	}
	used := float64(s.MemoryForecast) / float64(s.MemoryTotal)
	free := 1 - used - sentCost*float64(s.Sent) - queueCost*float64(s.Queued)
	return max(0, min(1, free))
}

// SameDomain prefers servers in the entry's failure domain.
func SameDomain(r *Request, s *Server) float64 {
	if s.FailureDomain == r.FailureDomain {
		return 1
	}
	return 0
}
