package entry

import (
	"context"
	"time"

	"kingcupplank.example/kingcup/claim"
	"kingcupplank.example/kingcup/failure"
	innerv1 "kingcupplank.example/kingcup/proto/kingcup/inner/v1"
	kingcupv1 "kingcupplank.example/kingcup/proto/kingcup/v1"
)

type generateStream = kingcupv1.CallerService_GenerateServer

// Generate implements CallerService.
func (e *Entry) Generate(req *kingcupv1.GenerateRequest, out generateStream) error {
	err := e.generate(req, out)
	e.finished(req.GetTeam(), err)
	return e.answer(req.GetTeam(), req.GetRequestId(), err)
}

// answer logs a failed request and gives its error to gRPC.
func (e *Entry) answer(team, requestID string, err error) error {
	if err == nil {
		return nil
	}
	f := failure.FromError(err)
	e.log.WithField("team", team).WithField("request", requestID).WithField("reason", f.Reason.String()).Info(f.Detail)
	return f
}

func (e *Entry) generate(req *kingcupv1.GenerateRequest, out generateStream) error {
	end, err := e.begin()
	if err != nil {
		return err
	}
	defer end()
	if err := e.checkGenerate(req); err != nil {
		return err
	}
	e.firstTry(req.GetTeam())
	f := e.newInflight(req, newID(), out)
	if req.GetNonIdempotent() {
		return e.generateOnce(out.Context(), f)
	}
	return f.run(out.Context())
}

// generateOnce claims the request's key before it is dispatched.
func (e *Entry) generateOnce(ctx context.Context, f *inflight) error {
	held, existing, err := e.claim(ctx, f.req.GetTeam(), f.req.GetRequestId(), claim.Record{GenerationID: f.id})
	if err != nil {
		return err
	}
	if existing != nil {
		return e.replayStream(ctx, f, existing)
	}
	err = f.run(ctx)
	e.settle(ctx, held, nil, err)
	return err
}

// replayStream answers a repeated non-idempotent request with the stream of its
// first run, if an agent still holds it.
func (e *Entry) replayStream(ctx context.Context, f *inflight, rec *claim.Record) error {
	f.id = rec.GenerationID
	f.ran = true
	for _, s := range e.servers() {
		f.server = s.Name
		st, _, err := e.open(ctx, s.Name, f.attachment())
		if err != nil {
			continue
		}
		err = f.relay(ctx, st)
		if err == nil {
			return nil
		}
		if failure.FromError(err).Reason != kingcupv1.Reason_REASON_UNKNOWN_GENERATION {
			return err
		}
	}
	return failure.Unknown(kingcupv1.Reason_REASON_IN_PROGRESS, time.Second, "request was dispatched before and its stream was not found")
}

// claim takes the key of a non-idempotent request. With an error nothing was
// dispatched, so the request did not run.
func (e *Entry) claim(ctx context.Context, team, requestID string, rec claim.Record) (*claim.Claim, *claim.Record, error) {
	rec.Nonce = newID()
	held, existing, err := e.claims.Claim(ctx, claim.Key{Team: team, RequestID: requestID}, rec)
	if err != nil {
		return nil, nil, failure.NotRun(kingcupv1.Reason_REASON_STORE_UNAVAILABLE, storeRetry, "%v", err)
	}
	return held, existing, nil
}

const storeRetry = time.Second

// settle records how a claimed request ended. A key is given back only if the
// request certainly did not run.
func (e *Entry) settle(ctx context.Context, held *claim.Claim, answer []byte, err error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), settleTimeout)
	defer cancel()
	var failed error
	switch {
	case err == nil:
		failed = e.claims.Finish(ctx, held, answer)
	case failure.IsNotRun(err):
		failed = e.claims.Release(ctx, held)
	}
	if failed != nil {
		e.log.WithError(failed).WithField("request", held.Key.RequestID).Warn("outcome of a claimed request not recorded")
	}
}

const settleTimeout = 2 * time.Second

// Resume implements CallerService.
func (e *Entry) Resume(req *kingcupv1.ResumeRequest, out kingcupv1.CallerService_ResumeServer) error {
	err := e.resume(req, out)
	e.finished(req.GetRequest().GetTeam(), err)
	return e.answer(req.GetRequest().GetTeam(), req.GetRequest().GetRequestId(), err)
}

func (e *Entry) resume(req *kingcupv1.ResumeRequest, out sink) error {
	end, err := e.begin()
	if err != nil {
		// The generation runs on; only this entry can't serve it.
		f := failure.FromError(err)
		return failure.Unknown(f.Reason, f.RetryAfter, "%s", f.Detail)
	}
	defer end()
	if err := e.checkGenerate(req.GetRequest()); err != nil {
		return err
	}
	f := e.newInflight(req.GetRequest(), req.GetGenerationId(), out)
	f.ran = true
	f.attempt = max(1, req.GetAttempt())
	f.server = req.GetBackendServer()
	f.kept.Preload(req.GetDelivered())
	if uint64(len(req.GetDelivered())) != req.GetNextIndex() {
		return e.resumeHeld(out.Context(), f, req.GetNextIndex())
	}
	st, err := f.reattach(out.Context())
	if err != nil {
		st, err = f.next(out.Context(), errBroken)
	}
	return f.follow(out.Context(), st, err)
}

// resumeHeld continues a stream whose delivered tokens the caller did not send:
// the agent must still hold them, since the digest covers all.
func (e *Entry) resumeHeld(ctx context.Context, f *inflight, next uint64) error {
	f.out = &skipper{sink: f.out, next: next}
	st, err := f.reattach(ctx)
	if err != nil {
		return failure.Unknown(kingcupv1.Reason_REASON_BACKEND_LOST, time.Second, "%v; send the delivered tokens to continue elsewhere", err)
	}
	return f.follow(ctx, st, nil)
}

// skipper drops the tokens before next on the way to the caller.
type skipper struct {
	sink
	next uint64
}

// Send implements sink.
func (s *skipper) Send(m *kingcupv1.GenerateResponse) error {
	t := m.GetTokens()
	if t == nil || t.GetFirstIndex() >= s.next {
		return s.sink.Send(m)
	}
	have := s.next - t.GetFirstIndex()
	if have >= uint64(len(t.GetTexts())) {
		return nil
	}
	t.Texts = t.Texts[have:]
	t.FirstIndex = s.next
	return s.sink.Send(m)
}

// Cancel implements CallerService. The generation is looked for at every agent
// that is watched, since it may have been moved.
func (e *Entry) Cancel(ctx context.Context, req *kingcupv1.CancelRequest) (*kingcupv1.CancelResponse, error) {
	open := &innerv1.Open{Kind: &innerv1.Open_Cancel{Cancel: &innerv1.Cancel{GenerationId: req.GetGenerationId(), Team: req.GetTeam()}}}
	found := false
	for _, s := range e.servers() {
		st, _, err := e.open(ctx, s.Name, open)
		if err != nil {
			continue
		}
		reply := &innerv1.Reply{}
		st.SetReadDeadline(time.Now().Add(e.cfg.AcceptTimeout))
		if err := st.Recv(reply); err == nil && reply.GetDone().GetFound() {
			found = true
		}
		st.close()
	}
	return &kingcupv1.CancelResponse{Found: found}, nil
}
