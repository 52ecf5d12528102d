package agent

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"kingcupplank.example/kingcup/dispatch"
	"kingcupplank.example/kingcup/engine"
	"kingcupplank.example/kingcup/failure"
	"kingcupplank.example/kingcup/internal/wait"
	kingcupv1 "kingcupplank.example/kingcup/proto/kingcup/v1"
	"kingcupplank.example/kingcup/sched"
	"kingcupplank.example/kingcup/stream"
)

// startJob starts g at the engine, or resumes it under a new attempt if it was
// paused. The caller holds a.mu.
func (a *Agent) startJob(g *generation) {
	resumed := g.dispatched
	g.dispatched = true
	if resumed {
		g.buf.BeginAttempt(g.buf.Attempt() + 1)
		a.policy.Progress(g.job, int(g.buf.NextIndex()))
	}
	attempt := g.buf.Attempt()
	a.wg.Add(1)
	a.pool.Submit(func() {
		go func() {
			defer a.wg.Done()
			a.runAttempt(g, attempt)
		}()
	})
}

// pauseJob cancels g at the engine. Its tokens stay in the buffer, and a later
// Start continues after them. The caller holds a.mu.
func (a *Agent) pauseJob(g *generation) {
	attempt := g.buf.Attempt()
	if a.observer != nil {
		a.observer.Preempted(g.req.Team)
	}
	a.pool.Submit(func() { a.engine.Cancel(a.ctx, g.id, attempt) })
}

// runAttempt copies the tokens of an attempt from the engine to the buffer until
// the stream ends or the attempt is superseded. If the engine is lost, it
// recovers the stream.
func (a *Agent) runAttempt(g *generation, attempt uint32) {
	if a.isSuperseded(g, attempt) {
		return
	}
	// The engine's stream is released when its context ends, not after its last
	// token. Without the cancel, each finished generation would leak a stream.
	ctx, cancel := context.WithCancel(a.ctx)
	defer cancel()
	src, err := a.generate(ctx, g, attempt)
	// If the attempt was canceled before the engine knew the stream, that
	// cancel had no effect. Without a second one the stream would continue
	// without a reader.
	if a.isSuperseded(g, attempt) {
		a.engine.Cancel(a.ctx, g.id, attempt)
		return
	}
	for losses := 0; ; {
		if err == nil {
			err = a.copyTokens(g, attempt, src)
		}
		if err == nil {
			a.finish(g, true)
			return
		}
		if a.isSuperseded(g, attempt) || a.ctx.Err() != nil {
			return
		}
		if !errors.Is(err, engine.ErrLost) && !errors.Is(err, engine.ErrUnknownStream) {
			a.fail(g, err)
			return
		}
		losses++
		a.log.WithFields(g.logFields()).WithError(err).WithField("losses", losses).Warn("engine lost during a generation")
		if losses == maxEngineLosses {
			a.fail(g, errCrashesEngine)
			return
		}
		attempt, src, err = a.recoverStream(ctx, g, attempt, err)
		if err != nil {
			a.fail(g, err)
			return
		}
	}
}

// generate starts an attempt at the engine, after the tokens in the buffer.
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
	ticket, ok := g.sends.Begin("engine", false)
	if !ok {
		return nil, errPromised
	}
	src, err := a.engine.Generate(ctx, req)
	switch {
	case err == nil:
		ticket.Settle(dispatch.Begun, "")
	case errors.Is(err, engine.ErrRejected):
		ticket.Settle(dispatch.Rejected, err.Error())
	}
	return src, err
}

// errPromised means that the caller has been told that the request has not run.
var errPromised = errors.New("request was promised not to run")

// copyTokens copies tokens from src to the buffer. It returns nil when the
// stream is complete.
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
		last = a.observeToken(g, last)
		a.mu.Lock()
		a.policy.Progress(g.job, int(t.Index)+1)
		a.mu.Unlock()
	}
}

// observeToken records the time since the last token, unless last is zero, and
// returns the current time.
func (a *Agent) observeToken(g *generation, last time.Time) time.Time {
	now := time.Now()
	if a.observer != nil && !last.IsZero() {
		a.observer.Token(g.req.Team, now.Sub(last))
	}
	return now
}

// isSuperseded reports whether attempt must not run any more, because g has a
// higher attempt, is paused or has ended.
func (a *Agent) isSuperseded(g *generation, attempt uint32) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return g.unscheduled || !g.job.Running() || g.buf.Attempt() != attempt
}

// maxEngineLosses is how often the engine may be lost during a generation before
// the generation fails. Without a limit, a request that crashes each engine that
// runs it would interrupt the streams of others again and again.
const maxEngineLosses = 3

var errCrashesEngine = errors.New("engines end under the generation")

const (
	initialBackoff = 50 * time.Millisecond
	maxBackoff     = time.Second
)

// recoverStream gets the stream of g back after the engine was lost. It attaches
// to the same attempt if the engine still has it. Otherwise it starts a higher
// attempt after the received tokens, if the engine can resume from a prefix. It
// never starts from the first token when the caller may already have tokens:
// that would splice two generations.
func (a *Agent) recoverStream(ctx context.Context, g *generation, attempt uint32, cause error) (uint32, engine.Stream, error) {
	deadline := time.Now().Add(a.cfg.EngineGracePeriod)
	for backoff := initialBackoff; time.Now().Before(deadline); backoff = min(2*backoff, maxBackoff) {
		src, err := a.engine.Attach(ctx, g.id, g.buf.NextIndex())
		if err == nil {
			return attempt, src, nil
		}
		if errors.Is(err, engine.ErrUnknownStream) {
			return a.startNextAttempt(ctx, g, attempt, cause)
		}
		if !wait.For(ctx, backoff) {
			break
		}
	}
	return attempt, nil, errors.Wrap(cause, "engine did not come back")
}

// startNextAttempt starts the attempt after the given one. It fails with cause if
// the request must not run twice or its tokens can't be resumed.
func (a *Agent) startNextAttempt(ctx context.Context, g *generation, attempt uint32, cause error) (uint32, engine.Stream, error) {
	if g.nonIdempotent {
		return attempt, nil, errors.Wrap(cause, "request must not run twice")
	}
	if g.buf.NextIndex() > 0 && !a.engineResumes {
		return attempt, nil, errors.Wrap(cause, "engine does not resume from a prefix")
	}
	next := attempt + 1
	if err := g.buf.BeginAttempt(next); err != nil {
		return attempt, nil, err
	}
	src, err := a.generate(ctx, g, next)
	return next, src, err
}

// fail ends g with the failure that its caller receives for err.
func (a *Agent) fail(g *generation, err error) {
	g.buf.Fail(a.engineFailure(g, err))
	a.finish(g, false)
	a.log.WithFields(g.logFields()).WithError(err).Warn("generation failed")
}

// engineFailure converts an error of the engine. Only rejections of all attempts
// before the first token prove that the request did not run.
func (a *Agent) engineFailure(g *generation, err error) *failure.Error {
	if errors.Is(err, engine.ErrRejected) && g.buf.NextIndex() == 0 && g.sends.Promise() {
		return failure.NotRun(kingcupv1.Reason_REASON_UNKNOWN_MODEL, 0, "%v", err)
	}
	if errors.Is(err, errCrashesEngine) {
		return failure.Unknown(kingcupv1.Reason_REASON_HARMFUL, 0, "%v", err)
	}
	return failure.Unknown(kingcupv1.Reason_REASON_ENGINE_LOST, time.Second, "%v", err)
}

func (g *generation) logFields() map[string]any {
	return map[string]any{"generation": g.id, "request": g.req.RequestID, "team": g.req.Team}
}

// adoptRunning attaches to the streams that the engine has been running since
// before this process started.
func (a *Agent) adoptRunning(ctx context.Context) error {
	running, err := a.engine.List(ctx)
	if err != nil {
		return errors.Wrap(err, "list running streams of the engine")
	}
	for _, r := range running {
		a.adopt(r)
	}
	return nil
}

func (a *Agent) adopt(r engine.RunningStream) {
	g := &generation{
		id: r.ID,
		req: engine.Request{
			ID: r.ID, Team: r.Team, RequestID: r.RequestID, Model: r.Model, MaxTokens: r.MaxTokens,
		},
		buf: stream.NewBuffer(a.cfg.BufferBytes),
		// Only the previous process knew whether the request may be repeated.
		nonIdempotent: true,
		dispatched:    true,
	}
	g.sends.Begin("engine", false)
	g.buf.BeginAttempt(r.Attempt)
	g.job = &sched.Job{
		ID: r.ID, Team: r.Team, Model: r.Model, Weight: 1,
		PromptTokens: int(r.PromptBytes)/a.cfg.BytesPerToken + 1, MaxTokens: int(r.MaxTokens), EmittedBefore: int(r.Emitted),
	}
	a.mu.Lock()
	a.register(g)
	a.policy.Adopt(a.now(), g.job)
	a.mu.Unlock()
	a.log.WithFields(g.logFields()).Info("attached to a generation that the engine was already running")
	a.wg.Go(func() { a.runAdopted(g, r.Attempt) })
}

// runAdopted copies the tokens of an adopted generation from its first token. It
// does not recover the stream if the engine is lost.
func (a *Agent) runAdopted(g *generation, attempt uint32) {
	ctx, cancel := context.WithCancel(a.ctx)
	defer cancel()
	src, err := a.engine.Attach(ctx, g.id, 0)
	if err == nil {
		err = a.copyTokens(g, attempt, src)
	}
	if err == nil {
		a.finish(g, true)
		return
	}
	if !a.isSuperseded(g, attempt) && a.ctx.Err() == nil {
		a.fail(g, err)
	}
}
