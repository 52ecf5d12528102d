// Package logging writes structured log lines and never blocks a request on output. Lines go
// through a bounded queue; if the queue is full, they are lost and counted. Each line has a number, so that a
// lost one can be told from one that was never written.
package logging

import (
	"bytes"
	"fmt"
	"io"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// maxQueuedLines bounds the queue. A line has about 400 bytes, so the queue holds at
	// most about 400 KB. Kept lines may use reservedLines more.
	maxQueuedLines = 1024
	reservedLines  = 256
	// maxLinesPerSecond allows ten lines per request at a hundred requests per second on
	// a VM. Beyond that, logging would cost more than the requests.
	maxLinesPerSecond = 1000
	// lossReportInterval is the least time between two lines that report lost lines.
	lossReportInterval = time.Second
)

// KeptField marks a line that is lost only after all others: the limit on lines per second does not apply to it,
// and a part of the queue is reserved for such lines.
const KeptField = "kept"

// keptMark is KeptField with the value true in a formatted line.
var keptMark = []byte(`"` + KeptField + `":true`)

// LossCause is why a line was lost.
type LossCause int

// The causes.
const (
	// LostToRate: there were more lines in the second than the limit.
	LostToRate LossCause = iota
	// LostToQueue: the reader of the output was too slow.
	LostToQueue
	// LostToClose: the Writer was closed.
	LostToClose
	lossCauseCount
)

// LossCauses are the names of all causes.
var LossCauses = [lossCauseCount]string{LostToRate: "rate", LostToQueue: "queue", LostToClose: "close"}

// Writer is a bounded queue of lines in front of a slow writer. It also limits the lines per
// second. It is safe for concurrent use.
type Writer struct {
	lines chan []byte
	done  chan struct{}
	lost  [lossCauseCount]atomic.Uint64

	mu     sync.Mutex
	closed bool
	// count is the number of lines, lost ones included.
	count           uint64
	currentSecond   int64
	linesThisSecond int
}

// NewWriter returns a Writer and starts a goroutine that writes the queued lines to w until
// Close. After lines were lost, it writes a line that says how many.
func NewWriter(w io.Writer) *Writer {
	q := &Writer{lines: make(chan []byte, maxQueuedLines+reservedLines), done: make(chan struct{})}
	go func() {
		defer close(q.done)
		var reported lossCounts
		var reportedAt time.Time
		for line := range q.lines {
			w.Write(line)
			if time.Since(reportedAt) >= lossReportInterval && q.reportLoss(w, &reported) {
				reportedAt = time.Now()
			}
		}
		q.reportLoss(w, &reported)
	}()
	return q
}

// lossCounts are numbers of lost lines by cause.
type lossCounts [lossCauseCount]uint64

// reportLoss writes a line if lines were lost since the last report, and returns whether it did.
func (q *Writer) reportLoss(w io.Writer, reported *lossCounts) bool {
	var counts lossCounts
	for cause := range counts {
		counts[cause] = q.lost[cause].Load()
	}
	if counts == *reported {
		return false
	}
	fmt.Fprintf(w, `{"level":"warning","lost_by_queue":%d,"lost_by_rate":%d,"msg":"log lines were lost","time":%q}`+"\n",
		counts[LostToQueue]-reported[LostToQueue], counts[LostToRate]-reported[LostToRate], time.Now().Format(timestampFormat))
	*reported = counts
	return true
}

// Write implements io.Writer. It never blocks and never returns an error.
func (q *Writer) Write(line []byte) (int, error) {
	isKept := bytes.Contains(line, keptMark)
	q.mu.Lock()
	defer q.mu.Unlock()
	q.count++
	switch {
	case q.closed:
		q.lost[LostToClose].Add(1)
	case !isKept && !q.countLine():
		q.lost[LostToRate].Add(1)
	case len(q.lines) >= maxQueuedLines && !isKept || len(q.lines) == cap(q.lines):
		q.lost[LostToQueue].Add(1)
	default:
		q.lines <- numbered(line, q.count)
	}
	return len(line), nil
}

// numberField is the number of a line within its process, from 1. A gap shows that lines were lost.
const numberField = "line"

// lineEnd ends each line.
const lineEnd = "}\n"

// numbered returns a copy of a line with its number.
func numbered(line []byte, n uint64) []byte {
	const numberSize = 20
	out := append(make([]byte, 0, len(line)+len(numberField)+numberSize+len(`,"":`)), bytes.TrimSuffix(line, []byte(lineEnd))...)
	out = append(out, `,"`+numberField+`":`...)
	return append(strconv.AppendUint(out, n, 10), lineEnd...)
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

// Lost returns the number of lines that were lost for a cause.
func (q *Writer) Lost(cause LossCause) uint64 { return q.lost[cause].Load() }

// Close writes the queued lines and ends the goroutine. Later lines are lost.
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
