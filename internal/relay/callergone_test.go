package relay

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"kingcupplank.example/kingcup/backends"
)

const (
	// leaveSchedules is the number of random schedules.
	leaveSchedules = 1000
	// maxNoticeTime is the longest time until the end of a caller's connection ends the context of its request.
	maxNoticeTime = 400 * time.Millisecond
	// maxRunAfterLeaving is how long servers may work on a request whose caller has left.
	maxRunAfterLeaving = 500 * time.Millisecond
)

// leavingCaller is a request whose caller leaves, and what servers get of it.
type leavingCaller struct {
	*fixture
	rng     *rand.Rand
	leaveAt time.Time

	mu   sync.Mutex
	late int
	runs []*serverRun
}

// serverRun is a run at a server. It is over when its server has ended it or its context has ended.
type serverRun struct {
	ctx   context.Context
	ended chan struct{}
}

// send plays one attempt: the server rejects it, is down, hangs, breaks off or answers.
func (l *leavingCaller) send(ctx context.Context, a *Attempt) (*Response, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if time.Now().After(l.leaveAt) {
		l.late++
	}
	delay := time.Duration(l.rng.IntN(300)) * time.Millisecond
	switch l.rng.IntN(6) {
	case 0:
		return nil, &NotRunError{Reason: NotRunFull, Detail: "full"}
	case 1:
		return nil, &NotRunError{Reason: NotRunDown, Detail: "down"}
	case 2:
		return nil, fmt.Errorf("connection broke")
	}
	run := &serverRun{ctx, make(chan struct{})}
	l.runs = append(l.runs, run)
	body, count, breaks := newFakeBody(), l.rng.IntN(60), l.rng.IntN(2) == 0
	go func() {
		defer close(run.ended)
		time.Sleep(delay)
		writePaced(body, int(sequenceAfter(a.LastEventID).lastID)+1, count, 20*time.Millisecond)
		if breaks {
			body.breakOff()
			return
		}
		body.writer.Close()
	}()
	response := body.response()
	response.IsStream = a.Request.Generation != nil
	return response, nil
}

// play serves one request and returns how many attempts were sent after its caller had left, and how many runs went on
// for too long.
func (l *leavingCaller) play(t *testing.T) (late, running int) {
	paths := []string{"/plan/x", "/check/x", "/safe/x", "/once/x"}
	r := request(paths[l.rng.IntN(len(paths))])
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	l.leaveAt = time.Now().Add(time.Duration(l.rng.IntN(1500)) * time.Millisecond)
	r.CallerGone = func() bool { return !time.Now().Before(l.leaveAt) }
	time.AfterFunc(time.Until(l.leaveAt)+time.Duration(l.rng.Int64N(int64(maxNoticeTime))), cancel)
	served := make(chan struct{})
	go func() {
		l.relay.Serve(ctx, r, &caller{})
		close(served)
	}()
	time.Sleep(time.Until(l.leaveAt) + maxRunAfterLeaving)
	l.mu.Lock()
	for _, run := range l.runs {
		select {
		case <-run.ended:
		default:
			if run.ctx.Err() == nil {
				running++
			}
		}
	}
	late = l.late
	l.mu.Unlock()
	<-served
	return late, running
}

// Guards against requests that reach servers, or run there, after their callers have left while they waited, were
// repeated or were continued.
func TestNothingRunsForCallersThatHaveLeft(t *testing.T) {
	for seed := range uint64(leaveSchedules) {
		synctest.Test(t, func(t *testing.T) {
			f := newFixture(t, Config{RetryRatio: 0.2, RetryExtra: 100})
			for i := range 3 {
				f.addServer(fmt.Sprint("engine-", i), modelService)
				f.addServer(fmt.Sprint("desk-", i), deskService)
			}
			l := &leavingCaller{fixture: f, rng: rand.New(rand.NewPCG(seed, 0))}
			f.upstream.send = l.send
			f.upstream.copyRun = func(context.Context, backends.Server, string, string, bool) (string, error) { return "h", nil }
			late, running := l.play(t)
			require.Zero(t, late, "attempts after the caller had left, seed %d", seed)
			require.Zero(t, running, "runs that went on, seed %d", seed)
			time.Sleep(3 * time.Second)
		})
	}
}
