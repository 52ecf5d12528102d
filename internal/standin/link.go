package standin

import (
	"sync"
	"time"
)

// Link is a VM's link with a rate: whatever passes it, passes in turn. It is safe for
// concurrent use.
type Link struct {
	bytesPerSecond float64

	mu sync.Mutex
	// free is when all that was sent before has passed.
	free   time.Time
	passed int64
}

// NewLink returns a link with a rate in Mbit/s.
func NewLink(mbps float64) *Link { return &Link{bytesPerSecond: mbps * 1e6 / 8} }

// catchUp is how far the link may be behind its rate and make up for it, as a queue in front of
// it does. A writer that a busy machine wakes late would see a thinner link.
const catchUp = 20 * time.Millisecond

// Transfer waits until n bytes have passed.
func (l *Link) Transfer(n int) {
	l.mu.Lock()
	if earliest := time.Now().Add(-catchUp); l.free.Before(earliest) {
		l.free = earliest
	}
	l.free = l.free.Add(time.Duration(float64(n) / l.bytesPerSecond * float64(time.Second)))
	l.passed += int64(n)
	until := l.free
	l.mu.Unlock()
	time.Sleep(time.Until(until))
}

// Transferred counts the bytes so far.
func (l *Link) Transferred() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.passed
}

// TransferTime is how long n bytes need on a link that nothing else uses.
func (l *Link) TransferTime(n int64) time.Duration {
	return time.Duration(float64(n) / l.bytesPerSecond * float64(time.Second))
}
