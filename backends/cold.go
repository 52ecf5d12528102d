package backends

import (
	"time"

	"kingcupplank.example/kingcup/cells"
	"kingcupplank.example/kingcup/coldstart"
)

// SharedClock is a steady clock that all processes share, as one of them knows it.
type SharedClock struct {
	Now   time.Duration
	Known bool
}

// share is this process's part of what cold servers bear, among those that send to a
// service of so many servers; mu is held.
func (r *Registry) share(servers int) *coldstart.Share {
	if cells.Divided(servers, r.count) {
		return r.inCell
	}
	return r.inAll
}

// noTicket stands for the last ticket of a server where none was used.
const noTicket = -1

// ticketNow is the ticket of a cold server that is valid now, and whether this process may
// use it. A process that does not know the time that the others go by sends nothing: its part
// is another's.
func (s *server) ticketNow(share *coldstart.Share, rate float64, at SharedClock, now time.Duration) (ticket int64, mine bool) {
	switch {
	case share.Alone():
		ticket = coldstart.Ticket(rate, now)
	case at.Known:
		ticket = coldstart.Ticket(rate, at.Now)
	default:
		return noTicket, false
	}
	return ticket, ticket != s.ticket && share.Mine(s.hash, ticket)
}

// takeTicket uses up the ticket of a cold server that a request goes to; mu is held.
func (r *Registry) takeTicket(s *server, q Query, of int, now time.Duration) {
	if rate := r.traits(q.Service).ColdRate; rate > 0 && now < s.coldUntil {
		s.ticket, _ = s.ticketNow(r.share(of), rate, q.Clock, now)
	}
}

// ReportedCold notes that a server itself says how much longer it is cold.
func (r *Registry) ReportedCold(at Server, coldFor, now time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s := r.current(at); s != nil {
		s.coldUntil = now + coldFor
	}
}
