// Package shutdown decides what a process that was told to stop still takes on, and when it ends what it has.
package shutdown

import "time"

const (
	// endMargin is the time between the end of the process and its kill, answerMargin that between the last
	// answers and the kill. Both are at most the named parts of the grace period.
	endMargin, answerMargin         = 300 * time.Millisecond, 500 * time.Millisecond
	endMarginPart, answerMarginPart = 16, 8
	// cutPart is the last part of the grace period, before which no response that has begun is cut off.
	cutPart = 6
	// acceptMargin covers a request that is on its way when the last connections are accepted.
	acceptMargin = 300 * time.Millisecond
	// reserve is the part of the remaining time that a response must not need: lengths are estimates that are
	// exceeded half of the time.
	reserve = 0.3
)

// Settings are the bounds of a shutdown.
type Settings struct {
	// Grace is the time from the signal to the kill, AcceptTime that for which connections are accepted: callers
	// arrive as long as the balancer doesn't know of the shutdown.
	Grace, AcceptTime time.Duration
}

// Schedule is the course of a shutdown. The zero Schedule is that of a process which is not stopping.
type Schedule struct {
	// Begun is when the process was told to stop, at the latest.
	Begun time.Time
	// RefuseFrom is when all callers may know of the shutdown, AcceptUntil when the last connections are accepted.
	RefuseFrom, AcceptUntil time.Time
	// AnswerBy is when requests without an answer get their final one, CutBy when responses that have begun are cut
	// off, EndBy when the process ends.
	AnswerBy, CutBy, EndBy time.Time
}

// Begin returns the schedule of a process that has seen the signal now. It ran at aliveAt, the last time before: a
// process that was stalled may have got the signal then, or just now.
func Begin(now, aliveAt time.Time, s Settings) Schedule {
	begun := now
	if aliveAt.Before(now) {
		begun = aliveAt
	}
	answerTime, endTime := s.Grace-min(answerMargin, s.Grace/answerMarginPart), s.Grace-min(endMargin, s.Grace/endMarginPart)
	acceptTime := min(s.AcceptTime, answerTime)
	cutBy := later(begun.Add(answerTime), now.Add(s.Grace-s.Grace/cutPart))
	return Schedule{
		Begun: begun, RefuseFrom: begun.Add(acceptTime - acceptMargin), AcceptUntil: begun.Add(acceptTime),
		AnswerBy: begun.Add(answerTime), CutBy: cutBy, EndBy: later(begun.Add(endTime), cutBy.Add(endTime-answerTime)),
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// IsStopping reports whether the process was told to stop.
func (s Schedule) IsStopping() bool { return !s.Begun.IsZero() }

// Kind is what it costs a caller if its response is cut off.
type Kind int

// The kinds.
const (
	// Stream is cut off in the middle, and lost.
	Stream Kind = iota
	// ResumableStream is cut off in the middle, and its caller resumes it.
	ResumableStream
	// Plain gets a final answer in place of the server's.
	Plain
)

// Request describes a request that arrives at a process, or waits there for a server.
type Request struct {
	Kind Kind
	// Expected is the time to the end of the response, as estimated, TimeLeft the time that its caller waits.
	Expected, TimeLeft time.Duration
}

// Admits reports whether a request that arrives now is taken on. othersAccept says whether its caller would be served
// by another process; if all are stopping, it has its best chance here.
func (s Schedule) Admits(q Request, othersAccept bool, now time.Time) bool {
	switch {
	case !s.IsStopping():
		return true
	case now.Before(s.RefuseFrom):
		return !othersAccept || s.fits(q, now)
	case q.Kind == Stream:
		return false
	case q.Kind == ResumableStream && othersAccept:
		return q.TimeLeft <= s.AnswerBy.Sub(now)
	}
	return s.fits(q, now)
}

// MayWait reports whether a request that was taken on and waits for a server goes on waiting.
func (s Schedule) MayWait(q Request, othersAccept bool, now time.Time) bool {
	return !s.IsStopping() || !othersAccept || s.fits(q, now)
}

// fits reports whether the process probably lives until the end of the response.
func (s Schedule) fits(q Request, now time.Time) bool {
	return q.Expected <= time.Duration((1-reserve)*float64(s.AnswerBy.Sub(now)))
}
