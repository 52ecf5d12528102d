package gateway

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"kingcupplank.example/kingcup/backends"
	"kingcupplank.example/kingcup/flow"
	"kingcupplank.example/kingcup/internal/clock"
	"kingcupplank.example/kingcup/internal/standin/fleet"
)

// Requests wait at two gateways for an engine with room. Each gateway learns of the other's
// queue, and they agree for each engine whose turn it is, so that only one of them sends a
// request there.
func TestGatewaysWithQueuesTakeTurns(t *testing.T) {
	s := newSystem(t)
	s.server(fleet.ModelService, fleet.Behavior{})
	a, b := s.gateway("vm-a"), s.gateway("vm-b")
	require.Nil(t, a.group.Turns(fleet.ModelService, 0))
	a.group.ReportQueue(fleet.ModelService, flow.Contender{Waiting: 3, Rank: 1, WaitingAtRank: 3})
	b.group.ReportQueue(fleet.ModelService, flow.Contender{Waiting: 1, Rank: 1, WaitingAtRank: 1})
	sees := func(n *testGateway, other string) func() bool {
		return func() bool {
			list := n.group.contenders(fleet.ModelService)
			return len(list) == 1 && list[0].Name == other
		}
	}
	a.eventually(sees(a, "vm-b"), "a knows b's queue")
	b.eventually(sees(b, "vm-a"), "b knows a's queue")
	var turnA, turnB *flow.Turns
	a.eventually(func() bool {
		turnA, turnB = a.group.Turns(fleet.ModelService, 1), b.group.Turns(fleet.ModelService, 1)
		return turnA.Period == turnB.Period
	}, "the same period at both")
	for i := range 500 {
		server := fmt.Sprint("engine-", i)
		require.NotEqual(t, turnA.IsOwnTurn(server), turnB.IsOwnTurn(server))
	}
	require.Equal(t, 3, b.group.Turns(fleet.ModelService, 2).Reserved)
	require.Nil(t, a.group.Turns(fleet.ModelService, 0), "what is more urgent needs no turn")
	a.group.ReportQueue(fleet.ModelService, flow.Contender{})
	b.group.ReportQueue(fleet.ModelService, flow.Contender{})
	a.eventually(func() bool { return a.group.Turns(fleet.ModelService, 1) == nil }, "nobody waits")
}

// A large team's requests come in at all gateways. Each gateway reports what the team has
// used there, so that all of them can tell that it is above its share.
func TestGatewaysShareTeamUsage(t *testing.T) {
	s := newSystem(t)
	s.server(fleet.ModelService, fleet.Behavior{})
	a, b := s.gateway("vm-a"), s.gateway("vm-b")
	a.group.ReportUsage(fleet.ModelService, []flow.Usage{{Team: "large", Amount: 5000}})
	b.eventually(func() bool {
		usages := b.group.Usage(fleet.ModelService)
		return len(usages) == 1 && usages[0].Team == "large" && usages[0].Amount > 4000
	}, "usage is reported")
	// The usage decays at the gateway that reported it, also when nothing more is used.
	first := b.group.Usage(fleet.ModelService)[0].Amount
	b.eventually(func() bool { return b.group.Usage(fleet.ModelService)[0].Amount < first-100 }, "usage decays")
	require.Empty(t, b.group.Usage(fleet.DeskService))
}

// A server resets its connections, and two gateways have lost requests there. A third
// gateway must avoid the server without losing requests of its own.
func TestLostRequestsAreReportedToPeers(t *testing.T) {
	s := newSystem(t)
	s.server(fleet.DeskService, fleet.Behavior{})
	s.server(fleet.DeskService, fleet.Behavior{})
	gateways := []*testGateway{s.gateway("vm-a"), s.gateway("vm-b"), s.gateway("vm-c")}
	for _, n := range gateways {
		n.eventually(func() bool {
			return len(n.group.links.LiveStates()) == 2 && n.registry.CountReady(fleet.DeskService) == 2
		}, "linked")
	}
	bad := gateways[0].registry.Acquire(backends.Query{Service: fleet.DeskService}, clock.SinceBoot()).Server.ID
	third := gateways[2]
	third.eventually(func() bool {
		for _, n := range gateways[:2] {
			n.loseRequest(bad)
		}
		time.Sleep(20 * time.Millisecond)
		for draw := range uint64(20) {
			l := third.registry.Acquire(backends.Query{Service: fleet.DeskService, Draw: draw}, clock.SinceBoot())
			l.Release(backends.ResultInconclusive, clock.SinceBoot())
			if l.Server.ID == bad {
				return false
			}
		}
		return true
	}, "the third avoids it")
}

// loseRequest has the gateway lose a request at a server.
func (n *testGateway) loseRequest(server string) {
	l := n.registry.ReserveAt(backends.Server{ID: server}, 0)
	l.Release(backends.ResultLost, clock.SinceBoot())
	n.group.Notify()
}

// Guards against every gateway detecting a server that is down by requests of its own: the
// first one that does reports it to the others.
func TestDownServerIsReportedToPeers(t *testing.T) {
	s := newSystem(t)
	down := s.server(fleet.DeskService, fleet.Behavior{})
	s.server(fleet.DeskService, fleet.Behavior{})
	gateways := []*testGateway{s.gateway("vm-1"), s.gateway("vm-2"), s.gateway("vm-3")}
	for _, n := range gateways {
		n.eventually(func() bool {
			return len(n.group.links.LiveStates()) == 2 && n.registry.CountReady(fleet.DeskService) == 2
		}, "linked")
	}
	knows := func(n *testGateway) bool { return n.registry.IsDown(down.ID, clock.SinceBoot()) }
	down.Kill()
	gateways[0].eventually(func() bool {
		require.Equal(t, http.StatusOK, gateways[0].do(plain(fleet.SafePath)).status)
		return knows(gateways[0])
	}, "detected")
	detected := time.Now()
	for _, n := range gateways[1:] {
		n.eventually(func() bool { return knows(n) }, "reported")
	}
	require.Less(t, time.Since(detected), 100*time.Millisecond)
}

// The store is unavailable, and an engine has reported only to the gateways with requests
// there that it is leaving. Guards against the other gateways sending runs to it.
func TestReportOfALeavingServerReachesAll(t *testing.T) {
	s := newSystem(t)
	gateways := []*testGateway{s.gateway("vm-1"), s.gateway("vm-2"), s.gateway("vm-3")}
	engine := s.server(fleet.ModelService, fleet.Behavior{Events: 1000, EventInterval: 20 * time.Millisecond})
	for _, n := range gateways {
		n.eventually(func() bool {
			return len(n.group.links.LiveStates()) == 2 && n.registry.CountReady(fleet.ModelService) == 1
		}, "linked")
	}
	c := gateways[0].dial()
	c.send(generation(fleet.PlanPath))
	gateways[0].eventually(func() bool { return engine.RunningStreams() == 1 }, "running")
	s.fleet.Store.SetFault(fleet.Busy)
	gateways[0].eventually(gateways[0].directory.IsUnavailable, "the store is unavailable")
	left := time.Now()
	engine.StartDraining(true)
	for _, n := range gateways {
		n.eventually(func() bool { return n.registry.CountReady(fleet.ModelService) == 0 }, "reported")
	}
	require.Less(t, time.Since(left), time.Second)
}
