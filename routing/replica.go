package routing

import (
	"sync"
	"time"
)

// Replica is a process's view of the configuration in force. Its version never
// falls, and it knows how long ago the view was last confirmed. It is safe for
// concurrent use.
type Replica struct {
	mu        sync.Mutex
	config    *Config
	confirmed time.Duration
	changed   func(*Config)
}

// NewReplica returns an empty replica.
func NewReplica() *Replica { return &Replica{} }

// OnChange sets who is told of each new version, one at a time.
func (r *Replica) OnChange(changed func(*Config)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.changed = changed
}

// Apply takes c unless a version as new is in force, and reports whether it did.
// An answer that was delayed on its way may bear an older version; taking it
// would bring back routes and keys that were removed.
func (r *Replica) Apply(c *Config) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.config != nil && c.Version <= r.config.Version {
		return false
	}
	r.config = c
	if r.changed != nil {
		r.changed(c)
	}
	return true
}

// Confirm notes that the view was the newest at the time at.
func (r *Replica) Confirm(at time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.confirmed = max(r.confirmed, at)
}

// Current returns the version in force, nil before the first, and the time at
// which it was last known to be the newest.
func (r *Replica) Current() (c *Config, confirmed time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.config, r.confirmed
}
