// Package cordon keeps the set of failure domains that the operator has cordoned. The
// backend servers of a cordoned failure domain get no requests until the operator withdraws
// the cordon.
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
	// Revision is the revision of the request's row in the platform's store.
	Revision revision.Revision
}

// rewriteGracePeriod is how long a request stays in force after a restored store no longer
// contains it. The operator writes missing requests again within about two seconds of the
// store's return.
const rewriteGracePeriod = 5 * time.Second

// Set is the set of requests in force. It is safe for concurrent use. onChange is called
// with mu locked, so mu comes before any lock that onChange acquires.
//
// Requests come from two sources: rows that this process reads, and whole lists of other
// processes. Either may be older than what the set already has. An older list must not undo a
// newer request: the table of the set's owner would not show that a row is missing, so nothing
// would bring the request back.
type Set struct {
	onChange func(domains []string)

	mu       sync.Mutex
	requests map[string]entry
	// revision is the revision up to which the set has all requests and withdrawals.
	revision revision.Revision
}

// entry is a request in force.
type entry struct {
	Request
	// expires is when a request of an earlier era ends unless it is written again. It is 0
	// for a request of the current era, which doesn't expire.
	expires time.Duration
}

// New returns an empty set. onChange is called with all cordoned domains, sorted, whenever
// they change. Calls don't overlap.
func New(onChange func(domains []string)) *Set {
	return &Set{onChange: onChange, requests: make(map[string]entry)}
}

// Put adds a request, unless the set is newer.
func (s *Set) Put(r Request) {
	s.updateTo(r.Revision, func() { s.requests[r.Domain] = entry{Request: r} })
}

// Remove withdraws the request for a domain at a revision, unless the set is newer.
func (s *Set) Remove(domain string, at revision.Revision) {
	s.updateTo(at, func() { delete(s.requests, domain) })
}

// Replace replaces the set by the requests that the store contains at a revision, unless the
// set is newer. It reports whether it did.
//
// A store that was restored from an older copy lacks the requests written after that copy.
// Dropping them would send requests to servers of a cordoned domain until the operator has
// written them again, so requests of an earlier era stay in force for rewriteGracePeriod.
func (s *Set) Replace(list []Request, at revision.Revision, now time.Duration) bool {
	era := at.Era()
	return s.updateTo(at, func() {
		old := s.requests
		s.requests = make(map[string]entry, len(list))
		for _, r := range list {
			s.putInEra(r, old[r.Domain], era, now)
		}
		for domain, r := range old {
			if _, listed := s.requests[domain]; !listed && r.Revision.Era() < era {
				s.putInEra(r.Request, r, era, now)
			}
		}
	})
}

// putInEra adds a request, with an expiry if the request is older than the era. If old is
// the same request and already expires, its expiry is kept. mu must be held.
func (s *Set) putInEra(r Request, old entry, era uint64, now time.Duration) {
	next := entry{Request: r}
	if r.Revision.Era() < era {
		next.expires = now + rewriteGracePeriod
		if old.expires > 0 && old.Revision == r.Revision {
			next.expires = old.expires
		}
	}
	s.requests[r.Domain] = next
}

// Expire removes requests of an earlier era that have not been written again in time. It
// must be called periodically.
func (s *Set) Expire(now time.Duration) {
	s.update(func() {
		for domain, r := range s.requests {
			if r.expires > 0 && now >= r.expires {
				delete(s.requests, domain)
			}
		}
	})
}

// List returns the requests in force, sorted by domain, and the revision up to which they are
// complete.
func (s *Set) List() ([]Request, revision.Revision) {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]Request, 0, len(s.requests))
	for _, r := range s.requests {
		out = append(out, r.Request)
	}
	slices.SortFunc(out, func(a, b Request) int { return strings.Compare(a.Domain, b.Domain) })
	return out, s.revision
}

// updateTo applies a change that brings the set to a revision, unless the set is newer. It
// reports whether it did.
func (s *Set) updateTo(at revision.Revision, change func()) (applied bool) {
	s.update(func() {
		if at.Before(s.revision) {
			return
		}
		applied, s.revision = true, at
		change()
	})
	return applied
}

// update applies a change and calls onChange if the cordoned domains differ afterwards.
func (s *Set) update(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.domains()
	change()
	if after := s.domains(); !slices.Equal(before, after) {
		s.onChange(after)
	}
}

// domains returns the cordoned domains, sorted. mu must be held.
func (s *Set) domains() []string {
	out := make([]string, 0, len(s.requests))
	for domain := range s.requests {
		out = append(out, domain)
	}
	slices.Sort(out)
	return out
}
