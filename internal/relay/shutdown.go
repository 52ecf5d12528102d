package relay

import (
	"time"

	"kingcupplank.example/kingcup/routing"
	"kingcupplank.example/kingcup/shutdown"
)

const (
	// initialPause is the time between two events assumed until streams have been observed: four
	// tokens of 9 ms, as on a moderately loaded engine.
	initialPause = 36 * time.Millisecond
	// pauseWeight is the weight of the newest pause in the moving average.
	pauseWeight = 0.02
	// otherVMRetryAfter is the retry time of a caller that another VM can serve now.
	otherVMRetryAfter = 20 * time.Millisecond
	// restartRetryAfter is the retry time while all VMs stop at the same time: the first of them
	// have stopped by now and start again within a second.
	restartRetryAfter = time.Second
)

// SetShutdown sets the schedule of this process's shutdown.
func (r *Relay) SetShutdown(s shutdown.Schedule) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.shutdown = s
}

func (r *Relay) shutdownSchedule() shutdown.Schedule {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.shutdown
}

// EndUnanswered ends all requests whose responses have not begun with an answer, and further ones at once.
func (r *Relay) EndUnanswered() { r.endRequests(func(j *job) bool { return j.sentEvents.Load() == 0 }) }

// EndRequests ends all requests with an answer, or, if their responses have begun, by cutting them off. Further ones
// are ended at once.
func (r *Relay) EndRequests() { r.endRequests(func(*job) bool { return true }) }

func (r *Relay) endRequests(isDue func(*job) bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.isEnding = true
	for j := range r.jobs {
		if isDue(j) {
			j.cancel(errStopping)
		}
	}
}

// admitsBeforeShutdown reports whether a request that has arrived may still be answered by this process.
func (r *Relay) admitsBeforeShutdown(j *job) bool {
	s := r.shutdownSchedule()
	return !s.IsStopping() || s.Admits(r.shutdownRequest(j), r.Peers.AcceptingRequests(), time.Now())
}

// refuseIfStopping returns a refusal if a request that waits for a server had better go to another VM, nil
// otherwise.
func (r *Relay) refuseIfStopping(j *job) *Refusal {
	s := r.shutdownSchedule()
	if !s.IsStopping() || s.MayWait(r.shutdownRequest(j), r.Peers.AcceptingRequests(), time.Now()) {
		return nil
	}
	f := r.refuse(j, ReasonStopping)
	if !f.MayHaveRun {
		f.RetryAfter = r.shutdownRetryAfter()
	}
	return f
}

func (r *Relay) shutdownRequest(j *job) shutdown.Request {
	expected := j.route.TargetLatency
	if j.Generation != nil {
		expected += time.Duration(j.expectedEvents(0)) * r.currentMeanPause()
	}
	q := shutdown.Request{Kind: shutdown.Stream, Expected: expected, TimeLeft: j.timeLeft()}
	switch {
	case j.route.Kind != routing.Stream:
		q.Kind = shutdown.Plain
	case j.route.Resumable:
		q.Kind = shutdown.ResumableStream
	}
	return q
}

// shutdownRetryAfter is the retry time of a request refused because of the shutdown.
func (r *Relay) shutdownRetryAfter() time.Duration {
	if r.Peers.AcceptingRequests() {
		return otherVMRetryAfter
	}
	return restartRetryAfter
}

// recordPause adds the time between two events to the moving average.
func (r *Relay) recordPause(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.meanPause += time.Duration(pauseWeight * float64(min(d, 4*initialPause)-r.meanPause))
}

// currentMeanPause returns the moving average of the time between two events.
func (r *Relay) currentMeanPause() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.meanPause
}
