package sched

import (
	"slices"
	"time"
)

// Baseline is a simple policy that others are compared with. It admits jobs
// while memory is free and never pauses a job: only the engine evicts one.
type Baseline struct {
	capacity   int
	maxBatch   int
	roundRobin bool
	// reservedOutput is the number of output tokens reserved for each job; 0
	// means that nothing is reserved.
	reservedOutput int
	maxWait        time.Duration

	queue []*Job
	// startsByTeam counts the started jobs of each team, for round-robin.
	startsByTeam map[string]int
	// usedTokens is the memory that running jobs use; committedTokens is the
	// memory that admission counts for them.
	usedTokens      int
	committedTokens int
	stats           Stats
}

// NewFIFO returns a policy that admits jobs in order of arrival while memory is
// free now.
func NewFIFO(capacity, maxBatch int, maxWait time.Duration) *Baseline {
	return &Baseline{capacity: capacity, maxBatch: maxBatch, maxWait: maxWait, startsByTeam: make(map[string]int)}
}

// NewRoundRobin returns NewFIFO with one queue for each team; the team with the
// fewest started jobs is served next.
func NewRoundRobin(capacity, maxBatch int, maxWait time.Duration) *Baseline {
	b := NewFIFO(capacity, maxBatch, maxWait)
	b.roundRobin = true
	return b
}

// NewReserveMaxOutput returns NewFIFO that reserves memory for the longest
// output, maxTokens, of each job.
func NewReserveMaxOutput(capacity, maxBatch int, maxWait time.Duration, maxTokens int) *Baseline {
	b := NewFIFO(capacity, maxBatch, maxWait)
	b.reservedOutput = maxTokens
	return b
}

// demand returns the number of tokens of memory that must be free to admit j.
func (b *Baseline) demand(j *Job) int {
	if b.reservedOutput == 0 {
		return j.ContextTokens() + 1
	}
	output := b.reservedOutput
	if j.MaxTokens > 0 {
		output = min(output, j.MaxTokens)
	}
	return j.PromptTokens + output
}

// Offer implements Policy.
func (b *Baseline) Offer(now time.Duration, j *Job) Decision {
	j.arrivedAt, j.emitted, j.state = now, j.EmittedBefore, stateQueued
	b.queue = append(b.queue, j)
	b.stats.Queued++
	return Decision{Admission: Queued}
}

// Adopt implements Policy.
func (b *Baseline) Adopt(now time.Duration, j *Job) {
	j.arrivedAt, j.emitted = now, j.EmittedBefore
	b.markRunning(j)
}

func (b *Baseline) markRunning(j *Job) {
	j.state = stateRunning
	b.usedTokens += j.ContextTokens()
	b.committedTokens += b.demand(j)
	b.stats.Running++
}

func (b *Baseline) removeRunning(j *Job) {
	b.usedTokens -= j.ContextTokens()
	b.committedTokens -= b.demand(j)
	if b.reservedOutput == 0 {
		b.committedTokens = b.usedTokens + b.stats.Running - 1
	}
	b.stats.Running--
}

// Progress implements Policy.
func (b *Baseline) Progress(j *Job, emitted int) {
	if j.state != stateRunning {
		return
	}
	b.usedTokens += emitted - j.emitted
	if b.reservedOutput == 0 {
		b.committedTokens += emitted - j.emitted
	}
	j.emitted = emitted
}

// Evicted implements Policy. The job goes to the front of the queue, as in
// engines.
func (b *Baseline) Evicted(_ time.Duration, j *Job) {
	b.removeRunning(j)
	j.state = statePaused
	b.queue = slices.Insert(b.queue, 0, j)
	b.stats.Queued++
	b.stats.Preemptions++
}

// Finish implements Policy.
func (b *Baseline) Finish(_ time.Duration, j *Job, _ bool) {
	switch j.state {
	case stateRunning:
		b.removeRunning(j)
	case stateQueued, statePaused:
		b.queue = slices.DeleteFunc(b.queue, func(o *Job) bool { return o == j })
		b.stats.Queued--
	}
	j.state = stateDone
}

// Tick implements Policy.
func (b *Baseline) Tick(now time.Duration, acts []Action) []Action {
	acts = b.expireQueued(now, acts)
	for len(b.queue) > 0 && b.stats.Running < b.maxBatch {
		i := b.nextInQueue()
		j := b.queue[i]
		if b.stats.Running > 0 && b.committedTokens+b.demand(j) > b.capacity {
			return acts
		}
		b.queue = slices.Delete(b.queue, i, i+1)
		b.stats.Queued--
		b.startsByTeam[j.Team]++
		b.markRunning(j)
		acts = append(acts, Action{Kind: Start, Job: j})
	}
	return acts
}

// expireQueued removes the jobs that have waited longer than maxWait for their
// first start.
func (b *Baseline) expireQueued(now time.Duration, acts []Action) []Action {
	b.queue = slices.DeleteFunc(b.queue, func(j *Job) bool {
		expired := j.state == stateQueued && now-j.arrivedAt > b.maxWait
		if expired {
			j.state = stateDone
			b.stats.Queued--
			acts = append(acts, Action{Kind: Expire, Job: j, RetryAfter: b.maxWait})
		}
		return expired
	})
	return acts
}

// nextInQueue returns the index of the job to admit next: an evicted job if
// there is one, otherwise the first job, or with round-robin the first job of
// the team with the fewest starts.
func (b *Baseline) nextInQueue() int {
	if !b.roundRobin || b.queue[0].state == statePaused {
		return 0
	}
	best := 0
	for i, j := range b.queue {
		if b.startsByTeam[j.Team] < b.startsByTeam[b.queue[best].Team] {
			best = i
		}
	}
	return best
}

// Stats implements Policy.
func (b *Baseline) Stats() Stats {
	s := b.stats
	s.MemoryUsed, s.MemoryForecast = b.usedTokens, b.committedTokens
	return s
}
