package sched

import (
	"math"

	"kingcupplank.example/kingcup/forecast"
)

// horizons are the distances ahead, in tokens, for which the memory of the batch
// is forecast. Running streams advance at the same rate, so a distance in tokens
// is the same moment for all of them.
var horizons = [...]float64{1, 64, 192, 512, 1024, 2048, 4096, 8192}

const numHorizons = len(horizons)

// shareHorizon is the index in horizons at which the use of a team is compared
// with its share.
const shareHorizon = 1

// refreshTokens is the number of tokens that a stream may emit before its
// contribution is computed again.
const refreshTokens = 32

// contribution is the memory that one stream adds to the forecast of the batch,
// in tokens at each horizon.
type contribution struct {
	mean, variance [numHorizons]float64
	// emitted is the stream's token count for which this was computed.
	emitted int
}

// batchForecast is the memory of a batch in tokens: used now, and the sum of its
// contributions at each horizon.
type batchForecast struct {
	used           int
	mean, variance [numHorizons]float64
}

// add adds c if sign is 1 and subtracts it if sign is -1.
func (b *batchForecast) add(c *contribution, sign float64) {
	for k := range horizons {
		b.mean[k] += sign * c.mean[k]
		b.variance[k] += sign * c.variance[k]
	}
}

// peak returns the highest forecast over all horizons with extra added, at
// sigmas standard deviations above the mean.
func (b *batchForecast) peak(extra *contribution, sigmas float64) float64 {
	highest := 0.0
	for k := range horizons {
		mean := b.mean[k] + extra.mean[k]
		variance := max(0, b.variance[k]+extra.variance[k])
		highest = max(highest, mean+sigmas*math.Sqrt(variance))
	}
	return highest
}

// newContribution computes the contribution of a stream. At each horizon the
// stream uses its whole context if it still runs, and nothing if it has ended. l
// gives the probability that it still runs. If l has no output as long as emitted,
// the probability is taken as one half.
func newContribution(l *forecast.LengthHistogram, prompt, emitted, maxTokens int) contribution {
	c := contribution{emitted: emitted}
	survivalNow := l.Survival(float64(emitted))
	for k, ahead := range horizons {
		if maxTokens > 0 && emitted+int(ahead) > maxTokens {
			break
		}
		runProbability := 0.5
		if survivalNow > 0 {
			runProbability = min(1, l.Survival(float64(emitted)+ahead)/survivalNow)
		}
		size := float64(prompt+emitted) + ahead
		c.mean[k] = runProbability * size
		c.variance[k] = runProbability * (1 - runProbability) * size * size
	}
	return c
}
