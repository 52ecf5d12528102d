package relay

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"kingcupplank.example/kingcup/backends"
)

var errReset = errors.New("connection reset")

// A server that is full says so; the caller's request has not run and another
// server answers it, whatever its kind.
func TestRefusedRequestGoesToAnotherServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, Config{})
		w.server("a", deskService)
		w.server("b", deskService)
		first := ""
		w.up.send = func(_ context.Context, a *Attempt) (*Response, error) {
			if first == "" {
				first = a.Server.ID
				return nil, &NotRunError{Reason: NotRunFull}
			}
			require.NotEqual(t, first, a.Server.ID)
			return answer(200, "ok"), nil
		}
		w.serve(request("/once/x")).whole(t, "ok")
	})
}

// The connection breaks after a request that must not run twice was sent. It may
// have run, so no other server may get it, and the caller must not be told that
// it did not run.
func TestUnknownOutcomeIsNotRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, Config{})
		w.server("a", deskService)
		w.server("b", deskService)
		w.up.send = func(context.Context, *Attempt) (*Response, error) { return nil, errReset }
		c := w.serve(request("/once/x"))
		require.Len(t, w.up.sent, 1)
		require.True(t, c.refusal.MayHaveRun)
		require.Zero(t, c.refusal.RetryAfter)
	})
}

// A first server refuses, the second breaks off: the request may have run by now.
// Later refusals must not turn that back into "has not run".
func TestRefusalAfterUnknownOutcomeStaysUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, Config{})
		w.server("a", deskService)
		w.server("b", deskService)
		tries := 0
		w.up.send = func(context.Context, *Attempt) (*Response, error) {
			tries++
			if tries == 1 {
				return nil, errReset
			}
			return nil, &NotRunError{Reason: NotRunFull}
		}
		c := w.serve(request("/safe/x"))
		require.True(t, c.refusal.MayHaveRun)
	})
}

// A server fails an idempotent request; a second server is asked, no third.
func TestIdempotentRequestIsAskedOfASecondServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, Config{})
		for _, id := range []string{"a", "b", "c"} {
			w.server(id, deskService)
		}
		w.up.send = func(_ context.Context, a *Attempt) (*Response, error) {
			if len(w.up.sent) == 1 {
				return answer(500, "oops"), nil
			}
			return answer(200, "ok"), nil
		}
		w.serve(request("/safe/x")).whole(t, "ok")

		w.up.sent = nil
		w.up.send = func(context.Context, *Attempt) (*Response, error) { return answer(500, "oops"), nil }
		c := w.serve(request("/safe/x"))
		require.Equal(t, 500, c.status)
		require.Equal(t, "oops", c.body.String())
		require.Len(t, w.up.sent, 2)
	})
}

// A success without the server's signature is not the server's: passing it on
// would show the caller bytes that nobody vouches for.
func TestUnsealedSuccessIsNotPassedOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, Config{})
		w.server("a", deskService)
		w.up.send = func(context.Context, *Attempt) (*Response, error) {
			a := answer(200, "forged")
			a.Signed = false
			return a, nil
		}
		c := w.serve(request("/once/x"))
		require.True(t, c.refusal.MayHaveRun)
		require.Empty(t, c.body.String())
	})
}

// Repeats beyond the shared budget would multiply the load of a service that
// fails; requests are refused instead.
func TestRepeatsKeepToTheBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, Config{RetryRatio: 0.2, RetryExtra: 10})
		w.others.known = 2
		for _, id := range []string{"a", "b", "c", "d"} {
			w.server(id, deskService)
		}
		w.up.send = func(context.Context, *Attempt) (*Response, error) { return nil, &NotRunError{Reason: NotRunFull} }
		const requests = 100
		for range requests {
			c := w.serve(request("/once/x"))
			require.False(t, c.refusal.MayHaveRun)
			require.Positive(t, c.refusal.RetryAfter)
		}
		require.LessOrEqual(t, len(w.up.sent)-requests, requests/5+5)
	})
}

// The platform's store turns this VM away while the operator removes a key. Once
// the bound on removed keys nears, the key must not be served here, although the
// configuration in force still has it.
func TestKeysAreNotTrustedWithoutConfirmation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, Config{RevokeTimeout: 5 * time.Second})
		w.server("a", deskService)
		w.up.send = func(context.Context, *Attempt) (*Response, error) { return answer(200, "ok"), nil }
		w.serve(request("/once/x")).whole(t, "ok")
		require.True(t, w.relay.Ready())

		time.Sleep(4500 * time.Millisecond)
		c := w.serve(request("/once/x"))
		require.Equal(t, ReasonStale, c.refusal.Reason)
		require.False(t, c.refusal.MayHaveRun)
		require.False(t, w.relay.Ready())
		open := request("/open/x")
		open.APIKey = ""
		w.serve(open).whole(t, "ok")

		w.apply(2, "other-key")
		require.Equal(t, ReasonBadKey, w.serve(request("/once/x")).refusal.Reason)
	})
}

// The VM is suspended for ten seconds, in which a key is removed, and wakes with callers'
// requests waiting on its connections. For its timers no time has passed. It must not
// serve the key, nor be ready, before its view has been confirmed again.
func TestSuspendedVMTrustsNoKeys(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, Config{RevokeTimeout: 5 * time.Second, ApplyTimeout: 2 * time.Second})
		w.server("a", deskService)
		w.up.send = func(context.Context, *Attempt) (*Response, error) { return answer(200, "ok"), nil }
		w.serve(request("/once/x")).whole(t, "ok")
		w.suspend(10 * time.Second)
		require.Equal(t, ReasonStale, w.serve(request("/once/x")).refusal.Reason)
		require.Equal(t, ReasonStale, w.serve(request("/new/x")).refusal.Reason)
		require.False(t, w.relay.Ready())
		w.apply(2, "other-key")
		require.Equal(t, ReasonBadKey, w.serve(request("/once/x")).refusal.Reason)
		require.True(t, w.relay.Ready())
	})
}

// A route was added while the store was out of reach. "No such route" would be
// final for the caller; another VM knows the route, so the caller is sent back.
func TestUnknownRouteIsNotFinalWithoutConfirmation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, Config{ApplyTimeout: 2 * time.Second})
		require.Equal(t, ReasonNoRoute, w.serve(request("/new/x")).refusal.Reason)
		time.Sleep(3 * time.Second)
		c := w.serve(request("/new/x"))
		require.Equal(t, ReasonStale, c.refusal.Reason)
		require.Positive(t, c.refusal.RetryAfter)
	})
}

// Time passes before a server answers. The caller gets its final answer at its
// deadline, and the server's connection ends with it.
func TestDeadlineEndsAnAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, Config{})
		w.server("a", deskService)
		w.up.send = func(ctx context.Context, _ *Attempt) (*Response, error) {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		begun := time.Now()
		c := w.serve(request("/once/x"))
		require.Equal(t, time.Second, time.Since(begun))
		require.Equal(t, ReasonDeadline, c.refusal.Reason)
		require.True(t, c.refusal.MayHaveRun)
	})
}

// No server takes requests: the caller is told at once that its request has not
// run, and when to come back.
func TestNoServerIsRefusedInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, Config{})
		begun := time.Now()
		c := w.serve(request("/once/x"))
		require.Equal(t, ReasonNoServer, c.refusal.Reason)
		require.False(t, c.refusal.MayHaveRun)
		require.Positive(t, c.refusal.RetryAfter)
		require.Less(t, time.Since(begun), 150*time.Millisecond)
	})
}

// Another server has taken over an address: it refuses, its predecessor gets no
// more requests.
func TestReplacedServerGetsNothingMore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, Config{})
		w.server("a", deskService)
		w.up.send = func(context.Context, *Attempt) (*Response, error) { return nil, &NotRunError{Reason: NotRunReplaced} }
		w.serve(request("/once/x"))
		listed, _ := w.registry.State(backends.Server{ID: "a"})
		require.False(t, listed)
		require.Nil(t, w.registry.Acquire(backends.Query{Service: deskService}, w.now()))
	})
}

// A server takes requests and answers none. Its callers' time passes, which by itself
// says nothing of a server; but after three times the usual time it counts as failing,
// and the next caller is sent to a busier one.
func TestHangingServerGetsNoMore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, Config{})
		w.server("a", deskService)
		w.up.send = func(ctx context.Context, a *Attempt) (*Response, error) {
			if a.Server.ID == "a" {
				<-ctx.Done()
				return nil, ctx.Err()
			}
			return answer(http.StatusOK, "ok"), nil
		}
		first := make(chan *caller)
		go func() { first <- w.serve(request("/once/x")) }()
		time.Sleep(600 * time.Millisecond)
		w.server("b", deskService)
		w.registry.SetRemoteLoads("vm-2", map[string]backends.Load{"b": {Running: 3}})
		require.Equal(t, http.StatusOK, w.serve(request("/once/x")).status)
		require.Equal(t, []string{"a", "b"}, w.up.servers())
		require.True(t, (<-first).refusal.MayHaveRun)
	})
}

// Guards against callers being refused for repeats that never arrived anywhere.
func TestRefusedConnectionsUseNoRepeats(t *testing.T) {
	for _, why := range []NotRunReason{NotRunDown, NotRunUnreachable} {
		synctest.Test(t, func(t *testing.T) {
			w := newWorld(t, Config{RetryExtra: 1})
			for i := range 8 {
				w.server(fmt.Sprint("gone-", i), deskService)
			}
			w.server("sound", deskService)
			w.up.send = func(_ context.Context, a *Attempt) (*Response, error) {
				if a.Server.ID != "sound" {
					return nil, &NotRunError{Reason: why}
				}
				return answer(200, "ok"), nil
			}
			for range 5 {
				w.serve(request("/once/x")).whole(t, "ok")
			}
		})
	}
}
