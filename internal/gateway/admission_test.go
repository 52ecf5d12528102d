package gateway

import (
	"math"
	"testing"

	"github.com/stretchr/testify/require"

	"kingcupplank.example/kingcup/backends"
	"kingcupplank.example/kingcup/flow"
	"kingcupplank.example/kingcup/internal/clock"
	"kingcupplank.example/kingcup/internal/standin/fleet"
	peerv1 "kingcupplank.example/kingcup/proto/kingcup/peer/v1"
)

// Guards against reports of the previous release, or invalid ones, that count as free memory or usage.
func TestInvalidReportsOfMemoryAndUsageAreHarmless(t *testing.T) {
	for _, l := range []*peerv1.Load{{Tokens: 9000}, {Tokens: 9000, Held: 9000}, {Tokens: 9000, Held: math.MaxUint64}, {}} {
		require.Zero(t, growthFromMessage(l))
	}
	require.Equal(t, 2000, growthFromMessage(&peerv1.Load{Tokens: 9000, Held: 7000}))
	nan := float32(math.NaN())
	require.Zero(t, boundedAmount(nan))
	require.Zero(t, boundedAmount(-1))
	require.Equal(t, maxAmount, boundedAmount(float32(math.Inf(1))))
	require.Equal(t, 5.0, boundedAmount(5))
}

// Guards against peers that don't learn what admission at another gateway depends on: held memory, the
// memory that a queue needs, and light usage.
func TestGatewaysShareWhatAdmissionNeeds(t *testing.T) {
	s := newSystem(t)
	engine := s.server(fleet.ModelService, fleet.Behavior{})
	a, b := s.gateway("vm-a"), s.gateway("vm-b")
	for _, n := range []*testGateway{a, b} {
		n.eventually(func() bool { return n.registry.CountReady(fleet.ModelService) == 1 }, "engine known")
	}
	res := a.registry.Acquire(backends.Query{Service: fleet.ModelService, ExpectedTokens: 3300, HeldTokens: 3000}, clock.SinceBoot())
	require.Equal(t, engine.ID, res.Server.ID)
	a.group.ReportQueue(fleet.ModelService, flow.Contender{Waiting: 2, Tokens: 6600})
	a.group.ReportUsage(fleet.ModelService, []flow.Usage{{Team: "large", Amount: 5000}})
	a.group.ReportLightUsage(fleet.ModelService, []flow.Usage{{Team: "large", Amount: 1000}})
	b.eventually(func() bool {
		queues, light := b.group.Queues(fleet.ModelService), b.group.LightUsage(fleet.ModelService)
		return len(queues) == 1 && queues[0].Tokens == 6600 && len(light) == 1 && light[0].Amount > 500
	}, "queue and light usage")
	b.eventually(func() bool {
		l := b.registry.Acquire(backends.Query{Service: fleet.ModelService}, clock.SinceBoot())
		defer l.Release(backends.ResultInconclusive, clock.SinceBoot())
		return l.ExpectedTokens == 3300 && l.Held() == 3000
	}, "held memory")
}
