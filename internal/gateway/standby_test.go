package gateway

import (
	"testing"

	"github.com/stretchr/testify/require"

	"kingcupplank.example/kingcup/backends"
	"kingcupplank.example/kingcup/cells"
	"kingcupplank.example/kingcup/platform/settings"
	peerv1 "kingcupplank.example/kingcup/proto/kingcup/peer/v1"
)

// The settings say whether standby copies give way; without the object they do not.
func TestFaultToleranceReachesTheRelay(t *testing.T) {
	require.Zero(t, relayConfig(&settings.Settings{}).DomainFailures)
	require.Equal(t, 1, relayConfig(&settings.Settings{FaultTolerance: settings.FaultTolerance{FailureDomains: 1}}).DomainFailures)
}

// Peers must learn which part of a load gives way. Guards against a peer whose report is out of
// range, or of a previous release without the field, taking an engine's load off.
func TestStandbyCopiesAreReportedToPeers(t *testing.T) {
	here, there := newQuietGroup(fakeStore(nil)), newQuietGroup(fakeStore(nil))
	engine := backends.Server{ID: "e", Service: "model", FailureDomain: "z"}
	for _, g := range []*group{here, there} {
		g.registry.Put(engine, 0)
		g.registry.SetCell(cells.Place{Self: "self", CellCount: 1})
	}
	run := here.registry.Acquire(backends.Query{Service: "model", ExpectedTokens: 3000}, 0)
	standby := here.registry.Acquire(backends.Query{Service: "model", ExpectedTokens: 2000, ForCopy: true, GivesWay: true}, 0)
	there.State("vm-1", here.ownState())
	probe := there.registry.Acquire(backends.Query{Service: "model"}, 0)
	require.Equal(t, 5000, probe.ExpectedTokens)
	require.Equal(t, 2000, probe.Standby)
	standby.KeepStandby()
	there.State("vm-1", here.ownState())
	require.Zero(t, there.registry.Acquire(backends.Query{Service: "model"}, 0).Standby, "a run resumes from it")
	run.Release(backends.ResultOK, 0)

	for _, l := range []*peerv1.Load{{Tokens: 700}, {Tokens: 700, Standby: 1 << 62}, {Tokens: 1 << 63, Standby: 1 << 63}, {Standby: 5}} {
		l.Server, l.Running = "e", 1
		there.State("vm-1", &peerv1.State{Loads: []*peerv1.Load{l}})
		probe := there.registry.Acquire(backends.Query{Service: "model"}, 0)
		require.GreaterOrEqual(t, probe.Standby, 0)
		require.LessOrEqual(t, uint64(probe.Standby), l.GetTokens())
	}
}
