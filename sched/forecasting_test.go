package sched

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// simEngine simulates an engine that runs the jobs of a policy, and compares the
// policy's stats with its own counts after each step.
type simEngine struct {
	p   *Forecasting
	now time.Duration
	// queued and active are the emitted tokens of waiting and running jobs.
	queued map[*Job]int
	active map[*Job]int
	// length is the output length of each job in tokens.
	length map[*Job]int
	ended  int
}

func newSimEngine(cfg Config) *simEngine {
	return &simEngine{p: NewForecasting(cfg), queued: map[*Job]int{}, active: map[*Job]int{}, length: map[*Job]int{}}
}

func (e *simEngine) offer(j *Job, length int) {
	e.length[j] = length
	if e.p.Offer(e.now, j).Admission == Refused {
		e.ended++
		return
	}
	e.queued[j] = j.EmittedBefore
}

// step advances time, emits n tokens for each active job and carries out the
// policy's actions.
func (e *simEngine) step(t require.TestingT, n int) {
	e.now += 25 * time.Millisecond * time.Duration(n)
	for j, emitted := range e.active {
		emitted = min(emitted+n, e.length[j])
		e.active[j] = emitted
		e.p.Progress(j, emitted)
		if emitted == e.length[j] {
			delete(e.active, j)
			e.p.Finish(e.now, j, true)
			e.ended++
		}
	}
	for _, act := range e.p.Tick(e.now, nil) {
		switch act.Kind {
		case Start:
			emitted, ok := e.queued[act.Job]
			require.True(t, ok, "started a job that is not waiting")
			delete(e.queued, act.Job)
			e.active[act.Job] = emitted
		case Pause:
			emitted, ok := e.active[act.Job]
			require.True(t, ok, "paused a job that is not running")
			delete(e.active, act.Job)
			e.queued[act.Job] = emitted
		case Expire:
			_, ok := e.queued[act.Job]
			require.True(t, ok, "expired a job that is not waiting")
			require.Zero(t, act.Job.startedAt, "expired a job that has run")
			require.NotZero(t, act.RetryAfter)
			delete(e.queued, act.Job)
			e.ended++
		}
	}
	e.checkStats(t)
}

func (e *simEngine) checkStats(t require.TestingT) {
	used := 0
	for j, emitted := range e.active {
		used += j.PromptTokens + emitted
	}
	s := e.p.Stats()
	require.Equal(t, len(e.active), s.Running)
	require.Equal(t, len(e.queued), s.Queued)
	require.Equal(t, used, s.MemoryUsed)
}

// Teams offer jobs of random sizes at random times. The policy's counts must match
// the engine's, an action must fit the state of its job, and once arrivals stop,
// every job must end: no job starves.
func TestForecastingProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := newSimEngine(Config{Capacity: 4000, MaxBatch: 32, MaxWait: 5 * time.Second})
		offered := 0
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			for range rapid.IntRange(0, 3).Draw(t, "arrivals") {
				offered++
				e.offer(&Job{
					ID:           fmt.Sprint(offered),
					Team:         rapid.SampledFrom([]string{"a", "b", "large"}).Draw(t, "team"),
					Model:        "m",
					Weight:       rapid.Uint32Range(1, 3).Draw(t, "weight"),
					PromptTokens: rapid.IntRange(1, 1500).Draw(t, "prompt"),
				}, rapid.IntRange(1, 3000).Draw(t, "length"))
			}
			e.step(t, rapid.IntRange(1, 40).Draw(t, "tokens"))
		}
		for i := 0; len(e.active)+len(e.queued) > 0; i++ {
			require.Less(t, i, 20000, "jobs starve: %d running, %d waiting", len(e.active), len(e.queued))
			e.step(t, 10)
		}
		require.Equal(t, offered, e.ended)
	})
}

// A large team has borrowed all memory except the reserve. A request of a small
// team must start at once, in the reserve.
func TestSmallTeamNeverWaitsForABorrower(t *testing.T) {
	e := newSimEngine(Config{Capacity: 40000, MaxWait: time.Minute})
	e.offer(&Job{ID: "warm", Team: "small", Model: "m", Weight: 1, PromptTokens: 100}, 50)
	for i := range 300 {
		e.offer(&Job{ID: fmt.Sprint(i), Team: "large", Model: "m", Weight: 1, PromptTokens: 200}, 400+i)
		e.step(t, 5)
	}
	require.NotEmpty(t, e.queued, "the engine must be full")
	small := &Job{ID: "small", Team: "small", Model: "m", Weight: 1, PromptTokens: 100}
	e.offer(small, 50)
	e.step(t, 1)
	require.Contains(t, e.active, small)
}

// BenchmarkDecision measures an offer, a tick and an end with a full batch.
func BenchmarkDecision(b *testing.B) {
	for _, teams := range []int{10, 1500} {
		b.Run(fmt.Sprintf("teams=%d", teams), func(b *testing.B) {
			p := NewForecasting(Config{Capacity: 1 << 20, MaxBatch: 257})
			newJob := func(i int) *Job {
				return &Job{ID: "j", Team: fmt.Sprint("t", i%teams), Model: "m", Weight: 1, PromptTokens: 100}
			}
			for i := range teams {
				j := newJob(i)
				p.Offer(0, j)
				p.Finish(0, j, true)
			}
			for i := range 256 {
				p.Offer(0, newJob(i))
			}
			p.Tick(0, nil)
			j := newJob(1)
			acts := make([]Action, 0, 4)
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				p.Offer(time.Second, j)
				acts = p.Tick(time.Second, acts[:0])
				p.Finish(time.Second, j, true)
			}
		})
	}
}

// BenchmarkToken measures the progress of one token in a batch of 256 jobs.
func BenchmarkToken(b *testing.B) {
	p := NewForecasting(Config{Capacity: 1 << 20, MaxBatch: 257})
	jobs := make([]*Job, 256)
	for i := range jobs {
		jobs[i] = &Job{ID: "j", Team: "t", Model: "m", Weight: 1, PromptTokens: 100}
		p.Offer(0, jobs[i])
	}
	p.Tick(0, nil)
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		p.Progress(jobs[i%256], i/256)
	}
}
