package retry

import "time"

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
