package backends

import (
	"maps"
	"time"
)

// departureMemory is how long a server that has gone is remembered, so that an old copy of the
// directory doesn't bring it back. Copies are some seconds old, and the platform writes what has
// happened since then within two seconds.
const departureMemory = 15 * time.Second

// departure is a server that has gone.
type departure struct {
	Server
	at time.Duration
}

// recordDeparture remembers a server that has gone. mu must be held.
func (r *Registry) recordDeparture(s *server, now time.Duration) {
	r.departures[s.ID] = departure{s.Server, now}
}

// Restore replaces the directory by an old copy of it. outage is how long the directory was
// unavailable before.
//
// The copy contains servers that have gone since it was made. They would get requests, so they
// are excluded until their entry is written again, or until departureMemory has passed. The copy
// lacks servers that have joined since. They stay in use for a grace period, as after an outage.
func (r *Registry) Restore(list []Server, outage, now time.Duration) {
	r.mu.Lock()
	events := r.replaceAll(list, outage, now)
	for _, s := range list {
		r.excludeDeparted(s, now)
	}
	r.mu.Unlock()
	r.notifyLeaving(events)
}

// excludeDeparted excludes a server if it has gone since the copy was made. mu must be held.
func (r *Registry) excludeDeparted(s Server, now time.Duration) {
	d, departed := r.departures[s.ID]
	known := r.servers[s.ID]
	if !departed || known == nil || !known.SameIncarnation(d.Server) || now-d.at >= departureMemory {
		return
	}
	known.excluded, known.excludedUntil = true, d.at+departureMemory
	r.dropLists()
}

// expireDepartures forgets old departures and ends the exclusion of servers because of them. mu
// must be held.
func (r *Registry) expireDepartures(now time.Duration) {
	maps.DeleteFunc(r.departures, func(_ string, d departure) bool { return now-d.at >= departureMemory })
	for _, s := range r.servers {
		if s.excludedUntil > 0 && now >= s.excludedUntil {
			s.excluded, s.excludedUntil = false, 0
			r.dropLists()
		}
	}
}
