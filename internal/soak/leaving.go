package soak

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"time"

	"kingcupplank.example/kingcup/internal/standin/fleet"
	"kingcupplank.example/kingcup/internal/wait"
)

const (
	// leavingCallers is the number of callers that leave a gateway which is paused for pauseTime. They leave after
	// leaveAfter, before their requests are read.
	leavingCallers        = 40
	leaveAfter, pauseTime = 100 * time.Millisecond, 700 * time.Millisecond
	// leaveTimeout is how long after it goes on a gateway is watched.
	leaveTimeout = time.Second
)

// checkLeaving pauses each gateway after all faults while callers send requests and leave, and checks that no
// server gets any of them.
func (s *Soak) checkLeaving(ctx context.Context) (violations []string) {
	leftAt := make(map[string]time.Time)
	var mu sync.Mutex
	var wg sync.WaitGroup
	s.mu.Lock()
	key := s.callersKey
	s.mu.Unlock()
	for _, g := range s.gateways {
		g.signal(syscall.SIGSTOP)
		time.AfterFunc(pauseTime, func() { g.signal(syscall.SIGCONT) })
		for i := range leavingCallers {
			wg.Go(func() {
				callCtx, cancel := context.WithTimeout(ctx, leaveAfter)
				defer cancel()
				r := fleet.CallerRequest{ID: fleet.NextID(), Key: key}
				path := servedPaths[i%len(servedPaths)]
				if path == fleet.PlanPath || path == fleet.CheckPath {
					fleet.StreamWith(callCtx, g.settings.Callers, path, r, func(string) {})
				} else {
					fleet.CallWith(callCtx, g.settings.Callers, path, r)
				}
				mu.Lock()
				leftAt[r.ID] = time.Now()
				mu.Unlock()
			})
		}
	}
	wg.Wait()
	wait.For(ctx, pauseTime+leaveTimeout)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, srv := range s.servers {
		for _, a := range srv.Arrivals() {
			if at, ok := leftAt[a.ID]; ok && a.At.After(at) {
				violations = append(violations, fmt.Sprintf("%s received %s %v after its caller had left", srv.ID, a.ID, a.At.Sub(at)))
			}
		}
	}
	return violations
}
