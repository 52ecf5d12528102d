// Package sched is the request scheduler of one backend server. A Policy decides
// which requests run, wait, are refused or are paused. Policies are
// deterministic: they take times and events as input and return decisions and
// actions, and have no clock, goroutine, I/O or random source of their own. A
// Policy must not be used by two goroutines at the same time.
package sched

import "time"

// Job is one request at a backend server. The caller sets the exported fields
// before Offer or Adopt and does not change them later.
type Job struct {
	ID     string
	Team   string
	Model  string
	Weight uint32
	// Level is the priority level; higher levels are served first.
	Level uint32
	// PromptTokens and MaxTokens are in tokens; MaxTokens 0 means no limit.
	PromptTokens int
	MaxTokens    int
	// EmittedBefore is the number of tokens emitted before Offer or Adopt.
	EmittedBefore int
	// Urgent jobs continue a stream whose caller has already received tokens.
	Urgent bool

	state     jobState
	arrivedAt time.Duration
	startedAt time.Duration
	// pausedAt is when the job was last paused.
	pausedAt   time.Duration
	pauseCount int
	emitted    int
	team       *teamState
	contrib    contribution
}

// ContextTokens returns the number of tokens of memory that the job uses while
// it runs.
func (j *Job) ContextTokens() int { return j.PromptTokens + j.emitted }

type jobState uint8

const (
	stateNew jobState = iota
	stateQueued
	stateRunning
	statePaused
	stateDone
)

// Running reports whether the job uses memory at the engine.
func (j *Job) Running() bool { return j.state == stateRunning }

// Waiting reports whether the job is queued or paused.
func (j *Job) Waiting() bool { return j.state == stateQueued || j.state == statePaused }

// Admission states whether an offered job is queued or refused.
type Admission uint8

// The possible answers.
const (
	// Queued means that a later Start or Expire action follows.
	Queued Admission = iota
	// Refused means that the policy does not keep the job; it did not run.
	Refused
)

// Decision answers Offer.
type Decision struct {
	Admission Admission
	// RetryAfter is how long the caller of a refused job should wait before a
	// retry.
	RetryAfter time.Duration
}

// ActionKind is the kind of an Action.
type ActionKind uint8

// The kinds of actions.
const (
	// Start the job, or resume it if it was paused.
	Start ActionKind = iota
	// Pause the job: remove it from the engine and keep its tokens.
	Pause
	// Expire the job: fail it as not run, because it has waited too long.
	Expire
)

// Action is one step for the caller to carry out. RetryAfter is set for Expire.
type Action struct {
	Kind       ActionKind
	Job        *Job
	RetryAfter time.Duration
}

// Stats are counters and gauges of a policy.
type Stats struct {
	// Queued includes paused jobs.
	Running, Queued int
	// MemoryUsed and MemoryForecast are in tokens; the forecast is the peak
	// memory of the running batch at the policy's safety margin.
	MemoryUsed, MemoryForecast int
	Preemptions                uint64
}

// Policy schedules the requests of one backend server. Times are measured from
// any fixed start and never decrease.
type Policy interface {
	// Offer submits a new job at time now.
	Offer(now time.Duration, j *Job) Decision
	// Adopt submits a job that already runs at the engine.
	Adopt(now time.Duration, j *Job)
	// Progress reports the total number of tokens that j has emitted.
	Progress(j *Job, emitted int)
	// Evicted reports that the engine itself removed j from its batch. The
	// policy returns a Start action when j may continue.
	Evicted(now time.Duration, j *Job)
	// Finish reports that j has ended; complete means that its stream ended by
	// itself.
	Finish(now time.Duration, j *Job, complete bool)
	// Tick appends the actions due at now to acts.
	Tick(now time.Duration, acts []Action) []Action
	// Stats returns the current counters and gauges.
	Stats() Stats
}
