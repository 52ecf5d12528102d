package gateway

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"kingcupplank.example/kingcup/internal/follow"
	"kingcupplank.example/kingcup/internal/standin/fleet"
)

var slowStream = fleet.Behavior{Events: 60, EventInterval: 20 * time.Millisecond}

// Each kind of request passes, with what the server may know and nothing else.
func TestEachKindIsServed(t *testing.T) {
	s := newSystem(t)
	desk := s.server(fleet.DeskService, fleet.Behavior{})
	engine := s.server(fleet.ModelService, fleet.Behavior{Events: 3})
	n := s.gateway("vm-1")
	n.eventually(func() bool { return n.do(plain(fleet.OncePath)).status == http.StatusOK }, "served")

	r := n.do(plain(fleet.SafePath+"?q=%2F1").with("X-Other", "kept").with("X-Kingcupplank-Tenant", "forged").with("Connection", "X-Hop").with("X-Hop", "1"))
	require.Equal(t, http.StatusOK, r.status)
	require.Equal(t, "answer of "+desk.ID, r.body)
	require.Equal(t, "seal-"+desk.ID, r.header.Get("X-Kingcupplank-Response-Seal"))
	seen := desk.Executions()
	last := seen[len(seen)-1]
	require.Equal(t, fleet.SafePath+"?q=%2F1", last.Target)
	require.Equal(t, "b", last.Body)
	require.Equal(t, fleet.Team, last.Header.Get("X-Kingcupplank-Tenant"))
	require.Equal(t, "kept", last.Header.Get("X-Other"))
	require.Empty(t, last.Header.Get("X-Hop"))
	require.Empty(t, last.Header.Get("X-Api-Key"))
	require.Equal(t, desk.ID, last.Header.Get("X-Kingcupplank-Expect-Instance"))

	r = n.do(generation(fleet.PlanPath))
	require.NoError(t, r.err)
	require.Equal(t, events(1, 3), r.body)
	require.Equal(t, "m", engine.Executions()[0].Header.Get("X-Kingcupplank-Model-Id"))
}

// What a caller may not set must not reach a server: it would reserve, pin or
// take over memory, or go on from another request's.
func TestForgedHeadersStayOutside(t *testing.T) {
	s := newSystem(t)
	engine := s.server(fleet.ModelService, fleet.Behavior{Events: 2})
	n := s.gateway("vm-1")
	forged := []string{"X-Kingcupplank-Kv-Hold", "X-Kingcupplank-Pin-Ms", "X-Kingcupplank-Kv-Backup", "Kv-From", "Kv-Fetch", "X-Kingcupplank-Expect-Version"}
	r := generation(fleet.PlanPath).with("Connection", "X-Kingcupplank-Model-Id")
	for _, name := range forged {
		r = r.with(name, "forged")
	}
	n.eventually(func() bool { return n.do(r).status == http.StatusOK }, "served")
	h := engine.Executions()[0].Header
	for _, name := range forged {
		require.Empty(t, h.Get(name), name)
	}
	require.Equal(t, "m", h.Get("X-Kingcupplank-Model-Id"))
}

// Wrong requests get a clear answer and disturb nothing else.
func TestWrongRequests(t *testing.T) {
	s := newSystem(t)
	s.server(fleet.DeskService, fleet.Behavior{})
	n := s.gateway("vm-1")
	n.eventually(func() bool { return n.do(plain(fleet.OncePath)).status == http.StatusOK }, "served")
	for name, c := range map[string]struct {
		call   call
		status int
	}{
		"no route":    {plain("/other/a"), http.StatusNotFound},
		"unknown key": {plain(fleet.OncePath).with("X-Api-Key", "wrong"), http.StatusUnauthorized},
		"no key":      {plain(fleet.OncePath).with("X-Api-Key", ""), http.StatusUnauthorized},
		"open":        {plain(fleet.OpenPath).with("X-Api-Key", ""), http.StatusOK},
		"long body":   {call{method: "POST", path: fleet.OncePath, body: strings.Repeat("x", 70000)}, http.StatusRequestEntityTooLarge},
		"long header": {plain(fleet.OncePath).with("X-Long", strings.Repeat("x", 20000)), http.StatusRequestHeaderFieldsTooLarge},
	} {
		require.Equal(t, c.status, n.do(c.call).status, name)
	}
	c := n.dial()
	_, err := c.Write([]byte("NONSENSE\r\n\r\n"))
	require.NoError(t, err)
	require.Equal(t, http.StatusBadRequest, c.read().status)
}

// An engine is reclaimed: it says that it is leaving, and ends. The caller's
// stream goes on at another engine without a gap.
func TestStreamOutlivesAReclaimedEngine(t *testing.T) {
	s := newSystem(t)
	b := slowStream
	b.CopyTime = 100 * time.Millisecond
	first := s.server(fleet.ModelService, b)
	n := s.gateway("vm-1")
	n.eventually(func() bool { return n.registry.CountReady(fleet.ModelService) == 1 }, "listed")
	got := make(chan reply, 1)
	go func() { got <- n.do(generation(fleet.PlanPath)) }()
	n.eventually(func() bool { return first.Running() == 1 }, "running")
	second := s.server(fleet.ModelService, b)
	n.eventually(func() bool { return n.registry.CountReady(fleet.ModelService) == 2 }, "second listed")
	first.StartDraining(true)
	time.AfterFunc(700*time.Millisecond, first.Kill)
	r := <-got
	require.NoError(t, r.err)
	require.Equal(t, events(1, b.Events), r.body)
	require.Equal(t, "seal-"+first.ID, r.header.Get("X-Kingcupplank-Response-Seal"))
	require.Len(t, second.Executions(), 1)
	require.NotEmpty(t, second.Executions()[0].Header.Get("Kv-From"))
}

// The same while the store is away: nobody says that the engine is leaving but the
// engine itself.
func TestStreamOutlivesAnEngineThatLeavesDuringAnOutage(t *testing.T) {
	s := newSystem(t)
	b := slowStream
	b.Events = 200
	first := s.server(fleet.ModelService, b)
	n := s.gateway("vm-1")
	n.eventually(func() bool { return n.registry.CountReady(fleet.ModelService) == 1 }, "listed")
	got := make(chan reply, 1)
	go func() { got <- n.do(generation(fleet.PlanPath)) }()
	n.eventually(func() bool { return first.Running() == 1 }, "running")
	s.server(fleet.ModelService, b)
	n.eventually(func() bool { return n.registry.CountReady(fleet.ModelService) == 2 }, "second listed")
	s.fleet.Store.SetFault(fleet.Reset)
	first.StartDraining(false)
	time.AfterFunc(3*time.Second, first.Kill)
	r := <-got
	require.NoError(t, r.err)
	require.Equal(t, events(1, b.Events), r.body)
}

// A server says that it is leaving, another's entry just vanishes. Neither gets
// new requests from then on.
func TestLeavingServersGetNothingNew(t *testing.T) {
	s := newSystem(t)
	a := s.server(fleet.DeskService, fleet.Behavior{})
	b := s.server(fleet.DeskService, fleet.Behavior{})
	c := s.server(fleet.DeskService, fleet.Behavior{})
	n := s.gateway("vm-1")
	n.eventually(func() bool { return n.registry.CountReady(fleet.DeskService) == 3 }, "listed")
	a.StartDraining(true)
	b.RemoveEntry()
	n.eventually(func() bool { return n.registry.CountReady(fleet.DeskService) == 1 }, "left")
	for range 20 {
		require.Equal(t, "answer of "+c.ID, n.do(plain(fleet.OncePath)).body)
	}
	require.Empty(t, a.Executions())
	require.Empty(t, b.Executions())
}

// The store drops its history while a gateway cannot reach it, and servers leave
// meanwhile. After the return they get nothing, although no change told so.
func TestChangesBehindALostHistoryAreSeen(t *testing.T) {
	s := newSystem(t)
	a := s.server(fleet.DeskService, fleet.Behavior{})
	b := s.server(fleet.DeskService, fleet.Behavior{})
	n := s.gateway("vm-1")
	n.eventually(func() bool { return n.registry.CountReady(fleet.DeskService) == 2 }, "listed")
	n.door.SetFault(fleet.Busy)
	time.Sleep(1500 * time.Millisecond)
	a.StartDraining(true)
	s.fleet.Store.Compact()
	n.door.SetFault(fleet.NoFault)
	n.eventually(func() bool { return n.registry.CountReady(fleet.DeskService) == 1 }, "seen")
	require.Equal(t, "answer of "+b.ID, n.do(plain(fleet.OncePath)).body)
}

// Every entry lapses during an outage of the store, though the servers live. They
// are used on, also in the two seconds in which they register again.
func TestLapsedEntriesAreUsedOn(t *testing.T) {
	s := newSystem(t)
	a := s.server(fleet.DeskService, fleet.Behavior{})
	n := s.gateway("vm-1")
	n.eventually(func() bool { return n.do(plain(fleet.OpenPath)).status == http.StatusOK }, "served")
	s.fleet.Store.SetFault(fleet.Busy)
	time.Sleep(3 * time.Second)
	a.RemoveEntry()
	s.fleet.Store.SetFault(fleet.NoFault)
	n.eventually(n.isReady, "ready again")
	require.Equal(t, http.StatusOK, n.do(plain(fleet.OncePath)).status)
	n.eventually(func() bool { return n.registry.CountReady(fleet.DeskService) == 0 }, "taken as gone")
}

// A key is taken away while the store turns this VM away; its peer still reads it.
// The peer tells, and the key is refused here within the bound.
func TestPeerTellsOfARevokedKey(t *testing.T) {
	s := newSystem(t)
	s.server(fleet.DeskService, fleet.Behavior{})
	a, b := s.gateway("vm-a"), s.gateway("vm-b")
	a.eventually(func() bool { return len(a.group.links.LiveStates()) == 1 && len(b.group.links.LiveStates()) == 1 }, "linked")
	a.eventually(func() bool { return a.do(plain(fleet.OncePath)).status == http.StatusOK }, "served")
	a.door.SetFault(fleet.Busy)
	time.Sleep(time.Second)
	require.Equal(t, http.StatusOK, a.do(plain(fleet.OncePath)).status)
	written := time.Now()
	s.fleet.Configure("another-key")
	a.eventually(func() bool { return a.do(plain(fleet.OncePath)).status == http.StatusUnauthorized }, "refused")
	// Removed keys are refused some ms before the rest of the version is in force.
	a.eventually(func() bool {
		return a.do(plain(fleet.OncePath).with("X-Api-Key", "another-key")).status == http.StatusOK
	}, "the new key is known")
	require.Less(t, time.Since(written), testBounds.ApplyConfig)
}

// The store is away for everybody. Before a removed key could outlive its bound
// keys are not trusted any more; after the return they are at once.
func TestKeysAreNotTrustedThroughAnOutage(t *testing.T) {
	s := newSystem(t)
	s.server(fleet.DeskService, fleet.Behavior{})
	n := s.gateway("vm-1")
	n.eventually(func() bool { return n.do(plain(fleet.OncePath)).status == http.StatusOK }, "served")
	s.fleet.Store.SetFault(fleet.Silent)
	// A call that waits at the store is still answered, and confirms the keys.
	time.Sleep(DefaultOptions().FeedTimeout + testBounds.Revoke)
	r := n.do(plain(fleet.OncePath))
	require.Equal(t, http.StatusServiceUnavailable, r.status)
	require.NotEmpty(t, r.header.Get("Retry-After"))
	s.fleet.Store.SetFault(fleet.NoFault)
	back := time.Now()
	n.eventually(func() bool { return n.do(plain(fleet.OncePath)).status == http.StatusOK }, "served again")
	require.Less(t, time.Since(back), 2500*time.Millisecond)
}

// A new version with a further route is in force at every gateway in seconds, and
// versions never go back.
func TestNewVersionIsInForceEverywhere(t *testing.T) {
	s := newSystem(t)
	s.server(fleet.DeskService, fleet.Behavior{})
	nodes := []*node{s.gateway("vm-a"), s.gateway("vm-b"), s.gateway("vm-c")}
	require.Equal(t, http.StatusNotFound, nodes[0].do(plain("/extra/a")).status)
	s.fleet.Configure(fleet.Key, "/extra/")
	begun := time.Now()
	for _, n := range nodes {
		n.eventually(func() bool { return n.do(plain("/extra/a")).status == http.StatusOK }, "in force")
	}
	require.Less(t, time.Since(begun), testBounds.ApplyConfig)
}

// Three gateways share the work of reading the store; while nothing changes two
// of them make one call a second for each table.
func TestFewGatewaysReadTheStore(t *testing.T) {
	s := newSystem(t)
	nodes := []*node{s.gateway("vm-a"), s.gateway("vm-b"), s.gateway("vm-c"), s.gateway("vm-d")}
	for _, n := range nodes {
		n.eventually(func() bool { return len(n.group.links.LiveStates()) == len(nodes)-1 }, "linked")
	}
	time.Sleep(1500 * time.Millisecond)
	before := s.fleet.Store.Calls()
	time.Sleep(3 * time.Second)
	require.LessOrEqual(t, s.fleet.Store.Calls()-before, 2*2*4)
}

// The caller leaves in the middle of an answer, and before one. The server must
// not work on for nobody.
func TestServerStopsWhenTheCallerLeaves(t *testing.T) {
	s := newSystem(t)
	engine := s.server(fleet.ModelService, fleet.Behavior{Events: 1000, EventInterval: 20 * time.Millisecond})
	n := s.gateway("vm-1")
	n.eventually(func() bool { return n.registry.CountReady(fleet.ModelService) == 1 }, "listed")
	c := n.dial()
	c.send(generation(fleet.PlanPath))
	n.eventually(func() bool { return engine.Running() == 1 }, "running")
	c.Close()
	require.Eventually(t, func() bool { return engine.Running() == 0 }, 500*time.Millisecond, 5*time.Millisecond)
	n.eventually(func() bool { return n.relay.InProgress() == 0 }, "ended")

	engine.SetBehavior(fleet.Behavior{Delay: time.Minute})
	c = n.dial()
	c.send(generation(fleet.PlanPath))
	n.eventually(func() bool { return engine.Waiting() == 1 }, "waiting")
	c.Close()
	require.Eventually(t, func() bool { return engine.Waiting() == 0 }, 500*time.Millisecond, 5*time.Millisecond)
}

// A server hangs. The caller has its final answer when the route's time is over,
// and is not told that the request did not run.
func TestFinalAnswerAtTheRoutesTimeout(t *testing.T) {
	s := newSystem(t)
	s.server(fleet.DeskService, fleet.Behavior{Delay: time.Minute})
	n := s.gateway("vm-1")
	n.eventually(func() bool { return n.registry.CountReady(fleet.DeskService) == 1 }, "listed")
	begun := time.Now()
	require.Equal(t, http.StatusGatewayTimeout, n.do(plain(fleet.OncePath)).status)
	require.InDelta(t, 1.5, time.Since(begun).Seconds(), 0.25)
}

// A server breaks off its answer; another answers a safe request, and a request
// that must not be repeated ends without a promise.
func TestBrokenAnswersAreNeverPassedOff(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\nX-Kingcupplank-Attempt-Id: attempt-1\r\nX-Kingcupplank-Response-Seal: s\r\n"
	for name, raw := range map[string]func(c net.Conn){
		"cut":      func(c net.Conn) { c.Write([]byte(head + "Content-Length: 100\r\n\r\nhalf")) },
		"no bytes": func(net.Conn) {},
		"garbage":  func(c net.Conn) { c.Write([]byte("%$!&/() nonsense\r\n\r\n")) },
		"reset": func(c net.Conn) {
			c.Write([]byte(head + "\r\nhalf of an answer without a length"))
			time.Sleep(50 * time.Millisecond)
			c.(*net.TCPConn).SetLinger(0)
		},
		"other's": func(c net.Conn) {
			c.Write([]byte("HTTP/1.1 200 OK\r\nX-Kingcupplank-Attempt-Id: other\r\nX-Kingcupplank-Response-Seal: s\r\nContent-Length: 5\r\n\r\nother"))
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSystem(t)
			s.server(fleet.DeskService, fleet.Behavior{Raw: func(c net.Conn, _ *http.Request) { raw(c) }})
			n := s.gateway("vm-1")
			n.eventually(func() bool { return n.registry.CountReady(fleet.DeskService) == 1 }, "listed")
			require.Equal(t, http.StatusBadGateway, n.do(plain(fleet.OncePath)).status)
			good := s.server(fleet.DeskService, fleet.Behavior{})
			n.eventually(func() bool { return n.registry.CountReady(fleet.DeskService) == 2 }, "listed")
			for range 10 {
				r := n.do(plain(fleet.SafePath))
				require.NoError(t, r.err)
				require.Equal(t, "answer of "+good.ID, r.body)
			}
		})
	}
}

// A server sends a second answer to a request, late, where the next one's is due.
// The next caller must get its own.
func TestStrayAnswerIsNotPairedWithTheNextRequest(t *testing.T) {
	s := newSystem(t)
	answer := func(id, body string) string {
		return "HTTP/1.1 200 OK\r\nX-Kingcupplank-Attempt-Id: " + id + "\r\nX-Kingcupplank-Response-Seal: s\r\nContent-Length: 3\r\n\r\n" + body
	}
	s.server(fleet.DeskService, fleet.Behavior{Raw: func(c net.Conn, r *http.Request) {
		id := r.Header.Get("X-Kingcupplank-Attempt-Id")
		c.Write([]byte(answer(id, "one")))
		buf := make([]byte, 4096)
		if _, err := c.Read(buf); err != nil {
			return
		}
		c.Write([]byte(answer(id, "one")))
		time.Sleep(10 * time.Millisecond)
		c.Write([]byte(answer("second", "two")))
		c.Read(buf)
	}})
	n := s.gateway("vm-1")
	n.eventually(func() bool { return n.registry.CountReady(fleet.DeskService) == 1 }, "listed")
	require.Equal(t, "one", n.do(plain(fleet.OncePath).with("X-Kingcupplank-Attempt-Id", "first")).body)
	require.Equal(t, "two", n.do(plain(fleet.OncePath).with("X-Kingcupplank-Attempt-Id", "second")).body)
}

// The VM is told to stop while it answers. It is not ready at once, what it has
// taken is answered whole, and kept connections are closed by their answers.
func TestStoppingCutsNothing(t *testing.T) {
	s := newSystem(t)
	engine := s.server(fleet.ModelService, slowStream)
	s.server(fleet.DeskService, fleet.Behavior{})
	n := s.gateway("vm-1")
	n.eventually(func() bool { return n.do(plain(fleet.OncePath)).status == http.StatusOK }, "served")
	kept := n.dial()
	kept.send(plain(fleet.OncePath))
	require.Equal(t, http.StatusOK, kept.read().status)
	got := make(chan reply, 1)
	go func() { got <- n.do(generation(fleet.PlanPath)) }()
	n.eventually(func() bool { return engine.Running() == 1 }, "running")
	stopped := make(chan struct{})
	go func() {
		n.Stop()
		close(stopped)
	}()
	n.eventually(func() bool { return !n.isReady() }, "not ready")
	kept.send(plain(fleet.OncePath))
	r := kept.read()
	require.Equal(t, http.StatusOK, r.status)
	require.True(t, r.closes)
	r = <-got
	require.NoError(t, r.err)
	require.Equal(t, events(1, slowStream.Events), r.body)
	<-stopped
}

// A configuration grows far beyond what a thin VM's link can pass on to its peers
// without holding up callers. The peers are told that there is more, and read it
// from the store themselves.
func TestLongPagesAreNotPassedOn(t *testing.T) {
	s := newSystem(t)
	s.server(fleet.DeskService, fleet.Behavior{})
	s.linkMbps = 1
	nodes := []*node{s.gateway("vm-a"), s.gateway("vm-b"), s.gateway("vm-c")}
	for _, n := range nodes {
		n.eventually(func() bool { return len(n.group.links.LiveStates()) == len(nodes)-1 }, "linked")
	}
	var more []string
	for i := range 400 {
		more = append(more, fmt.Sprintf("/extra-%d/", i))
	}
	s.fleet.Configure(fleet.Key, more...)
	last := nodes[len(nodes)-1]
	last.eventually(func() bool { return last.do(plain("/extra-399/a")).status == http.StatusOK }, "in force")
	require.True(t, nodes[0].group.tooLong(follow.SharedPage{Page: follow.Page{Rows: []follow.Row{{Value: make([]byte, 40000)}}}}))
	require.False(t, nodes[0].group.tooLong(follow.SharedPage{Page: follow.Page{Rows: []follow.Row{{Value: make([]byte, 500)}}}}))
}

// The platform moves the store to another address and changes a bound while the
// gateway runs. Both hold without a restart.
func TestReloadedSettingsHold(t *testing.T) {
	s := newSystem(t)
	s.server(fleet.DeskService, fleet.Behavior{})
	n := s.gateway("vm-1")
	n.eventually(func() bool { return n.do(plain(fleet.OncePath)).status == http.StatusOK }, "served")
	door, err := s.fleet.Store.AddEndpoint()
	require.NoError(t, err)
	changed := *n.set.Load()
	changed.Store, changed.Bounds.Revoke = door.Address, 2*time.Second
	n.Reload(&changed)
	n.door.SetFault(fleet.Reset)
	time.Sleep(3 * time.Second)
	require.Equal(t, http.StatusOK, n.do(plain(fleet.OncePath)).status)
	door.SetFault(fleet.Reset)
	n.eventually(func() bool { return n.do(plain(fleet.OncePath)).status == http.StatusServiceUnavailable }, "bound holds")
}

// A caller sends half a body and falls silent. It is told that its request did not
// run, and holds nothing.
func TestHalfABodyIsGivenUp(t *testing.T) {
	s := newSystem(t)
	s.server(fleet.DeskService, fleet.Behavior{})
	n := s.gateway("vm-1")
	n.eventually(func() bool { return n.do(plain(fleet.OncePath)).status == http.StatusOK }, "served")
	c := n.dial()
	_, err := fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: %s\r\nX-Api-Key: %s\r\nContent-Length: 10\r\n\r\nhalf", fleet.OncePath, fleet.Host, fleet.Key)
	require.NoError(t, err)
	require.Equal(t, http.StatusRequestTimeout, c.read().status)
	require.Zero(t, n.relay.InProgress())
}

// All VMs lost power, and reading the directory of thousands of servers takes longer
// than reading the configuration. A gateway that says it is ready in between refuses
// every caller for lack of a server; so it is ready only when it knows both.
func TestGatewayIsReadyOnceItKnowsTheServers(t *testing.T) {
	s := newSystem(t)
	s.server(fleet.DeskService, fleet.Behavior{})
	s.fleet.Store.SetReadDelay("servers", 400*time.Millisecond)
	n := s.gateway("vm-1")
	require.Equal(t, http.StatusOK, n.do(plain(fleet.OncePath)).status)
}
