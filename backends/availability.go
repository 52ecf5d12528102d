package backends

import (
	"time"

	"kingcupplank.example/kingcup/cells"
	"kingcupplank.example/kingcup/pacing"
	"kingcupplank.example/kingcup/routing"
)

// share returns this process's share of the limits of a service's servers. serverCount is the
// number of servers of the service. mu must be held.
func (r *Registry) share(serverCount int) *pacing.Share {
	if cells.IsDivided(serverCount, r.cellCount) {
		return r.cellShare
	}
	return r.globalShare
}

// inOwnCell reports whether this process's cell sends to a server. serverCount is the number of
// servers of its service. mu must be held.
func (r *Registry) inOwnCell(s *server, serverCount int) bool {
	return !cells.IsDivided(serverCount, r.cellCount) || cells.IndexOf(s.hash, r.cellCount) == r.cell
}

// pacingLimit returns what a server accepts from all processes together now. mu must be held.
func (s *server) pacingLimit(t ServiceTraits, now time.Duration) (l pacing.Limit) {
	if now < s.coldUntil {
		l = t.ColdLimit
	}
	if s.rateLimit.limited {
		l = l.Intersect(pacing.FromRateLimit(s.rateLimit.perSecond))
	}
	return l
}

// canSend reports whether a server's limit allows a request of this process now. The limit is
// divided among the processes of the server's cell, so others send nothing. serverCount is the
// number of servers of the service. mu must be held.
func (r *Registry) canSend(s *server, l pacing.Limit, serverCount int, shared pacing.SharedTime, now time.Duration) bool {
	if l.Rate > 0 && !r.inOwnCell(s, serverCount) {
		return false
	}
	return s.pacer.CanSend(r.share(serverCount), l, s.hash, shared, now)
}

// TryUseRate counts a request against the rate limit of a server for which that was not done
// when the server was chosen, as it was chosen for a copy. It reports false if the rate limit
// allows no request now: the server may have sent a rate limit since.
func (r *Registry) TryUseRate(res *Reservation, shared pacing.SharedTime, now time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !res.target.rateLimit.limited {
		return true
	}
	serverCount, pacingLimit := len(r.listed(res.Server.Service)), res.target.pacingLimit(r.traits(res.Server.Service), now)
	if !r.canSend(res.target, pacingLimit, serverCount, shared, now) {
		return false
	}
	res.target.pacer.RecordSent(r.share(serverCount), pacingLimit, shared, now)
	return true
}

// Availability says when the servers of a service accept requests of this process.
type Availability struct {
	// HasUnlimited reports that there is a server that accepts any number of requests.
	HasUnlimited bool
	// HasBoundedRate reports that there are servers with a bounded rate. PerSecond is the rate in
	// requests per second that all of these accept from this process. RateWait is the minimum
	// time until one of them accepts a request.
	HasBoundedRate bool
	PerSecond      float64
	RateWait       time.Duration
	// HasBackingOff reports that there are servers without a bounded rate that are backing off.
	// BackoffWait is the time until the first of them accepts requests again.
	HasBackingOff bool
	BackoffWait   time.Duration
}

// MustWait reports whether no server accepts an unlimited number of requests now, but some accept
// requests at a bounded rate or after a backoff.
func (a Availability) MustWait() bool {
	return !a.HasUnlimited && (a.HasBoundedRate || a.HasBackingOff)
}

// Availability returns when the servers of a service accept requests that must stay in some
// regions.
func (r *Registry) Availability(service string, regions routing.Regions, shared pacing.SharedTime, now time.Duration) (a Availability) {
	r.mu.Lock()
	defer r.mu.Unlock()
	traits, list := r.traits(service), r.listed(service)
	for _, s := range list {
		if s.Leaving || r.cordoned[s.FailureDomain] || !regions.Allows(r.domainRegions[s.FailureDomain]) || r.isDown(s, now) {
			continue
		}
		l, backoff := s.pacingLimit(traits, now), max(0, s.backoffUntil-now)
		switch {
		case l.Rate <= 0 && backoff == 0:
			a.HasUnlimited = true
		case l.Rate <= 0:
			a.addBackingOff(backoff)
		case r.inOwnCell(s, len(list)):
			share := r.share(len(list))
			a.addRateLimited(share.SendRate(l), max(backoff, s.pacer.WaitTime(share, l, s.hash, shared, now)))
		}
	}
	return a
}

func (a *Availability) addBackingOff(wait time.Duration) {
	if !a.HasBackingOff || wait < a.BackoffWait {
		a.BackoffWait = wait
	}
	a.HasBackingOff = true
}

func (a *Availability) addRateLimited(perSecond float64, wait time.Duration) {
	if !a.HasBoundedRate || wait < a.RateWait {
		a.RateWait = wait
	}
	a.HasBoundedRate = true
	a.PerSecond += perSecond
}
