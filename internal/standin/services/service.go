// Package services is a stand-in plain service: it answers each call with a
// receipt and logs what ran, for history checks.
package services

import (
	"context"
	"fmt"
	"sync"

	"github.com/valyala/fasthttp"

	"kingcupplank.example/kingcup/engine"
	"kingcupplank.example/kingcup/engine/serviceclient"
)

// Service implements engine.Service. It is safe for concurrent use.
type Service struct {
	mu  sync.Mutex
	ran map[string]int
	// loseAnswers is the number of next calls that run and answer an error.
	loseAnswers int
	// gate, when set, is called before a call runs.
	gate func()
}

// New returns a service that has run nothing.
func New() *Service {
	return &Service{ran: make(map[string]int)}
}

// LoseResponses makes the next n calls run and lose their answer.
func (s *Service) LoseResponses(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loseAnswers = n
}

// SetBeforeCall makes every call pass through f before it runs.
func (s *Service) SetBeforeCall(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.gate = f
}

// RunCount is how often a request has run.
func (s *Service) RunCount(team, requestID string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ran[team+"/"+requestID]
}

// Call implements engine.Service.
func (s *Service) Call(_ context.Context, team, requestID string, body []byte) ([]byte, error) {
	s.mu.Lock()
	gate := s.gate
	s.mu.Unlock()
	if gate != nil {
		gate()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ran[team+"/"+requestID]++
	if s.loseAnswers > 0 {
		s.loseAnswers--
		return nil, engine.ErrLost
	}
	return fmt.Appendf(nil, "confirmed %s/%s: %s", team, requestID, body), nil
}

// HTTP serves the service by POST /call and its log by GET /ran/{team}/{id}.
func (s *Service) HTTP(ctx *fasthttp.RequestCtx) {
	team := string(ctx.Request.Header.Peek(serviceclient.HeaderTeam))
	id := string(ctx.Request.Header.Peek(serviceclient.HeaderRequestID))
	answer, err := s.Call(ctx, team, id, ctx.PostBody())
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetBody(answer)
}
