package agent

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"kingcupplank.example/kingcup/engine"
	"kingcupplank.example/kingcup/failure"
	"kingcupplank.example/kingcup/internal/wait"
	kingcupv1 "kingcupplank.example/kingcup/proto/kingcup/v1"
	"kingcupplank.example/kingcup/sched"
	"kingcupplank.example/kingcup/stream"
)

// startJob begins or continues g at the engine; a.mu is held.
func (a *Agent) startJob(g *generation) {
	again := g.dispatched
	g.dispatched = true
	if again {
		g.buf.BeginAttempt(g.buf.Attempt() + 1)
		a.policy.Progress(g.job, int(g.buf.NextIndex()))
	}
	attempt := g.buf.Attempt()
	a.wg.Add(1)
	a.pool.Submit(func() {
		go func() {
			defer a.wg.Done()
			a.pump(g, attempt)
		}()
	})
}

// pauseJob takes g off the engine; a.mu is held. Its tokens stay in the buffer
// and a later Start continues from them.
func (a *Agent) pauseJob(g *generation) {
	attempt := g.buf.Attempt()
	if a.observer != nil {
		a.observer.Preempted(g.req.Team)
	}
	a.pool.Submit(func() { a.engine.Cancel(a.ctx, g.id, attempt) })
}

// pump moves one attempt's tokens from the engine to the buffer, and sees the
// generation through the loss of the engine.
func (a *Agent) pump(g *generation, attempt uint32) {
	if a.superseded(g, attempt) {
		return
	}
	// The engine's stream is released when its context ends, not at its last
	// token; without the cancel each finished generation would hold one.
	ctx, cancel := context.WithCancel(a.ctx)
	defer cancel()
	src, err := a.generate(ctx, g, attempt)
	// A cancel that came before the engine knew the stream has found nothing
	// there; without a second one the stream would run on with no reader.
	if a.superseded(g, attempt) {
		a.engine.Cancel(a.ctx, g.id, attempt)
		return
	}
	for losses := 0; ; {
		if err == nil {
			err = a.copyTokens(g, attempt, src)
		}
		if err == nil {
			a.leave(g, true)
			return
		}
		if a.superseded(g, attempt) || a.ctx.Err() != nil {
			return
		}
		if !errors.Is(err, engine.ErrLost) && !errors.Is(err, engine.ErrUnknownStream) {
			a.fail(g, err)
			return
		}
		losses++
		a.log.WithFields(g.fields()).WithError(err).WithField("losses", losses).Warn("engine lost")
		if losses == mostLosses {
			a.fail(g, errHarmful)
			return
		}
		attempt, src, err = a.recoverStream(ctx, g, attempt, err)
		if err != nil {
			a.fail(g, err)
			return
		}
	}
}

func (a *Agent) generate(ctx context.Context, g *generation, attempt uint32) (engine.Stream, error) {
	req := g.req
	req.Attempt = attempt
	if g.buf.NextIndex() > 0 {
		prefix, err := g.buf.Prefix()
		if err != nil {
			return nil, err
		}
		req.Prefix = prefix
	}
	return a.engine.Generate(ctx, req)
}

func (a *Agent) copyTokens(g *generation, attempt uint32, src engine.Stream) error {
	last := time.Time{}
	for {
		t, err := src.Recv()
		if err != nil {
			return err
		}
		if t.End {
			return g.buf.Finish(attempt, stream.End{Tokens: t.Index, Digest: t.Digest, FinishReason: t.FinishReason})
		}
		if err := g.buf.Append(attempt, t.Index, t.Text); err != nil {
			return err
		}
		last = a.observe(g, last)
		a.mu.Lock()
		a.policy.Progress(g.job, int(t.Index)+1)
		a.mu.Unlock()
	}
}

func (a *Agent) observe(g *generation, last time.Time) time.Time {
	now := time.Now()
	if a.observer != nil && !last.IsZero() {
		a.observer.Token(g.req.Team, now.Sub(last))
	}
	return now
}

// superseded reports whether another attempt or no attempt of g is to run.
func (a *Agent) superseded(g *generation, attempt uint32) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return g.left || !g.job.Running() || g.buf.Attempt() != attempt
}

// mostLosses is how often an engine may end under a generation. One that ends each engine
// that begins to run it would end them without limit, with the streams of others.
const mostLosses = 3

var errHarmful = errors.New("engines end under the generation")

const (
	firstBackoff = 50 * time.Millisecond
	maxBackoff   = time.Second
)

// recoverStream gets g's stream back after the engine was lost: the same
// attempt if the engine still holds it, a higher one from the tokens that
// arrived if the engine continues generations. It never starts over behind
// tokens that a caller may have: that would splice two generations.
func (a *Agent) recoverStream(ctx context.Context, g *generation, attempt uint32, cause error) (uint32, engine.Stream, error) {
	deadline := time.Now().Add(a.cfg.EngineGracePeriod)
	for backoff := firstBackoff; time.Now().Before(deadline); backoff = min(2*backoff, maxBackoff) {
		src, err := a.engine.Attach(ctx, g.id, g.buf.NextIndex())
		if err == nil {
			return attempt, src, nil
		}
		if errors.Is(err, engine.ErrUnknownStream) {
			return a.restart(ctx, g, attempt, cause)
		}
		if !wait.For(ctx, backoff) {
			break
		}
	}
	return attempt, nil, errors.Wrap(cause, "engine did not come back")
}

func (a *Agent) restart(ctx context.Context, g *generation, attempt uint32, cause error) (uint32, engine.Stream, error) {
	if g.once {
		return attempt, nil, errors.Wrap(cause, "request must not run twice")
	}
	if g.buf.NextIndex() > 0 && !a.resumes {
		return attempt, nil, errors.Wrap(cause, "engine does not resume from a prefix")
	}
	next := attempt + 1
	if err := g.buf.BeginAttempt(next); err != nil {
		return attempt, nil, err
	}
	src, err := a.generate(ctx, g, next)
	return next, src, err
}

// fail ends g with the caller's view of an engine's error.
func (a *Agent) fail(g *generation, err error) {
	g.buf.Fail(a.outcome(g, err))
	a.leave(g, false)
	a.log.WithFields(g.fields()).WithError(err).Warn("generation failed")
}

// outcome turns an engine's error. A rejection before any token is the one
// case in which the engine itself says that the request did not run.
func (a *Agent) outcome(g *generation, err error) *failure.Error {
	if errors.Is(err, engine.ErrRejected) && g.buf.NextIndex() == 0 {
		return failure.NotRun(kingcupv1.Reason_REASON_UNKNOWN_MODEL, 0, "%v", err)
	}
	if errors.Is(err, errHarmful) {
		return failure.Unknown(kingcupv1.Reason_REASON_HARMFUL, 0, "%v", err)
	}
	return failure.Unknown(kingcupv1.Reason_REASON_ENGINE_LOST, time.Second, "%v", err)
}

func (g *generation) fields() map[string]any {
	return map[string]any{"generation": g.id, "request": g.req.RequestID, "team": g.req.Team}
}

// adopt re-attaches to the streams that the engine runs from before this
// process began.
func (a *Agent) adopt(ctx context.Context) error {
	running, err := a.engine.List(ctx)
	if err != nil {
		return errors.Wrap(err, "engine list")
	}
	for _, r := range running {
		a.adoptOne(r)
	}
	return nil
}

func (a *Agent) adoptOne(r engine.RunningStream) {
	g := &generation{
		id: r.ID,
		req: engine.Request{
			ID: r.ID, Team: r.Team, RequestID: r.RequestID, Model: r.Model, MaxTokens: r.MaxTokens,
		},
		buf: stream.NewBuffer(a.cfg.BufferBytes),
		// Whether the request may be repeated died with the last process.
		once:       true,
		dispatched: true,
	}
	g.buf.BeginAttempt(r.Attempt)
	g.job = &sched.Job{
		ID: r.ID, Team: r.Team, Model: r.Model, Weight: 1,
		PromptTokens: int(r.PromptBytes)/a.cfg.BytesPerToken + 1, MaxTokens: int(r.MaxTokens), EmittedBefore: int(r.Emitted),
	}
	a.mu.Lock()
	a.enter(g)
	a.policy.Adopt(a.now(), g.job)
	a.mu.Unlock()
	a.log.WithFields(g.fields()).Info("re-attached after a restart")
	a.wg.Go(func() { a.pumpAdopted(g, r.Attempt) })
}

func (a *Agent) pumpAdopted(g *generation, attempt uint32) {
	ctx, cancel := context.WithCancel(a.ctx)
	defer cancel()
	src, err := a.engine.Attach(ctx, g.id, 0)
	if err == nil {
		err = a.copyTokens(g, attempt, src)
	}
	if err == nil {
		a.leave(g, true)
		return
	}
	if !a.superseded(g, attempt) && a.ctx.Err() == nil {
		a.fail(g, err)
	}
}
