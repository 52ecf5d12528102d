package gateway

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"kingcupplank.example/kingcup/internal/standin/fleet"
)

// A server is killed and starts again under its id at its address. The failures of its
// earlier incarnation must not count against the new one: it serves within a second after
// its entry appears, on new connections.
func TestServerThatStartsAgainServesAtOnce(t *testing.T) {
	s := newSystem(t)
	desk := s.server(fleet.DeskService, fleet.Behavior{})
	n := s.gateway("vm-1")
	n.eventually(func() bool { return n.do(plain(fleet.OncePath)).status == http.StatusOK }, "served")
	desk.Kill()
	for range 3 {
		require.NotEqual(t, http.StatusOK, n.do(plain(fleet.OncePath)).status)
	}
	restarted, err := s.fleet.Restart(desk)
	require.NoError(t, err)
	begun := time.Now()
	n.eventually(func() bool { return n.do(plain(fleet.OncePath)).status == http.StatusOK }, "served again")
	require.Less(t, time.Since(begun), time.Second)
	require.NotEmpty(t, restarted.Executions())
}

// A server becomes unreachable without a reset and starts again under its id. Its stream
// delivers nothing more; only the entry of the new incarnation shows that it has stopped. The
// caller's response must then end within two seconds, not only when the connection's
// keep-alive probes give up.
func TestStreamOfAnEarlierIncarnationEnds(t *testing.T) {
	s := newSystem(t)
	engine := s.server(fleet.ModelService, fleet.Behavior{Events: 1000, EventInterval: 20 * time.Millisecond})
	n := s.gateway("vm-1")
	done := make(chan response, 1)
	go func() { done <- n.do(generation(fleet.PlanPath)) }()
	n.eventually(func() bool { return engine.RunningStreams() == 1 }, "the stream runs")
	engine.Hang()
	_, err := s.fleet.Restart(engine)
	require.NoError(t, err)
	select {
	case a := <-done:
		require.Error(t, a.err, "the response must not look complete")
	case <-time.After(2 * time.Second):
		t.Fatal("the caller still waits for a run that was lost")
	}
}

// Another writer corrupts the entry of the only server. Callers get the response that no
// server is available, and are served again after the server's next heartbeat.
func TestServerWithInvalidEntryGetsNoRequests(t *testing.T) {
	s := newSystem(t)
	desk := s.server(fleet.DeskService, fleet.Behavior{})
	n := s.gateway("vm-1")
	n.eventually(func() bool { return n.do(plain(fleet.OncePath)).status == http.StatusOK }, "served")
	s.fleet.Store.PutBytes("servers", desk.ID, []byte(`{"service":"desk","state":"gone fishing"}`))
	n.eventually(func() bool { return n.do(plain(fleet.OncePath)).status == http.StatusServiceUnavailable }, "refused")
	seen := len(desk.Executions())
	require.Equal(t, http.StatusServiceUnavailable, n.do(plain(fleet.OncePath)).status)
	require.Len(t, desk.Executions(), seen)
	desk.Heartbeat()
	n.eventually(func() bool { return n.do(plain(fleet.OncePath)).status == http.StatusOK }, "served again")
}

// An engine is killed in the middle of a long response. The caller gets the rest from the
// engine with the standby copy of the run's KV cache, and nothing twice.
func TestLongAnswerOutlivesAKilledEngine(t *testing.T) {
	s := newSystem(t)
	b := fleet.Behavior{Events: 60, EventInterval: 20 * time.Millisecond}
	engines := []*fleet.Server{s.server(fleet.ModelService, b), s.server(fleet.ModelService, b)}
	n := s.gateway("vm-1")
	done := make(chan response, 1)
	go func() { done <- n.do(generation(fleet.PlanPath)) }()
	var host *fleet.Server
	n.eventually(func() bool {
		for _, e := range engines {
			if e.RunningStreams() == 1 {
				host = e
			}
		}
		return host != nil
	}, "the run has started")
	time.Sleep(200 * time.Millisecond)
	host.Kill()
	a := <-done
	require.NoError(t, a.err)
	require.Equal(t, eventsText(1, 60), a.body)
}

// An engine becomes unreachable without a reset in the middle of a long response. The
// caller gets the rest from the engine with the standby copy, long before the caller would
// give up.
func TestLongAnswerOutlivesASilentEngine(t *testing.T) {
	s := newSystem(t)
	b := fleet.Behavior{Events: 60, EventInterval: 20 * time.Millisecond}
	engines := []*fleet.Server{s.server(fleet.ModelService, b), s.server(fleet.ModelService, b)}
	n := s.gateway("vm-1")
	begun := time.Now()
	done := make(chan response, 1)
	go func() { done <- n.do(generation(fleet.PlanPath)) }()
	time.Sleep(300 * time.Millisecond)
	for _, e := range engines {
		if e.RunningStreams() == 1 {
			e.Hang()
			break
		}
	}
	a := <-done
	require.NoError(t, a.err)
	require.Equal(t, eventsText(1, 60), a.body)
	require.Less(t, time.Since(begun), 3*time.Second)
}
