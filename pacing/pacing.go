// Package pacing bounds what many processes together send to a backend server that takes no
// more than a certain rate: one that has just started, or that names a limit. It is pure.
//
// Few processes have an equal part of the bound each, and use it at once. Of many, each of
// which may send one request, the sum would be too much at once: there the rate is cut into
// tickets, numbered on a clock that all share, and rendezvous hashing gives each ticket to
// one process. Neither way needs a message. Processes that disagree on who is there disagree
// on the tickets of those only.
package pacing

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Limit is what a server takes of all processes together.
type Limit struct {
	// Rate is the requests a second that it takes for long, 0 for no bound.
	Rate float64
	// Most is the most requests in any span of Window.
	Most   float64
	Window time.Duration
}

// Clock is a steady clock that all processes share, as one of them knows it.
type Clock struct {
	Now   time.Duration
	Known bool
}

// Share is this process's part among those that send to the same servers.
type Share struct {
	self   uint64
	others []uint64
}

// NewShare returns the part of a process among others.
func NewShare(self string, others []string) *Share {
	s := &Share{self: xxhash.Sum64String(self), others: make([]uint64, 0, len(others))}
	for _, name := range others {
		s.others = append(s.others, xxhash.Sum64String(name))
	}
	return s
}

// count is the number of processes; a nil share is of one.
func (s *Share) count() int {
	if s == nil {
		return 1
	}
	return len(s.others) + 1
}

const (
	// usable is the part of the bound that is given out: requests that are sent in two
	// windows may arrive in one.
	usable = 0.9
	// leastPart is the part of the rate that equal parts must give for long.
	leastPart = 0.5
)

// equalPart is what each process may send a second behind a first request at once, false
// where there are too many for that.
func (s *Share) equalPart(l Limit) (perSecond float64, ok bool) {
	n := float64(s.count())
	together := (usable*l.Most - n) / l.Window.Seconds()
	return together / n, together >= leastPart*l.Rate
}

// mine reports whether a ticket of a server, by the hash of its name, is this process's.
func (s *Share) mine(server uint64, ticket int64) bool {
	if s.count() == 1 {
		return true
	}
	place := mix(server ^ mix(uint64(ticket)))
	own := mix(s.self ^ place)
	for _, o := range s.others {
		if score := mix(o ^ place); score > own || score == own && o < s.self {
			return false
		}
	}
	return true
}

// mix spreads the bits of a number (the finalizer of splitmix64).
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// Pacer is what this process has sent to one server. The zero value has sent nothing. It is
// for one goroutine at a time.
type Pacer struct {
	// spent counts what was sent of the equal part, less what has come back until at.
	spent float64
	at    time.Duration
	// used is the ticket behind the last that was used.
	used int64
}

// May reports whether a request may be sent to a server, by the hash of its name, now. A
// process that does not know the clock that tickets go by sends nothing where there are
// tickets: its part is another's.
func (p *Pacer) May(s *Share, l Limit, server uint64, shared Clock, now time.Duration) bool {
	if l.Rate <= 0 {
		return true
	}
	if perSecond, ok := s.equalPart(l); ok {
		return p.left(perSecond, now) <= 0
	}
	ticket, known := s.ticket(l, shared, now)
	return known && ticket >= p.used && s.mine(server, ticket)
}

// Sent notes that a request was sent.
func (p *Pacer) Sent(s *Share, l Limit, shared Clock, now time.Duration) {
	if perSecond, ok := s.equalPart(l); ok {
		p.spent, p.at = p.left(perSecond, now)+1, now
		return
	}
	if ticket, known := s.ticket(l, shared, now); known {
		p.used = ticket + 1
	}
}

// left is what was sent and has not come back.
func (p *Pacer) left(perSecond float64, now time.Duration) float64 {
	return max(0, p.spent-(now-p.at).Seconds()*perSecond)
}

// ticket is the one that is valid now; a process that is alone needs no shared clock.
func (s *Share) ticket(l Limit, shared Clock, now time.Duration) (int64, bool) {
	if s.count() == 1 {
		shared = Clock{Now: now, Known: true}
	}
	return int64(shared.Now.Seconds() * l.Rate), shared.Known
}
