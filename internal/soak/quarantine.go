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
	// crashingPart is a prompt part on which model servers crash, commonPart the first one of all prompts.
	crashingPart, commonPart = "bad1", "5c"
	// crashingPartInterval is the mean time between two requests with crashingPart.
	crashingPartInterval = 300 * time.Millisecond
	// partCrashes is the number of crashes under a part after which quarantineTimeout begins.
	partCrashes = 5
)

// promptParts returns the prompt parts of a sound request.
func (s *Soak) promptParts() []string {
	if s.FaultKinds < minPartFaultKinds {
		return nil
	}
	return []string{commonPart, "e0"}
}

// sendCrashingParts starts a caller that keeps sending requests with crashingPart, no two alike, to any
// gateway to the end of the run.
func sendCrashingParts(s *Soak, ctx context.Context) (string, func()) {
	go func() {
		for wait.For(ctx, s.drawDuration(0, 2*crashingPartInterval)) {
			go s.generate(s.drawGateway(), "part of "+fleet.NextID(), commonPart, crashingPart, "e0")
		}
	}()
	return "requests with a crashing prompt part", nil
}

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
func (s *Soak) generate(g *gateway, body string, parts ...string) {
	ctx, cancel := context.WithTimeout(context.Background(), attemptTimeout)
	defer cancel()
	s.mu.Lock()
	req := fleet.CallerRequest{ID: fleet.NextID(), Key: s.callersKey, Body: body, Parts: parts}
	s.mu.Unlock()
	fleet.StreamWith(ctx, g.settings.Callers, fleet.CheckPath, req, func(string) {})
}

// checkQuarantine requires that a request reaches few servers once three servers have crashed
// under it and the gateways had time to report the crashes to each other.
func checkQuarantine(servers []*fleet.Server, bodies []string) (violations []string) {
	for _, body := range bodies {
		violations = append(violations, checkExecutions(servers, body, 3, func(e fleet.Execution) bool { return e.Body == body })...)
	}
	return violations
}

// checkPartQuarantine requires the same of all requests with crashingPart.
func checkPartQuarantine(servers []*fleet.Server) []string {
	b := fleet.Behavior{CrashOnPart: crashingPart}
	return checkExecutions(servers, "prompt part "+crashingPart, partCrashes, func(e fleet.Execution) bool { return b.CrashesOn(e.Header, "") })
}

// checkExecutions requires that few of the matching requests reach servers later than quarantineTimeout
// after a number of crashes.
func checkExecutions(servers []*fleet.Server, name string, crashes int, match func(fleet.Execution) bool) []string {
	var executedAt []time.Time
	for _, srv := range servers {
		for _, execution := range srv.Executions() {
			if match(execution) {
				executedAt = append(executedAt, execution.At)
			}
		}
	}
	if len(executedAt) <= crashes {
		return nil
	}
	slices.SortFunc(executedAt, time.Time.Compare)
	lateCount := 0
	for _, t := range executedAt {
		if t.Sub(executedAt[crashes-1]) > crashDelay+quarantineTimeout {
			lateCount++
		}
	}
	if lateCount <= maxLateExecutions {
		return nil
	}
	return []string{fmt.Sprintf("%s reached servers %d times, %d of them more than %v after crash %d", name, len(executedAt), lateCount, quarantineTimeout, crashes)}
}
