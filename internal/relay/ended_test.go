package relay

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/require"

	"kingcupplank.example/kingcup/backends"
)

// endings lists the lines on servers that ended under requests.
func endings(hook *logtest.Hook) (out []*logrus.Entry) {
	for _, e := range hook.AllEntries() {
		if e.Message == "server has ended under requests" {
			out = append(out, e)
		}
	}
	return out
}

// breaking plays a generation that is broken off after its third event, at a server that
// what happens to is up to the test.
func (w *world) breaking(happens func()) {
	body := newSource()
	w.up.send = func(context.Context, *Attempt) (*Answer, error) { return body.answer(), nil }
	go func() {
		body.write(events(1, 3))
		happens()
		body.breakOff()
	}()
	w.serve(request("/plan/a"))
	time.Sleep(2 * lateLook)
}

// A caller's generation is broken off because the process that ran it has ended. The log
// names the server, the request and its content, by which operators find the request that
// a server does not survive.
func TestServerThatEndsUnderARequestIsNamed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, Config{})
		hook := logtest.NewLocal(w.relay.Log.(*logrus.Logger))
		w.server("e1", modelService)
		w.breaking(func() { w.up.end("e1") })
		lines := endings(hook)
		require.Len(t, lines, 1)
		require.Equal(t, "e1", lines[0].Data["server"])
		ran := lines[0].Data["ran"].([]map[string]any)
		require.Equal(t, "r1", ran[0]["request"])
		require.Equal(t, 3, ran[0]["events"])
	})
}

// A connection that was reset, and a server that ends after its notice, are no ends under
// a request: the one listens on, the other ends as planned.
func TestResetsAndPlannedEndsAreNoEndsUnderRequests(t *testing.T) {
	for name, happens := range map[string]func(w *world){
		"reset":   func(*world) {},
		"drained": func(w *world) { w.drain("e1", modelService); w.up.end("e1") },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t, Config{})
				hook := logtest.NewLocal(w.relay.Log.(*logrus.Logger))
				w.server("e1", modelService)
				w.up.move = noMove
				w.breaking(func() { happens(w) })
				require.Empty(t, endings(hook))
			})
		})
	}
}

// A server that starts again at once under its id refuses no connection; that it ended is
// known once its new entry is.
func TestServerThatIsBackAtOnceHasEnded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, Config{})
		hook := logtest.NewLocal(w.relay.Log.(*logrus.Logger))
		w.registry.Put(w.entryBorn("e1", 1), w.now())
		w.breaking(func() {
			time.AfterFunc(time.Second, func() { w.registry.Put(w.entryBorn("e1", 2), w.now()) })
		})
		require.Len(t, endings(hook), 1)
	})
}

// noMove refuses every copy.
func noMove(context.Context, backends.Server, string, string, bool) (string, error) {
	return "", ErrNoRoom
}
