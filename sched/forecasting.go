package sched

import (
	"slices"
	"time"

	"kingcupplank.example/kingcup/forecast"
)

// Forecasting is the system's policy. It admits a job only if the forecast
// peak of the batch's memory stays inside capacity, gives each team its
// weighted share first, lends idle share, and pauses only as a last resort.
type Forecasting struct {
	cfg    Config
	teams  map[string]*team
	models map[string]*forecast.LengthHistogram
	// waiting are the teams with a queue, in no order.
	waiting []*team
	paused  []*Job
	running []*Job
	mem     memory
	weights float64
	now     time.Duration
	stats   Stats
	drain   rate
	forgot  time.Duration
}

// team is what the policy knows of one team.
type team struct {
	name    string
	weight  float64
	level   uint32
	queue   []*Job
	running int
	mem     memory
	lengths map[string]*forecast.LengthHistogram
	// seen is when the team last had work; teams not seen for long have no
	// share.
	seen   time.Duration
	active bool
	// queuedMem is the expected memory of the queue in tokens.
	queuedMem float64
}

// shareMemory is how long a team keeps its share after its last work.
const shareMemory = 2 * time.Minute

// NewForecasting returns a policy for one engine.
func NewForecasting(cfg Config) *Forecasting {
	return &Forecasting{
		cfg:    cfg.withDefaults(),
		teams:  make(map[string]*team),
		models: make(map[string]*forecast.LengthHistogram),
	}
}

func (p *Forecasting) team(j *Job) *team {
	t := p.teams[j.Team]
	if t == nil {
		t = &team{name: j.Team, lengths: make(map[string]*forecast.LengthHistogram)}
		p.teams[j.Team] = t
	}
	weight := max(1, float64(j.Weight))
	if t.active {
		p.weights += weight - t.weight
	} else {
		t.active = true
		p.weights += weight
	}
	t.weight = weight
	t.level = j.Level
	t.seen = p.now
	return t
}

func (p *Forecasting) lengths(t *team, model string) *forecast.LengthHistogram {
	l := t.lengths[model]
	if l != nil {
		return l
	}
	prior := p.models[model]
	if prior == nil {
		prior = forecast.NewLengthHistogram(nil)
		p.models[model] = prior
	}
	l = forecast.NewLengthHistogram(prior)
	t.lengths[model] = l
	return l
}

// share is a team's guaranteed part of the capacity in tokens.
func (p *Forecasting) share(t *team) float64 {
	return float64(p.cfg.Capacity) * t.weight / p.weights
}

// over is how far a team's use exceeds its share, as a fraction of it; the
// expected memory of extra is counted in.
func (p *Forecasting) over(t *team, extra float64) float64 {
	if p.cfg.Disabled.Shares {
		return 0
	}
	return (t.mem.mean[shareHorizon]+extra)/p.share(t) - 1
}

// Offer implements Policy.
func (p *Forecasting) Offer(now time.Duration, j *Job) Decision {
	p.now = now
	t := p.team(j)
	j.team = t
	j.emitted = j.EmittedBefore
	j.arrived = now
	j.contrib = p.contribution(j)
	if wait := p.wait(t, j); !p.cfg.Disabled.Refusal && !j.Urgent && wait > p.cfg.MaxWait {
		j.state = stateDone
		return Decision{Admission: Refused, RetryAfter: p.retryAfter(j, wait)}
	}
	j.state = stateQueued
	p.enqueue(t, j)
	return Decision{Admission: Queued}
}

func (p *Forecasting) contribution(j *Job) contribution {
	if p.cfg.Disabled.Forecast {
		return flat(j)
	}
	return contribute(p.lengths(j.team, j.Model), j.PromptTokens, j.emitted, j.MaxTokens)
}

// flat counts only the memory that the job holds now.
func flat(j *Job) contribution {
	c := contribution{at: j.emitted}
	for k := range horizons {
		c.mean[k] = float64(j.ContextTokens() + 1)
	}
	return c
}

func (p *Forecasting) enqueue(t *team, j *Job) {
	if len(t.queue) == 0 {
		p.waiting = append(p.waiting, t)
	}
	if j.Urgent {
		t.queue = slices.Insert(t.queue, 0, j)
	} else {
		t.queue = append(t.queue, j)
	}
	t.queuedMem += j.contrib.mean[shareHorizon]
	p.stats.Queued++
}

func (p *Forecasting) dequeue(t *team, j *Job) {
	i := slices.Index(t.queue, j)
	if i < 0 {
		return
	}
	t.queue = slices.Delete(t.queue, i, i+1)
	t.queuedMem -= j.contrib.mean[shareHorizon]
	p.stats.Queued--
	if len(t.queue) == 0 {
		t.queuedMem = 0
		p.waiting = slices.DeleteFunc(p.waiting, func(o *team) bool { return o == t })
	}
}

// Progress implements Policy.
func (p *Forecasting) Progress(j *Job, emitted int) {
	if j.state != stateRunning || emitted <= j.emitted {
		return
	}
	grown := emitted - j.emitted
	j.emitted = emitted
	p.mem.used += grown
	j.team.mem.used += grown
	if emitted-j.contrib.at >= refreshEvery {
		p.refresh(j)
	}
}

func (p *Forecasting) refresh(j *Job) {
	p.count(j, -1)
	j.contrib = p.contribution(j)
	p.count(j, 1)
}

func (p *Forecasting) count(j *Job, sign float64) {
	p.mem.add(&j.contrib, sign)
	j.team.mem.add(&j.contrib, sign)
}

// begin counts j as running.
func (p *Forecasting) begin(j *Job) {
	j.state = stateRunning
	j.started = p.now
	j.contrib = p.contribution(j)
	p.count(j, 1)
	p.mem.used += j.ContextTokens()
	j.team.mem.used += j.ContextTokens()
	j.team.running++
	j.team.seen = p.now
	p.running = append(p.running, j)
	p.stats.Running++
}

// leave ends the counting of j as running.
func (p *Forecasting) leave(j *Job) {
	p.count(j, -1)
	p.mem.used -= j.ContextTokens()
	j.team.mem.used -= j.ContextTokens()
	j.team.running--
	p.stats.Running--
	i := slices.Index(p.running, j)
	last := len(p.running) - 1
	p.running[i] = p.running[last]
	p.running = p.running[:last]
	p.drain.add(p.now, float64(j.ContextTokens()))
	if p.stats.Running == 0 {
		p.mem = memory{}
	}
}

// Adopt implements Policy.
func (p *Forecasting) Adopt(now time.Duration, j *Job) {
	p.now = now
	j.team = p.team(j)
	j.emitted = j.EmittedBefore
	j.arrived = now
	p.begin(j)
}

// Evicted implements Policy.
func (p *Forecasting) Evicted(now time.Duration, j *Job) {
	p.now = now
	if j.state != stateRunning {
		return
	}
	p.leave(j)
	p.park(j)
}

func (p *Forecasting) park(j *Job) {
	j.state = statePaused
	j.pausedAt = p.now
	j.pauses++
	p.paused = append(p.paused, j)
	p.stats.Queued++
	p.stats.Preemptions++
}

// Finish implements Policy.
func (p *Forecasting) Finish(now time.Duration, j *Job, complete bool) {
	p.now = now
	switch j.state {
	case stateRunning:
		p.leave(j)
	case statePaused:
		p.unpark(j)
	case stateQueued:
		p.dequeue(j.team, j)
	}
	j.state = stateDone
	j.team.seen = now
	if complete {
		p.lengths(j.team, j.Model).Observe(j.emitted)
		p.models[j.Model].Observe(j.emitted)
	}
}

func (p *Forecasting) unpark(j *Job) {
	p.paused = slices.DeleteFunc(p.paused, func(o *Job) bool { return o == j })
	p.stats.Queued--
}

// Tick implements Policy.
func (p *Forecasting) Tick(now time.Duration, acts []Action) []Action {
	p.now = now
	acts = p.giveUp(acts)
	acts = p.relieve(acts)
	acts = p.resume(acts)
	acts = p.admit(acts)
	p.forget()
	return acts
}

const forgetEvery = time.Second

// forget drops the share of teams that have had no work for long.
func (p *Forecasting) forget() {
	if p.now-p.forgot < forgetEvery {
		return
	}
	p.forgot = p.now
	for _, t := range p.teams {
		if t.active && t.running == 0 && len(t.queue) == 0 && p.now-t.seen > shareMemory {
			t.active = false
			p.weights -= t.weight
		}
	}
}

// Stats implements Policy.
func (p *Forecasting) Stats() Stats {
	s := p.stats
	s.MemoryUsed = p.mem.used
	s.MemoryForecast = int(p.mem.peak(&contribution{}, p.cfg.Sigmas))
	return s
}
