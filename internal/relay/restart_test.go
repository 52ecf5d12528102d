package relay

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"kingcupplank.example/kingcup/backends"
)

// reborn puts an entry of a server's life in force.
func (w *world) reborn(id string, born int64) {
	w.registry.Put(w.entryBorn(id, born), w.now())
}

// A server dies behind a cut while it runs a stream, and starts again under its id. No
// reset reaches the gateway, so the caller would wait until the connection's probes
// fail, 4 s; the new entry tells that the run is gone. Its copy elsewhere goes on.
func TestStreamGoesOnWhenItsServerHasStartedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, Config{})
		w.reborn("a", 100)
		old := newSource()
		w.up.move = func(ctx context.Context, _ backends.Server, _, _ string, _ bool) (string, error) {
			if len(w.up.moves) > 1 {
				<-ctx.Done()
				return "", ctx.Err()
			}
			return "h1", nil
		}
		w.up.send = func(_ context.Context, a *Attempt) (*Response, error) {
			if a.ResumeFrom == nil {
				return old.answer(), nil
			}
			next := newSource()
			go func() {
				next.write(events(4, 6))
				next.w.Close()
			}()
			return next.answer(), nil
		}
		var cutAt time.Duration
		go func() {
			old.write(events(1, 3))
			w.server("b", modelService)
			// The notice has the run copied; then its server dies.
			w.registry.MarkLeaving(w.entryBorn("a", 100))
			time.Sleep(time.Second)
			cutAt = w.now()
			w.reborn("a", 200)
		}()
		w.serve(request("/plan/x")).whole(t, events(1, 6))
		require.LessOrEqual(t, w.now()-cutAt, lifeSign+awaitMove)
		require.Equal(t, []string{"a:1"}, w.up.closed, "a request on an idle connection would be lost")
		time.Sleep(moveWithin + awaitMove)
	})
}

// The same without a copy: nothing can go on, and the caller learns it at once.
func TestStreamOfAnEarlierLifeEndsAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, Config{})
		w.reborn("a", 100)
		old := newSource()
		w.up.send = func(context.Context, *Attempt) (*Response, error) { return old.answer(), nil }
		go func() {
			old.write(events(1, 3))
			time.Sleep(time.Second)
			w.reborn("a", 200)
		}()
		c := w.serve(request("/plan/x"))
		require.True(t, c.aborted)
		require.Equal(t, 1500*time.Millisecond, (w.now() - time.Second).Round(500*time.Millisecond))
		require.Len(t, w.up.sent, 1, "it may have run and is not sent again")
	})
}

// A server has started again, and a request reaches the new life before its entry does.
// Its stream is not one of the earlier life: it brings events, and must not be cut.
func TestStreamOfTheNewLifeIsLeftAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, Config{})
		w.reborn("a", 100)
		src := newSource()
		w.up.send = func(context.Context, *Attempt) (*Response, error) { return src.answer(), nil }
		go func() {
			for n := 1; n <= 40; n++ {
				src.write(event(n))
				time.Sleep(40 * time.Millisecond)
				if n == 5 {
					w.reborn("a", 200)
				}
			}
			src.w.Close()
		}()
		w.serve(request("/plan/x")).whole(t, events(1, 40))
	})
}
