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
	// maxFrozenSends is the number of requests that a gateway may send after its pause though their callers have left:
	// one whose goroutine was stopped between its last look at the caller and the write.
	maxFrozenSends = 1
	// goneTimeout is how long after its caller has left a request may still reach a server.
	goneTimeout = 500 * time.Millisecond
	// leaveTimeout is how long after it goes on a gateway is watched.
	leaveTimeout = time.Second
)

// checkLeaving pauses each gateway after all faults while callers send requests and leave, and checks that
// servers get none of them.
func (s *Soak) checkLeaving(ctx context.Context) (violations []string) {
	type leaver struct {
		gateway *gateway
		at      time.Time
	}
	left := make(map[string]leaver)
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
				left[r.ID] = leaver{g, time.Now()}
				mu.Unlock()
			})
		}
	}
	wg.Wait()
	wait.For(ctx, pauseTime+leaveTimeout)
	s.mu.Lock()
	defer s.mu.Unlock()
	late := make(map[*gateway][]string)
	for _, srv := range s.servers {
		for _, a := range srv.Arrivals() {
			if l, ok := left[a.ID]; ok && a.At.Sub(l.at) > goneTimeout {
				late[l.gateway] = append(late[l.gateway], fmt.Sprintf("%s received %s from %s %v after its caller had left", srv.ID, a.ID, l.gateway.settings.Name, a.At.Sub(l.at)))
			}
		}
	}
	for _, list := range late {
		if len(list) > maxFrozenSends {
			violations = append(violations, list...)
		}
	}
	return violations
}
