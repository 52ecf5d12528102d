package bench

import (
	"slices"
	"time"

	"kingcupplank.example/kingcup/sched"
)

// Engine describes the simulated engine. It uses continuous batching, and its step time grows with
// the batch, its context and the prompt tokens that it processes.
type Engine struct {
	// Memory is in tokens and is allocated in blocks of blockTokens.
	Memory       int
	BaseStepTime time.Duration
	// PerStream, PerContext and PerPrefill are the step time for one stream, for one thousand
	// tokens of context, and for one prompt token.
	PerStream, PerContext, PerPrefill time.Duration
	// PrefillBudget bounds the prompt tokens of one step.
	PrefillBudget int
	// CachedPromptFraction is the fraction of a prompt that the prefix cache contains when a stream
	// starts for the first time, from recent requests of the same team.
	CachedPromptFraction float64
}

// DefaultEngine resembles a mid-sized model on one server.
func DefaultEngine() Engine {
	return Engine{
		Memory: 64000, BaseStepTime: 20 * time.Millisecond, PerStream: 30 * time.Microsecond,
		PerContext: 30 * time.Microsecond, PerPrefill: 40 * time.Microsecond,
		PrefillBudget: 512, CachedPromptFraction: 0.3,
	}
}

const blockTokens = 16

func roundUpToBlock(tokens int) int { return (tokens + blockTokens - 1) / blockTokens * blockTokens }

// stream is one request that has been offered to the policy and has not ended.
type stream struct {
	job     *sched.Job
	arrival Arrival
	team    *Team
	prefill int
	emitted int
	// lastTokenAt is when the caller got its last token, 0 before the first.
	lastTokenAt time.Duration
	inBatch     bool
}

func (r *stream) context() int { return r.arrival.Prompt + r.emitted }

// simulation runs one policy on one load.
type simulation struct {
	engine   Engine
	policy   sched.Policy
	teams    []Team
	now      time.Duration
	batch    []*stream
	jobs     map[*sched.Job]*stream
	out      *Result
	actions  []sched.Action
	arrivals int
}

// maxDrainTime is longer than the longest output takes with the slowest step.
const maxDrainTime = 15 * time.Minute

// Run measures a policy on a load that ends after length. Streams that run at that time are simulated
// to their end, for at most maxDrainTime.
func Run(e Engine, p sched.Policy, teams []Team, load []Arrival, length time.Duration) *Result {
	s := &simulation{engine: e, policy: p, teams: teams, jobs: make(map[*sched.Job]*stream), out: newResult(teams, length)}
	next := 0
	for s.now < length+maxDrainTime && (next < len(load) || len(s.jobs) > 0) {
		for next < len(load) && load[next].At <= s.now {
			s.offer(load[next])
			next++
		}
		s.applyActions()
		if len(s.batch) == 0 {
			s.advanceIdle(load, next)
			continue
		}
		s.step()
	}
	s.out.Unfinished = len(s.jobs)
	return s.out
}

const idleStep = 10 * time.Millisecond

func (s *simulation) advanceIdle(load []Arrival, next int) {
	s.now += idleStep
	if len(s.jobs) == 0 && next < len(load) {
		s.now = max(s.now, load[next].At)
	}
}

func (s *simulation) offer(a Arrival) {
	t := &s.teams[a.Team]
	s.arrivals++
	j := &sched.Job{
		ID: t.Name + string(rune(s.arrivals)), Team: t.Name, Model: "m", Weight: t.Weight, Level: t.Level,
		PromptTokens: a.Prompt, MaxTokens: MaxTokens, EmittedBefore: a.Emitted, Urgent: a.Emitted > 0,
	}
	s.out.class(t).Offered++
	if d := s.policy.Offer(s.now, j); d.Admission == sched.Refused {
		s.out.class(t).Refused++
		return
	}
	s.jobs[j] = &stream{job: j, arrival: a, team: t, emitted: a.Emitted}
}

func (s *simulation) applyActions() {
	s.actions = s.policy.Tick(s.now, s.actions[:0])
	for _, applyActions := range s.actions {
		r := s.jobs[applyActions.Job]
		switch applyActions.Kind {
		case sched.Start:
			s.start(r)
		case sched.Pause:
			s.removeFromBatch(r)
			s.countPreemption(r)
		case sched.Expire:
			s.out.class(r.team).Refused++
			delete(s.jobs, applyActions.Job)
		}
	}
}

func (s *simulation) start(r *stream) {
	r.prefill = r.context()
	if r.emitted == r.arrival.Emitted {
		r.prefill -= int(s.engine.CachedPromptFraction * float64(r.arrival.Prompt))
	}
	r.inBatch = true
	// Higher priorities come first in the batch and so get the prefill budget first.
	i := len(s.batch)
	for i > 0 && s.batch[i-1].team.Level < r.team.Level {
		i--
	}
	s.batch = slices.Insert(s.batch, i, r)
}

func (s *simulation) removeFromBatch(r *stream) {
	r.inBatch = false
	s.batch = slices.DeleteFunc(s.batch, func(o *stream) bool { return o == r })
}

// countPreemption counts a stream that was removed from the batch. Its context is computed again when
// it continues.
func (s *simulation) countPreemption(r *stream) {
	c := s.out.class(r.team)
	c.Preemptions++
	c.TokensLost += r.context()
}

// step simulates one step of the batch.
func (s *simulation) step() {
	s.freeMemory()
	budget := s.engine.PrefillBudget
	prefillTokens, context := 0, 0
	decodingStreams := 0
	for _, r := range s.batch {
		context += r.context()
		if r.prefill > 0 {
			n := min(budget, r.prefill)
			r.prefill -= n
			budget -= n
			prefillTokens += n
			continue
		}
		decodingStreams++
	}
	s.now += s.engine.BaseStepTime + time.Duration(decodingStreams)*s.engine.PerStream +
		time.Duration(context)*s.engine.PerContext/1000 + time.Duration(prefillTokens)*s.engine.PerPrefill
	s.emit()
}

// emit generates one token of every stream whose prompt is processed.
func (s *simulation) emit() {
	batch := s.batch
	remaining := make([]*stream, 0, len(batch))
	for _, r := range batch {
		if r.prefill > 0 {
			remaining = append(remaining, r)
			continue
		}
		r.emitted++
		s.out.recordToken(r, s.now)
		r.lastTokenAt = s.now
		s.policy.Progress(r.job, r.emitted)
		if r.arrival.Cancel > 0 && r.emitted >= r.arrival.Cancel {
			s.cancel(r)
			continue
		}
		if r.emitted < r.arrival.Length {
			remaining = append(remaining, r)
			continue
		}
		s.out.recordFinished(r)
		delete(s.jobs, r.job)
		s.policy.Finish(s.now, r.job, true)
	}
	s.batch = remaining
}

func (s *simulation) cancel(r *stream) {
	s.out.class(r.team).Canceled++
	delete(s.jobs, r.job)
	s.policy.Finish(s.now, r.job, false)
}

// freeMemory preempts streams until the next token of every stream fits into memory. The engine
// chooses the latest arrival of the lowest priority. It does so whatever the policy is.
func (s *simulation) freeMemory() {
	for {
		used := 0
		for _, r := range s.batch {
			used += roundUpToBlock(r.context() + 1)
		}
		if used <= s.engine.Memory || len(s.batch) == 1 {
			return
		}
		victim := s.batch[0]
		for _, r := range s.batch {
			if isEvictedBefore(r, victim) {
				victim = r
			}
		}
		s.removeFromBatch(victim)
		s.countPreemption(victim)
		s.policy.Evicted(s.now, victim.job)
	}
}

// isEvictedBefore reports whether the engine preempts a before b.
func isEvictedBefore(a, b *stream) bool {
	if a.team.Level != b.team.Level {
		return a.team.Level < b.team.Level
	}
	return a.arrival.At > b.arrival.At
}
