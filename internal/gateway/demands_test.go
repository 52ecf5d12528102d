package gateway

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"kingcupplank.example/kingcup/concurrency"
	"kingcupplank.example/kingcup/internal/clock"
	"kingcupplank.example/kingcup/internal/standin/fleet"
	peerv1 "kingcupplank.example/kingcup/proto/kingcup/peer/v1"
)

// Guards against gateways that do not learn of each other's demand, and against the demand of a
// gateway that gets no more requests being reported for ever.
func TestGatewaysTellEachOtherTheirDemand(t *testing.T) {
	s := newSystem(t)
	s.server(fleet.DeskService, fleet.Behavior{})
	a, b := s.gateway("vm-a"), s.gateway("vm-b")
	a.group.ReportDemand(fleet.DeskService, 50000)
	b.eventually(func() bool { return b.group.Demand(fleet.DeskService).Sum > 1000 }, "demand is reported")
	require.Equal(t, 1, b.group.Demand(fleet.DeskService).Heard)
	require.Equal(t, concurrency.PeerDemand{Heard: 1}, b.group.Demand(fleet.ModelService), "no demand is told too")
	a.eventually(func() bool { return a.group.Demand(fleet.DeskService) == concurrency.PeerDemand{Heard: 1} }, "b has none")
	b.eventually(func() bool { return b.group.Demand(fleet.DeskService).Sum < 100 }, "demand decays")
}

// Guards against a gateway's demand being counted after its state has expired, by the state being the
// only place where it is kept, against gateways of the previous release counting as ones without
// demand, and against invalid reports.
func TestDemandsOfPeersAreSummed(t *testing.T) {
	state := func(demands ...*peerv1.Demand) *peerv1.State {
		return &peerv1.State{From: &peerv1.Member{Name: "vm"}, Demands: demands}
	}
	invalid := 0
	sum := func(states ...*peerv1.State) concurrency.PeerDemand {
		return sumDemands(states, nil, "desk", func(string, float64) { invalid++ })
	}
	require.Zero(t, sum())
	require.Zero(t, sum(state()), "previous release: unknown")
	require.Equal(t, concurrency.PeerDemand{Heard: 1}, sum(state(&peerv1.Demand{})), "none")
	require.Equal(t, concurrency.PeerDemand{Sum: 12, Heard: 2}, sum(
		state(&peerv1.Demand{Service: "other", PerSecond: 7}, &peerv1.Demand{Service: "desk", PerSecond: 5}),
		state(&peerv1.Demand{Service: "desk", PerSecond: 7})))
	require.Zero(t, invalid)
	for _, rate := range []float64{math.NaN(), math.Inf(1), -1, 1e9} {
		require.Zero(t, sum(state(&peerv1.Demand{Service: "desk", PerSecond: float32(rate)})))
	}
	require.Equal(t, 4, invalid)
	silent := sumDemands(nil, []*peerv1.State{state(), state(&peerv1.Demand{Service: "desk", PerSecond: 7})}, "desk", func(string, float64) {})
	require.Equal(t, concurrency.PeerDemand{SilentSum: 7, Silent: 1}, silent)
}

// Guards against a message that grows with services that are no longer used.
func TestOldDemandIsNotReported(t *testing.T) {
	now := clock.SinceBoot()
	g := &group{demands: map[string]demandSnapshot{"old": {10, now - time.Minute}, "new": {10, now}}}
	require.Len(t, g.demandMessages(now), 1)
	require.Equal(t, "new", g.demandMessages(now)[0].GetService())
	require.Len(t, g.demandMessages(now+time.Minute), 1, "that there is none")
	require.Empty(t, g.demands)
}
