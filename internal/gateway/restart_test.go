package gateway

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"kingcupplank.example/kingcup/internal/standin/fleet"
)

// A server is killed and starts again under its id at its address. What callers got of
// its earlier life must not count against the new one: it serves within a second of its
// entry, on new connections.
func TestServerThatStartsAgainServesAtOnce(t *testing.T) {
	s := newSystem(t)
	desk := s.server(fleet.DeskService, fleet.Behavior{})
	n := s.gateway("vm-1")
	n.eventually(func() bool { return n.do(plain(fleet.OncePath)).status == http.StatusOK }, "served")
	desk.Kill()
	for range 3 {
		require.NotEqual(t, http.StatusOK, n.do(plain(fleet.OncePath)).status)
	}
	again, err := s.fleet.Restart(desk)
	require.NoError(t, err)
	begun := time.Now()
	n.eventually(func() bool { return n.do(plain(fleet.OncePath)).status == http.StatusOK }, "served again")
	require.Less(t, time.Since(begun), time.Second)
	require.NotEmpty(t, again.Executions())
}

// A server falls silent behind a cut and starts again under its id. Its stream brings
// nothing more, and no reset tells so; the entry of the new life does, and the caller's
// answer ends within a second instead of at the end of the connection's probes.
func TestStreamOfASilentEarlierLifeEnds(t *testing.T) {
	s := newSystem(t)
	engine := s.server(fleet.ModelService, fleet.Behavior{Events: 1000, EventInterval: 20 * time.Millisecond})
	n := s.gateway("vm-1")
	done := make(chan reply, 1)
	go func() { done <- n.do(generation(fleet.PlanPath)) }()
	n.eventually(func() bool { return engine.Running() == 1 }, "the stream runs")
	engine.Hang()
	_, err := s.fleet.Restart(engine)
	require.NoError(t, err)
	select {
	case a := <-done:
		require.Error(t, a.err, "it must not look complete")
	case <-time.After(2 * time.Second):
		t.Fatal("the caller still waits for a run that is gone")
	}
}

// Another writer spoils the entry of the only server: callers are told that none takes
// requests, and are served again with the server's next heartbeat.
func TestSpoiltEntryGetsNoRequests(t *testing.T) {
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

// An engine is killed in the middle of a long answer. The caller gets the rest from the
// engine that its memory was sent to, and nothing twice.
func TestLongAnswerOutlivesAKilledEngine(t *testing.T) {
	s := newSystem(t)
	b := fleet.Behavior{Events: 60, EventInterval: 20 * time.Millisecond}
	engines := []*fleet.Server{s.server(fleet.ModelService, b), s.server(fleet.ModelService, b)}
	n := s.gateway("vm-1")
	done := make(chan reply, 1)
	go func() { done <- n.do(generation(fleet.PlanPath)) }()
	var host *fleet.Server
	n.eventually(func() bool {
		for _, e := range engines {
			if e.Running() == 1 {
				host = e
			}
		}
		return host != nil
	}, "the answer is on its way")
	time.Sleep(200 * time.Millisecond)
	host.Kill()
	a := <-done
	require.NoError(t, a.err)
	require.Equal(t, events(1, 60), a.body)
}

// An engine falls silent in the middle of a long answer, and no reset tells so. The
// caller gets the rest from the engine with the standing copy, long before it would leave.
func TestLongAnswerOutlivesASilentEngine(t *testing.T) {
	s := newSystem(t)
	b := fleet.Behavior{Events: 60, EventInterval: 20 * time.Millisecond}
	engines := []*fleet.Server{s.server(fleet.ModelService, b), s.server(fleet.ModelService, b)}
	n := s.gateway("vm-1")
	begun := time.Now()
	done := make(chan reply, 1)
	go func() { done <- n.do(generation(fleet.PlanPath)) }()
	time.Sleep(300 * time.Millisecond)
	for _, e := range engines {
		if e.Running() == 1 {
			e.Hang()
			break
		}
	}
	a := <-done
	require.NoError(t, a.err)
	require.Equal(t, events(1, 60), a.body)
	require.Less(t, time.Since(begun), 3*time.Second)
}
