// Package pace estimates how fast a model engine generates, from the pauses between the events of
// its streams. Engines of one service differ in speed, and a stream is late as soon as one of its
// pauses is too long. The package does no I/O and reads no clock.
package pace

import (
	"slices"
	"time"
)

const (
	// window is the number of pauses that an estimate is made from. A low quantile of them ignores
	// the pauses that prompts and short dips of an engine lengthen.
	window = 15
	// quantileDivisor gives the quantile: the pause that a third of the others are below.
	quantileDivisor = 3
	// minPauses is the number of pauses below which there is no estimate.
	minPauses = 3
	// sampleInterval is the least time between two pauses of a full window. An engine may be slower
	// for half a second, which must not fill the window.
	sampleInterval = 150 * time.Millisecond
	// freePauses is the number of pauses that are taken without sampleInterval.
	freePauses = 10
	// remoteWeight is the weight of a report of another process in the estimate.
	remoteWeight = 0.25
	// maxPause bounds a pause. A stream that a fault holds up says nothing of its engine.
	maxPause = 2 * time.Second
	// maxAge is how long an estimate holds after the last pause. Short streams, which go to engines
	// of any pace, renew the estimate of a slow one.
	maxAge = 2 * time.Minute
)

// Estimator estimates the usual pause of an engine. The zero value has no estimate. It is not
// safe for concurrent use.
type Estimator struct {
	pauses []time.Duration
	next   int
	// usual is the quantile of pauses, 0 if there are too few. at is when it last changed.
	usual time.Duration
	at    time.Duration
}

// Observe adds a pause between two events, of which each has as many tokens as any other.
func (e *Estimator) Observe(pause, now time.Duration) {
	if pause < 0 || pause > maxPause {
		return
	}
	if now-e.at > maxAge {
		e.pauses, e.next = e.pauses[:0], 0
	}
	if len(e.pauses) >= freePauses && now-e.at < sampleInterval {
		return
	}
	e.at = now
	if len(e.pauses) < window {
		e.pauses = append(e.pauses, pause)
	} else {
		e.pauses[e.next] = pause
	}
	e.next = (e.next + 1) % window
	e.usual = 0
	if len(e.pauses) >= minPauses {
		var sorted [window]time.Duration
		n := copy(sorted[:], e.pauses)
		slices.Sort(sorted[:n])
		e.usual = sorted[n/quantileDivisor]
	}
}

// Merge moves the estimate towards that of another process.
func (e *Estimator) Merge(pause, now time.Duration) {
	if pause <= 0 || pause > maxPause {
		return
	}
	if old := e.Pause(now); old > 0 {
		pause = old + time.Duration(remoteWeight*float64(pause-old))
	}
	e.usual, e.at = pause, now
}

// Pause returns the usual pause, 0 if it is not known.
func (e *Estimator) Pause(now time.Duration) time.Duration {
	if now-e.at > maxAge {
		return 0
	}
	return e.usual
}

const (
	// initialStretch is the ratio of the longest pause of a long stream to the usual one that is
	// assumed until streams have been observed.
	initialStretch = 4
	// stretchQuantile is the share of streams whose longest pause is expected to stay within the
	// ratio, stretchGain how far a stream moves it.
	stretchQuantile = 0.9
	stretchGain     = 0.05
	// minStretchEvents is the least number of events of a stream whose longest pause counts.
	minStretchEvents = 30
	// minStretch and maxStretch bound the ratio.
	minStretch, maxStretch = 1, 20
)

// Stretch is how much longer the longest pause of a stream is than the usual pause of its engine in
// all but a few streams: prompts that the engine reads beside it and short dips lengthen some
// pauses. The zero value has the initial ratio. It is not safe for concurrent use.
type Stretch struct {
	ratio float64
}

// Observe adds a finished stream with a number of events, whose engine has a usual pause.
func (s *Stretch) Observe(longest, usual time.Duration, events int) {
	if usual <= 0 || longest <= 0 || events < minStretchEvents {
		return
	}
	ratio := s.Ratio()
	if float64(longest) > ratio*float64(usual) {
		ratio *= 1 + stretchGain*stretchQuantile
	} else {
		ratio *= 1 - stretchGain*(1-stretchQuantile)
	}
	s.ratio = max(minStretch, min(maxStretch, ratio))
}

// Ratio returns the expected ratio.
func (s *Stretch) Ratio() float64 {
	if s.ratio == 0 {
		return initialStretch
	}
	return s.ratio
}
