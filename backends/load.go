package backends

import "time"

// Load is the load that requests put on a server.
type Load struct {
	// Running is the number of requests.
	Running int
	// ExpectedTokens is the memory in tokens that they are expected to need.
	ExpectedTokens int
	// Growth is the part of ExpectedTokens that they don't hold yet, see Held. It is 0 if that is
	// unknown, so that all of ExpectedTokens counts as held.
	Growth int
	// PromptTokens is the number of prompt tokens of the requests that the server has not begun
	// to answer. A new request waits until they are read.
	PromptTokens int
	// CopyTokens is the number of tokens of memory that are being copied to the server. A further
	// copy waits for them on the server's link.
	CopyTokens int
	// Standby is the part of ExpectedTokens that standby copies take that are evictable.
	Standby int
	// StartTime identifies the incarnation of the server that has the load, see Server.
	StartTime int64
}

// Held is the memory in tokens that the requests hold now.
func (l Load) Held() int { return l.ExpectedTokens - l.Growth }

func (l Load) plus(o Load) Load {
	return Load{
		Running: l.Running + o.Running, ExpectedTokens: l.ExpectedTokens + o.ExpectedTokens, Growth: l.Growth + o.Growth,
		PromptTokens: l.PromptTokens + o.PromptTokens, CopyTokens: l.CopyTokens + o.CopyTokens, Standby: l.Standby + o.Standby,
	}
}

func (l Load) minus(o Load) Load {
	return Load{
		Running: l.Running - o.Running, ExpectedTokens: l.ExpectedTokens - o.ExpectedTokens, Growth: l.Growth - o.Growth,
		PromptTokens: l.PromptTokens - o.PromptTokens, CopyTokens: l.CopyTokens - o.CopyTokens, Standby: l.Standby - o.Standby,
	}
}

// load returns the known load of a server: that of this process and of all others. mu must be
// held.
func (r *Registry) load(s *server) Load {
	return s.ownLoad.plus(r.remoteSums[incarnation{s.ID, s.StartTime}])
}

// incarnation identifies an incarnation of a server.
type incarnation struct {
	id        string
	startTime int64
}

// addRemote adds a process's loads to remoteSums, or subtracts them, as given by op. mu must be
// held.
func (r *Registry) addRemote(loads map[string]Load, op func(sum, l Load) Load) {
	for id, l := range loads {
		key := incarnation{id, l.StartTime}
		sum := op(r.remoteSums[key], l)
		if sum == (Load{}) {
			delete(r.remoteSums, key)
		} else {
			r.remoteSums[key] = sum
		}
	}
}

// Loads returns the load that this process puts on each server, by server id.
func (r *Registry) Loads() map[string]Load {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make(map[string]Load)
	for id, s := range r.servers {
		if s.ownLoad.Running > 0 {
			l := s.ownLoad
			l.StartTime = s.StartTime
			out[id] = l
		}
	}
	return out
}

// SetRemoteLoads replaces the loads that another process has reported, by server id; nil removes
// them.
func (r *Registry) SetRemoteLoads(process string, loads map[string]Load) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.addRemote(r.remoteLoads[process], Load.minus)
	if loads == nil {
		delete(r.remoteLoads, process)
		return
	}
	r.remoteLoads[process] = loads
	r.addRemote(loads, Load.plus)
}

const (
	// lossAvoidTime is how long a server is avoided for consecutive losses, and how long losses
	// count after the last one. It is the same as for a server that can't be reached.
	lossAvoidTime = unreachableAvoidTime
	// lossThreshold is the number of consecutive losses, over all processes, from which a server
	// is avoided. If one in forty answers is lost by chance, the sum is below one on average.
	lossThreshold = 3
	// ownLossThreshold is the same for the losses of this process alone. A process that is cut
	// off from its peers must detect a bad server by itself.
	ownLossThreshold = 2
	// relapseTime is the time within which a server that loses requests again is avoided for
	// twice as long as before. maxAvoidDoublings bounds the doublings. A server that goes down
	// and up repeatedly costs callers their answers each time that it is tried while it is down.
	relapseTime       = 10 * time.Second
	maxAvoidDoublings = 2
	// maxPeerLosses bounds the losses that are counted from one peer, which may itself be cut
	// off from a healthy server.
	maxPeerLosses = 2
)

// ServerStatus is what a process reports to its peers about a server that loses requests, is down,
// leaving or backing off, or whose rate limit is known.
type ServerStatus struct {
	// ConsecutiveLosses is the number of recent consecutive requests that got no answer, or none
	// for far too long.
	ConsecutiveLosses int
	// Down reports that the server refuses connections. Leaving reports that the server itself
	// has announced that it will end.
	Down, Leaving bool
	// BackingOff reports that the server has asked the process to send nothing for now.
	BackingOff bool
	// RateLimit is what the process knows of the server's rate limit.
	RateLimit RateLimitReport
	// StartTime identifies the incarnation of the server that this is about, see Server.
	StartTime int64
}

// Statuses returns the status of each server about which there is something to report, see
// ServerStatus, by server id.
func (r *Registry) Statuses(now time.Duration) map[string]ServerStatus {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make(map[string]ServerStatus)
	for id, s := range r.servers {
		status := ServerStatus{ConsecutiveLosses: s.consecutiveLosses(now), Down: now < s.downUntil, Leaving: s.selfReported && !s.gone, BackingOff: now < s.backoffUntil, RateLimit: s.rateLimit.report(now), StartTime: s.StartTime}
		if status.ConsecutiveLosses > 0 || status.Down || status.Leaving || status.BackingOff || status.RateLimit.Known {
			out[id] = status
		}
	}
	return out
}

// StatusChange is a change of a server's status that another process has reported.
type StatusChange struct {
	Server
	// RateLimitChanged reports that the server began or stopped sending a rate limit. Otherwise the
	// server has begun to leave.
	RateLimitChanged bool
}

// SetRemoteStatuses replaces the statuses that another process has reported, by server id; nil
// removes them. It returns the servers that turn out to be leaving, or whose rate limit has
// started or was removed. The caller must forward these changes at once, since a process that
// receives messages from this one may not receive them from that other process.
//
// While the directory is unavailable, only processes that run something on a server ask it
// whether it is leaving. Without these reports the others would continue to send runs and copies
// there.
func (r *Registry) SetRemoteStatuses(process string, remoteStatuses map[string]ServerStatus, now time.Duration) (changes []StatusChange) {
	r.mu.Lock()
	if len(remoteStatuses) == 0 {
		delete(r.remoteStatuses, process)
	} else {
		r.remoteStatuses[process] = remoteStatuses
	}
	var events []leaveEvent
	for id, status := range remoteStatuses {
		s := r.servers[id]
		if s == nil || s.StartTime != status.StartTime {
			continue
		}
		leavingChanged := status.Leaving && !s.gone && !s.selfReported
		if status.Leaving {
			due := len(events)
			events = s.markLeaving(events, LeavePeerReported)
			r.recordLeaving(events[due:], now)
		}
		if rateLimitChanged := s.rateLimit.merge(status.RateLimit, now); rateLimitChanged || leavingChanged {
			changes = append(changes, StatusChange{Server: s.Server, RateLimitChanged: rateLimitChanged})
		}
	}
	r.mu.Unlock()
	r.notifyLeaving(events)
	return changes
}

// avoidForLosses reports whether a server is avoided for its losses, over all processes. It begins
// to avoid the server if the losses have reached a threshold. A server that resets connections
// costs each caller whose request must not run twice its answer. If each of thirty processes had
// to find out by itself, again every second, a hundred callers would lose their answers. mu must
// be held.
func (r *Registry) avoidForLosses(s *server, now time.Duration) bool {
	if now < s.lossAvoidUntil {
		return true
	}
	own := s.consecutiveLosses(now)
	sum := own
	for _, remoteStatuses := range r.remoteStatuses {
		if status := remoteStatuses[s.ID]; status.StartTime == s.StartTime {
			sum += min(maxPeerLosses, status.ConsecutiveLosses)
		}
	}
	if own < ownLossThreshold && sum < lossThreshold {
		return false
	}
	s.avoid(now)
	return true
}

// isDown reports whether a server is known to refuse connections, to this process or any other:
// a refused connection is conclusive. The server is tried again only once no process reports it
// any more. Servers that are down look least loaded, so otherwise each request would try one
// after the other. mu must be held.
func (r *Registry) isDown(s *server, now time.Duration) bool {
	if now < s.downUntil {
		return true
	}
	for _, remoteStatuses := range r.remoteStatuses {
		if status := remoteStatuses[s.ID]; status.Down && status.StartTime == s.StartTime {
			return true
		}
	}
	return false
}

// IsDown reports whether a server is known to refuse connections.
func (r *Registry) IsDown(id string, now time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.servers[id]
	return s != nil && r.isDown(s, now)
}

// MarkDown records that a server refuses connections. It reports whether that was not known
// before.
func (r *Registry) MarkDown(gone Server, now time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.current(gone)
	if s == nil || s.gone || r.isDown(s, now) {
		return false
	}
	s.markDown(now)
	return true
}

// CountRequestsAtLeaving counts, by process, the requests at the leaving servers of a failure
// domain. Requests of this process are counted under the name self.
func (r *Registry) CountRequestsAtLeaving(self, domain string) map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make(map[string]int)
	for id, s := range r.servers {
		if s.FailureDomain != domain || !s.Leaving && !s.gone {
			continue
		}
		if s.ownLoad.Running > 0 {
			out[self] += s.ownLoad.Running
		}
		for process, loads := range r.remoteLoads {
			if l := loads[id]; l.Running > 0 && l.StartTime == s.StartTime {
				out[process] += l.Running
			}
		}
	}
	return out
}
