package agent

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"kingcupplank.example/kingcup/engine"
	"kingcupplank.example/kingcup/failure"
	"kingcupplank.example/kingcup/internal/wire"
	innerv1 "kingcupplank.example/kingcup/proto/kingcup/inner/v1"
	kingcupv1 "kingcupplank.example/kingcup/proto/kingcup/v1"
	"kingcupplank.example/kingcup/stream"
)

func (a *Agent) handleStart(ctx context.Context, start *innerv1.Start, st *wire.Stream) {
	g, err := a.accept(start)
	if err != nil {
		st.SendFailure(err)
		return
	}
	accepted := &innerv1.Accepted{GenerationId: g.id, Attempt: g.buf.Attempt()}
	if err := st.Send(&innerv1.Reply{Kind: &innerv1.Reply_Accepted{Accepted: accepted}}); err != nil {
		return
	}
	if ms := start.GetDeadlineMs(); ms > 0 {
		expire := time.AfterFunc(time.Duration(ms)*time.Millisecond, func() {
			a.withdraw(g, kingcupv1.Reason_REASON_DEADLINE, "deadline passed in the queue")
		})
		defer expire.Stop()
	}
	a.relay(ctx, g, uint64(len(start.GetPrefix())), st)
}

func (a *Agent) handleAttach(ctx context.Context, attach *innerv1.Attach, st *wire.Stream) {
	g := a.find(attach.GetGenerationId(), attach.GetTeam())
	if g == nil {
		st.SendFailure(failure.Unknown(kingcupv1.Reason_REASON_UNKNOWN_GENERATION, 0, "no generation %s here", attach.GetGenerationId()))
		return
	}
	a.relay(ctx, g, attach.GetNextIndex(), st)
}

func (a *Agent) handleCancel(cancel *innerv1.Cancel, st *wire.Stream) {
	g := a.find(cancel.GetGenerationId(), cancel.GetTeam())
	if g != nil {
		a.cancelGeneration(g, kingcupv1.Reason_REASON_CANCELLED, "cancelled by the caller")
	}
	st.Send(&innerv1.Reply{Kind: &innerv1.Reply_Done{Done: &innerv1.Done{Found: g != nil}}})
}

// maxFrameTokens limits the tokens in one frame, so that a reader that catches up
// does not delay other streams by one large frame.
const maxFrameTokens = 256

// relay sends the tokens of g from index next on, then the end of the stream. It
// returns early when the peer disconnects.
func (a *Agent) relay(ctx context.Context, g *generation, next uint64, st *wire.Stream) {
	a.addOpenRelays(1)
	defer a.addOpenRelays(-1)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go a.handleControls(g, st, cancel)
	r := g.buf.NewReader(next)
	defer r.Close()
	a.sendTokens(ctx, g, r, st)
}

func (a *Agent) addOpenRelays(n int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.openRelays += n
}

func (a *Agent) sendTokens(ctx context.Context, g *generation, r *stream.Reader, st *wire.Stream) {
	var batch stream.Batch
	tokens := &kingcupv1.Tokens{}
	kind := &innerv1.Reply_Tokens{Tokens: tokens}
	reply := &innerv1.Reply{Kind: kind}
	for {
		end, err := r.Read(ctx, &batch, maxFrameTokens)
		if err != nil {
			st.SendFailure(readFailure(err))
			break
		}
		if end != nil {
			st.Send(&innerv1.Reply{Kind: &innerv1.Reply_End{End: endProto(end)}})
			break
		}
		tokens.FirstIndex, tokens.Attempt, tokens.Texts = batch.FirstIndex, batch.Attempt, batch.Texts
		if err := st.Send(reply); err != nil {
			return
		}
	}
	if ctx.Err() == nil {
		a.markDelivered(g)
	}
}

func (a *Agent) markDelivered(g *generation) {
	a.mu.Lock()
	defer a.mu.Unlock()
	g.delivered = true
}

func endProto(end *stream.End) *kingcupv1.End {
	return &kingcupv1.End{Tokens: end.Tokens, Digest: end.Digest, FinishReason: end.FinishReason}
}

// readFailure converts an error of a buffer's reader to the failure that the
// caller receives.
func readFailure(err error) error {
	switch {
	case errors.Is(err, stream.ErrTrimmed):
		return failure.Unknown(kingcupv1.Reason_REASON_SLOW_READER, 0, "reader fell behind the buffer")
	case errors.Is(err, stream.ErrBeyondEnd):
		return failure.Unknown(kingcupv1.Reason_REASON_INVALID, 0, "index is beyond the stream")
	}
	return err
}

// handleControls executes the control messages that the entry sends on the
// stream of g, and cancels the relay when the entry disconnects.
func (a *Agent) handleControls(g *generation, st *wire.Stream, cancelRelay context.CancelFunc) {
	defer cancelRelay()
	for {
		c := &innerv1.Control{}
		if err := st.Recv(c); err != nil {
			return
		}
		if c.GetCancel() {
			a.cancelGeneration(g, kingcupv1.Reason_REASON_CANCELLED, "cancelled by the caller")
		}
		if c.GetWithdraw() {
			a.withdraw(g, kingcupv1.Reason_REASON_DEADLINE, "withdrawn before its start")
		}
	}
}

func (a *Agent) handleCall(ctx context.Context, call *innerv1.Call, st *wire.Stream) {
	body, err := a.callService(ctx, call)
	if err != nil {
		st.SendFailure(err)
		return
	}
	st.Send(&innerv1.Reply{Kind: &innerv1.Reply_Call{Call: &kingcupv1.CallResponse{Body: body}}})
}

func (a *Agent) callService(ctx context.Context, call *innerv1.Call) ([]byte, error) {
	// activeCalls is incremented before leaving is read, so that a drain that
	// begins in between waits for this call.
	a.activeCalls.Add(1)
	defer a.activeCalls.Add(-1)
	if a.leaving.Load() {
		return nil, failure.NotRun(kingcupv1.Reason_REASON_LEAVING, shortRetryAfter, "backend server is leaving")
	}
	if a.service == nil {
		return nil, failure.NotRun(kingcupv1.Reason_REASON_UNKNOWN_MODEL, 0, "no plain service here")
	}
	if ms := call.GetDeadlineMs(); ms > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(ms)*time.Millisecond)
		defer cancel()
	}
	r := call.GetRequest()
	body, err := a.service.Call(ctx, r.GetTeam(), r.GetRequestId(), r.GetBody())
	if errors.Is(err, engine.ErrRejected) {
		return nil, failure.NotRun(kingcupv1.Reason_REASON_BACKEND_LOST, time.Second, "%v", err)
	}
	if err != nil {
		return nil, failure.Unknown(kingcupv1.Reason_REASON_BACKEND_LOST, time.Second, "%v", err)
	}
	return body, nil
}
