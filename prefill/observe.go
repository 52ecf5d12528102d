package prefill

import (
	"math"
	"time"
)

const (
	// initialStretch is the ratio of a stream's longest pauses beside prompts to the usual pause
	// that is assumed until pauses have been observed: twice for the prompt, 2.5 times for a dip.
	initialStretch = 5
	// stretchQuantile is the share of the time beside prompts in pauses within the stretch. It is high,
	// since one pause in two hundred makes a stream late. Time counts and not pauses, because few
	// pauses fall into a dip, in which each takes long.
	stretchQuantile = 0.95
	// initialMedian is the ratio of the median pause beside prompts that is assumed at first.
	initialMedian = 2
	// quantileGain is how far a pause of the usual length moves an estimate. A gateway sees tens of pauses beside
	// prompts a second, so the stretch falls by a hundredth a second between dips.
	quantileGain = 0.005
	// minRatio and maxRatio bound the ratios.
	minRatio, maxRatio = 1, 20
)

// quantile estimates a quantile of the ratios of pauses, weighted with their length.
type quantile struct{ value float64 }

func (q *quantile) observe(ratio, share, initial float64) {
	value := q.get(initial)
	gain := quantileGain * min(ratio, maxRatio)
	if ratio > value {
		value *= 1 + gain*share
	} else {
		value *= 1 - gain*(1-share)
	}
	q.value = max(minRatio, min(maxRatio, value))
}

func (q *quantile) get(initial float64) float64 {
	if q.value == 0 {
		return initial
	}
	return q.value
}

// besidePrompts is how much longer the pauses of streams are beside prompts than usually. It is learned
// only beside prompts: otherwise it would fall on engines that read none, and these would then be
// given prompts again.
type besidePrompts struct{ high, median quantile }

func (b *besidePrompts) stretch() float64 { return b.high.get(initialStretch) }

// ObserveBesidePrompt records a pause of a stream on an engine that reads a prompt.
func (p *Planner) ObserveBesidePrompt(pause, usual time.Duration) {
	if pause <= 0 || usual <= 0 {
		return
	}
	ratio := float64(pause) / float64(usual)
	p.beside.high.observe(ratio, stretchQuantile, initialStretch)
	p.beside.median.observe(ratio, 0.5, initialMedian)
}

// Stretch returns the expected ratio of a stream's longest pauses beside prompts to the usual pause.
func (p *Planner) Stretch() float64 {
	if p == nil {
		return initialStretch
	}
	return p.beside.stretch()
}

// PromptFactor returns how many times longer than usual a pause beside a prompt usually is.
func (p *Planner) PromptFactor() float64 {
	if p == nil {
		return initialMedian
	}
	return p.beside.median.get(initialMedian)
}

const (
	// dipRatio is the ratio of a pause to the expected one from which on it indicates a dip, if the
	// one before did too. clearDipRatio is the ratio from which on one pause is enough: a busy
	// gateway or link delays single events by a few ms.
	dipRatio, clearDipRatio = 1.6, 2.0
	// dipTime is how long a dip is assumed to last after the last such pause.
	dipTime = 600 * time.Millisecond
	// maxDipRatio bounds the ratio: a stream that a fault holds up says nothing of its engine.
	maxDipRatio = 10
)

// Dip detects that an engine is slower than usual for a short time. The zero value is not in a dip. It
// is not safe for concurrent use.
type Dip struct {
	until time.Duration
	inRow int
}

// Observe adds a pause of a stream of the engine, as a ratio to the expected pause. It reports whether a
// dip begins.
func (d *Dip) Observe(ratio float64, now time.Duration) (begins bool) {
	switch {
	case math.IsNaN(ratio) || ratio > maxDipRatio:
		return false
	case ratio < dipRatio:
		d.inRow, d.until = 0, 0
		return false
	}
	d.inRow++
	if d.inRow < 2 && ratio < clearDipRatio {
		return false
	}
	begins = !d.Active(now)
	d.until = now + dipTime
	return begins
}

// Active reports whether the engine is in a dip.
func (d *Dip) Active(now time.Duration) bool { return now < d.until && now >= d.until-dipTime }
