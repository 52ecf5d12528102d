package relay

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/require"

	"kingcupplank.example/kingcup/backends"
	"kingcupplank.example/kingcup/flow"
)

// movable lets copies take some time and closes the run's stream when it is
// stopped, as engines do.
func (w *world) movable(run *source, took time.Duration) {
	w.up.move = func(_ context.Context, _ backends.Server, _, _ string, final bool) (string, error) {
		if final {
			run.breakOff()
			return "h2", nil
		}
		time.Sleep(took)
		return "h1", nil
	}
}

// A server says that it is leaving while it runs a stream. The run's memory is
// copied while it goes on, then it stops and goes on at the copy; the caller sees
// every event once, and no half event of the old server.
func TestStreamOutlivesItsServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, Config{})
		w.server("a", modelService)
		old := newSource()
		w.movable(old, 20*time.Millisecond)
		w.up.send = func(_ context.Context, a *Attempt) (*Response, error) {
			if a.ResumeFrom == nil {
				return old.answer(), nil
			}
			require.Equal(t, &KVCopy{Source: "a:1", Handle: "h2"}, a.ResumeFrom)
			require.Equal(t, "3", a.LastEventID)
			next := newSource()
			go func() {
				next.write(events(4, 6))
				next.w.Close()
			}()
			return next.answer(), nil
		}
		go func() {
			old.write(events(1, 3) + "id: 4\nda")
			w.server("b", modelService)
			w.drain("a", modelService)
		}()
		w.serve(request("/plan/x")).whole(t, events(1, 6))
		require.Equal(t, []string{"a", "b"}, w.up.servers())
		require.Equal(t, "r1 a>b:1 false", w.up.moves[0])
		require.Equal(t, "r1 a>b:1 true", w.up.moves[len(w.up.moves)-1])
	})
}

// A request is on its way to a server, without an answer yet, when the server's
// notice arrives. Its stream begins after the notice, so the list of streams to
// move did not have it; it must be moved all the same or it dies with its server.
func TestStreamThatBeginsAfterTheNoticeIsMoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, Config{})
		w.server("a", modelService)
		old := newSource()
		w.movable(old, 20*time.Millisecond)
		w.up.send = func(_ context.Context, a *Attempt) (*Response, error) {
			next := newSource()
			if a.ResumeFrom == nil {
				w.server("b", modelService)
				w.drain("a", modelService)
				go old.write(events(1, 2))
				return old.answer(), nil
			}
			go func() {
				next.write(events(3, 4))
				next.w.Close()
			}()
			return next.answer(), nil
		}
		w.serve(request("/plan/x")).whole(t, events(1, 4))
	})
}

// The server dies before the copy is complete and the route does not allow a new
// run. The answer breaks off; it must not look complete.
func TestStreamWithoutACopyBreaksOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, Config{})
		w.server("a", modelService)
		old := newSource()
		w.up.send = func(context.Context, *Attempt) (*Response, error) {
			go func() {
				old.write(events(1, 2) + "id: 3\n")
				old.breakOff()
			}()
			return old.answer(), nil
		}
		c := w.serve(request("/plan/x"))
		require.True(t, c.aborted)
		require.False(t, c.ended)
		require.Equal(t, events(1, 2), c.body.String())
	})
}

// A server dies in the middle of a stream that may be resumed. A new run goes on
// behind the last event that the caller has.
func TestResumableStreamGoesOnByANewRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, Config{})
		w.server("a", modelService)
		w.server("b", modelService)
		w.up.send = func(_ context.Context, a *Attempt) (*Response, error) {
			s := newSource()
			if a.LastEventID == "" {
				go func() {
					s.write(events(1, 2) + "id: 3\nd")
					s.breakOff()
				}()
				return s.answer(), nil
			}
			require.Equal(t, "2", a.LastEventID)
			go func() {
				s.write(events(3, 4))
				s.w.Close()
			}()
			return s.answer(), nil
		}
		w.serve(request("/check/x")).whole(t, events(1, 4))
		require.NotEqual(t, w.up.sent[0].Server.ID, w.up.sent[1].Server.ID)
	})
}

// A server skips an event. Joined pieces would look like one answer; the stream
// breaks off instead.
func TestGapInAStreamBreaksItOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, Config{})
		w.server("a", modelService)
		w.up.send = func(context.Context, *Attempt) (*Response, error) {
			s := newSource()
			go s.write(event(1) + event(3))
			return s.answer(), nil
		}
		c := w.serve(request("/plan/x"))
		require.True(t, c.aborted)
		require.Equal(t, event(1), c.body.String())
	})
}

// The VM has been told to stop and a caller's kept connection brings one more
// long generation. It would be cut off in its middle, where the caller cannot
// come back; refused at once, it is answered by another VM. Short requests are
// still served, and where every VM is stopping, so are long ones for a while: the
// caller would only be refused again. Later the first VMs are about to be back, and a
// stream that must not be repeated is not risked on a guess of its length.
func TestStoppingVMTakesNoStreamThatOutlastsIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, Config{})
		w.server("a", modelService)
		w.server("d", deskService)
		w.up.send = func(_ context.Context, a *Attempt) (*Response, error) {
			if a.Server.ID == "d" {
				return answer(200, "ok"), nil
			}
			s := newSource()
			go func() {
				s.write(events(1, 2))
				s.w.Close()
			}()
			return s.answer(), nil
		}
		w.relay.SetShutdown(time.Now().Add(5*time.Second), time.Now().Add(2*time.Second))
		c := w.serve(request("/plan/x"))
		require.Equal(t, ReasonStopping, c.refusal.Reason)
		require.False(t, c.refusal.MayHaveRun)
		require.Empty(t, w.up.sent)
		w.serve(request("/once/x")).whole(t, "ok")

		short := request("/check/x")
		short.Generation.EstimatedOutput = 12
		w.serve(short).whole(t, events(1, 2))

		w.others.taking = false
		w.serve(request("/plan/x")).whole(t, events(1, 2))
		time.Sleep(2 * time.Second)
		brief := request("/plan/x")
		brief.Generation.EstimatedOutput = 12
		require.Equal(t, ReasonStopping, w.serve(brief).refusal.Reason)
	})
}

// The store is away when a server begins to leave, so its entry cannot say so. The
// server itself is asked, and the stream is moved before the server ends.
func TestStreamOutlivesAServerThatLeavesDuringAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, Config{})
		w.server("a", modelService)
		old := newSource()
		w.movable(old, 20*time.Millisecond)
		w.up.send = func(_ context.Context, a *Attempt) (*Response, error) {
			next := newSource()
			if a.ResumeFrom == nil {
				go old.write(events(1, 2))
				return old.answer(), nil
			}
			go func() {
				next.write(events(3, 4))
				next.w.Close()
			}()
			return next.answer(), nil
		}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go w.relay.RunProber(ctx, func() bool { return true })
		time.AfterFunc(time.Second, func() {
			w.server("b", modelService)
			w.up.setLeaving("a")
		})
		time.AfterFunc(2500*time.Millisecond, old.breakOff)
		w.serve(request("/plan/x")).whole(t, events(1, 4))
		require.Equal(t, []string{"a", "b"}, w.up.servers())
	})
}

// When a user complains, the last line of a stream is what tells whether its first
// token or a pause was late.
func TestLastLineSaysHowFarAStreamCame(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, Config{})
		log, lines := test.NewNullLogger()
		w.relay.Log = log
		w.server("a", modelService)
		run := newSource()
		w.up.send = func(context.Context, *Attempt) (*Response, error) {
			time.Sleep(400 * time.Millisecond)
			go func() {
				run.write(event(1))
				time.Sleep(250 * time.Millisecond)
				run.write(events(2, 5))
				run.w.Close()
			}()
			return run.answer(), nil
		}
		w.serve(request("/plan/x")).whole(t, events(1, 5))
		last := lines.LastEntry().Data
		require.Equal(t, 5, last["events"])
		require.EqualValues(t, 400, last["first_ms"])
		require.EqualValues(t, 250, last["pause_ms"])
		require.Equal(t, 900, last["hint"])
	})
}

// A server leaves with runs of several gateways, and one engine is emptier than the
// others. If all copied there it would be overfull; each takes an engine where it is
// its turn, and tells the others at once. Where none of those is near, it takes the
// emptiest after all.
func TestCopiesOfSeveralGatewaysSpread(t *testing.T) {
	targetOf := func(t *testing.T, mine func(server string) bool) string {
		w := newWorld(t, Config{})
		w.server("a", modelService)
		run := newSource()
		w.movable(run, time.Millisecond)
		w.up.send = func(_ context.Context, a *Attempt) (*Response, error) {
			if a.ResumeFrom == nil {
				return run.answer(), nil
			}
			next := newSource()
			go func() {
				next.write(events(3, 4))
				next.w.Close()
			}()
			return next.answer(), nil
		}
		done := make(chan *caller)
		go func() { done <- w.serve(request("/plan/x")) }()
		run.write(events(1, 2))
		synctest.Wait()
		w.server("empty", modelService)
		w.server("fuller", modelService)
		w.registry.SetRemoteLoads("vm-2", map[string]backends.Load{"fuller": {Running: 2, ExpectedTokens: 8000}})
		turns := &flow.Turns{Self: "self", Contenders: []flow.Contender{{Name: "self", Waiting: 1}, {Name: "vm-2", Waiting: 3}}}
		for turns.IsOwnTurn("empty") != mine("empty") || turns.IsOwnTurn("fuller") != mine("fuller") {
			turns.Period++
		}
		w.others.set(turns)
		told := w.others.nudged()
		w.drain("a", modelService)
		(<-done).whole(t, events(1, 4))
		require.Greater(t, w.others.nudged(), told)
		return w.up.servers()[1]
	}
	synctest.Test(t, func(t *testing.T) {
		require.Equal(t, "fuller", targetOf(t, func(server string) bool { return server == "fuller" }))
	})
	synctest.Test(t, func(t *testing.T) {
		require.Equal(t, "empty", targetOf(t, func(string) bool { return false }))
	})
}
