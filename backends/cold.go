package backends

import (
	"slices"
	"time"

	"kingcupplank.example/kingcup/cells"
	"kingcupplank.example/kingcup/pacing"
	"kingcupplank.example/kingcup/routing"
)

// share is this process's part of what cold servers bear, among those that send to a
// service of so many servers; mu is held.
func (r *Registry) share(servers int) *pacing.Share {
	if cells.Divided(servers, r.count) {
		return r.inCell
	}
	return r.inAll
}

// inOwnCell reports whether a server of a service of so many is one that this process's cell
// sends to; mu is held.
func (r *Registry) inOwnCell(s *server, servers int) bool {
	return !cells.Divided(servers, r.count) || cells.Of(s.hash, r.count) == r.cell
}

// bears reports whether a cold server of a service of so many takes a request of this process
// now; mu is held. What it bears is shared out within its cell, so others leave it alone.
func (r *Registry) bears(s *server, l pacing.Limit, of int, at pacing.Clock, now time.Duration) bool {
	if l.Rate > 0 && !r.inOwnCell(s, of) {
		return false
	}
	return s.pacer.May(r.share(of), l, s.hash, at, now)
}

// Pacing reports whether servers of a service are cold and take requests at a rate: who waits
// a little gets one.
func (r *Registry) Pacing(service string, within routing.Regions, now time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.traits(service).Cold.Rate <= 0 {
		return false
	}
	return slices.ContainsFunc(r.listed(service), func(s *server) bool {
		return !s.Leaving && now < s.coldUntil && !r.cordoned[s.FailureDomain] && within.Allow(r.regions[s.FailureDomain]) && !r.ended(s, now)
	})
}

// ReportedCold notes that a server itself says how much longer it is cold.
func (r *Registry) ReportedCold(at Server, coldFor, now time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s := r.current(at); s != nil {
		s.coldUntil = now + coldFor
	}
}
