package concurrency

import (
	"math"
	"time"
)

const (
	// demandTime is the time constant of the average of the arrival rate. Parts must follow demand
	// within a second; a shorter time makes the sum over all gateways fluctuate, which refuses
	// requests below the capacity.
	demandTime = 350 * time.Millisecond
	// minDemandSpan is the time over which the rate of a gateway's first requests is taken. A
	// process that has just started must not count as one with hardly any demand until demandTime
	// has passed.
	minDemandSpan = 200 * time.Millisecond
	// MaxDemand bounds the demand of a gateway in requests per second.
	MaxDemand = 1e5
)

// Demand measures the rate at which requests arrive. The zero value has measured since time zero.
type Demand struct {
	rate          float64
	start, latest time.Duration
}

// NewDemand returns a Demand that measures from a time.
func NewDemand(start time.Duration) Demand { return Demand{start: start, latest: start} }

// Arrived records the arrival of a request.
func (d *Demand) Arrived(now time.Duration) {
	d.decay(now)
	d.rate += perSecond(1, demandTime)
}

// decay moves the average to a time. A time before the latest one counts as the latest one.
func (d *Demand) decay(now time.Duration) {
	if now <= d.latest {
		return
	}
	d.rate *= math.Exp(-float64(now-d.latest) / float64(demandTime))
	d.latest = now
}

// PerSecond returns the rate in requests per second.
func (d *Demand) PerSecond(now time.Duration) float64 {
	d.decay(now)
	span := max(minDemandSpan, d.latest-d.start)
	return bounded(d.rate/(1-math.Exp(-float64(span)/float64(demandTime))), 0, MaxDemand)
}

// Decay returns what is left of a measured rate after a time without arrivals.
func Decay(perSecond float64, age time.Duration) float64 {
	return perSecond * math.Exp(-float64(max(0, age))/float64(demandTime))
}

// PeerDemand is what is known of the demand of the other gateways.
type PeerDemand struct {
	// Sum is the sum of the demands of Heard gateways, in requests per second.
	Sum   float64
	Heard int
	// SilentSum is the sum of the last reports of Silent gateways, which are not heard any more.
	SilentSum float64
	Silent    int
}

// Add adds the report of a gateway. It reports false for a rate that is out of range or not a
// number; that gateway counts as one that is not heard.
func (p *PeerDemand) Add(perSecond float64) bool {
	if !(perSecond >= 0 && perSecond <= MaxDemand) {
		return false
	}
	p.Sum += perSecond
	p.Heard++
	return true
}

// AddSilent adds the last report of a gateway that is not heard any more. It reports false as Add does.
func (p *PeerDemand) AddSilent(perSecond float64) bool {
	if !(perSecond >= 0 && perSecond <= MaxDemand) {
		return false
	}
	p.SilentSum += perSecond
	p.Silent++
	return true
}

// crowdedFactor is the ratio of the mean demand of the known gateways to that which others reported last from which
// on the callers of the others have come to them.
const crowdedFactor = 3

// Total returns the demand of all gateways. The gateways that are not heard count with the mean of
// those that are known, this one included. Where that is far more than what gateways have reported before they fell
// silent, they count with the mean of these reports: the callers of gateways that have died come to the others.
func (p PeerDemand) Total(own float64, gateways int) float64 {
	known := own + p.Sum
	mean := known / float64(p.Heard+1)
	if p.Silent > 0 {
		if before := p.SilentSum / float64(p.Silent); before*crowdedFactor < mean {
			mean = before
		}
	}
	return known + mean*float64(max(0, gateways-p.Heard-1))
}
