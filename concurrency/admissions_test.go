package concurrency

import (
	"time"
)

// unlimited sends each request at once, as gateways do that each allow themselves at least one
// request.
type unlimited struct{}

func newUnlimited(time.Duration) simAdmission               { return unlimited{} }
func (unlimited) update(*sim, *simGateway)                  {}
func (unlimited) arrived(*sim, *simGateway)                 {}
func (unlimited) limited() bool                             { return false }
func (unlimited) tryTake(*sim, *simGateway) bool            { return true }
func (unlimited) wait(*sim, *simGateway, int) time.Duration { return 0 }
func (unlimited) retryAfter(s *sim, _ *simGateway, _ time.Duration) time.Duration {
	return 400*time.Millisecond + time.Duration(s.rng.Float64()*float64(800*time.Millisecond))
}

// shared is the limit of this package.
type shared struct{ *Limiter }

func newShared(start time.Duration) simAdmission { return shared{NewLimiter(start)} }

// inputs returns what a gateway knows.
func (s *sim) inputs(g *simGateway) Inputs {
	var p PeerDemand
	for _, k := range g.peers {
		if r := s.report(g, k); r != nil {
			p.Add(r.demand)
		} else if s.gateways[k].reports[0].inFlight != nil {
			p.AddSilent(s.gateways[k].reports[0].demand)
		}
	}
	var list []Server
	for i, v := range s.servers {
		if s.now >= v.upFrom {
			list = append(list, Server{Slots: v.slots, Answers: &g.servers[i], Age: s.now - max(v.upFrom, g.restartedAt)})
		}
	}
	return Inputs{NewCapacity(list, &g.service, s.clock(g.index)), p, len(s.gateways)}
}

func (a shared) update(s *sim, g *simGateway) { a.Update(s.inputs(g), s.clock(g.index)) }

func (a shared) arrived(s *sim, g *simGateway) { a.Arrived(s.clock(g.index)) }

func (a shared) limited() bool { return a.Limited() }

func (a shared) tryTake(s *sim, g *simGateway) bool { return a.TryTake(s.clock(g.index)) }

func (a shared) wait(s *sim, g *simGateway, ahead int) time.Duration {
	return a.Wait(ahead, s.clock(g.index))
}

func (a shared) retryAfter(s *sim, g *simGateway, left time.Duration) time.Duration {
	if !s.hasServer() {
		return OutageRetryAfter(left, s.rng.Float64())
	}
	return a.RetryAfter(left, s.rng.Float64(), s.clock(g.index))
}

// equalParts gives each gateway the same part of the capacity, with a bucket of one request.
type equalParts struct {
	unlimited
	rate, tokens float64
	at           time.Duration
}

func newEqualParts(time.Duration) simAdmission { return &equalParts{} }

func (a *equalParts) update(s *sim, g *simGateway) {
	a.rate = usedPart * s.inputs(g).Capacity.PerSecond / float64(len(s.gateways))
}

func (a *equalParts) limited() bool { return a.rate > 0 }

func (a *equalParts) refill(s *sim) {
	a.tokens, a.at = min(1, a.tokens+a.rate*(s.now-a.at).Seconds()), s.now
}

func (a *equalParts) tryTake(s *sim, _ *simGateway) bool {
	a.refill(s)
	if a.rate > 0 && a.tokens < 1 {
		return false
	}
	a.tokens--
	return true
}

func (a *equalParts) wait(s *sim, _ *simGateway, ahead int) time.Duration {
	a.refill(s)
	return time.Duration((float64(ahead+1) - a.tokens) / a.rate * float64(time.Second))
}

// tickets gives each request that the servers can answer to one gateway, drawn in proportion to the
// true demand, as rendezvous hashing with weights does where all gateways know all others. A ticket
// can be used for ticketTime.
type tickets struct {
	unlimited
	expires []time.Duration
	rate    float64
}

const ticketTime = 20 * time.Millisecond

func newTickets(time.Duration) simAdmission { return &tickets{} }

// onTick deals the tickets of a tick to all gateways.
func (a *tickets) onTick(s *sim) {
	g := s.gateways[0]
	perSecond := usedPart * s.inputs(g).Capacity.PerSecond
	for range s.steady(perSecond) {
		g := s.gateways[s.pickGateway()]
		a := g.admission.(*tickets)
		a.expires = append(a.expires, s.now+ticketTime)
	}
	for i, g := range s.gateways {
		weight := s.weights[i]
		if i > 0 {
			weight -= s.weights[i-1]
		}
		g.admission.(*tickets).rate = perSecond * weight / s.weights[len(s.weights)-1]
	}
}

// steady returns how many of evenly spaced events fall into the current tick.
func (s *sim) steady(perSecond float64) int {
	return int(perSecond*(s.now+simTick).Seconds()) - int(perSecond*s.now.Seconds())
}

func (a *tickets) limited() bool { return a.rate > 0 }

func (a *tickets) tryTake(s *sim, _ *simGateway) bool {
	if a.rate <= 0 {
		return true
	}
	for len(a.expires) > 0 && a.expires[0] < s.now {
		a.expires = a.expires[1:]
	}
	if len(a.expires) == 0 {
		return false
	}
	a.expires = a.expires[1:]
	return true
}

func (a *tickets) wait(_ *sim, _ *simGateway, ahead int) time.Duration {
	return time.Duration(float64(ahead) / a.rate * float64(time.Second))
}
