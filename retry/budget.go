// Package retry bounds the load that retries add. It does no I/O and reads no clock. A
// Budget must not be used by several goroutines at the same time.
package retry

import "time"

// Budget is a token bucket that allows retries in proportion to first tries, so that
// retries do not multiply the load of a failing backend server.
type Budget struct {
	// Ratio is the number of retries that each first try adds to the budget.
	Ratio float64
	// Max is the upper bound of the budget. The budget is full at the first try.
	Max     float64
	tokens  float64
	started bool
}

// RecordFirstTry records a first try, which adds Ratio to the budget.
func (b *Budget) RecordFirstTry() {
	if !b.started {
		b.started = true
		b.tokens = b.Max
	}
	b.tokens = min(b.Max, b.tokens+b.Ratio)
}

// TryTake reports whether a retry is allowed, and takes an allowed one from the budget.
func (b *Budget) TryTake() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Left returns the number of retries that are left; it is negative after Spend used up more.
func (b *Budget) Left() float64 { return b.tokens }

// Leaves reports whether a retry can be taken so that n others are left, or as many as a full budget
// leaves.
func (b *Budget) Leaves(n float64) bool { return b.tokens-1 >= max(0, min(n, b.Max-1)) }

// Spend takes a retry from the budget even if the budget is used up. No later retry is
// allowed until first tries have made up for it.
func (b *Budget) Spend() { b.tokens-- }

// Backoff computes exponentially growing delays with jitter.
type Backoff struct {
	Base, Max time.Duration
}

// Delay returns the delay before retry n, counted from 0: Base doubled n times, at most
// Max. random in [0, 1) spreads the delay over the upper half of that range.
func (b Backoff) Delay(n int, random float64) time.Duration {
	const maxShift = 20
	d := min(b.Max, b.Base<<min(n, maxShift))
	return d/2 + time.Duration(random*float64(d/2))
}
