package conf

import (
	"sync"
	"sync/atomic"

	kingcupv1 "kingcupplank.example/kingcup/proto/kingcup/v1"
)

// maxReplicaDeltas is the number of recent deltas that a replica keeps for peers
// whose version is behind.
const maxReplicaDeltas = 64

// Replica is the configuration that a process uses. Its version never decreases. It
// is safe for concurrent use; State and Version take no lock.
type Replica struct {
	state atomic.Pointer[State]

	mu sync.Mutex
	// deltas are consecutive and end at the current version.
	deltas  []*kingcupv1.Delta
	changed chan struct{}
}

// NewReplica returns a replica at version 0.
func NewReplica() *Replica {
	r := &Replica{changed: make(chan struct{})}
	r.state.Store(EmptyState())
	return r
}

// State returns the current configuration.
func (r *Replica) State() *State {
	return r.state.Load()
}

// Version returns the current version.
func (r *Replica) Version() uint64 {
	return r.State().Version()
}

// Changed returns a channel that is closed at the next change of the version.
func (r *Replica) Changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changed
}

// Apply applies a delta. It ignores a delta that is not above the current version
// and returns ErrGap for one that is not the next.
func (r *Replica) Apply(d *kingcupv1.Delta) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	current := r.state.Load()
	// Deltas arrive from the store and from several peers, late and repeated. An
	// older delta would revert an accepted change. The versions are compared
	// under the lock, so the version never decreases.
	if d.GetVersion() <= current.Version() {
		return nil
	}
	next, err := current.WithDelta(d)
	if err != nil {
		return err
	}
	r.deltas = append(r.deltas, d)
	if len(r.deltas) > maxReplicaDeltas {
		r.deltas = append(r.deltas[:0], r.deltas[len(r.deltas)-maxReplicaDeltas:]...)
	}
	r.set(next)
	return nil
}

// Install replaces the current state by s if s is newer.
func (r *Replica) Install(s *State) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s.Version() <= r.state.Load().Version() {
		return
	}
	r.deltas = nil
	r.set(s)
}

// set makes s the current state. The caller holds r.mu.
func (r *Replica) set(s *State) {
	r.state.Store(s)
	close(r.changed)
	r.changed = make(chan struct{})
}

// DeltasSince returns the deltas from version have to the current version. If the
// replica no longer has them, ok is false and the peer needs a snapshot.
func (r *Replica) DeltasSince(have uint64) (deltas []*kingcupv1.Delta, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if have >= r.state.Load().Version() {
		return nil, true
	}
	if len(r.deltas) == 0 || r.deltas[0].GetVersion() > have+1 {
		return nil, false
	}
	first := have + 1 - r.deltas[0].GetVersion()
	return append(deltas, r.deltas[first:]...), true
}
