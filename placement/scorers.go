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
	free := 1 - used - sentCost*float64(s.SentSinceReport) - queueCost*float64(s.Queued)
	return max(0, min(1, free))
}

// SameDomain prefers servers in the entry's failure domain.
func SameDomain(r *Request, s *Server) float64 {
	if s.FailureDomain == r.FailureDomain {
		return 1
	}
	return 0
}

// Room prefers servers with free memory and free slots, whichever is scarcer,
// once they have the request.
func Room(r *Request, s *Server) float64 {
	used := 0.0
	if s.MemoryTotal > 0 {
		used = (float64(s.MemoryForecast) + float64(r.Tokens)) / float64(s.MemoryTotal)
	}
	if s.Slots > 0 {
		used = max(used, float64(s.Running+1)/float64(s.Slots))
	}
	return 1 - used
}

// Healthy prefers servers whose answers are not failures.
func Healthy(_ *Request, s *Server) float64 { return 1 - s.FailureRate }

// NotAvoided prefers servers that did not refuse a moment ago.
func NotAvoided(_ *Request, s *Server) float64 {
	if s.Avoid {
		return 0
	}
	return 1
}

// Warm prefers servers that have been up for a while.
func Warm(_ *Request, s *Server) float64 {
	if s.Cold {
		return 0
	}
	return 1
}

// PromptRead prefers servers with few prompts to read first: the first token waits
// for all of them, and loses a point for every second.
func PromptRead(r *Request, s *Server) float64 {
	if r.PromptSpeed <= 0 {
		return 0
	}
	return 1 - float64(s.PromptPending)/r.PromptSpeed
}

// CopyWait prefers servers whose link is free; it loses a point for every second that
// a copy would wait there.
func CopyWait(r *Request, s *Server) float64 {
	if r.CopySpeed <= 0 {
		return 0
	}
	return -float64(s.CopyPending) / r.CopySpeed
}

// MemoryUtilization is the part of their memory that the servers which stay have in use
// together, 0 where none has a known memory. Of servers that are not the request's own what
// is known is too little to count.
func MemoryUtilization(r *Request, servers []Server) float64 {
	used, total := 0.0, 0.0
	for i := range servers {
		if s := &servers[i]; !s.Leaving && !s.Cordoned && (r.IsCandidate == nil || r.IsCandidate(i)) {
			used += float64(s.MemoryForecast)
			total += float64(s.MemoryTotal)
		}
	}
	if total == 0 {
		return 0
	}
	return used / total
}
