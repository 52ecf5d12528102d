// Package concurrency bounds what many gateways together send to plain servers that have fewer
// slots than there are gateways. Such servers are overloaded even if each gateway has only one
// request in flight, and a gateway alone cannot tell how many requests the others are sending.
//
// Each gateway measures the rate at which requests arrive and tells its peers. Each estimates the
// capacity of the servers from their slots and answer times, and admits its part of the capacity,
// in proportion to its demand, with a token bucket. Gateways that disagree for a moment admit
// somewhat more or less together, which the answer times show to all of them.
//
// The load that the package is made for: servers of a few slots that answer in tens of
// milliseconds, 4 to 2,000 gateways with uneven demand of less than one to some hundred requests a
// second each, and callers that want an answer within a few times the usual answer time.
//
// The package does no I/O, reads no clock and draws no random numbers. Its types are not safe for
// concurrent use.
package concurrency

import (
	"math"
	"time"
)

// bounded returns x limited to a range. It returns the lower bound for a value that is not a number.
func bounded(x, low, high float64) float64 {
	if math.IsNaN(x) {
		return low
	}
	return max(low, min(high, x))
}

// perSecond returns the rate of n events in a duration.
func perSecond(n float64, d time.Duration) float64 { return n / d.Seconds() }
