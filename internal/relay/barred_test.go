package relay

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"kingcupplank.example/kingcup/backends"
	"kingcupplank.example/kingcup/pacing"
	"kingcupplank.example/kingcup/routing"
)

// breakBesideACopy plays a generation whose answer breaks off and whose standing copy must not be
// used: meanwhile is called before, with the only attempt that may be sent.
func (w *world) breakBesideACopy(meanwhile func(sent *Attempt)) {
	w.t.Helper()
	w.server("a", modelService)
	w.server("b", modelService)
	w.up.send = func(_ context.Context, a *Attempt) (*Response, error) {
		require.Nil(w.t, a.ResumeFrom, "sent to the copy")
		src := newSource()
		go func() {
			src.write(events(1, 3))
			meanwhile(a)
			src.breakOff()
		}()
		return src.answer(), nil
	}
	require.True(w.t, w.serve(request("/plan/x")).aborted)
	require.Len(w.t, w.up.sent, 1)
	require.Empty(w.t, w.registry.Loads())
}

// Guards against a stream going on at a server of a cordoned failure domain because its
// standing copy is there.
func TestCopyInACordonedDomainIsNotUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, Config{})
		w.breakBesideACopy(func(*Attempt) { w.registry.SetCordoned([]string{"zone-1"}, w.now()) })
	})
}

// Guards against a repeat going to a domain that was cordoned while the first attempt ran.
func TestRepeatGoesToNoCordonedDomain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, Config{})
		w.server("a", deskService)
		w.server("b", deskService)
		w.up.send = func(context.Context, *Attempt) (*Response, error) {
			w.registry.SetCordoned([]string{"zone-1"}, w.now())
			return answer(500, "failed"), nil
		}
		begun := time.Now()
		c := w.serve(request("/safe/x"))
		require.Equal(t, 500, c.status, "what the server answered")
		require.Len(t, w.up.sent, 1)
		require.Zero(t, time.Since(begun), "no wait for servers that get nothing")
	})
}

// Guards against a request that must stay in its regions being sent elsewhere, or waiting.
func TestRequestWithoutAServerInItsRegionsIsNotSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, Config{})
		w.registry.SetDomainRegions(map[string]string{"zone-1": "north"})
		w.server("a", deskService)
		split := []routing.Weighted{{Service: deskService, Weight: 1}}
		route := func(name string, regions routing.Regions) *routing.Route {
			return &routing.Route{Name: name, Host: "h", Prefix: "/" + name + "/", Kind: routing.Idempotent, Public: true, MaxServers: 2, Split: split, Regions: regions}
		}
		w.replica.Put(routing.Content{Version: 2, Routes: []*routing.Route{route("north", routing.Regions{"north"}), route("south", routing.Regions{"south"})}}, func() {})
		w.replica.Confirm(w.now())
		w.up.send = func(context.Context, *Attempt) (*Response, error) { return answer(200, "ok"), nil }
		w.serve(request("/north/x")).whole(t, "ok")
		c := w.serve(request("/south/x"))
		require.Equal(t, ReasonNoServer, c.refusal.Reason)
		require.Len(t, w.up.sent, 1)
	})
}

// Guards against callers being refused by the dozen because the only servers have just started:
// they take a request each 50 ms, and the callers have a second.
func TestRequestsWaitForColdServers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, Config{})
		w.plain = backends.ServiceTraits{ColdTime: 5 * time.Second, ColdLimit: pacing.Limit{Rate: 20, MaxInWindow: 25, Window: time.Second}}
		s := w.entry("a", deskService)
		s.ColdFor = w.plain.ColdTime
		w.registry.Put(s, w.now())
		w.up.send = func(context.Context, *Attempt) (*Response, error) { return answer(200, "ok"), nil }
		var wg sync.WaitGroup
		var mu sync.Mutex
		served, refused := 0, 0
		for range 30 {
			wg.Go(func() {
				begun := time.Now()
				c := w.serve(request("/once/x"))
				mu.Lock()
				defer mu.Unlock()
				if c.refusal == nil {
					served++
					return
				}
				refused++
				require.Less(t, time.Since(begun), 600*time.Millisecond, "told in time to come back")
				require.Positive(t, c.refusal.RetryAfter)
			})
		}
		wg.Wait()
		require.GreaterOrEqual(t, served, 9, "of half a second")
		require.Equal(t, 30, served+refused)
	})
}

// Guards against a request going to a server that says it is leaving while the request is on its
// way to it; a run that goes on there from its copy may.
func TestRequestThatFindsItsServerLeavingGoesElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, Config{})
		w.server("a", deskService)
		w.server("b", deskService)
		w.up.send = func(_ context.Context, a *Attempt) (*Response, error) {
			if len(w.up.servers()) > 1 {
				require.NoError(t, a.Recheck())
				return answer(200, "ok"), nil
			}
			require.NoError(t, a.Recheck())
			w.relay.HandleSignals(a.Server, backends.Signals{Leaving: true}, 0)
			err := a.Recheck()
			require.Error(t, err)
			a.ResumeFrom = &KVCopy{}
			require.NoError(t, a.Recheck())
			return nil, err
		}
		w.serve(request("/once/x")).whole(t, "ok")
		servers := w.up.servers()
		require.Len(t, servers, 2)
		require.NotEqual(t, servers[0], servers[1])
		require.Positive(t, w.others.nudged(), "others are told at once")
	})
}
