package fleet

import (
	"net/http"
	"strconv"
	"time"
)

// limitHeader names the requests a second that a server takes from all gateways.
const limitHeader = "Server-Limit"

// LeavingHeaders are the headers of a server that is about to end.
func LeavingHeaders() http.Header { return http.Header{"Server-Leaving": {"1"}} }

// BackoffHeaders are the headers of a server that turns requests away and wants none for a time.
func BackoffHeaders(d time.Duration) http.Header {
	return http.Header{"Retry-After": {strconv.FormatFloat(d.Seconds(), 'f', -1, 64)}}
}

// RateLimitHeaders are the headers of a server that takes so many requests a second.
func RateLimitHeaders(perSecond float64) http.Header {
	return http.Header{limitHeader: {strconv.FormatFloat(perSecond, 'f', -1, 64)}}
}

// SetHeaders changes the headers of all answers from now on.
func (s *Server) SetHeaders(h http.Header) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.behave.Headers = h
}

// RejectWithBackoff has the server turn all requests away and ask for rest, until rested is called.
func (s *Server) RejectWithBackoff(rest time.Duration) (rested func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.behave.RejectAll, s.behave.Headers = true, BackoffHeaders(rest)
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.behave.RejectAll, s.behave.Headers = false, nil
	}
}
