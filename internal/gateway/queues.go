package gateway

import (
	"time"

	"kingcupplank.example/kingcup/flow"
	"kingcupplank.example/kingcup/internal/clock"
	"kingcupplank.example/kingcup/pacing"
	"kingcupplank.example/kingcup/platform/operator"
)

// ReportQueue implements relay.Peers. Peers act on two changes, which are therefore sent as
// soon as possible: requests begin to wait here, or a more urgent one than before waits.
func (g *group) ReportQueue(service string, q flow.Contender) {
	q.Name = g.self.Name
	g.mu.Lock()
	before := g.queues[service]
	if q.Waiting > 0 {
		g.queues[service] = q
	} else {
		delete(g.queues, service)
	}
	g.mu.Unlock()
	if q.Waiting > 0 && (before.Waiting == 0 || q.Rank < before.Rank) {
		g.links.SendLoadsSoon()
	}
}

// usageSnapshot is what the teams with the highest usage of a service had used at a time.
type usageSnapshot struct {
	top []flow.Usage
	at  time.Duration
}

// decayedAt returns the usage decayed to a later time. Without the decay, a gateway that no
// longer gets requests of a team would keep reporting its past surge.
func (u usageSnapshot) decayedAt(now time.Duration) []flow.Usage {
	out := make([]flow.Usage, len(u.top))
	for i, t := range u.top {
		out[i] = flow.Usage{Team: t.Team, Amount: flow.Decay(t.Amount, now-u.at)}
	}
	return out
}

// ReportUsage implements relay.Peers.
func (g *group) ReportUsage(service string, top []flow.Usage) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.teamUsage[service] = usageSnapshot{top, clock.SinceBoot()}
}

// Usage implements relay.Peers.
func (g *group) Usage(service string) (out []flow.Usage) {
	for _, s := range g.links.LiveStates() {
		for _, u := range s.GetUsages() {
			if u.GetService() == service {
				out = append(out, flow.Usage{Team: u.GetTeam(), Amount: boundedAmount(u.GetAmount())})
			}
		}
	}
	return out
}

// ReportLightUsage implements relay.Peers.
func (g *group) ReportLightUsage(service string, top []flow.Usage) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lightUsage[service] = usageSnapshot{top, clock.SinceBoot()}
}

// LightUsage implements relay.Peers.
func (g *group) LightUsage(service string) (out []flow.Usage) {
	for _, s := range g.links.LiveStates() {
		for _, u := range s.GetUsages() {
			if amount := boundedAmount(u.GetLightAmount()); amount > 0 && u.GetService() == service {
				out = append(out, flow.Usage{Team: u.GetTeam(), Amount: min(amount, boundedAmount(u.GetAmount()))})
			}
		}
	}
	return out
}

// lightAmounts returns the present usage by light generations, by team. mu must be held.
func (g *group) lightAmounts(service string, now time.Duration) map[string]float64 {
	out := make(map[string]float64)
	for _, u := range g.lightUsage[service].decayedAt(now) {
		out[u.Team] = u.Amount
	}
	return out
}

// maxAmount bounds a reported usage in token seconds: more than a thousand engines have in the time that
// usage counts.
const maxAmount = 1e12

// boundedAmount returns a reported usage, 0 if it is negative or not a number.
func boundedAmount(amount float32) float64 {
	if !(amount > 0) {
		return 0
	}
	return min(maxAmount, float64(amount))
}

// turnPeriod is how long a turn lasts: the time in which a server is left to one gateway.
// It is longer than the 20 ms that a state takes to reach all peers of a small VM, and
// short compared with the 400 ms in which an engine reads a prompt.
const turnPeriod = 60 * time.Millisecond

// Turns implements relay.Peers.
func (g *group) Turns(service string, rank int) *flow.Turns {
	period, known := g.currentPeriod()
	if !known {
		return nil
	}
	self := flow.Contender{Name: g.self.Name, Waiting: g.waitingHere(service)}
	return flow.NewTurns(self, g.contenders(service), rank, period)
}

// MigrationTurns implements relay.Peers.
func (g *group) MigrationTurns(domain string) *flow.Turns {
	period, known := g.currentPeriod()
	contenders := g.registry.CountRequestsAtLeaving(g.self.Name, domain)
	if !known || len(contenders) < 2 {
		return nil
	}
	t := &flow.Turns{Self: g.self.Name, Period: period}
	for name, n := range contenders {
		t.Contenders = append(t.Contenders, flow.Contender{Name: name, Waiting: n})
	}
	return t
}

// currentPeriod returns the number of the current period of turns. Periods are counted on
// the store's clock, which all gateways share. The result is false while this gateway
// doesn't know that clock.
func (g *group) currentPeriod() (int64, bool) {
	clock := g.SharedClock()
	return int64(clock.Now / turnPeriod), clock.Known
}

// SharedClock implements relay.Peers: the store's clock.
func (g *group) SharedClock() pacing.SharedTime {
	f := g.followers[operator.Table]
	if f == nil {
		return pacing.SharedTime{}
	}
	now, known := f.StoreTime()
	return pacing.SharedTime{Now: now, Known: known}
}

// maxQueueTokens bounds the memory that a peer's queue is reported to need.
const maxQueueTokens = 1 << 40

// Queues implements relay.Peers.
func (g *group) Queues(service string) []flow.Contender { return g.contenders(service) }

// contenders lists the peers at which requests wait for a service.
func (g *group) contenders(service string) (out []flow.Contender) {
	for _, s := range g.links.LiveStates() {
		for _, q := range s.GetQueues() {
			if q.GetService() == service {
				out = append(out, flow.Contender{Name: s.GetFrom().GetName(), Waiting: int(q.GetWaiting()), Rank: int(q.GetRank()), WaitingAtRank: int(q.GetFirst()), Tokens: int(min(q.GetTokens(), maxQueueTokens))})
			}
		}
	}
	return out
}

// waitingHere counts the requests that wait at this gateway for a service.
func (g *group) waitingHere(service string) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.queues[service].Waiting
}
