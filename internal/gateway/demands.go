package gateway

import (
	"time"

	"kingcupplank.example/kingcup/concurrency"
	"kingcupplank.example/kingcup/internal/clock"
	peerv1 "kingcupplank.example/kingcup/proto/kingcup/peer/v1"
)

const (
	// minReportedDemand is the lowest demand that is reported, in requests per second.
	minReportedDemand = 0.02
	// invalidDemandLogInterval is the minimum time between two log lines about reports that are out
	// of range.
	invalidDemandLogInterval = 10 * time.Second
)

// demandSnapshot is the demand for a service as of a time, in requests per second.
type demandSnapshot struct {
	perSecond float64
	at        time.Duration
}

// ReportDemand implements relay.Peers.
func (g *group) ReportDemand(service string, perSecond float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.demands[service] = demandSnapshot{perSecond, clock.SinceBoot()}
}

// demandMessages returns the demand for each service. A gateway without any demand sends an entry
// without a service, which tells it from one of a release that measures none. mu must be held.
func (g *group) demandMessages(now time.Duration) (out []*peerv1.Demand) {
	for service, d := range g.demands {
		rate := concurrency.Decay(d.perSecond, now-d.at)
		if rate < minReportedDemand {
			delete(g.demands, service)
			continue
		}
		out = append(out, &peerv1.Demand{Service: service, PerSecond: float32(rate)})
	}
	if len(out) == 0 {
		out = append(out, &peerv1.Demand{})
	}
	return out
}

// Demand implements relay.Peers.
func (g *group) Demand(service string) concurrency.PeerDemand {
	return sumDemands(g.links.LiveStates(), service, func(peer string, rate float64) { g.logInvalidDemand(peer, service, rate) })
}

// sumDemands sums the demand for a service in the states of peers. Peers that report no demand at all
// count as not heard. It calls onInvalid for each report that is out of range.
func sumDemands(states []*peerv1.State, service string, onInvalid func(peer string, rate float64)) (sum concurrency.PeerDemand) {
	for _, s := range states {
		if len(s.GetDemands()) == 0 {
			continue
		}
		rate := 0.0
		for _, d := range s.GetDemands() {
			if d.GetService() == service {
				rate = float64(d.GetPerSecond())
			}
		}
		if !sum.Add(rate) {
			onInvalid(s.GetFrom().GetName(), rate)
		}
	}
	return sum
}

// logInvalidDemand logs that a peer has reported a demand out of range.
func (g *group) logInvalidDemand(peer, service string, rate float64) {
	now := clock.SinceBoot()
	g.mu.Lock()
	due := g.invalidDemandLogged == 0 || now-g.invalidDemandLogged >= invalidDemandLogInterval
	if due {
		g.invalidDemandLogged = now
	}
	g.mu.Unlock()
	if due {
		g.log.WithField("peer", peer).WithField("service", service).WithField("per_second", rate).Warn("peer reported a demand out of range, ignored it")
	}
}
