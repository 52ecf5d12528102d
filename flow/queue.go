// Package flow orders the requests that wait for a model engine or for a server with a
// bounded rate, and detects requests that cannot be served before their callers leave. It
// does no I/O and reads no clock. A Queue must not be used by several goroutines at the
// same time.
package flow

import (
	"slices"
	"time"
)

// Waiter is a request that waits for a server with free capacity.
type Waiter struct {
	// Priority ranks requests; 0 is the most urgent.
	Priority int
	// Level is how far the usage of the request's team is above an equal share, see
	// Shares.Level.
	Level int
	// PromptTokens is the number of tokens that an engine reads before the first token
	// of the answer. It is 1 for a request to a server without an engine, so that rates
	// in tokens per second are rates in requests per second.
	PromptTokens int
	// Arrived is the arrival time. OnTimeDeadline is the latest dispatch time at which
	// the first token still meets its target. DispatchDeadline is the latest dispatch
	// time at which the whole answer still arrives before the caller leaves.
	Arrived, OnTimeDeadline, DispatchDeadline time.Duration
}

// Queue contains the waiting requests of one service.
type Queue struct {
	waiting []*Waiter
	rate    rate
}

// NewQueue returns an empty queue. perSecond is the number of prompt tokens per second
// that the engines are assumed to accept until their rate has been measured.
func NewQueue(perSecond float64) *Queue {
	return &Queue{rate: rate{perSecond: perSecond}}
}

// SetRate sets the dispatch rate, in PromptTokens per second, where it is known without
// measuring it.
func (q *Queue) SetRate(perSecond float64) { q.rate.perSecond = perSecond }

// Add appends a waiter.
func (q *Queue) Add(w *Waiter) { q.waiting = append(q.waiting, w) }

// Remove takes a waiter out of the queue. sent says that it was dispatched to an engine.
func (q *Queue) Remove(w *Waiter, sent bool, now time.Duration) {
	q.waiting = slices.DeleteFunc(q.waiting, func(o *Waiter) bool { return o == w })
	if sent {
		q.rate.add(w.PromptTokens, now, len(q.waiting) > 0)
	}
}

// Contains reports whether a waiter is in the queue.
func (q *Queue) Contains(w *Waiter) bool { return slices.Contains(q.waiting, w) }

// Len returns the number of waiters.
func (q *Queue) Len() int { return len(q.waiting) }

// HeadRank returns the rank of the next waiter and the number of waiters with that rank.
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

// Next returns the waiter to dispatch next, nil if the queue is empty.
//
// Requests that can still be on time go before those that are already late. In the order
// of arrival, every request would be late once the queue is longer than the latency
// target. With this order only requests that are late already wait longer under overload,
// and they are served when the engines have free capacity again.
func (q *Queue) Next(now time.Duration) *Waiter {
	var best *Waiter
	for _, w := range q.waiting {
		if best == nil || before(w, best, now) {
			best = w
		}
	}
	return best
}

// before reports whether a is dispatched before b.
func before(a, b *Waiter, now time.Duration) bool {
	rankA, rankB := a.Rank(now), b.Rank(now)
	if rankA != rankB {
		return rankA < rankB
	}
	if a.isLate(now) {
		return a.Arrived < b.Arrived
	}
	return a.OnTimeDeadline < b.OnTimeDeadline
}

// lateRank is added to the rank of a late request. It is larger than the rank of any
// request that can be on time.
const lateRank = 1000

// LateRank is the lowest rank of a late request.
const LateRank = lateRank

// Rank orders requests by urgency; 0 is the most urgent. Requests that can be on time
// precede late ones, then priority decides, then the level of the team's usage.
func (w *Waiter) Rank(now time.Duration) int {
	rank := w.Priority*(MaxLevel+1) + w.Level
	if w.isLate(now) {
		rank += lateRank
	}
	return rank
}

func (w *Waiter) isLate(now time.Duration) bool { return now > w.OnTimeDeadline }

// EstimateWait estimates how long a request waits behind the requests that precede it.
func (q *Queue) EstimateWait(w *Waiter, now time.Duration) time.Duration {
	ahead := 0
	for _, o := range q.waiting {
		if o != w && before(o, w, now) {
			ahead += o.PromptTokens
		}
	}
	return time.Duration(float64(ahead) / q.rate.perSecond * float64(time.Second))
}

// ShouldReject reports whether a request is to be rejected at once, so that its caller
// can retry later: by the estimate, the caller will have left before the request is
// dispatched.
//
// A request that is only late stays in the queue behind all requests that can be on time
// and uses the capacity that they leave free. Rejecting late requests while others can be
// on time would lose more requests and serve no more on time.
func (q *Queue) ShouldReject(w *Waiter, now time.Duration) bool {
	return now+q.EstimateWait(w, now) > w.DispatchDeadline
}

// rate measures the prompt tokens per second that are dispatched to engines while
// requests wait. With an empty queue it would measure the demand instead.
type rate struct {
	perSecond float64
	since     time.Duration
	tokens    int
	measuring bool
}

const (
	// minRateSpan is the shortest time over which the rate is measured.
	minRateSpan = 500 * time.Millisecond
	// rateGain is the weight of the newest measurement.
	rateGain = 0.5
)

func (r *rate) add(tokens int, now time.Duration, waiting bool) {
	if !r.measuring {
		r.measuring, r.since, r.tokens = waiting, now, 0
		return
	}
	r.tokens += tokens
	if span := now - r.since; span >= minRateSpan {
		r.perSecond += rateGain * (float64(r.tokens)/span.Seconds() - r.perSecond)
		r.since, r.tokens = now, 0
	}
	r.measuring = waiting
}
