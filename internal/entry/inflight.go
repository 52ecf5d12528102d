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

// attemptStride separates the attempts of an entry, so that an agent's own
// attempts after the loss of its engine fall in between.
const attemptStride = 1 << 10

// sink takes a stream towards the caller.
type sink interface {
	Context() context.Context
	Send(*kingcupv1.GenerateResponse) error
}

// inflight is one generation on its way through this entry. It is for one
// goroutine.
type inflight struct {
	e       *Entry
	req     *kingcupv1.GenerateRequest
	id      string
	attempt uint32
	out     sink
	began   time.Time
	// kept holds the tokens sent to the caller, with which the generation can
	// be moved to another backend server.
	kept *stream.Buffer
	// server is the backend server that has the generation.
	server string
	tried  []string
	// lost counts the backend servers that the generation was moved off.
	lost int
	// ran is set once a backend server may have run the request.
	ran bool
	// retryAfter is the earliest that a refusing server gave.
	retryAfter time.Duration
	refusal    *failure.Error
	lastToken  time.Time
	// heard is when the agent last sent something.
	heard  time.Time
	msg    kingcupv1.GenerateResponse
	tokens kingcupv1.GenerateResponse_Tokens
}

func (e *Entry) newInflight(req *kingcupv1.GenerateRequest, id string, out sink) *inflight {
	return &inflight{
		e: e, req: req, id: id, out: out, attempt: 1, began: time.Now(), heard: time.Now(),
		kept: stream.NewBuffer(e.cfg.MaxStreamBytes),
	}
}

// errBroken says that the way to the agent failed in mid-stream.
var errBroken = errors.New("stream to the agent broke")

// run places the generation and relays it to its end, through the loss of
// agents. Its error is the caller's final answer.
func (f *inflight) run(ctx context.Context) error {
	st, err := f.start(ctx)
	return f.follow(ctx, st, err)
}

// follow relays st, and the streams that go on after it, to the end.
func (f *inflight) follow(ctx context.Context, st *agentStream, err error) error {
	for err == nil {
		if err = f.relay(ctx, st); err == nil {
			return nil
		}
		st, err = f.next(ctx, err)
	}
	return err
}

// next finds the stream that goes on after err, or the final answer.
func (f *inflight) next(ctx context.Context, err error) (*agentStream, error) {
	if ctx.Err() != nil {
		return nil, f.ended(ctx)
	}
	if errors.Is(err, errBroken) {
		if st, again := f.reattach(ctx); again == nil {
			return st, nil
		}
		return f.move(ctx, failure.Unknown(kingcupv1.Reason_REASON_BACKEND_LOST, time.Second, "backend server %s was lost", f.server))
	}
	fail := failure.FromError(err)
	switch {
	case fail.Outcome == kingcupv1.Outcome_OUTCOME_NOT_RUN && f.kept.NextIndex() == 0:
		f.refused(f.server, fail)
		// A request that has waited its longest in one queue is answered at
		// once; another queue would keep its caller for as long again.
		if fail.Reason == kingcupv1.Reason_REASON_OVERLOADED {
			return nil, f.unplaced()
		}
		return f.start(ctx)
	case lost(fail.Reason):
		return f.move(ctx, fail)
	}
	return nil, fail
}

func lost(r kingcupv1.Reason) bool {
	switch r {
	case kingcupv1.Reason_REASON_ENGINE_LOST, kingcupv1.Reason_REASON_BACKEND_LOST, kingcupv1.Reason_REASON_UNKNOWN_GENERATION:
		return true
	}
	return false
}

// mostLost is how many backend servers may be lost under a generation: it may be what ends
// them, and what runs beside it is lost with each.
const mostLost = 3

// move continues a generation at another backend server, after the tokens that
// the caller has. cause is the answer if that can't be.
func (f *inflight) move(ctx context.Context, cause *failure.Error) (*agentStream, error) {
	f.ran = true
	f.lost++
	if f.lost == mostLost {
		return nil, failure.Unknown(kingcupv1.Reason_REASON_HARMFUL, 0, "%d backend servers were lost under it, the last: %s", f.lost, cause.Detail)
	}
	// The budget bounds repeats that add load. A stream that its caller has a
	// part of is work in progress: when a failure domain goes, all its streams
	// move at once, and a budget would cut most of them off.
	if f.req.GetNonIdempotent() || f.kept.NextIndex() == 0 && !f.e.retryAllowed(f.req.GetTeam()) {
		return nil, cause
	}
	f.tried = append(f.tried, f.server)
	f.attempt += attemptStride
	return f.start(ctx)
}

// start offers the generation to backend servers until one accepts it.
func (f *inflight) start(ctx context.Context) (*agentStream, error) {
	for range f.e.cfg.MaxServersPerRequest {
		server := f.pick()
		if server == "" {
			break
		}
		st, err := f.offer(ctx, server)
		if err == nil {
			return f.announced(server, st)
		}
		if ctx.Err() != nil {
			return nil, f.ended(ctx)
		}
		fail := failure.FromError(err)
		f.refused(server, fail)
		if f.ran && f.req.GetNonIdempotent() {
			return nil, fail
		}
	}
	return nil, f.unplaced()
}

// unplaced is the answer when no backend server took the generation. It is at
// once, with when to come back. "Not run" is only said if every server that was
// asked confirmed it.
func (f *inflight) unplaced() *failure.Error {
	reason, detail := kingcupv1.Reason_REASON_NO_BACKEND, "no backend server serves "+f.req.GetModel()
	after := max(f.retryAfter, retrySoon)
	if f.refusal != nil {
		reason, detail = f.refusal.Reason, f.refusal.Detail
	} else {
		after = time.Second
	}
	if f.ran {
		return failure.Unknown(reason, after, "%s", detail)
	}
	return failure.NotRun(reason, after, "%s", detail)
}

func (f *inflight) refused(server string, fail *failure.Error) {
	f.tried = append(f.tried, server)
	f.refusal = fail
	if fail.Outcome != kingcupv1.Outcome_OUTCOME_NOT_RUN {
		f.ran = true
	}
	if f.retryAfter == 0 || fail.RetryAfter < f.retryAfter {
		f.retryAfter = fail.RetryAfter
	}
	f.attempt += attemptStride
}

// ended is the answer to a caller whose context is over.
func (f *inflight) ended(ctx context.Context) *failure.Error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return failure.Unknown(kingcupv1.Reason_REASON_DEADLINE, 0, "deadline passed")
	}
	return failure.Unknown(kingcupv1.Reason_REASON_CANCELLED, 0, "caller is gone")
}

func (f *inflight) pick() string {
	servers := f.e.servers()
	r := &placement.Request{
		Team: f.req.GetTeam(), Model: f.req.GetModel(), Adapter: f.req.GetAdapter(),
		FailureDomain: f.e.cfg.Identity.FailureDomain, Tried: f.tried,
	}
	i := f.e.place.Pick(r, servers, f.e.cfg.Random())
	if i < 0 {
		return ""
	}
	return servers[i].Name
}

// agentStream is a generation's stream from its agent.
type agentStream struct {
	*wire.Stream
	release func()
	unhook  func() bool
}

func (s *agentStream) close() {
	s.unhook()
	s.Stream.Close()
	s.release()
}

// offer sends Start to an agent and waits until it is accepted or refused.
func (f *inflight) offer(ctx context.Context, server string) (*agentStream, error) {
	start := &innerv1.Start{GenerationId: f.id, Attempt: f.attempt, Request: f.req}
	if f.kept.NextIndex() > 0 {
		prefix, err := f.kept.Prefix()
		if err != nil {
			return nil, failure.Unknown(kingcupv1.Reason_REASON_BACKEND_LOST, 0, "too long to be moved: %v", err)
		}
		start.Prefix = prefix
	}
	if deadline, ok := ctx.Deadline(); ok {
		start.DeadlineMs = uint64(max(1, time.Until(deadline).Milliseconds()))
	}
	st, sent, err := f.e.open(ctx, server, &innerv1.Open{Kind: &innerv1.Open_Start{Start: start}})
	if err != nil {
		return nil, unanswered(sent, err)
	}
	reply := &innerv1.Reply{}
	st.SetReadDeadline(time.Now().Add(f.e.cfg.AcceptTimeout))
	if err := st.Recv(reply); err != nil {
		st.close()
		return nil, unanswered(true, err)
	}
	st.SetReadDeadline(time.Time{})
	if fail := reply.GetFailure(); fail != nil {
		st.close()
		return nil, failure.FromProto(fail)
	}
	f.withdrawOnDone(ctx, st)
	return st, nil
}

// withdrawOnDone takes the request out of the agent's queue when its caller is
// gone. A non-idempotent one stays: its caller may come back for the answer, and
// could never ask again once its key is claimed.
func (f *inflight) withdrawOnDone(ctx context.Context, st *agentStream) {
	if f.req.GetNonIdempotent() || f.kept.NextIndex() > 0 {
		return
	}
	st.unhook()
	st.unhook = context.AfterFunc(ctx, func() {
		st.Send(&innerv1.Control{Withdraw: true})
		st.Stream.Close()
	})
}

// unanswered is the error of a request to an agent that has no answer. A request
// of which any byte was written may have run, whatever the entry would like to
// believe.
func unanswered(sent bool, err error) *failure.Error {
	if !sent {
		return failure.NotRun(kingcupv1.Reason_REASON_BACKEND_LOST, retrySoon, "%v", err)
	}
	return failure.Unknown(kingcupv1.Reason_REASON_BACKEND_LOST, time.Second, "%v", err)
}

// open begins a stream to an agent, over its link or a session of its own.
func (e *Entry) open(ctx context.Context, server string, open *innerv1.Open) (*agentStream, bool, error) {
	sess, release, err := e.session(ctx, server)
	if err != nil {
		return nil, false, err
	}
	open.ConfigVersion = e.sync.Replica().Version()
	st, sent, err := sess.Open(open)
	if err != nil {
		release()
		return nil, sent, err
	}
	return &agentStream{Stream: st, release: release, unhook: st.CloseOnDone(ctx)}, true, nil
}

func (e *Entry) session(ctx context.Context, server string) (*wire.Session, func(), error) {
	if l := e.links.Get(server); l != nil {
		sess, release := l.Acquire()
		if sess == nil {
			return nil, nil, errors.Errorf("no session to %s", server)
		}
		l.RecordSent()
		return sess, release, nil
	}
	address, ok := e.address(server)
	if !ok {
		return nil, nil, errors.Errorf("backend server %s is not in the list", server)
	}
	sess, err := e.links.Dial(ctx, address)
	if err != nil {
		return nil, nil, err
	}
	return sess, func() { sess.Close() }, nil
}

// announced tells the caller where its generation runs.
func (f *inflight) announced(server string, st *agentStream) (*agentStream, error) {
	f.server = server
	started := &kingcupv1.Started{GenerationId: f.id, BackendServer: server, Entry: f.e.cfg.Identity.Name}
	err := f.out.Send(&kingcupv1.GenerateResponse{Event: &kingcupv1.GenerateResponse_Started{Started: started}})
	if err != nil {
		st.close()
		return nil, failure.Unknown(kingcupv1.Reason_REASON_CANCELLED, 0, "caller is gone")
	}
	return st, nil
}

const reattachEvery = 100 * time.Millisecond

// reattach finds the generation again at its agent, whose link broke or whose
// process was replaced. The time it may take counts from the agent's last word:
// a stream that broke after a long stall has waited enough and is moved.
func (f *inflight) reattach(ctx context.Context) (*agentStream, error) {
	deadline := f.heard.Add(f.e.cfg.ReattachTimeout)
	for {
		st, _, err := f.e.open(ctx, f.server, f.attachment())
		if err == nil {
			return st, nil
		}
		if time.Now().After(deadline) || !wait.For(ctx, reattachEvery) {
			return nil, err
		}
	}
}

func (f *inflight) attachment() *innerv1.Open {
	attach := &innerv1.Attach{GenerationId: f.id, NextIndex: f.kept.NextIndex(), Team: f.req.GetTeam()}
	return &innerv1.Open{Kind: &innerv1.Open_Attach{Attach: attach}}
}

// relay copies frames from the agent to the caller until the end.
func (f *inflight) relay(ctx context.Context, st *agentStream) error {
	defer st.close()
	reply := &innerv1.Reply{}
	for {
		if err := st.Recv(reply); err != nil {
			return errors.Wrap(errBroken, err.Error())
		}
		f.heard = time.Now()
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

// forward sends the tokens that the caller does not have yet.
func (f *inflight) forward(t *kingcupv1.Tokens) error {
	next := f.kept.NextIndex()
	if t.GetFirstIndex() > next {
		return errors.Wrapf(errBroken, "token %d came, %d was due", t.GetFirstIndex(), next)
	}
	if t.GetFirstIndex()+uint64(len(t.GetTexts())) <= next {
		return nil
	}
	// A second copy of a token can come after a re-attach; it is cut off here,
	// at the one place that all tokens of this caller pass.
	t.Texts = t.Texts[next-t.GetFirstIndex():]
	t.FirstIndex = next
	for i, text := range t.GetTexts() {
		if err := f.kept.Append(0, next+uint64(i), text); err != nil {
			return err
		}
	}
	f.observe(len(t.GetTexts()))
	f.attempt = max(f.attempt, t.GetAttempt())
	f.tokens.Tokens = t
	f.msg.Event = &f.tokens
	if err := f.out.Send(&f.msg); err != nil {
		return failure.Unknown(kingcupv1.Reason_REASON_CANCELLED, 0, "caller is gone")
	}
	return nil
}

func (f *inflight) observe(tokens int) {
	now := time.Now()
	if f.e.seen != nil && f.lastToken.IsZero() {
		f.e.seen.FirstToken(f.req.GetTeam(), now.Sub(f.began))
	}
	if f.e.seen != nil && !f.lastToken.IsZero() {
		f.e.seen.BetweenTokens(f.req.GetTeam(), now.Sub(f.lastToken)/time.Duration(tokens))
	}
	f.lastToken = now
}

func (f *inflight) finish(end *kingcupv1.End) error {
	err := f.kept.Finish(0, stream.End{Tokens: end.GetTokens(), Digest: end.GetDigest(), FinishReason: end.GetFinishReason()})
	if err != nil {
		return failure.Unknown(kingcupv1.Reason_REASON_INTERNAL, 0, "%v", err)
	}
	f.msg.Event = &kingcupv1.GenerateResponse_End{End: end}
	if err := f.out.Send(&f.msg); err != nil {
		return failure.Unknown(kingcupv1.Reason_REASON_CANCELLED, 0, "caller is gone")
	}
	return nil
}
