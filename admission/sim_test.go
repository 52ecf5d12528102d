package admission

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"kingcupplank.example/kingcup/backends"
	"kingcupplank.example/kingcup/flow"
	"kingcupplank.example/kingcup/forecast"
)

// The simulation runs the queues, registries and turns of several gateways in front of engines
// that follow a simple model. Gateways know each other's state as it was some time ago.
const (
	simTick          = 10 * time.Millisecond
	simReportTicks   = 10
	simReportDelay   = 10 * time.Millisecond
	simTurnPeriod    = 60 * time.Millisecond
	simEngineMemory  = 26880
	simSlots         = 24
	simTokensInEvent = 4
	simPause         = 42 * time.Millisecond
	simPromptSpeed   = 7500.0
	simMemoryUse     = 0.97
	simMaxGrowth     = 300
	simService       = "model"
)

// simKind is a kind of generation.
type simKind struct {
	name                string
	prompt              int
	events              float64
	spread              float64
	maxEvents           int
	target, callerLeave time.Duration
	outputs             *forecast.OutputEstimator
}

// draw returns the number of events of a generation.
func (k *simKind) draw(rng *rand.Rand) int {
	events := int(math.Exp(math.Log(k.events)+k.spread*rng.NormFloat64()) + 0.5)
	return max(1, min(k.maxEvents, events))
}

// learned returns the kind with a forecast that has observed many outputs.
func (k simKind) learned(rng *rand.Rand) *simKind {
	k.outputs = forecast.NewOutputEstimator()
	for range 300 {
		k.outputs.Observe(k.draw(rng)*simTokensInEvent, forecast.CallerHint{})
	}
	return &k
}

var (
	simLong  = simKind{name: "long", prompt: 3000, events: 187, spread: 0.35, maxEvents: 442, target: 4 * time.Second, callerLeave: 39 * time.Second}
	simShort = simKind{name: "short", prompt: 2200, events: 2, maxEvents: 2, target: 1500 * time.Millisecond, callerLeave: 6 * time.Second}
)

// simRequest is one caller's generation, with up to two attempts.
type simRequest struct {
	kind  *simKind
	team  string
	first time.Duration
	// arrived is the arrival of the present attempt, leaves when the caller leaves.
	arrived, leaves time.Duration
	events          int
	waiter          *Waiter
	demand          Demand
	// refusals counts refused attempts, lateRefusals those that were held for too long before.
	refusals, lateRefusals int
	res                    *backends.Reservation
	engine                 *simEngine
	promptLeft             float64
	tokens                 float64
	firstEvent             time.Duration
	counted                int
	stopped                bool
}

// expectedTokens returns the memory that the generation is expected to need within some seconds.
func (r *simRequest) expectedTokens() int {
	tokens := int(r.tokens)
	return r.kind.prompt + tokens + min(simMaxGrowth, r.kind.outputs.ExpectedTokens(forecast.CallerHint{}, tokens)-tokens)
}

func (r *simRequest) held() int { return r.kind.prompt + int(r.tokens) }

func (r *simRequest) readTime() time.Duration {
	return time.Duration(float64(r.kind.prompt) / simPromptSpeed * float64(time.Second))
}

func (r *simRequest) newWaiter() *Waiter {
	run := r.readTime() + time.Duration(1.5*r.kind.events*float64(simPause))
	w := &Waiter{MemoryTokens: r.expectedTokens()}
	w.PromptTokens, w.Arrived = r.kind.prompt, r.arrived
	w.OnTimeDeadline = r.arrived + r.kind.target - r.readTime()
	w.DispatchDeadline = max(r.leaves-run, r.arrived+r.kind.target/2)
	return w
}

// simOrder is what decides at one gateway.
type simOrder interface {
	// add queues a request. It returns false if the request is refused.
	add(r *simRequest, v View, now time.Duration) bool
	shouldRefuse(r *simRequest, v View, now time.Duration) bool
	remove(r *simRequest, sent bool, now time.Duration)
	head(now time.Duration) *simRequest
	report(now time.Duration) flow.Contender
	rank(r *simRequest, now time.Duration) int
	charge(r *simRequest, now time.Duration)
	usage(now time.Duration) (all, light []flow.Usage)
	// overTime says that a request is checked against the memory held over time.
	overTime(r *simRequest) bool
	retryAfter(r *simRequest, left time.Duration, draw float64) time.Duration
}

// presentOrder is the order that package flow gives alone.
type presentOrder struct {
	queue  *flow.Queue
	shares *flow.Shares
	byW    map[*flow.Waiter]*simRequest
}

func newPresentOrder() simOrder {
	return &presentOrder{queue: flow.NewQueue(20000), shares: flow.NewShares(), byW: make(map[*flow.Waiter]*simRequest)}
}

func (o *presentOrder) add(r *simRequest, v View, now time.Duration) bool {
	w := &r.waiter.Waiter
	w.Level = o.shares.Level(r.team, v.Usage, now)
	if o.queue.ShouldReject(w, now) {
		return false
	}
	o.byW[w] = r
	o.queue.Add(w)
	return true
}

func (o *presentOrder) shouldRefuse(r *simRequest, _ View, now time.Duration) bool {
	return o.queue.ShouldReject(&r.waiter.Waiter, now)
}

func (o *presentOrder) remove(r *simRequest, sent bool, now time.Duration) {
	delete(o.byW, &r.waiter.Waiter)
	o.queue.Remove(&r.waiter.Waiter, sent, now)
}

func (o *presentOrder) head(now time.Duration) *simRequest { return o.byW[o.queue.Next(now)] }

func (o *presentOrder) report(now time.Duration) flow.Contender {
	rank, n := o.queue.HeadRank(now)
	return flow.Contender{Waiting: o.queue.Len(), Rank: rank, WaitingAtRank: n}
}

func (o *presentOrder) rank(r *simRequest, now time.Duration) int { return r.waiter.Waiter.Rank(now) }
func (o *presentOrder) charge(r *simRequest, now time.Duration) {
	o.shares.Charge(r.team, r.demand.Product(), now)
}
func (o *presentOrder) usage(now time.Duration) (all, light []flow.Usage) {
	return o.shares.Top(8, now), nil
}

func (o *presentOrder) overTime(*simRequest) bool { return false }
func (o *presentOrder) retryAfter(_ *simRequest, left time.Duration, draw float64) time.Duration {
	return max(400*time.Millisecond+time.Duration(draw*float64(800*time.Millisecond)), time.Duration((0.4+0.6*draw)*float64(left)/3))
}

// simEngine is an engine. A run that finds no memory for its next token stops the newest run.
type simEngine struct {
	id   string
	runs []*simRequest
}

func (e *simEngine) advance(s *simulation, now time.Duration) {
	e.preempt(s)
	step := 7 + 0.12*float64(len(e.runs))
	var reading *simRequest
	for _, r := range e.runs {
		if r.promptLeft > 0 && !r.stopped {
			reading = r
			break
		}
	}
	ms := float64(simTick) / float64(time.Millisecond)
	if reading != nil {
		step += 8
		reading.promptLeft -= 112 * ms / step
	}
	kept := e.runs[:0]
	for _, r := range e.runs {
		if r.promptLeft <= 0 {
			r.tokens += ms / step
		}
		if r.firstEvent == 0 && r.tokens >= simTokensInEvent {
			r.firstEvent = now
			r.res.FinishPrompt()
		}
		if r.tokens >= float64(r.events*simTokensInEvent) {
			r.res.Release(backends.ResultOK, now)
			s.finish(r)
			continue
		}
		if events := int(r.tokens) / simTokensInEvent; events >= r.counted+12 {
			r.counted = events
			r.res.SetMemory(r.expectedTokens(), r.held())
		}
		kept = append(kept, r)
	}
	e.runs = kept
}

// preempt stops the newest runs while the memory held by all exceeds the engine's, and lets them start
// again with their prompt once there is memory.
func (e *simEngine) preempt(s *simulation) {
	held := 0
	for _, r := range e.runs {
		if held+r.held() > simEngineMemory {
			if !r.stopped && r.promptLeft <= 0 {
				s.preempted[r.kind.name]++
			}
			r.stopped, r.promptLeft = true, float64(r.held())
			continue
		}
		r.stopped = false
		held += r.held()
	}
}

// simReport is what a gateway has told the others.
type simReport struct {
	at           time.Duration
	loads        map[string]backends.Load
	queue        flow.Contender
	usage, light []flow.Usage
}

type simGateway struct {
	name     string
	registry *backends.Registry
	order    simOrder
	waiting  []*simRequest
	// placed is set if a request was placed since the last report, told is the number of waiting
	// requests in it.
	placed  bool
	told    int
	reports []simReport
	// seen is the latest report that others know.
	seen simReport
}

// simulation is one run.
type simulation struct {
	rng      *rand.Rand
	gateways []*simGateway
	engines  map[string]*simEngine
	list     []*simEngine
	arrivals []*simRequest
	retries  []*simRequest
	done     []*simRequest
	// preempted counts the runs that engines stopped, by kind.
	preempted   map[string]int
	period      int64
	engineCount int
}

func newSimulation(seed uint64, gateways, engines int, order func() simOrder) *simulation {
	s := &simulation{rng: rand.New(rand.NewPCG(seed, 1)), engines: make(map[string]*simEngine), engineCount: engines, preempted: make(map[string]int)}
	for g := range gateways {
		registry := backends.New("zone-1", func(string) backends.ServiceTraits {
			return backends.ServiceTraits{MemoryTokens: simEngineMemory}
		}, func(backends.Server, backends.LeaveReason) {})
		for i := range engines {
			id := fmt.Sprint("engine-", i)
			registry.Put(backends.Server{ID: id, Service: simService, Address: id, FailureDomain: fmt.Sprint("zone-", i%2+1), Slots: simSlots}, 0)
		}
		s.gateways = append(s.gateways, &simGateway{name: fmt.Sprint("vm-", g), registry: registry, order: order()})
	}
	for i := range engines {
		e := &simEngine{id: fmt.Sprint("engine-", i)}
		s.engines[e.id] = e
		s.list = append(s.list, e)
	}
	return s
}

// addLoad adds requests of a kind at a rate between two times. team draws the team of each.
func (s *simulation) addLoad(kind *simKind, perSecond float64, from, to time.Duration, team func() string) {
	for at := from; ; {
		at += time.Duration(s.rng.ExpFloat64() / perSecond * float64(time.Second))
		if at >= to {
			return
		}
		r := &simRequest{kind: kind, team: team(), first: at, arrived: at, leaves: at + kind.callerLeave, events: kind.draw(s.rng)}
		s.arrivals = append(s.arrivals, r)
	}
}

func (s *simulation) finish(r *simRequest) { s.done = append(s.done, r) }

// refuse ends an attempt; the caller returns once after what it was told.
func (s *simulation) refuse(g *simGateway, r *simRequest, now time.Duration) {
	r.refusals++
	if now-r.arrived > r.kind.target/8 {
		r.lateRefusals++
	}
	left := r.leaves - now
	wait := min(g.order.retryAfter(r, left, s.rng.Float64()), left/3)
	if r.refusals > 1 || left <= wait {
		s.finish(r)
		return
	}
	r.arrived = now + wait
	s.retries = append(s.retries, r)
}

func (s *simulation) view(g *simGateway) View {
	v := View{Memory: int(float64(s.engineCount * simEngineMemory))}
	for _, o := range s.gateways {
		if o != g {
			v.Usage, v.LightUsage = append(v.Usage, o.seen.usage...), append(v.LightUsage, o.seen.light...)
			if o.seen.queue.Waiting > 0 {
				v.Queues = append(v.Queues, o.seen.queue)
			}
		}
	}
	return v
}

func (s *simulation) arrive(now time.Duration) {
	all := append(s.retries, s.arrivals...)
	s.retries, s.arrivals = nil, nil
	for _, r := range all {
		if r.arrived > now {
			s.arrivals = append(s.arrivals, r)
			continue
		}
		g := s.gateways[s.rng.IntN(len(s.gateways))]
		r.demand = Demand{Tokens: r.expectedTokens(), Time: r.readTime() + time.Duration(r.kind.events*float64(simPause)), Target: r.kind.target}
		r.waiter = r.newWaiter()
		if !g.order.add(r, s.view(g), now) {
			s.refuse(g, r, now)
			continue
		}
		g.waiting = append(g.waiting, r)
	}
}

// dispatch sends what has its turn at a gateway.
func (s *simulation) dispatch(g *simGateway, now time.Duration) {
	for {
		r := g.order.head(now)
		if r == nil || !s.start(g, r, now) {
			break
		}
	}
	if len(g.waiting) == 0 {
		return
	}
	v := s.view(g)
	kept := g.waiting[:0]
	for _, r := range g.waiting {
		switch {
		case r.engine != nil:
		case g.order.shouldRefuse(r, v, now) || now >= r.leaves:
			g.order.remove(r, false, now)
			s.refuse(g, r, now)
		default:
			kept = append(kept, r)
		}
	}
	g.waiting = kept
}

func (s *simulation) start(g *simGateway, r *simRequest, now time.Duration) bool {
	q := backends.Query{
		Service: simService, ExpectedTokens: r.expectedTokens(), HeldTokens: r.held(), PromptTokens: r.kind.prompt, PromptSpeed: simPromptSpeed,
		MaxMemoryUse: simMemoryUse, MaxPromptPending: int(simPromptSpeed / 2), Draw: s.rng.Uint64(),
	}
	if g.order.overTime(r) {
		q.Horizon, q.TokensPerEvent, q.MeanPause = r.demand.Time, simTokensInEvent, simPause
	}
	var others []flow.Contender
	for _, o := range s.gateways {
		if o != g && o.seen.queue.Waiting > 0 {
			c := o.seen.queue
			c.Name = o.name
			others = append(others, c)
		}
	}
	q.Turns = flow.NewTurns(flow.Contender{Name: g.name, Waiting: max(1, len(g.waiting))}, others, g.order.rank(r, now), s.period)
	res := g.registry.Acquire(q, now)
	if res == nil {
		return false
	}
	g.placed = true
	g.order.remove(r, true, now)
	g.order.charge(r, now)
	e := s.engines[res.Server.ID]
	r.res, r.engine, r.promptLeft = res, e, float64(r.kind.prompt)
	e.runs = append(e.runs, r)
	return true
}

// exchange has the gateways report their state and receive the others': at once what is placed or
// queued, and the rest after some ticks.
func (s *simulation) exchange(now time.Duration) {
	for i, g := range s.gateways {
		if g.placed || len(g.waiting) != g.told || int(now/simTick)%simReportTicks == i%simReportTicks {
			g.placed, g.told = false, len(g.waiting)
			all, light := g.order.usage(now)
			g.reports = append(g.reports, simReport{now, g.registry.Loads(), g.order.report(now), all, light})
		}
		for len(g.reports) > 0 && g.reports[0].at+simReportDelay <= now {
			g.seen = g.reports[0]
			g.reports = g.reports[1:]
			for _, o := range s.gateways {
				if o != g {
					o.registry.SetRemoteLoads(g.name, g.seen.loads)
				}
			}
		}
	}
}

func (s *simulation) run(length time.Duration) {
	for now := simTick; now < length; now += simTick {
		s.period = int64(now / simTurnPeriod)
		s.arrive(now)
		for _, i := range s.rng.Perm(len(s.gateways)) {
			if i%2 != int(now/simTick)%2 {
				continue
			}
			s.dispatch(s.gateways[i], now)
		}
		for _, e := range s.list {
			e.advance(s, now)
		}
		s.exchange(now)
	}
}

// kindOrder is the order of this package.
type kindOrder struct {
	queue *Queue
	byW   map[*Waiter]*simRequest
}

func newKindOrder() simOrder {
	return &kindOrder{queue: NewQueue(20000), byW: make(map[*Waiter]*simRequest)}
}

func (o *kindOrder) add(r *simRequest, v View, now time.Duration) bool {
	o.queue.Arrive(r.waiter, r.team, r.demand, v, now)
	if o.queue.ShouldRefuse(r.waiter, v, now) {
		return false
	}
	o.byW[r.waiter] = r
	o.queue.Add(r.waiter)
	return true
}

func (o *kindOrder) shouldRefuse(r *simRequest, v View, now time.Duration) bool {
	return o.queue.ShouldGiveUp(r.waiter, v, now)
}

func (o *kindOrder) remove(r *simRequest, sent bool, now time.Duration) {
	delete(o.byW, r.waiter)
	o.queue.Remove(r.waiter, sent, now)
}

func (o *kindOrder) head(now time.Duration) *simRequest { return o.byW[o.queue.Next(now)] }

func (o *kindOrder) report(now time.Duration) flow.Contender {
	c := o.queue.Contender(now)
	c.Waiting = len(o.byW)
	return c
}

func (o *kindOrder) rank(r *simRequest, now time.Duration) int { return o.queue.Rank(r.waiter, now) }
func (o *kindOrder) charge(r *simRequest, now time.Duration) {
	o.queue.Start(r.waiter, r.team, r.demand, now)
}
func (o *kindOrder) usage(now time.Duration) (all, light []flow.Usage) { return o.queue.Top(8, now) }
func (o *kindOrder) overTime(r *simRequest) bool                       { return o.queue.FitsOverTime(r.waiter) }
func (o *kindOrder) retryAfter(r *simRequest, left time.Duration, draw float64) time.Duration {
	return o.queue.RetryAfter(r.waiter, left/3, draw)
}
