package sched

import "time"

// estimateWait estimates how long j would wait for its start: the queued memory
// of its team divided by the team's part of the rate at which running jobs free
// memory. It returns 0 if no job of the team is queued or no memory has been
// freed yet.
func (p *Forecasting) estimateWait(t *teamState, j *Job) time.Duration {
	if len(t.queue) == 0 {
		return 0
	}
	freedPerSecond := p.freed.perSecond(p.now)
	if freedPerSecond <= 0 {
		return 0
	}
	part := t.weight / p.contendingWeight(t)
	seconds := (t.queuedTokens + j.contrib.mean[shareHorizon]) / (freedPerSecond * part)
	return time.Duration(seconds * float64(time.Second))
}

// contendingWeight returns the total weight of t and of the other teams that
// wait for memory.
func (p *Forecasting) contendingWeight(t *teamState) float64 {
	sum := t.weight
	for _, o := range p.waitingTeams {
		if o != t {
			sum += o.weight
		}
	}
	return sum
}

// retryAfter adds jitter of up to half the wait, derived from a hash of the
// request's id, so that refused callers do not all retry at the same moment.
func (p *Forecasting) retryAfter(j *Job, wait time.Duration) time.Duration {
	const spread = 1024
	h := uint32(2166136261)
	for i := range len(j.ID) {
		h = (h ^ uint32(j.ID[i])) * 16777619
	}
	wait = min(wait, maxRetryAfter)
	return wait + wait/2*time.Duration(h%spread)/spread
}

// maxRetryAfter limits the wait before retryAfter adds jitter to it.
const maxRetryAfter = time.Minute

// expireQueued removes queued jobs that have waited longer than MaxWait. Urgent
// jobs do not expire.
func (p *Forecasting) expireQueued(acts []Action) []Action {
	if p.cfg.Disabled.Refusal {
		return acts
	}
	for i := len(p.waitingTeams) - 1; i >= 0; i-- {
		t := p.waitingTeams[i]
		for len(t.queue) > 0 {
			j := t.queue[0]
			if j.Urgent || p.now-j.arrivedAt <= p.cfg.MaxWait {
				break
			}
			wait := p.estimateWait(t, j)
			p.dequeue(t, j)
			j.state = stateDone
			acts = append(acts, Action{Kind: Expire, Job: j, RetryAfter: p.retryAfter(j, max(wait, time.Second))})
		}
	}
	return acts
}
