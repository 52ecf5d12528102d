package sched

import "math"

// Margins of memory, as fractions of capacity. Pausing begins when use is
// above high and goes on until it is below low, so that one shortage does not
// cause a pause at every step.
const (
	high = 0.985
	low  = 0.96
	// Paused streams return up to resumeMark. At the low mark itself one seed
	// of twenty fell into pausing and returning by turns.
	resumeMark = 0.945
)

// relieve pauses streams when the engine is about to run out of memory, before
// the engine itself picks a victim without regard to shares.
func (p *Forecasting) relieve(acts []Action) []Action {
	if p.cfg.Disabled.Preemption || float64(p.mem.used+len(p.running)) <= high*float64(p.cfg.Capacity) {
		return acts
	}
	for float64(p.mem.used+len(p.running)) > low*float64(p.cfg.Capacity) && len(p.running) > 1 {
		j := p.victim()
		p.leave(j)
		p.park(j)
		acts = append(acts, Action{Kind: Pause, Job: j})
	}
	return acts
}

// victim is the stream whose pause costs least: of the team most over its
// share, with little work to redo, not near its end and not paused before.
func (p *Forecasting) victim() *Job {
	best, lowest := p.running[0], math.Inf(1)
	for _, j := range p.running {
		if c := p.cost(j); c < lowest {
			best, lowest = j, c
		}
	}
	return best
}

// Weights of the parts of a victim's cost.
const (
	costOver   = 4.0
	costRedo   = 1.0
	costEnding = 2.0
	costAgain  = 3.0
)

func (p *Forecasting) cost(j *Job) float64 {
	cost := -costOver * min(3, p.over(j.team, 0))
	cost += costRedo * float64(j.ContextTokens()) / (float64(p.cfg.Capacity) / 16)
	left := p.lengths(j.team, j.Model).Remaining(float64(j.emitted))
	cost += costEnding * float64(j.emitted+1) / (float64(j.emitted+1) + left)
	return cost + costAgain*float64(j.pauses)
}
