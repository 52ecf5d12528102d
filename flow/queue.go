// Package flow decides which of the requests that wait for a model engine goes
// next, and which cannot be served in time. It is pure; a Queue is for one
// goroutine at a time.
package flow

import (
	"slices"
	"time"
)

// Waiter is a request that waits for an engine with room.
type Waiter struct {
	// Priority ranks requests; 0 is the most urgent.
	Priority int
	// Level is how far the request's team is above an equal share, see Shares.
	Level int
	// PromptTokens is the tokens that an engine has to read before the first answer.
	PromptTokens int
	// Arrived is when the request came, OnTimeDeadline when it has to reach an engine for
	// its first answer to be on time, and DispatchDeadline for its whole answer to arrive
	// before the caller has left.
	Arrived, OnTimeDeadline, DispatchDeadline time.Duration
}

// Queue holds the waiters of one service.
type Queue struct {
	waiting []*Waiter
	rate    rate
}

// NewQueue returns an empty queue. perSecond is the prompt tokens a second that
// are assumed to go to engines until it has been seen.
func NewQueue(perSecond float64) *Queue {
	return &Queue{rate: rate{perSecond: perSecond}}
}

// SetRate says what goes to servers in a second, where that is known without measuring.
func (q *Queue) SetRate(perSecond float64) { q.rate.perSecond = perSecond }

// Add adds a waiter.
func (q *Queue) Add(w *Waiter) { q.waiting = append(q.waiting, w) }

// Remove takes a waiter out. sent says that it went to an engine.
func (q *Queue) Remove(w *Waiter, sent bool, now time.Duration) {
	q.waiting = slices.DeleteFunc(q.waiting, func(o *Waiter) bool { return o == w })
	if sent {
		q.rate.add(w.PromptTokens, now, len(q.waiting) > 0)
	}
}

// Contains reports whether a waiter is in the queue.
func (q *Queue) Contains(w *Waiter) bool { return slices.Contains(q.waiting, w) }

// Len is the number of waiters.
func (q *Queue) Len() int { return len(q.waiting) }

// HeadRank returns the rank of the next waiter and how many have it.
func (q *Queue) HeadRank(now time.Duration) (rank, n int) {
	next := q.Next(now)
	if next == nil {
		return 0, 0
	}
	rank = next.Rank(now)
	for _, w := range q.waiting {
		if w.Rank(now) == rank {
			n++
		}
	}
	return rank, n
}

// Next returns the waiter whose turn it is, nil if none waits.
//
// Requests that can still be on time go before those that cannot. Serving in the
// order of arrival makes every request late once the queue is longer than the
// target; this way the overload falls on those that are late already, and they
// are served when there is room again.
func (q *Queue) Next(now time.Duration) *Waiter {
	var best *Waiter
	for _, w := range q.waiting {
		if best == nil || before(w, best, now) {
			best = w
		}
	}
	return best
}

func before(a, b *Waiter, now time.Duration) bool {
	rankA, rankB := a.Rank(now), b.Rank(now)
	if rankA != rankB {
		return rankA < rankB
	}
	if a.late(now) {
		return a.Arrived < b.Arrived
	}
	return a.OnTimeDeadline < b.OnTimeDeadline
}

// lateRank is added to the rank of a request that cannot be on time any more; it is
// above all others.
const lateRank = 1000

// Rank orders requests by urgency, 0 first: those that can be on time before all
// others, then by priority, then those of teams within their share.
func (w *Waiter) Rank(now time.Duration) int {
	rank := w.Priority*(MaxLevel+1) + w.Level
	if w.late(now) {
		rank += lateRank
	}
	return rank
}

func (w *Waiter) late(now time.Duration) bool { return now > w.OnTimeDeadline }

// EstimateWait estimates how long a request would wait behind those that go before it.
func (q *Queue) EstimateWait(w *Waiter, now time.Duration) time.Duration {
	ahead := 0
	for _, o := range q.waiting {
		if o != w && before(o, w, now) {
			ahead += o.PromptTokens
		}
	}
	return time.Duration(float64(ahead) / q.rate.perSecond * float64(time.Second))
}

// ShouldReject reports whether a request is better told at once to come back later: its
// caller will have left before its turn.
//
// One that cannot be on time any more waits on, behind all that can, and takes the room
// that those leave. Sent away as long as others can be on time, more are refused for good,
// and no more are on time.
func (q *Queue) ShouldReject(w *Waiter, now time.Duration) bool {
	return now+q.EstimateWait(w, now) > w.DispatchDeadline
}

// rate measures the prompt tokens that go to engines in a second while requests
// wait. Without waiters it would measure the demand instead.
type rate struct {
	perSecond float64
	since     time.Duration
	tokens    int
	busy      bool
}

const (
	// rateSpan is the least time over which the rate is measured.
	rateSpan = 500 * time.Millisecond
	// rateGain is the weight of the newest measurement.
	rateGain = 0.5
)

func (r *rate) add(tokens int, now time.Duration, waiting bool) {
	if !r.busy {
		r.busy, r.since, r.tokens = waiting, now, 0
		return
	}
	r.tokens += tokens
	if span := now - r.since; span >= rateSpan {
		r.perSecond += rateGain * (float64(r.tokens)/span.Seconds() - r.perSecond)
		r.since, r.tokens = now, 0
	}
	r.busy = waiting
}
