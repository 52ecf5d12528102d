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
	onInvalid := func(peer string, rate float64) { g.logInvalidDemand(peer, service, rate) }
	return sumDemands(g.links.LiveStates(), g.links.SilentStates(), service, onInvalid)
}

// sumDemands sums the demand for a service in the states of peers, and in the last states of those that are
// silent. Peers that report no demand at all count as not heard. It calls onInvalid for each report that is out of
// range.
func sumDemands(live, silent []*peerv1.State, service string, onInvalid func(peer string, rate float64)) (sum concurrency.PeerDemand) {
	add := func(states []*peerv1.State, add func(float64) bool) {
		for _, s := range states {
			if rate, ok := reportedDemand(s, service); ok && !add(rate) {
				onInvalid(s.GetFrom().GetName(), rate)
			}
		}
	}
	add(live, sum.Add)
	add(silent, sum.AddSilent)
	return sum
}

// reportedDemand returns the demand for a service in the state of a peer, and false if it reports none at all.
func reportedDemand(s *peerv1.State, service string) (rate float64, ok bool) {
	for _, d := range s.GetDemands() {
		if d.GetService() == service {
			rate = float64(d.GetPerSecond())
		}
	}
	return rate, len(s.GetDemands()) > 0
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
