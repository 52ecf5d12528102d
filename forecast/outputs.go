package forecast

import "math"

// CallerHint is what a caller says of a generation's output.
type CallerHint struct {
	// EstimatedTokens is the caller's estimate in tokens, 0 if none.
	EstimatedTokens int
	// MaxTokens is the largest output that the caller takes, 0 for no bound.
	MaxTokens int
}

const (
	// startLog and startSpread describe outputs before one has been seen: a median
	// of 240 tokens, two thirds between 90 and 650. They hold until some ten
	// generations have ended.
	startLog, startSpread = 5.5, 1.0
	// startHintSpread is the spread assumed of callers' estimates, in logarithms:
	// right at the median, often wrong by a factor of three.
	startHintSpread = 1.1
	// startWeight is how many observations these are worth.
	startWeight = 6
	// leastSpread keeps estimates from becoming certain after a few equal outputs.
	leastSpread = 0.1
)

// OutputEstimator estimates how long a generation becomes from what its caller says, from
// how long those of its kind became, and from how long it is already. Lengths and
// the errors of callers' estimates are taken to be lognormal; what it learns of
// either decides how much each of them counts.
//
// A value is for one goroutine at a time.
type OutputEstimator struct {
	lengths, errors moments
}

// NewOutputEstimator returns an estimator that has seen nothing.
func NewOutputEstimator() *OutputEstimator {
	return &OutputEstimator{
		lengths: newMoments(startLog, startSpread),
		errors:  newMoments(0, startHintSpread),
	}
}

// Observe notes a generation that ended by itself.
func (o *OutputEstimator) Observe(tokens int, said CallerHint) {
	if tokens <= 0 {
		return
	}
	length := math.Log(float64(tokens))
	o.lengths.add(length)
	if said.EstimatedTokens > 0 {
		o.errors.add(math.Log(float64(said.EstimatedTokens)) - length)
	}
}

// ExpectedTokens is the mean output, in tokens, of a generation that has made some tokens
// and goes on.
func (o *OutputEstimator) ExpectedTokens(said CallerHint, made int) int {
	mean, spread := o.lengths.mean, o.lengths.spread()
	if said.EstimatedTokens > 0 {
		// The two are weighed by their certainty.
		wrong := o.errors.spread()
		weight := spread * spread / (spread*spread + wrong*wrong)
		mean += weight * (math.Log(float64(said.EstimatedTokens)) - o.errors.mean - mean)
		spread *= math.Sqrt(1 - weight)
	}
	return longerThan(mean, spread, made, said.MaxTokens)
}

// longerThan is the mean of a lognormal length that is longer than made, where
// lengths beyond most end there.
func longerThan(mean, spread float64, made, most int) int {
	if most > 0 && made >= most {
		return made
	}
	from := math.Log(math.Max(1, float64(made)))
	left := normal((mean - from) / spread)
	if left < 1e-6 {
		// Far longer than anything that is likely; the lognormal says nothing here.
		return bounded(made+made/4, most)
	}
	whole := math.Exp(mean + spread*spread/2)
	sum := whole * normal((mean+spread*spread-from)/spread)
	if most > 0 {
		to := math.Log(float64(most))
		sum += float64(most)*normal((mean-to)/spread) - whole*normal((mean+spread*spread-to)/spread)
	}
	return bounded(max(made, int(sum/left)), most)
}

func bounded(tokens, most int) int {
	if most > 0 {
		return min(tokens, most)
	}
	return tokens
}

// normal is the distribution function of the standard normal.
func normal(x float64) float64 { return math.Erfc(-x/math.Sqrt2) / 2 }

// moments are a running mean and variance; the start counts as some observations,
// and about the last few hundred count.
type moments struct {
	mean, variance, weight float64
}

// mostWeight bounds the weight of the past, so that a change is followed.
const mostWeight = 300

func newMoments(mean, spread float64) moments {
	return moments{mean: mean, variance: spread * spread, weight: startWeight}
}

func (m *moments) add(x float64) {
	m.weight = min(m.weight+1, mostWeight)
	delta := x - m.mean
	m.mean += delta / m.weight
	m.variance += (delta*(x-m.mean) - m.variance) / m.weight
}

func (m *moments) spread() float64 { return max(leastSpread, math.Sqrt(m.variance)) }
