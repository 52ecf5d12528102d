package gateway

import (
	"time"

	"kingcupplank.example/kingcup/flow"
	"kingcupplank.example/kingcup/internal/clock"
	"kingcupplank.example/kingcup/pacing"
	"kingcupplank.example/kingcup/platform/operator"
)

// ReportQueue implements relay.Others. What others act on is told at once: that there is
// a queue, or that something more urgent waits there than before.
func (g *group) ReportQueue(service string, q flow.Contender) {
	q.Name = g.self.Name
	g.mu.Lock()
	was := g.queues[service]
	if q.Waiting > 0 {
		g.queues[service] = q
	} else {
		delete(g.queues, service)
	}
	g.mu.Unlock()
	if q.Waiting > 0 && (was.Waiting == 0 || q.Rank < was.Rank) {
		g.links.SendStateNow()
	}
}

// usages is what the largest teams had used at some time.
type usages struct {
	top []flow.Usage
	at  time.Duration
}

// now is what that counts now. A gateway that gets no more requests of a team must not
// go on telling of its surge.
func (u usages) now(now time.Duration) []flow.Usage {
	out := make([]flow.Usage, len(u.top))
	for i, t := range u.top {
		out[i] = flow.Usage{Team: t.Team, Amount: flow.Decay(t.Amount, now-u.at)}
	}
	return out
}

// ReportUsage implements relay.Others.
func (g *group) ReportUsage(service string, top []flow.Usage) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.used[service] = usages{top, clock.SinceBoot()}
}

// Usage implements relay.Others.
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

// turnPeriod is how long a server is one gateway's: longer than a state takes to
// reach all peers of a small VM (20 ms), and short beside the 400 ms that an engine
// reads a prompt.
const turnPeriod = 60 * time.Millisecond

// Turns implements relay.Others.
func (g *group) Turns(service string, rank int) *flow.Turns {
	period, known := g.period()
	if !known {
		return nil
	}
	self := flow.Contender{Name: g.self.Name, Waiting: g.waiting(service)}
	return flow.NewTurns(self, g.contenders(service), rank, period)
}

// MigrationTurns implements relay.Others.
func (g *group) MigrationTurns(domain string) *flow.Turns {
	period, known := g.period()
	movers := g.registry.CountRequestsAtLeaving(g.self.Name, domain)
	if !known || len(movers) < 2 {
		return nil
	}
	t := &flow.Turns{Self: g.self.Name, Period: period}
	for name, n := range movers {
		t.Contenders = append(t.Contenders, flow.Contender{Name: name, Waiting: n})
	}
	return t
}

// period numbers the present span of turns, on the store's clock, which all gateways
// know; false while this one does not know it.
func (g *group) period() (int64, bool) {
	clock := g.SharedClock()
	return int64(clock.Now / turnPeriod), clock.Known
}

// SharedClock implements relay.Others: the store's clock.
func (g *group) SharedClock() pacing.SharedTime {
	f := g.followers[operator.Table]
	if f == nil {
		return pacing.SharedTime{}
	}
	now, known := f.StoreTime()
	return pacing.SharedTime{Now: now, Known: known}
}

// contenders lists the peers that have requests waiting for a service.
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

func (g *group) waiting(service string) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.queues[service].Waiting
}
