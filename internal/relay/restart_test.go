package relay

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"kingcupplank.example/kingcup/backends"
)

// startIncarnation puts the entry of a new incarnation of a server in the registry.
func (f *fixture) startIncarnation(id string, startTime int64) {
	f.registry.Put(f.newIncarnation(id, startTime), f.now())
}

// A server crashes behind a network partition while it runs a stream, and restarts under its id.
// No reset reaches the gateway, so the caller would wait 4 s until the connection's keepalive
// probes fail; the new entry shows that the run is lost. The stream resumes from a copy on
// another server.
func TestStreamContinuesAfterServerRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, Config{})
		f.startIncarnation("a", 100)
		old := newFakeBody()
		f.upstream.copyRun = func(ctx context.Context, _ backends.Server, _, _ string, _ bool) (string, error) {
			if len(f.upstream.copies) > 1 {
				<-ctx.Done()
				return "", ctx.Err()
			}
			return "h1", nil
		}
		f.upstream.send = func(_ context.Context, a *Attempt) (*Response, error) {
			if a.ResumeFrom == nil {
				return old.response(), nil
			}
			next := newFakeBody()
			go func() {
				next.write(events(4, 6))
				next.writer.Close()
			}()
			return next.response(), nil
		}
		var restartedAt time.Duration
		go func() {
			old.write(events(1, 3))
			f.addServer("b", modelService)
			// The report that the server is leaving causes a copy of the run; then the server
			// crashes.
			f.registry.MarkLeaving(f.newIncarnation("a", 100))
			time.Sleep(time.Second)
			restartedAt = f.now()
			f.startIncarnation("a", 200)
		}()
		f.serve(request("/plan/x")).requireWhole(t, events(1, 6))
		require.LessOrEqual(t, f.now()-restartedAt, restartCheckDelay+maxMigrationWait)
		require.Equal(t, []string{"a:1"}, f.upstream.closedIdle, "a request on an idle connection would be lost")
		time.Sleep(migrationTimeout + maxMigrationWait)
	})
}

// The same without a copy: the run cannot be resumed, and the response is aborted at once.
func TestStreamOfEarlierIncarnationEndsAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, Config{})
		f.startIncarnation("a", 100)
		old := newFakeBody()
		f.upstream.send = func(context.Context, *Attempt) (*Response, error) { return old.response(), nil }
		go func() {
			old.write(events(1, 3))
			time.Sleep(time.Second)
			f.startIncarnation("a", 200)
		}()
		c := f.serve(request("/plan/x"))
		require.True(t, c.aborted)
		require.Equal(t, 1500*time.Millisecond, (f.now() - time.Second).Round(500*time.Millisecond))
		require.Len(t, f.upstream.sent, 1, "it may have run and is not sent again")
	})
}

// A server has restarted, and a request reaches the new incarnation before its entry arrives
// here. Its stream gets events and must not be canceled.
func TestStreamOfNewIncarnationIsNotCanceled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, Config{})
		f.startIncarnation("a", 100)
		body := newFakeBody()
		f.upstream.send = func(context.Context, *Attempt) (*Response, error) { return body.response(), nil }
		go func() {
			for n := 1; n <= 40; n++ {
				body.write(event(n))
				time.Sleep(40 * time.Millisecond)
				if n == 5 {
					f.startIncarnation("a", 200)
				}
			}
			body.writer.Close()
		}()
		f.serve(request("/plan/x")).requireWhole(t, events(1, 40))
	})
}
