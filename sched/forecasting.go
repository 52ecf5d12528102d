package sched

import (
	"slices"
	"time"

	"kingcupplank.example/kingcup/forecast"
)

// Forecasting is the policy that backend servers use. It admits a job only if
// the forecast peak of the batch's memory stays within capacity. Each team has a
// share of the memory in proportion to its weight; teams may borrow memory that
// others don't use. Streams are paused only when memory is about to run out.
type Forecasting struct {
	cfg          Config
	teams        map[string]*teamState
	modelLengths map[string]*forecast.LengthHistogram
	// waitingTeams are the teams with a queued job, in no order.
	waitingTeams []*teamState
	paused       []*Job
	running      []*Job
	batch        batchForecast
	// totalWeight is the sum of the weights of the teams that have a share.
	totalWeight float64
	now         time.Duration
	stats       Stats
	// freed is the rate at which ended or paused jobs free memory, in tokens
	// per second.
	freed           decayingRate
	sharesExpiredAt time.Duration
}

// teamState is the policy's state of one team.
type teamState struct {
	name    string
	weight  float64
	level   uint32
	queue   []*Job
	running int
	batch   batchForecast
	// lengths are the output lengths by model.
	lengths map[string]*forecast.LengthHistogram
	// lastActive is when a job of the team was last offered, started or ended.
	lastActive time.Duration
	// hasShare is set while weight is part of totalWeight.
	hasShare bool
	// queuedTokens is the expected memory of the queued jobs in tokens.
	queuedTokens float64
}

// shareRetention is how long a team without jobs keeps its share.
const shareRetention = 2 * time.Minute

// NewForecasting returns a policy for one engine.
func NewForecasting(cfg Config) *Forecasting {
	return &Forecasting{
		cfg:          cfg.withDefaults(),
		teams:        make(map[string]*teamState),
		modelLengths: make(map[string]*forecast.LengthHistogram),
	}
}

// activateTeam returns the state of the job's team, with a share and with the
// weight and level of the job.
func (p *Forecasting) activateTeam(j *Job) *teamState {
	t := p.teams[j.Team]
	if t == nil {
		t = &teamState{name: j.Team, lengths: make(map[string]*forecast.LengthHistogram)}
		p.teams[j.Team] = t
	}
	weight := max(1, float64(j.Weight))
	if t.hasShare {
		p.totalWeight += weight - t.weight
	} else {
		t.hasShare = true
		p.totalWeight += weight
	}
	t.weight = weight
	t.level = j.Level
	t.lastActive = p.now
	return t
}

// lengthsOf returns the output lengths of a team's requests to a model. Their
// prior is the lengths of all teams at that model.
func (p *Forecasting) lengthsOf(t *teamState, model string) *forecast.LengthHistogram {
	l := t.lengths[model]
	if l != nil {
		return l
	}
	prior := p.modelLengths[model]
	if prior == nil {
		prior = forecast.NewLengthHistogram(nil)
		p.modelLengths[model] = prior
	}
	l = forecast.NewLengthHistogram(prior)
	t.lengths[model] = l
	return l
}

// share returns the part of the capacity that a team is entitled to, in tokens.
func (p *Forecasting) share(t *teamState) float64 {
	return float64(p.cfg.Capacity) * t.weight / p.totalWeight
}

// overShare returns by how much the memory of a team, plus extra tokens, exceeds
// its share, as a fraction of the share. It is negative if the team is below it.
func (p *Forecasting) overShare(t *teamState, extra float64) float64 {
	if p.cfg.Disabled.Shares {
		return 0
	}
	return (t.batch.mean[shareHorizon]+extra)/p.share(t) - 1
}

// Offer implements Policy.
func (p *Forecasting) Offer(now time.Duration, j *Job) Decision {
	p.now = now
	t := p.activateTeam(j)
	j.team = t
	j.emitted = j.EmittedBefore
	j.arrivedAt = now
	j.contrib = p.forecastJob(j)
	if wait := p.estimateWait(t, j); !p.cfg.Disabled.Refusal && !j.Urgent && wait > p.cfg.MaxWait {
		j.state = stateDone
		return Decision{Admission: Refused, RetryAfter: p.retryAfter(j, wait)}
	}
	j.state = stateQueued
	p.enqueue(t, j)
	return Decision{Admission: Queued}
}

// forecastJob computes the contribution of j to the batch.
func (p *Forecasting) forecastJob(j *Job) contribution {
	if p.cfg.Disabled.Forecast {
		return currentContribution(j)
	}
	return newContribution(p.lengthsOf(j.team, j.Model), j.PromptTokens, j.emitted, j.MaxTokens)
}

// currentContribution counts the memory that j uses now at every horizon.
func currentContribution(j *Job) contribution {
	c := contribution{emitted: j.emitted}
	for k := range horizons {
		c.mean[k] = float64(j.ContextTokens() + 1)
	}
	return c
}

func (p *Forecasting) enqueue(t *teamState, j *Job) {
	if len(t.queue) == 0 {
		p.waitingTeams = append(p.waitingTeams, t)
	}
	if j.Urgent {
		t.queue = slices.Insert(t.queue, 0, j)
	} else {
		t.queue = append(t.queue, j)
	}
	t.queuedTokens += j.contrib.mean[shareHorizon]
	p.stats.Queued++
}

func (p *Forecasting) dequeue(t *teamState, j *Job) {
	i := slices.Index(t.queue, j)
	if i < 0 {
		return
	}
	t.queue = slices.Delete(t.queue, i, i+1)
	t.queuedTokens -= j.contrib.mean[shareHorizon]
	p.stats.Queued--
	if len(t.queue) == 0 {
		t.queuedTokens = 0
		p.waitingTeams = slices.DeleteFunc(p.waitingTeams, func(o *teamState) bool { return o == t })
	}
}

// Progress implements Policy.
func (p *Forecasting) Progress(j *Job, emitted int) {
	if j.state != stateRunning || emitted <= j.emitted {
		return
	}
	grown := emitted - j.emitted
	j.emitted = emitted
	p.batch.used += grown
	j.team.batch.used += grown
	if emitted-j.contrib.emitted >= refreshTokens {
		p.refreshContribution(j)
	}
}

func (p *Forecasting) refreshContribution(j *Job) {
	p.addContribution(j, -1)
	j.contrib = p.forecastJob(j)
	p.addContribution(j, 1)
}

// addContribution adds the contribution of j to the forecasts of the batch and
// of the team if sign is 1, and subtracts it if sign is -1.
func (p *Forecasting) addContribution(j *Job, sign float64) {
	p.batch.add(&j.contrib, sign)
	j.team.batch.add(&j.contrib, sign)
}

// markRunning adds j to the running jobs.
func (p *Forecasting) markRunning(j *Job) {
	j.state = stateRunning
	j.startedAt = p.now
	j.contrib = p.forecastJob(j)
	p.addContribution(j, 1)
	p.batch.used += j.ContextTokens()
	j.team.batch.used += j.ContextTokens()
	j.team.running++
	j.team.lastActive = p.now
	p.running = append(p.running, j)
	p.stats.Running++
}

// removeRunning removes j from the running jobs; the caller sets its next state.
func (p *Forecasting) removeRunning(j *Job) {
	p.addContribution(j, -1)
	p.batch.used -= j.ContextTokens()
	j.team.batch.used -= j.ContextTokens()
	j.team.running--
	p.stats.Running--
	i := slices.Index(p.running, j)
	last := len(p.running) - 1
	p.running[i] = p.running[last]
	p.running = p.running[:last]
	p.freed.add(p.now, float64(j.ContextTokens()))
	if p.stats.Running == 0 {
		p.batch = batchForecast{}
	}
}

// Adopt implements Policy.
func (p *Forecasting) Adopt(now time.Duration, j *Job) {
	p.now = now
	j.team = p.activateTeam(j)
	j.emitted = j.EmittedBefore
	j.arrivedAt = now
	p.markRunning(j)
}

// Evicted implements Policy.
func (p *Forecasting) Evicted(now time.Duration, j *Job) {
	p.now = now
	if j.state != stateRunning {
		return
	}
	p.removeRunning(j)
	p.markPaused(j)
}

// markPaused adds j to the paused jobs.
func (p *Forecasting) markPaused(j *Job) {
	j.state = statePaused
	j.pausedAt = p.now
	j.pauseCount++
	p.paused = append(p.paused, j)
	p.stats.Queued++
	p.stats.Preemptions++
}

// Finish implements Policy.
func (p *Forecasting) Finish(now time.Duration, j *Job, complete bool) {
	p.now = now
	switch j.state {
	case stateRunning:
		p.removeRunning(j)
	case statePaused:
		p.removePaused(j)
	case stateQueued:
		p.dequeue(j.team, j)
	}
	j.state = stateDone
	j.team.lastActive = now
	if complete {
		p.lengthsOf(j.team, j.Model).Observe(j.emitted)
		p.modelLengths[j.Model].Observe(j.emitted)
	}
}

// removePaused removes j from the paused jobs; the caller sets its next state.
func (p *Forecasting) removePaused(j *Job) {
	p.paused = slices.DeleteFunc(p.paused, func(o *Job) bool { return o == j })
	p.stats.Queued--
}

// Tick implements Policy.
func (p *Forecasting) Tick(now time.Duration, acts []Action) []Action {
	p.now = now
	acts = p.expireQueued(acts)
	acts = p.pauseForMemory(acts)
	acts = p.resumePaused(acts)
	acts = p.admitQueued(acts)
	p.expireShares()
	return acts
}

const shareExpiryInterval = time.Second

// expireShares removes the shares of teams that have had no job for longer than
// shareRetention.
func (p *Forecasting) expireShares() {
	if p.now-p.sharesExpiredAt < shareExpiryInterval {
		return
	}
	p.sharesExpiredAt = p.now
	for _, t := range p.teams {
		if t.hasShare && t.running == 0 && len(t.queue) == 0 && p.now-t.lastActive > shareRetention {
			t.hasShare = false
			p.totalWeight -= t.weight
		}
	}
}

// Stats implements Policy.
func (p *Forecasting) Stats() Stats {
	s := p.stats
	s.MemoryUsed = p.batch.used
	s.MemoryForecast = int(p.batch.peak(&contribution{}, p.cfg.Sigmas))
	return s
}
