package backends

// Load is requests at a server and the memory that they are expected to need.
type Load struct {
	Running, Tokens int
}

// load is what is known of a server's load, here and at other processes.
func (r *Registry) load(s *server) Load {
	sum := Load{Running: s.running, Tokens: s.tokens}
	for _, loads := range r.remote {
		l := loads[s.ID]
		sum.Running += l.Running
		sum.Tokens += l.Tokens
	}
	return sum
}

// Loads is this process's load, by server.
func (r *Registry) Loads() map[string]Load {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make(map[string]Load)
	for id, s := range r.servers {
		if s.running > 0 {
			out[id] = Load{Running: s.running, Tokens: s.tokens}
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
