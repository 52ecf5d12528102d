package relay

import (
	"sync"

	"kingcupplank.example/kingcup/forecast"
)

// outputs estimates the lengths of the generations of each route. It is safe for
// concurrent use; its lock is a leaf.
type outputs struct {
	mu      sync.Mutex
	byRoute map[string]*forecast.OutputEstimator
}

func newOutputs() *outputs { return &outputs{byRoute: make(map[string]*forecast.OutputEstimator)} }

// of returns the estimator of a route; mu is held.
func (o *outputs) of(route string) *forecast.OutputEstimator {
	f := o.byRoute[route]
	if f == nil {
		f = forecast.NewOutputEstimator()
		o.byRoute[route] = f
	}
	return f
}

func (o *outputs) expect(route string, said forecast.CallerHint, made int) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.of(route).ExpectedTokens(said, made)
}

func (o *outputs) observe(route string, tokens int, said forecast.CallerHint) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.of(route).Observe(tokens, said)
}

// said is what the caller says of its generation's output.
func (j *job) said() forecast.CallerHint {
	return forecast.CallerHint{EstimatedTokens: j.Generation.EstimatedOutput, MaxTokens: j.Generation.MaxOutput}
}

// perEvent is the number of tokens in an event.
func (j *job) perEvent() int {
	if j.engine == nil {
		return 1
	}
	return max(1, j.engine.TokensPerEvent)
}

// expect is the expected output, in tokens, of a generation that has made some
// events.
func (j *job) expect(made int) int {
	return j.outputs.expect(j.route.Name, j.said(), made*j.perEvent())
}

// events is the expected number of events of a generation that has made some.
func (j *job) events(made int) int { return j.expect(made) / j.perEvent() }

const (
	// growthAhead is how many tokens of a run's growth are counted as memory in use:
	// three seconds at the usual pace. Counting all that a run will ever make leaves
	// a tenth of each engine empty, as runs of a batch do not peak together: in three
	// seconds a third of them ends, and each frees ten times that much.
	growthAhead = 300
	// reviseEvery is the events after which a run's memory is counted anew: half a
	// second at the usual pace.
	reviseEvery = 12
)

// memory is the memory, in tokens, that a generation which has made some events is
// taken to need.
func (j *job) memory(made int) int {
	if j.Generation == nil {
		return 0
	}
	tokens := made * j.perEvent()
	return j.prompt() + tokens + min(growthAhead, j.expect(made)-tokens)
}
