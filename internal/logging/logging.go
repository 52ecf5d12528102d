// Package logging writes structured log lines and never blocks a request on output. Lines go
// through a bounded queue; if the queue is full, they are dropped and counted.
package logging

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// maxQueuedLines bounds the queue. A line has about 400 bytes, so the queue holds at
	// most about 400 KB.
	maxQueuedLines = 1024
	// maxLinesPerSecond allows ten lines per request at a hundred requests per second on
	// a VM. Beyond that, logging would cost more than the requests.
	maxLinesPerSecond = 1000
)

// Writer is a bounded queue of lines in front of a slow writer. It also limits the lines per
// second. It is safe for concurrent use.
type Writer struct {
	lines   chan []byte
	done    chan struct{}
	dropped atomic.Uint64

	mu              sync.Mutex
	closed          bool
	currentSecond   int64
	linesThisSecond int
}

// NewWriter returns a Writer and starts a goroutine that writes the queued lines to w until
// Close.
func NewWriter(w io.Writer) *Writer {
	q := &Writer{lines: make(chan []byte, maxQueuedLines), done: make(chan struct{})}
	go func() {
		defer close(q.done)
		for line := range q.lines {
			w.Write(line)
		}
	}()
	return q
}

// Write implements io.Writer. It never blocks and never returns an error.
func (q *Writer) Write(line []byte) (int, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closed || !q.countLine() {
		q.dropped.Add(1)
		return len(line), nil
	}
	select {
	case q.lines <- append([]byte(nil), line...):
	default:
		q.dropped.Add(1)
	}
	return len(line), nil
}

// countLine counts a line in the current second and reports whether it is within the rate
// limit. The caller holds mu.
func (q *Writer) countLine() bool {
	if now := time.Now().Unix(); now != q.currentSecond {
		q.currentSecond, q.linesThisSecond = now, 0
	}
	q.linesThisSecond++
	return q.linesThisSecond <= maxLinesPerSecond
}

// Dropped returns the number of lines that were dropped.
func (q *Writer) Dropped() uint64 { return q.dropped.Load() }

// Close writes the queued lines and ends the goroutine. Later lines are dropped.
func (q *Writer) Close() {
	q.mu.Lock()
	if !q.closed {
		q.closed = true
		close(q.lines)
	}
	q.mu.Unlock()
	<-q.done
}

// New returns a logger that writes JSON lines to w.
func New(w io.Writer, level logrus.Level) *logrus.Logger {
	log := logrus.New()
	log.SetOutput(w)
	log.SetLevel(level)
	log.SetFormatter(jsonFormatter{timestampFormat})
	return log
}
