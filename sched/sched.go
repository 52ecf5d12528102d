// Package sched decides, for one backend server, which requests run, wait, are
// refused or are paused. Policies are pure: time and events go in, decisions
// and actions come out, and a policy has no clock, goroutine, I/O or random
// source of its own. A Policy is for one goroutine at a time.
package sched

import "time"

// Job is one request at a backend server. The caller sets the exported fields
// before Offer and changes none of them later.
type Job struct {
	ID     string
	Team   string
	Model  string
	Weight uint32
	// Level is the priority class; higher is served first.
	Level uint32
	// PromptTokens and MaxTokens are in tokens; MaxTokens 0 is unbounded.
	PromptTokens int
	MaxTokens    int
	// EmittedBefore is the number of tokens of an earlier attempt.
	EmittedBefore int
	// Urgent jobs continue a stream whose caller already got tokens.
	Urgent bool

	state   state
	arrived time.Duration
	started time.Duration
	// pausedAt is when the job was last paused.
	pausedAt time.Duration
	pauses   int
	emitted  int
	team     *team
	contrib  contribution
}

// ContextTokens is the number of tokens of memory that the job holds when it runs.
func (j *Job) ContextTokens() int { return j.PromptTokens + j.emitted }

type state uint8

const (
	stateNew state = iota
	stateQueued
	stateRunning
	statePaused
	stateDone
)

// Running reports whether the job holds memory at the engine.
func (j *Job) Running() bool { return j.state == stateRunning }

// Waiting reports whether the job is queued or paused.
func (j *Job) Waiting() bool { return j.state == stateQueued || j.state == statePaused }

// Admission is the answer to an offered job.
type Admission uint8

// The verdicts.
const (
	// Queued means that a later Start or Refuse action follows.
	Queued Admission = iota
	// Refused means that the job is forgotten; it did not run.
	Refused
)

// Decision answers Offer.
type Decision struct {
	Admission Admission
	// RetryAfter says when a refused caller should come back.
	RetryAfter time.Duration
}

// ActionKind is what an Action asks for.
type ActionKind uint8

// The verbs.
const (
	// Start the job, or continue it if it was paused.
	Start ActionKind = iota
	// Pause the job: take it off the engine and keep its tokens.
	Pause
	// Expire answers a job that never ran as not run.
	Expire
)

// Action is one thing for the caller to carry out.
type Action struct {
	Kind       ActionKind
	Job        *Job
	RetryAfter time.Duration
}

// Stats are counts and gauges of a policy.
type Stats struct {
	Running, Queued int
	// MemoryUsed and MemoryForecast are in tokens; the forecast is the peak
	// of the running batch at the policy's quantile.
	MemoryUsed, MemoryForecast int
	Preemptions                uint64
}

// Policy decides for one backend server.
type Policy interface {
	// Offer takes a new job at time now.
	Offer(now time.Duration, j *Job) Decision
	// Adopt takes a job that already runs at the engine.
	Adopt(now time.Duration, j *Job)
	// Progress says that j has emitted tokens in all.
	Progress(j *Job, emitted int)
	// Evicted says that the engine itself took j off its batch; the policy
	// asks for a Start when j may continue.
	Evicted(now time.Duration, j *Job)
	// Finish says that j has left, complete or not.
	Finish(now time.Duration, j *Job, complete bool)
	// Tick appends the actions due at now to acts.
	Tick(now time.Duration, acts []Action) []Action
	// Stats are the current gauges.
	Stats() Stats
}
