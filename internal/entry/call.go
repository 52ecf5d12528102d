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
	e.finished(req.GetTeam(), err)
	if err != nil {
		return nil, e.answer(req.GetTeam(), req.GetRequestId(), err)
	}
	return resp, nil
}

func (e *Entry) call(ctx context.Context, req *kingcupv1.CallRequest) (*kingcupv1.CallResponse, error) {
	end, err := e.begin()
	if err != nil {
		return nil, err
	}
	defer end()
	if err := checkID(req.GetRequestId(), req.GetNonIdempotent()); err != nil {
		return nil, err
	}
	if _, err := e.checkTeam(req.GetTeam(), req.GetService(), kingcupv1.ModelKind_MODEL_KIND_SERVICE); err != nil {
		return nil, err
	}
	e.firstTry(req.GetTeam())
	if req.GetNonIdempotent() {
		return e.callOnce(ctx, req)
	}
	return e.dispatch(ctx, req)
}

// callOnce runs a call under a claim of its key.
func (e *Entry) callOnce(ctx context.Context, req *kingcupv1.CallRequest) (*kingcupv1.CallResponse, error) {
	held, existing, err := e.claim(ctx, req.GetTeam(), req.GetRequestId(), claim.Record{})
	if err != nil {
		return nil, err
	}
	if existing != nil {
		return replayCall(existing)
	}
	resp, err := e.dispatch(ctx, req)
	e.settle(ctx, held, resp.GetBody(), err)
	return resp, err
}

// replayCall answers a repeated call with the recorded outcome of its first run.
func replayCall(rec *claim.Record) (*kingcupv1.CallResponse, error) {
	if rec.State == claim.Done && !rec.Partial {
		return &kingcupv1.CallResponse{Body: rec.Answer, Replayed: true}, nil
	}
	if rec.State == claim.Done {
		return nil, failure.Unknown(kingcupv1.Reason_REASON_IN_PROGRESS, 0, "request ran; its answer was too long to keep")
	}
	return nil, failure.Unknown(kingcupv1.Reason_REASON_IN_PROGRESS, time.Second, "request was dispatched before; its outcome is not known yet")
}

// dispatch sends a call to agents until one has not refused it. After a
// dispatch that may have run, only an idempotent call goes to a second agent.
func (e *Entry) dispatch(ctx context.Context, req *kingcupv1.CallRequest) (*kingcupv1.CallResponse, error) {
	var tried []string
	var last *failure.Error
	ran := false
	for range e.cfg.MaxServersPerRequest {
		server := e.pickService(req, tried)
		if server == "" {
			break
		}
		resp, err := e.send(ctx, server, req)
		if err == nil {
			return resp, nil
		}
		last = failure.FromError(err)
		tried = append(tried, server)
		if last.Outcome == kingcupv1.Outcome_OUTCOME_NOT_RUN {
			continue
		}
		ran = true
		if req.GetNonIdempotent() || ctx.Err() != nil || !e.retryAllowed(req.GetTeam()) {
			return nil, last
		}
	}
	if last == nil {
		return nil, failure.NotRun(kingcupv1.Reason_REASON_NO_BACKEND, time.Second, "no backend server serves %s", req.GetService())
	}
	if ran {
		return nil, failure.Unknown(last.Reason, last.RetryAfter, "%s", last.Detail)
	}
	return nil, last
}

func (e *Entry) pickService(req *kingcupv1.CallRequest, tried []string) string {
	servers := e.servers()
	i := e.place.Pick(&placement.Request{
		Team: req.GetTeam(), Model: req.GetService(),
		FailureDomain: e.cfg.Identity.FailureDomain, Tried: tried,
	}, servers, e.cfg.Random())
	if i < 0 {
		return ""
	}
	return servers[i].Name
}

// defaultCall bounds a call whose caller set no deadline.
const defaultCall = 30 * time.Second

func (e *Entry) send(ctx context.Context, server string, req *kingcupv1.CallRequest) (*kingcupv1.CallResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, defaultCall)
	defer cancel()
	deadline, _ := ctx.Deadline()
	call := &innerv1.Call{Request: req, DeadlineMs: uint64(max(1, time.Until(deadline).Milliseconds()))}
	st, sent, err := e.open(ctx, server, &innerv1.Open{Kind: &innerv1.Open_Call{Call: call}})
	if err != nil {
		return nil, unanswered(sent, err)
	}
	defer st.close()
	reply := &innerv1.Reply{}
	if err := st.Recv(reply); err != nil {
		return nil, unanswered(true, err)
	}
	if fail := reply.GetFailure(); fail != nil {
		return nil, failure.FromProto(fail)
	}
	return reply.GetCall(), nil
}
