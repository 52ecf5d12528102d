package backends

import (
	"sync"
	"time"
)

// Result is how a request at a server ended, as far as it says something about the server.
type Result int

// The results.
const (
	// ResultInconclusive says nothing about the server: the caller disconnected, or the deadline
	// passed early.
	ResultInconclusive Result = iota
	// ResultOK is a complete answer.
	ResultOK
	// ResultFull is a refusal for lack of capacity.
	ResultFull
	// ResultFailed is an error or a corrupt answer.
	ResultFailed
	// ResultLost is a connection that broke without an answer.
	ResultLost
	// ResultUnreachable is a server that could not be connected to.
	ResultUnreachable
	// ResultDown is a server that refuses connections.
	ResultDown
)

// Reservation counts an in-flight request at a server until it is released. It is safe for
// concurrent use.
type Reservation struct {
	// Server is the server as it was listed when it was picked.
	Server Server
	// Load is the known load of the server before this request. ServerCount is the number of
	// servers that were listed for the service.
	Load
	ServerCount int

	registry  *Registry
	target    *server
	evictable bool
	// contribution is what the request adds to the server's load. It is guarded by registry.mu.
	contribution Load
	once         sync.Once
}

// reserve counts a request at a server. mu must be held.
func (r *Registry) reserve(target *server, q Query, serverCount int) *Reservation {
	res := &Reservation{registry: r, target: target, Server: target.Server, ServerCount: serverCount, evictable: q.Evictable, Load: r.load(target), contribution: Load{Running: 1, ExpectedTokens: q.ExpectedTokens, PromptTokens: q.PromptTokens}}
	if q.HeldTokens > 0 && !q.Evictable {
		res.contribution.Growth = max(0, q.ExpectedTokens-q.HeldTokens)
	}
	if q.ForCopy {
		res.contribution.CopyTokens = q.ExpectedTokens
	}
	if q.Evictable {
		res.contribution.Standby = q.ExpectedTokens
	}
	target.ownLoad = target.ownLoad.plus(res.contribution)
	return res
}

// FinishPrompt takes the request's prompt off the server's load: the server has read it.
func (r *Reservation) FinishPrompt() {
	r.change(func(contribution Load) Load { return Load{PromptTokens: -contribution.PromptTokens} })
}

// FinishCopy takes the copy that the reservation was made for off the server's load: the copy is
// complete.
func (r *Reservation) FinishCopy() {
	r.change(func(contribution Load) Load { return Load{CopyTokens: -contribution.CopyTokens} })
}

// change adjusts the request's contribution to the server's load, unless the reservation has been
// released. delta gets the present contribution and returns the difference.
func (r *Reservation) change(delta func(contribution Load) Load) {
	r.registry.mu.Lock()
	defer r.registry.mu.Unlock()
	if r.contribution.Running == 0 {
		return
	}
	change := delta(r.contribution)
	r.contribution = r.contribution.plus(change)
	r.target.ownLoad = r.target.ownLoad.plus(change)
}

// SetMemory changes the memory in tokens that the request is expected to need, and the part of it
// that it holds now. All memory of an evictable standby copy counts as held.
func (r *Reservation) SetMemory(expected, held int) {
	r.change(func(contribution Load) Load {
		change := Load{ExpectedTokens: expected - contribution.ExpectedTokens}
		if contribution.Standby > 0 {
			change.Standby = change.ExpectedTokens
			return change
		}
		change.Growth = max(0, expected-held) - contribution.Growth
		return change
	})
}

// overduePrompt is the load counted for a prompt that a server doesn't begin to answer in time.
// It is above every bound on pending prompts.
const overduePrompt = 1 << 20

// MarkPromptOverdue records that the server should have read the prompt by now. The server
// must be busy with something that is not known here, such as runs of gateways that have lost
// power, and would delay further requests too. It gets none until it begins to answer this one.
func (r *Reservation) MarkPromptOverdue() {
	r.change(func(contribution Load) Load {
		if contribution.PromptTokens == 0 {
			return Load{}
		}
		return Load{PromptTokens: overduePrompt - contribution.PromptTokens}
	})
}

// MarkUnresponsive counts the request as lost: the server has not answered for far longer than
// it should have. It may still answer.
func (r *Reservation) MarkUnresponsive(now time.Duration) {
	r.registry.mu.Lock()
	defer r.registry.mu.Unlock()
	if r.contribution.Running > 0 {
		r.target.recordLoss(now)
	}
}

// Release ends the reservation and records the result. Further calls do nothing.
func (r *Reservation) Release(result Result, now time.Duration) {
	r.once.Do(func() { r.registry.release(r, result, now) })
}

func (r *Registry) release(res *Reservation, result Result, now time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	target := res.target
	target.ownLoad = target.ownLoad.minus(res.contribution)
	res.contribution = Load{}
	switch result {
	case ResultOK:
		target.losses = 0
		target.recordAnswer(0, answerGain, now)
	case ResultFailed:
		target.recordAnswer(1, answerGain, now)
	case ResultLost:
		target.recordLoss(now)
	case ResultFull:
		r.observeFull(target, now)
		target.avoidUntil = max(target.avoidUntil, now+fullAvoidTime)
	case ResultUnreachable:
		target.recordAnswer(1, answerGain, now)
		target.avoidUntil = max(target.avoidUntil, now+unreachableAvoidTime)
	case ResultDown:
		target.markDown(now)
	}
	if target.gone && target.ownLoad.Running == 0 {
		r.forget(target)
	}
}

// ReserveAt makes a reservation at a given server even if it is leaving, for a run whose memory
// is nowhere else, or if its entry has vanished: such a server goes on for a time. It returns nil if the server has been
// replaced or is not known.
func (r *Registry) ReserveAt(at Server, tokens int) *Reservation {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.current(at)
	if s == nil || s.replaced {
		return nil
	}
	return r.reserve(s, Query{ExpectedTokens: tokens}, 1)
}
