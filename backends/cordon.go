package backends

import (
	"slices"
	"time"

	"kingcupplank.example/kingcup/routing"
)

// SetDomainRegions says which region each failure domain is in.
func (r *Registry) SetDomainRegions(regions map[string]string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.regions = regions
}

// SetCordoned says which failure domains get nothing, and returns those that get requests
// again. Their servers have lost their caches meanwhile, and say so only with their next
// heartbeat: until then they count as cold.
func (r *Registry) SetCordoned(domains []string, now time.Duration) (back []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for domain := range r.cordoned {
		if !slices.Contains(domains, domain) {
			back = append(back, domain)
		}
	}
	r.cordoned = make(map[string]bool, len(domains))
	for _, domain := range domains {
		r.cordoned[domain] = true
	}
	for _, s := range r.servers {
		if slices.Contains(back, s.FailureDomain) {
			s.coldUntil = max(s.coldUntil, now+r.traits(s.Service).ColdTime)
		}
	}
	slices.Sort(back)
	return back
}

// IsIneligible reports whether a server must get no request that must stay in some regions,
// whatever the request has there.
func (r *Registry) IsIneligible(s Server, within routing.Regions) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cordoned[s.FailureDomain] || !within.Allows(r.regions[s.FailureDomain])
}
