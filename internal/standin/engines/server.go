package engines

import (
	"context"

	"github.com/pkg/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"kingcupplank.example/kingcup/engine"
	platformv1 "kingcupplank.example/kingcup/proto/kingcup/platform/v1"
)

// Server serves an Engine over gRPC.
type Server struct {
	platformv1.UnimplementedEngineServiceServer
	Engine engine.Engine
}

type responseStream = grpc.ServerStreamingServer[platformv1.EngineGenerateResponse]

func rpcError(err error) error {
	switch {
	case errors.Is(err, engine.ErrRejected):
		return status.Error(codes.InvalidArgument, err.Error())
	case errors.Is(err, engine.ErrUnknownStream):
		return status.Error(codes.NotFound, err.Error())
	case errors.Is(err, engine.ErrStaleTerm):
		return status.Error(codes.FailedPrecondition, err.Error())
	}
	return status.Error(codes.Unavailable, err.Error())
}

func forward(st engine.Stream, out responseStream) error {
	for {
		t, err := st.Recv()
		if err != nil {
			return rpcError(err)
		}
		msg := &platformv1.EngineGenerateResponse{
			Index: t.Index, Text: t.Text, End: t.End, FinishReason: t.FinishReason, Digest: t.Digest,
		}
		if err := out.Send(msg); err != nil {
			return err
		}
		if t.End {
			return nil
		}
	}
}

// Generate implements EngineService.
func (s *Server) Generate(req *platformv1.EngineGenerateRequest, out responseStream) error {
	st, err := s.Engine.Generate(out.Context(), engine.Request{
		ID: req.GetId(), Attempt: req.GetAttempt(), Team: req.GetTeam(), RequestID: req.GetRequestId(),
		Model: req.GetModel(), Adapter: req.GetAdapter(), Prompt: req.GetPrompt(),
		MaxTokens: req.GetMaxTokens(), Priority: req.GetPriority(), Prefix: req.GetPrefix(),
	})
	if err != nil {
		return rpcError(err)
	}
	return forward(st, out)
}

// Attach implements EngineService.
func (s *Server) Attach(req *platformv1.EngineAttachRequest, out responseStream) error {
	st, err := s.Engine.Attach(out.Context(), req.GetId(), req.GetNextIndex())
	if err != nil {
		return rpcError(err)
	}
	return forward(st, out)
}

// Cancel implements EngineService.
func (s *Server) Cancel(ctx context.Context, req *platformv1.EngineCancelRequest) (*platformv1.EngineCancelResponse, error) {
	err := s.Engine.Cancel(ctx, req.GetId(), req.GetAttempt())
	if errors.Is(err, engine.ErrUnknownStream) {
		return &platformv1.EngineCancelResponse{}, nil
	}
	if err != nil {
		return nil, rpcError(err)
	}
	return &platformv1.EngineCancelResponse{Found: true}, nil
}

// List implements EngineService.
func (s *Server) List(ctx context.Context, _ *platformv1.EngineListRequest) (*platformv1.EngineListResponse, error) {
	running, err := s.Engine.List(ctx)
	if err != nil {
		return nil, rpcError(err)
	}
	out := &platformv1.EngineListResponse{}
	for _, r := range running {
		out.Streams = append(out.Streams, &platformv1.EngineStream{
			Id: r.ID, Attempt: r.Attempt, Team: r.Team, RequestId: r.RequestID, Model: r.Model,
			Emitted: r.Emitted, PromptBytes: r.PromptBytes, MaxTokens: r.MaxTokens,
		})
	}
	return out, nil
}

// Load implements EngineService.
func (s *Server) Load(ctx context.Context, _ *platformv1.EngineLoadRequest) (*platformv1.EngineLoadResponse, error) {
	load, err := s.Engine.ReadStatus(ctx)
	if err != nil {
		return nil, rpcError(err)
	}
	return &platformv1.EngineLoadResponse{
		Running: load.Running, MemoryUsed: load.MemoryUsed, MemoryCapacity: load.MemoryCapacity, Preemptions: load.Preemptions,
		ResumesFromPrefix: load.ResumesFromPrefix, Models: load.Models, Adapters: load.Adapters,
	}, nil
}

// Order implements EngineService.
func (s *Server) Order(ctx context.Context, req *platformv1.EngineOrderRequest) (*platformv1.EngineOrderResponse, error) {
	err := s.Engine.Order(ctx, engine.Order{
		Term: req.GetTerm(), Load: req.GetLoad(), Model: req.GetModel(), Adapter: req.GetAdapter(), Version: req.GetVersion(),
	})
	if err != nil {
		return nil, rpcError(err)
	}
	return &platformv1.EngineOrderResponse{Done: true}, nil
}
