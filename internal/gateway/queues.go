package gateway

import (
	"time"

	"kingcupplank.example/kingcup/flow"
	"kingcupplank.example/kingcup/internal/clock"
	"kingcupplank.example/kingcup/pacing"
	"kingcupplank.example/kingcup/platform/operator"
)

// ReportQueue implements relay.Peers. Peers act on two changes, which are therefore sent at
// once: requests begin to wait here, or a more urgent one than before waits.
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
		g.links.SendStateNow()
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
				out = append(out, flow.Usage{Team: u.GetTeam(), Amount: float64(u.GetAmount())})
			}
		}
	}
	return out
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

// contenders lists the peers at which requests wait for a service.
func (g *group) contenders(service string) (out []flow.Contender) {
	for _, s := range g.links.LiveStates() {
		for _, q := range s.GetQueues() {
			if q.GetService() == service {
				out = append(out, flow.Contender{Name: s.GetFrom().GetName(), Waiting: int(q.GetWaiting()), Rank: int(q.GetRank()), WaitingAtRank: int(q.GetFirst())})
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
