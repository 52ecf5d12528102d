// Package dispatch records the sends of a request to servers and what is known of each, and decides from that
// whether its caller may be promised that the request has not run and never will.
//
// A send counts as one that may have run from before its first byte until something proves the opposite.
package dispatch

import (
	"fmt"
	"strings"
	"sync"
)

// Outcome is what is known of a send.
type Outcome uint8

// The outcomes.
const (
	// Unknown: nothing proves that the server has not run the request.
	Unknown Outcome = iota
	// NotSent: no byte of the request was written.
	NotSent
	// Rejected: the server has said in its answer to this send that it has not run the request and will not.
	Rejected
	// Begun: the server has begun to respond.
	Begun
)

var outcomeNames = [...]string{Unknown: "unknown", NotSent: "not sent", Rejected: "rejected", Begun: "begun"}

// String implements fmt.Stringer.
func (o Outcome) String() string { return outcomeNames[o] }

// isProof reports whether the outcome proves that the request has not run at the server and will not.
func (o Outcome) isProof() bool { return o == NotSent || o == Rejected }

// Send is one send of a request to a server.
type Send struct {
	Server string
	// Continues is set if the send continues a run of the request, which is no run of its own.
	Continues bool
	Outcome   Outcome
	// Why says what the outcome was learned from, for log lines.
	Why string
}

// Record holds the sends of a request. The zero Record has none. It is safe for concurrent use; no other lock is
// taken while its own is held.
type Record struct {
	mu    sync.Mutex
	sends []Send
	// few holds the sends of most requests.
	few      [2]Send
	promised bool
}

// Ticket is an open send.
type Ticket struct {
	record *Record
	index  int
}

// Begin records a send that is about to be made. ok is false if the caller has been promised that the request will
// not run: it must not be sent then.
func (r *Record) Begin(server string, continues bool) (t Ticket, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.promised {
		return Ticket{}, false
	}
	if r.sends == nil {
		r.sends = r.few[:0]
	}
	r.sends = append(r.sends, Send{Server: server, Continues: continues})
	return Ticket{r, len(r.sends) - 1}, true
}

// Settle records what is known of the send, and from what. A server that has begun to respond cannot be taken back.
func (t Ticket) Settle(o Outcome, why string) {
	t.record.mu.Lock()
	defer t.record.mu.Unlock()
	if s := &t.record.sends[t.index]; s.Outcome != Begun {
		s.Outcome, s.Why = o, why
	}
}

// MayHaveRun reports whether a server may have run the request, or may still do so.
func (r *Record) MayHaveRun() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.mayHaveRun()
}

// mayHaveRun is MayHaveRun with mu locked.
func (r *Record) mayHaveRun() bool {
	for _, s := range r.sends {
		if !s.Outcome.isProof() {
			return true
		}
	}
	return false
}

// Runs returns the number of runs that servers may have begun.
func (r *Record) Runs() (n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.sends {
		if !s.Continues && !s.Outcome.isProof() {
			n++
		}
	}
	return n
}

// Promise reports whether the caller may be promised that the request has not run and never will. If so, the
// request can't be sent any more.
func (r *Record) Promise() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.promised = r.promised || !r.mayHaveRun()
	return r.promised
}

// Len returns the number of sends.
func (r *Record) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.sends)
}

// String returns the sends in order, for log lines.
func (r *Record) String() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var b strings.Builder
	for i, s := range r.sends {
		if i > 0 {
			b.WriteString(", ")
		}
		fmt.Fprintf(&b, "%s %s", s.Server, s.Outcome)
		if s.Continues {
			b.WriteString(" (continues)")
		}
		if s.Why != "" {
			fmt.Fprintf(&b, " (%s)", s.Why)
		}
	}
	return b.String()
}
