// Package retry bounds how much work retries may add. It is pure; values are
// for one goroutine at a time.
package retry

import "time"

// Budget allows retries in proportion to first tries, so that a failing
// backend server is not met with a multiple of the load.
type Budget struct {
	// Ratio is the retries earned by a first try.
	Ratio float64
	// Max is the most that can be saved up.
	Max    float64
	tokens float64
	begun  bool
}

// RecordFirstTry notes a first try.
func (b *Budget) RecordFirstTry() {
	if !b.begun {
		b.begun = true
		b.tokens = b.Max
	}
	b.tokens = min(b.Max, b.tokens+b.Ratio)
}

// TryTake reports whether a retry is allowed, and uses it up.
func (b *Budget) TryTake() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Spend uses up a retry that is made in any case; later ones wait until it has
// been earned.
func (b *Budget) Spend() { b.tokens-- }

// Backoff is an exponential wait with jitter.
type Backoff struct {
	Base, Max time.Duration
}

// Delay returns the wait before try n (from 0); random is in [0, 1) and spreads
// the waits over their upper half.
func (b Backoff) Delay(n int, random float64) time.Duration {
	const maxShift = 20
	d := min(b.Max, b.Base<<min(n, maxShift))
	return d/2 + time.Duration(random*float64(d/2))
}
