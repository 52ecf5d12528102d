package sched

import "time"

// wait forecasts how long j would wait: what its team has queued, over the
// part of the engine's drain that falls to the team.
func (p *Forecasting) wait(t *team, j *Job) time.Duration {
	if len(t.queue) == 0 {
		return 0
	}
	perSecond := p.drain.value(p.now)
	if perSecond <= 0 {
		return 0
	}
	part := t.weight / p.contending(t)
	seconds := (t.queuedMem + j.contrib.mean[shareHorizon]) / (perSecond * part)
	return time.Duration(seconds * float64(time.Second))
}

// contending is the weight of the teams that wait for memory, t among them.
func (p *Forecasting) contending(t *team) float64 {
	sum := t.weight
	for _, o := range p.waiting {
		if o != t {
			sum += o.weight
		}
	}
	return sum
}

// retryAfter spreads the returns of refused callers over half the wait, by a
// hash of the request, so that they do not come back at one moment.
func (p *Forecasting) retryAfter(j *Job, wait time.Duration) time.Duration {
	const spread = 1024
	h := uint32(2166136261)
	for i := range len(j.ID) {
		h = (h ^ uint32(j.ID[i])) * 16777619
	}
	wait = min(wait, maxRetryAfter)
	return wait + wait/2*time.Duration(h%spread)/spread
}

const maxRetryAfter = time.Minute

// giveUp answers jobs that have waited too long, at once and never later.
func (p *Forecasting) giveUp(acts []Action) []Action {
	if p.cfg.Disabled.Refusal {
		return acts
	}
	for i := len(p.waiting) - 1; i >= 0; i-- {
		t := p.waiting[i]
		for len(t.queue) > 0 {
			j := t.queue[0]
			if j.Urgent || p.now-j.arrived <= p.cfg.MaxWait {
				break
			}
			wait := p.wait(t, j)
			p.dequeue(t, j)
			j.state = stateDone
			acts = append(acts, Action{Kind: Expire, Job: j, RetryAfter: p.retryAfter(j, max(wait, time.Second))})
		}
	}
	return acts
}
