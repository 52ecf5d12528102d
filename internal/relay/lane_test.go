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

// Engines are four times slower than assumed. After some streams the gateway knows:
// no more prompts go to an engine than it reads in half a second, so that the next
// caller is queued here, where an engine with room may come first.
func TestReadingSpeedIsMeasured(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, Config{})
		w.server("a", modelService)
		const speed = startSpeed / 4
		w.up.send = func(_ context.Context, a *Attempt) (*Response, error) {
			time.Sleep(time.Duration(float64(a.Request.Generation.PromptTokens) / speed * float64(time.Second)))
			s := newSource()
			go func() {
				s.write(event(1))
				s.w.Close()
			}()
			return s.answer(), nil
		}
		for range 100 {
			w.serve(request("/plan/x")).whole(t, event(1))
		}
		require.InEpsilon(t, speed, w.relay.readSpeed(), 0.1)
		require.InEpsilon(t, speed/2, w.relay.engineQuery(&job{Request: request("/plan/x"), route: &routing.Route{}, outputs: newOutputs()}, 0).MaxPromptPending, 0.1)
	})
}

// A caller says that its generation will be short, and it is not. An engine that is
// counted at the caller's word is given more than its memory holds, and takes the
// newest generation off in the middle of its answer. So a run counts what it has
// made and what it makes next, and a later caller waits for room.
func TestRunsThatOutgrowTheirEstimateCountInFull(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, Config{})
		w.server("a", modelService)
		run := newSource()
		w.up.send = func(context.Context, *Attempt) (*Response, error) { return run.answer(), nil }
		done := make(chan *caller)
		go func() {
			r := request("/plan/x")
			r.Generation.EstimatedOutput = 20
			done <- w.serve(r)
		}()
		synctest.Wait()
		before := w.registry.Loads()["a"].ExpectedTokens
		require.Less(t, before, 3000+2*growthAhead)
		run.write(events(1, 300))
		synctest.Wait()
		require.GreaterOrEqual(t, w.registry.Loads()["a"].ExpectedTokens, 3000+300*4)
		run.w.Close()
		(<-done).whole(t, events(1, 300))
		require.Empty(t, w.registry.Loads())
	})
}

// Requests wait at another gateway too, and an engine gets room. The request is not
// sent while it is the other's turn there: both would send at once. It says that it
// waits, so that it gets its turn, and goes when it has it.
func TestRequestsWaitForTheirTurn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, Config{})
		w.server("a", modelService)
		run := newSource()
		w.up.send = func(context.Context, *Attempt) (*Response, error) { return run.answer(), nil }
		turns := func(period int64) *flow.Turns {
			return &flow.Turns{Self: "self", Period: period, Contenders: []flow.Contender{{Name: "self", Waiting: 1}, {Name: "other", Waiting: 1}}}
		}
		var mine, others int64
		for !turns(mine).IsOwnTurn("a") {
			mine++
		}
		for turns(others).IsOwnTurn("a") {
			others++
		}
		w.others.set(turns(others))
		done := make(chan *caller)
		go func() { done <- w.serve(request("/plan/x")) }()
		time.Sleep(300 * time.Millisecond)
		synctest.Wait()
		require.Empty(t, w.up.servers())
		require.Equal(t, 1, w.others.waiting())
		w.others.set(turns(mine))
		time.Sleep(2 * queuePoll)
		synctest.Wait()
		require.Equal(t, []string{"a"}, w.up.servers())
		require.Zero(t, w.others.waiting())
		run.write(event(1))
		run.w.Close()
		(<-done).whole(t, event(1))
	})
}

// A large team has used far more than its share, here and at other gateways. Its
// request waits for an engine, and one of a small team that came later goes first.
func TestRequestsOfSmallTeamsGoFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, Config{})
		w.apply(2, teamKey, "key-2")
		w.server("a", modelService)
		// The engine has no room until the load of another gateway ends.
		full := map[string]backends.Load{"a": {Running: 9, ExpectedTokens: 30000}}
		w.registry.SetRemoteLoads("vm-2", full)
		w.others.usage = []flow.Usage{{Team: "team-1", Amount: 1e6}, {Team: "x", Amount: 1}, {Team: "y", Amount: 1}}
		order := make(chan string, 2)
		w.up.send = func(_ context.Context, a *Attempt) (*Response, error) {
			order <- a.Team
			s := newSource()
			go func() {
				s.write(event(1))
				s.w.Close()
			}()
			return s.answer(), nil
		}
		ask := func(key string) {
			r := request("/plan/x")
			r.APIKey = key
			go w.serve(r)
			time.Sleep(50 * time.Millisecond)
		}
		ask(teamKey)
		ask("key-2")
		w.registry.SetRemoteLoads("vm-2", map[string]backends.Load{"a": {Running: 7, ExpectedTokens: 25000}})
		require.Equal(t, "team-2", <-order)
		require.Equal(t, "team-1", <-order)
		synctest.Wait()
	})
}

// An engine looks empty and does not begin to answer: runs of gateways that lost power
// are still on it. The next caller is sent to another engine, though that one is known
// to have less room, and not behind the first one.
func TestEngineThatDoesNotBeginGetsNoMore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, Config{})
		w.server("a", modelService)
		w.up.send = func(_ context.Context, a *Attempt) (*Response, error) {
			if a.Server.ID == "a" {
				time.Sleep(5 * time.Second)
			}
			s := newSource()
			go func() {
				s.write(event(1))
				s.w.Close()
			}()
			return s.answer(), nil
		}
		first := make(chan *caller)
		go func() { first <- w.serve(request("/plan/x")) }()
		time.Sleep(2 * time.Second)
		w.server("b", modelService)
		w.registry.SetRemoteLoads("vm-2", map[string]backends.Load{"b": {Running: 5, ExpectedTokens: 20000}})
		w.serve(request("/plan/x")).whole(t, event(1))
		require.Equal(t, []string{"a", "b"}, w.up.servers())
		(<-first).whole(t, event(1))
		require.Empty(t, w.registry.Loads())
	})
}
