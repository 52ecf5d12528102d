package sched

import (
	"math"
	"time"
)

// rate is an exponentially decayed rate per second.
type rate struct {
	sum  float64
	last time.Duration
}

const rateMemory = 10 * time.Second

func (r *rate) add(now time.Duration, n float64) {
	r.decay(now)
	r.sum += n
}

func (r *rate) decay(now time.Duration) {
	if now > r.last {
		r.sum *= math.Exp(-float64(now-r.last) / float64(rateMemory))
		r.last = now
	}
}

func (r *rate) value(now time.Duration) float64 {
	r.decay(now)
	return r.sum / rateMemory.Seconds()
}
