package peers

import (
	"math"
	"time"
)

const (
	// controlShare is the share of a VM's link that it uses to talk to other gateways.
	controlShare = 0.045
	// budgetBurst is the time whose bytes may be sent at once, and by which bytes that are not delayed may
	// exceed the budget.
	budgetBurst = 700 * time.Millisecond
	// minBurstBytes is the least number of bytes that may be sent at once, initialBytes that of a new link.
	minBurstBytes = 1400
	initialBytes  = 600
)

// byteBudget bounds the bytes that are sent: a token bucket that may go into debt. It is not safe for
// concurrent use.
type byteBudget struct {
	bytesPerSecond float64
	// available is the number of bytes that may be sent as of updatedAt, negative for a debt.
	available float64
	updatedAt time.Time
}

// controlRate returns the bytes a second that control traffic may take of a link, unlimited if the
// bandwidth is not known.
func controlRate(linkMbps float64) float64 {
	if linkMbps <= 0 {
		return math.Inf(1)
	}
	return controlShare * linkMbps * 1e6 / 8
}

// burst returns how many bytes may be sent at once.
func (b *byteBudget) burst() float64 {
	return max(minBurstBytes, b.bytesPerSecond*budgetBurst.Seconds())
}

// setRate sets the bytes a second.
func (b *byteBudget) setRate(bytesPerSecond float64, now time.Time) {
	if b.updatedAt.IsZero() {
		b.bytesPerSecond, b.updatedAt = bytesPerSecond, now
		b.available = initialBytes
		return
	}
	b.update(now)
	b.bytesPerSecond = bytesPerSecond
}

func (b *byteBudget) update(now time.Time) {
	if elapsed := now.Sub(b.updatedAt); elapsed > 0 {
		b.available = min(b.burst(), b.available+b.bytesPerSecond*elapsed.Seconds())
		b.updatedAt = now
	}
}

// left returns how many bytes may be sent, negative for a debt.
func (b *byteBudget) left(now time.Time) float64 {
	if math.IsInf(b.bytesPerSecond, 1) {
		return b.bytesPerSecond
	}
	b.update(now)
	return b.available
}

// spend takes bytes that are sent. The debt is bounded, so that heartbeats follow bytes that could not wait.
func (b *byteBudget) spend(n int, now time.Time) {
	if math.IsInf(b.bytesPerSecond, 1) {
		return
	}
	b.update(now)
	b.available = max(-b.burst(), b.available-float64(n))
}

// wait returns the time until n bytes may be sent.
func (b *byteBudget) wait(n int, now time.Time) time.Duration {
	if missing := float64(n) - b.left(now); missing > 0 {
		return time.Duration(missing / b.bytesPerSecond * float64(time.Second))
	}
	return 0
}
