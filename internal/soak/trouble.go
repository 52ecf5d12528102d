package soak

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"kingcupplank.example/kingcup/internal/standin/fleet"
)

// maxTogether is how long a request may be at two servers.
const maxTogether = 400 * time.Millisecond

// troubleServer makes a server misbehave.
func troubleServer(s *Soak, _ context.Context) (string, func()) {
	troubles := []fleet.Trouble{
		{RejectShare: 0.5, SecondAnswer: time.Millisecond}, {RejectShare: 0.5, SecondAnswer: 30 * time.Millisecond}, {UnmarkedShare: 0.3}, {EndlessShare: 0.3}, {WorksOn: true},
	}
	srv, t := s.drawServer(), troubles[s.drawInt(len(troubles))]
	return fmt.Sprintf("%s misbehaves: %+v", srv.ID, t), srv.SetTrouble(t)
}

// answerAgain makes a server send answers a second time, late, also to calls and without a name, beside rejections with
// any status.
func answerAgain(s *Soak, _ context.Context) (string, func()) {
	srv := s.drawServer()
	again := fleet.Again{Share: 0.5, MaxDelay: s.drawDuration(0, 3*time.Second), AtNext: s.drawInt(2) == 0, Unnamed: s.drawInt(3) == 0}
	statuses := []int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout}
	t := fleet.Trouble{RejectShare: 0.4, RejectStatus: statuses[s.drawInt(len(statuses))], AnswersAgain: again}
	return fmt.Sprintf("%s answers again: %+v", srv.ID, t), srv.SetTrouble(t)
}

// readLate makes a server read late what has arrived, as one that is paused.
func readLate(s *Soak, _ context.Context) (string, func()) {
	srv, t := s.drawServer(), fleet.Trouble{ReadsLate: s.drawDuration(minFaultDuration, maxFaultDuration)}
	return fmt.Sprintf("%s reads late: %+v", srv.ID, t), srv.SetTrouble(t)
}

// breakBesideWork resets the connections of a model server that works on after a close.
func breakBesideWork(s *Soak, _ context.Context) (string, func()) {
	srv := s.drawServer()
	recovered := srv.SetTrouble(fleet.Trouble{WorksOn: true})
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.proxies {
		if p.Address == srv.Address {
			time.AfterFunc(minFaultDuration, p.ResetOpen)
		}
	}
	return "connections are reset at " + srv.ID + ", which works on", recovered
}

// span is a time, which goes on if to is zero.
type span struct{ from, to time.Time }

func (p span) overlaps(from, to time.Time) bool {
	return p.from.Before(to) && (p.to.IsZero() || p.to.After(from))
}

// checkTogether requires that a request is at two servers for a moment only, while connections to the first one
// are not disrupted.
func (s *Soak) checkTogether() (violations []string) {
	type work struct {
		fleet.Working
		server *fleet.Server
	}
	works := make(map[string][]work)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, srv := range s.servers {
		for _, w := range srv.Workings() {
			if !w.IsStream {
				continue
			}
			works[w.ID] = append(works[w.ID], work{w, srv})
		}
	}
	for id, list := range works {
		for _, a := range list {
			for _, b := range list {
				together := b.To.Sub(b.From)
				if a.To.Before(b.To) {
					together = a.To.Sub(b.From)
				}
				if a.server == b.server || b.From.Before(a.From) || together <= maxTogether || s.wasDisrupted(a.server, b.From, a.To) {
					continue
				}
				violations = append(violations, fmt.Sprintf("%s was at %s and %s for %v", id, a.server.ID, b.server.ID, together))
			}
		}
	}
	return violations
}

// wasDisrupted reports whether connections to a server were disrupted within a time or shortly before. mu must be
// held.
func (s *Soak) wasDisrupted(srv *fleet.Server, from, to time.Time) bool {
	const before = time.Second
	for _, p := range s.proxies {
		if p.Address == srv.Address && p.wasDisrupted(from.Add(-before), to) {
			return true
		}
	}
	return s.stopped[srv]
}
