// Package cordon keeps which failure domains the operator has cordoned: their backend
// servers get nothing until it takes the request back.
package cordon

import (
	"slices"
	"strings"
	"sync"
	"time"

	"kingcupplank.example/kingcup/revision"
)

// Request is the operator's request to cordon a failure domain.
type Request struct {
	Domain string
	// Revision is that of its row in the platform's store.
	Revision revision.Revision
}

// rewriteTime is how long a request that a restored store does not show stays in force: the
// operator writes it again within some two seconds of the store's return.
const rewriteTime = 5 * time.Second

// Set is the requests in force. It is safe for concurrent use; mu comes before the locks of
// those that are told of changes.
type Set struct {
	changed func(domains []string)

	mu       sync.Mutex
	requests map[string]request
}

type request struct {
	Request
	// until is when a request of an earlier era that has not been written again ends, 0 for
	// one of the present era.
	until time.Duration
}

// New returns an empty set. changed is told all cordoned domains, sorted, whenever they change,
// one call at a time.
func New(changed func(domains []string)) *Set {
	return &Set{changed: changed, requests: make(map[string]request)}
}

// Put adds a request.
func (s *Set) Put(r Request) {
	s.update(func() { s.requests[r.Domain] = request{Request: r} })
}

// Remove takes a request back.
func (s *Set) Remove(domain string) {
	s.update(func() { delete(s.requests, domain) })
}

// Replace takes the requests as they stand at a revision.
//
// A store that was restored from an older copy lacks requests that were written since.
// Dropping them would send requests to servers of a cordoned domain until the operator has
// written them again, so those of an earlier era stay in force for that time.
func (s *Set) Replace(list []Request, at revision.Revision, now time.Duration) {
	era := at.Era()
	s.update(func() {
		old := s.requests
		s.requests = make(map[string]request, len(list))
		for _, r := range list {
			s.keep(r, old[r.Domain], era, now)
		}
		for domain, r := range old {
			if _, listed := s.requests[domain]; !listed && r.Revision.Era() < era {
				s.keep(r.Request, r, era, now)
			}
		}
	})
}

// keep notes a request; mu is held.
func (s *Set) keep(r Request, old request, era uint64, now time.Duration) {
	next := request{Request: r}
	if r.Revision.Era() < era {
		next.until = now + rewriteTime
		if old.until > 0 && old.Revision == r.Revision {
			next.until = old.until
		}
	}
	s.requests[r.Domain] = next
}

// Expire ends requests of an earlier era that have not been written again; call it now and
// then.
func (s *Set) Expire(now time.Duration) {
	s.update(func() {
		for domain, r := range s.requests {
			if r.until > 0 && now >= r.until {
				delete(s.requests, domain)
			}
		}
	})
}

// List returns the requests in force, by domain.
func (s *Set) List() []Request {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]Request, 0, len(s.requests))
	for _, r := range s.requests {
		out = append(out, r.Request)
	}
	slices.SortFunc(out, func(a, b Request) int { return strings.Compare(a.Domain, b.Domain) })
	return out
}

func (s *Set) update(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.domains()
	change()
	if after := s.domains(); !slices.Equal(before, after) {
		s.changed(after)
	}
}

// domains lists the cordoned domains, sorted; mu is held.
func (s *Set) domains() []string {
	out := make([]string, 0, len(s.requests))
	for domain := range s.requests {
		out = append(out, domain)
	}
	slices.Sort(out)
	return out
}
