package relay

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"kingcupplank.example/kingcup/backends"
)

// newBackingOffFixture returns a fixture with servers of one service that all ask for backoff.
func newBackingOffFixture(t *testing.T, service string, backoffs ...time.Duration) *fixture {
	f := newFixture(t, Config{})
	for i, backoff := range backoffs {
		s := f.addServer(string(rune('a'+i)), service)
		f.relay.HandleSignals(s, backends.Signals{Backoff: backoff}, 0)
	}
	f.upstream.send = func(context.Context, *Attempt) (*Response, error) { return newResponse(200, "ok"), nil }
	return f
}

// Guards against callers being refused for a backoff that ends well within their timeout, and
// against a server being asked before its backoff is over.
func TestRequestsWaitForShortBackoff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const backoff = 300 * time.Millisecond
		f := newBackingOffFixture(t, deskService, backoff, time.Hour)
		start := time.Now()
		var wg sync.WaitGroup
		for range 20 {
			wg.Go(func() { f.serve(request("/once/x")).requireWhole(t, "ok") })
		}
		wg.Wait()
		require.GreaterOrEqual(t, time.Since(start), backoff)
		require.Less(t, time.Since(start), backoff+50*time.Millisecond)
		for _, id := range f.upstream.servers() {
			require.Equal(t, "a", id)
		}
	})
}

// Guards against callers waiting for a backoff that exceeds their timeout, and against retry
// times before its end.
func TestLongBackoffIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for service, path := range map[string]string{deskService: "/once/x", modelService: "/plan/x"} {
			const backoff = time.Minute
			f := newBackingOffFixture(t, service, backoff, 2*backoff)
			start := time.Now()
			c := f.serve(request(path))
			require.Zero(t, time.Since(start), service)
			require.False(t, c.refusal.MayHaveRun)
			require.GreaterOrEqual(t, c.refusal.RetryAfter, backoff, service)
			require.Less(t, c.refusal.RetryAfter, backoff+time.Second, service)
			require.Empty(t, f.upstream.sent)
		}
	})
}

// Guards against a stream resuming from its standby copy at a server that has asked for backoff.
func TestStandbyAtBackingOffServerIsNotUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, Config{})
		f.breakWithUnusableStandby(func(*Attempt) {
			for _, id := range []string{"a", "b"} {
				f.relay.HandleSignals(f.newEntry(id, modelService), backends.Signals{Backoff: time.Minute}, 0)
			}
		})
	})
}

// Guards against probes of servers that have asked for backoff, while the directory is
// unavailable.
func TestBackingOffServerIsNotProbed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, Config{})
		s := f.addServer("a", modelService)
		body := newFakeBody()
		f.upstream.send = func(context.Context, *Attempt) (*Response, error) {
			go body.write(events(1, 1))
			return body.response(), nil
		}
		go f.serve(request("/plan/x"))
		synctest.Wait()
		f.upstream.setLeaving("a")
		f.relay.HandleSignals(s, backends.Signals{Backoff: time.Second}, 0)
		f.relay.probeServers(t.Context())
		_, leaving := f.registry.State(s)
		require.False(t, leaving)
		time.Sleep(time.Second)
		f.relay.probeServers(t.Context())
		_, leaving = f.registry.State(s)
		require.True(t, leaving)
		body.writer.Close()
	})
}
