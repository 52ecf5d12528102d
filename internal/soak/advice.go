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
	// calmRest is the rest that a server asks for then, restKnown how long after its answer the
	// platform counts nothing: a second attempt that lost its race is cut before its answer, and
	// the next request is the first to hear of the rest.
	calmRest, restKnown = 2 * time.Second, 500 * time.Millisecond
	// adviceBound is how long after a server has said something of itself all gateways keep to
	// it.
	adviceBound = time.Second
)

// nameLimit has a server say that it takes few requests.
func nameLimit(s *Soak, _ context.Context) (string, func()) {
	srv, limit := s.drawServer(), float64(s.intN(40))
	srv.SetHeaders(fleet.RateLimitHeaders(limit))
	return fmt.Sprintf("limit of %v a second at %s", limit, srv.ID), func() { srv.SetHeaders(nil) }
}

// sayLeaving has a server say in its answers only that it is leaving, and end some time later.
func sayLeaving(s *Soak, _ context.Context) (string, func()) {
	srv := s.victim()
	if srv == nil {
		return "nothing to end", nil
	}
	srv.SetHeaders(fleet.LeavingHeaders())
	return srv.ID + " says that it is leaving", func() {
		srv.Kill()
		srv.RemoveEntry()
		s.replace(srv)
	}
}

// tire has a server turn requests away and ask for rest.
func tire(s *Soak, _ context.Context) (string, func()) {
	srv, rest := s.drawServer(), s.duration(shortest, longest)
	undo := srv.RejectWithBackoff(rest)
	return fmt.Sprintf("%s asks for %v of rest", srv.ID, rest.Round(time.Millisecond)), undo
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
	var fresh [3]*fleet.Server
	for i := range fresh {
		srv, err := s.addIn(fleet.DeskService, ownZone)
		if err != nil {
			return []string{err.Error()}
		}
		fresh[i] = srv
	}
	limited, leaving, tired := fresh[0], fresh[1], fresh[2]
	s.press(ctx, adviceBound)
	limited.SetHeaders(fleet.RateLimitHeaders(calmLimit))
	leaving.SetHeaders(fleet.LeavingHeaders())
	tired.RejectWithBackoff(calmRest)
	named := time.Now()
	victim := s.nodes[0]
	time.AfterFunc(adviceBound, func() {
		s.fleet.Store.SetFault(fleet.Busy)
		victim.signal(syscall.SIGKILL)
		victim.restart(ctx, s.Binary, longest)
	})
	time.AfterFunc(2*adviceBound, func() { s.fleet.Store.SetFault(fleet.NoFault) })
	via := s.press(ctx, adviceBound+limitWindow)
	if got, most := mostIn(limited, named.Add(adviceBound)), 1.5*calmLimit*limitWindow.Seconds()+5; float64(got) > most {
		faults = append(faults, fmt.Sprintf("%s names a limit of %v a second and got %d requests in %v", limited.ID, calmLimit, got, limitWindow))
	}
	if len(leaving.Arrivals()) == 0 {
		faults = append(faults, leaving.ID+" was never asked")
	}
	for _, a := range leaving.Arrivals() {
		// A gateway that starts again knows nothing at first.
		if late := a.At.Sub(named); late > adviceBound && via[a.ID] != victim {
			faults = append(faults, fmt.Sprintf("%s got %s %v after it said that it was leaving", leaving.ID, a.ID, late))
		}
	}
	return append(faults, checkRest(tired, via, victim)...)
}

// checkRest requires that no gateway but one that started again asks a server within the time of
// rest that it was asked for.
func checkRest(tired *fleet.Server, via map[string]*gateway, restarted *gateway) (faults []string) {
	turned := make(map[*gateway]time.Time)
	for _, a := range tired.Arrivals() {
		g := via[a.ID]
		if g == nil || g == restarted {
			continue
		}
		at, asked := turned[g]
		if asked && a.At.Sub(at) < restKnown {
			continue
		}
		if asked && a.At.Sub(at) < calmRest {
			faults = append(faults, fmt.Sprintf("%s got %s from %s %v after it asked it for %v of rest", tired.ID, a.ID, g.node.Name, a.At.Sub(at), calmRest))
			continue
		}
		turned[g] = a.At
	}
	if len(turned) == 0 {
		faults = append(faults, tired.ID+" was never asked")
	}
	return faults
}

// press makes plain requests to all gateways for a time, and returns which went to which.
func (s *Soak) press(ctx context.Context, d time.Duration) (via map[string]*gateway) {
	via = make(map[string]*gateway)
	for begun := time.Now(); time.Since(begun) < d; wait.For(ctx, 10*time.Millisecond) {
		for _, g := range s.nodes {
			via[s.call(ctx, g)] = g
		}
	}
	return via
}

// mostIn is the most that reached a server in any limitWindow from a time on.
func mostIn(srv *fleet.Server, from time.Time) (most int) {
	at := slices.DeleteFunc(srv.Arrivals(), func(a fleet.Arrival) bool { return a.At.Before(from) })
	for first, i := 0, 0; i < len(at); i++ {
		for at[i].At.Sub(at[first].At) >= limitWindow {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}
