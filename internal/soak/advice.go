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
	// limitWindow is the time in which what reaches a server that names a limit is counted,
	// calmLimit the limit that is checked once nothing else is harmed.
	limitWindow = 4 * time.Second
	calmLimit   = 2.8
	// adviceBound is how long after a server has said something of itself all gateways keep to
	// it.
	adviceBound = time.Second
)

// nameLimit has a server say that it takes few requests.
func nameLimit(s *Soak, _ context.Context) (string, func()) {
	srv, limit := s.drawServer(), float64(s.intN(40))
	srv.Say(fleet.NamesLimit(limit))
	return fmt.Sprintf("limit of %v a second at %s", limit, srv.ID), func() { srv.Say(nil) }
}

// drawServer draws a server, whether it has ended or not.
func (s *Soak) drawServer() *fleet.Server {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.servers[s.rng.IntN(len(s.servers))]
}

// adviseCalmly has fresh servers say things of themselves behind all faults, while callers ask,
// a gateway is killed and the store is away: all gateways keep to what was said.
func (s *Soak) adviseCalmly(ctx context.Context) (faults []string) {
	limited, err := s.add(fleet.DeskService)
	if err != nil {
		return []string{err.Error()}
	}
	s.press(ctx, adviceBound)
	limited.Say(fleet.NamesLimit(calmLimit))
	named := time.Now()
	victim := s.nodes[0]
	time.AfterFunc(adviceBound, func() {
		s.fleet.Store.SetFault(fleet.Busy)
		victim.signal(syscall.SIGKILL)
		victim.restart(ctx, s.Binary, longest)
	})
	time.AfterFunc(2*adviceBound, func() { s.fleet.Store.SetFault(fleet.Sound) })
	s.press(ctx, adviceBound+limitWindow)
	if got, most := mostIn(limited, named.Add(adviceBound)), 1.5*calmLimit*limitWindow.Seconds()+5; float64(got) > most {
		faults = append(faults, fmt.Sprintf("%s names a limit of %v a second and got %d requests in %v", limited.ID, calmLimit, got, limitWindow))
	}
	return faults
}

// press makes plain requests to all gateways for a time.
func (s *Soak) press(ctx context.Context, d time.Duration) {
	for begun := time.Now(); time.Since(begun) < d; wait.For(ctx, 10*time.Millisecond) {
		for _, g := range s.nodes {
			s.call(ctx, g)
		}
	}
}

// mostIn is the most that reached a server in any limitWindow from a time on.
func mostIn(srv *fleet.Server, from time.Time) (most int) {
	at := slices.DeleteFunc(srv.Arrived(), func(a fleet.Arrival) bool { return a.At.Before(from) })
	for first, i := 0, 0; i < len(at); i++ {
		for at[i].At.Sub(at[first].At) >= limitWindow {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}
