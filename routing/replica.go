package routing

import (
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Replica is a process's copy of the configuration in force. Its version never goes back, and it
// records when it was last confirmed to be the newest. It is safe for concurrent use. Lookups
// never wait for a version that is being built. Lock order: updates, mu.
type Replica struct {
	// updates is held while a version is built and put in force.
	updates sync.Mutex
	// history are the latest changes, oldest first. Each starts from the version before it.
	history []*Change

	mu sync.Mutex
	// newest is the newest complete version. inForce is the same version, but without keys that
	// a later version removes.
	newest, inForce *Config
	confirmed       time.Duration
	onChange        func(*Config)
}

const (
	// maxHistory is how many changes are kept for processes that are behind. At 430 changes a
	// day, a process that is sixteen changes behind has received none for an hour, and gets the
	// whole version.
	maxHistory = 16
	// maxHistoryFraction bounds the rows of all kept changes as a fraction of the routes of a
	// version. Beyond it a whole version is smaller.
	maxHistoryFraction = 0.5
)

// NewReplica returns an empty replica.
func NewReplica() *Replica { return &Replica{} }

// OnChange sets the function that is called with each new version. Calls don't overlap.
func (r *Replica) OnChange(onChange func(*Config)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.onChange = onChange
}

// Put puts a whole version in force unless the version in force is the same or newer. It reports
// whether it did. A delayed response may contain an older version, which would bring back
// routes and keys that were removed. pause is called at intervals during the work.
func (r *Replica) Put(content Content, pause func()) bool {
	r.updates.Lock()
	defer r.updates.Unlock()
	base := r.base()
	if base.Version >= content.Version {
		return false
	}
	next, ch := base.WithContent(content, pause)
	r.install(next, ch)
	return true
}

// Begin starts an update by a change whose routes are still to come. It revokes at once the keys
// that the later version does not have, so that a revocation doesn't wait for the routes of a
// large version. Nothing else of the later version is in force before it is complete.
// Errors: ErrBaseMismatch.
func (r *Replica) Begin(ch *Change) (*Update, error) {
	r.updates.Lock()
	defer r.updates.Unlock()
	base := r.base()
	u, err := base.begin(ch)
	if err != nil {
		return nil, err
	}
	if base.Version < ch.Version {
		r.revoke(ch.revokedKeys(base))
	}
	return u, nil
}

func (r *Replica) revoke(keys []string) {
	if len(keys) == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.inForce = r.inForce.withoutKeys(keys)
}

// Commit puts the version of an update in force. It returns false if the version in force is the
// same or newer. Errors: ErrBaseMismatch, if another version was put in force since the update
// began.
func (r *Replica) Commit(u *Update) (bool, error) {
	r.updates.Lock()
	defer r.updates.Unlock()
	base := r.base()
	if base.Version >= u.Version {
		return false, nil
	}
	if u.Base != 0 && u.base != base {
		return false, errors.Wrapf(ErrBaseMismatch, "base is %d, version in force is %d", u.Base, base.Version)
	}
	r.install(u.config(), u.Change)
	return true, nil
}

// base returns the version that changes apply to: the newest complete one, or an empty one before
// the first. updates must be held.
func (r *Replica) base() *Config {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.newest == nil {
		return empty()
	}
	return r.newest
}

// install puts a version in force and adds its change to the history. updates must be held.
func (r *Replica) install(next *Config, ch *Change) {
	if ch.Base == 0 {
		r.history = nil
	} else {
		r.history = append(r.history, ch)
	}
	rows := 0
	for i := len(r.history) - 1; i >= 0; i-- {
		rows += r.history[i].Size()
		if len(r.history)-i > maxHistory || float64(rows) > maxHistoryFraction*float64(next.RouteCount()) && i < len(r.history)-1 {
			r.history = r.history[i+1:]
			break
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.newest, r.inForce = next, next
	if r.onChange != nil {
		r.onChange(next)
	}
}

// ChangeSince returns the change from a version to the newest one, nil if that version is the
// newest or there is none. If the version is older than the history, the change contains the
// whole newest version.
func (r *Replica) ChangeSince(version uint64) *Change {
	r.updates.Lock()
	defer r.updates.Unlock()
	newest := r.base()
	if newest.Version <= version {
		return nil
	}
	var out *Change
	for i := len(r.history) - 1; i >= 0; i-- {
		if out == nil {
			out = r.history[i]
		} else {
			out = Compose(r.history[i], out)
		}
		if out.Base == version {
			return out
		}
	}
	return newest.fullChange()
}

// Version returns the newest version, 0 before the first.
func (r *Replica) Version() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.newest == nil {
		return 0
	}
	return r.newest.Version
}

// Confirm records that the replica had the newest version at a time.
func (r *Replica) Confirm(at time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.confirmed = max(r.confirmed, at)
}

// Current returns the version in force, nil before the first, and the time at which it was last
// known to be the newest.
func (r *Replica) Current() (c *Config, confirmed time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.inForce, r.confirmed
}
