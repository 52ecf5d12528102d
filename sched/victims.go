package sched

import "math"

// Watermarks of memory use, as fractions of capacity. Streams are paused when
// use exceeds highWatermark, until it is below lowWatermark. The distance
// between the two keeps one shortage from causing a pause at every step.
const (
	highWatermark = 0.985
	lowWatermark  = 0.96
	// Paused streams resume while the forecast stays below resumeWatermark. At
	// lowWatermark, one simulation seed of twenty alternated between pausing
	// and resuming.
	resumeWatermark = 0.945
)

// pauseForMemory pauses streams when the engine is about to run out of memory.
// The engine would otherwise evict a stream by itself, without regard to shares.
func (p *Forecasting) pauseForMemory(acts []Action) []Action {
	// In its next step the engine adds one token to each running stream.
	if p.cfg.Disabled.Preemption || float64(p.batch.used+len(p.running)) <= highWatermark*float64(p.cfg.Capacity) {
		return acts
	}
	for float64(p.batch.used+len(p.running)) > lowWatermark*float64(p.cfg.Capacity) && len(p.running) > 1 {
		j := p.selectVictim()
		p.removeRunning(j)
		p.markPaused(j)
		acts = append(acts, Action{Kind: Pause, Job: j})
	}
	return acts
}

// selectVictim returns the running stream with the lowest pauseCost.
func (p *Forecasting) selectVictim() *Job {
	best, lowest := p.running[0], math.Inf(1)
	for _, j := range p.running {
		if c := p.pauseCost(j); c < lowest {
			best, lowest = j, c
		}
	}
	return best
}

// Weights of the terms of pauseCost.
const (
	weightOverShare   = 4.0
	weightRecompute   = 1.0
	weightNearEnd     = 2.0
	weightPausedAgain = 3.0
)

// pauseCost is lower the more the team of j exceeds its share, the less context
// has to be computed again, the farther j is from its expected end and the fewer
// times it was paused before.
func (p *Forecasting) pauseCost(j *Job) float64 {
	cost := -weightOverShare * min(3, p.overShare(j.team, 0))
	cost += weightRecompute * float64(j.ContextTokens()) / (float64(p.cfg.Capacity) / 16)
	remaining := p.lengthsOf(j.team, j.Model).Remaining(float64(j.emitted))
	cost += weightNearEnd * float64(j.emitted+1) / (float64(j.emitted+1) + remaining)
	return cost + weightPausedAgain*float64(j.pauseCount)
}
