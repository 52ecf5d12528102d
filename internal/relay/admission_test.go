package relay

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"kingcupplank.example/kingcup/backends"
	"kingcupplank.example/kingcup/routing"
)

// queueObserver records queue decisions.
type queueObserver struct {
	noObserver
	mu        sync.Mutex
	decisions map[string]int
}

func (o *queueObserver) QueueDecided(_ string, light bool, d QueueDecision, _, _ time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	kind := "other "
	if light {
		kind = "light "
	}
	o.decisions[kind+string(d)]++
}

func (o *queueObserver) count(key string) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.decisions[key]
}

// newAdmissionFixture returns a fixture whose long route has a target of twice that of the short one and
// more, after some generations of both.
func newAdmissionFixture(t *testing.T) (*fixture, *queueObserver) {
	f := newFixture(t, Config{})
	o := &queueObserver{decisions: make(map[string]int)}
	f.relay.Observer = o
	split := []routing.Weighted{{Service: modelService, Weight: 1}}
	engine := &routing.Engine{Slots: 48, MemoryTokens: 30000, TokensPerEvent: 4}
	f.replica.Put(routing.Content{Version: 9, KeysRequired: true, Teams: teams([]string{teamKey}), Routes: []*routing.Route{
		{Name: "plan", Host: "h", Prefix: "/plan/", Kind: routing.Stream, Timeout: 39 * time.Second, TargetLatency: 4 * time.Second, MaxServers: 1, Split: split},
		{Name: "check", Host: "h", Prefix: "/check/", Kind: routing.Stream, Timeout: 6 * time.Second, TargetLatency: 1500 * time.Millisecond, MaxServers: 2, Split: split},
	}, Services: []*routing.Service{{Name: modelService, Engine: engine}}}, func() {})
	f.replica.Confirm(f.now())
	f.addServer("a", modelService)
	f.upstream.send = func(_ context.Context, a *Attempt) (*Response, error) {
		s, n := newFakeBody(), 2
		if a.Request.Path == "/plan/x" {
			n = 100
		}
		go func() {
			for i := range n {
				time.Sleep(40 * time.Millisecond)
				s.write(event(i + 1))
			}
			s.writer.Close()
		}()
		return s.response(), nil
	}
	for range 40 {
		f.serve(shortRequest()).requireWhole(t, events(1, 2))
		f.serve(request("/plan/x")).requireWhole(t, events(1, 100))
	}
	return f, o
}

func shortRequest() *Request {
	r := request("/check/x")
	r.Timeout = 6 * time.Second
	r.Generation = &Generation{PromptTokens: 2200, MaxOutput: 8}
	return r
}

// Guards against a short generation that waits behind a long one for memory that the engine's runs will
// need only later: the long one stays queued, and the short one is sent at once.
func TestLightGenerationPassesAQueuedLongOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, o := newAdmissionFixture(t)
		f.registry.SetRemoteLoads("vm-2", map[string]backends.Load{"a": {Running: 3, ExpectedTokens: 27000, Growth: 3000}})
		long := make(chan *caller)
		go func() { long <- f.serve(request("/plan/x")) }()
		time.Sleep(100 * time.Millisecond)
		synctest.Wait()
		require.Equal(t, 1, f.peers.waiting())
		sent := time.Now()
		f.serve(shortRequest()).requireWhole(t, events(1, 2))
		require.Less(t, time.Since(sent), 100*time.Millisecond)
		require.Equal(t, 1, f.peers.waiting())
		f.registry.SetRemoteLoads("vm-2", nil)
		(<-long).requireWhole(t, events(1, 100))
		require.Positive(t, o.count("light started"))
		require.Positive(t, o.count("other started"))
	})
}

// Guards against callers that are held and then refused: while the queue is longer than the engine can
// serve in time, a further caller is refused within milliseconds, with a retry time that callers honor.
func TestCallerIsRefusedAtOnceOrServed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, o := newAdmissionFixture(t)
		full := map[string]backends.Load{"a": {Running: 9, ExpectedTokens: 29500}}
		f.registry.SetRemoteLoads("vm-2", full)
		const callers = 60
		results := make(chan *caller, callers)
		refused := 0
		for range callers {
			go func() { results <- f.serve(request("/plan/x")) }()
			time.Sleep(2 * time.Millisecond)
			synctest.Wait()
			for len(results) > 0 {
				c := <-results
				require.NotNil(t, c.refusal)
				require.LessOrEqual(t, c.refusal.RetryAfter, 39*time.Second/callerWaitDivisor)
				refused++
			}
		}
		require.Positive(t, refused)
		require.Equal(t, refused, o.count("other refused at once"))
		time.Sleep(time.Second)
		f.registry.SetRemoteLoads("vm-2", nil)
		for range callers - refused {
			(<-results).requireWhole(t, events(1, 100))
		}
		require.Zero(t, o.count("other left"))
	})
}
