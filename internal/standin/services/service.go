// Package services is a stand-in for a plain service. It responds to each call
// with a confirmation and counts executions for checks of the history.
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
	mu        sync.Mutex
	runCounts map[string]int
	// responsesToLose is the number of next calls that are executed and return an error.
	responsesToLose int
	// beforeCall, if set, is called before each call is executed.
	beforeCall func()
}

// New returns a service that has executed nothing.
func New() *Service {
	return &Service{runCounts: make(map[string]int)}
}

// LoseResponses makes the service execute the next n calls but return an error.
func (s *Service) LoseResponses(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.responsesToLose = n
}

// SetBeforeCall makes the service call f before it executes a call; nil means no function.
func (s *Service) SetBeforeCall(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.beforeCall = f
}

// RunCount returns how often a request was executed.
func (s *Service) RunCount(team, requestID string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runCounts[team+"/"+requestID]
}

// Call implements engine.Service.
func (s *Service) Call(_ context.Context, team, requestID string, body []byte) ([]byte, error) {
	s.mu.Lock()
	beforeCall := s.beforeCall
	s.mu.Unlock()
	if beforeCall != nil {
		beforeCall()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runCounts[team+"/"+requestID]++
	if s.responsesToLose > 0 {
		s.responsesToLose--
		return nil, engine.ErrLost
	}
	return fmt.Appendf(nil, "confirmed %s/%s: %s", team, requestID, body), nil
}

// HTTP executes a request with any method and path as a call.
func (s *Service) HTTP(ctx *fasthttp.RequestCtx) {
	team := string(ctx.Request.Header.Peek(serviceclient.HeaderTeam))
	id := string(ctx.Request.Header.Peek(serviceclient.HeaderRequestID))
	response, err := s.Call(ctx, team, id, ctx.PostBody())
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetBody(response)
}
