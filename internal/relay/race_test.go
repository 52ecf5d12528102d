package relay

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// raceTarget is the target of the routes of the plain service.
const raceTarget = 150 * time.Millisecond

// racing is a world with two plain servers; play answers the n-th attempt.
func racing(t *testing.T, cfg Config, play func(ctx context.Context, n int, a *Attempt) (*Response, error)) *world {
	w := newWorld(t, cfg)
	w.server("a", deskService)
	w.server("b", deskService)
	w.up.send = func(ctx context.Context, a *Attempt) (*Response, error) {
		w.up.mu.Lock()
		n := len(w.up.sent)
		w.up.mu.Unlock()
		return play(ctx, n, a)
	}
	return w
}

// hang answers nothing until the attempt is cut.
func hang(ctx context.Context) (*Response, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// Guards against a confirmation that may run again being lost because its server hangs.
func TestRequestAtAHangingServerIsAnsweredInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cut := false
		w := racing(t, Config{}, func(ctx context.Context, n int, _ *Attempt) (*Response, error) {
			if n == 1 {
				defer func() { cut = true }()
				return hang(ctx)
			}
			time.Sleep(20 * time.Millisecond)
			return answer(200, "ok"), nil
		})
		begun := time.Now()
		w.serve(request("/safe/x")).whole(t, "ok")
		require.Less(t, time.Since(begun), raceTarget)
		synctest.Wait()
		require.True(t, cut, "the first server stops")
		require.Empty(t, w.registry.Loads())
	})
}

// A server that is only slow answers first: the second attempt is ended, and neither is held
// against a server.
func TestSlowServerMayAnswerFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := racing(t, Config{}, func(ctx context.Context, n int, _ *Attempt) (*Response, error) {
			if n == 1 {
				time.Sleep(raceTarget * 3 / 4)
				return answer(200, "first"), nil
			}
			return hang(ctx)
		})
		w.serve(request("/safe/x")).whole(t, "first")
		synctest.Wait()
		require.Empty(t, w.registry.Loads())
		require.Empty(t, w.registry.Statuses(w.now()))
	})
}

func TestFailedAttemptOfARaceLeavesTheOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := racing(t, Config{}, func(_ context.Context, n int, _ *Attempt) (*Response, error) {
			if n == 2 {
				return nil, errReset
			}
			time.Sleep(2 * raceTarget)
			return answer(200, "first"), nil
		})
		w.serve(request("/safe/x")).whole(t, "first")
		require.Len(t, w.up.sent, 2)
		require.Empty(t, w.registry.Loads())
	})
}

// Guards against races where a request must not run twice, or repeats are used up.
func TestNoRaceWithoutLeave(t *testing.T) {
	for _, tt := range []struct {
		path string
		used bool
	}{{"/once/x", false}, {"/safe/x", true}} {
		synctest.Test(t, func(t *testing.T) {
			w := racing(t, Config{}, func(ctx context.Context, n int, _ *Attempt) (*Response, error) {
				time.Sleep(2 * raceTarget)
				return answer(200, "ok"), nil
			})
			if tt.used {
				w.relay.first(deskService)
				for w.relay.repeat(deskService) {
				}
			}
			w.serve(request(tt.path)).whole(t, "ok")
			require.Len(t, w.up.sent, 1)
		})
	}
}

// Guards against a caller that leaves both attempts of a race at work.
func TestCallerThatLeavesEndsBothAttempts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ended := 0
		w := racing(t, Config{}, func(ctx context.Context, _ int, _ *Attempt) (*Response, error) {
			defer func() { ended++ }()
			return hang(ctx)
		})
		ctx, leave := context.WithCancel(t.Context())
		time.AfterFunc(raceTarget, leave)
		c := &caller{}
		w.relay.Serve(ctx, request("/safe/x"), c)
		synctest.Wait()
		require.Equal(t, 2, ended)
		require.True(t, c.aborted)
		require.Empty(t, w.registry.Loads())
	})
}
