package sched

import "time"

// resume continues paused jobs, longest paused first.
func (p *Forecasting) resume(acts []Action) []Action {
	for len(p.paused) > 0 {
		j := p.paused[0]
		if !p.fitsPaused(j) || p.now-j.pausedAt < minPause {
			return acts
		}
		p.unpark(j)
		p.begin(j)
		acts = append(acts, Action{Kind: Start, Job: j})
	}
	return acts
}

// minPause keeps a stream from being resumed into the same shortage: without
// it, a pause frees just enough for the paused stream itself.
const minPause = 100 * time.Millisecond

// admit starts queued jobs while they fit, most deserving team first.
func (p *Forecasting) admit(acts []Action) []Action {
	for len(p.waiting) > 0 && len(p.running) < p.cfg.MaxBatch {
		t := p.next()
		j := t.queue[0]
		j.contrib = p.contribution(j)
		borrows := p.over(t, j.contrib.mean[shareHorizon]) > 0
		if len(p.paused) > 0 && borrows && !j.Urgent {
			return acts
		}
		if !p.fits(j, borrows && len(p.running) > 0) {
			return acts
		}
		p.dequeue(t, j)
		p.begin(j)
		acts = append(acts, Action{Kind: Start, Job: j})
	}
	return acts
}

// next is the waiting team that is served first: urgent jobs, then teams under
// their share by priority, then the team least over its share.
func (p *Forecasting) next() *team {
	best := p.waiting[0]
	for _, t := range p.waiting[1:] {
		if p.before(t, best) {
			best = t
		}
	}
	return best
}

func (p *Forecasting) before(a, b *team) bool {
	ja, jb := a.queue[0], b.queue[0]
	if ja.Urgent != jb.Urgent {
		return ja.Urgent
	}
	if p.cfg.Disabled.Shares {
		return ja.arrived < jb.arrived
	}
	oa := p.over(a, ja.contrib.mean[shareHorizon])
	ob := p.over(b, jb.contrib.mean[shareHorizon])
	if (oa <= 0) != (ob <= 0) {
		return oa <= 0
	}
	if oa <= 0 && a.level != b.level {
		return a.level > b.level
	}
	return oa < ob
}

// fits reports whether the batch's forecast peak stays inside capacity with j.
// A job that borrows must leave the reserve free.
func (p *Forecasting) fits(j *Job, borrows bool) bool {
	limit := float64(p.cfg.Capacity)
	// A borrower that fits above the low mark would be paused in the next
	// shortage, resumed into the same room and paused again.
	if borrows {
		limit *= min(low, 1-p.cfg.ReserveFraction)
	}
	if len(p.running) == 0 {
		return true
	}
	return p.mem.peak(&j.contrib, p.cfg.Sigmas) <= limit
}

// fitsPaused asks less than fits: the caller of a paused stream waits in the
// middle of its answer, so its return may use a part of the reserve.
func (p *Forecasting) fitsPaused(j *Job) bool {
	return len(p.running) == 0 || p.mem.peak(&j.contrib, p.cfg.Sigmas) <= resumeMark*float64(p.cfg.Capacity)
}
