// Package admission decides which queued generation gets the next free memory of a service's
// engines, and which one is refused on arrival.
//
// It is for services whose generations differ by far in the memory and time that they take, and
// whose callers give the long ones at least twice as much time to the first token as the short
// ones. There, a short generation that waits behind long ones misses its target for memory that
// it needs for a fraction of a second, while a long one that lets it pass still is on time.
// Services of another kind are served in the order of package flow.
//
// The package does no I/O and reads no clock. Its types must not be used by several goroutines at
// the same time.
package admission

import "time"

const (
	// lightDivisor is the part of the average memory-time product up to which a generation is
	// light. Short generations with prompts of twice their usual length take a sixth of the average of
	// long ones. Serving one then costs long ones a quarter of one generation's memory at most.
	lightDivisor = 4
	// targetRatio is the ratio of latency targets from which on the order of this package
	// applies. A long generation that waits as long as a light one may wait then has half of its
	// own target left.
	targetRatio = 2
	// averageMass is the weight of the generations that an average is made of, in generations of the
	// average product.
	averageMass = 20
	// maxProductRatio bounds the product of one generation, as a multiple of the average once that is
	// made of minMass generations, so that one absurd length hint does not make all others light.
	maxProductRatio, minMass = 4, 4
	// maxTokens and maxTime bound what is believed of one generation: more than any engine holds,
	// and longer than any caller waits.
	maxTokens = 1 << 24
	maxTime   = 10 * time.Minute
)

// Demand is what a generation needs.
type Demand struct {
	// Tokens is its expected memory, Time the expected time from the start of its prompt to its
	// end. Target is its latency target, 0 if there is none.
	Tokens int
	Time   time.Duration
	Target time.Duration
}

// tokens returns the expected memory within its bounds.
func (d Demand) tokens() float64 { return float64(max(0, min(maxTokens, d.Tokens))) }

// Product returns the expected memory-time product in token seconds.
func (d Demand) Product() float64 {
	return d.tokens() * max(0, min(maxTime, d.Time)).Seconds()
}

// average is a weighted moving average.
type average struct{ sum, mass float64 }

// add adds a value. Older values count maxMass together at most.
func (a *average) add(value, weight, maxMass float64) {
	a.sum += value * weight
	a.mass += weight
	if a.mass > maxMass {
		a.sum *= maxMass / a.mass
		a.mass = maxMass
	}
}

// value returns the average, 0 without any value.
func (a *average) value() float64 {
	if a.mass <= 0 {
		return 0
	}
	return a.sum / a.mass
}

// Kinds tells light generations of a service from the others. The zero value has observed none.
type Kinds struct {
	// product is the average product, and otherTarget the average latency target in seconds of
	// generations that are not light, both weighted by the product.
	product, otherTarget average
	// lightTarget is the average latency target of light generations in seconds.
	lightTarget average
}

// IsLight reports whether a generation is light: its product is at most a quarter of the average.
func (k *Kinds) IsLight(d Demand) bool {
	p := d.Product()
	return p > 0 && p*lightDivisor <= k.product.value()
}

// Observe records an arriving generation.
//
// Its weight is its product, so that the average stays that of the generations that fill the engines:
// in a surge of short ones, long ones don't become the exception.
func (k *Kinds) Observe(d Demand) {
	p := d.Product()
	if p <= 0 {
		return
	}
	if mean := k.product.value(); k.product.mass > minMass*mean {
		p = min(p, maxProductRatio*mean)
	}
	k.product.add(p, p, averageMass*max(p, k.product.value()))
	switch target := d.Target.Seconds(); {
	case target <= 0:
	case k.IsLight(d):
		k.lightTarget.add(target, 1, averageMass)
	default:
		k.otherTarget.add(target, p, averageMass*k.product.value())
	}
}

// AreSeparate reports whether the order of this package may apply: the latency target of the
// generations that are not light is at least twice that of the light ones.
func (k *Kinds) AreSeparate() bool {
	light := k.lightTarget.value()
	return light > 0 && k.otherTarget.value() >= targetRatio*light
}
