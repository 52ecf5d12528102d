package admission

import (
	"slices"
	"time"

	"kingcupplank.example/kingcup/flow"
)

// Queue contains the queued generations of one service, with what decides their order. While
// IsActive is false, it orders and refuses exactly as flow.Queue does.
type Queue struct {
	Kinds
	*Usage
	// present orders by package flow. It contains the same generations as waiting.
	present *flow.Queue
	waiting []*Waiter
	// byPresent finds a generation by its embedded flow.Waiter.
	byPresent map[*flow.Waiter]*Waiter
	inflow    inflow
	turnover  turnover
	// lightOverload is set while light generations ask for too much memory to go first.
	lightOverload bool
}

// NewQueue returns an empty queue. perSecond is the number of prompt tokens per second that the
// engines are assumed to accept until their rate has been measured, see flow.NewQueue.
func NewQueue(perSecond float64) *Queue {
	return &Queue{Usage: NewUsage(), present: flow.NewQueue(perSecond), byPresent: make(map[*flow.Waiter]*Waiter)}
}

// Arrive records an arriving generation and sets the part of its waiter that depends on its kind.
func (q *Queue) Arrive(w *Waiter, team string, d Demand, v View, now time.Duration) {
	w.Light, w.MemoryTokens = q.IsLight(d), int(d.tokens())
	w.Level, w.LightLevel = q.Level(team, v.Usage, now), q.LightLevel(team, v.Usage, v.LightUsage, now)
	q.Observe(d)
	q.inflow.add(placeOf(w, w.Arrived), d, w.Light, now)
	q.checkLightLoad(q.inflow.lightPerSecond()*q.scale(v.Usage, now), v.Memory)
}

// Start records that a generation has been sent to an engine.
func (q *Queue) Start(w *Waiter, team string, d Demand, now time.Duration) {
	q.Charge(team, d, w.Light, now)
	q.turnover.add(d)
}

const (
	// maxLightLoad is the part of the engines' memory that light generations may ask for while they go
	// first. Beyond it they would take from the others what these need, so that all are served in the
	// order of package flow until it falls below lowLightLoad.
	maxLightLoad, lowLightLoad = 0.5, 0.25
)

// checkLightLoad decides whether light generations ask for too much memory to go first. product is what
// those that arrive in a second need, in token seconds.
func (q *Queue) checkLightLoad(product float64, memory int) {
	limit := maxLightLoad
	if q.lightOverload {
		limit = lowLightLoad
	}
	q.lightOverload = memory > 0 && product > limit*float64(memory)
}

// IsActive reports whether the order of this package applies.
func (q *Queue) IsActive() bool { return q.AreSeparate() && !q.lightOverload }

// Add queues a generation.
func (q *Queue) Add(w *Waiter) {
	q.waiting = append(q.waiting, w)
	q.byPresent[&w.Waiter] = w
	q.present.Add(&w.Waiter)
}

// Remove takes a generation out of the queue. sent says that it was sent to an engine.
func (q *Queue) Remove(w *Waiter, sent bool, now time.Duration) {
	q.waiting = slices.DeleteFunc(q.waiting, func(o *Waiter) bool { return o == w })
	delete(q.byPresent, &w.Waiter)
	q.present.Remove(&w.Waiter, sent, now)
}

// Next returns the generation to dispatch next, nil if the queue is empty.
func (q *Queue) Next(now time.Duration) *Waiter {
	if !q.IsActive() {
		return q.byPresent[q.present.Next(now)]
	}
	var best *Waiter
	for _, w := range q.waiting {
		if best == nil || isBefore(w, best, now) {
			best = w
		}
	}
	return best
}

// Rank returns the rank of a generation, which is compared with those of other gateways; 0 is the
// most urgent.
func (q *Queue) Rank(w *Waiter, now time.Duration) int {
	if !q.IsActive() {
		return w.Rank(now)
	}
	return placeOf(w, now).rank
}

// Contender returns what other gateways are told of the queue. Waiting and Name are left out.
func (q *Queue) Contender(now time.Duration) (c flow.Contender) {
	for _, w := range q.waiting {
		c.Tokens += w.MemoryTokens
	}
	if !q.IsActive() {
		c.Rank, c.WaitingAtRank = q.present.HeadRank(now)
		return c
	}
	next := q.Next(now)
	if next == nil {
		return c
	}
	c.Rank = q.Rank(next, now)
	for _, w := range q.waiting {
		if q.Rank(w, now) == c.Rank {
			c.WaitingAtRank++
		}
	}
	return c
}

// FitsOverTime reports whether a generation is checked against the memory that an engine's runs
// will hold over its expected time, instead of their expected peak.
func (q *Queue) FitsOverTime(w *Waiter) bool { return w.Light && q.IsActive() }
