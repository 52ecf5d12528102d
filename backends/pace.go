package backends

import (
	"time"

	"kingcupplank.example/kingcup/cells"
	"kingcupplank.example/kingcup/pacing"
	"kingcupplank.example/kingcup/routing"
)

// share is this process's part of what servers with a bound take, among those that send to a
// service of so many servers; mu is held.
func (r *Registry) share(servers int) *pacing.Share {
	if cells.IsDivided(servers, r.count) {
		return r.inCell
	}
	return r.inAll
}

// inOwnCell reports whether a server of a service of so many is one that this process's cell
// sends to; mu is held.
func (r *Registry) inOwnCell(s *server, servers int) bool {
	return !cells.IsDivided(servers, r.count) || cells.IndexOf(s.hash, r.count) == r.cell
}

// bound is what a server takes of all processes now; mu is held.
func (s *server) bound(t ServiceTraits, now time.Duration) (l pacing.Limit) {
	if now < s.coldUntil {
		l = t.ColdLimit
	}
	if s.limit.named {
		l = l.And(pacing.Named(s.limit.perSecond))
	}
	return l
}

// bears reports whether a server of a service of so many takes a request of this process now;
// mu is held. What it takes is shared out within its cell, so others leave it alone.
func (r *Registry) bears(s *server, l pacing.Limit, of int, at pacing.SharedTime, now time.Duration) bool {
	if l.Rate > 0 && !r.inOwnCell(s, of) {
		return false
	}
	return s.pacer.May(r.share(of), l, s.hash, at, now)
}

// TryUseRate counts a request that goes to a server for which no turn was taken when it was
// chosen, as that was for a copy. It reports whether the server takes the request: it may have
// named a limit since.
func (r *Registry) TryUseRate(l *Reservation, at pacing.SharedTime, now time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !l.s.limit.named {
		return true
	}
	of, bound := len(r.listed(l.Server.Service)), l.s.bound(r.traits(l.Server.Service), now)
	if !r.bears(l.s, bound, of, at, now) {
		return false
	}
	l.s.pacer.Sent(r.share(of), bound, at, now)
	return true
}

// Availability is at what rate the servers of a service take requests of this process.
type Availability struct {
	// HasUnlimited reports that there is a server that takes any number.
	HasUnlimited bool
	// HasRateLimited reports that there is one that takes a bounded rate: PerSecond is what all of
	// them take of this process, Next how long it is at the least until one takes a request.
	HasRateLimited bool
	PerSecond      float64
	RateWait       time.Duration
	// HasBackingOff reports that there is one that takes any number once it has rested for Rest.
	HasBackingOff bool
	BackoffWait   time.Duration
}

// MustWait reports whether servers take requests later only.
func (p Availability) MustWait() bool {
	return !p.HasUnlimited && (p.HasRateLimited || p.HasBackingOff)
}

// Availability tells at what rate servers of a service take requests that must stay in some regions.
func (r *Registry) Availability(service string, within routing.Regions, at pacing.SharedTime, now time.Duration) (p Availability) {
	r.mu.Lock()
	defer r.mu.Unlock()
	traits, list := r.traits(service), r.listed(service)
	for _, s := range list {
		if s.Leaving || r.cordoned[s.FailureDomain] || !within.Allows(r.regions[s.FailureDomain]) || r.ended(s, now) {
			continue
		}
		l, rest := s.bound(traits, now), max(0, s.restUntil-now)
		switch {
		case l.Rate <= 0 && rest == 0:
			p.HasUnlimited = true
		case l.Rate <= 0:
			p.rests(rest)
		case r.inOwnCell(s, len(list)):
			share := r.share(len(list))
			p.bounds(share.Part(l), max(rest, s.pacer.Next(share, l, s.hash, at, now)))
		}
	}
	return p
}

func (p *Availability) rests(rest time.Duration) {
	if !p.HasBackingOff || rest < p.BackoffWait {
		p.BackoffWait = rest
	}
	p.HasBackingOff = true
}

func (p *Availability) bounds(perSecond float64, next time.Duration) {
	if !p.HasRateLimited || next < p.RateWait {
		p.RateWait = next
	}
	p.HasRateLimited = true
	p.PerSecond += perSecond
}
