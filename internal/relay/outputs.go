package relay

import (
	"sync"

	"kingcupplank.example/kingcup/forecast"
)

// outputForecasts estimates the lengths of the generations of each route. It is safe for
// concurrent use; no other lock is taken while its mu is locked.
type outputForecasts struct {
	mu      sync.Mutex
	byRoute map[string]*forecast.OutputEstimator
}

func newOutputForecasts() *outputForecasts {
	return &outputForecasts{byRoute: make(map[string]*forecast.OutputEstimator)}
}

// forRoute returns the estimator of a route; mu must be locked.
func (o *outputForecasts) forRoute(route string) *forecast.OutputEstimator {
	f := o.byRoute[route]
	if f == nil {
		f = forecast.NewOutputEstimator()
		o.byRoute[route] = f
	}
	return f
}

func (o *outputForecasts) estimate(route string, hint forecast.CallerHint, tokens int) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.forRoute(route).ExpectedTokens(hint, tokens)
}

func (o *outputForecasts) observe(route string, tokens int, hint forecast.CallerHint) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.forRoute(route).Observe(tokens, hint)
}

// callerHint returns what the caller stated about the length of its generation.
func (j *job) callerHint() forecast.CallerHint {
	return forecast.CallerHint{EstimatedTokens: j.Generation.EstimatedOutput, MaxTokens: j.Generation.MaxOutput}
}

// tokensPerEvent returns the number of tokens in an event.
func (j *job) tokensPerEvent() int {
	if j.engine == nil {
		return 1
	}
	return max(1, j.engine.TokensPerEvent)
}

// expectedTokens returns the expected total output, in tokens, of a generation that has produced
// eventCount events.
func (j *job) expectedTokens(eventCount int) int {
	return j.forecasts.estimate(j.route.Name, j.callerHint(), eventCount*j.tokensPerEvent())
}

// expectedEvents returns the expected total number of events of a generation that has produced
// eventCount events.
func (j *job) expectedEvents(eventCount int) int {
	return j.expectedTokens(eventCount) / j.tokensPerEvent()
}

const (
	// maxCountedGrowth is the number of tokens of a run's future growth that count as memory in
	// use: three seconds at the usual pace. Counting the whole expected output leaves a tenth of
	// each engine empty, as the runs of a batch do not peak at the same time: in three seconds a
	// third of them ends, and each of these frees ten times as many tokens as a run grows by.
	maxCountedGrowth = 300
	// memoryUpdateInterval is the number of events after which a run's expected memory is
	// updated: half a second at the usual pace.
	memoryUpdateInterval = 12
)

// expectedMemory returns the memory, in tokens, that a generation which has produced eventCount
// events is expected to need.
func (j *job) expectedMemory(eventCount int) int {
	if j.Generation == nil {
		return 0
	}
	tokens := eventCount * j.tokensPerEvent()
	return j.promptTokens() + tokens + min(maxCountedGrowth, j.expectedTokens(eventCount)-tokens)
}
