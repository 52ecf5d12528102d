// Package client is the client library for applications that call the system. It
// resumes broken streams at another entry, retries refused requests after the
// delay that the refusal asks for, and never repeats a non-idempotent request
// whose outcome is unknown.
package client

import (
	"context"
	"io"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/grpc"

	"kingcupplank.example/kingcup/engine"
	"kingcupplank.example/kingcup/failure"
	"kingcupplank.example/kingcup/internal/wait"
	kingcupv1 "kingcupplank.example/kingcup/proto/kingcup/v1"
)

// Options configure a Client.
type Options struct {
	// MaxRetries bounds the retries of a request that was refused with a retry
	// delay.
	MaxRetries int
	// MaxResumes bounds the consecutive attempts to resume a broken stream that
	// bring no token, and the repeats of a call whose entry was lost.
	MaxResumes int
	// ResumeInterval is the delay before each such attempt.
	ResumeInterval time.Duration
}

// DefaultOptions returns options for interactive callers.
func DefaultOptions() Options {
	return Options{MaxRetries: 3, MaxResumes: 20, ResumeInterval: 250 * time.Millisecond}
}

// Client calls the system through any of several entries. It is safe for
// concurrent use.
type Client struct {
	opts      Options
	entries   []kingcupv1.CallerServiceClient
	nextEntry atomic.Uint64
}

// New returns a client that uses conns in round-robin order. One connection is
// enough if it leads to a load balancer. The caller closes the connections.
func New(opts Options, conns ...grpc.ClientConnInterface) *Client {
	c := &Client{opts: opts}
	for _, conn := range conns {
		c.entries = append(c.entries, kingcupv1.NewCallerServiceClient(conn))
	}
	return c
}

// pickEntry returns the next entry in round-robin order.
func (c *Client) pickEntry() kingcupv1.CallerServiceClient {
	return c.entries[c.nextEntry.Add(1)%uint64(len(c.entries))]
}

// Token is one token of a generation.
type Token struct {
	Index uint64
	Text  []byte
}

// Result describes a generation, complete unless Generate returned an error.
type Result struct {
	GenerationID string
	Tokens       uint64
	FinishReason string
	// Resumes counts the attempts to resume the stream after it broke.
	Resumes int
	// Servers names the backend servers that the stream came from, in order.
	Servers []string
}

// Handler receives the events of a generation. Its functions are called from the
// goroutine that called Generate. Each may be nil.
type Handler struct {
	// Started is called when a backend server accepts the generation, and again
	// when another one continues it.
	Started func(generationID, backendServer string)
	// Token is called exactly once for each token, in order.
	Token func(Token)
}

// Generate runs one generation. Its error is a *failure.Error.
func (c *Client) Generate(ctx context.Context, req *kingcupv1.GenerateRequest, h Handler) (Result, error) {
	g := &generation{client: c, req: req, handler: h, digest: engine.NewDigest()}
	for retries := 0; ; retries++ {
		err := g.run(ctx)
		if err == nil {
			return g.result, nil
		}
		fail := failure.FromError(err)
		if !failure.IsNotRun(fail) || fail.RetryAfter == 0 || retries >= c.opts.MaxRetries {
			return g.result, fail
		}
		if !wait.For(ctx, fail.RetryAfter) {
			return g.result, fail
		}
		// The refused generation has ended; the next attempt starts a new one.
		g.result.GenerationID = ""
	}
}

// generation is the state of one Generate call. It is not safe for concurrent
// use.
type generation struct {
	client    *Client
	req       *kingcupv1.GenerateRequest
	handler   Handler
	result    Result
	attempt   uint32
	delivered [][]byte
	digest    engine.Digest
}

// generationStream is the stream of a Generate or Resume call.
type generationStream interface {
	Recv() (*kingcupv1.GenerateResponse, error)
}

// run opens the generation's stream and reads it to its end. It resumes the
// stream when it breaks.
func (g *generation) run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	st, err := g.open(ctx)
	for attemptsWithoutToken := 0; ; attemptsWithoutToken++ {
		if err == nil {
			before := len(g.delivered)
			if err = g.read(st); err == nil {
				return nil
			}
			if len(g.delivered) > before {
				attemptsWithoutToken = 0
			}
		}
		if attemptsWithoutToken >= g.client.opts.MaxResumes || !g.canResume(err) || !wait.For(ctx, g.client.opts.ResumeInterval) {
			return err
		}
		g.result.Resumes++
		st, err = g.open(ctx)
	}
}

// canResume reports whether the request can continue at another entry after err.
// Until the generation's id is known, the request can only be repeated and may
// then run twice, which only an idempotent request allows.
func (g *generation) canResume(err error) bool {
	fail := failure.FromError(err)
	if g.result.GenerationID == "" {
		return isEntryLost(fail) && !g.req.GetNonIdempotent()
	}
	switch fail.Reason {
	case kingcupv1.Reason_REASON_INTERNAL, kingcupv1.Reason_REASON_LEAVING, kingcupv1.Reason_REASON_NOT_READY,
		kingcupv1.Reason_REASON_NO_BACKEND, kingcupv1.Reason_REASON_BACKEND_LOST:
		return fail.Outcome == kingcupv1.Outcome_OUTCOME_UNKNOWN
	}
	return false
}

// isEntryLost reports whether an error comes from the connection to the entry.
// Such errors have no reason and become REASON_INTERNAL, while entries always
// give a reason.
func isEntryLost(fail *failure.Error) bool {
	return fail.Reason == kingcupv1.Reason_REASON_INTERNAL
}

// open starts the generation, or resumes it if its id is known.
func (g *generation) open(ctx context.Context) (generationStream, error) {
	if g.result.GenerationID == "" {
		return g.client.pickEntry().Generate(ctx, g.req)
	}
	req := &kingcupv1.ResumeRequest{
		Request: g.req, GenerationId: g.result.GenerationID, NextIndex: uint64(len(g.delivered)),
		Delivered: g.delivered, Attempt: g.attempt,
	}
	if n := len(g.result.Servers); n > 0 {
		req.BackendServer = g.result.Servers[n-1]
	}
	return g.client.pickEntry().Resume(ctx, req)
}

// read handles the events of a stream until the generation ends or the stream
// breaks.
func (g *generation) read(st generationStream) error {
	for {
		m, err := st.Recv()
		if errors.Is(err, io.EOF) {
			return failure.Unknown(kingcupv1.Reason_REASON_INTERNAL, 0, "stream ended without its end mark")
		}
		if err != nil {
			return err
		}
		switch ev := m.GetEvent().(type) {
		case *kingcupv1.GenerateResponse_Started:
			g.handleStarted(ev.Started)
		case *kingcupv1.GenerateResponse_Tokens:
			if err := g.handleTokens(ev.Tokens); err != nil {
				return err
			}
		case *kingcupv1.GenerateResponse_End:
			return g.handleEnd(ev.End)
		}
	}
}

func (g *generation) handleStarted(s *kingcupv1.Started) {
	g.result.GenerationID = s.GetGenerationId()
	g.result.Servers = append(g.result.Servers, s.GetBackendServer())
	if g.handler.Started != nil {
		g.handler.Started(s.GetGenerationId(), s.GetBackendServer())
	}
}

func (g *generation) handleTokens(t *kingcupv1.Tokens) error {
	nextIndex := uint64(len(g.delivered))
	if t.GetFirstIndex() != nextIndex {
		return failure.Unknown(kingcupv1.Reason_REASON_PROTOCOL, 0, "token %d came, %d was due", t.GetFirstIndex(), nextIndex)
	}
	g.attempt = max(g.attempt, t.GetAttempt())
	for _, text := range t.GetTexts() {
		g.digest.Add(text)
		if g.handler.Token != nil {
			g.handler.Token(Token{Index: uint64(len(g.delivered)), Text: text})
		}
		g.delivered = append(g.delivered, text)
	}
	return nil
}

func (g *generation) handleEnd(end *kingcupv1.End) error {
	g.result.Tokens = uint64(len(g.delivered))
	g.result.FinishReason = end.GetFinishReason()
	if end.GetTokens() != g.result.Tokens || end.GetDigest() != g.digest.Sum() {
		return failure.Unknown(kingcupv1.Reason_REASON_PROTOCOL, 0, "tokens differ from the engine's record")
	}
	return nil
}

// Call sends one request to a plain service. It retries a request that was refused
// with a retry delay, and repeats an idempotent request whose entry was lost. If
// the outcome of a non-idempotent request is unknown, it returns that error.
func (c *Client) Call(ctx context.Context, req *kingcupv1.CallRequest) (*kingcupv1.CallResponse, error) {
	retries, lostEntries := 0, 0
	for {
		resp, err := c.pickEntry().Call(ctx, req)
		if err == nil {
			return resp, nil
		}
		fail := failure.FromError(err)
		delay := fail.RetryAfter
		switch {
		case failure.IsNotRun(fail) && delay > 0 && retries < c.opts.MaxRetries:
			retries++
		case isEntryLost(fail) && !req.GetNonIdempotent() && lostEntries < c.opts.MaxResumes:
			lostEntries++
			delay = c.opts.ResumeInterval
		default:
			return nil, fail
		}
		if !wait.For(ctx, delay) {
			return nil, fail
		}
	}
}
