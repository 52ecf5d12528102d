package backends

import (
	"slices"
	"time"

	"kingcupplank.example/kingcup/routing"
)

// SetDomainRegions sets the region of each failure domain.
func (r *Registry) SetDomainRegions(domainRegions map[string]string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.domainRegions = domainRegions
}

// SetCordoned sets the failure domains whose servers get no requests. It returns, sorted, those
// that get requests again. Their servers have lost their caches meanwhile and will report that
// only with their next heartbeat, so they count as cold for the service's ColdTime.
func (r *Registry) SetCordoned(domains []string, now time.Duration) (uncordoned []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for domain := range r.cordoned {
		if !slices.Contains(domains, domain) {
			uncordoned = append(uncordoned, domain)
		}
	}
	r.cordoned = make(map[string]bool, len(domains))
	for _, domain := range domains {
		r.cordoned[domain] = true
	}
	for _, s := range r.servers {
		if slices.Contains(uncordoned, s.FailureDomain) {
			s.coldUntil = max(s.coldUntil, now+r.traits(s.Service).ColdTime)
		}
	}
	slices.Sort(uncordoned)
	return uncordoned
}

// IsIneligible reports whether a server must get no request that must stay in some regions, even
// if the request's state is at that server.
func (r *Registry) IsIneligible(s Server, regions routing.Regions) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cordoned[s.FailureDomain] || !regions.Allows(r.domainRegions[s.FailureDomain])
}
