package soak

import (
	"context"
	"fmt"
	"time"

	"kingcupplank.example/kingcup/internal/standin/fleet"
	"kingcupplank.example/kingcup/internal/wait"
)

const (
	// cordonTimeout is how long after the operator's request a cordoned failure domain may still
	// get requests once there are no more faults. cordonCheckTime is how long it is checked after
	// that.
	cordonTimeout   = time.Second
	cordonCheckTime = time.Second
)

// checkCordon cordons a failure domain after all faults and checks that no gateway sends requests
// there, whichever faults it went through.
func (s *Soak) checkCordon(ctx context.Context) (violations []string) {
	s.fleet.Cordon(cordonedDomain)
	cordonedAt := time.Now()
	defer s.fleet.Uncordon(cordonedDomain)
	for time.Since(cordonedAt) < cordonTimeout+cordonCheckTime {
		for _, g := range s.gateways {
			s.call(ctx, g)
		}
		wait.For(ctx, 10*time.Millisecond)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, srv := range s.servers {
		if srv.FailureDomain != cordonedDomain {
			continue
		}
		for _, execution := range srv.Executions() {
			if delay := execution.At.Sub(cordonedAt); delay > cordonTimeout {
				violations = append(violations, fmt.Sprintf("%s received %s %v after its failure domain was cordoned", srv.ID, execution.ID, delay))
			}
		}
	}
	return violations
}

// call sends a plain request and a generation whose responses do not matter, and returns the id
// of the plain request.
func (s *Soak) call(ctx context.Context, g *gateway) string {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	s.mu.Lock()
	key := s.callersKey
	s.mu.Unlock()
	id := fleet.NextID()
	fleet.CallWith(ctx, g.settings.Callers, fleet.SafePath, fleet.CallerRequest{ID: id, Key: key})
	go s.generate(g, "after the faults")
	return id
}
