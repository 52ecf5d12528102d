package peers

import (
	"sync/atomic"

	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"
)

const (
	// linkLinesPerSecond and linkLinesBurst bound the log lines about links. When hundreds of
	// gateways start at once, each of them sets up and closes a hundred links within seconds.
	linkLinesPerSecond, linkLinesBurst = 2, 20
)

// limitedLog logs frequent events at a bounded rate and counts those that it leaves out. It is safe
// for concurrent use.
type limitedLog struct {
	limiter *rate.Limiter
	leftOut *atomic.Int64
}

func newLimitedLog() limitedLog {
	return limitedLog{limiter: rate.NewLimiter(linkLinesPerSecond, linkLinesBurst), leftOut: &atomic.Int64{}}
}

// info logs a line, unless the rate is exceeded. The next line then says how many were left out.
func (l limitedLog) info(entry *logrus.Entry, message string) {
	if !l.limiter.Allow() {
		l.leftOut.Add(1)
		return
	}
	if n := l.leftOut.Swap(0); n > 0 {
		entry = entry.WithField("left_out", n)
	}
	entry.Info(message)
}
