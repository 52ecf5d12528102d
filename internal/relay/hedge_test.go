package relay

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// hedged serves a stream with a standing copy at a second engine. play writes the first
// engine's events; the copy brings those behind the caller's last, up to the tenth.
func serveHedged(t *testing.T, f *fixture, refuse bool, writeEvents func(body *fakeBody)) *caller {
	f.addServer("a", modelService)
	f.addServer("b", modelService)
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

// paced writes events with a pause behind each.
func writePaced(body *fakeBody, from, to int, pause time.Duration) {
	for n := from; n <= to; n++ {
		body.write(event(n))
		time.Sleep(pause)
	}
}

// An engine hangs or is cut off in the middle of an answer: no event, no reset. The
// caller would wait for the connection's probes, 4 s. The stream goes on from its
// standing copy inside the longest pause that is on time, 180 ms.
func TestSilentStreamContinuesFromStandby(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, Config{})
		c := serveHedged(t, f, false, func(body *fakeBody) { writePaced(body, 1, 4, 40*time.Millisecond) })
		c.requireWhole(t, events(1, 10))
		require.Less(t, f.now()-time.Second, 4*40*time.Millisecond+180*time.Millisecond)
		require.ElementsMatch(t, []string{"a", "b"}, f.upstream.servers())
	})
}

// The silence was a pause: the engine goes on just as the copy is asked. The caller gets
// each event once, from one generation.
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

// The copy is missing. The stream that was silent is not cut: its engine may come back,
// and does.
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

// An engine that is slow throughout raises no alarm: the silence is judged by the
// stream's own pace.
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
