// Package engineclient implements engine.Engine with the engines' gRPC protocol.
package engineclient

import (
	"context"

	"github.com/pkg/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"kingcupplank.example/kingcup/engine"
	platformv1 "kingcupplank.example/kingcup/proto/kingcup/platform/v1"
)

// Client calls one engine. It is safe for concurrent use.
type Client struct {
	rpc platformv1.EngineServiceClient
}

// New returns a client that uses conn; the caller closes conn.
func New(conn grpc.ClientConnInterface) *Client {
	return &Client{rpc: platformv1.NewEngineServiceClient(conn)}
}

type stream struct {
	rpc grpc.ServerStreamingClient[platformv1.EngineGenerateResponse]
	msg platformv1.EngineGenerateResponse
}

// Recv implements engine.Stream. It reuses one message for all tokens, so the
// text of a token is valid only until the next call.
func (s *stream) Recv() (engine.Token, error) {
	s.msg.Reset()
	if err := s.rpc.RecvMsg(&s.msg); err != nil {
		return engine.Token{}, engineError(err)
	}
	return engine.Token{
		Index:        s.msg.GetIndex(),
		Text:         s.msg.GetText(),
		End:          s.msg.GetEnd(),
		FinishReason: s.msg.GetFinishReason(),
		Digest:       s.msg.GetDigest(),
	}, nil
}

// engineError converts a gRPC status to an error of package engine.
func engineError(err error) error {
	switch status.Code(err) {
	case codes.NotFound:
		return errors.Wrap(engine.ErrUnknownStream, err.Error())
	case codes.InvalidArgument, codes.ResourceExhausted:
		return errors.Wrap(engine.ErrRejected, err.Error())
	case codes.FailedPrecondition:
		return errors.Wrap(engine.ErrStaleTerm, err.Error())
	}
	return errors.Wrap(engine.ErrLost, err.Error())
}

// Generate implements engine.Engine.
func (c *Client) Generate(ctx context.Context, req engine.Request) (engine.Stream, error) {
	rpc, err := c.rpc.Generate(ctx, &platformv1.EngineGenerateRequest{
		Id:        req.ID,
		Attempt:   req.Attempt,
		Team:      req.Team,
		RequestId: req.RequestID,
		Model:     req.Model,
		Adapter:   req.Adapter,
		Prompt:    req.Prompt,
		MaxTokens: req.MaxTokens,
		Priority:  req.Priority,
		Prefix:    req.Prefix,
	})
	if err != nil {
		return nil, engineError(err)
	}
	return &stream{rpc: rpc}, nil
}

// Attach implements engine.Engine.
func (c *Client) Attach(ctx context.Context, id string, next uint64) (engine.Stream, error) {
	rpc, err := c.rpc.Attach(ctx, &platformv1.EngineAttachRequest{Id: id, NextIndex: next})
	if err != nil {
		return nil, engineError(err)
	}
	return &stream{rpc: rpc}, nil
}

// Cancel implements engine.Engine.
func (c *Client) Cancel(ctx context.Context, id string, attempt uint32) error {
	_, err := c.rpc.Cancel(ctx, &platformv1.EngineCancelRequest{Id: id, Attempt: attempt})
	if err != nil {
		return engineError(err)
	}
	return nil
}

// List implements engine.Engine.
func (c *Client) List(ctx context.Context) ([]engine.RunningStream, error) {
	resp, err := c.rpc.List(ctx, &platformv1.EngineListRequest{})
	if err != nil {
		return nil, engineError(err)
	}
	out := make([]engine.RunningStream, 0, len(resp.GetStreams()))
	for _, s := range resp.GetStreams() {
		out = append(out, engine.RunningStream{
			ID:          s.GetId(),
			Attempt:     s.GetAttempt(),
			Team:        s.GetTeam(),
			RequestID:   s.GetRequestId(),
			Model:       s.GetModel(),
			Emitted:     s.GetEmitted(),
			PromptBytes: s.GetPromptBytes(),
			MaxTokens:   s.GetMaxTokens(),
		})
	}
	return out, nil
}

// ReadStatus implements engine.Engine.
func (c *Client) ReadStatus(ctx context.Context) (engine.Status, error) {
	resp, err := c.rpc.Load(ctx, &platformv1.EngineLoadRequest{})
	if err != nil {
		return engine.Status{}, engineError(err)
	}
	return engine.Status{
		Running:           resp.GetRunning(),
		MemoryUsed:        resp.GetMemoryUsed(),
		MemoryCapacity:    resp.GetMemoryCapacity(),
		Preemptions:       resp.GetPreemptions(),
		ResumesFromPrefix: resp.GetResumesFromPrefix(),
		Models:            resp.GetModels(),
		Adapters:          resp.GetAdapters(),
	}, nil
}

// Order implements engine.Engine.
func (c *Client) Order(ctx context.Context, o engine.Order) error {
	_, err := c.rpc.Order(ctx, &platformv1.EngineOrderRequest{
		Term:    o.Term,
		Load:    o.Load,
		Model:   o.Model,
		Adapter: o.Adapter,
		Version: o.Version,
	})
	if err != nil {
		return engineError(err)
	}
	return nil
}
