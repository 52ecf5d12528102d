package backends

import (
	"time"

	"kingcupplank.example/kingcup/cells"
	"kingcupplank.example/kingcup/coldstart"
)

// share is this process's part of what cold servers bear, among those that send to a
// service of so many servers; mu is held.
func (r *Registry) share(servers int) *coldstart.Share {
	if cells.Divided(servers, r.count) {
		return r.inCell
	}
	return r.inAll
}

// ReportedCold notes that a server itself says how much longer it is cold.
func (r *Registry) ReportedCold(at Server, coldFor, now time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s := r.current(at); s != nil {
		s.coldUntil = now + coldFor
	}
}
