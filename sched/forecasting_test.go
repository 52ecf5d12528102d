package sched

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// world drives a policy with jobs of drawn lengths and checks its counts.
type world struct {
	p      *Forecasting
	now    time.Duration
	queued map[*Job]int
	active map[*Job]int
	length map[*Job]int
	ended  int
}

func newWorld(cfg Config) *world {
	return &world{p: NewForecasting(cfg), queued: map[*Job]int{}, active: map[*Job]int{}, length: map[*Job]int{}}
}

func (w *world) offer(j *Job, length int) {
	w.length[j] = length
	if w.p.Offer(w.now, j).Admission == Refused {
		w.ended++
		return
	}
	w.queued[j] = j.EmittedBefore
}

// step lets time pass, every active job emit n tokens, and the policy act.
func (w *world) step(t require.TestingT, n int) {
	w.now += 25 * time.Millisecond * time.Duration(n)
	for j, emitted := range w.active {
		emitted = min(emitted+n, w.length[j])
		w.active[j] = emitted
		w.p.Progress(j, emitted)
		if emitted == w.length[j] {
			delete(w.active, j)
			w.p.Finish(w.now, j, true)
			w.ended++
		}
	}
	for _, act := range w.p.Tick(w.now, nil) {
		switch act.Kind {
		case Start:
			emitted, ok := w.queued[act.Job]
			require.True(t, ok, "started a job that does not wait")
			delete(w.queued, act.Job)
			w.active[act.Job] = emitted
		case Pause:
			emitted, ok := w.active[act.Job]
			require.True(t, ok, "paused a job that does not run")
			delete(w.active, act.Job)
			w.queued[act.Job] = emitted
		case Expire:
			_, ok := w.queued[act.Job]
			require.True(t, ok, "gave up a job that does not wait")
			require.Zero(t, act.Job.started, "gave up a job that has run")
			require.NotZero(t, act.RetryAfter)
			delete(w.queued, act.Job)
			w.ended++
		}
	}
	w.check(t)
}

func (w *world) check(t require.TestingT) {
	used := 0
	for j, emitted := range w.active {
		used += j.PromptTokens + emitted
	}
	s := w.p.Stats()
	require.Equal(t, len(w.active), s.Running)
	require.Equal(t, len(w.queued), s.Queued)
	require.Equal(t, used, s.MemoryUsed)
}

// Jobs of any size come from any team at any time. The policy's counts must match
// the engine's, no job may start, pause or be given up out of turn, and once
// arrivals end every job must end too: nobody starves.
func TestForecastingProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(Config{Capacity: 4000, MaxBatch: 32, MaxWait: 5 * time.Second})
		offered := 0
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			for range rapid.IntRange(0, 3).Draw(t, "arrivals") {
				offered++
				w.offer(&Job{
					ID:           fmt.Sprint(offered),
					Team:         rapid.SampledFrom([]string{"a", "b", "large"}).Draw(t, "team"),
					Model:        "m",
					Weight:       rapid.Uint32Range(1, 3).Draw(t, "weight"),
					PromptTokens: rapid.IntRange(1, 1500).Draw(t, "prompt"),
				}, rapid.IntRange(1, 3000).Draw(t, "length"))
			}
			w.step(t, rapid.IntRange(1, 40).Draw(t, "tokens"))
		}
		for i := 0; len(w.active)+len(w.queued) > 0; i++ {
			require.Less(t, i, 20000, "jobs starve: %d run, %d wait", len(w.active), len(w.queued))
			w.step(t, 10)
		}
		require.Equal(t, offered, w.ended)
	})
}

// A large team has taken all memory by borrowing. A small team's request must
// start at once, from the reserve.
func TestSmallTeamNeverWaitsForABorrower(t *testing.T) {
	w := newWorld(Config{Capacity: 40000, MaxWait: time.Minute})
	w.offer(&Job{ID: "warm", Team: "small", Model: "m", Weight: 1, PromptTokens: 100}, 50)
	for i := range 300 {
		w.offer(&Job{ID: fmt.Sprint(i), Team: "large", Model: "m", Weight: 1, PromptTokens: 200}, 400+i)
		w.step(t, 5)
	}
	require.NotEmpty(t, w.queued, "the test needs a full engine to say anything")
	small := &Job{ID: "small", Team: "small", Model: "m", Weight: 1, PromptTokens: 100}
	w.offer(small, 50)
	w.step(t, 1)
	require.Contains(t, w.active, small)
}

func BenchmarkDecision(b *testing.B) {
	for _, teams := range []int{10, 1500} {
		b.Run(fmt.Sprintf("teams=%d", teams), func(b *testing.B) {
			p := NewForecasting(Config{Capacity: 1 << 20, MaxBatch: 257})
			job := func(i int) *Job {
				return &Job{ID: "j", Team: fmt.Sprint("t", i%teams), Model: "m", Weight: 1, PromptTokens: 100}
			}
			for i := range teams {
				j := job(i)
				p.Offer(0, j)
				p.Finish(0, j, true)
			}
			for i := range 256 {
				p.Offer(0, job(i))
			}
			p.Tick(0, nil)
			j := job(1)
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
