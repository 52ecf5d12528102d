package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"kingcupplank.example/kingcup/backends"
	"kingcupplank.example/kingcup/internal/clock"
	"kingcupplank.example/kingcup/internal/standin/fleet"
)

// The streams of an engine at one gateway have pauses far above the usual. Guards against prompts that other
// gateways, which have no stream there, send to it in the meantime.
func TestDipIsReportedToPeers(t *testing.T) {
	s := newSystem(t)
	s.server(fleet.ModelService, fleet.Behavior{})
	a, b := s.gateway("vm-a"), s.gateway("vm-b")
	var reservation *backends.Reservation
	a.eventually(func() bool {
		reservation = a.registry.Acquire(backends.Query{Service: fleet.ModelService}, clock.SinceBoot())
		return reservation != nil
	}, "a knows the engine")
	defer reservation.Release(backends.ResultOK, clock.SinceBoot())
	for range 12 {
		reservation.ObservePause(40*time.Millisecond, clock.SinceBoot())
	}
	b.eventually(func() bool {
		listed, _ := b.registry.State(reservation.Server)
		return listed
	}, "b knows the engine")
	require.False(t, b.registry.InDip(reservation.Server, clock.SinceBoot()))
	b.eventually(func() bool {
		reservation.ObservePause(100*time.Millisecond, clock.SinceBoot())
		return b.registry.InDip(reservation.Server, clock.SinceBoot())
	}, "b knows the dip")
	require.Equal(t, 1, a.registry.CountDips())
	reservation.ObservePause(40*time.Millisecond, clock.SinceBoot())
	b.eventually(func() bool { return !b.registry.InDip(reservation.Server, clock.SinceBoot()) }, "the dip is over")
}
