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
	// MaxInWindow is the most requests in any span of Window.
	MaxInWindow float64
	Window      time.Duration
	// Lasting keeps what is sent for long to Rate, where Most would allow more.
	Lasting bool
}

const (
	// namedWindow, namedOverage and namedTolerance are the platform's bound for a server that
	// names a limit: so many times the limit, and so many requests more, in a window.
	namedWindow    = 4 * time.Second
	namedOverage   = 1.5
	namedTolerance = 5
	// leastNamed is the requests a second that are sent at the least. Only an answer says that
	// a limit has ended, and a server that gets nothing gives none.
	leastNamed = 0.1
)

// Named is the bound on a server that names a limit of so many requests a second.
func Named(perSecond float64) Limit {
	return Limit{
		Rate: max(perSecond, leastNamed), Lasting: true,
		MaxInWindow: namedOverage*perSecond*namedWindow.Seconds() + namedTolerance, Window: namedWindow,
	}
}

// And is a bound that keeps both.
func (l Limit) And(o Limit) Limit {
	switch {
	case l.Rate <= 0:
		return o
	case o.Rate <= 0:
		return l
	}
	return Limit{
		Rate: min(l.Rate, o.Rate), Lasting: l.Lasting || o.Lasting,
		MaxInWindow: min(l.MaxInWindow, o.MaxInWindow), Window: max(l.Window, o.Window),
	}
}

// SharedTime is a steady clock that all processes share, as one of them knows it.
type SharedTime struct {
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
	// leastPart is the part of the rate that equal parts must give for long, leastLasting that
	// where nothing beyond the rate makes up for it.
	leastPart    = 0.5
	leastLasting = 0.8
	// burstTime is the time whose part of a lasting rate may be sent at once: requests come in
	// bursts, and those that wait ask each few ms.
	burstTime = 100 * time.Millisecond
)

// part is what each process may send: some requests at once, and so many a second.
type part struct {
	burst, perSecond float64
}

// equalPart is what each process may send where all have the same part, false where there are
// too many for that.
func (s *Share) equalPart(l Limit) (part, bool) {
	n, window := float64(s.count()), l.Window.Seconds()
	together := (usable*l.MaxInWindow - n) / window
	least := leastPart
	burst := 1.0
	if l.Lasting {
		together, least = min(together, l.Rate), leastLasting
		burst = max(1, min(together*burstTime.Seconds(), usable*l.MaxInWindow-window*together)/n)
	}
	return part{burst, together / n}, together >= least*l.Rate
}

// Part is the requests a second that this process may send for long.
func (s *Share) Part(l Limit) float64 {
	if part, ok := s.equalPart(l); ok {
		return part.perSecond
	}
	return l.Rate / float64(s.count())
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
	// used is when the last ticket that was used ended, on the shared clock.
	used time.Duration
}

// May reports whether a request may be sent to a server, by the hash of its name, now. A
// process that does not know the clock that tickets go by sends nothing where there are
// tickets: its part is another's.
func (p *Pacer) May(s *Share, l Limit, server uint64, shared SharedTime, now time.Duration) bool {
	if l.Rate <= 0 {
		return true
	}
	if part, ok := s.equalPart(l); ok {
		return p.left(part, now) <= part.burst-1
	}
	t, known := s.ticket(l, shared, now)
	return known && !p.hasUsed(t) && s.mine(server, t.number)
}

// lookAhead is how many tickets are looked through for the next of this process.
const lookAhead = 64

// Next is how long it is until a request may be sent, at the least.
func (p *Pacer) Next(s *Share, l Limit, server uint64, shared SharedTime, now time.Duration) time.Duration {
	if l.Rate <= 0 {
		return 0
	}
	if part, ok := s.equalPart(l); ok {
		over := max(0, p.left(part, now)-(part.burst-1))
		return time.Duration(over / part.perSecond * float64(time.Second))
	}
	t, known := s.ticket(l, shared, now)
	if !known {
		return time.Duration(float64(time.Second) / s.Part(l))
	}
	if s.count() == 1 {
		shared.Now = now
	}
	span := t.until - t.from
	for range lookAhead {
		if !p.hasUsed(t) && s.mine(server, t.number) {
			return max(0, t.from-shared.Now)
		}
		t = ticket{t.number + 1, t.until, t.until + span}
	}
	return t.from - shared.Now
}

// Sent notes that a request was sent.
func (p *Pacer) Sent(s *Share, l Limit, shared SharedTime, now time.Duration) {
	if part, ok := s.equalPart(l); ok {
		p.spent, p.at = p.left(part, now)+1, now
		return
	}
	if t, known := s.ticket(l, shared, now); known {
		p.used = t.until
	}
}

// hasUsed reports whether a request was sent in the time of a ticket. Rates change and the
// shared clock may fall: a time beyond the ticket's is of another rate or of before the fall.
func (p *Pacer) hasUsed(t ticket) bool { return t.from < p.used && p.used <= t.until }

// left is what was sent and has not come back.
func (p *Pacer) left(o part, now time.Duration) float64 {
	return max(0, p.spent-(now-p.at).Seconds()*o.perSecond)
}

// ticket lets one process send one request in a span of the shared clock.
type ticket struct {
	number      int64
	from, until time.Duration
}

// ticket is the one that is valid now; a process that is alone needs no shared clock.
func (s *Share) ticket(l Limit, shared SharedTime, now time.Duration) (ticket, bool) {
	if s.count() == 1 {
		shared = SharedTime{Now: now, Known: true}
	}
	span := time.Duration(float64(time.Second) / l.Rate)
	n := int64(shared.Now / span)
	return ticket{n, time.Duration(n) * span, time.Duration(n+1) * span}, shared.Known
}
