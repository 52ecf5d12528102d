package conf

import (
	"sync"
	"sync/atomic"

	kingcupv1 "kingcupplank.example/kingcup/proto/kingcup/v1"
)

const keptDeltas = 64

// Replica is the configuration in force at one process. Its version only
// rises. It is safe for concurrent use; readers take no lock.
type Replica struct {
	state atomic.Pointer[State]

	mu      sync.Mutex
	deltas  []*kingcupv1.Delta
	changed chan struct{}
}

// NewReplica starts at version 0.
func NewReplica() *Replica {
	r := &Replica{changed: make(chan struct{})}
	r.state.Store(Empty())
	return r
}

// State is the configuration in force.
func (r *Replica) State() *State {
	return r.state.Load()
}

// Version is the version in force.
func (r *Replica) Version() uint64 {
	return r.State().Version()
}

// Changed returns a channel that closes when the version rises above the one
// in force now.
func (r *Replica) Changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changed
}

// Apply brings a delta into force. A delta at or below the version in force is
// dropped; one that leaves a gap returns ErrGap.
func (r *Replica) Apply(d *kingcupv1.Delta) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	cur := r.state.Load()
	// Deltas arrive from the store and from several peers, late and repeated.
	// An older one in force again would revert an accepted change; comparing
	// under the lock lets the version only rise.
	if d.GetVersion() <= cur.Version() {
		return nil
	}
	next, err := cur.WithDelta(d)
	if err != nil {
		return err
	}
	r.deltas = append(r.deltas, d)
	if len(r.deltas) > keptDeltas {
		r.deltas = append(r.deltas[:0], r.deltas[len(r.deltas)-keptDeltas:]...)
	}
	r.set(next)
	return nil
}

// Install brings a whole state into force if it is newer.
func (r *Replica) Install(s *State) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s.Version() <= r.state.Load().Version() {
		return
	}
	r.deltas = nil
	r.set(s)
}

func (r *Replica) set(s *State) {
	r.state.Store(s)
	close(r.changed)
	r.changed = make(chan struct{})
}

// DeltasSince returns the deltas that lead from version have to the version in
// force; ok is false if they are no longer held and a snapshot is needed.
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
