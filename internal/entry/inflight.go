package entry

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"kingcupplank.example/kingcup/failure"
	"kingcupplank.example/kingcup/internal/wait"
	"kingcupplank.example/kingcup/internal/wire"
	"kingcupplank.example/kingcup/placement"
	innerv1 "kingcupplank.example/kingcup/proto/kingcup/inner/v1"
	kingcupv1 "kingcupplank.example/kingcup/proto/kingcup/v1"
	"kingcupplank.example/kingcup/stream"
)

// attemptStride is the difference between the attempt numbers of an entry. An
// agent numbers its own attempts, after the loss of its engine, in between.
const attemptStride = 1 << 10

// callerStream sends a generation's events to the caller.
type callerStream interface {
	Context() context.Context
	Send(*kingcupv1.GenerateResponse) error
}

// inflight is one generation that this entry places and relays. It is not safe
// for concurrent use.
type inflight struct {
	e         *Entry
	req       *kingcupv1.GenerateRequest
	id        string
	attempt   uint32
	out       callerStream
	startTime time.Time
	// delivered buffers the tokens sent to the caller. After a failover they are
	// the prefix from which another backend server continues.
	delivered *stream.Buffer
	// server is the backend server that runs the generation.
	server string
	tried  []string
	// lostServers counts the backend servers that were lost during the
	// generation.
	lostServers int
	// mayHaveRun reports whether a backend server may have run the request.
	mayHaveRun bool
	// minRetryAfter is the shortest retry delay in the refusals so far.
	minRetryAfter time.Duration
	lastRefusal   *failure.Error
	lastTokenTime time.Time
	// lastReceived is when the last frame from the agent arrived.
	lastReceived time.Time
	response     kingcupv1.GenerateResponse
	tokensEvent  kingcupv1.GenerateResponse_Tokens
}

func (e *Entry) newInflight(req *kingcupv1.GenerateRequest, id string, out callerStream) *inflight {
	return &inflight{
		e: e, req: req, id: id, out: out, attempt: 1, startTime: time.Now(), lastReceived: time.Now(),
		delivered: stream.NewBuffer(e.cfg.MaxStreamBytes),
	}
}

// errStreamBroken reports that the connection to the agent failed in the middle
// of a stream.
var errStreamBroken = errors.New("stream to the agent broke")

// run places the generation and relays it to its end, with failover if agents
// are lost. Its error is the caller's final response.
func (f *inflight) run(ctx context.Context) error {
	st, err := f.place(ctx)
	return f.relayToEnd(ctx, st, err)
}

// relayToEnd relays st and the streams that replace it after failures. err is
// the error of opening st; if it is not nil, relayToEnd returns it.
func (f *inflight) relayToEnd(ctx context.Context, st *peerStream, err error) error {
	for err == nil {
		if err = f.relay(ctx, st); err == nil {
			return nil
		}
		st, err = f.recoverFrom(ctx, err)
	}
	return err
}

// recoverFrom returns a stream that continues the generation after err, or the
// error for the caller if the generation can't continue.
func (f *inflight) recoverFrom(ctx context.Context, err error) (*peerStream, error) {
	if ctx.Err() != nil {
		return nil, f.contextError(ctx)
	}
	if errors.Is(err, errStreamBroken) {
		if st, reattachErr := f.reattach(ctx); reattachErr == nil {
			return st, nil
		}
		return f.failOver(ctx, failure.Unknown(kingcupv1.Reason_REASON_BACKEND_LOST, time.Second, "backend server %s was lost", f.server))
	}
	fail := failure.FromError(err)
	switch {
	case fail.Outcome == kingcupv1.Outcome_OUTCOME_NOT_RUN && f.mayHaveRun && f.req.GetNonIdempotent():
		// Another entry may have placed the request elsewhere after this server's refusal.
		return nil, failure.Unknown(kingcupv1.Reason_REASON_IN_PROGRESS, time.Second, "%s", fail.Detail)
	case fail.Outcome == kingcupv1.Outcome_OUTCOME_NOT_RUN && f.delivered.NextIndex() == 0:
		f.recordRefusal(f.server, fail)
		// The request has waited for the maximum time in one agent's queue. It
		// is refused at once, because another queue could double the wait.
		if fail.Reason == kingcupv1.Reason_REASON_OVERLOADED {
			return nil, f.notPlacedError()
		}
		return f.place(ctx)
	case isServerLost(fail.Reason):
		return f.failOver(ctx, fail)
	}
	return nil, fail
}

// isServerLost reports whether the reason means that the generation no longer
// runs at its backend server.
func isServerLost(reason kingcupv1.Reason) bool {
	switch reason {
	case kingcupv1.Reason_REASON_ENGINE_LOST, kingcupv1.Reason_REASON_BACKEND_LOST, kingcupv1.Reason_REASON_UNKNOWN_GENERATION:
		return true
	}
	return false
}

// maxLostServers is the number of lost backend servers after which a generation
// is not continued. The generation itself may crash the servers, and every crash
// also loses the other requests of that server.
const maxLostServers = 3

// failOver continues the generation at another backend server, after the tokens
// that the caller already has. It returns cause if the generation must not be
// repeated.
func (f *inflight) failOver(ctx context.Context, cause *failure.Error) (*peerStream, error) {
	f.mayHaveRun = true
	f.lostServers++
	if f.lostServers == maxLostServers {
		return nil, failure.Unknown(kingcupv1.Reason_REASON_HARMFUL, 0, "%d backend servers were lost under it, the last: %s", f.lostServers, cause.Detail)
	}
	// The retry budget bounds retries, which add load. It doesn't apply to a
	// stream of which the caller already has a part. When a failure domain is
	// lost, all its streams fail over at once, and the budget would abort most
	// of them.
	if f.req.GetNonIdempotent() || f.delivered.NextIndex() == 0 && !f.e.retryAllowed(f.req.GetTeam()) {
		return nil, cause
	}
	f.tried = append(f.tried, f.server)
	f.attempt += attemptStride
	return f.place(ctx)
}

// place offers the generation to backend servers until one accepts it. It
// returns the accepting server's stream, or the error for the caller.
func (f *inflight) place(ctx context.Context) (*peerStream, error) {
	for range f.e.cfg.MaxServersPerRequest {
		server := f.pickServer()
		if server == "" {
			break
		}
		st, err := f.offer(ctx, server)
		if err == nil {
			return f.announce(server, st)
		}
		if ctx.Err() != nil {
			return nil, f.contextError(ctx)
		}
		fail := failure.FromError(err)
		f.recordRefusal(server, fail)
		if f.mayHaveRun && f.req.GetNonIdempotent() {
			return nil, fail
		}
	}
	return nil, f.notPlacedError()
}

// notPlacedError returns the error for a generation that no backend server
// accepted, with a retry delay. Its outcome is "not run" only if every server
// that was asked confirmed that.
func (f *inflight) notPlacedError() *failure.Error {
	reason, detail := kingcupv1.Reason_REASON_NO_BACKEND, "no backend server serves "+f.req.GetModel()
	retryAfter := max(f.minRetryAfter, shortRetryAfter)
	if f.lastRefusal != nil {
		reason, detail = f.lastRefusal.Reason, f.lastRefusal.Detail
	} else {
		retryAfter = time.Second
	}
	if f.mayHaveRun {
		return failure.Unknown(reason, retryAfter, "%s", detail)
	}
	return failure.NotRun(reason, retryAfter, "%s", detail)
}

// recordRefusal records that a backend server did not accept the generation.
func (f *inflight) recordRefusal(server string, fail *failure.Error) {
	f.tried = append(f.tried, server)
	f.lastRefusal = fail
	if fail.Outcome != kingcupv1.Outcome_OUTCOME_NOT_RUN {
		f.mayHaveRun = true
	}
	if f.minRetryAfter == 0 || fail.RetryAfter < f.minRetryAfter {
		f.minRetryAfter = fail.RetryAfter
	}
	f.attempt += attemptStride
}

// contextError returns the error for a caller whose context has ended.
func (f *inflight) contextError(ctx context.Context) *failure.Error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return failure.Unknown(kingcupv1.Reason_REASON_DEADLINE, 0, "deadline passed")
	}
	return failure.Unknown(kingcupv1.Reason_REASON_CANCELLED, 0, "caller is gone")
}

// pickServer returns the backend server for the next attempt, or "" if there is
// none besides those already tried.
func (f *inflight) pickServer() string {
	servers := f.e.placementServers()
	r := &placement.Request{
		Team: f.req.GetTeam(), Model: f.req.GetModel(), Adapter: f.req.GetAdapter(),
		FailureDomain: f.e.cfg.Identity.FailureDomain, Tried: f.tried,
	}
	i := f.e.policy.Pick(r, servers, f.e.cfg.Random())
	if i < 0 {
		return ""
	}
	return servers[i].Name
}

// peerStream is a stream to an agent or another entry, with the use of the
// session that carries it.
type peerStream struct {
	*wire.Stream
	releaseSession func()
	// stopCloseOnDone unregisters the function that runs when the caller's
	// context ends.
	stopCloseOnDone func() bool
}

func (s *peerStream) close() {
	s.stopCloseOnDone()
	s.Stream.Close()
	s.releaseSession()
}

// offer sends Start to an agent and waits until the agent accepts or refuses it.
func (f *inflight) offer(ctx context.Context, server string) (*peerStream, error) {
	start := &innerv1.Start{GenerationId: f.id, Attempt: f.attempt, Request: f.req}
	if f.delivered.NextIndex() > 0 {
		prefix, err := f.delivered.Prefix()
		if err != nil {
			return nil, failure.Unknown(kingcupv1.Reason_REASON_BACKEND_LOST, 0, "too long to be moved: %v", err)
		}
		start.Prefix = prefix
	}
	if deadline, ok := ctx.Deadline(); ok {
		start.DeadlineMs = uint64(max(1, time.Until(deadline).Milliseconds()))
	}
	st, wasSent, err := f.e.openStream(ctx, server, &innerv1.Open{Kind: &innerv1.Open_Start{Start: start}})
	if err != nil {
		return nil, noResponseError(wasSent, err)
	}
	reply := &innerv1.Reply{}
	st.SetReadDeadline(time.Now().Add(f.e.cfg.AcceptTimeout))
	if err := st.Recv(reply); err != nil {
		st.close()
		return nil, noResponseError(true, err)
	}
	st.SetReadDeadline(time.Time{})
	if fail := reply.GetFailure(); fail != nil {
		st.close()
		return nil, failure.FromProto(fail)
	}
	if reply.GetAccepted() == nil {
		st.close()
		return nil, failure.Unknown(kingcupv1.Reason_REASON_PROTOCOL, 0, "agent replied %T to a start", reply.GetKind())
	}
	f.withdrawOnDone(ctx, st)
	return st, nil
}

// withdrawOnDone removes the request from the agent's queue when its caller's
// context ends. A non-idempotent request stays queued: its key is claimed, so
// the caller could not send it again, but may come back for the answer.
func (f *inflight) withdrawOnDone(ctx context.Context, st *peerStream) {
	if f.req.GetNonIdempotent() || f.delivered.NextIndex() > 0 {
		return
	}
	st.stopCloseOnDone()
	st.stopCloseOnDone = context.AfterFunc(ctx, func() {
		st.Send(&innerv1.Control{Withdraw: true})
		st.Stream.Close()
	})
}

// noResponseError returns the error for a request to which an agent did not
// reply. A request may have run if any byte of it was written.
func noResponseError(wasSent bool, err error) *failure.Error {
	if !wasSent {
		return failure.NotRun(kingcupv1.Reason_REASON_BACKEND_LOST, shortRetryAfter, "%v", err)
	}
	return failure.Unknown(kingcupv1.Reason_REASON_BACKEND_LOST, time.Second, "%v", err)
}

// openStream opens a stream to the named agent or entry, over the link to it or,
// if it is not watched, over a new session. The boolean is false if certainly no
// byte of open was written.
func (e *Entry) openStream(ctx context.Context, name string, open *innerv1.Open) (*peerStream, bool, error) {
	sess, release, err := e.session(ctx, name)
	if err != nil {
		return nil, false, err
	}
	open.ConfigVersion = e.sync.Replica().Version()
	st, sent, err := sess.Open(open)
	if err != nil {
		release()
		return nil, sent, err
	}
	return &peerStream{Stream: st, releaseSession: release, stopCloseOnDone: st.CloseOnDone(ctx)}, true, nil
}

// session returns a session to the named process and a function that ends its
// use.
func (e *Entry) session(ctx context.Context, name string) (*wire.Session, func(), error) {
	if l := e.links.Get(name); l != nil {
		sess, release := l.Acquire()
		if sess == nil {
			return nil, nil, errors.Errorf("no session to %s", name)
		}
		l.RecordSent()
		return sess, release, nil
	}
	address, ok := e.addressOf(name)
	if !ok {
		return nil, nil, errors.Errorf("backend server %s is not in the list", name)
	}
	sess, err := e.links.Dial(ctx, address)
	if err != nil {
		return nil, nil, err
	}
	return sess, func() { sess.Close() }, nil
}

// announce sends the caller the Started event, which names the backend server
// that runs its generation.
func (f *inflight) announce(server string, st *peerStream) (*peerStream, error) {
	f.server = server
	started := &kingcupv1.Started{GenerationId: f.id, BackendServer: server, Entry: f.e.cfg.Identity.Name}
	err := f.out.Send(&kingcupv1.GenerateResponse{Event: &kingcupv1.GenerateResponse_Started{Started: started}})
	if err != nil {
		st.close()
		return nil, failure.Unknown(kingcupv1.Reason_REASON_CANCELLED, 0, "caller is gone")
	}
	return st, nil
}

const reattachInterval = 100 * time.Millisecond

// reattach reopens the generation's stream at its agent, whose link broke or
// whose process was replaced. The timeout counts from the last frame received
// from the agent, so that a stream that broke after a long stall fails over
// without a further wait.
func (f *inflight) reattach(ctx context.Context) (*peerStream, error) {
	deadline := f.lastReceived.Add(f.e.cfg.ReattachTimeout)
	for {
		st, _, err := f.e.openStream(ctx, f.server, f.attachRequest())
		if err == nil {
			return st, nil
		}
		if time.Now().After(deadline) || !wait.For(ctx, reattachInterval) {
			return nil, err
		}
	}
}

// attachRequest returns the frame that reattaches to the generation after the
// delivered tokens.
func (f *inflight) attachRequest() *innerv1.Open {
	attach := &innerv1.Attach{GenerationId: f.id, NextIndex: f.delivered.NextIndex(), Team: f.req.GetTeam()}
	return &innerv1.Open{Kind: &innerv1.Open_Attach{Attach: attach}}
}

// relay copies frames from the agent to the caller until the generation ends. It
// closes st. It returns errStreamBroken if the agent's stream fails.
func (f *inflight) relay(ctx context.Context, st *peerStream) error {
	defer st.close()
	reply := &innerv1.Reply{}
	for {
		if err := st.Recv(reply); err != nil {
			return errors.Wrap(errStreamBroken, err.Error())
		}
		f.lastReceived = time.Now()
		switch kind := reply.GetKind().(type) {
		case *innerv1.Reply_Tokens:
			if err := f.forward(kind.Tokens); err != nil {
				return err
			}
		case *innerv1.Reply_End:
			return f.finish(kind.End)
		case *innerv1.Reply_Failure:
			return failure.FromProto(kind.Failure)
		}
	}
}

// forward sends the caller those tokens of t that it does not have yet.
func (f *inflight) forward(t *kingcupv1.Tokens) error {
	nextIndex := f.delivered.NextIndex()
	if t.GetFirstIndex() > nextIndex {
		return errors.Wrapf(errStreamBroken, "token %d came, %d was due", t.GetFirstIndex(), nextIndex)
	}
	if t.GetFirstIndex()+uint64(len(t.GetTexts())) <= nextIndex {
		return nil
	}
	// After a reattach, tokens can arrive a second time. They are dropped here,
	// since all tokens for this caller pass through this function.
	t.Texts = t.Texts[nextIndex-t.GetFirstIndex():]
	t.FirstIndex = nextIndex
	for i, text := range t.GetTexts() {
		if err := f.delivered.Append(0, nextIndex+uint64(i), text); err != nil {
			return err
		}
	}
	f.recordTokens(len(t.GetTexts()))
	f.attempt = max(f.attempt, t.GetAttempt())
	f.tokensEvent.Tokens = t
	f.response.Event = &f.tokensEvent
	if err := f.out.Send(&f.response); err != nil {
		return failure.Unknown(kingcupv1.Reason_REASON_CANCELLED, 0, "caller is gone")
	}
	return nil
}

// recordTokens reports the delay of n new tokens to the observer.
func (f *inflight) recordTokens(n int) {
	now := time.Now()
	if f.e.observer != nil && f.lastTokenTime.IsZero() {
		f.e.observer.FirstToken(f.req.GetTeam(), now.Sub(f.startTime))
	}
	if f.e.observer != nil && !f.lastTokenTime.IsZero() {
		f.e.observer.BetweenTokens(f.req.GetTeam(), now.Sub(f.lastTokenTime)/time.Duration(n))
	}
	f.lastTokenTime = now
}

// finish checks the end of the generation against the delivered tokens and sends
// it to the caller.
func (f *inflight) finish(end *kingcupv1.End) error {
	err := f.delivered.Finish(0, stream.End{Tokens: end.GetTokens(), Digest: end.GetDigest(), FinishReason: end.GetFinishReason()})
	if err != nil {
		return failure.Unknown(kingcupv1.Reason_REASON_INTERNAL, 0, "%v", err)
	}
	f.response.Event = &kingcupv1.GenerateResponse_End{End: end}
	if err := f.out.Send(&f.response); err != nil {
		return failure.Unknown(kingcupv1.Reason_REASON_CANCELLED, 0, "caller is gone")
	}
	return nil
}
