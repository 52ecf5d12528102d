package forecast

import "math"

// CallerHint is what a caller states about the output of a generation.
type CallerHint struct {
	// EstimatedTokens is the caller's estimate of the output, 0 if there is none.
	EstimatedTokens int
	// MaxTokens is the largest output that the caller accepts, 0 for no bound.
	MaxTokens int
}

const (
	// initialLog and initialSpread are the mean and the standard deviation of the logarithm
	// of the output before any output has been observed: a median of 240 tokens, and two
	// thirds of the outputs between 90 and 650. They dominate until some ten generations
	// have ended.
	initialLog, initialSpread = 5.5, 1.0
	// initialHintSpread is the assumed standard deviation of the logarithm of the error of
	// callers' estimates: correct at the median, often wrong by a factor of three.
	initialHintSpread = 1.1
	// initialWeight is the weight of these initial values in observations.
	initialWeight = 6
	// minSpread prevents estimates from becoming certain after a few equal outputs.
	minSpread = 0.1
)

// OutputEstimator estimates the length of a generation's output from what its caller
// states, from the lengths of finished generations of the same kind, and from its length so
// far. It models lengths and the errors of callers' estimates as lognormal. The observed
// spread of each determines its weight.
//
// A value must not be used by several goroutines at the same time.
type OutputEstimator struct {
	lengths, errors moments
}

// NewOutputEstimator returns an estimator without observations.
func NewOutputEstimator() *OutputEstimator {
	return &OutputEstimator{
		lengths: newMoments(initialLog, initialSpread),
		errors:  newMoments(0, initialHintSpread),
	}
}

// Observe records the output length of a generation that was not cut short.
func (o *OutputEstimator) Observe(tokens int, hint CallerHint) {
	if tokens <= 0 {
		return
	}
	length := math.Log(float64(tokens))
	o.lengths.add(length)
	if hint.EstimatedTokens > 0 {
		o.errors.add(math.Log(float64(hint.EstimatedTokens)) - length)
	}
}

// ExpectedTokens returns the mean total output, in tokens, of a running generation that
// has already emitted some tokens.
func (o *OutputEstimator) ExpectedTokens(hint CallerHint, emitted int) int {
	mean, spread := o.lengths.mean, o.lengths.spread()
	if hint.EstimatedTokens > 0 {
		// Observed lengths and the estimate are weighted by their inverse variances.
		hintSpread := o.errors.spread()
		weight := spread * spread / (spread*spread + hintSpread*hintSpread)
		mean += weight * (math.Log(float64(hint.EstimatedTokens)) - o.errors.mean - mean)
		spread *= math.Sqrt(1 - weight)
	}
	return truncatedMean(mean, spread, emitted, hint.MaxTokens)
}

// truncatedMean returns the mean of a lognormal length on condition that it is longer than
// emitted. mean and spread are those of the logarithm of the length. Lengths above maxTokens
// count as maxTokens.
func truncatedMean(mean, spread float64, emitted, maxTokens int) int {
	if maxTokens > 0 && emitted >= maxTokens {
		return emitted
	}
	from := math.Log(math.Max(1, float64(emitted)))
	survival := normalCDF((mean - from) / spread)
	if survival < 1e-6 {
		// The lognormal gives no usable estimate so far out in its tail.
		return bounded(emitted+emitted/4, maxTokens)
	}
	unboundedMean := math.Exp(mean + spread*spread/2)
	sum := unboundedMean * normalCDF((mean+spread*spread-from)/spread)
	if maxTokens > 0 {
		to := math.Log(float64(maxTokens))
		sum += float64(maxTokens)*normalCDF((mean-to)/spread) - unboundedMean*normalCDF((mean+spread*spread-to)/spread)
	}
	return bounded(max(emitted, int(sum/survival)), maxTokens)
}

func bounded(tokens, maxTokens int) int {
	if maxTokens > 0 {
		return min(tokens, maxTokens)
	}
	return tokens
}

// normalCDF is the cumulative distribution function of the standard normal distribution.
func normalCDF(x float64) float64 { return math.Erfc(-x/math.Sqrt2) / 2 }

// moments are a running mean and variance. The initial values weigh as much as some
// observations, and about the last few hundred observations count.
type moments struct {
	mean, variance, weight float64
}

// maxWeight bounds the weight of older observations, so that the estimate adapts to a
// change of the distribution.
const maxWeight = 300

func newMoments(mean, spread float64) moments {
	return moments{mean: mean, variance: spread * spread, weight: initialWeight}
}

func (m *moments) add(x float64) {
	m.weight = min(m.weight+1, maxWeight)
	delta := x - m.mean
	m.mean += delta / m.weight
	m.variance += (delta*(x-m.mean) - m.variance) / m.weight
}

func (m *moments) spread() float64 { return max(minSpread, math.Sqrt(m.variance)) }
