// Package pacing bounds the rate at which many processes together send to a backend server
// that accepts only a limited rate: one that has just started, or one that sends a rate limit
// in its responses. The package does no I/O and reads no clock.
//
// A small number of processes divide the bound equally, and each may use its quota at any
// time. With many processes that fails: each may always send one request, and the sum of these
// would exceed the bound. Then the rate is divided into tickets instead. Tickets are numbered
// by a clock that all processes share, and rendezvous hashing assigns each ticket to one
// process. Neither method needs messages. Processes that disagree on which processes exist
// disagree only on the tickets of the processes in question.
package pacing

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Limit is what a server accepts from all processes together.
type Limit struct {
	// Rate is the average rate in requests per second, 0 for no bound.
	Rate float64
	// MaxInWindow is the maximum number of requests in any span of Window.
	MaxInWindow float64
	Window      time.Duration
	// RateIsStrict makes Rate a bound on the long-term average even where MaxInWindow would
	// allow more.
	RateIsStrict bool
}

const (
	// The platform allows a server that sends a rate limit at most rateLimitOverage times that
	// rate plus rateLimitTolerance requests in any span of rateLimitWindow.
	rateLimitWindow    = 4 * time.Second
	rateLimitOverage   = 1.5
	rateLimitTolerance = 5
	// minRateLimit is the lowest rate in requests per second, whatever the server's rate limit.
	// Only a response can remove a rate limit, and a server that gets no requests sends none.
	minRateLimit = 0.1
)

// FromRateLimit returns the limit for a server that sends a rate limit, in requests per second.
func FromRateLimit(perSecond float64) Limit {
	return Limit{
		Rate: max(perSecond, minRateLimit), RateIsStrict: true,
		MaxInWindow: rateLimitOverage*perSecond*rateLimitWindow.Seconds() + rateLimitTolerance, Window: rateLimitWindow,
	}
}

// Intersect returns a limit that satisfies both l and o.
func (l Limit) Intersect(o Limit) Limit {
	switch {
	case l.Rate <= 0:
		return o
	case o.Rate <= 0:
		return l
	}
	return Limit{
		Rate: min(l.Rate, o.Rate), RateIsStrict: l.RateIsStrict || o.RateIsStrict,
		MaxInWindow: min(l.MaxInWindow, o.MaxInWindow), Window: max(l.Window, o.Window),
	}
}

// SharedTime is the present time on a monotonic clock that all processes share. Known is false
// if this process doesn't know the shared time.
type SharedTime struct {
	Now   time.Duration
	Known bool
}

// Share is this process's share of the limits of servers that several processes send to. A nil
// Share is that of a process that sends alone.
type Share struct {
	self   uint64
	others []uint64
}

// NewShare returns the share of the process self among the other processes.
func NewShare(self string, others []string) *Share {
	s := &Share{self: xxhash.Sum64String(self), others: make([]uint64, 0, len(others))}
	for _, name := range others {
		s.others = append(s.others, xxhash.Sum64String(name))
	}
	return s
}

// count returns the number of processes, this one included.
func (s *Share) count() int {
	if s == nil {
		return 1
	}
	return len(s.others) + 1
}

const (
	// usableFraction is the fraction of MaxInWindow that is used. Requests that are sent in two
	// windows may arrive in one.
	usableFraction = 0.9
	// minEqualFraction is the fraction of Rate that equal quotas must sustain; otherwise
	// tickets are used. minStrictFraction applies where the rate is strict, since there nothing
	// above the rate makes up for the loss.
	minEqualFraction  = 0.5
	minStrictFraction = 0.8
	// burstTime determines how much of a strict rate may be sent at once: what the rate allows
	// in that time. Requests arrive in bursts, and waiting requests try again every few
	// milliseconds.
	burstTime = 100 * time.Millisecond
)

// quota is what each process may send: a burst of requests at once, and a rate in requests per
// second.
type quota struct {
	burst, perSecond float64
}

// equalQuota returns the quota of each process if all get the same one. It returns false if
// there are too many processes for that.
func (s *Share) equalQuota(l Limit) (quota, bool) {
	n, window := float64(s.count()), l.Window.Seconds()
	combined := (usableFraction*l.MaxInWindow - n) / window
	minFraction := minEqualFraction
	burst := 1.0
	if l.RateIsStrict {
		combined, minFraction = min(combined, l.Rate), minStrictFraction
		burst = max(1, min(combined*burstTime.Seconds(), usableFraction*l.MaxInWindow-window*combined)/n)
	}
	return quota{burst, combined / n}, combined >= minFraction*l.Rate
}

// SendRate returns the average rate at which this process may send, in requests per second.
func (s *Share) SendRate(l Limit) float64 {
	if quota, ok := s.equalQuota(l); ok {
		return quota.perSecond
	}
	return l.Rate / float64(s.count())
}

// owns reports whether a ticket of a server belongs to this process. server is the hash of the
// server's name.
func (s *Share) owns(server uint64, ticket int64) bool {
	if s.count() == 1 {
		return true
	}
	key := mix(server ^ mix(uint64(ticket)))
	own := mix(s.self ^ key)
	for _, o := range s.others {
		if score := mix(o ^ key); score > own || score == own && o < s.self {
			return false
		}
	}
	return true
}

// mix distributes the bits of a number (the finalizer of splitmix64).
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// Pacer records what this process has sent to one server. The zero value has sent nothing. It
// is not safe for concurrent use.
type Pacer struct {
	// level is the level of a leaky bucket at the time updated: each request adds one, and the
	// equal quota's rate drains it.
	level   float64
	updated time.Duration
	// usedUntil is the end of the last ticket that was used, on the shared clock.
	usedUntil time.Duration
}

// CanSend reports whether a request may be sent to a server now. server is the hash of the
// server's name. Where tickets are used, a process that doesn't know the shared time sends
// nothing, since the current ticket may belong to another process.
func (p *Pacer) CanSend(s *Share, l Limit, server uint64, shared SharedTime, now time.Duration) bool {
	if l.Rate <= 0 {
		return true
	}
	if quota, ok := s.equalQuota(l); ok {
		return p.levelAt(quota, now) <= quota.burst-1
	}
	t, known := s.ticket(l, shared, now)
	return known && !p.hasUsed(t) && s.owns(server, t.number)
}

// ticketLookahead is how many tickets are searched for the next one of this process.
const ticketLookahead = 64

// WaitTime returns the minimum time until a request may be sent.
func (p *Pacer) WaitTime(s *Share, l Limit, server uint64, shared SharedTime, now time.Duration) time.Duration {
	if l.Rate <= 0 {
		return 0
	}
	if quota, ok := s.equalQuota(l); ok {
		excess := max(0, p.levelAt(quota, now)-(quota.burst-1))
		return time.Duration(excess / quota.perSecond * float64(time.Second))
	}
	t, known := s.ticket(l, shared, now)
	if !known {
		return time.Duration(float64(time.Second) / s.SendRate(l))
	}
	if s.count() == 1 {
		shared.Now = now
	}
	span := t.until - t.from
	for range ticketLookahead {
		if !p.hasUsed(t) && s.owns(server, t.number) {
			return max(0, t.from-shared.Now)
		}
		t = ticket{t.number + 1, t.until, t.until + span}
	}
	return t.from - shared.Now
}

// RecordSent records that a request was sent.
func (p *Pacer) RecordSent(s *Share, l Limit, shared SharedTime, now time.Duration) {
	if quota, ok := s.equalQuota(l); ok {
		p.level, p.updated = p.levelAt(quota, now)+1, now
		return
	}
	if t, known := s.ticket(l, shared, now); known {
		p.usedUntil = t.until
	}
}

// hasUsed reports whether a request was sent with a ticket. usedUntil may lie after the ticket:
// then it stems from another rate, or from before the shared clock went back, and doesn't count.
func (p *Pacer) hasUsed(t ticket) bool { return t.from < p.usedUntil && p.usedUntil <= t.until }

// levelAt returns the level of the leaky bucket at a time.
func (p *Pacer) levelAt(q quota, now time.Duration) float64 {
	return max(0, p.level-(now-p.updated).Seconds()*q.perSecond)
}

// ticket allows one process to send one request within a span of the shared clock.
type ticket struct {
	number      int64
	from, until time.Duration
}

// ticket returns the ticket that is valid now, and whether it is known. A process that
// sends alone needs no shared time.
func (s *Share) ticket(l Limit, shared SharedTime, now time.Duration) (ticket, bool) {
	if s.count() == 1 {
		shared = SharedTime{Now: now, Known: true}
	}
	span := time.Duration(float64(time.Second) / l.Rate)
	n := int64(shared.Now / span)
	return ticket{n, time.Duration(n) * span, time.Duration(n+1) * span}, shared.Known
}
