package soak

import (
	"context"
	"fmt"
	"slices"
	"syscall"
	"time"

	"kingcupplank.example/kingcup/internal/standin/fleet"
	"kingcupplank.example/kingcup/internal/wait"
)

const (
	// rateLimitWindow is the window in which requests to a rate-limited server are counted.
	// checkedRateLimit is the limit in requests per second that is checked after all faults.
	rateLimitWindow  = 4 * time.Second
	checkedRateLimit = 2.8
	// checkedBackoff is the backoff that is checked after all faults. For backoffSlack after a
	// gateway's first request to the server, further requests of that gateway don't count: a
	// second attempt that lost its race is cancelled before its response, so that only the next
	// request's response tells the gateway about the backoff.
	checkedBackoff, backoffSlack = 2 * time.Second, 500 * time.Millisecond
	// signalTimeout is the time within which all gateways must act on a server's signals.
	signalTimeout = time.Second
)

// announceRateLimit makes a server announce a low rate limit.
func announceRateLimit(s *Soak, _ context.Context) (string, func()) {
	srv, limit := s.drawServer(), float64(s.drawInt(40))
	srv.SetHeaders(fleet.RateLimitHeaders(limit))
	return fmt.Sprintf("rate limit of %v/s at %s", limit, srv.ID), func() { srv.SetHeaders(nil) }
}

// announceLeaving makes a server announce only in its response headers that it is leaving, and
// stops it some time later.
func announceLeaving(s *Soak, _ context.Context) (string, func()) {
	srv := s.drawServerToStop()
	if srv == nil {
		return "no server to stop", nil
	}
	srv.SetHeaders(fleet.LeavingHeaders())
	return srv.ID + " announces that it is leaving", func() {
		srv.Kill()
		srv.RemoveEntry()
		s.replace(srv)
	}
}

// askForBackoff makes a server reject requests and ask for a backoff.
func askForBackoff(s *Soak, _ context.Context) (string, func()) {
	srv, backoff := s.drawServer(), s.drawDuration(minFaultDuration, maxFaultDuration)
	undo := srv.RejectWithBackoff(backoff)
	return fmt.Sprintf("%s asks for a backoff of %v", srv.ID, backoff.Round(time.Millisecond)), undo
}

// drawServer draws from all servers, stopped ones included.
func (s *Soak) drawServer() *fleet.Server {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.servers[s.rng.IntN(len(s.servers))]
}

// checkSignals starts new servers after all faults and makes them send signals in response
// headers, while callers send requests, a gateway is killed and the store is unavailable. It
// checks that all gateways act on the signals.
func (s *Soak) checkSignals(ctx context.Context) (violations []string) {
	var servers [3]*fleet.Server
	for i := range servers {
		srv, err := s.addServerIn(fleet.DeskService, gatewayDomain)
		if err != nil {
			return []string{err.Error()}
		}
		servers[i] = srv
	}
	limited, leaving, backingOff := servers[0], servers[1], servers[2]
	s.sendRequests(ctx, signalTimeout)
	limited.SetHeaders(fleet.RateLimitHeaders(checkedRateLimit))
	leaving.SetHeaders(fleet.LeavingHeaders())
	backingOff.RejectWithBackoff(checkedBackoff)
	announced := time.Now()
	restarted := s.gateways[0]
	time.AfterFunc(signalTimeout, func() {
		s.fleet.Store.SetFault(fleet.Busy)
		restarted.signal(syscall.SIGKILL)
		restarted.restart(ctx, s.Binary, maxFaultDuration)
	})
	time.AfterFunc(2*signalTimeout, func() { s.fleet.Store.SetFault(fleet.NoFault) })
	gatewayOf := s.sendRequests(ctx, signalTimeout+rateLimitWindow)
	if count, maxCount := maxInWindow(limited, announced.Add(signalTimeout)), 1.5*checkedRateLimit*rateLimitWindow.Seconds()+5; float64(count) > maxCount {
		violations = append(violations, fmt.Sprintf("%s has a rate limit of %v/s and received %d requests in %v", limited.ID, checkedRateLimit, count, rateLimitWindow))
	}
	if len(leaving.Arrivals()) == 0 {
		violations = append(violations, leaving.ID+" received no request")
	}
	firstAnswer := announced
	for _, a := range leaving.Arrivals() {
		// The signal is in the responses only: nobody knows it before the first one.
		if firstAnswer == announced && a.At.After(announced) {
			firstAnswer = a.At
		}
		// A restarted gateway has not received the signal yet.
		if delay := a.At.Sub(firstAnswer); delay > signalTimeout && gatewayOf[a.ID] != restarted {
			violations = append(violations, fmt.Sprintf("%s received %s %v after it announced that it was leaving", leaving.ID, a.ID, delay))
		}
	}
	return append(violations, checkBackoff(backingOff, gatewayOf, restarted)...)
}

// checkBackoff requires that no gateway except the restarted one sends a request to a server
// within the backoff that the server asked it for.
func checkBackoff(backingOff *fleet.Server, gatewayOf map[string]*gateway, restarted *gateway) (violations []string) {
	lastRejected := make(map[*gateway]time.Time)
	for _, a := range backingOff.Arrivals() {
		g := gatewayOf[a.ID]
		if g == nil || g == restarted {
			continue
		}
		rejectedAt, wasRejected := lastRejected[g]
		if wasRejected && a.At.Sub(rejectedAt) < backoffSlack {
			continue
		}
		if wasRejected && a.At.Sub(rejectedAt) < checkedBackoff {
			violations = append(violations, fmt.Sprintf("%s received %s from %s %v after it asked that gateway for a backoff of %v", backingOff.ID, a.ID, g.settings.Name, a.At.Sub(rejectedAt), checkedBackoff))
			continue
		}
		lastRejected[g] = a.At
	}
	if len(lastRejected) == 0 {
		violations = append(violations, backingOff.ID+" received no request")
	}
	return violations
}

// sendRequests sends plain requests to all gateways for d and returns the gateway of each request
// by id.
func (s *Soak) sendRequests(ctx context.Context, d time.Duration) (gatewayOf map[string]*gateway) {
	gatewayOf = make(map[string]*gateway)
	for start := time.Now(); time.Since(start) < d; wait.For(ctx, 10*time.Millisecond) {
		for _, g := range s.gateways {
			gatewayOf[s.call(ctx, g)] = g
		}
	}
	return gatewayOf
}

// maxInWindow returns the maximum number of requests that reached a server within any
// rateLimitWindow from a given time on.
func maxInWindow(srv *fleet.Server, from time.Time) (maxCount int) {
	arrivals := slices.DeleteFunc(srv.Arrivals(), func(a fleet.Arrival) bool { return a.At.Before(from) })
	for first, i := 0, 0; i < len(arrivals); i++ {
		for arrivals[i].At.Sub(arrivals[first].At) >= rateLimitWindow {
			first++
		}
		maxCount = max(maxCount, i-first+1)
	}
	return maxCount
}
