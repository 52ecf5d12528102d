// Package client is for applications that call the system. It resumes streams
// at another entry by itself, waits as long as a refusal says, and never repeats
// a non-idempotent request whose outcome is unknown.
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

// Options set a Client.
type Options struct {
	// MaxRetries is how many refusals that name a time are waited out.
	MaxRetries int
	// MaxResumes is how many times in a row a broken stream is resumed without
	// receiving a token.
	MaxResumes int
	// ResumeInterval is the wait between two such tries.
	ResumeInterval time.Duration
}

// DefaultOptions suit interactive callers.
func DefaultOptions() Options {
	return Options{MaxRetries: 3, MaxResumes: 20, ResumeInterval: 250 * time.Millisecond}
}

// Client calls the system through any of several entries. It is safe for
// concurrent use.
type Client struct {
	opts    Options
	entries []kingcupv1.CallerServiceClient
	next    atomic.Uint64
}

// New returns a client that uses conns in turn; behind a balancer one is
// enough. The caller closes them.
func New(opts Options, conns ...grpc.ClientConnInterface) *Client {
	c := &Client{opts: opts}
	for _, conn := range conns {
		c.entries = append(c.entries, kingcupv1.NewCallerServiceClient(conn))
	}
	return c
}

func (c *Client) entry() kingcupv1.CallerServiceClient {
	return c.entries[c.next.Add(1)%uint64(len(c.entries))]
}

// Token is one token of a generation.
type Token struct {
	Index uint64
	Text  []byte
}

// Result describes a generation that is whole.
type Result struct {
	GenerationID string
	Tokens       uint64
	FinishReason string
	// Resumes is how often the stream broke and was continued.
	Resumes int
	// Servers are the backend servers that the stream came from, in order.
	Servers []string
}

// Handler takes what a generation sends. Its functions are called from the
// goroutine that called Generate; either may be nil.
type Handler struct {
	// Started is called when a backend server accepts the generation, again
	// when another one continues it.
	Started func(generationID, backendServer string)
	// Token is called for each token, in order and once each.
	Token func(Token)
}

// Generate runs one generation. The error is a *failure.Error.
func (c *Client) Generate(ctx context.Context, req *kingcupv1.GenerateRequest, h Handler) (Result, error) {
	g := &generation{c: c, req: req, handler: h, digest: engine.NewDigest()}
	for refusals := 0; ; refusals++ {
		err := g.run(ctx)
		if err == nil {
			return g.result, nil
		}
		f := failure.FromError(err)
		if !failure.IsNotRun(f) || f.RetryAfter == 0 || refusals >= c.opts.MaxRetries {
			return g.result, f
		}
		if !wait.For(ctx, f.RetryAfter) {
			return g.result, f
		}
		// The refused generation is over; the next try begins a new one.
		g.result.GenerationID = ""
	}
}

// generation is one stream as the caller sees it. It is for one goroutine.
type generation struct {
	c         *Client
	req       *kingcupv1.GenerateRequest
	handler   Handler
	result    Result
	attempt   uint32
	delivered [][]byte
	digest    engine.Digest
}

type events interface {
	Recv() (*kingcupv1.GenerateResponse, error)
}

func (g *generation) run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	st, err := g.open(ctx)
	for idle := 0; ; idle++ {
		if err == nil {
			had := len(g.delivered)
			if err = g.read(st); err == nil {
				return nil
			}
			if len(g.delivered) > had {
				idle = 0
			}
		}
		if idle >= g.c.opts.MaxResumes || !g.resumable(err) || !wait.For(ctx, g.c.opts.ResumeInterval) {
			return err
		}
		g.result.Resumes++
		st, err = g.open(ctx)
	}
}

// resumable reports whether another entry may have the answer. Before a
// generation is known a repeat may run a second time, which only an idempotent
// request allows.
func (g *generation) resumable(err error) bool {
	f := failure.FromError(err)
	if g.result.GenerationID == "" {
		return lostEntry(f) && !g.req.GetNonIdempotent()
	}
	switch f.Reason {
	case kingcupv1.Reason_REASON_INTERNAL, kingcupv1.Reason_REASON_LEAVING, kingcupv1.Reason_REASON_NOT_READY,
		kingcupv1.Reason_REASON_NO_BACKEND, kingcupv1.Reason_REASON_BACKEND_LOST:
		return f.Outcome == kingcupv1.Outcome_OUTCOME_UNKNOWN
	}
	return false
}

// lostEntry reports whether an error came from the way to the entry: entries
// themselves always give a reason.
func lostEntry(f *failure.Error) bool {
	return f.Reason == kingcupv1.Reason_REASON_INTERNAL
}

// open begins the generation, or finds it again.
func (g *generation) open(ctx context.Context) (events, error) {
	if g.result.GenerationID == "" {
		return g.c.entry().Generate(ctx, g.req)
	}
	req := &kingcupv1.ResumeRequest{
		Request: g.req, GenerationId: g.result.GenerationID, NextIndex: uint64(len(g.delivered)),
		Delivered: g.delivered, Attempt: g.attempt,
	}
	if n := len(g.result.Servers); n > 0 {
		req.BackendServer = g.result.Servers[n-1]
	}
	return g.c.entry().Resume(ctx, req)
}

func (g *generation) read(st events) error {
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
			g.started(ev.Started)
		case *kingcupv1.GenerateResponse_Tokens:
			if err := g.take(ev.Tokens); err != nil {
				return err
			}
		case *kingcupv1.GenerateResponse_End:
			return g.finish(ev.End)
		}
	}
}

func (g *generation) started(s *kingcupv1.Started) {
	g.result.GenerationID = s.GetGenerationId()
	g.result.Servers = append(g.result.Servers, s.GetBackendServer())
	if g.handler.Started != nil {
		g.handler.Started(s.GetGenerationId(), s.GetBackendServer())
	}
}

func (g *generation) take(t *kingcupv1.Tokens) error {
	next := uint64(len(g.delivered))
	if t.GetFirstIndex() != next {
		return failure.Unknown(kingcupv1.Reason_REASON_PROTOCOL, 0, "token %d came, %d was due", t.GetFirstIndex(), next)
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

func (g *generation) finish(end *kingcupv1.End) error {
	g.result.Tokens = uint64(len(g.delivered))
	g.result.FinishReason = end.GetFinishReason()
	if end.GetTokens() != g.result.Tokens || end.GetDigest() != g.digest.Sum() {
		return failure.Unknown(kingcupv1.Reason_REASON_PROTOCOL, 0, "tokens differ from the engine's record")
	}
	return nil
}

// Call sends one request to a plain service. A refusal that names a time is
// waited out and an idempotent call is repeated when its entry is lost; an unknown
// outcome of a non-idempotent one is returned as it is.
func (c *Client) Call(ctx context.Context, req *kingcupv1.CallRequest) (*kingcupv1.CallResponse, error) {
	refusals, losses := 0, 0
	for {
		resp, err := c.entry().Call(ctx, req)
		if err == nil {
			return resp, nil
		}
		f := failure.FromError(err)
		after := f.RetryAfter
		switch {
		case failure.IsNotRun(f) && after > 0 && refusals < c.opts.MaxRetries:
			refusals++
		case lostEntry(f) && !req.GetNonIdempotent() && losses < c.opts.MaxResumes:
			losses++
			after = c.opts.ResumeInterval
		default:
			return nil, f
		}
		if !wait.For(ctx, after) {
			return nil, f
		}
	}
}
