package routing

import (
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Replica is a process's view of the configuration in force. Its version never falls,
// and it knows how long ago the view was last confirmed. It is safe for concurrent use;
// lookups never wait for a version that is being built. Lock order: updates, mu.
type Replica struct {
	// updates is held by whoever builds a version.
	updates sync.Mutex
	// history are the last changes, oldest first, each from the version before.
	history []*Change

	mu sync.Mutex
	// whole is the newest version as a whole; config is the same, but for keys that a
	// later version takes away.
	whole, config *Config
	confirmed     time.Duration
	changed       func(*Config)
}

const (
	// historyLength is how many changes are kept for processes that are behind. At 430
	// changes a day a process that is sixteen behind has been away for an hour; it gets
	// the whole version.
	historyLength = 16
	// historyShare bounds the rows of all kept changes against those of a version:
	// beyond it a whole version is smaller.
	historyShare = 0.5
)

// NewReplica returns an empty replica.
func NewReplica() *Replica { return &Replica{} }

// OnChange sets who is told of each new version, one at a time.
func (r *Replica) OnChange(changed func(*Config)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.changed = changed
}

// Put takes a whole version unless one as new is in force, and reports whether it did.
// An answer that was delayed on its way may bear an older version; taking it would bring
// back routes and keys that were removed. pause is called between parts of the work.
func (r *Replica) Put(content Content, pause func()) bool {
	r.updates.Lock()
	defer r.updates.Unlock()
	base := r.base()
	if base.Version >= content.Version {
		return false
	}
	next, ch := base.Next(content, pause)
	r.install(next, ch)
	return true
}

// Begin starts an update by a change whose routes are still to come. It takes away at
// once the keys that the later version does not have: the routes of a large version must
// not hold up a revocation. Nothing else of that version is in force before all of it is.
// Errors: ErrBase.
func (r *Replica) Begin(ch *Change) (*Update, error) {
	r.updates.Lock()
	defer r.updates.Unlock()
	base := r.base()
	u, err := base.begin(ch)
	if err != nil {
		return nil, err
	}
	if base.Version < ch.Version {
		r.revoke(ch.taken(base))
	}
	return u, nil
}

func (r *Replica) revoke(keys []string) {
	if len(keys) == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.config = r.config.without(keys)
}

// Commit puts the version of an update in force. It reports false if a version as new is
// in force. Errors: ErrBase, if another version was put in force since the update began.
func (r *Replica) Commit(u *Update) (bool, error) {
	r.updates.Lock()
	defer r.updates.Unlock()
	base := r.base()
	if base.Version >= u.Version {
		return false, nil
	}
	if u.Base != 0 && u.base != base {
		return false, errors.Wrapf(ErrBase, "from %d, in force is %d", u.Base, base.Version)
	}
	r.install(u.config(), u.Change)
	return true, nil
}

// base is the newest version as a whole; updates is held.
func (r *Replica) base() *Config {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.whole == nil {
		return empty()
	}
	return r.whole
}

// install puts a version in force; updates is held.
func (r *Replica) install(next *Config, ch *Change) {
	if ch.Base == 0 {
		r.history = nil
	} else {
		r.history = append(r.history, ch)
	}
	rows := 0
	for i := len(r.history) - 1; i >= 0; i-- {
		rows += r.history[i].Size()
		if len(r.history)-i > historyLength || float64(rows) > historyShare*float64(next.Routes()) && i < len(r.history)-1 {
			r.history = r.history[i+1:]
			break
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.whole, r.config = next, next
	if r.changed != nil {
		r.changed(next)
	}
}

// ChangeSince is the change from a version to the newest, nil if they are the same or there is
// none. Behind the history it is the whole version.
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
			out = Join(r.history[i], out)
		}
		if out.Base == version {
			return out
		}
	}
	return newest.whole()
}

// Version is the newest version, 0 before the first.
func (r *Replica) Version() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.whole == nil {
		return 0
	}
	return r.whole.Version
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
