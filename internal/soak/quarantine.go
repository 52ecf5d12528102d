package soak

import (
	"context"
	"fmt"
	"slices"
	"time"

	"kingcupplank.example/kingcup/internal/standin/fleet"
	"kingcupplank.example/kingcup/internal/wait"
)

const (
	// crashingBody begins the request bodies on which model servers crash, crashDelay after they
	// start to respond.
	crashingBody = "harmful-"
	crashDelay   = 60 * time.Millisecond
	// crashingInterval is the mean time between two attempts of a crashing request.
	crashingInterval = 150 * time.Millisecond
	// quarantineTimeout is how long a crashing request may reach servers without limit after the
	// crash under its third execution. maxLateExecutions is how many servers it may reach later.
	quarantineTimeout, maxLateExecutions = 3 * time.Second, 3
)

// sendCrashingRequest starts a caller that keeps sending a request on which model servers crash,
// to any gateway. Each call uses a new request.
func sendCrashingRequest(s *Soak, ctx context.Context) (string, func()) {
	s.mu.Lock()
	body := fmt.Sprint(crashingBody, len(s.crashingBodies))
	s.crashingBodies = append(s.crashingBodies, body)
	s.mu.Unlock()
	// The caller continues to the end of the run, because a quarantine must survive the faults of
	// gateways.
	go func() {
		for wait.For(ctx, s.drawDuration(0, 2*crashingInterval)) {
			go s.generate(s.drawGateway(), body)
		}
	}()
	return "crashing request " + body, nil
}

// generate makes an attempt whose response does not matter.
func (s *Soak) generate(g *gateway, body string) {
	ctx, cancel := context.WithTimeout(context.Background(), attemptTimeout)
	defer cancel()
	s.mu.Lock()
	req := fleet.CallerRequest{ID: fleet.NextID(), Key: s.callersKey, Body: body}
	s.mu.Unlock()
	fleet.StreamWith(ctx, g.settings.Callers, fleet.CheckPath, req, func(string) {})
}

// checkQuarantine requires that a request reaches few servers once three servers have crashed
// under it and the gateways had time to report the crashes to each other.
func checkQuarantine(servers []*fleet.Server, bodies []string) (violations []string) {
	for _, body := range bodies {
		var executedAt []time.Time
		for _, srv := range servers {
			for _, execution := range srv.Executions() {
				if execution.Body == body {
					executedAt = append(executedAt, execution.At)
				}
			}
		}
		if len(executedAt) <= 3 {
			continue
		}
		slices.SortFunc(executedAt, time.Time.Compare)
		lateCount := 0
		for _, t := range executedAt {
			if t.Sub(executedAt[2]) > crashDelay+quarantineTimeout {
				lateCount++
			}
		}
		if lateCount > maxLateExecutions {
			violations = append(violations, fmt.Sprintf("%s reached servers %d times, %d of them more than %v after the third crash", body, len(executedAt), lateCount, quarantineTimeout))
		}
	}
	return violations
}
