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

// rejectBesideKills makes all servers of a service reject requests while the gateways are killed one after
// the other.
func rejectBesideKills(s *Soak, ctx context.Context) (string, func()) {
	service := s.drawServer().Service
	s.mu.Lock()
	var recovered []func()
	for _, srv := range s.servers {
		if srv.Service == service {
			recovered = append(recovered, srv.RejectAll())
		}
	}
	s.mu.Unlock()
	done := make(chan struct{})
	go func() {
		defer close(done)
		for _, g := range s.gateways {
			g.signal(syscall.SIGKILL)
			g.restart(context.WithoutCancel(ctx), s.Binary, maxFaultDuration)
			if !wait.For(ctx, minFaultDuration) {
				return
			}
		}
	}()
	return "servers of " + service + " reject while gateways are killed in series", func() {
		<-done
		for _, undo := range recovered {
			undo()
		}
	}
}

// checkRetries requires that in each window the arrivals beyond the first of their requests at a service are
// within the bound on all gateways. Requests count in the window, the one before it or the one half a window
// before it, whichever has most. A run that a server continues from a copy is no further arrival.
func checkRetries(servers []*fleet.Server, attempts []Attempt) (violations []string) {
	const ratio, extra, window = fleet.RetryRatio, fleet.RetryExtra, fleet.RetryWindow
	arrivals, continued := make(map[string][]fleet.Arrival), make(map[string]int)
	for _, srv := range servers {
		for _, e := range srv.Executions() {
			if e.FromCopy {
				continued[e.ID]++
			}
		}
		arrivals[srv.Service] = append(arrivals[srv.Service], srv.Arrivals()...)
	}
	sent, isAttempt := make(map[string][]time.Time), make(map[string]bool)
	for _, a := range attempts {
		service := fleet.DeskService
		if a.Path == fleet.PlanPath || a.Path == fleet.CheckPath {
			service = fleet.ModelService
		}
		sent[service], isAttempt[a.Request.ID] = append(sent[service], a.SentAt), true
	}
	for name, list := range arrivals {
		slices.SortFunc(list, func(a, b fleet.Arrival) int { return a.At.Compare(b.At) })
		seen := make(map[string]bool)
		var retries []time.Time
		for _, a := range list {
			switch {
			case !seen[a.ID]:
				seen[a.ID] = true
				if !isAttempt[a.ID] {
					sent[name] = append(sent[name], a.At)
				}
			case continued[a.ID] > 0:
				continued[a.ID]--
			default:
				retries = append(retries, a.At)
			}
		}
		for _, from := range retries {
			count := func(times []time.Time, shift time.Duration) (n int) {
				for _, t := range times {
					if d := t.Sub(from) - shift; d >= 0 && d < window {
						n++
					}
				}
				return n
			}
			most := max(count(sent[name], 0), count(sent[name], -window), count(sent[name], -window/2))
			if n := count(retries, 0); float64(n) > ratio*float64(most)+extra {
				violations = append(violations, fmt.Sprintf("%s got %d retries in %v from %v, with %d requests", name, n, window, from, most))
				break
			}
		}
	}
	return violations
}
