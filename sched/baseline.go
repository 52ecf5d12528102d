package sched

import (
	"slices"
	"time"
)

// Baseline is a simple policy to measure others against: jobs are admitted
// while memory is free, and a victim is only taken by the engine itself.
type Baseline struct {
	capacity   int
	maxBatch   int
	roundRobin bool
	reserve    int
	maxQueue   time.Duration

	queue []*Job
	// turn counts the starts of each team, for round-robin.
	turn  map[string]int
	used  int
	held  int
	stats Stats
}

// NewFIFO admits in order of arrival while memory is free now.
func NewFIFO(capacity, maxBatch int, maxWait time.Duration) *Baseline {
	return &Baseline{capacity: capacity, maxBatch: maxBatch, maxQueue: maxWait, turn: make(map[string]int)}
}

// NewRoundRobin is NewFirstCome with one queue for each team, served in turn.
func NewRoundRobin(capacity, maxBatch int, maxWait time.Duration) *Baseline {
	b := NewFIFO(capacity, maxBatch, maxWait)
	b.roundRobin = true
	return b
}

// NewReserveMaxOutput is NewFirstCome with the longest output reserved for every stream.
func NewReserveMaxOutput(capacity, maxBatch int, maxWait time.Duration, maxTokens int) *Baseline {
	b := NewFIFO(capacity, maxBatch, maxWait)
	b.reserve = maxTokens
	return b
}

// need is the memory that a job is admitted against.
func (b *Baseline) need(j *Job) int {
	if b.reserve == 0 {
		return j.ContextTokens() + 1
	}
	most := b.reserve
	if j.MaxTokens > 0 {
		most = min(most, j.MaxTokens)
	}
	return j.PromptTokens + most
}

// Offer implements Policy.
func (b *Baseline) Offer(now time.Duration, j *Job) Decision {
	j.arrived, j.emitted, j.state = now, j.EmittedBefore, stateQueued
	b.queue = append(b.queue, j)
	b.stats.Queued++
	return Decision{Admission: Queued}
}

// Adopt implements Policy.
func (b *Baseline) Adopt(now time.Duration, j *Job) {
	j.arrived, j.emitted = now, j.EmittedBefore
	b.begin(j)
}

func (b *Baseline) begin(j *Job) {
	j.state = stateRunning
	b.used += j.ContextTokens()
	b.held += b.need(j)
	b.stats.Running++
}

func (b *Baseline) end(j *Job) {
	b.used -= j.ContextTokens()
	b.held -= b.need(j)
	if b.reserve == 0 {
		b.held = b.used + b.stats.Running - 1
	}
	b.stats.Running--
}

// Progress implements Policy.
func (b *Baseline) Progress(j *Job, emitted int) {
	if j.state != stateRunning {
		return
	}
	b.used += emitted - j.emitted
	if b.reserve == 0 {
		b.held += emitted - j.emitted
	}
	j.emitted = emitted
}

// Evicted implements Policy. The job goes to the front, as engines do.
func (b *Baseline) Evicted(_ time.Duration, j *Job) {
	b.end(j)
	j.state = statePaused
	b.queue = slices.Insert(b.queue, 0, j)
	b.stats.Queued++
	b.stats.Preemptions++
}

// Finish implements Policy.
func (b *Baseline) Finish(_ time.Duration, j *Job, _ bool) {
	switch j.state {
	case stateRunning:
		b.end(j)
	case stateQueued, statePaused:
		b.queue = slices.DeleteFunc(b.queue, func(o *Job) bool { return o == j })
		b.stats.Queued--
	}
	j.state = stateDone
}

// Tick implements Policy.
func (b *Baseline) Tick(now time.Duration, acts []Action) []Action {
	acts = b.giveUp(now, acts)
	for len(b.queue) > 0 && b.stats.Running < b.maxBatch {
		i := b.next()
		j := b.queue[i]
		if b.stats.Running > 0 && b.held+b.need(j) > b.capacity {
			return acts
		}
		b.queue = slices.Delete(b.queue, i, i+1)
		b.stats.Queued--
		b.turn[j.Team]++
		b.begin(j)
		acts = append(acts, Action{Kind: Start, Job: j})
	}
	return acts
}

func (b *Baseline) giveUp(now time.Duration, acts []Action) []Action {
	b.queue = slices.DeleteFunc(b.queue, func(j *Job) bool {
		late := j.state == stateQueued && now-j.arrived > b.maxQueue
		if late {
			j.state = stateDone
			b.stats.Queued--
			acts = append(acts, Action{Kind: Expire, Job: j, RetryAfter: b.maxQueue})
		}
		return late
	})
	return acts
}

// next is the index of the job to admit: evicted ones first, then by turn.
func (b *Baseline) next() int {
	if !b.roundRobin || b.queue[0].state == statePaused {
		return 0
	}
	best := 0
	for i, j := range b.queue {
		if b.turn[j.Team] < b.turn[b.queue[best].Team] {
			best = i
		}
	}
	return best
}

// Stats implements Policy.
func (b *Baseline) Stats() Stats {
	s := b.stats
	s.MemoryUsed, s.MemoryForecast = b.used, b.held
	return s
}
