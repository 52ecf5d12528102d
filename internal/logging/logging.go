// Package logging writes structured log lines without ever making a request wait:
// lines go through a bounded queue, and those that find it full are dropped and
// counted.
package logging

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// queueLines is how many lines may wait. A line has some 400 bytes, so the
	// queue holds at most some 400 KB.
	queueLines = 1024
	// linesPerSecond bounds the volume: ten lines a request at a hundred requests a
	// second for a VM, above which the log would cost more than the work.
	linesPerSecond = 1000
)

// Writer is a queue in front of a slow writer. It is safe for concurrent use.
type Writer struct {
	lines   chan []byte
	done    chan struct{}
	dropped atomic.Uint64

	mu     sync.Mutex
	closed bool
	second int64
	count  int
}

// NewWriter starts a queue in front of w.
func NewWriter(w io.Writer) *Writer {
	q := &Writer{lines: make(chan []byte, queueLines), done: make(chan struct{})}
	go func() {
		defer close(q.done)
		for line := range q.lines {
			w.Write(line)
		}
	}()
	return q
}

// Write implements io.Writer; it never blocks and never fails.
func (q *Writer) Write(line []byte) (int, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closed || !q.allowed() {
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

// allowed counts a line against the second that it falls into.
func (q *Writer) allowed() bool {
	if now := time.Now().Unix(); now != q.second {
		q.second, q.count = now, 0
	}
	q.count++
	return q.count <= linesPerSecond
}

// Dropped counts the lines that were not written.
func (q *Writer) Dropped() uint64 { return q.dropped.Load() }

// Close writes what waits and ends the queue.
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
