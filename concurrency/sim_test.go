package concurrency

import (
	"math"
	"math/rand/v2"
	"slices"
	"sort"
	"time"
)

const (
	simTick = time.Millisecond
	// simPoll is how often a waiting request tries again, in ticks.
	simPoll = 10
	// simUpdate is how often a gateway gathers the inputs of its decision, in ticks.
	simUpdate = 50
	// simHop is the time between a gateway and a server, each way.
	simHop = time.Millisecond
	// simLinkTime is how long after its start a gateway has links to its peers.
	simLinkTime = 500 * time.Millisecond
	// simTarget is the latency target of the callers, simPatience how long they wait at most.
	simTarget, simPatience = 150 * time.Millisecond, 2500 * time.Millisecond
	simSlots               = 6
	simService             = 30 * time.Millisecond
)

// simRequest is one attempt of a caller.
type simRequest struct {
	gateway, server int
	arrived, sent   time.Duration
	deadline        time.Duration
	retried         bool
}

// simServer runs as many requests as it has slots; further ones wait in the order of arrival.
type simServer struct {
	slots   int
	service time.Duration
	upFrom  time.Duration
	running []simRun
	queue   []*simRequest
}

const longRunFactor = 4

type simRun struct {
	*simRequest
	ends time.Duration
}

// simReport is what a gateway has told its peers.
type simReport struct {
	at       time.Duration
	demand   float64
	inFlight []int
}

// simGateway is a gateway with its decision.
type simGateway struct {
	admission simAdmission
	service   Answers
	servers   []Answers
	inFlight  []int
	peers     []int
	// reports are the last reports, the newest first.
	reports [4]simReport
	demand  Demand
	waiting []*simRequest
	dead    bool
	// restartedAt is when the gateway forgot everything.
	restartedAt time.Duration
	// phase shifts the gateway's periodic work against that of the others.
	index, phase    int
	arrived, onTime int
}

// simAdmission decides for one gateway.
type simAdmission interface {
	// update gathers the inputs.
	update(s *sim, g *simGateway)
	arrived(s *sim, g *simGateway)
	// limited reports whether the limit binds.
	limited() bool
	tryTake(s *sim, g *simGateway) bool
	// wait returns how long a request waits behind others.
	wait(s *sim, g *simGateway, ahead int) time.Duration
	// retryAfter returns the retry time of a caller that waits for a time.
	retryAfter(s *sim, g *simGateway, left time.Duration) time.Duration
}

// sim is a load on plain servers through many gateways, without a network.
type sim struct {
	rng      *rand.Rand
	now      time.Duration
	gateways []*simGateway
	servers  []*simServer
	weights  []float64
	// retry says that callers that are refused retry once.
	retry bool
	// longRuns is the part of the requests that take longRunFactor times as long as others.
	longRuns float64
	// clockStep is how far the clock of each gateway is ahead of that of the one before.
	clockStep time.Duration
	newAdmit  func(start time.Duration) simAdmission
	// reportPeriod is the time between two reports of a gateway.
	reportPeriod time.Duration
	// rate is the number of requests per second at a time.
	rate func(now time.Duration) float64
	// cut says whether a report of one gateway reaches another.
	cut func(from, to int) bool
	// events happen at their times. later are the requests that are retried, by time.
	events map[time.Duration]func()
	later  map[time.Duration][]*simRequest
	simResult
}

// simResult is what callers and servers see.
type simResult struct {
	arrived, admitted, onTime, late, refused, delayed int
	refusedHeld                                       int
	// lost counts the callers that were refused and do not retry.
	lost       int
	answered   int
	retryAfter []time.Duration
	// inFlight has a sample for each tick, in requests at a server or on the way.
	inFlight []float64
	answers  []int
}

// newSim returns a load on servers through a number of gateways whose demand differs by a factor
// of up to 30.
func newSim(gateways, servers, slots int, seed uint64, newAdmit func(start time.Duration) simAdmission) *sim {
	s := &sim{rng: rand.New(rand.NewPCG(seed, 11)), newAdmit: newAdmit, cut: func(int, int) bool { return false }, events: map[time.Duration]func(){}, later: map[time.Duration][]*simRequest{}}
	for range servers {
		s.servers = append(s.servers, &simServer{slots: slots, service: simService, upFrom: -time.Hour})
	}
	sum := 0.0
	for i := range gateways {
		g := &simGateway{phase: s.rng.IntN(1000)}
		s.reset(g, i)
		s.gateways = append(s.gateways, g)
		sum += math.Exp(1.7 * (2*s.rng.Float64() - 1))
		s.weights = append(s.weights, sum)
		g.peers = simPeers(s.rng, i, gateways)
	}
	s.reportPeriod = max(150*time.Millisecond, time.Duration(min(38, gateways))*10*time.Millisecond)
	return s
}

// simPeers returns the gateways whose reports a gateway gets: all others, or those of its cell and a
// few of others.
func simPeers(rng *rand.Rand, self, n int) (out []int) {
	if n <= 38 {
		for i := range n {
			if i != self {
				out = append(out, i)
			}
		}
		return out
	}
	const cell = 26
	for i := self / cell * cell; i < min(n, self/cell*cell+cell); i++ {
		if i != self {
			out = append(out, i)
		}
	}
	for range 6 {
		if i := rng.IntN(n); i != self && !slices.Contains(out, i) {
			out = append(out, i)
		}
	}
	return out
}

func (s *sim) reset(g *simGateway, i int) {
	*g = simGateway{index: i, phase: g.phase, peers: g.peers, restartedAt: s.now, inFlight: make([]int, len(s.servers)), servers: make([]Answers, len(s.servers))}
	if s.now == 0 {
		g.restartedAt = -time.Hour
	}
	start := g.restartedAt + time.Duration(i)*s.clockStep
	g.demand = NewDemand(start)
	g.admission = s.newAdmit(start)
}

func (s *sim) pickGateway() int {
	x := s.rng.Float64() * s.weights[len(s.weights)-1]
	for {
		i := min(sort.SearchFloat64s(s.weights, x), len(s.weights)-1)
		if !s.gateways[i].dead {
			return i
		}
		x = s.rng.Float64() * s.weights[len(s.weights)-1]
	}
}

func (s *sim) poisson(mean float64) (n int) {
	for p := s.rng.ExpFloat64(); p < mean; p += s.rng.ExpFloat64() {
		n++
	}
	return n
}

// run plays the load until a time.
func (s *sim) run(until time.Duration) simResult {
	for ; s.now < until; s.now += simTick {
		if f := s.events[s.now]; f != nil {
			f()
		}
		if a, ok := s.gateways[0].admission.(interface{ onTick(*sim) }); ok {
			a.onTick(s)
		}
		for i, g := range s.gateways {
			if !g.dead {
				s.runGateway(g, int(s.now/simTick)+g.phase, i)
			}
		}
		for range s.poisson(s.rate(s.now) * simTick.Seconds()) {
			s.arrive(&simRequest{deadline: s.now + simPatience})
		}
		for _, q := range s.later[s.now] {
			s.arrive(q)
		}
		delete(s.later, s.now)
		s.serve()
	}
	return s.simResult
}

// runGateway does what a gateway does periodically.
func (s *sim) runGateway(g *simGateway, tick, i int) {
	if tick%int(s.reportPeriod/simTick) == 0 {
		copy(g.reports[1:], g.reports[:])
		g.reports[0] = simReport{s.now, g.demand.PerSecond(s.clock(i)), slices.Clone(g.inFlight)}
	}
	if tick%simUpdate == 0 {
		g.admission.update(s, g)
	}
	if tick%simPoll == 0 {
		s.poll(g)
	}
}

// clock returns the time of a gateway's own clock.
func (s *sim) clock(gateway int) time.Duration {
	return s.now + time.Duration(gateway)*s.clockStep
}

// arrive plays the arrival of an attempt at a gateway.
func (s *sim) arrive(q *simRequest) {
	q.gateway, q.arrived = s.pickGateway(), s.now
	g := s.gateways[q.gateway]
	g.demand.Arrived(s.clock(q.gateway))
	s.arrived++
	g.arrived++
	g.admission.arrived(s, g)
	if len(g.waiting) == 0 && s.hasServer() && g.admission.tryTake(s, g) {
		s.send(g, q)
		return
	}
	if !s.hasServer() || g.admission.wait(s, g, len(g.waiting)) > simTarget/2 {
		s.refuse(g, q)
		return
	}
	s.delayed++
	g.waiting = append(g.waiting, q)
}

func (s *sim) hasServer() bool {
	return slices.ContainsFunc(s.servers, func(v *simServer) bool { return s.now >= v.upFrom })
}

func (s *sim) refuse(g *simGateway, q *simRequest) {
	s.refused++
	if s.now-q.arrived > simTarget/8 {
		s.refusedHeld++
	}
	if !s.retry || q.retried {
		s.lost++
		return
	}
	q.retried = true
	wait := g.admission.retryAfter(s, g, q.deadline-s.now)
	s.retryAfter = append(s.retryAfter, wait)
	wait = min(wait, (q.deadline-s.now)/HonoredDivisor)
	at := (s.now + wait).Truncate(simTick) + simTick
	s.later[at] = append(s.later[at], q)
}

func (s *sim) poll(g *simGateway) {
	for len(g.waiting) > 0 {
		q := g.waiting[0]
		if s.now-q.arrived > simTarget-simService-simService/4 {
			s.refuse(g, q)
		} else if g.admission.tryTake(s, g) {
			s.send(g, q)
		} else {
			return
		}
		g.waiting = g.waiting[1:]
	}
}

// known returns what a gateway knows of the requests at a server.
func (s *sim) known(g *simGateway, server int) int {
	n := g.inFlight[server]
	for _, p := range g.peers {
		if r := s.report(g, p); r != nil {
			n += r.inFlight[server]
		}
	}
	return n
}

// report returns the latest report of a peer that has arrived, nil if there is none.
func (s *sim) report(g *simGateway, peer int) *simReport {
	p := s.gateways[peer]
	if p.dead && s.now > p.reports[0].at+4*s.reportPeriod || s.cut(peer, g.index) {
		return nil
	}
	if s.now < max(p.restartedAt, g.restartedAt)+simLinkTime {
		return nil
	}
	for k := range p.reports {
		if r := &p.reports[k]; r.inFlight != nil && s.now >= r.at+30*time.Millisecond && r.at >= p.restartedAt {
			return r
		}
	}
	return nil
}

func (s *sim) send(g *simGateway, q *simRequest) {
	best, load := -1, 0.0
	for range max(2, 5*len(s.servers)/len(s.gateways)) {
		k := s.pickServer()
		known := g.inFlight[k]
		if !g.admission.limited() {
			known = s.known(g, k)
		}
		if l := float64(known) + s.rng.Float64(); best < 0 || l < load {
			best, load = k, l
		}
	}
	s.admitted++
	q.server, q.sent = best, s.now
	g.inFlight[best]++
	s.servers[best].queue = append(s.servers[best].queue, q)
}

// pickServer picks one of the servers that are up.
func (s *sim) pickServer() int {
	for {
		if k := s.rng.IntN(len(s.servers)); s.now >= s.servers[k].upFrom {
			return k
		}
	}
}

// serve lets the servers answer what is due and begin what waits.
func (s *sim) serve() {
	inFlight, answers := 0, 0
	for _, v := range s.servers {
		v.running = slices.DeleteFunc(v.running, func(r simRun) bool {
			if r.ends > s.now {
				return false
			}
			answers++
			s.answer(r.simRequest)
			return true
		})
		for len(v.running) < v.slots && len(v.queue) > 0 && s.now >= v.queue[0].sent+simHop {
			took := time.Duration((0.9 + 0.2*s.rng.Float64()) * float64(v.service))
			if s.longRuns > 0 && s.rng.Float64() < s.longRuns {
				took *= longRunFactor
			}
			v.running = append(v.running, simRun{v.queue[0], s.now + took})
			v.queue = v.queue[1:]
		}
		inFlight += len(v.running) + len(v.queue)
	}
	s.inFlight = append(s.inFlight, float64(inFlight))
	s.simResult.answers = append(s.simResult.answers, answers)
}

func (s *sim) answer(q *simRequest) {
	g, took := s.gateways[q.gateway], s.now+simHop-q.sent
	if s.now-q.arrived <= simTarget {
		s.onTime++
		g.onTime++
	} else {
		s.late++
	}
	s.answered++
	if g.restartedAt > q.sent || g.dead {
		return
	}
	g.inFlight[q.server]--
	g.service.Observe(took, s.clock(q.gateway))
	g.servers[q.server].Observe(took, s.clock(q.gateway))
}

// mean returns the mean of the samples between two times.
func meanOf[T int | float64](list []T, from, to time.Duration) float64 {
	sum := 0.0
	part := list[from/simTick : to/simTick]
	for _, x := range part {
		sum += float64(x)
	}
	return sum / float64(len(part))
}

// longestAbove returns the longest time for which the mean over 50 ms stays above a bound.
func longestAbove(list []float64, bound float64, from time.Duration) (longest time.Duration) {
	const span = 50
	run := 0
	for i := int(from / simTick); i+span <= len(list); i++ {
		if meanOf(list, time.Duration(i)*simTick, time.Duration(i+span)*simTick) <= bound {
			run = 0
			continue
		}
		run++
		longest = max(longest, time.Duration(run)*simTick)
	}
	return longest
}
