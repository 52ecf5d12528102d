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
	e.recordOutcome(req.GetTeam(), err)
	return e.logFailure(req.GetTeam(), req.GetRequestId(), err)
}

// logFailure logs a failed request and returns its error as a *failure.Error,
// which gRPC turns into a status. It returns nil if err is nil.
func (e *Entry) logFailure(team, requestID string, err error) error {
	if err == nil {
		return nil
	}
	fail := failure.FromError(err)
	e.log.WithField("team", team).WithField("request", requestID).WithField("reason", fail.Reason.String()).Info(fail.Detail)
	return fail
}

func (e *Entry) generate(req *kingcupv1.GenerateRequest, out generateStream) error {
	release, err := e.admit()
	if err != nil {
		return err
	}
	defer release()
	if err := e.checkGenerate(req); err != nil {
		return err
	}
	e.recordFirstTry(req.GetTeam())
	f := e.newInflight(req, newID(), out)
	if req.GetNonIdempotent() {
		return e.generateAtMostOnce(out.Context(), f)
	}
	return f.run(out.Context())
}

// generateAtMostOnce claims the request's key before it dispatches the request.
// If the key was claimed before, it replays the stream of the first run.
func (e *Entry) generateAtMostOnce(ctx context.Context, f *inflight) error {
	acquired, existing, err := e.claimKey(ctx, f.req.GetTeam(), f.req.GetRequestId(), claim.Record{GenerationID: f.id})
	if err != nil {
		return err
	}
	if existing != nil {
		return e.replayStream(ctx, f, existing)
	}
	err = f.run(ctx)
	e.recordClaimOutcome(ctx, acquired, nil, err)
	return err
}

// replayStream responds to a repeated non-idempotent request with the stream of
// its first run, if an agent still stores that stream.
func (e *Entry) replayStream(ctx context.Context, f *inflight, record *claim.Record) error {
	f.id = record.GenerationID
	f.mayHaveRun = true
	for _, s := range e.placementServers() {
		f.server = s.Name
		st, _, err := e.openStream(ctx, s.Name, f.attachRequest())
		if err != nil {
			continue
		}
		err = f.relay(ctx, st)
		if err == nil {
			return nil
		}
		// A server that has not run the request may have handed it over to another one.
		if fail := failure.FromError(err); fail.Reason != kingcupv1.Reason_REASON_UNKNOWN_GENERATION && fail.Outcome != kingcupv1.Outcome_OUTCOME_NOT_RUN {
			return err
		}
	}
	return failure.Unknown(kingcupv1.Reason_REASON_IN_PROGRESS, time.Second, "request was dispatched before and its stream was not found")
}

// claimKey claims the key of a non-idempotent request. It returns the acquired
// claim, or the existing record if the key was claimed before. An error means
// that nothing was dispatched, so the request did not run.
func (e *Entry) claimKey(ctx context.Context, team, requestID string, record claim.Record) (*claim.Claim, *claim.Record, error) {
	record.Nonce = newID()
	acquired, existing, err := e.claims.Claim(ctx, claim.Key{Team: team, RequestID: requestID}, record)
	if err != nil {
		return nil, nil, failure.NotRun(kingcupv1.Reason_REASON_STORE_UNAVAILABLE, storeRetryAfter, "%v", err)
	}
	return acquired, existing, nil
}

// storeRetryAfter is the retry delay sent to callers while the store is
// unavailable.
const storeRetryAfter = time.Second

// recordClaimOutcome records the outcome of a claimed request. It releases the
// key only if the request certainly did not run.
func (e *Entry) recordClaimOutcome(ctx context.Context, acquired *claim.Claim, answer []byte, err error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), claimOutcomeTimeout)
	defer cancel()
	var storeErr error
	switch {
	case err == nil:
		storeErr = e.claims.Finish(ctx, acquired, answer)
	case failure.IsNotRun(err):
		storeErr = e.claims.Release(ctx, acquired)
	}
	if storeErr != nil {
		e.log.WithError(storeErr).WithField("request", acquired.Key.RequestID).Warn("failed to record the outcome of a claimed request")
	}
}

const claimOutcomeTimeout = 2 * time.Second

// Resume implements CallerService.
func (e *Entry) Resume(req *kingcupv1.ResumeRequest, out kingcupv1.CallerService_ResumeServer) error {
	err := e.resume(req, out)
	e.recordOutcome(req.GetRequest().GetTeam(), err)
	return e.logFailure(req.GetRequest().GetTeam(), req.GetRequest().GetRequestId(), err)
}

func (e *Entry) resume(req *kingcupv1.ResumeRequest, out callerStream) error {
	release, err := e.admit()
	if err != nil {
		// The generation continues at its agent; only this entry can't serve
		// it. The outcome is therefore unknown, not "not run".
		f := failure.FromError(err)
		return failure.Unknown(f.Reason, f.RetryAfter, "%s", f.Detail)
	}
	defer release()
	if err := e.checkGenerate(req.GetRequest()); err != nil {
		return err
	}
	f := e.newInflight(req.GetRequest(), req.GetGenerationId(), out)
	f.mayHaveRun = true
	f.attempt = max(1, req.GetAttempt())
	f.server = req.GetBackendServer()
	f.delivered.Preload(req.GetDelivered())
	if uint64(len(req.GetDelivered())) != req.GetNextIndex() {
		return e.resumeAtAgent(out.Context(), f, req.GetNextIndex())
	}
	st, err := f.reattach(out.Context())
	if err != nil {
		st, err = f.recoverFrom(out.Context(), errStreamBroken)
	}
	return f.relayToEnd(out.Context(), st, err)
}

// resumeAtAgent continues a stream whose delivered tokens the caller did not
// send. The agent must still store them, because the digest covers all tokens.
func (e *Entry) resumeAtAgent(ctx context.Context, f *inflight, nextIndex uint64) error {
	f.out = &tokenSkipper{callerStream: f.out, nextIndex: nextIndex}
	st, err := f.reattach(ctx)
	if err != nil {
		return failure.Unknown(kingcupv1.Reason_REASON_BACKEND_LOST, time.Second, "%v; send the delivered tokens to continue elsewhere", err)
	}
	return f.relayToEnd(ctx, st, nil)
}

// tokenSkipper drops the tokens before nextIndex from a caller's stream.
type tokenSkipper struct {
	callerStream
	nextIndex uint64
}

// Send implements callerStream.
func (s *tokenSkipper) Send(m *kingcupv1.GenerateResponse) error {
	t := m.GetTokens()
	if t == nil || t.GetFirstIndex() >= s.nextIndex {
		return s.callerStream.Send(m)
	}
	skipped := s.nextIndex - t.GetFirstIndex()
	if skipped >= uint64(len(t.GetTexts())) {
		return nil
	}
	t.Texts = t.Texts[skipped:]
	t.FirstIndex = s.nextIndex
	return s.callerStream.Send(m)
}

// Cancel implements CallerService. It asks every watched agent to cancel the
// generation, since the generation may have failed over to another server.
func (e *Entry) Cancel(ctx context.Context, req *kingcupv1.CancelRequest) (*kingcupv1.CancelResponse, error) {
	open := &innerv1.Open{Kind: &innerv1.Open_Cancel{Cancel: &innerv1.Cancel{GenerationId: req.GetGenerationId(), Team: req.GetTeam()}}}
	found := false
	for _, s := range e.placementServers() {
		st, _, err := e.openStream(ctx, s.Name, open)
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
