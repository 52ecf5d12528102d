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

// Requests wait at two gateways for an engine with room. Both learn of each other's
// queue, and of each engine they agree whose turn it is, so that they do not both
// send there what only one of them may.
func TestGatewaysWithQueuesTakeTurns(t *testing.T) {
	s := newSystem(t)
	s.server(fleet.ModelService, fleet.Behavior{})
	a, b := s.gateway("vm-a"), s.gateway("vm-b")
	require.Nil(t, a.group.Turns(fleet.ModelService, 0))
	a.group.ReportQueue(fleet.ModelService, flow.Contender{Waiting: 3, Rank: 1, WaitingAtRank: 3})
	b.group.ReportQueue(fleet.ModelService, flow.Contender{Waiting: 1, Rank: 1, WaitingAtRank: 1})
	sees := func(n *node, other string) func() bool {
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

// A large team's requests come in at all gateways. Each tells what it has used, so that
// together they know that it is above its share.
func TestGatewaysTellWhatTeamsUse(t *testing.T) {
	s := newSystem(t)
	s.server(fleet.ModelService, fleet.Behavior{})
	a, b := s.gateway("vm-a"), s.gateway("vm-b")
	a.group.ReportUsage(fleet.ModelService, []flow.Usage{{Team: "large", Amount: 5000}})
	b.eventually(func() bool {
		told := b.group.Usage(fleet.ModelService)
		return len(told) == 1 && told[0].Team == "large" && told[0].Amount > 4000
	}, "usage is told")
	// It fades where it was seen, also when nothing more is used.
	first := b.group.Usage(fleet.ModelService)[0].Amount
	b.eventually(func() bool { return b.group.Usage(fleet.ModelService)[0].Amount < first-100 }, "usage fades")
	require.Empty(t, b.group.Usage(fleet.DeskService))
}

// A server resets its connections, and two gateways have lost requests there. A third
// one does not lose its own to find out.
func TestLostRequestsAreToldToTheOthers(t *testing.T) {
	s := newSystem(t)
	s.server(fleet.DeskService, fleet.Behavior{})
	s.server(fleet.DeskService, fleet.Behavior{})
	nodes := []*node{s.gateway("vm-a"), s.gateway("vm-b"), s.gateway("vm-c")}
	for _, n := range nodes {
		n.eventually(func() bool {
			return len(n.group.links.LiveStates()) == 2 && n.registry.CountReady(fleet.DeskService) == 2
		}, "linked")
	}
	bad := nodes[0].registry.Acquire(backends.Query{Service: fleet.DeskService}, clock.SinceBoot()).Server.ID
	third := nodes[2]
	third.eventually(func() bool {
		for _, n := range nodes[:2] {
			n.lose(bad)
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

// lose has the gateway lose a request at a server.
func (n *node) lose(server string) {
	l := n.registry.ReserveAt(backends.Server{ID: server}, 0)
	l.Release(backends.ResultLost, clock.SinceBoot())
	n.group.Notify()
}

// Guards against every gateway meeting an ended server by requests of its own: the first one
// that does tells the others.
func TestOneGatewayTellsOfAnEndedServer(t *testing.T) {
	s := newSystem(t)
	ended := s.server(fleet.DeskService, fleet.Behavior{})
	s.server(fleet.DeskService, fleet.Behavior{})
	nodes := []*node{s.gateway("vm-1"), s.gateway("vm-2"), s.gateway("vm-3")}
	for _, n := range nodes {
		n.eventually(func() bool {
			return len(n.group.links.LiveStates()) == 2 && n.registry.CountReady(fleet.DeskService) == 2
		}, "linked")
	}
	told := func(n *node) bool { return n.registry.IsDown(ended.ID, clock.SinceBoot()) }
	ended.Kill()
	nodes[0].eventually(func() bool {
		require.Equal(t, http.StatusOK, nodes[0].do(plain(fleet.SafePath)).status)
		return told(nodes[0])
	}, "met")
	met := time.Now()
	for _, n := range nodes[1:] {
		n.eventually(func() bool { return told(n) }, "told")
	}
	require.Less(t, time.Since(met), 100*time.Millisecond)
}

// Guards against gateways that run nothing on an engine sending runs there, while the store is
// away and the engine has told only those that asked it that it will end.
func TestReportOfALeavingServerReachesAll(t *testing.T) {
	s := newSystem(t)
	nodes := []*node{s.gateway("vm-1"), s.gateway("vm-2"), s.gateway("vm-3")}
	engine := s.server(fleet.ModelService, fleet.Behavior{Events: 1000, EventInterval: 20 * time.Millisecond})
	for _, n := range nodes {
		n.eventually(func() bool {
			return len(n.group.links.LiveStates()) == 2 && n.registry.CountReady(fleet.ModelService) == 1
		}, "linked")
	}
	c := nodes[0].dial()
	c.send(generation(fleet.PlanPath))
	nodes[0].eventually(func() bool { return engine.Running() == 1 }, "running")
	s.fleet.Store.SetFault(fleet.Busy)
	nodes[0].eventually(nodes[0].directory.IsUnavailable, "the store is away")
	left := time.Now()
	engine.StartDraining(true)
	for _, n := range nodes {
		n.eventually(func() bool { return n.registry.CountReady(fleet.ModelService) == 0 }, "told")
	}
	require.Less(t, time.Since(left), time.Second)
}
