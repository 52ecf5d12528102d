package concurrency

import (
	"math"
	"time"
)

const (
	// limitFrom is the part of the capacity from which demand is limited.
	limitFrom = 0.9
	// clearExcess is the ratio of demand to capacity that chance does not bring about. Below it,
	// answers must also have been slow: the sum of measured demands fluctuates by a tenth.
	clearExcess = 1.25
	// smoothTime is the time constant of the average of the total demand.
	smoothTime = time.Second
	// minKnownPart is the part of all gateways whose demand must be known for the total to be
	// known. Otherwise it is extrapolated from a few dozen gateways, and wrong by a fifth.
	minKnownPart = 0.5
	// usedPart is the part of the capacity that is given out while demand exceeds it. At all of it,
	// a queue that chance brings about at the servers would not end.
	usedPart = 0.97
	// toleratedDelay is the delay of answers, as a part of the usual time, up to which there is no
	// queue to be ended: two requests that wait at a server of six slots.
	toleratedDelay = 0.3
	// drainTime is the time in which a queue that answers have shown is to end. Answers show it
	// after some 100 ms, so a shorter time would empty the servers.
	drainTime = 200 * time.Millisecond
	// minDrainPart is the least part of the capacity that is given out while a queue ends.
	minDrainPart = 0.3
	// targetDelay is the delay of answers, as a part of the usual time, that the boost aims at: one
	// request that waits at a server of six slots. boostRate is how fast the boost follows, per
	// second and per usual time of delay.
	targetDelay = 0.15
	boostRate   = 1.0
	// missingFactor is how many times faster the boost follows while gateways are missing: those
	// that have died send nothing, those that are cut off do, and only the answers tell which.
	missingFactor = 3
	// minBoost and maxBoost bound the boost, maxUncertainBoost where the total is not known.
	minBoost          = 0.8
	maxBoost          = 1.3
	maxUncertainBoost = 2.0
	// initialBoost is the boost when the limit begins to bind.
	initialBoost = 1.1
	// minDepth is the depth of the bucket of a gateway with a low rate, maxDepthPerServer the
	// bound for all. queuedDepth is the depth while there is a queue at the servers.
	minDepth          = 2.0
	maxDepthPerServer = 2.0
	queuedDepth       = 1.0
	// depthTime determines how much of a high rate may be sent at once: waiting requests try again
	// every 10 ms.
	depthTime = 20 * time.Millisecond
	// maxUpdateInterval bounds the time between two updates that counts.
	maxUpdateInterval = 100 * time.Millisecond
)

// MaxWait bounds the result of Limiter.Wait.
const MaxWait = 10 * time.Second

// Inputs are what a Limiter's decision is based on.
type Inputs struct {
	Capacity Capacity
	Peers    PeerDemand
	// Gateways is the number of all gateways, this one included, 0 if unknown.
	Gateways int
}

// Limiter decides which requests for a service this gateway sends.
//
// Each request that arrives adds tokens to the gateway's bucket, over demandTime after its
// arrival: as many as the part of the total demand that can be served. So the bucket is filled
// in proportion to the gateway's demand, whatever its rate is.
type Limiter struct {
	demand Demand
	in     Inputs
	// limited says that the limit binds. factor is the number of tokens of a request.
	limited bool
	factor  float64
	// total is the demand of all gateways.
	total float64
	// smoothed is the average of total.
	smoothed float64
	// boost corrects the part of the capacity that is given out by the delay of answers: some
	// parts are not used, and the total may be wrong.
	boost   float64
	updated time.Duration
	// tokens are the tokens in the bucket as of refilled, depth bounds them.
	tokens, depth float64
	refilled      time.Duration
	// backlogUntil is when the requests that were refused would have been served.
	backlogUntil time.Duration
}

// NewLimiter returns a Limiter that measures demand from a time, the start of the process.
func NewLimiter(start time.Duration) *Limiter {
	return &Limiter{demand: NewDemand(start), updated: start, refilled: start}
}

// Arrived records the arrival of a request.
func (l *Limiter) Arrived(now time.Duration) {
	l.refill(now)
	l.demand.Arrived(now)
}

// Update applies new inputs. It must be called several times a second, and reports whether the
// limit has begun or ceased to bind.
func (l *Limiter) Update(in Inputs, now time.Duration) (changed bool) {
	l.refill(now)
	interval := min(maxUpdateInterval, max(0, now-l.updated))
	l.in, l.updated = in, now
	l.total = in.Peers.Total(l.demand.PerSecond(now), in.Gateways)
	l.smoothed += (l.total - l.smoothed) * (1 - math.Exp(-float64(interval)/float64(smoothTime)))
	usable := in.Capacity.PerSecond * l.drainPart()
	was := l.limited
	l.limited = usable > 0 && in.Capacity.Slots < in.Gateways && l.total >= limitFrom*usable && l.isEvident(usable)
	if !l.limited {
		return was
	}
	if !was {
		l.boost, l.tokens = initialBoost, minDepth
	}
	l.adjustBoost(interval)
	l.factor = usable * usedPart * l.boost / l.total
	l.depth = queuedDepth
	if l.excessDelay() == 0 {
		l.depth = bounded(l.PerSecond(now)*depthTime.Seconds(), minDepth, max(minDepth, maxDepthPerServer*float64(in.Capacity.Servers)))
	}
	l.tokens = min(l.tokens, l.depth)
	return !was
}

// isTotalKnown reports whether the demand of enough gateways is known.
func (l *Limiter) isTotalKnown() bool {
	return float64(l.in.Peers.Heard+1) >= minKnownPart*float64(l.in.Gateways)
}

// isEvident reports whether demand is above what is usable by so much, or answers are so slow, that
// it is not by chance.
func (l *Limiter) isEvident(usable float64) bool {
	switch known, slow := l.isTotalKnown(), l.in.Capacity.Slow; {
	case !known && !slow:
		return l.limited && l.boost < l.mostBoost()
	case l.total >= clearExcess*usable || l.excessDelay() > 0:
		return true
	}
	return l.smoothed >= usedPart*usable
}

// mostBoost returns the upper bound of the boost.
func (l *Limiter) mostBoost() float64 {
	if !l.isTotalKnown() {
		return maxUncertainBoost
	}
	return maxBoost * float64(max(l.in.Gateways, l.in.Peers.Heard+1)) / float64(l.in.Peers.Heard+1)
}

// adjustBoost moves the boost towards the target delay.
func (l *Limiter) adjustBoost(interval time.Duration) {
	c := l.in.Capacity
	if c.Usual <= 0 {
		return
	}
	delay := float64(c.Delay) / float64(c.Usual)
	rate := boostRate * (targetDelay - delay)
	if l.isTotalKnown() && l.in.Peers.Heard+1 < l.in.Gateways {
		rate *= missingFactor
	}
	l.boost += rate * interval.Seconds()
	l.boost = bounded(l.boost, minBoost, l.mostBoost())
}

// excessDelay returns the delay of answers beyond what is tolerated.
func (l *Limiter) excessDelay() time.Duration {
	c := l.in.Capacity
	return max(0, c.Delay-time.Duration(toleratedDelay*float64(c.Usual)))
}

// drainPart returns the part of the capacity with which the queue at the servers ends in drainTime.
func (l *Limiter) drainPart() float64 {
	return bounded(1-l.excessDelay().Seconds()/drainTime.Seconds(), minDrainPart, 1)
}

// refill adds the tokens that have come in since the last call.
func (l *Limiter) refill(now time.Duration) {
	if now <= l.refilled {
		return
	}
	if l.limited {
		l.tokens = min(l.depth, l.tokens+l.income(now-l.refilled, l.refilled))
	}
	l.refilled = now
}

// income returns the tokens that come in within d after now if no further request arrives.
func (l *Limiter) income(d, now time.Duration) float64 {
	return l.factor * l.demand.PerSecond(now) * demandTime.Seconds() * (1 - math.Exp(-float64(d)/float64(demandTime)))
}

// Limited reports whether the limit binds.
func (l *Limiter) Limited() bool { return l.limited }

// admitsAll reports whether all requests are admitted: none has to wait below the capacity.
func (l *Limiter) admitsAll() bool { return !l.limited || l.factor >= 1 }

// TryTake reports whether a request may be sent now, and counts it if so.
func (l *Limiter) TryTake(now time.Duration) bool {
	l.refill(now)
	if !l.admitsAll() && l.tokens < 1 {
		return false
	}
	l.tokens = max(0, l.tokens-1)
	return true
}

// Return undoes TryTake for a request that was not sent.
func (l *Limiter) Return() { l.tokens = min(l.depth, l.tokens+1) }

// Wait returns how long a request waits that is sent after a number of others.
func (l *Limiter) Wait(ahead int, now time.Duration) time.Duration {
	l.refill(now)
	missing := float64(ahead+1) - l.tokens
	if l.admitsAll() || missing <= 0 {
		return 0
	}
	all := l.income(math.MaxInt64, now)
	if missing >= all {
		return MaxWait
	}
	return min(MaxWait, time.Duration(-math.Log(1-missing/all)*float64(demandTime)))
}

// PerSecond returns this gateway's part of the capacity, in requests per second.
func (l *Limiter) PerSecond(now time.Duration) float64 { return l.factor * l.demand.PerSecond(now) }

// Demand returns the rate at which requests arrive here, in requests per second.
func (l *Limiter) Demand(now time.Duration) float64 { return l.demand.PerSecond(now) }

// Status describes a Limiter for logs and metrics. Rates are in requests per second.
type Status struct {
	Limited bool
	// Demand is the demand of this gateway, Total that of all gateways, Share this gateway's part
	// of the capacity while limited.
	Demand, Total, Capacity, Share float64
	Slots, Gateways                int
}

// Status returns the present state.
func (l *Limiter) Status(now time.Duration) Status {
	s := Status{Limited: l.limited, Demand: l.demand.PerSecond(now), Total: l.total, Capacity: l.in.Capacity.PerSecond, Slots: l.in.Capacity.Slots, Gateways: l.in.Gateways}
	if l.limited {
		s.Share = l.PerSecond(now)
	}
	return s
}
