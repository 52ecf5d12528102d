package placement

import "kingcupplank.example/kingcup/standby"

// sentCost is the memory, as a share of capacity, that each request sent since the last
// load report is assumed to need. It prevents an entry from sending a burst to the server
// that had the highest score at its last heartbeat.
const sentCost = 0.02

// queueCost is the memory, as a share of capacity, that each queued request is assumed to
// need.
const queueCost = 0.03

// Headroom prefers servers with a large share of free memory by forecast.
func Headroom(_ *Request, s *Server) float64 {
	if s.MemoryTotal == 0 {
		return 0.5
	}
	used := float64(s.MemoryForecast) / float64(s.MemoryTotal)
	free := 1 - used - sentCost*float64(s.SentSinceReport) - queueCost*float64(s.Queued)
	return max(0, min(1, free))
}

// SameDomain prefers servers in the failure domain of the request.
func SameDomain(r *Request, s *Server) float64 {
	if s.FailureDomain == r.FailureDomain {
		return 1
	}
	return 0
}

// FreeCapacity prefers servers that will have free memory and free slots with the request added;
// the scarcer of the two counts. All servers rank alike for a request with a Horizon, which fits
// into the memory that others leave over: the server with most free memory is the one that longer
// requests of all processes are sent to.
func FreeCapacity(r *Request, s *Server) float64 {
	if r.Horizon > 0 {
		return 0
	}
	used := 0.0
	if s.MemoryTotal > 0 {
		used = (float64(s.MemoryForecast) + float64(r.Tokens)) / float64(s.MemoryTotal)
	}
	if s.Slots > 0 {
		used = max(used, float64(s.Running+1)/float64(s.Slots))
	}
	return 1 - used
}

// Healthy prefers servers with a low failure rate.
func Healthy(_ *Request, s *Server) float64 { return 1 - s.FailureRate }

// NotAvoided prefers servers that are not marked to be avoided.
func NotAvoided(_ *Request, s *Server) float64 {
	if s.Avoid {
		return 0
	}
	return 1
}

// Warm prefers servers that are not cold.
func Warm(_ *Request, s *Server) float64 {
	if s.Cold {
		return 0
	}
	return 1
}

// PromptWait prefers servers with few pending prompt tokens, because the first token waits
// until all of them are read. The score falls by 1 for each second of that wait.
func PromptWait(r *Request, s *Server) float64 {
	if r.PromptSpeed <= 0 {
		return 0
	}
	return 1 - float64(s.PromptPending)/r.PromptSpeed
}

// safePauseShare is the share of the bound on pauses up to which the longest expected pause of a
// server counts as safe. Beyond it the risk of a late response grows.
const safePauseShare = 0.5

// KeepsPace prefers servers that are fast enough for the longest pause of the response to stay
// within its bound. One pause beyond it makes the whole response late, so a server whose longest
// pauses reach the bound ranks behind one that is nearly full. All servers rank alike if their pace
// is not known.
func KeepsPace(r *Request, s *Server) float64 {
	if r.MaxPause <= 0 {
		return 0
	}
	share := float64(s.UsualPause) * r.PauseStretch / float64(r.MaxPause)
	return -max(0, min(1, (share-safePauseShare)/(1-safePauseShare)))
}

// CopyWait prefers servers whose link is free. The score falls by 1 for each second that a
// copy would wait.
func CopyWait(r *Request, s *Server) float64 {
	if r.CopySpeed <= 0 {
		return 0
	}
	return -float64(s.CopyPending) / r.CopySpeed
}

// copyingFactor is how much more a standby copy counts that is still being made.
const copyingFactor = 3

// KeepsStandby prefers servers at which no standby copy has to be dropped for the request. The
// copies protect runs of other servers, and their memory is free a moment later only. Copies that are
// still being made are freed last, after 0.2 s.
func KeepsStandby(r *Request, s *Server) float64 {
	if s.StandbyTokens <= 0 || s.MemoryTotal == 0 {
		return 0
	}
	if float64(s.MemoryForecast)+float64(s.StandbyTokens)+float64(r.Tokens) <= standby.DropMemoryUse*float64(s.MemoryTotal) {
		return 0
	}
	if s.CopyPending > 0 {
		return -copyingFactor
	}
	return -1
}

// MemoryUtilization returns the share of memory in use over all servers that are neither
// leaving nor cordoned, 0 if no memory size is known. It ignores servers that are not
// candidates of the request, because too little is known about their load.
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
