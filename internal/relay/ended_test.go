package relay

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/require"

	"kingcupplank.example/kingcup/backends"
	"kingcupplank.example/kingcup/cells"
	"kingcupplank.example/kingcup/quarantine"
)

// endings lists the lines on servers that ended under requests.
func endings(hook *logtest.Hook) (out []*logrus.Entry) {
	for _, e := range hook.AllEntries() {
		if e.Message == "server has ended under requests" {
			out = append(out, e)
		}
	}
	return out
}

// breaking plays a generation that is broken off after its third event, at a server that
// what happens to is up to the test.
func (w *world) breaking(happens func()) {
	body := newSource()
	w.up.send = func(context.Context, *Attempt) (*Response, error) { return body.answer(), nil }
	go func() {
		body.write(events(1, 3))
		happens()
		body.breakOff()
	}()
	w.serve(request("/plan/a"))
	time.Sleep(2 * lateLook)
}

// A caller's generation is broken off because the process that ran it has ended. The log
// names the server, the request and its content, by which operators find the request that
// a server does not survive.
func TestServerThatEndsUnderARequestIsNamed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, Config{})
		hook := logtest.NewLocal(w.relay.Log.(*logrus.Logger))
		w.server("e1", modelService)
		w.breaking(func() { w.up.end("e1") })
		lines := endings(hook)
		require.Len(t, lines, 1)
		require.Equal(t, "e1", lines[0].Data["server"])
		ran := lines[0].Data["ran"].([]map[string]any)
		require.Equal(t, "r1", ran[0]["request"])
		require.Equal(t, 3, ran[0]["events"])
	})
}

// A connection that was reset, and a server that ends after its notice, are no ends under
// a request: the one listens on, the other ends as planned.
func TestResetsAndPlannedEndsAreNoEndsUnderRequests(t *testing.T) {
	for name, happens := range map[string]func(w *world){
		"reset":   func(*world) {},
		"drained": func(w *world) { w.drain("e1", modelService); w.up.end("e1") },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t, Config{})
				hook := logtest.NewLocal(w.relay.Log.(*logrus.Logger))
				w.server("e1", modelService)
				w.up.move = noMove
				w.breaking(func() { happens(w) })
				require.Empty(t, endings(hook))
			})
		})
	}
}

// A connection to a server is reset, which is no end; a second later the server ends under
// another request. That it listened just before must not hide it.
func TestServerThatEndsAfterAResetIsNamed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, Config{})
		hook := logtest.NewLocal(w.relay.Log.(*logrus.Logger))
		w.server("e1", modelService)
		for _, ends := range []bool{false, true} {
			body := newSource()
			w.up.send = func(context.Context, *Attempt) (*Response, error) { return body.answer(), nil }
			go func() {
				body.write(event(1))
				if ends {
					w.up.end("e1")
				}
				body.breakOff()
			}()
			w.serve(request("/plan/a"))
			time.Sleep(time.Second)
		}
		require.Len(t, endings(hook), 1)
		time.Sleep(lateLook)
	})
}

// A server that starts again at once under its id refuses no connection; that it ended is
// known once its new entry is.
func TestServerThatIsBackAtOnceHasEnded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, Config{})
		hook := logtest.NewLocal(w.relay.Log.(*logrus.Logger))
		w.registry.Put(w.entryBorn("e1", 1), w.now())
		w.breaking(func() {
			time.AfterFunc(time.Second, func() { w.registry.Put(w.entryBorn("e1", 2), w.now()) })
		})
		require.Len(t, endings(hook), 1)
	})
}

// noMove refuses every copy.
func noMove(context.Context, backends.Server, string, string, bool) (string, error) {
	return "", ErrNoCapacity
}

// ledger is what is known of suspects by one process alone. It implements Suspects.
type ledger struct {
	now    func() time.Duration
	relay  *Relay
	mu     sync.Mutex
	book   *quarantine.Tracker
	looked int
}

func (l *ledger) HasRecords() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.book.Len() > 0
}

func (l *ledger) Quarantined(id quarantine.ID) (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.looked++
	return l.book.Quarantined(id, l.now())
}

func (l *ledger) TrialDue(id quarantine.ID) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.book.TrialDue(id, l.now())
}

func (l *ledger) StartTrial(id quarantine.ID) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, tried := l.book.StartTrial(id, l.now())
	return tried
}

func (l *ledger) NearThreshold(id quarantine.ID) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.book.NearThreshold(id)
}

func (l *ledger) Crashed(s backends.Server, ran []quarantine.ID) {
	l.mu.Lock()
	c := l.book.Crashed(cells.Hash(s.ID), l.now(), ran)
	l.mu.Unlock()
	for _, id := range c.Quarantined {
		l.relay.CancelQuarantined(id)
	}
}

func (l *ledger) Answered(id quarantine.ID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.book.Clear(id, l.now())
}

// known counts the ends that are held against a request.
func (l *ledger) known(r *Request) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	id := quarantine.NewID("team-1", r.Method, r.Host, r.Target, r.Body)
	n := 0
	for slices.ContainsFunc(l.book.List(n+1), func(known quarantine.Record) bool { return known.ID == id }) {
		n++
	}
	return n
}

// suspicious has a world remember suspects.
func (w *world) suspicious() *ledger {
	l := &ledger{now: w.now, relay: w.relay, book: quarantine.NewTracker(quarantine.Default())}
	w.relay.Quarantine = l
	return l
}

// harmful has each server end under requests of a path, 50 ms after the first event; all
// others are answered.
func (w *world) harmful(path string) {
	w.up.send = func(ctx context.Context, a *Attempt) (*Response, error) {
		if w.up.IsDown(ctx, a.Server) {
			return nil, &NotRunError{Reason: NotRunUnreachable}
		}
		body := newSource()
		go func() {
			body.write(event(1))
			time.Sleep(50 * time.Millisecond)
			if a.Request.Path == path {
				w.up.end(a.Server.ID)
				body.breakOff()
				return
			}
			body.write(event(2))
			body.w.Close()
		}()
		return body.answer(), nil
	}
}

// A stream that may be resumed ends the server that runs it, and the gateway carries it on
// to the next one itself. After the third it must not, however many servers the route
// allows; its caller gets the final answer at once.
func TestOwnRepeatsEndAtTheThirdServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, Config{})
		w.suspicious()
		w.checkServers = 8
		w.apply(2)
		for i := range 8 {
			w.server(fmt.Sprint("e", i), modelService)
		}
		w.harmful("/check/a")
		c := w.serve(request("/check/a"))
		require.True(t, c.aborted)
		require.Len(t, w.up.servers(), 3)
		time.Sleep(2 * lateLook)
	})
}

// A request under which three servers have ended comes again with a new id. It is refused
// at once, as not run, and is told to come back when the verdict ends; no server sees it.
// Another request of the same team is served.
func TestHeldRequestIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, Config{})
		w.suspicious()
		for i := range 6 {
			w.server(fmt.Sprint("e", i), modelService)
		}
		w.harmful("/plan/a")
		for range 3 {
			w.serve(request("/plan/a"))
		}
		sent, begun := len(w.up.servers()), time.Now()
		c := w.serve(request("/plan/a"))
		require.NotNil(t, c.refusal)
		require.Equal(t, ReasonHarmful, c.refusal.Reason)
		require.False(t, c.refusal.MayHaveRun)
		require.Greater(t, c.refusal.RetryAfter, quarantine.Default().Term-10*time.Second)
		require.Zero(t, time.Since(begun))
		require.Len(t, w.up.servers(), sent)
		w.serve(request("/plan/b")).whole(t, events(1, 2))
		time.Sleep(2 * lateLook)
	})
}

// Guards against a trial being spent on a request for which there is no server: the next one
// would be due only twice as long after.
func TestTrialWaitsForAServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, Config{})
		l := w.suspicious()
		w.harmful("/plan/harmful")
		r := request("/plan/a")
		popular := quarantine.NewID("team-1", r.Method, r.Host, r.Target, nil)
		for _, id := range []string{"x1", "x2", "x3"} {
			l.Crashed(w.entry(id, modelService), []quarantine.ID{popular, quarantine.NewID("team-1", r.Method, r.Host, "/plan/harmful", nil)})
		}
		time.Sleep(quarantine.Default().TrialAfter)
		c := w.serve(request("/plan/a"))
		require.NotNil(t, c.refusal)
		require.NotEqual(t, ReasonHarmful, c.refusal.Reason)
		require.Empty(t, l.book.Record(popular).Trials)
		w.server("e1", modelService)
		begun := time.Now()
		for c.refusal != nil {
			require.Less(t, time.Since(begun), time.Second, "several turns")
			time.Sleep(50 * time.Millisecond)
			c = w.serve(request("/plan/a"))
		}
		c.whole(t, events(1, 2))
		require.Equal(t, 1, l.book.QuarantinedCount(), "the harmful one")
	})
}

// Three servers end under a request while two more of its attempts are on their way: one is
// at a server that reads its prompt, one is being answered. The first is given up at once,
// or its server would end as well; the second goes on, as its answer shows.
func TestAttemptsUnderWayAreGivenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, Config{})
		l := w.suspicious()
		w.server("e1", modelService)
		reads, answers := make(chan struct{}), newSource()
		w.up.send = func(ctx context.Context, a *Attempt) (*Response, error) {
			if a.Request.ID == "reads" {
				close(reads)
				<-ctx.Done()
				return nil, ctx.Err()
			}
			return answers.answer(), nil
		}
		first, second := request("/plan/a"), request("/plan/a")
		first.ID, second.ID = "reads", "answers"
		var wg sync.WaitGroup
		got := make([]*caller, 2)
		wg.Go(func() { got[0] = w.serve(first) })
		wg.Go(func() { got[1] = w.serve(second) })
		<-reads
		answers.write(event(1))
		begun := time.Now()
		for _, id := range []string{"x1", "x2", "x3"} {
			l.Crashed(w.entry(id, modelService), []quarantine.ID{quarantine.NewID("team-1", first.Method, first.Host, first.Target, nil)})
		}
		synctest.Wait()
		require.NotNil(t, got[0])
		require.Equal(t, ReasonHarmful, got[0].refusal.Reason)
		require.True(t, got[0].refusal.MayHaveRun, "the server had it")
		require.Zero(t, time.Since(begun))
		answers.write(event(2))
		answers.w.Close()
		wg.Wait()
		got[1].whole(t, events(1, 2))
	})
}

// A run whose server ended has a standing copy elsewhere. Two servers have ended under the
// request before; going on from the copy would end the one that holds it.
func TestHeldStreamDoesNotGoOnFromItsCopy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, Config{})
		l := w.suspicious()
		for i := range 6 {
			w.server(fmt.Sprint("e", i), modelService)
		}
		w.harmful("/plan/a")
		r := request("/plan/a")
		for _, id := range []string{"x1", "x2"} {
			l.Crashed(w.entry(id, modelService), []quarantine.ID{quarantine.NewID("team-1", r.Method, r.Host, r.Target, nil)})
		}
		c := w.serve(r)
		require.NotEmpty(t, w.up.sent[0].StandbyAddress, "there is a copy")
		require.True(t, c.aborted)
		require.Len(t, w.up.servers(), 1)
		time.Sleep(2 * lateLook)
	})
}

// A caller's answer was put together from two servers, the first of which ended. That it is
// whole says nothing about the request; an answer of one server does.
func TestOnlyAnAnswerOfOneServerAbsolves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, Config{})
		l := w.suspicious()
		w.server("e1", modelService)
		w.server("e2", modelService)
		w.up.send = func(ctx context.Context, a *Attempt) (*Response, error) {
			body := newSource()
			go func() {
				if a.LastEventID != "" {
					// The end of the first server is known by then.
					time.Sleep(2 * endLook)
					body.write(event(2))
					body.w.Close()
					return
				}
				body.write(event(1))
				w.up.end(a.Server.ID)
				body.breakOff()
			}()
			return body.answer(), nil
		}
		r := request("/check/a")
		w.serve(r).whole(t, events(1, 2))
		time.Sleep(2 * lateLook)
		require.Equal(t, 1, l.known(r))
		w.up.send = func(context.Context, *Attempt) (*Response, error) {
			body := newSource()
			go func() {
				body.write(events(1, 2))
				body.w.Close()
			}()
			return body.answer(), nil
		}
		w.serve(r).whole(t, events(1, 2))
		require.Zero(t, l.known(r))
	})
}

// Where nothing is known of any request, the content of a request is not looked at.
func TestNothingIsLookedUpWhereNothingIsKnown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, Config{})
		l := w.suspicious()
		w.server("d1", deskService)
		w.up.send = func(context.Context, *Attempt) (*Response, error) { return answer(200, "ok"), nil }
		w.serve(request("/safe/a")).whole(t, "ok")
		require.Zero(t, l.looked)
	})
}
