// Package origin records which software version of a service's servers began each stream. What two
// versions send doesn't fit together, so a stream that its caller resumes must continue at the version
// that began it, at whichever process the caller returns to.
//
// The package does no I/O; times are points on one monotonic clock and are passed in.
package origin

import (
	"crypto/sha256"
	"time"
)

// ID identifies a stream: the team of its caller and the id of the caller's attempt that received its
// first event. A team can't name the streams of another one.
type ID [16]byte

// NewID returns the id of a stream.
func NewID(team, attempt string) (id ID) {
	sum := sha256.Sum256([]byte(team + "\x00" + attempt))
	copy(id[:], sum[:])
	return id
}

// Origin says which servers began a stream.
type Origin struct {
	Service string
	// SoftwareVersion is the version of the servers' software. An origin without one is contradicted
	// by every other.
	SoftwareVersion string
}

const (
	// MaxEntries bounds the streams in a Table. The oldest ones are dropped first.
	MaxEntries = 1 << 15
	// MaxLifetime bounds the time for which an origin is kept, whatever a peer names.
	MaxLifetime = 10 * time.Minute
)

// entry is what is known of a stream. isContradicted is set once two origins were recorded for it, which
// leaves it without one for its lifetime.
type entry struct {
	origin         Origin
	isContradicted bool
	expiresAt      time.Duration
}

// Table records origins. The order in which they are recorded, and how often, doesn't matter: two
// different origins of a stream contradict each other. It is not safe for concurrent use.
type Table struct {
	entries map[ID]entry
	// order has the ids in the order in which they were first recorded.
	order []ID
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{entries: make(map[ID]entry)} }

// Record records the origin of a stream for a lifetime, or renews it.
func (t *Table) Record(id ID, o Origin, lifetime, now time.Duration) {
	t.expire(now)
	expiresAt := now + min(max(0, lifetime), MaxLifetime)
	e, known := t.entries[id]
	if !known {
		if len(t.entries) >= MaxEntries {
			t.dropOldest()
		}
		t.entries[id] = entry{origin: o, isContradicted: o.SoftwareVersion == "", expiresAt: expiresAt}
		t.order = append(t.order, id)
		return
	}
	e.isContradicted = e.isContradicted || e.origin != o
	e.expiresAt = max(e.expiresAt, expiresAt)
	t.entries[id] = e
}

// Lookup returns the origin of a stream, and false if it is unknown or contradicted.
func (t *Table) Lookup(id ID, now time.Duration) (Origin, bool) {
	e, known := t.entries[id]
	if !known || e.isContradicted || now >= e.expiresAt {
		return Origin{}, false
	}
	return e.origin, true
}

// Len returns the number of streams in the table.
func (t *Table) Len() int { return len(t.entries) }

// expire drops the streams at the front of the order whose lifetime is over.
func (t *Table) expire(now time.Duration) {
	for len(t.order) > 0 {
		id := t.order[0]
		if e := t.entries[id]; now < e.expiresAt {
			return
		}
		t.dropOldest()
	}
}

func (t *Table) dropOldest() {
	delete(t.entries, t.order[0])
	t.order = t.order[1:]
}
