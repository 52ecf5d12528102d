package relay

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// loadedLink is a link with a load.
type loadedLink struct{ congested, refuses bool }

func (l loadedLink) IsCongested() bool    { return l.congested }
func (l loadedLink) RefusesStreams() bool { return l.refuses }

// Guards against two servers that go on with one stream because the first one's events are late on this VM's link.
func TestCongestedLinkIsNoSilenceOfAServer(t *testing.T) {
	for _, congested := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			f := newFixture(t, Config{})
			f.relay.Link = loadedLink{congested: congested}
			c := serveHedged(t, f, false, func(body *fakeBody) {
				writePaced(body, 1, 4, 40*time.Millisecond)
				time.Sleep(900 * time.Millisecond)
				writePaced(body, 5, 10, 2*time.Millisecond)
				body.writer.Close()
			})
			c.requireWhole(t, events(1, 10))
			require.Equal(t, !congested, len(f.upstream.servers()) > 1)
			time.Sleep(2 * time.Second)
		})
	}
}

// Guards against retries and against servers that count as failing because their answers are late on this VM's
// link.
func TestCongestedLinkIsNoFaultOfAPlainServer(t *testing.T) {
	for _, congested := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			f := newFixture(t, Config{})
			f.relay.Link = loadedLink{congested: congested}
			f.addServer("a", deskService)
			f.addServer("b", deskService)
			f.upstream.send = func(context.Context, *Attempt) (*Response, error) {
				time.Sleep(600 * time.Millisecond)
				return newResponse(200, "answer"), nil
			}
			f.serve(request("/safe/x")).requireWhole(t, "answer")
			require.Equal(t, !congested, len(f.upstream.servers()) > 1)
			require.Equal(t, !congested, f.peers.notified() > 0)
			time.Sleep(2 * time.Second)
		})
	}
}

// Guards against streams that are accepted where nothing more fits on the link.
func TestSaturatedLinkRefusesStreamsAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, Config{})
		f.relay.Link = loadedLink{refuses: true}
		f.addServer("a", modelService)
		f.addServer("b", deskService)
		f.upstream.send = func(context.Context, *Attempt) (*Response, error) { return newResponse(200, "answer"), nil }
		c := f.serve(request("/plan/x"))
		require.Equal(t, ReasonLinkBusy, c.refusal.Reason)
		require.False(t, c.refusal.MayHaveRun)
		require.Equal(t, staleRetryAfter, c.refusal.RetryAfter)
		f.serve(request("/safe/x")).requireWhole(t, "answer")
		require.Equal(t, []string{"b"}, f.upstream.servers())
	})
}
