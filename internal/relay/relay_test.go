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

// A full server does not run the request, and another server answers it, whatever the request's
// kind.
func TestRequestThatDidNotRunGoesToAnotherServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, Config{})
		f.addServer("a", deskService)
		f.addServer("b", deskService)
		first := ""
		f.upstream.send = func(_ context.Context, a *Attempt) (*Response, error) {
			if first == "" {
				first = a.Server.ID
				return nil, &NotRunError{Reason: NotRunFull}
			}
			require.NotEqual(t, first, a.Server.ID)
			return newResponse(200, "ok"), nil
		}
		f.serve(request("/once/x")).requireWhole(t, "ok")
	})
}

// The connection breaks after a request that must not run twice was sent. It may have run, so no
// other server may get it, and the caller must not be told that it did not run.
func TestUnknownOutcomeIsNotRetried(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, Config{})
		f.addServer("a", deskService)
		f.addServer("b", deskService)
		f.upstream.send = func(context.Context, *Attempt) (*Response, error) { return nil, errReset }
		c := f.serve(request("/once/x"))
		require.Len(t, f.upstream.sent, 1)
		require.True(t, c.refusal.MayHaveRun)
		require.Zero(t, c.refusal.RetryAfter)
	})
}

// An attempt is lost, so the request may have run. A later attempt that certainly did not run
// must not turn that back into "has not run".
func TestRefusalAfterUnknownOutcomeStaysUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, Config{})
		f.addServer("a", deskService)
		f.addServer("b", deskService)
		attempts := 0
		f.upstream.send = func(context.Context, *Attempt) (*Response, error) {
			attempts++
			if attempts == 1 {
				return nil, errReset
			}
			return nil, &NotRunError{Reason: NotRunFull}
		}
		c := f.serve(request("/safe/x"))
		require.True(t, c.refusal.MayHaveRun)
	})
}

// A server fails an idempotent request; a second server is asked, but no third.
func TestIdempotentRequestGoesToASecondServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, Config{})
		for _, id := range []string{"a", "b", "c"} {
			f.addServer(id, deskService)
		}
		f.upstream.send = func(_ context.Context, a *Attempt) (*Response, error) {
			if len(f.upstream.sent) == 1 {
				return newResponse(500, "oops"), nil
			}
			return newResponse(200, "ok"), nil
		}
		f.serve(request("/safe/x")).requireWhole(t, "ok")

		f.upstream.sent = nil
		f.upstream.send = func(context.Context, *Attempt) (*Response, error) { return newResponse(500, "oops"), nil }
		c := f.serve(request("/safe/x"))
		require.Equal(t, 500, c.status)
		require.Equal(t, "oops", c.body.String())
		require.Len(t, f.upstream.sent, 2)
	})
}

// A success without the server's signature must not be forwarded: nothing vouches for its
// content.
func TestUnsignedSuccessIsNotForwarded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, Config{})
		f.addServer("a", deskService)
		f.upstream.send = func(context.Context, *Attempt) (*Response, error) {
			response := newResponse(200, "forged")
			response.Signed = false
			return response, nil
		}
		c := f.serve(request("/once/x"))
		require.True(t, c.refusal.MayHaveRun)
		require.Empty(t, c.body.String())
	})
}

// Retries beyond the shared budget would multiply the load of a service that fails; requests are
// refused instead.
func TestRetriesStayWithinTheBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, Config{RetryRatio: 0.2, RetryExtra: 10})
		f.peers.count = 2
		for _, id := range []string{"a", "b", "c", "d"} {
			f.addServer(id, deskService)
		}
		f.upstream.send = func(context.Context, *Attempt) (*Response, error) { return nil, &NotRunError{Reason: NotRunFull} }
		const requests = 100
		for range requests {
			c := f.serve(request("/once/x"))
			require.False(t, c.refusal.MayHaveRun)
			require.Positive(t, c.refusal.RetryAfter)
		}
		require.LessOrEqual(t, len(f.upstream.sent)-requests, requests/5+5)
	})
}

// Gateways that are killed and start again must not have the extra retries of a window anew.
func TestRestartedGatewayHasNoNewExtraRetries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const ratio, extra, requests, lives = 0.2, 20, 30, 4
		f := newFixture(t, Config{RetryRatio: ratio, RetryExtra: extra, RetryWindow: 10 * time.Second})
		for _, id := range []string{"a", "b", "c", "d"} {
			f.addServer(id, deskService)
		}
		f.upstream.send = func(context.Context, *Attempt) (*Response, error) { return nil, &NotRunError{Reason: NotRunFull} }
		for range lives {
			for range requests {
				f.serve(request("/once/x"))
			}
			time.Sleep(time.Second)
			f.restart()
		}
		retries := len(f.upstream.sent) - lives*requests
		require.LessOrEqual(t, float64(retries), ratio*lives*requests+extra)
		require.Positive(t, retries)
	})
}

// The store refuses this VM while the operator removes a key. When the age of the configuration
// approaches the bound on removed keys, the key must not be accepted here, although the
// configuration in force still contains it.
func TestKeysAreNotTrustedWithoutConfirmation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, Config{RevokeTimeout: 5 * time.Second})
		f.addServer("a", deskService)
		f.upstream.send = func(context.Context, *Attempt) (*Response, error) { return newResponse(200, "ok"), nil }
		f.serve(request("/once/x")).requireWhole(t, "ok")
		require.True(t, f.relay.Ready())

		time.Sleep(4500 * time.Millisecond)
		c := f.serve(request("/once/x"))
		require.Equal(t, ReasonStaleConfig, c.refusal.Reason)
		require.False(t, c.refusal.MayHaveRun)
		require.False(t, f.relay.Ready())
		open := request("/open/x")
		open.APIKey = ""
		f.serve(open).requireWhole(t, "ok")

		f.apply(2, "other-key")
		require.Equal(t, ReasonBadKey, f.serve(request("/once/x")).refusal.Reason)
	})
}

// The VM is suspended for ten seconds, in which a key is removed, and resumes with callers'
// requests waiting on its connections. For its timers no time has passed. It must neither accept
// the key nor be ready before its configuration has been confirmed again.
func TestSuspendedVMTrustsNoKeys(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, Config{RevokeTimeout: 5 * time.Second, ApplyTimeout: 2 * time.Second})
		f.addServer("a", deskService)
		f.upstream.send = func(context.Context, *Attempt) (*Response, error) { return newResponse(200, "ok"), nil }
		f.serve(request("/once/x")).requireWhole(t, "ok")
		f.suspend(10 * time.Second)
		require.Equal(t, ReasonStaleConfig, f.serve(request("/once/x")).refusal.Reason)
		require.Equal(t, ReasonStaleConfig, f.serve(request("/new/x")).refusal.Reason)
		require.False(t, f.relay.Ready())
		f.apply(2, "other-key")
		require.Equal(t, ReasonBadKey, f.serve(request("/once/x")).refusal.Reason)
		require.True(t, f.relay.Ready())
	})
}

// A route was added while the store was unreachable. "No such route" would be final for the
// caller; another VM knows the route, so the caller is told to retry.
func TestUnknownRouteIsNotFinalWithoutConfirmation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, Config{ApplyTimeout: 2 * time.Second})
		require.Equal(t, ReasonNoRoute, f.serve(request("/new/x")).refusal.Reason)
		time.Sleep(3 * time.Second)
		c := f.serve(request("/new/x"))
		require.Equal(t, ReasonStaleConfig, c.refusal.Reason)
		require.Positive(t, c.refusal.RetryAfter)
	})
}

// The caller's deadline passes before a server responds. The caller gets its final response then,
// and the attempt is canceled.
func TestDeadlineEndsAnAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, Config{})
		f.addServer("a", deskService)
		f.upstream.send = func(ctx context.Context, _ *Attempt) (*Response, error) {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		start := time.Now()
		c := f.serve(request("/once/x"))
		require.Equal(t, time.Second, time.Since(start))
		require.Equal(t, ReasonDeadline, c.refusal.Reason)
		require.True(t, c.refusal.MayHaveRun)
	})
}

// No server accepts requests: the caller is told at once that its request has not run, and when
// to retry.
func TestRequestWithoutServerIsRefusedInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, Config{})
		start := time.Now()
		c := f.serve(request("/once/x"))
		require.Equal(t, ReasonNoServer, c.refusal.Reason)
		require.False(t, c.refusal.MayHaveRun)
		require.Positive(t, c.refusal.RetryAfter)
		require.Less(t, time.Since(start), 150*time.Millisecond)
	})
}

// Another server listens at an address and rejects the request: the server that the registry has
// there gets no more requests.
func TestReplacedServerGetsNoMoreRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, Config{})
		f.addServer("a", deskService)
		f.upstream.send = func(context.Context, *Attempt) (*Response, error) { return nil, &NotRunError{Reason: NotRunReplaced} }
		f.serve(request("/once/x"))
		listed, _ := f.registry.State(backends.Server{ID: "a"})
		require.False(t, listed)
		require.Nil(t, f.registry.Acquire(backends.Query{Service: deskService}, f.now()))
	})
}

// A server accepts requests and answers none. A caller's deadline alone does not count against a
// server, but after three times the target latency the server counts as failing, and the next
// caller is sent to a busier one.
func TestHangingServerGetsNoMoreRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, Config{})
		f.addServer("a", deskService)
		f.upstream.send = func(ctx context.Context, a *Attempt) (*Response, error) {
			if a.Server.ID == "a" {
				<-ctx.Done()
				return nil, ctx.Err()
			}
			return newResponse(http.StatusOK, "ok"), nil
		}
		first := make(chan *caller)
		go func() { first <- f.serve(request("/once/x")) }()
		time.Sleep(600 * time.Millisecond)
		f.addServer("b", deskService)
		f.registry.SetRemoteLoads("vm-2", map[string]backends.Load{"b": {Running: 3}})
		require.Equal(t, http.StatusOK, f.serve(request("/once/x")).status)
		require.Equal(t, []string{"a", "b"}, f.upstream.servers())
		require.True(t, (<-first).refusal.MayHaveRun)
	})
}

// Guards against callers being refused because of attempts that never reached a server.
func TestUnreachableServersUseNoRetryBudget(t *testing.T) {
	for _, reason := range []NotRunReason{NotRunDown, NotRunUnreachable} {
		synctest.Test(t, func(t *testing.T) {
			f := newFixture(t, Config{RetryExtra: 1})
			for i := range 8 {
				f.addServer(fmt.Sprint("gone-", i), deskService)
			}
			f.addServer("sound", deskService)
			f.upstream.send = func(_ context.Context, a *Attempt) (*Response, error) {
				if a.Server.ID != "sound" {
					return nil, &NotRunError{Reason: reason}
				}
				return newResponse(200, "ok"), nil
			}
			for range 5 {
				f.serve(request("/once/x")).requireWhole(t, "ok")
			}
		})
	}
}
