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
func hedged(t *testing.T, w *world, refuse bool, play func(src *source)) *caller {
	w.server("a", modelService)
	w.server("b", modelService)
	w.up.send = func(ctx context.Context, a *Attempt) (*Response, error) {
		src := newSource()
		if a.ResumeFrom == nil {
			go play(src)
			return src.answer(), nil
		}
		if refuse {
			return nil, &NotRunError{Reason: NotRunFull, Detail: "no such copy"}
		}
		seq := sequenceAfter(a.LastEventID)
		go func() {
			time.Sleep(30 * time.Millisecond)
			src.write(events(int(seq.last)+1, 10))
			src.w.Close()
		}()
		return src.answer(), nil
	}
	return w.serve(request("/plan/x"))
}

// paced writes events with a pause behind each.
func paced(src *source, from, to int, pause time.Duration) {
	for n := from; n <= to; n++ {
		src.write(event(n))
		time.Sleep(pause)
	}
}

// An engine hangs or is cut off in the middle of an answer: no event, no reset. The
// caller would wait for the connection's probes, 4 s. The stream goes on from its
// standing copy inside the longest pause that is on time, 180 ms.
func TestSilentStreamGoesOnInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, Config{})
		c := hedged(t, w, false, func(src *source) { paced(src, 1, 4, 40*time.Millisecond) })
		c.whole(t, events(1, 10))
		require.Less(t, w.now()-time.Second, 4*40*time.Millisecond+180*time.Millisecond)
		require.ElementsMatch(t, []string{"a", "b"}, w.up.servers())
	})
}

// The silence was a pause: the engine goes on just as the copy is asked. The caller gets
// each event once, from one generation.
func TestFalseAlarmBringsNoEventTwice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, Config{})
		c := hedged(t, w, false, func(src *source) {
			paced(src, 1, 4, 40*time.Millisecond)
			time.Sleep(75 * time.Millisecond)
			paced(src, 5, 10, 2*time.Millisecond)
			src.w.Close()
		})
		c.whole(t, events(1, 10))
	})
}

// The copy is missing. The stream that was silent is not cut: its engine may come back,
// and does.
func TestSilentStreamWithoutItsCopyIsLeftAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, Config{})
		c := hedged(t, w, true, func(src *source) {
			paced(src, 1, 4, 40*time.Millisecond)
			time.Sleep(time.Second)
			paced(src, 5, 10, 40*time.Millisecond)
			src.w.Close()
		})
		c.whole(t, events(1, 10))
	})
}

// An engine that is slow throughout raises no alarm: the silence is judged by the
// stream's own pace.
func TestSlowStreamIsNotSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, Config{})
		c := hedged(t, w, false, func(src *source) {
			for n := 1; n <= 10; n++ {
				src.write(event(n))
				time.Sleep(time.Duration(60+15*n) * time.Millisecond)
			}
			src.w.Close()
		})
		c.whole(t, events(1, 10))
		require.Equal(t, 1, len(w.up.servers()))
	})
}
