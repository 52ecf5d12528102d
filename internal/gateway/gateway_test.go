package gateway

import (
	"fmt"
	"io"
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

// Each kind of request reaches a server, with the headers that a server may see and no
// others.
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
	require.Equal(t, eventsText(1, 3), r.body)
	require.Equal(t, "m", engine.Executions()[0].Header.Get("X-Kingcupplank-Model-Id"))
}

// A header that callers may not set must not reach a server: the request could reserve, pin
// or take over KV cache, or resume another request's run.
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

// An invalid request gets the right status and doesn't affect other requests.
func TestInvalidRequestsAreRejected(t *testing.T) {
	s := newSystem(t)
	s.server(fleet.DeskService, fleet.Behavior{})
	n := s.gateway("vm-1")
	n.eventually(func() bool { return n.do(plain(fleet.OncePath)).status == http.StatusOK }, "served")
	for name, c := range map[string]struct {
		call   callerRequest
		status int
	}{
		"no route":    {plain("/other/a"), http.StatusNotFound},
		"unknown key": {plain(fleet.OncePath).with("X-Api-Key", "wrong"), http.StatusUnauthorized},
		"no key":      {plain(fleet.OncePath).with("X-Api-Key", ""), http.StatusUnauthorized},
		"open":        {plain(fleet.OpenPath).with("X-Api-Key", ""), http.StatusOK},
		"long body":   {callerRequest{method: "POST", path: fleet.OncePath, body: strings.Repeat("x", 70000)}, http.StatusRequestEntityTooLarge},
		"long header": {plain(fleet.OncePath).with("X-Long", strings.Repeat("x", 20000)), http.StatusRequestHeaderFieldsTooLarge},
	} {
		require.Equal(t, c.status, n.do(c.call).status, name)
	}
	c := n.dial()
	_, err := c.Write([]byte("NONSENSE\r\n\r\n"))
	require.NoError(t, err)
	require.Equal(t, http.StatusBadRequest, c.read().status)
}

// An engine is reclaimed: it reports that it is leaving, and stops. The caller's stream
// continues on another engine without a gap.
func TestStreamOutlivesAReclaimedEngine(t *testing.T) {
	s := newSystem(t)
	b := slowStream
	b.CopyTime = 100 * time.Millisecond
	first := s.server(fleet.ModelService, b)
	n := s.gateway("vm-1")
	n.eventually(func() bool { return n.registry.CountReady(fleet.ModelService) == 1 }, "listed")
	got := make(chan response, 1)
	go func() { got <- n.do(generation(fleet.PlanPath)) }()
	n.eventually(func() bool { return first.RunningStreams() == 1 }, "running")
	second := s.server(fleet.ModelService, b)
	n.eventually(func() bool { return n.registry.CountReady(fleet.ModelService) == 2 }, "second listed")
	first.StartDraining(true)
	time.AfterFunc(700*time.Millisecond, first.Kill)
	r := <-got
	require.NoError(t, r.err)
	require.Equal(t, eventsText(1, b.Events), r.body)
	require.Equal(t, "seal-"+first.ID, r.header.Get("X-Kingcupplank-Response-Seal"))
	require.Len(t, second.Executions(), 1)
	require.NotEmpty(t, second.Executions()[0].Header.Get("Kv-From"))
}

// An engine is reclaimed while the store is unavailable, so that only the engine itself
// reports that it is leaving. The caller's stream continues on another engine.
func TestStreamOutlivesAnEngineThatLeavesDuringAnOutage(t *testing.T) {
	s := newSystem(t)
	b := slowStream
	b.Events = 200
	first := s.server(fleet.ModelService, b)
	n := s.gateway("vm-1")
	n.eventually(func() bool { return n.registry.CountReady(fleet.ModelService) == 1 }, "listed")
	got := make(chan response, 1)
	go func() { got <- n.do(generation(fleet.PlanPath)) }()
	n.eventually(func() bool { return first.RunningStreams() == 1 }, "running")
	s.server(fleet.ModelService, b)
	n.eventually(func() bool { return n.registry.CountReady(fleet.ModelService) == 2 }, "second listed")
	s.fleet.Store.SetFault(fleet.Reset)
	first.StartDraining(false)
	time.AfterFunc(3*time.Second, first.Kill)
	r := <-got
	require.NoError(t, r.err)
	require.Equal(t, eventsText(1, b.Events), r.body)
}

// A server reports that it is leaving; another's entry just vanishes. Neither gets new
// requests from then on.
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

// The store compacts its history while a gateway cannot reach it, and servers leave in that
// time. Once the store is reachable again the gateway must not use them, although no change
// of the feed mentions them.
func TestChangesDuringLostFeedHistoryAreApplied(t *testing.T) {
	s := newSystem(t)
	a := s.server(fleet.DeskService, fleet.Behavior{})
	b := s.server(fleet.DeskService, fleet.Behavior{})
	n := s.gateway("vm-1")
	n.eventually(func() bool { return n.registry.CountReady(fleet.DeskService) == 2 }, "listed")
	n.endpoint.SetFault(fleet.Busy)
	time.Sleep(1500 * time.Millisecond)
	a.StartDraining(true)
	s.fleet.Store.Compact()
	n.endpoint.SetFault(fleet.NoFault)
	n.eventually(func() bool { return n.registry.CountReady(fleet.DeskService) == 1 }, "seen")
	require.Equal(t, "answer of "+b.ID, n.do(plain(fleet.OncePath)).body)
}

// Every entry expires during an outage of the store, although the servers run. They stay in
// use, also in the two seconds in which they register again.
func TestServersStayInUseWhenEntriesExpireInAnOutage(t *testing.T) {
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
	n.eventually(func() bool { return n.registry.CountReady(fleet.DeskService) == 0 }, "removed")
}

// A key is revoked while the store rejects this VM's calls; its peer can still read the
// store. The peer passes the revocation on, and the key is refused here within the bound.
func TestPeerPropagatesKeyRevocation(t *testing.T) {
	s := newSystem(t)
	s.server(fleet.DeskService, fleet.Behavior{})
	a, b := s.gateway("vm-a"), s.gateway("vm-b")
	a.eventually(func() bool { return len(a.group.links.LiveStates()) == 1 && len(b.group.links.LiveStates()) == 1 }, "linked")
	a.eventually(func() bool { return a.do(plain(fleet.OncePath)).status == http.StatusOK }, "served")
	a.endpoint.SetFault(fleet.Busy)
	time.Sleep(time.Second)
	require.Equal(t, http.StatusOK, a.do(plain(fleet.OncePath)).status)
	written := time.Now()
	s.fleet.Configure("another-key")
	a.eventually(func() bool { return a.do(plain(fleet.OncePath)).status == http.StatusUnauthorized }, "refused")
	// Revoked keys are refused some ms before the rest of the version is in force.
	a.eventually(func() bool {
		return a.do(plain(fleet.OncePath).with("X-Api-Key", "another-key")).status == http.StatusOK
	}, "the new key is known")
	require.Less(t, time.Since(written), testBounds.ApplyConfig)
}

// The store is unavailable to everybody. Keys are not trusted any more before a revoked key
// could outlive its bound; once the store is back they are trusted at once.
func TestKeysAreNotTrustedThroughAnOutage(t *testing.T) {
	s := newSystem(t)
	s.server(fleet.DeskService, fleet.Behavior{})
	n := s.gateway("vm-1")
	n.eventually(func() bool { return n.do(plain(fleet.OncePath)).status == http.StatusOK }, "served")
	s.fleet.Store.SetFault(fleet.Silent)
	// A call that is waiting at the store is still answered, and confirms the keys.
	time.Sleep(DefaultOptions().FeedTimeout + testBounds.Revoke)
	r := n.do(plain(fleet.OncePath))
	require.Equal(t, http.StatusServiceUnavailable, r.status)
	require.NotEmpty(t, r.header.Get("Retry-After"))
	s.fleet.Store.SetFault(fleet.NoFault)
	back := time.Now()
	n.eventually(func() bool { return n.do(plain(fleet.OncePath)).status == http.StatusOK }, "served again")
	require.Less(t, time.Since(back), 2500*time.Millisecond)
}

// A new version with an additional route is in force at every gateway within seconds.
func TestNewVersionIsInForceEverywhere(t *testing.T) {
	s := newSystem(t)
	s.server(fleet.DeskService, fleet.Behavior{})
	gateways := []*testGateway{s.gateway("vm-a"), s.gateway("vm-b"), s.gateway("vm-c")}
	require.Equal(t, http.StatusNotFound, gateways[0].do(plain("/extra/a")).status)
	s.fleet.Configure(fleet.Key, "/extra/")
	begun := time.Now()
	for _, n := range gateways {
		n.eventually(func() bool { return n.do(plain("/extra/a")).status == http.StatusOK }, "in force")
	}
	require.Less(t, time.Since(begun), testBounds.ApplyConfig)
}

// Four gateways share the reads of the store: while nothing changes, two of them make one
// call a second for each table.
func TestFewGatewaysReadTheStore(t *testing.T) {
	s := newSystem(t)
	gateways := []*testGateway{s.gateway("vm-a"), s.gateway("vm-b"), s.gateway("vm-c"), s.gateway("vm-d")}
	for _, n := range gateways {
		n.eventually(func() bool { return len(n.group.links.LiveStates()) == len(gateways)-1 }, "linked")
	}
	time.Sleep(1500 * time.Millisecond)
	before := s.fleet.Store.Calls()
	time.Sleep(3 * time.Second)
	require.LessOrEqual(t, s.fleet.Store.Calls()-before, 2*2*4)
}

// The caller disconnects in the middle of a response, and before one. The server must stop
// working on the request.
func TestServerStopsWhenTheCallerLeaves(t *testing.T) {
	s := newSystem(t)
	engine := s.server(fleet.ModelService, fleet.Behavior{Events: 1000, EventInterval: 20 * time.Millisecond})
	n := s.gateway("vm-1")
	n.eventually(func() bool { return n.registry.CountReady(fleet.ModelService) == 1 }, "listed")
	c := n.dial()
	c.send(generation(fleet.PlanPath))
	n.eventually(func() bool { return engine.RunningStreams() == 1 }, "running")
	c.Close()
	require.Eventually(t, func() bool { return engine.RunningStreams() == 0 }, 500*time.Millisecond, 5*time.Millisecond)
	n.eventually(func() bool { return n.relay.InProgress() == 0 }, "no request in progress")

	engine.SetBehavior(fleet.Behavior{Delay: time.Minute})
	c = n.dial()
	c.send(generation(fleet.PlanPath))
	n.eventually(func() bool { return engine.InProgress() == 1 }, "waiting")
	c.Close()
	require.Eventually(t, func() bool { return engine.InProgress() == 0 }, 500*time.Millisecond, 5*time.Millisecond)
}

// A server hangs. The caller gets its final response at the route's timeout, with a status
// that doesn't claim that the request was not run.
func TestFinalAnswerAtTheRoutesTimeout(t *testing.T) {
	s := newSystem(t)
	s.server(fleet.DeskService, fleet.Behavior{Delay: time.Minute})
	n := s.gateway("vm-1")
	n.eventually(func() bool { return n.registry.CountReady(fleet.DeskService) == 1 }, "listed")
	begun := time.Now()
	require.Equal(t, http.StatusGatewayTimeout, n.do(plain(fleet.OncePath)).status)
	require.InDelta(t, 1.5, time.Since(begun).Seconds(), 0.25)
}

// A server breaks off its response. Another server answers a safe request; a request that
// must not be repeated fails without a claim that it was not run.
func TestBrokenResponsesAreNotPassedToCallers(t *testing.T) {
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

// A server sends a second response to a request, late, where the response to the next
// request is expected. The next caller must get its own response.
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

// The gateway gets SIGTERM while requests are in progress. It is not ready from then on,
// the requests are answered completely, and kept connections are closed after their
// responses.
func TestShutdownCompletesRequestsInProgress(t *testing.T) {
	s := newSystem(t)
	engine := s.server(fleet.ModelService, slowStream)
	s.server(fleet.DeskService, fleet.Behavior{})
	n := s.gateway("vm-1")
	n.eventually(func() bool { return n.do(plain(fleet.OncePath)).status == http.StatusOK }, "served")
	kept := n.dial()
	kept.send(plain(fleet.OncePath))
	require.Equal(t, http.StatusOK, kept.read().status)
	got := make(chan response, 1)
	go func() { got <- n.do(generation(fleet.PlanPath)) }()
	n.eventually(func() bool { return engine.RunningStreams() == 1 }, "running")
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
	require.Equal(t, eventsText(1, slowStream.Events), r.body)
	<-stopped
}

// A configuration grows far beyond what a VM with a slow link can send to its peers without
// delaying callers. The peers only get its revision, and fetch the change by other means.
func TestLongPagesAreNotPassedOn(t *testing.T) {
	s := newSystem(t)
	s.server(fleet.DeskService, fleet.Behavior{})
	s.linkMbps = 1
	gateways := []*testGateway{s.gateway("vm-a"), s.gateway("vm-b"), s.gateway("vm-c")}
	for _, n := range gateways {
		n.eventually(func() bool { return len(n.group.links.LiveStates()) == len(gateways)-1 }, "linked")
	}
	var more []string
	for i := range 400 {
		more = append(more, fmt.Sprintf("/extra-%d/", i))
	}
	s.fleet.Configure(fleet.Key, more...)
	last := gateways[len(gateways)-1]
	last.eventually(func() bool { return last.do(plain("/extra-399/a")).status == http.StatusOK }, "in force")
	require.True(t, gateways[0].group.exceedsLinks(follow.SharedPage{Page: follow.Page{Rows: []follow.Row{{Value: make([]byte, 40000)}}}}))
	require.False(t, gateways[0].group.exceedsLinks(follow.SharedPage{Page: follow.Page{Rows: []follow.Row{{Value: make([]byte, 500)}}}}))
}

// The platform moves the store to another address and changes a bound while the gateway
// runs. Both take effect without a restart.
func TestReloadedSettingsTakeEffect(t *testing.T) {
	s := newSystem(t)
	s.server(fleet.DeskService, fleet.Behavior{})
	n := s.gateway("vm-1")
	n.eventually(func() bool { return n.do(plain(fleet.OncePath)).status == http.StatusOK }, "served")
	endpoint, err := s.fleet.Store.AddEndpoint()
	require.NoError(t, err)
	changed := *n.settings.Load()
	changed.Store, changed.Bounds.Revoke = endpoint.Address, 2*time.Second
	n.Reload(&changed)
	n.endpoint.SetFault(fleet.Reset)
	time.Sleep(3 * time.Second)
	require.Equal(t, http.StatusOK, n.do(plain(fleet.OncePath)).status)
	endpoint.SetFault(fleet.Reset)
	n.eventually(func() bool { return n.do(plain(fleet.OncePath)).status == http.StatusServiceUnavailable }, "the new bound is in force")
}

// A caller sends half a body and stops. It gets the response that its request was not run,
// and the request no longer counts as in progress.
func TestIncompleteRequestBodyTimesOut(t *testing.T) {
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

// All VMs lost power, and reading the directory of thousands of servers takes longer than
// reading the configuration. A gateway that reports ready in between refuses every caller
// for lack of a server. So it is only ready when it has read both.
func TestGatewayIsReadyOnceItKnowsTheServers(t *testing.T) {
	s := newSystem(t)
	s.server(fleet.DeskService, fleet.Behavior{})
	s.fleet.Store.SetReadDelay("servers", 400*time.Millisecond)
	n := s.gateway("vm-1")
	require.Equal(t, http.StatusOK, n.do(plain(fleet.OncePath)).status)
}

// Guards against a request whose body is still coming when the gateway stops being run and cut off without an answer.
func TestShutdownWaitsForABodyThatIsComing(t *testing.T) {
	s := newSystem(t)
	s.server(fleet.DeskService, fleet.Behavior{Delay: 400 * time.Millisecond})
	n := s.gateway("vm-1")
	n.eventually(func() bool { return n.do(plain(fleet.OncePath)).status == http.StatusOK }, "served")
	c := n.dial()
	const body = "first half, second half"
	fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: %s\r\nX-Api-Key: %s\r\nX-Kingcupplank-Attempt-Id: late\r\nX-Kingcupplank-Deadline-Ms: 5000\r\nContent-Length: %d\r\n\r\n%s", fleet.OncePath, fleet.Host, fleet.Key, len(body), body[:10])
	n.eventually(func() bool { return n.Gateway.callers.InProgress() == 1 }, "head has been read")
	stopped := make(chan struct{})
	go func() {
		n.Stop()
		close(stopped)
	}()
	time.Sleep(650 * time.Millisecond)
	_, err := io.WriteString(c, body[10:])
	require.NoError(t, err)
	r := c.read()
	require.NoError(t, r.err)
	require.Equal(t, http.StatusOK, r.status)
	<-stopped
}
