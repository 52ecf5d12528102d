package standby_test

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"kingcupplank.example/kingcup/backends"
	"kingcupplank.example/kingcup/cells"
	"kingcupplank.example/kingcup/standby"
)

// The simulated load: gateways in front of engines of three failure domains, with long and short
// generations. A request that an engine has no memory for waits there, and a copy of a run that is
// migrated is refused.
const (
	gateways, engines, domains   = 22, 40, 3
	memory                       = 26_880
	longPrompt, shortPrompt      = 3000, 2200
	longOutput                   = 748
	longDuration, shortDuration  = 8 * time.Second, 500 * time.Millisecond
	countedGrowth                = 300 // expected growth that counts as memory in use
	shortsPerLong                = 2
	promptSpeed                  = 14_000 // tokens a second
	tick                         = 10 * time.Millisecond
	notifyDelay, reportInterval  = 30 * time.Millisecond, 200 * time.Millisecond
	dropDelay                    = 50 * time.Millisecond
	checkInterval                = 2 * tick
	reclaimInterval, reclaimPart = 3300 * time.Millisecond, 6
	// copyTime is the time of a first copy, refreshTime that of a copy of what is new.
	copyTime, refreshTime = 200 * time.Millisecond, 30 * time.Millisecond
	warmUp, simTime       = 10 * time.Second, 24 * time.Second
	// A crash takes all engines of a failure domain or this many of them: a fifth of all.
	crashed = 8
)

// engine is a simulated engine. held is the memory of its runs, copied that of the copies it keeps.
type engine struct {
	server       backends.Server
	held, copied int
	leaving      bool
	waiting      []*generation
	readAt       time.Duration
	runs         []*generation
}

// generation is one request. started is set once its engine has read the prompt.
type generation struct {
	gateway           int
	arrived, placedAt time.Duration
	started           time.Duration
	prompt, output    int
	duration          time.Duration
	reservation       *backends.Reservation
	engine            *engine
	copy              *copied
	// copying is set while a copy is made or refreshed, nextCopyAt is the time of the next one.
	copying       bool
	nextCopyAt    time.Duration
	heldTokens    int
	blocked, done bool
}

type copied struct {
	reservation *backends.Reservation
	engine      *engine
	tokens      int
	// events is the number of events that the copy contains.
	events int
}

// tokens returns the memory that a run holds.
func (g *generation) tokens(now time.Duration) int {
	if g.started == 0 || now < g.started {
		return g.prompt
	}
	return g.prompt + int(float64(g.output)*min(1, float64(now-g.started)/float64(g.duration)))
}

func (g *generation) expected(now time.Duration) int {
	return min(g.tokens(now)+countedGrowth, g.prompt+g.output)
}

type simulation struct {
	variant
	// rng gives the load, which is the same for all variants, and draws the choices of servers.
	rng, draws *rand.Rand
	now        time.Duration
	rate       float64
	regs       []*backends.Registry
	engines    []*engine
	byID       map[string]*engine
	events     map[time.Duration][]func()
	own        [][]*generation
	queues     [][]*generation
	// copying is the number of copies that each gateway makes or refreshes.
	copying []int
	// queuedAt is when a request last found no engine, by gateway; since is since when an engine has
	// had too little memory left.
	queuedAt []time.Duration
	since    []map[string]time.Duration
	started  int
	result
	samples, crashedRuns, withCopy, outside, outsideDomain int
	memorySum                                              float64
}

// newSimulation returns a simulation in which runs take about memoryUse of all memory.
func newSimulation(v variant, memoryUse float64) *simulation {
	s := &simulation{variant: v, rng: rand.New(rand.NewPCG(7, 11)), draws: rand.New(rand.NewPCG(3, 5)), events: make(map[time.Duration][]func()), byID: make(map[string]*engine), queues: make([][]*generation, gateways), queuedAt: make([]time.Duration, gateways), copying: make([]int, gateways)}
	perLong := (longPrompt+longOutput/2)*(longDuration+time.Second/4).Seconds() + shortsPerLong*shortPrompt*(shortDuration+time.Second/5).Seconds()
	s.rate = memoryUse * engines * memory / perLong
	for i := range gateways {
		r := backends.New(fmt.Sprint("z", i%domains), func(string) backends.ServiceTraits { return backends.ServiceTraits{MemoryTokens: memory} }, func(backends.Server, backends.LeaveReason) {})
		r.SetCell(cells.Place{Self: fmt.Sprint("vm-", i), CellCount: 1})
		s.regs, s.own, s.since = append(s.regs, r), append(s.own, nil), append(s.since, make(map[string]time.Duration))
	}
	for i := range engines {
		s.startEngine(fmt.Sprint("z", i%domains))
	}
	return s
}

func (s *simulation) startEngine(domain string) {
	e := &engine{server: backends.Server{ID: fmt.Sprintf("e-%03d", s.started), Service: "model", FailureDomain: domain, Slots: 24}}
	s.started++
	s.engines, s.byID[e.server.ID] = append(s.engines, e), e
	for _, r := range s.regs {
		r.Put(e.server, s.now)
	}
}

func (s *simulation) at(when time.Duration, do func()) {
	when = max(when, s.now+tick)
	when = (when + tick - 1).Truncate(tick)
	s.events[when] = append(s.events[when], do)
}

// report sends a gateway's loads to the others.
func (s *simulation) report(i int, delay time.Duration) {
	loads := s.regs[i].Loads()
	s.at(s.now+delay, func() {
		for k, r := range s.regs {
			if k != i {
				r.SetRemoteLoads(fmt.Sprint("vm-", i), loads)
			}
		}
	})
}

func (s *simulation) run() result {
	for s.now = 0; s.now < simTime; s.now += tick {
		for i := 0; i < len(s.events[s.now]); i++ {
			s.events[s.now][i]()
		}
		delete(s.events, s.now)
		s.arrivals()
		for i := range gateways {
			if (s.now/tick+time.Duration(i))%(reportInterval/tick) == 0 {
				s.report(i, notifyDelay)
			}
			if s.now%checkInterval == 0 {
				s.retryQueue(i)
				s.check(i)
			}
		}
		s.updateMemory()
		if s.now%reclaimInterval == 0 && s.now > 0 {
			s.reclaim()
		}
		if s.now >= warmUp && s.now%(500*time.Millisecond) == 0 {
			s.sample()
		}
	}
	s.memoryUse = s.memorySum / float64(s.samples)
	part := func(n int) float64 { return float64(n) / float64(s.crashedRuns) }
	s.covered, s.coveredDomain, s.copiedRuns = part(s.outside), part(s.outsideDomain), part(s.withCopy)
	return s.result
}

// arrivals places new requests. Their rate rises and falls by a quarter every few seconds.
func (s *simulation) arrivals() {
	rate := s.rate * tick.Seconds()
	if s.now/(4*time.Second)%2 == 1 {
		rate *= 1.25
	} else {
		rate *= 0.75
	}
	for ; rate > 0; rate-- {
		if rate < 1 && s.rng.Float64() > rate {
			break
		}
		s.place(&generation{gateway: s.rng.IntN(gateways), arrived: s.now, prompt: longPrompt, output: longOutput, duration: longDuration})
		for range shortsPerLong {
			s.place(&generation{gateway: s.rng.IntN(gateways), arrived: s.now, prompt: shortPrompt, output: 8, duration: shortDuration})
		}
	}
}

func (s *simulation) place(g *generation) {
	s.requests++
	if !s.tryPlace(g) {
		s.queued++
		s.queues[g.gateway] = append(s.queues[g.gateway], g)
	}
}

func (s *simulation) retryQueue(i int) {
	for len(s.queues[i]) > 0 {
		s.queuedAt[i] = s.now
		if !s.tryPlace(s.queues[i][0]) {
			return
		}
		s.queues[i] = s.queues[i][1:]
	}
}

func (s *simulation) tryPlace(g *generation) bool {
	res := s.regs[g.gateway].Acquire(backends.Query{Service: "model", ExpectedTokens: g.expected(s.now), PromptTokens: g.prompt, PromptSpeed: promptSpeed, MaxMemoryUse: 0.97, MaxPromptPending: promptSpeed / 2, Draw: s.draws.Uint64()}, s.now)
	if res == nil {
		return false
	}
	g.reservation, g.engine, g.placedAt = res, s.byID[res.Server.ID], s.now
	s.drop(g.gateway, res.Server.ID, true)
	s.own[g.gateway] = append(s.own[g.gateway], g)
	s.report(g.gateway, notifyDelay)
	if s.grows {
		s.startGrowingCopy(g)
	}
	g.engine.waiting = append(g.engine.waiting, g)
	s.startWaiting(g.engine)
	return true
}

// startGrowingCopy has an engine receive a copy of a run as it grows.
func (s *simulation) startGrowingCopy(g *generation) {
	if res := s.reserveCopy(g, g.duration); res != nil {
		s.made++
		g.copy = &copied{reservation: res, engine: s.byID[res.Server.ID]}
		s.at(s.now+400*time.Millisecond, res.FinishCopy)
	}
}

func (s *simulation) reserveCopy(g *generation, remaining time.Duration) *backends.Reservation {
	sinceQueued := time.Duration(math.MaxInt64)
	if s.queuedAt[g.gateway] > 0 {
		sinceQueued = s.now - s.queuedAt[g.gateway]
	}
	limits, ok := s.limits(remaining, sinceQueued)
	if !ok {
		return nil
	}
	for _, place := range s.places {
		res := s.regs[g.gateway].Acquire(backends.Query{
			Service: "model", ExpectedTokens: g.expected(s.now), Tried: []string{g.reservation.Server.ID}, ForCopy: true, CopySpeed: 18_000,
			MaxMemoryUse: limits.MaxMemoryUse, MaxServiceMemoryUse: limits.MaxServiceMemoryUse, Evictable: s.evictable,
			PreferredDomain: g.reservation.Server.FailureDomain, SameDomainOnly: place == standby.SameDomain, OtherDomainsOnly: place == standby.OtherDomain, Draw: s.draws.Uint64(),
		}, s.now)
		if res != nil {
			return res
		}
	}
	return nil
}

// updateCopy makes or refreshes the copy of a run if that is due.
func (s *simulation) updateCopy(g *generation) {
	if g.copying || s.now < g.started || s.now < g.nextCopyAt || g.engine.leaving || s.copying[g.gateway] >= standby.MaxCopying {
		return
	}
	events := (g.tokens(s.now) - g.prompt) / 4
	c, took := g.copy, refreshTime
	switch {
	case c != nil && events-c.events < standby.RefreshEvents:
		return
	case c != nil:
		c.reservation.SetMemory(g.expected(s.now), g.expected(s.now))
	default:
		g.nextCopyAt = s.now + standby.RetryInterval
		res := s.reserveCopy(g, g.started+g.duration-s.now)
		if res == nil {
			return
		}
		s.report(g.gateway, notifyDelay)
		c, took = &copied{reservation: res, engine: s.byID[res.Server.ID]}, copyTime
	}
	isRefresh, tokens := g.copy != nil, g.tokens(s.now)
	c.engine.copied += tokens - c.tokens
	c.tokens = tokens
	g.copying = true
	s.copying[g.gateway]++
	s.at(s.now+took, func() {
		g.copying = false
		s.copying[g.gateway]--
		c.reservation.FinishCopy()
		c.events = events
		switch {
		case isRefresh:
		case g.done || c.engine.leaving:
			s.releaseCopy(c, dropDelay)
		default:
			s.made++
			g.copy = c
		}
	})
}

// check drops a gateway's copies at all engines that have too little memory left.
func (s *simulation) check(i int) {
	servers := make(map[string]bool)
	for _, g := range s.own[i] {
		if g.copy != nil {
			servers[g.copy.engine.server.ID] = true
		}
	}
	dropped := false
	for _, e := range s.engines {
		if servers[e.server.ID] {
			dropped = s.drop(i, e.server.ID, false) || dropped
		}
	}
	if dropped {
		s.report(i, notifyDelay)
	}
}

func (s *simulation) drop(i int, server string, first bool) bool {
	if !s.evictable {
		return false
	}
	var owners []*generation
	for _, g := range s.own[i] {
		if g.copy != nil && g.copy.engine.server.ID == server {
			owners = append(owners, g)
		}
	}
	if len(owners) == 0 {
		delete(s.since[i], server)
		return false
	}
	slices.SortStableFunc(owners, func(a, b *generation) int { return cmp.Compare(b.arrived, a.arrived) })
	tokens, preceding := owners[0].copy.reservation.StandbyExcess(standby.DropMemoryUse)
	if tokens <= 0 {
		delete(s.since[i], server)
		return false
	}
	if _, known := s.since[i][server]; !known {
		s.since[i][server] = s.now
	}
	if first || s.unordered {
		preceding = 0
	}
	copies := make([]standby.Copy, len(owners))
	for k, g := range owners {
		copies[k] = standby.Copy{Events: (g.tokens(s.now) - g.prompt) / 4, Tokens: g.copy.reservation.CountedTokens()}
	}
	drops := standby.Drops(standby.Excess{Tokens: tokens, PrecedingTokens: preceding, For: s.now - s.since[i][server]}, copies)
	for _, k := range drops {
		s.dropped++
		s.release(owners[k], dropDelay)
		owners[k].nextCopyAt = s.now + standby.RetryAfterDrop
	}
	return len(drops) > 0
}

// release frees the copy of a run, at its engine after a delay.
func (s *simulation) release(g *generation, delay time.Duration) {
	if g.copy != nil {
		s.releaseCopy(g.copy, delay)
		g.copy = nil
	}
}

func (s *simulation) releaseCopy(c *copied, delay time.Duration) {
	c.reservation.Release(backends.ResultInconclusive, s.now)
	s.at(s.now+delay, func() {
		c.engine.copied -= c.tokens
		s.startWaiting(c.engine)
	})
}

// updateMemory lets runs and their copies grow.
func (s *simulation) updateMemory() {
	for i := range gateways {
		for _, g := range s.own[i] {
			if g.started == 0 {
				continue
			}
			tokens := g.tokens(s.now)
			g.engine.held += tokens - g.heldTokens
			g.heldTokens = tokens
			if !s.grows {
				s.updateCopy(g)
			} else if g.copy != nil {
				g.copy.engine.copied += tokens - g.copy.tokens
				g.copy.tokens = tokens
			}
			if s.now%(500*time.Millisecond) == 0 {
				g.reservation.SetMemory(g.expected(s.now), tokens)
			}
		}
	}
}

// startWaiting starts the waiting requests for which an engine has memory.
func (s *simulation) startWaiting(e *engine) {
	for len(e.waiting) > 0 {
		g := e.waiting[0]
		if e.held+e.copied+g.prompt > memory {
			g.blocked = g.blocked || e.held+g.prompt <= memory
			return
		}
		e.waiting = e.waiting[1:]
		if g.blocked {
			if wait := s.now - max(g.placedAt, e.readAt); wait > 0 {
				s.blocked++
				s.blockedTime = max(s.blockedTime, wait)
			}
		}
		e.held += g.prompt
		g.heldTokens = g.prompt
		e.runs = append(e.runs, g)
		e.readAt = max(s.now, e.readAt) + time.Duration(g.prompt*int(time.Second)/promptSpeed)
		g.started = e.readAt
		s.at(g.started, g.reservation.FinishPrompt)
		s.at(g.started+g.duration, func() { s.finish(g) })
	}
}

func (s *simulation) finish(g *generation) {
	g.done = true
	s.own[g.gateway] = without(s.own[g.gateway], g)
	g.engine.runs = without(g.engine.runs, g)
	g.engine.held -= g.heldTokens
	s.release(g, s.dropDelay())
	g.reservation.Release(backends.ResultOK, s.now)
	s.startWaiting(g.engine)
}

// dropDelay is the time after which an engine has freed the copy of a run that is over.
func (s *simulation) dropDelay() time.Duration {
	if s.grows {
		return 0
	}
	return dropDelay
}

// reclaim has some engines leave, and starts as many. Their runs are migrated.
func (s *simulation) reclaim() {
	s.rng.Shuffle(len(s.engines), func(i, j int) { s.engines[i], s.engines[j] = s.engines[j], s.engines[i] })
	leaving := s.engines[:engines/reclaimPart]
	s.engines = s.engines[engines/reclaimPart:]
	for _, e := range leaving {
		e.leaving = true
		for _, r := range s.regs {
			r.MarkLeaving(e.server)
		}
		s.startEngine(e.server.FailureDomain)
	}
	for _, e := range leaving {
		when := s.now + notifyDelay
		for i := range gateways {
			for _, g := range s.own[i] {
				if g.copy != nil && g.copy.engine == e {
					s.release(g, 0)
				}
			}
		}
		for _, g := range e.runs {
			s.at(when, func() { s.migrate(g, e) })
			when += copyTime
		}
		s.at(s.now+1800*time.Millisecond, func() {
			for _, r := range s.regs {
				r.Remove(e.server.ID, 0, s.now)
			}
		})
	}
}

func (s *simulation) migrate(g *generation, from *engine) {
	if g.done || g.engine != from || g.duration == shortDuration {
		return
	}
	if g.copying {
		s.at(s.now+tick, func() { s.migrate(g, from) })
		return
	}
	s.migrated++
	if s.migrateToCopy(g, from) {
		return
	}
	tried := []string{from.server.ID}
	refusedForCopies := false
	for range 8 {
		res := s.target(g, tried)
		if res == nil {
			break
		}
		s.drop(g.gateway, res.Server.ID, true)
		s.report(g.gateway, notifyDelay)
		to := s.byID[res.Server.ID]
		if to.held+to.copied+g.tokens(s.now) <= memory {
			s.release(g, 0)
			s.move(g, from, to, res)
			return
		}
		if to.held+g.tokens(s.now) <= memory {
			s.refusals++
			refusedForCopies = true
		}
		res.Release(backends.ResultInconclusive, s.now)
		tried = append(tried, res.Server.ID)
	}
	if refusedForCopies {
		s.refused++
	}
}

// migrateToCopy continues a run at the engine of its copy.
func (s *simulation) migrateToCopy(g *generation, from *engine) bool {
	c := g.copy
	if c == nil || c.engine.leaving || s.grows {
		return false
	}
	g.copy = nil
	c.reservation.KeepStandby()
	c.engine.copied -= c.tokens
	s.move(g, from, c.engine, c.reservation)
	s.drop(g.gateway, c.engine.server.ID, true)
	s.report(g.gateway, notifyDelay)
	s.toCopies++
	return true
}

// move continues a run at another engine.
func (s *simulation) move(g *generation, from, to *engine, res *backends.Reservation) {
	g.reservation.Release(backends.ResultInconclusive, s.now)
	from.held -= g.heldTokens
	from.runs = without(from.runs, g)
	g.reservation, g.engine = res, to
	to.held += g.heldTokens
	to.runs = append(to.runs, g)
}

// target reserves a target for a migration, as the relay does.
func (s *simulation) target(g *generation, tried []string) *backends.Reservation {
	q := backends.Query{Service: "model", ExpectedTokens: g.expected(s.now), Tried: tried, ForCopy: true, CopySpeed: 18_000, MaxMemoryUse: 0.9, PreferredDomain: g.engine.server.FailureDomain, Draw: s.draws.Uint64()}
	preferred := q
	preferred.SameDomainOnly = true
	unbounded := q
	unbounded.MaxMemoryUse = 0
	for _, q := range []backends.Query{preferred, q, unbounded} {
		if res := s.regs[g.gateway].Acquire(q, s.now); res != nil {
			return res
		}
	}
	return nil
}

func without(list []*generation, g *generation) []*generation {
	return slices.DeleteFunc(slices.Clone(list), func(o *generation) bool { return o == g })
}
