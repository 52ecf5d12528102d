package relay

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"kingcupplank.example/kingcup/backends"
	"kingcupplank.example/kingcup/flow"
	"kingcupplank.example/kingcup/routing"
)

// Engines are four times slower than assumed. After some streams the gateway has learned the
// speed: an engine gets no more prompts than it reads in half a second, so that the next caller
// is queued here and can go to any engine that gets capacity first.
func TestPromptSpeedIsLearned(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, Config{})
		f.addServer("a", modelService)
		const speed = initialPromptSpeed / 4
		f.upstream.send = func(_ context.Context, a *Attempt) (*Response, error) {
			time.Sleep(time.Duration(float64(a.Request.Generation.PromptTokens) / speed * float64(time.Second)))
			s := newFakeBody()
			go func() {
				s.write(event(1))
				s.writer.Close()
			}()
			return s.response(), nil
		}
		for range 100 {
			f.serve(request("/plan/x")).requireWhole(t, event(1))
		}
		require.InEpsilon(t, speed, f.relay.currentPromptSpeed(), 0.1)
		require.InEpsilon(t, speed/2, f.relay.engineQuery(&job{Request: request("/plan/x"), route: &routing.Route{}, forecasts: newOutputForecasts()}, 0).MaxPromptPending, 0.1)
	})
}

// A caller states that its generation will be short, and it is not. If the engine were charged
// only the stated length, it would be sent more than its memory fits and preempt the newest
// generation in the middle of its response. So a run counts with what it has generated and what
// it will generate next, and a later caller waits for memory.
func TestRunsBeyondTheirEstimateCountInFull(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, Config{})
		f.addServer("a", modelService)
		body := newFakeBody()
		f.upstream.send = func(context.Context, *Attempt) (*Response, error) { return body.response(), nil }
		done := make(chan *caller)
		go func() {
			r := request("/plan/x")
			r.Generation.EstimatedOutput = 20
			done <- f.serve(r)
		}()
		synctest.Wait()
		before := f.registry.Loads()["a"].ExpectedTokens
		require.Less(t, before, 3000+2*maxCountedGrowth)
		body.write(events(1, 300))
		synctest.Wait()
		require.GreaterOrEqual(t, f.registry.Loads()["a"].ExpectedTokens, 3000+300*4)
		body.writer.Close()
		(<-done).requireWhole(t, events(1, 300))
		require.Empty(t, f.registry.Loads())
	})
}

// Requests are queued at another gateway too, and an engine gets capacity. The request is not
// sent while it is the other gateway's turn: both would send at the same time. The gateway
// reports that it has a queued request, so that it gets its turn, and then sends it.
func TestRequestsWaitForTheirTurn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, Config{})
		f.addServer("a", modelService)
		body := newFakeBody()
		f.upstream.send = func(context.Context, *Attempt) (*Response, error) { return body.response(), nil }
		turns := func(period int64) *flow.Turns {
			return &flow.Turns{Self: "self", Period: period, Contenders: []flow.Contender{{Name: "self", Waiting: 1}, {Name: "other", Waiting: 1}}}
		}
		var ownPeriod, otherPeriod int64
		for !turns(ownPeriod).IsOwnTurn("a") {
			ownPeriod++
		}
		for turns(otherPeriod).IsOwnTurn("a") {
			otherPeriod++
		}
		f.peers.setTurns(turns(otherPeriod))
		done := make(chan *caller)
		go func() { done <- f.serve(request("/plan/x")) }()
		time.Sleep(300 * time.Millisecond)
		synctest.Wait()
		require.Empty(t, f.upstream.servers())
		require.Equal(t, 1, f.peers.waiting())
		f.peers.setTurns(turns(ownPeriod))
		time.Sleep(2 * queuePollInterval)
		synctest.Wait()
		require.Equal(t, []string{"a"}, f.upstream.servers())
		require.Zero(t, f.peers.waiting())
		body.write(event(1))
		body.writer.Close()
		(<-done).requireWhole(t, event(1))
	})
}

// A large team has used far more than its share, here and at other gateways. Its request is
// queued for an engine, and a later request of a small team goes first.
func TestRequestsOfSmallTeamsGoFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, Config{})
		f.apply(2, teamKey, "key-2")
		f.addServer("a", modelService)
		// The engine has no memory until the load of another gateway ends.
		full := map[string]backends.Load{"a": {Running: 9, ExpectedTokens: 30000}}
		f.registry.SetRemoteLoads("vm-2", full)
		f.peers.usage = []flow.Usage{{Team: "team-1", Amount: 1e6}, {Team: "x", Amount: 1}, {Team: "y", Amount: 1}}
		order := make(chan string, 2)
		f.upstream.send = func(_ context.Context, a *Attempt) (*Response, error) {
			order <- a.Team
			s := newFakeBody()
			go func() {
				s.write(event(1))
				s.writer.Close()
			}()
			return s.response(), nil
		}
		ask := func(key string) {
			r := request("/plan/x")
			r.APIKey = key
			go f.serve(r)
			time.Sleep(50 * time.Millisecond)
		}
		ask(teamKey)
		ask("key-2")
		f.registry.SetRemoteLoads("vm-2", map[string]backends.Load{"a": {Running: 7, ExpectedTokens: 25000}})
		require.Equal(t, "team-2", <-order)
		require.Equal(t, "team-1", <-order)
		synctest.Wait()
	})
}

// An engine seems to be empty and does not begin to respond: runs of gateways that lost power
// still run on it. The next caller is sent to another engine, although that one is known to have
// less free memory, and does not wait behind the first one.
func TestEngineThatDoesNotBeginGetsNoMoreRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, Config{})
		f.addServer("a", modelService)
		f.upstream.send = func(_ context.Context, a *Attempt) (*Response, error) {
			if a.Server.ID == "a" {
				time.Sleep(5 * time.Second)
			}
			s := newFakeBody()
			go func() {
				s.write(event(1))
				s.writer.Close()
			}()
			return s.response(), nil
		}
		first := make(chan *caller)
		go func() { first <- f.serve(request("/plan/x")) }()
		time.Sleep(2 * time.Second)
		f.addServer("b", modelService)
		f.registry.SetRemoteLoads("vm-2", map[string]backends.Load{"b": {Running: 5, ExpectedTokens: 20000}})
		f.serve(request("/plan/x")).requireWhole(t, event(1))
		require.Equal(t, []string{"a", "b"}, f.upstream.servers())
		(<-first).requireWhole(t, event(1))
		require.Empty(t, f.registry.Loads())
	})
}
