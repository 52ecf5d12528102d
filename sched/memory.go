package sched

import (
	"math"

	"kingcupplank.example/kingcup/forecast"
)

// horizons are the distances ahead, in tokens, at which the batch's memory is
// forecast. Running streams advance at the same rate, so a distance in tokens
// is the same moment for all.
var horizons = [...]float64{1, 64, 192, 512, 1024, 2048, 4096, 8192}

const numHorizons = len(horizons)

// shareHorizon is the horizon by which a team's use is compared to its share.
const shareHorizon = 1

// refreshEvery is how many tokens a stream may advance before its contribution
// is computed anew.
const refreshEvery = 32

// contribution is what one stream adds to the forecast of the batch.
type contribution struct {
	mean, variance [numHorizons]float64
	at             int
}

// memory is the forecast of a batch: sums over its streams at each horizon.
type memory struct {
	used           int
	mean, variance [numHorizons]float64
}

func (m *memory) add(c *contribution, sign float64) {
	for k := range horizons {
		m.mean[k] += sign * c.mean[k]
		m.variance[k] += sign * c.variance[k]
	}
}

// peak is the forecast peak with extra on top, at sigmas standard deviations.
func (m *memory) peak(extra *contribution, sigmas float64) float64 {
	worst := 0.0
	for k := range horizons {
		mean := m.mean[k] + extra.mean[k]
		variance := max(0, m.variance[k]+extra.variance[k])
		worst = max(worst, mean+sigmas*math.Sqrt(variance))
	}
	return worst
}

// contribute computes what a stream with prompt and emitted tokens adds. A
// stream that is still alive at a horizon holds its whole context then; one
// that has ended holds nothing.
func contribute(l *forecast.LengthHistogram, prompt, emitted, maxTokens int) contribution {
	c := contribution{at: emitted}
	now := l.Survival(float64(emitted))
	for k, ahead := range horizons {
		if maxTokens > 0 && emitted+int(ahead) > maxTokens {
			break
		}
		alive := 0.5
		if now > 0 {
			alive = min(1, l.Survival(float64(emitted)+ahead)/now)
		}
		size := float64(prompt+emitted) + ahead
		c.mean[k] = alive * size
		c.variance[k] = alive * (1 - alive) * size * size
	}
	return c
}
