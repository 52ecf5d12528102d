package sched

import (
	"math"
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
	models map[string]*forecast.Lengths
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
	lengths map[string]*forecast.Lengths
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
		models: make(map[string]*forecast.Lengths),
	}
}

func (p *Forecasting) team(j *Job) *team {
	t := p.teams[j.Team]
	if t == nil {
		t = &team{name: j.Team, lengths: make(map[string]*forecast.Lengths)}
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

func (p *Forecasting) lengths(t *team, model string) *forecast.Lengths {
	l := t.lengths[model]
	if l != nil {
		return l
	}
	prior := p.models[model]
	if prior == nil {
		prior = forecast.NewLengths(nil)
		p.models[model] = prior
	}
	l = forecast.NewLengths(prior)
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
	if p.cfg.Off.Shares {
		return 0
	}
	return (t.mem.mean[shareHorizon]+extra)/p.share(t) - 1
}

// Offer implements Policy.
func (p *Forecasting) Offer(now time.Duration, j *Job) Decision {
	p.now = now
	t := p.team(j)
	j.team = t
	j.emitted = j.Emitted
	j.arrived = now
	j.contrib = p.contribution(j)
	if wait := p.wait(t, j); !p.cfg.Off.Refusal && !j.Urgent && wait > p.cfg.MaxWait {
		j.state = stateDone
		return Decision{Verdict: Refuse, RetryAfter: p.retryAfter(j, wait)}
	}
	j.state = stateQueued
	p.enqueue(t, j)
	return Decision{Verdict: Queue}
}

func (p *Forecasting) contribution(j *Job) contribution {
	if p.cfg.Off.Forecast {
		return flat(j)
	}
	return contribute(p.lengths(j.team, j.Model), j.Prompt, j.emitted, j.MaxTokens)
}

// flat counts only the memory that the job holds now.
func flat(j *Job) contribution {
	c := contribution{at: j.emitted}
	for k := range horizons {
		c.mean[k] = float64(j.Context() + 1)
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

// begin puts j on the engine's books.
func (p *Forecasting) begin(j *Job) {
	j.state = stateRunning
	j.started = p.now
	j.contrib = p.contribution(j)
	p.count(j, 1)
	p.mem.used += j.Context()
	j.team.mem.used += j.Context()
	j.team.running++
	j.team.seen = p.now
	p.running = append(p.running, j)
	p.stats.Running++
}

// leave takes j off the engine's books.
func (p *Forecasting) leave(j *Job) {
	p.count(j, -1)
	p.mem.used -= j.Context()
	j.team.mem.used -= j.Context()
	j.team.running--
	p.stats.Running--
	i := slices.Index(p.running, j)
	last := len(p.running) - 1
	p.running[i] = p.running[last]
	p.running = p.running[:last]
	p.drain.add(p.now, float64(j.Context()))
	if p.stats.Running == 0 {
		p.mem = memory{}
	}
}

// Adopt implements Policy.
func (p *Forecasting) Adopt(now time.Duration, j *Job) {
	p.now = now
	j.team = p.team(j)
	j.emitted = j.Emitted
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

// giveUp answers jobs that have waited too long, at once and never later.
func (p *Forecasting) giveUp(acts []Action) []Action {
	if p.cfg.Off.Refusal {
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
			acts = append(acts, Action{Verb: GiveUp, Job: j, RetryAfter: p.retryAfter(j, max(wait, time.Second))})
		}
	}
	return acts
}

// resume continues paused jobs, longest paused first.
func (p *Forecasting) resume(acts []Action) []Action {
	for len(p.paused) > 0 {
		j := p.paused[0]
		if !p.fitsPaused(j) || p.now-j.pausedAt < minPause {
			return acts
		}
		p.unpark(j)
		p.begin(j)
		acts = append(acts, Action{Verb: Start, Job: j})
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
		acts = append(acts, Action{Verb: Start, Job: j})
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
	if p.cfg.Off.Shares {
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
		limit *= min(low, 1-p.cfg.Reserve)
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
	if p.cfg.Off.Victims || float64(p.mem.used+len(p.running)) <= high*float64(p.cfg.Capacity) {
		return acts
	}
	for float64(p.mem.used+len(p.running)) > low*float64(p.cfg.Capacity) && len(p.running) > 1 {
		j := p.victim()
		p.leave(j)
		p.park(j)
		acts = append(acts, Action{Verb: Pause, Job: j})
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
	cost += costRedo * float64(j.Context()) / (float64(p.cfg.Capacity) / 16)
	left := p.lengths(j.team, j.Model).Remaining(float64(j.emitted))
	cost += costEnding * float64(j.emitted+1) / (float64(j.emitted+1) + left)
	return cost + costAgain*float64(j.pauses)
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
