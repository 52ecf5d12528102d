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

// restingWorld has servers of a service that all ask for rest.
func restingWorld(t *testing.T, service string, rests ...time.Duration) *world {
	w := newWorld(t, Config{})
	for i, rest := range rests {
		s := w.server(string(rune('a'+i)), service)
		w.relay.HandleSignals(s, backends.Signals{Backoff: rest}, 0)
	}
	w.up.send = func(context.Context, *Attempt) (*Response, error) { return answer(200, "ok"), nil }
	return w
}

// Guards against callers being refused for a rest that ends well within their time, and against
// a server being asked before its rest is over.
func TestRequestsWaitForAShortRest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const rest = 300 * time.Millisecond
		w := restingWorld(t, deskService, rest, time.Hour)
		begun := time.Now()
		var wg sync.WaitGroup
		for range 20 {
			wg.Go(func() { w.serve(request("/once/x")).whole(t, "ok") })
		}
		wg.Wait()
		require.GreaterOrEqual(t, time.Since(begun), rest)
		require.Less(t, time.Since(begun), rest+50*time.Millisecond)
		for _, id := range w.up.servers() {
			require.Equal(t, "a", id)
		}
	})
}

// Guards against callers waiting for a rest that outlasts them, and against their coming back
// before it is over.
func TestLongRestIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for service, path := range map[string]string{deskService: "/once/x", modelService: "/plan/x"} {
			const rest = time.Minute
			w := restingWorld(t, service, rest, 2*rest)
			begun := time.Now()
			c := w.serve(request(path))
			require.Zero(t, time.Since(begun), service)
			require.False(t, c.refusal.MayHaveRun)
			require.GreaterOrEqual(t, c.refusal.RetryAfter, rest, service)
			require.Less(t, c.refusal.RetryAfter, rest+time.Second, service)
			require.Empty(t, w.up.sent)
		}
	})
}

// Guards against a stream going on from its standing copy at a server that has asked for rest.
func TestCopyAtARestingServerIsNotUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, Config{})
		w.breakBesideACopy(func(*Attempt) {
			for _, id := range []string{"a", "b"} {
				w.relay.HandleSignals(w.entry(id, modelService), backends.Signals{Backoff: time.Minute}, 0)
			}
		})
	})
}

// Guards against questions to servers that have asked for rest, while the directory is away.
func TestRestingServerIsNotAskedWhetherItLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, Config{})
		s := w.server("a", modelService)
		src := newSource()
		w.up.send = func(context.Context, *Attempt) (*Response, error) {
			go src.write(events(1, 1))
			return src.answer(), nil
		}
		go w.serve(request("/plan/x"))
		synctest.Wait()
		w.up.setLeaving("a")
		w.relay.HandleSignals(s, backends.Signals{Backoff: time.Second}, 0)
		w.relay.scout(t.Context())
		_, leaving := w.registry.State(s)
		require.False(t, leaving)
		time.Sleep(time.Second)
		w.relay.scout(t.Context())
		_, leaving = w.registry.State(s)
		require.True(t, leaving)
		src.w.Close()
	})
}
