package backends

// Load is requests at a server.
type Load struct {
	Running int
	// Tokens is the memory that they are expected to need.
	Tokens int
	// Prompt is the prompt tokens of those that have not begun to answer: what a
	// new request has to wait for.
	Prompt int
	// Copying is the tokens of memory that are being copied to the server: a further
	// copy waits on its link behind them.
	Copying int
}

func (l Load) plus(o Load) Load {
	return Load{Running: l.Running + o.Running, Tokens: l.Tokens + o.Tokens, Prompt: l.Prompt + o.Prompt, Copying: l.Copying + o.Copying}
}

func (l Load) minus(o Load) Load {
	return Load{Running: l.Running - o.Running, Tokens: l.Tokens - o.Tokens, Prompt: l.Prompt - o.Prompt, Copying: l.Copying - o.Copying}
}

// load is what is known of a server's load, here and at other processes.
func (r *Registry) load(s *server) Load {
	sum := s.own
	for _, loads := range r.remote {
		sum = sum.plus(loads[s.ID])
	}
	return sum
}

// Loads is this process's load, by server.
func (r *Registry) Loads() map[string]Load {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make(map[string]Load)
	for id, s := range r.servers {
		if s.own.Running > 0 {
			out[id] = s.own
		}
	}
	return out
}

// SetRemote replaces what another process has told of its load; nil forgets it.
func (r *Registry) SetRemote(process string, loads map[string]Load) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if loads == nil {
		delete(r.remote, process)
		return
	}
	r.remote[process] = loads
}

// Movers counts, by process, the requests at servers of a failure domain that are
// leaving. Those of this process have the name self.
func (r *Registry) Movers(self, domain string) map[string]int {
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
			if n := loads[id].Running; n > 0 {
				out[process] += n
			}
		}
	}
	return out
}
