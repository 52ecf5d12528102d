package backends

import (
	"sync"
	"time"
)

// Result is how a request at a server ended, as far as it says something about
// the server.
type Result int

// The results.
const (
	// Unjudged says nothing: the caller left, or the deadline passed early.
	Unjudged Result = iota
	// Good is a whole answer.
	Good
	// Full is a refusal for lack of room.
	Full
	// Failed is an error, a spoilt answer or a connection that broke.
	Failed
	// Unreachable is a server that could not be connected to.
	Unreachable
)

// Lease counts a request at a server. Done ends it.
type Lease struct {
	// Server is the server as listed when it was picked.
	Server Server
	// Load is what was known of its load before, of Of servers listed.
	Load
	Of int

	reg    *Registry
	s      *server
	tokens int
	once   sync.Once
}

// Done ends the lease; further calls do nothing.
func (l *Lease) Done(result Result, now time.Duration) {
	l.once.Do(func() { l.reg.done(l, result, now) })
}

func (r *Registry) done(l *Lease, result Result, now time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := l.s
	s.running--
	s.tokens -= l.tokens
	switch result {
	case Good:
		s.judge(0, now)
	case Failed:
		s.judge(1, now)
	case Full:
		s.avoidUntil = max(s.avoidUntil, now+fullFor)
	case Unreachable:
		s.judge(1, now)
		s.avoidUntil = max(s.avoidUntil, now+lostFor)
	}
	if s.gone && s.running == 0 {
		delete(r.servers, s.ID)
	}
}

// Rejoin takes a lease on a given server even if it is leaving, for a run whose
// memory is nowhere else. It returns nil if the server is gone.
func (r *Registry) Rejoin(id string, tokens int) *Lease {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.servers[id]
	if s == nil || s.gone {
		return nil
	}
	l := &Lease{reg: r, s: s, tokens: tokens, Server: s.Server, Of: 1, Load: r.load(s)}
	s.running++
	s.tokens += tokens
	return l
}
