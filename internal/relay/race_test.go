package relay

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"kingcupplank.example/kingcup/retry"
)

// routeTarget is the target latency of the routes of the plain service.
const routeTarget = 150 * time.Millisecond

// newRaceFixture returns a fixture with two plain servers; respond handles the n-th attempt.
func newRaceFixture(t *testing.T, cfg Config, respond func(ctx context.Context, n int, a *Attempt) (*Response, error)) *fixture {
	f := newFixture(t, cfg)
	f.addServer("a", deskService)
	f.addServer("b", deskService)
	f.upstream.send = func(ctx context.Context, a *Attempt) (*Response, error) {
		f.upstream.mu.Lock()
		n := len(f.upstream.sent)
		f.upstream.mu.Unlock()
		return respond(ctx, n, a)
	}
	return f
}

// blockUntilCanceled returns only when the attempt is canceled.
func blockUntilCanceled(ctx context.Context) (*Response, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// Guards against an idempotent request being lost because its server hangs.
func TestRaceAnswersWhenFirstServerHangs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		canceled := false
		f := newRaceFixture(t, Config{}, func(ctx context.Context, n int, _ *Attempt) (*Response, error) {
			if n == 1 {
				defer func() { canceled = true }()
				return blockUntilCanceled(ctx)
			}
			time.Sleep(20 * time.Millisecond)
			return newResponse(200, "ok"), nil
		})
		start := time.Now()
		f.serve(request("/safe/x")).requireWhole(t, "ok")
		require.Less(t, time.Since(start), routeTarget)
		synctest.Wait()
		require.True(t, canceled, "the first attempt is canceled")
		require.Empty(t, f.registry.Loads())
	})
}

// A server that is only slow responds first: the second attempt is canceled, and neither server
// counts as failing.
func TestSlowServerMayWinTheRace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newRaceFixture(t, Config{}, func(ctx context.Context, n int, _ *Attempt) (*Response, error) {
			if n == 1 {
				time.Sleep(routeTarget * 3 / 4)
				return newResponse(200, "first"), nil
			}
			return blockUntilCanceled(ctx)
		})
		f.serve(request("/safe/x")).requireWhole(t, "first")
		synctest.Wait()
		require.Empty(t, f.registry.Loads())
		require.Empty(t, f.registry.Statuses(f.now()))
	})
}

func TestFailedAttemptOfARaceLeavesTheOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newRaceFixture(t, Config{}, func(_ context.Context, n int, _ *Attempt) (*Response, error) {
			if n == 2 {
				return nil, errReset
			}
			time.Sleep(2 * routeTarget)
			return newResponse(200, "first"), nil
		})
		f.serve(request("/safe/x")).requireWhole(t, "first")
		require.Len(t, f.upstream.sent, 2)
		require.Empty(t, f.registry.Loads())
	})
}

// Guards against races where a request must not run twice or no retry is left.
func TestNoRaceWhereNotAllowed(t *testing.T) {
	for _, tt := range []struct {
		path        string
		noRetryLeft bool
	}{{"/once/x", false}, {"/safe/x", true}} {
		synctest.Test(t, func(t *testing.T) {
			f := newRaceFixture(t, Config{}, func(ctx context.Context, n int, _ *Attempt) (*Response, error) {
				time.Sleep(2 * routeTarget)
				return newResponse(200, "ok"), nil
			})
			if tt.noRetryLeft {
				f.relay.recordFirstAttempt(deskService)
				for f.relay.takeRetry(deskService, retry.Race) {
				}
			}
			f.serve(request(tt.path)).requireWhole(t, "ok")
			require.Len(t, f.upstream.sent, 1)
		})
	}
}

// Guards against the attempts of a race continuing after the caller has disconnected.
func TestCallerDisconnectCancelsBothAttempts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ended := 0
		f := newRaceFixture(t, Config{}, func(ctx context.Context, _ int, _ *Attempt) (*Response, error) {
			defer func() { ended++ }()
			return blockUntilCanceled(ctx)
		})
		ctx, leave := context.WithCancel(t.Context())
		time.AfterFunc(routeTarget, leave)
		c := &caller{}
		f.relay.Serve(ctx, request("/safe/x"), c)
		synctest.Wait()
		require.Equal(t, 2, ended)
		require.True(t, c.aborted)
		require.Empty(t, f.registry.Loads())
	})
}
