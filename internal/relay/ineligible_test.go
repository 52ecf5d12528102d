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

// breakWithUnusableStandby serves a generation whose response breaks off and whose standby copy
// must not be used. beforeBreak is called before the break with the only attempt that may be
// sent.
func (f *fixture) breakWithUnusableStandby(beforeBreak func(sent *Attempt)) {
	f.t.Helper()
	f.addServer("a", modelService)
	f.addServer("b", modelService)
	f.upstream.send = func(_ context.Context, a *Attempt) (*Response, error) {
		require.Nil(f.t, a.ResumeFrom, "sent to the standby server")
		body := newFakeBody()
		go func() {
			body.write(events(1, 3))
			beforeBreak(a)
			body.breakOff()
		}()
		return body.response(), nil
	}
	require.True(f.t, f.serve(request("/plan/x")).aborted)
	require.Len(f.t, f.upstream.sent, 1)
	require.Empty(f.t, f.registry.Loads())
}

// Guards against a stream resuming at a server of a cordoned failure domain because its standby
// copy is there.
func TestStandbyInCordonedDomainIsNotUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, Config{})
		f.breakWithUnusableStandby(func(*Attempt) { f.registry.SetCordoned([]string{"zone-1"}, f.now()) })
	})
}

// Guards against a retry at a server whose failure domain was cordoned while the first attempt
// ran.
func TestRetrySkipsCordonedDomain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, Config{})
		f.addServer("a", deskService)
		f.addServer("b", deskService)
		f.upstream.send = func(context.Context, *Attempt) (*Response, error) {
			f.registry.SetCordoned([]string{"zone-1"}, f.now())
			return newResponse(500, "failed"), nil
		}
		start := time.Now()
		c := f.serve(request("/safe/x"))
		require.Equal(t, 500, c.status, "what the server answered")
		require.Len(t, f.upstream.sent, 1)
		require.Zero(t, time.Since(start), "no wait for servers in cordoned domains")
	})
}

// Guards against a request that is restricted to regions being sent elsewhere, or waiting.
func TestRequestWithoutServerInItsRegionsIsNotSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, Config{})
		f.registry.SetDomainRegions(map[string]string{"zone-1": "north"})
		f.addServer("a", deskService)
		split := []routing.Weighted{{Service: deskService, Weight: 1}}
		route := func(name string, regions routing.Regions) *routing.Route {
			return &routing.Route{Name: name, Host: "h", Prefix: "/" + name + "/", Kind: routing.Idempotent, Public: true, MaxServers: 2, Split: split, Regions: regions}
		}
		f.replica.Put(routing.Content{Version: 2, Routes: []*routing.Route{route("north", routing.Regions{"north"}), route("south", routing.Regions{"south"})}}, func() {})
		f.replica.Confirm(f.now())
		f.upstream.send = func(context.Context, *Attempt) (*Response, error) { return newResponse(200, "ok"), nil }
		f.serve(request("/north/x")).requireWhole(t, "ok")
		c := f.serve(request("/south/x"))
		require.Equal(t, ReasonNoServer, c.refusal.Reason)
		require.Len(t, f.upstream.sent, 1)
	})
}

// Guards against dozens of callers being refused because all servers have just started: they
// accept a request every 50 ms, and the callers have a second.
func TestRequestsWaitForColdServers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, Config{})
		f.plain = backends.ServiceTraits{ColdTime: 5 * time.Second, ColdLimit: pacing.Limit{Rate: 20, MaxInWindow: 25, Window: time.Second}}
		s := f.newEntry("a", deskService)
		s.ColdFor = f.plain.ColdTime
		f.registry.Put(s, f.now())
		f.upstream.send = func(context.Context, *Attempt) (*Response, error) { return newResponse(200, "ok"), nil }
		var wg sync.WaitGroup
		var mu sync.Mutex
		served, refused := 0, 0
		for range 30 {
			wg.Go(func() {
				start := time.Now()
				c := f.serve(request("/once/x"))
				mu.Lock()
				defer mu.Unlock()
				if c.refusal == nil {
					served++
					return
				}
				refused++
				require.Less(t, time.Since(start), 600*time.Millisecond, "refused in time to retry")
				require.Positive(t, c.refusal.RetryAfter)
			})
		}
		wg.Wait()
		require.GreaterOrEqual(t, served, 9, "of half a second")
		require.Equal(t, 30, served+refused)
	})
}

// Guards against a request being sent to a server that has reported that it is leaving after it
// was selected. A run that resumes there from its copy may be sent.
func TestRequestGoesElsewhereIfItsServerIsLeaving(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, Config{})
		f.addServer("a", deskService)
		f.addServer("b", deskService)
		f.upstream.send = func(_ context.Context, a *Attempt) (*Response, error) {
			if len(f.upstream.servers()) > 1 {
				require.NoError(t, a.Recheck())
				return newResponse(200, "ok"), nil
			}
			require.NoError(t, a.Recheck())
			f.relay.HandleSignals(a.Server, backends.Signals{Leaving: true}, 0)
			err := a.Recheck()
			require.Error(t, err)
			a.ResumeFrom = &KVCopy{}
			require.NoError(t, a.Recheck())
			return nil, err
		}
		f.serve(request("/once/x")).requireWhole(t, "ok")
		servers := f.upstream.servers()
		require.Len(t, servers, 2)
		require.NotEqual(t, servers[0], servers[1])
		require.Positive(t, f.peers.notified(), "peers are notified at once")
	})
}
