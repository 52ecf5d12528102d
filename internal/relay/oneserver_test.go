package relay

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"kingcupplank.example/kingcup/backends"
)

const (
	worldEvents   = 50
	eventInterval = 40 * time.Millisecond
	// maxTogether is how long a run may be at two servers that the gateway reaches.
	maxTogether = 400 * time.Millisecond
	// connectTimeout is how long a connection attempt to a server that is cut off takes.
	connectTimeout = 400 * time.Millisecond
)

// span is a time between from and to.
type span struct{ from, to time.Time }

func (s span) contains(t time.Time) bool { return !t.Before(s.from) && t.Before(s.to) }

// awaitEnd waits until none of the spans contains the present.
func awaitEnd(spans []span) {
	for _, s := range spans {
		if s.contains(time.Now()) {
			time.Sleep(time.Until(s.to))
		}
	}
}

// worldServer is an engine with faults at drawn times.
type worldServer struct {
	// cuts are when it can't be reached, pauses when it does nothing.
	cuts, pauses []span
	slowness     int
	// worksOn says that it goes on with a run whose connection has closed.
	worksOn bool

	mu      sync.Mutex
	stop    map[string]context.CancelFunc
	working []span
}

func (s *worldServer) isCut() bool {
	return slices.ContainsFunc(s.cuts, func(x span) bool { return x.contains(time.Now()) })
}

// world is engines and a gateway that is paused at times: what arrives then is read later.
type world struct {
	servers       map[string]*worldServer
	gatewayPauses []span
}

func (w *world) connect(ctx context.Context, s *worldServer) error {
	if !s.isCut() {
		return nil
	}
	select {
	case <-ctx.Done():
	case <-time.After(connectTimeout):
	}
	return &NotRunError{Reason: NotRunUnreachable}
}

func (w *world) send(ctx context.Context, a *Attempt) (*Response, error) {
	s := w.servers[a.Server.ID]
	if err := w.connect(ctx, s); err != nil {
		return nil, err
	}
	body, begun := newFakeBody(), make(chan struct{})
	context.AfterFunc(ctx, func() { body.PipeReader.CloseWithError(ctx.Err()) })
	go s.run(ctx, a, body, w, begun)
	select {
	case <-begun:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	awaitEnd(w.gatewayPauses)
	return body.response(), ctx.Err()
}

// run works on a run until its end, or until it is stopped.
func (s *worldServer) run(ctx context.Context, a *Attempt, body *fakeBody, w *world, begun chan struct{}) {
	awaitEnd(s.pauses)
	own, cancel := context.WithCancel(context.Background())
	if !s.worksOn {
		own, cancel = context.WithCancel(ctx)
	}
	defer cancel()
	s.mu.Lock()
	s.stop[a.Request.ID] = cancel
	s.mu.Unlock()
	from, done := time.Now(), own.Done()
	sent := make(chan int, worldEvents)
	delivered := make(chan struct{})
	go func() {
		defer close(delivered)
		for n := range sent {
			awaitEnd(s.cuts)
			awaitEnd(w.gatewayPauses)
			body.write(event(n))
		}
		awaitEnd(s.cuts)
		awaitEnd(w.gatewayPauses)
	}()
	seq := sequenceAfter(a.LastEventID)
	for n := int(seq.lastID) + 1; n <= worldEvents && own.Err() == nil; n++ {
		if n == int(seq.lastID)+1 {
			close(begun)
		}
		sent <- n
		select {
		case <-done:
		case <-time.After(time.Duration(s.slowness) * eventInterval):
		}
		awaitEnd(s.pauses)
	}
	s.mu.Lock()
	s.working = append(s.working, span{from, time.Now()})
	delete(s.stop, a.Request.ID)
	s.mu.Unlock()
	close(sent)
	<-delivered
	if own.Err() != nil {
		body.breakOff()
		return
	}
	body.writer.Close()
}

func (w *world) copyRun(ctx context.Context, from backends.Server, id, to string, final bool) (string, error) {
	return w.call(ctx, from, id, final, func() {})
}

func (w *world) stopRun(ctx context.Context, from backends.Server, id, _ string, sent func()) (string, error) {
	return w.call(ctx, from, id, true, sent)
}

// call delivers a call to a server, which handles it also after the gateway has given it up.
func (w *world) call(ctx context.Context, from backends.Server, id string, final bool, sent func()) (string, error) {
	s := w.servers[from.ID]
	if w.connect(ctx, s) != nil {
		return "", errors.New("unreachable")
	}
	sent()
	type answer struct {
		handle string
		err    error
	}
	answered := make(chan answer, 1)
	go func() {
		awaitEnd(s.pauses)
		s.mu.Lock()
		defer s.mu.Unlock()
		stop := s.stop[id]
		if stop == nil {
			answered <- answer{"", ErrNoRun}
			return
		}
		if final {
			stop()
		}
		answered <- answer{"h", nil}
	}()
	select {
	case a := <-answered:
		awaitEnd(w.gatewayPauses)
		return a.handle, a.err
	case <-ctx.Done():
		return "", ctx.Err()
	}
}

// drawSpans draws up to two spans within the time that a stream takes.
func drawSpans(rng *rand.Rand, share float64, longest time.Duration) (out []span) {
	for range 2 {
		if rng.Float64() >= share {
			continue
		}
		from := time.Now().Add(time.Duration(rng.Int64N(int64(2 * time.Second))))
		out = append(out, span{from, from.Add(time.Duration(rng.Int64N(int64(longest))))})
	}
	return out
}

// together returns the longest time for which two servers worked, apart from times at which one of them was paused
// or not reached by the gateway.
func (w *world) together() (longest time.Duration) {
	const step = 10 * time.Millisecond
	var all []*worldServer
	for _, s := range w.servers {
		all = append(all, s)
	}
	for i, a := range all {
		for _, b := range all[i+1:] {
			for _, x := range a.working {
				for _, y := range b.working {
					var n time.Duration
					for t := later(x.from, y.from); t.Before(x.to) && t.Before(y.to); t = t.Add(step) {
						if n += step; a.isIdleAt(t) || b.isIdleAt(t) {
							n = 0
						}
						longest = max(longest, n)
					}
				}
			}
		}
	}
	return longest
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// isIdleAt reports whether the server was paused or cut off.
func (s *worldServer) isIdleAt(t time.Time) bool {
	isNow := func(x span) bool { return x.contains(t) }
	return slices.ContainsFunc(s.cuts, isNow) || slices.ContainsFunc(s.pauses, isNow)
}

// playSchedule plays a stream beside drawn faults.
func playSchedule(t *testing.T, seed uint64) (together time.Duration, c *caller) {
	synctest.Test(t, func(t *testing.T) {
		rng := rand.New(rand.NewPCG(seed, 69))
		f := newFixture(t, Config{})
		w := &world{servers: make(map[string]*worldServer), gatewayPauses: drawSpans(rng, 0.3, 3*time.Second)}
		for _, id := range []string{"a", "b", "c"} {
			f.addServer(id, modelService)
			w.servers[id] = &worldServer{
				cuts: drawSpans(rng, 0.15, time.Second), pauses: drawSpans(rng, 0.3, 2*time.Second), slowness: 1 + 7*rng.IntN(4)/3,
				worksOn: rng.IntN(3) == 0, stop: make(map[string]context.CancelFunc),
			}
		}
		f.upstream.send, f.upstream.copyRun, f.upstream.stopRun = w.send, w.copyRun, w.stopRun
		path := "/plan/x"
		if rng.IntN(3) == 0 {
			path = "/check/x"
		}
		c = f.serve(request(path))
		time.Sleep(time.Minute)
		together = w.together()
	})
	return together, c
}

// Guards against a run that goes on at another server while its first one still works on it.
func TestRunIsAtOneServerAtATime(t *testing.T) {
	whole := 0
	for seed := range uint64(1000) {
		together, c := playSchedule(t, seed)
		require.LessOrEqual(t, together, maxTogether, fmt.Sprint("seed ", seed))
		if c.done {
			whole++
			require.Equal(t, events(1, worldEvents), c.body.String(), fmt.Sprint("seed ", seed))
		}
	}
	t.Log("whole streams:", whole)
}
