package sched

import (
	"math"
	"time"
)

// decayingRate is a rate per second in which older amounts count exponentially
// less.
type decayingRate struct {
	sum       float64
	updatedAt time.Duration
}

// rateTimeConstant is the age at which an amount has decayed to 1/e.
const rateTimeConstant = 10 * time.Second

func (r *decayingRate) add(now time.Duration, amount float64) {
	r.decay(now)
	r.sum += amount
}

func (r *decayingRate) decay(now time.Duration) {
	if now > r.updatedAt {
		r.sum *= math.Exp(-float64(now-r.updatedAt) / float64(rateTimeConstant))
		r.updatedAt = now
	}
}

func (r *decayingRate) perSecond(now time.Duration) float64 {
	r.decay(now)
	return r.sum / rateTimeConstant.Seconds()
}
