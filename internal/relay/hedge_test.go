package relay

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"kingcupplank.example/kingcup/backends"
)

// serveHedged serves a stream with a standby copy at a second engine. writeEvents writes the
// first engine's events; the standby server sends those after the caller's last event, up to the
// tenth.
func serveHedged(t *testing.T, f *fixture, refuse bool, writeEvents func(body *fakeBody)) *caller {
	f.addServer("a", modelService)
	f.addServer("b", modelService)
	if f.upstream.stopRun == nil {
		f.upstream.stopRun = unreachable
	}
	t.Cleanup(func() { time.Sleep(stopTimeout) })
	f.upstream.send = func(ctx context.Context, a *Attempt) (*Response, error) {
		body := newFakeBody()
		if a.ResumeFrom == nil {
			go writeEvents(body)
			return body.response(), nil
		}
		if refuse {
			return nil, &NotRunError{Reason: NotRunFull, Detail: "no such copy"}
		}
		seq := sequenceAfter(a.LastEventID)
		go func() {
			time.Sleep(30 * time.Millisecond)
			body.write(events(int(seq.lastID)+1, 10))
			body.writer.Close()
		}()
		return body.response(), nil
	}
	return f.serve(request("/plan/x"))
}

// writePaced writes events with a pause after each.
func writePaced(body *fakeBody, from, to int, pause time.Duration) {
	for n := from; n <= to; n++ {
		body.write(event(n))
		time.Sleep(pause)
	}
}

// An engine hangs or becomes unreachable in the middle of a response: no event, no reset. The
// connection's keepalive probes would fail only after 4 s. The stream is resumed from its standby
// copy within the maximum pause of 180 ms.
func TestSilentStreamContinuesFromStandby(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, Config{})
		c := serveHedged(t, f, false, func(body *fakeBody) { writePaced(body, 1, 4, 40*time.Millisecond) })
		c.requireWhole(t, events(1, 10))
		require.Less(t, f.now()-time.Second, 4*40*time.Millisecond+180*time.Millisecond)
		require.ElementsMatch(t, []string{"a", "b"}, f.upstream.servers())
	})
}

// The silence was only a pause: the engine continues when the standby server is asked. The caller
// gets each event once, all of one generation.
func TestFalseAlarmDuplicatesNoEvent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, Config{})
		c := serveHedged(t, f, false, func(body *fakeBody) {
			writePaced(body, 1, 4, 40*time.Millisecond)
			time.Sleep(75 * time.Millisecond)
			writePaced(body, 5, 10, 2*time.Millisecond)
			body.writer.Close()
		})
		c.requireWhole(t, events(1, 10))
	})
}

// The standby copy is missing. The silent stream is not canceled: its engine may continue, and
// does.
func TestSilentStreamWithoutStandbyIsNotCanceled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, Config{})
		c := serveHedged(t, f, true, func(body *fakeBody) {
			writePaced(body, 1, 4, 40*time.Millisecond)
			time.Sleep(time.Second)
			writePaced(body, 5, 10, 40*time.Millisecond)
			body.writer.Close()
		})
		c.requireWhole(t, events(1, 10))
	})
}

// An engine that is always slow causes no hedge: the allowed silence depends on the stream's own
// longest pause.
func TestSlowStreamIsNotHedged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, Config{})
		c := serveHedged(t, f, false, func(body *fakeBody) {
			for n := 1; n <= 10; n++ {
				body.write(event(n))
				time.Sleep(time.Duration(60+15*n) * time.Millisecond)
			}
			body.writer.Close()
		})
		c.requireWhole(t, events(1, 10))
		require.Equal(t, 1, len(f.upstream.servers()))
	})
}

// Guards against a stream without a length being taken for complete as its server stops it for its continuation.
func TestStreamThatEndsWithItsConnectionGoesOnAfterAStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, Config{})
		f.addServer("a", modelService)
		f.addServer("b", modelService)
		first := newFakeBody()
		f.upstream.stopRun = func(_ context.Context, _ backends.Server, _, _ string, sent func()) (string, error) {
			sent()
			first.writer.Close()
			return "h", nil
		}
		f.upstream.send = func(_ context.Context, a *Attempt) (*Response, error) {
			if a.ResumeFrom == nil {
				go writePaced(first, 1, 4, 40*time.Millisecond)
				r := first.response()
				r.EndsWithConnection = true
				return r, nil
			}
			next := newFakeBody()
			go func() {
				next.write(events(5, 10))
				next.writer.Close()
			}()
			return next.response(), nil
		}
		f.serve(request("/plan/x")).requireWhole(t, events(1, 10))
	})
}

// Guards against a caller that is slow to read an event being taken for a silent server.
func TestSlowCallerIsNoSilence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, Config{})
		f.addServer("a", modelService)
		f.addServer("b", modelService)
		f.upstream.stopRun = func(context.Context, backends.Server, string, string, func()) (string, error) {
			t.Error("the run is stopped")
			return "", ErrNoRun
		}
		f.upstream.send = func(context.Context, *Attempt) (*Response, error) {
			body := newFakeBody()
			go func() {
				writePaced(body, 1, 10, 40*time.Millisecond)
				body.writer.Close()
			}()
			return body.response(), nil
		}
		c := &caller{delay: time.Second, delayed: "id: 3\n"}
		f.relay.Serve(t.Context(), request("/plan/x"), c)
		c.requireWhole(t, events(1, 10))
	})
}

// Guards against the end of a run being lost that ended by itself as it was told to stop.
func TestRunThatHasEndedDeliversItsTail(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, Config{})
		f.upstream.stopRun = func(context.Context, backends.Server, string, string, func()) (string, error) { return "", ErrNoRun }
		c := serveHedged(t, f, true, func(body *fakeBody) {
			writePaced(body, 1, 4, 40*time.Millisecond)
			time.Sleep(250 * time.Millisecond)
			body.write(events(5, 10))
			body.writer.Close()
		})
		c.requireWhole(t, events(1, 10))
	})
}

// Guards against a silent run being lost that was stopped for a server without room: its own server keeps its memory.
func TestRunStoppedForAFullServerGoesOnAtItsOwn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, Config{})
		f.addServer("a", modelService)
		f.addServer("b", modelService)
		first, began := newFakeBody(), ""
		f.upstream.stopRun = func(context.Context, backends.Server, string, string, func()) (string, error) {
			first.breakOff()
			return "h", ErrNoCapacity
		}
		f.upstream.send = func(_ context.Context, a *Attempt) (*Response, error) {
			switch {
			case a.ResumeFrom == nil:
				began = a.Server.ID
				go writePaced(first, 1, 4, 40*time.Millisecond)
				return first.response(), nil
			case a.Server.ID != began:
				return nil, &NotRunError{Reason: NotRunFull, Detail: "no such copy"}
			}
			require.Equal(t, &KVCopy{Source: a.Server.Address, Handle: "h"}, a.ResumeFrom)
			next := newFakeBody()
			go func() {
				next.write(events(5, 10))
				next.writer.Close()
			}()
			return next.response(), nil
		}
		f.serve(request("/plan/x")).requireWhole(t, events(1, 10))
		// The stop call and the copies are given up in goroutines of their own.
		synctest.Wait()
		require.Empty(t, f.registry.Loads())
	})
}
