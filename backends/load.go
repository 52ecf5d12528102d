package backends

import "time"

// Load is requests at a server.
type Load struct {
	Running int
	// ExpectedTokens is the memory that they are expected to need.
	ExpectedTokens int
	// PromptTokens is the prompt tokens of those that have not begun to answer: what a
	// new request has to wait for.
	PromptTokens int
	// CopyTokens is the tokens of memory that are being copied to the server: a further
	// copy waits on its link behind them.
	CopyTokens int
	// StartTime is the life of the server that has the load, see Server.
	StartTime int64
}

func (l Load) plus(o Load) Load {
	return Load{Running: l.Running + o.Running, ExpectedTokens: l.ExpectedTokens + o.ExpectedTokens, PromptTokens: l.PromptTokens + o.PromptTokens, CopyTokens: l.CopyTokens + o.CopyTokens}
}

func (l Load) minus(o Load) Load {
	return Load{Running: l.Running - o.Running, ExpectedTokens: l.ExpectedTokens - o.ExpectedTokens, PromptTokens: l.PromptTokens - o.PromptTokens, CopyTokens: l.CopyTokens - o.CopyTokens}
}

// load is what is known of a server's load, here and at other processes.
func (r *Registry) load(s *server) Load {
	return s.own.plus(r.told[life{s.ID, s.StartTime}])
}

// life is one start of a server.
type life struct {
	id   string
	born int64
}

// addTold adds what a process tells of its loads to the sums, or takes it back; mu is held.
func (r *Registry) addTold(loads map[string]Load, sign func(sum, l Load) Load) {
	for id, l := range loads {
		of := life{id, l.StartTime}
		sum := sign(r.told[of], l)
		if sum == (Load{}) {
			delete(r.told, of)
		} else {
			r.told[of] = sum
		}
	}
}

// Loads is this process's load, by server.
func (r *Registry) Loads() map[string]Load {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make(map[string]Load)
	for id, s := range r.servers {
		if s.own.Running > 0 {
			l := s.own
			l.StartTime = s.StartTime
			out[id] = l
		}
	}
	return out
}

// SetRemoteLoads replaces what another process has told of its load; nil forgets it.
func (r *Registry) SetRemoteLoads(process string, loads map[string]Load) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.addTold(r.remote[process], Load.minus)
	if loads == nil {
		delete(r.remote, process)
		return
	}
	r.remote[process] = loads
	r.addTold(loads, Load.plus)
}

const (
	// lossesFor is how long lost connections in a row are held against a server that
	// is not asked any more: as long as against one that cannot be reached.
	lossesFor = lostFor
	// tooManyLosses are the lost connections in a row, by all processes together, from
	// which a server is asked last. One in forty answers lost by chance gives less than
	// one at a time.
	tooManyLosses = 3
	// ownLosses are those of this process alone from which it is: one that is cut off
	// from its peers has to find out by itself.
	ownLosses = 2
	// leftAgain is the time within which a server that loses requests again is left for
	// twice as long, leftDoublings how often. One that goes down and up by turns costs
	// callers their answers each time that it is tried while it is down.
	leftAgain     = 10 * time.Second
	leftDoublings = 2
	// believedLosses bounds what one process is believed: it may be cut off alone from
	// a sound server.
	believedLosses = 2
)

// ServerStatus is what is wrong with a server: requests that it has lost in a row, its end, what it says
// of itself.
type ServerStatus struct {
	ConsecutiveLosses int
	// Down says that it listens no more, Leaving that it has said itself that it will end.
	Down, Leaving bool
	// BackingOff says that it has asked the process for rest.
	BackingOff bool
	// RateLimit is what is known of its limit.
	RateLimit RateLimitReport
	// StartTime is the life of the server that lost them, see Server.
	StartTime int64
}

// Statuses tells what is wrong with servers: requests that were lost in a row of late, without an
// answer or far too long without one, their ends, and what they say of themselves.
func (r *Registry) Statuses(now time.Duration) map[string]ServerStatus {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make(map[string]ServerStatus)
	for id, s := range r.servers {
		l := ServerStatus{ConsecutiveLosses: s.lostInARow(now), Down: now < s.endedUntil, Leaving: s.reported && !s.gone, BackingOff: now < s.restUntil, RateLimit: s.limit.told(now), StartTime: s.StartTime}
		if l.ConsecutiveLosses > 0 || l.Down || l.Leaving || l.BackingOff || l.RateLimit.Known {
			out[id] = l
		}
	}
	return out
}

// StatusChange is news that another process has told of a server.
type StatusChange struct {
	Server
	// RateLimitChanged reports that it is of its limit.
	RateLimitChanged bool
}

// SetRemoteStatuses replaces what another process has told of what is wrong with servers; nil forgets
// it. It returns the servers of which is news that they name a limit, or none, or that they are
// leaving: others have to be told at once, as who hears this process need not hear that one.
//
// While the directory is away only those that run something on a server ask whether it is
// leaving; the others would go on sending runs and copies there.
func (r *Registry) SetRemoteStatuses(process string, losses map[string]ServerStatus, now time.Duration) (news []StatusChange) {
	r.mu.Lock()
	if len(losses) == 0 {
		delete(r.losses, process)
	} else {
		r.losses[process] = losses
	}
	var left []leave
	for id, l := range losses {
		s := r.servers[id]
		if s == nil || s.StartTime != l.StartTime {
			continue
		}
		leavingNews := l.Leaving && !s.gone && !s.reported
		if l.Leaving {
			left = s.report(left, NoticeTold)
		}
		if limitNews := s.limit.hear(l.RateLimit, now); limitNews || leavingNews {
			news = append(news, StatusChange{Server: s.Server, RateLimitChanged: limitNews})
		}
	}
	r.mu.Unlock()
	r.tell(left)
	return news
}

// losing reports whether a server is left for what it has lost, by what all processes
// have seen. A server that resets costs each caller whose request must not run twice
// its answer: if each of thirty processes had to find out by itself, again every
// second, a hundred of them would lose it. mu is held.
func (r *Registry) losing(s *server, now time.Duration) bool {
	if now < s.leftUntil {
		return true
	}
	own := s.lostInARow(now)
	sum := own
	for _, losses := range r.losses {
		if l := losses[s.ID]; l.StartTime == s.StartTime {
			sum += min(believedLosses, l.ConsecutiveLosses)
		}
	}
	if own < ownLosses && sum < tooManyLosses {
		return false
	}
	s.leave(now)
	return true
}

// ended reports whether a server is taken not to listen, by what any process has seen: a
// refused connection is certain. It is asked again only once nobody says so any more; ended
// ones look least used, and each request would try one after the other. mu is held.
func (r *Registry) ended(s *server, now time.Duration) bool {
	if now < s.endedUntil {
		return true
	}
	for _, losses := range r.losses {
		if l := losses[s.ID]; l.Down && l.StartTime == s.StartTime {
			return true
		}
	}
	return false
}

// IsDown reports whether a server is taken not to listen.
func (r *Registry) IsDown(id string, now time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.servers[id]
	return s != nil && r.ended(s, now)
}

// MarkDown notes that a server listens no more, and reports whether that is news.
func (r *Registry) MarkDown(gone Server, now time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.current(gone)
	if s == nil || s.gone || r.ended(s, now) {
		return false
	}
	s.end(now)
	return true
}

// CountRequestsAtLeaving counts, by process, the requests at servers of a failure domain that are
// leaving. Those of this process have the name self.
func (r *Registry) CountRequestsAtLeaving(self, domain string) map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make(map[string]int)
	for id, s := range r.servers {
		if s.FailureDomain != domain || !s.Leaving && !s.gone {
			continue
		}
		if s.own.Running > 0 {
			out[self] += s.own.Running
		}
		for process, loads := range r.remote {
			if l := loads[id]; l.Running > 0 && l.StartTime == s.StartTime {
				out[process] += l.Running
			}
		}
	}
	return out
}
