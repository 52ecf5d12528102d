package fleet

import (
	"net/http"
	"strconv"
	"time"
)

// rateLimitHeader is the maximum rate of requests from all gateways together, per second.
const rateLimitHeader = "Server-Limit"

// LeavingHeaders returns the headers of a server that is about to stop.
func LeavingHeaders() http.Header { return http.Header{"Server-Leaving": {"1"}} }

// BackoffHeaders returns the headers of a server that rejects requests and asks for none for d.
func BackoffHeaders(d time.Duration) http.Header {
	return http.Header{"Retry-After": {strconv.FormatFloat(d.Seconds(), 'f', -1, 64)}}
}

// RateLimitHeaders returns the headers of a server with a rate limit in requests per second.
func RateLimitHeaders(perSecond float64) http.Header {
	return http.Header{rateLimitHeader: {strconv.FormatFloat(perSecond, 'f', -1, 64)}}
}

// SetHeaders sets the headers of all responses from now on.
func (s *Server) SetHeaders(h http.Header) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.behavior.Headers = h
}

// RejectAll makes the server reject all requests until recovered is called.
func (s *Server) RejectAll() (recovered func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.behavior.RejectAll = true
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.behavior.RejectAll = false
	}
}

// RejectWithBackoff makes the server reject all requests and ask for a backoff until recovered is
// called.
func (s *Server) RejectWithBackoff(backoff time.Duration) (recovered func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.behavior.RejectAll, s.behavior.Headers = true, BackoffHeaders(backoff)
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.behavior.RejectAll, s.behavior.Headers = false, nil
	}
}
