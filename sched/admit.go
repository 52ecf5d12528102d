package sched

import "time"

// resumePaused resumes paused jobs in the order of their pauses, oldest first.
// It stops at the first job that does not fit or was paused less than minPause
// ago.
func (p *Forecasting) resumePaused(acts []Action) []Action {
	for len(p.paused) > 0 {
		j := p.paused[0]
		if !p.fitsPaused(j) || p.now-j.pausedAt < minPause {
			return acts
		}
		p.removePaused(j)
		p.markRunning(j)
		acts = append(acts, Action{Kind: Start, Job: j})
	}
	return acts
}

// minPause is the shortest pause of a stream. Without it, a stream would be
// resumed at once into the memory that its own pause has freed, and the
// shortage would return.
const minPause = 100 * time.Millisecond

// admitQueued starts queued jobs in the order of nextTeam until one does not fit.
func (p *Forecasting) admitQueued(acts []Action) []Action {
	for len(p.waitingTeams) > 0 && len(p.running) < p.cfg.MaxBatch {
		t := p.nextTeam()
		j := t.queue[0]
		j.contrib = p.forecastJob(j)
		borrows := p.overShare(t, j.contrib.mean[shareHorizon]) > 0
		if len(p.paused) > 0 && borrows && !j.Urgent {
			return acts
		}
		if !p.fitsQueued(j, borrows && len(p.running) > 0) {
			return acts
		}
		p.dequeue(t, j)
		p.markRunning(j)
		acts = append(acts, Action{Kind: Start, Job: j})
	}
	return acts
}

// nextTeam returns the waiting team whose first job is admitted next. Teams with
// an urgent job come first, then teams within their share by priority, then the
// team that exceeds its share the least.
func (p *Forecasting) nextTeam() *teamState {
	best := p.waitingTeams[0]
	for _, t := range p.waitingTeams[1:] {
		if p.precedes(t, best) {
			best = t
		}
	}
	return best
}

// precedes reports whether the first job of a is admitted before that of b.
func (p *Forecasting) precedes(a, b *teamState) bool {
	ja, jb := a.queue[0], b.queue[0]
	if ja.Urgent != jb.Urgent {
		return ja.Urgent
	}
	if p.cfg.Disabled.Shares {
		return ja.arrivedAt < jb.arrivedAt
	}
	overA := p.overShare(a, ja.contrib.mean[shareHorizon])
	overB := p.overShare(b, jb.contrib.mean[shareHorizon])
	if (overA <= 0) != (overB <= 0) {
		return overA <= 0
	}
	if overA <= 0 && a.level != b.level {
		return a.level > b.level
	}
	return overA < overB
}

// fitsQueued reports whether the forecast peak of the batch stays within
// capacity if queued job j is added. A job that takes its team over its share
// (borrows) must also leave the reserve free.
func (p *Forecasting) fitsQueued(j *Job, borrows bool) bool {
	limit := float64(p.cfg.Capacity)
	// A borrowing job that is admitted above the low watermark would be paused
	// in the next shortage, resumed into the same memory and paused again.
	if borrows {
		limit *= min(lowWatermark, 1-p.cfg.ReserveFraction)
	}
	if len(p.running) == 0 {
		return true
	}
	return p.batch.peak(&j.contrib, p.cfg.Sigmas) <= limit
}

// fitsPaused reports whether paused job j may resume. Its limit is higher than
// that of fitsQueued for a borrowing job: the caller of a paused stream waits in
// the middle of its response, so the stream may use a part of the reserve.
func (p *Forecasting) fitsPaused(j *Job) bool {
	return len(p.running) == 0 || p.batch.peak(&j.contrib, p.cfg.Sigmas) <= resumeWatermark*float64(p.cfg.Capacity)
}
