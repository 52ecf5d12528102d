package soak

import (
	"context"
	"fmt"
	"time"

	"kingcupplank.example/kingcup/internal/standin/fleet"
	"kingcupplank.example/kingcup/internal/wait"
)

const (
	// emptyBound is how long after the operator's request a zone may get requests once
	// nothing is harmed any more, emptyLook how long it is looked at.
	emptyBound = time.Second
	emptyLook  = time.Second
)

// emptyCalmly empties a zone behind all faults: whatever has befallen the gateways, none of
// them sends anything there.
func (s *Soak) emptyCalmly(ctx context.Context) (faults []string) {
	s.fleet.Cordon(emptiedZone)
	asked := time.Now()
	defer s.fleet.Uncordon(emptiedZone)
	for time.Since(asked) < emptyBound+emptyLook {
		for _, g := range s.nodes {
			s.call(ctx, g)
		}
		wait.For(ctx, 10*time.Millisecond)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, srv := range s.servers {
		if srv.FailureDomain != emptiedZone {
			continue
		}
		for _, seen := range srv.Executions() {
			if late := seen.At.Sub(asked); late > emptyBound {
				faults = append(faults, fmt.Sprintf("%s got %s %v after its zone was emptied", srv.ID, seen.ID, late))
			}
		}
	}
	return faults
}

// call makes a plain request and a generation whose answers do not matter, and returns the id of
// the first.
func (s *Soak) call(ctx context.Context, g *gateway) string {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	s.mu.Lock()
	key := s.key
	s.mu.Unlock()
	id := fleet.NextID()
	fleet.CallWith(ctx, g.node.Callers, fleet.SafePath, fleet.CallerRequest{ID: id, Key: key})
	go s.generate(g, "after the faults")
	return id
}
