package entry

import (
	"context"
	"time"

	"kingcupplank.example/kingcup/claim"
	"kingcupplank.example/kingcup/failure"
	"kingcupplank.example/kingcup/placement"
	innerv1 "kingcupplank.example/kingcup/proto/kingcup/inner/v1"
	kingcupv1 "kingcupplank.example/kingcup/proto/kingcup/v1"
)

// Call implements CallerService.
func (e *Entry) Call(ctx context.Context, req *kingcupv1.CallRequest) (*kingcupv1.CallResponse, error) {
	resp, err := e.call(ctx, req)
	e.recordOutcome(req.GetTeam(), err)
	if err != nil {
		return nil, e.logFailure(req.GetTeam(), req.GetRequestId(), err)
	}
	return resp, nil
}

func (e *Entry) call(ctx context.Context, req *kingcupv1.CallRequest) (*kingcupv1.CallResponse, error) {
	release, err := e.admit()
	if err != nil {
		return nil, err
	}
	defer release()
	if err := checkRequestID(req.GetRequestId(), req.GetNonIdempotent()); err != nil {
		return nil, err
	}
	if _, err := e.authorizeModel(req.GetTeam(), req.GetService(), kingcupv1.ModelKind_MODEL_KIND_SERVICE); err != nil {
		return nil, err
	}
	e.recordFirstTry(req.GetTeam())
	if req.GetNonIdempotent() {
		return e.callAtMostOnce(ctx, req)
	}
	return e.dispatch(ctx, req)
}

// callAtMostOnce claims the request's key and then dispatches the call. If the
// key was claimed before, it replies from the recorded claim instead.
func (e *Entry) callAtMostOnce(ctx context.Context, req *kingcupv1.CallRequest) (*kingcupv1.CallResponse, error) {
	acquired, existing, err := e.claimKey(ctx, req.GetTeam(), req.GetRequestId(), claim.Record{})
	if err != nil {
		return nil, err
	}
	if existing != nil {
		return replayCall(existing)
	}
	resp, err := e.dispatch(ctx, req)
	e.recordClaimOutcome(ctx, acquired, resp.GetBody(), err)
	return resp, err
}

// replayCall builds the response to a repeated call from the recorded outcome
// of its first run.
func replayCall(record *claim.Record) (*kingcupv1.CallResponse, error) {
	if record.State == claim.Done && !record.Partial {
		return &kingcupv1.CallResponse{Body: record.Answer, Replayed: true}, nil
	}
	if record.State == claim.Done {
		return nil, failure.Unknown(kingcupv1.Reason_REASON_IN_PROGRESS, 0, "request ran; its answer was too long to keep")
	}
	return nil, failure.Unknown(kingcupv1.Reason_REASON_IN_PROGRESS, time.Second, "request was dispatched before; its outcome is not known yet")
}

// dispatch sends a call to one agent after the other until one accepts it. If
// an agent may have run the call, only an idempotent call is sent to another
// agent, and only within the team's retry budget.
func (e *Entry) dispatch(ctx context.Context, req *kingcupv1.CallRequest) (*kingcupv1.CallResponse, error) {
	var tried []string
	var lastFailure *failure.Error
	mayHaveRun := false
	for range e.cfg.MaxServersPerRequest {
		server := e.pickServiceServer(req, tried)
		if server == "" {
			break
		}
		resp, err := e.sendCall(ctx, server, req)
		if err == nil {
			return resp, nil
		}
		lastFailure = failure.FromError(err)
		tried = append(tried, server)
		if lastFailure.Outcome == kingcupv1.Outcome_OUTCOME_NOT_RUN {
			continue
		}
		mayHaveRun = true
		if req.GetNonIdempotent() || ctx.Err() != nil || !e.retryAllowed(req.GetTeam()) {
			return nil, lastFailure
		}
	}
	if lastFailure == nil {
		return nil, failure.NotRun(kingcupv1.Reason_REASON_NO_BACKEND, time.Second, "no backend server serves %s", req.GetService())
	}
	if mayHaveRun {
		return nil, failure.Unknown(lastFailure.Reason, lastFailure.RetryAfter, "%s", lastFailure.Detail)
	}
	return nil, lastFailure
}

// pickServiceServer returns the backend server for the next attempt of a call,
// or "" if there is none besides those in tried.
func (e *Entry) pickServiceServer(req *kingcupv1.CallRequest, tried []string) string {
	servers := e.placementServers()
	i := e.policy.Pick(&placement.Request{
		Team: req.GetTeam(), Model: req.GetService(),
		FailureDomain: e.cfg.Identity.FailureDomain, Tried: tried,
	}, servers, e.cfg.Random())
	if i < 0 {
		return ""
	}
	return servers[i].Name
}

// defaultCallTimeout bounds every call to a plain service and every operator
// request to an agent. A caller's earlier deadline still applies.
const defaultCallTimeout = 30 * time.Second

// sendCall sends one call to an agent and returns the agent's reply.
func (e *Entry) sendCall(ctx context.Context, server string, req *kingcupv1.CallRequest) (*kingcupv1.CallResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, defaultCallTimeout)
	defer cancel()
	deadline, _ := ctx.Deadline()
	call := &innerv1.Call{Request: req, DeadlineMs: uint64(max(1, time.Until(deadline).Milliseconds()))}
	st, wasSent, err := e.openStream(ctx, server, &innerv1.Open{Kind: &innerv1.Open_Call{Call: call}})
	if err != nil {
		return nil, noResponseError(wasSent, err)
	}
	defer st.close()
	reply := &innerv1.Reply{}
	if err := st.Recv(reply); err != nil {
		return nil, noResponseError(true, err)
	}
	if fail := reply.GetFailure(); fail != nil {
		return nil, failure.FromProto(fail)
	}
	if reply.GetCall() == nil {
		return nil, failure.Unknown(kingcupv1.Reason_REASON_PROTOCOL, 0, "agent replied %T to a call", reply.GetKind())
	}
	return reply.GetCall(), nil
}
