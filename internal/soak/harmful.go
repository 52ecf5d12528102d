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
	// harmfulBody begins the bodies under which model servers end, endsAfter their first
	// event.
	harmfulBody = "harmful-"
	endsAfter   = 60 * time.Millisecond
	// harmfulEvery is the mean time between two attempts of a harmful request.
	harmfulEvery = 150 * time.Millisecond
	// toldAfter is how long after the third end under a request it may be sent on without
	// limit, mostAfter how many servers it may reach later.
	toldAfter, mostAfter = 3 * time.Second, 3
)

// harmful has a caller come again and again, at any gateway, with a request under which
// model servers end; each time it is another one.
func harmful(s *Soak, ctx context.Context) (string, func()) {
	s.mu.Lock()
	body := fmt.Sprint(harmfulBody, len(s.bodies))
	s.bodies = append(s.bodies, body)
	s.mu.Unlock()
	// It goes on to the end of the run: a verdict must outlast what befalls gateways.
	go func() {
		for wait.For(ctx, s.duration(0, 2*harmfulEvery)) {
			go s.generate(s.drawNode(), body)
		}
	}()
	return "request " + body, nil
}

// generate makes an attempt whose answer does not matter.
func (s *Soak) generate(g *gateway, body string) {
	ctx, cancel := context.WithTimeout(context.Background(), attemptTimeout)
	defer cancel()
	s.mu.Lock()
	as := fleet.CallerRequest{ID: fleet.NextID(), Key: s.key, Body: body}
	s.mu.Unlock()
	fleet.StreamWith(ctx, g.node.Callers, fleet.CheckPath, as, func(string) {})
}

// checkHarmful requires that a request reaches few servers once three have ended under it
// and all could be told.
func checkHarmful(servers []*fleet.Server, bodies []string) (faults []string) {
	for _, body := range bodies {
		var at []time.Time
		for _, srv := range servers {
			for _, seen := range srv.Executions() {
				if seen.Body == body {
					at = append(at, seen.At)
				}
			}
		}
		if len(at) <= 3 {
			continue
		}
		slices.SortFunc(at, time.Time.Compare)
		late := 0
		for _, t := range at {
			if t.Sub(at[2]) > endsAfter+toldAfter {
				late++
			}
		}
		if late > mostAfter {
			faults = append(faults, fmt.Sprintf("%s reached servers %d times, %d of them later than %v after the third", body, len(at), late, toldAfter))
		}
	}
	return faults
}
