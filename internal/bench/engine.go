package bench

import (
	"slices"
	"time"

	"kingcupplank.example/kingcup/sched"
)

// Engine describes the fake engine: continuous batching with a step time that
// grows with the batch, its context and the prompt tokens taken in.
type Engine struct {
	// Memory is in tokens, given out in blocks.
	Memory int
	Base   time.Duration
	// PerStream, PerContext and PerPrefill are the cost of one stream, of one
	// thousand tokens of context, and of one prompt token in a step.
	PerStream, PerContext, PerPrefill time.Duration
	// PrefillBudget bounds the prompt tokens of one step.
	PrefillBudget int
	// CachedPrompt is the share of a prompt that the prefix cache holds when a
	// team has run lately.
	CachedPrompt float64
}

// DefaultEngine is like a mid-sized model on one server.
func DefaultEngine() Engine {
	return Engine{
		Memory: 64000, Base: 20 * time.Millisecond, PerStream: 30 * time.Microsecond,
		PerContext: 30 * time.Microsecond, PerPrefill: 40 * time.Microsecond,
		PrefillBudget: 512, CachedPrompt: 0.3,
	}
}

const block = 16

func blocks(tokens int) int { return (tokens + block - 1) / block * block }

// running is one stream at the engine.
type running struct {
	job     *sched.Job
	arrival Arrival
	team    *Team
	prefill int
	emitted int
	// last is when the caller got its last token; 0 before the first.
	last    time.Duration
	onBatch bool
}

func (r *running) context() int { return r.arrival.Prompt + r.emitted }

// sim runs one policy over one load.
type sim struct {
	engine   Engine
	policy   sched.Policy
	teams    []Team
	now      time.Duration
	batch    []*running
	jobs     map[*sched.Job]*running
	out      *Result
	acts     []sched.Action
	arrivals int
}

// followFor is longer than the longest output takes at the slowest step.
const followFor = 15 * time.Minute

// Run measures a policy over a load that ends after length; streams that run
// then are followed to their end.
func Run(e Engine, p sched.Policy, teams []Team, load []Arrival, length time.Duration) *Result {
	s := &sim{engine: e, policy: p, teams: teams, jobs: make(map[*sched.Job]*running), out: newResult(teams, length)}
	next := 0
	for s.now < length+followFor && (next < len(load) || len(s.jobs) > 0) {
		for next < len(load) && load[next].At <= s.now {
			s.offer(load[next])
			next++
		}
		s.act()
		if len(s.batch) == 0 {
			s.idle(load, next)
			continue
		}
		s.step()
	}
	s.out.Unfinished = len(s.jobs)
	return s.out
}

const idleStep = 10 * time.Millisecond

func (s *sim) idle(load []Arrival, next int) {
	s.now += idleStep
	if len(s.jobs) == 0 && next < len(load) {
		s.now = max(s.now, load[next].At)
	}
}

func (s *sim) offer(a Arrival) {
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
	s.jobs[j] = &running{job: j, arrival: a, team: t, emitted: a.Emitted}
}

func (s *sim) act() {
	s.acts = s.policy.Tick(s.now, s.acts[:0])
	for _, act := range s.acts {
		r := s.jobs[act.Job]
		switch act.Kind {
		case sched.Start:
			s.start(r)
		case sched.Pause:
			s.takeOff(r)
			s.preempted(r)
		case sched.Expire:
			s.out.class(r.team).Refused++
			delete(s.jobs, act.Job)
		}
	}
}

func (s *sim) start(r *running) {
	r.prefill = r.context()
	if r.emitted == r.arrival.Emitted {
		r.prefill -= int(s.engine.CachedPrompt * float64(r.arrival.Prompt))
	}
	r.onBatch = true
	// Higher priorities come first on the batch, and so in the prefill budget.
	i := len(s.batch)
	for i > 0 && s.batch[i-1].team.Level < r.team.Level {
		i--
	}
	s.batch = slices.Insert(s.batch, i, r)
}

func (s *sim) takeOff(r *running) {
	r.onBatch = false
	s.batch = slices.DeleteFunc(s.batch, func(o *running) bool { return o == r })
}

// preempted counts a stream that lost its place; its context is computed anew
// when it continues.
func (s *sim) preempted(r *running) {
	c := s.out.class(r.team)
	c.Preemptions++
	c.TokensLost += r.context()
}

// step runs the batch once.
func (s *sim) step() {
	s.makeRoom()
	budget := s.engine.PrefillBudget
	taken, context := 0, 0
	decoding := 0
	for _, r := range s.batch {
		context += r.context()
		if r.prefill > 0 {
			n := min(budget, r.prefill)
			r.prefill -= n
			budget -= n
			taken += n
			continue
		}
		decoding++
	}
	s.now += s.engine.Base + time.Duration(decoding)*s.engine.PerStream +
		time.Duration(context)*s.engine.PerContext/1000 + time.Duration(taken)*s.engine.PerPrefill
	s.emit()
}

// emit gives every decoding stream one token.
func (s *sim) emit() {
	batch := s.batch
	keep := make([]*running, 0, len(batch))
	for _, r := range batch {
		if r.prefill > 0 {
			keep = append(keep, r)
			continue
		}
		r.emitted++
		s.out.token(r, s.now)
		r.last = s.now
		s.policy.Progress(r.job, r.emitted)
		if r.arrival.Cancel > 0 && r.emitted >= r.arrival.Cancel {
			s.cancel(r)
			continue
		}
		if r.emitted < r.arrival.Length {
			keep = append(keep, r)
			continue
		}
		s.out.finished(r)
		delete(s.jobs, r.job)
		s.policy.Finish(s.now, r.job, true)
	}
	s.batch = keep
}

func (s *sim) cancel(r *running) {
	s.out.class(r.team).Cancelled++
	delete(s.jobs, r.job)
	s.policy.Finish(s.now, r.job, false)
}

// makeRoom is the engine's own last resort: it takes the lowest priority's latest
// arrival off until the next token of every stream fits.
func (s *sim) makeRoom() {
	for {
		used := 0
		for _, r := range s.batch {
			used += blocks(r.context() + 1)
		}
		if used <= s.engine.Memory || len(s.batch) == 1 {
			return
		}
		victim := s.batch[0]
		for _, r := range s.batch {
			if yields(r, victim) {
				victim = r
			}
		}
		s.takeOff(victim)
		s.preempted(victim)
		s.policy.Evicted(s.now, victim.job)
	}
}

// yields reports whether the engine takes a off before b.
func yields(a, b *running) bool {
	if a.team.Level != b.team.Level {
		return a.team.Level < b.team.Level
	}
	return a.arrival.At > b.arrival.At
}
