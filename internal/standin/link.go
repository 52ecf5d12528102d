package standin

import (
	"sync"
	"time"
)

// Link simulates the network link of a VM with a fixed bandwidth, on which transfers are
// sequential. It is safe for concurrent use.
type Link struct {
	bytesPerSecond float64

	mu sync.Mutex
	// freeAt is when all earlier transfers are finished.
	freeAt      time.Time
	transferred int64
}

// NewLink returns a link with a bandwidth in Mbit/s.
func NewLink(mbps float64) *Link { return &Link{bytesPerSecond: mbps * 1e6 / 8} }

// burstTime is how much unused time the link may make up for by a burst, as a queue in front of a
// real link does. Without it, a writer that a busy machine wakes up late would get less than the
// bandwidth.
const burstTime = 20 * time.Millisecond

// Transfer waits until n bytes have been transferred.
func (l *Link) Transfer(n int) {
	l.mu.Lock()
	if earliest := time.Now().Add(-burstTime); l.freeAt.Before(earliest) {
		l.freeAt = earliest
	}
	l.freeAt = l.freeAt.Add(time.Duration(float64(n) / l.bytesPerSecond * float64(time.Second)))
	l.transferred += int64(n)
	until := l.freeAt
	l.mu.Unlock()
	time.Sleep(time.Until(until))
}

// Transferred returns the number of bytes transferred so far.
func (l *Link) Transferred() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.transferred
}

// TransferTime returns how long n bytes take on a link without other traffic.
func (l *Link) TransferTime(n int64) time.Duration {
	return time.Duration(float64(n) / l.bytesPerSecond * float64(time.Second))
}
