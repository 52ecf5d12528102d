// Package handover decides when a run may be continued at another server: once its server is known to have
// stopped it or to have ended, or did not receive the call that stops it in time.
//
// A server may go on with a run whose connection has closed, and may be slow to see the close, so that
// neither a close nor silence is a stop.
package handover

import "time"

const (
	// ConnectTime is how long the connection for the stop call may take. A server that the network reaches
	// accepts connections within a round trip, however busy it is.
	ConnectTime = 50 * time.Millisecond
	// AnswerTime is how long an answer to the stop call is awaited once it has been sent. A server stops the
	// run when the call reaches it, and answers later.
	AnswerTime = 60 * time.Millisecond
	// LateSlack is how much later than asked for a timer may fire before this process is taken for stalled.
	LateSlack = 15 * time.Millisecond
	// Grace is the further wait after a stall, in which answers that arrived meanwhile are read.
	Grace = 15 * time.Millisecond
)

// Result says why a run may be continued elsewhere.
type Result string

// The results.
const (
	// Pending: it may not be continued yet.
	Pending Result = ""
	// Stopped: the server has stopped it.
	Stopped Result = "stopped"
	// NotThere: the server runs no such run.
	NotThere Result = "not there"
	// Ended: the server's process has ended.
	Ended Result = "ended"
	// Unanswered: the server got the stop call and has not answered in time.
	Unanswered Result = "unanswered"
	// Unreached: the server could not be reached in time.
	Unreached Result = "unreached"
)

// IsKnown reports whether the server certainly doesn't work on the run any more.
func (r Result) IsKnown() bool { return r == Stopped || r == NotThere || r == Ended }

// Stop is the stop of one run at one server. Times are since an arbitrary start. It is not safe for
// concurrent use.
type Stop struct {
	isSent bool
	// dueAt is when waiting ends.
	dueAt  time.Duration
	result Result
}

// Begin returns a stop whose call is begun now.
func Begin(now time.Duration) *Stop { return &Stop{dueAt: now + ConnectTime} }

// Sent records that the call has been sent.
func (s *Stop) Sent(now time.Duration) {
	if !s.isSent {
		s.isSent, s.dueAt = true, now+AnswerTime
	}
}

// End records the outcome of the call, which is one that IsKnown.
func (s *Stop) End(r Result) { s.result = r }

// Decide returns the result, or Pending and how long to wait before the next Decide.
func (s *Stop) Decide(now time.Duration) (Result, time.Duration) {
	switch late := now - s.dueAt; {
	case s.result != Pending:
		return s.result, 0
	case late < 0:
		return Pending, -late
	case late > LateSlack:
		s.dueAt = now + Grace
		return Pending, Grace
	}
	if s.isSent {
		return Unanswered, 0
	}
	return Unreached, 0
}
