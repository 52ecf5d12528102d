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
	// ResultInconclusive says nothing: the caller left, or the deadline passed early.
	ResultInconclusive Result = iota
	// ResultOK is a whole answer.
	ResultOK
	// ResultFull is a refusal for lack of room.
	ResultFull
	// ResultFailed is an error or a spoilt answer.
	ResultFailed
	// ResultLost is a connection that broke without an answer.
	ResultLost
	// ResultUnreachable is a server that could not be connected to.
	ResultUnreachable
	// ResultDown is a server that listens no more.
	ResultDown
)

// Reservation counts a request at a server. Done ends it.
type Reservation struct {
	// Server is the server as listed when it was picked.
	Server Server
	// Load is what was known of its load before, of Of servers listed.
	Load
	ServerCount int

	reg *Registry
	s   *server
	// part is what the request adds to the server's load; reg.mu guards it.
	part Load
	once sync.Once
}

// lease counts a request at a server; mu is held.
func (r *Registry) lease(s *server, q Query, of int) *Reservation {
	l := &Reservation{reg: r, s: s, Server: s.Server, ServerCount: of, Load: r.load(s), part: Load{Running: 1, ExpectedTokens: q.ExpectedTokens, PromptTokens: q.PromptTokens}}
	if q.ForCopy {
		l.part.CopyTokens = q.ExpectedTokens
	}
	s.own = s.own.plus(l.part)
	return l
}

// FinishPrompt notes that the server has read the prompt.
func (l *Reservation) FinishPrompt() {
	l.change(func(part Load) Load { return Load{PromptTokens: -part.PromptTokens} })
}

// FinishCopy notes that the copy that the lease was taken for is complete.
func (l *Reservation) FinishCopy() {
	l.change(func(part Load) Load { return Load{CopyTokens: -part.CopyTokens} })
}

// change adds to what the request is to the server's load, unless it is over.
func (l *Reservation) change(by func(part Load) Load) {
	l.reg.mu.Lock()
	defer l.reg.mu.Unlock()
	if l.part.Running == 0 {
		return
	}
	change := by(l.part)
	l.part = l.part.plus(change)
	l.s.own = l.s.own.plus(change)
}

// SetExpectedTokens revises the memory that the request is expected to need.
func (l *Reservation) SetExpectedTokens(tokens int) {
	l.change(func(part Load) Load { return Load{ExpectedTokens: tokens - part.ExpectedTokens} })
}

// overduePrompt stands for a prompt that a server does not begin to answer in time; it
// is above every bound on prompts.
const overduePrompt = 1 << 20

// MarkPromptOverdue notes that the server should have read the prompt by now. Something is on
// it that is not known here, such as runs of gateways that have lost power, and what
// is sent there waits too: it gets no more until it begins.
func (l *Reservation) MarkPromptOverdue() {
	l.change(func(part Load) Load {
		if part.PromptTokens == 0 {
			return Load{}
		}
		return Load{PromptTokens: overduePrompt - part.PromptTokens}
	})
}

// MarkUnresponsive notes that the server has not answered for far longer than it should have;
// it may answer yet.
func (l *Reservation) MarkUnresponsive(now time.Duration) {
	l.reg.mu.Lock()
	defer l.reg.mu.Unlock()
	if l.part.Running > 0 {
		l.s.lose(now)
	}
}

// Release ends the lease; further calls do nothing.
func (l *Reservation) Release(result Result, now time.Duration) {
	l.once.Do(func() { l.reg.done(l, result, now) })
}

func (r *Registry) done(l *Reservation, result Result, now time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := l.s
	s.own = s.own.minus(l.part)
	l.part = Load{}
	switch result {
	case ResultOK:
		s.lost = 0
		s.judge(0, healthGain, now)
	case ResultFailed:
		s.judge(1, healthGain, now)
	case ResultLost:
		s.lose(now)
	case ResultFull:
		s.avoidUntil = max(s.avoidUntil, now+fullFor)
	case ResultUnreachable:
		s.judge(1, healthGain, now)
		s.avoidUntil = max(s.avoidUntil, now+lostFor)
	case ResultDown:
		s.end(now)
	}
	if s.gone && s.own.Running == 0 {
		r.forget(s)
	}
}

// ReserveAt takes a lease on a given server even if it is leaving, for a run whose
// memory is nowhere else. It returns nil if the server is gone.
func (r *Registry) ReserveAt(at Server, tokens int) *Reservation {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.current(at)
	if s == nil || s.gone {
		return nil
	}
	return r.lease(s, Query{ExpectedTokens: tokens}, 1)
}
