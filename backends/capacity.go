package backends

import (
	"time"

	"kingcupplank.example/kingcup/concurrency"
)

// ObserveAnswer records the time that the request's server took to answer it.
func (r *Reservation) ObserveAnswer(took, now time.Duration) {
	r.registry.mu.Lock()
	defer r.registry.mu.Unlock()
	r.target.answers.Observe(took, now)
	r.registry.serviceAnswers(r.target.Service).Observe(took, now)
}

// observeFull records that a server has refused a request for lack of capacity. mu must be held.
func (r *Registry) observeFull(s *server, now time.Duration) {
	s.answers.ObserveFull(now)
	r.serviceAnswers(s.Service).ObserveFull(now)
}

// serviceAnswers returns the answers of all servers of a service. mu must be held.
func (r *Registry) serviceAnswers(service string) *concurrency.Answers {
	a := r.answers[service]
	if a == nil {
		a = &concurrency.Answers{}
		r.answers[service] = a
	}
	return a
}

// Capacity returns the capacity of the servers of a service that accept requests now.
func (r *Registry) Capacity(service string, now time.Duration) concurrency.Capacity {
	r.mu.Lock()
	defer r.mu.Unlock()
	traits := r.traits(service)
	var ready []concurrency.Server
	for _, s := range r.listed(service) {
		if s.Leaving || r.cordoned[s.FailureDomain] || now < s.backoffUntil || r.isDown(s, now) {
			continue
		}
		ready = append(ready, concurrency.Server{Slots: s.Slots, Answers: &s.answers, Age: now - s.listedAt, RateLimit: s.pacingLimit(traits, now).Rate})
	}
	return concurrency.NewCapacity(ready, r.serviceAnswers(service), now)
}
