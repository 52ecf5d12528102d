// Package origin records which software version of a service's servers began each stream. What two
// versions send doesn't fit together, so a stream that its caller takes up again must go on at the
// version that began it, at whichever process the caller returns to.
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
	// MaxEntries bounds the streams in a Book. The oldest ones are dropped first.
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

// Book records origins. The order in which they are recorded, and how often, doesn't matter: two
// different origins of a stream contradict each other. It is not safe for concurrent use.
type Book struct {
	entries map[ID]entry
	// order has the ids by the time at which they were recorded first or renewed last.
	order []ID
}

// NewBook returns an empty book.
func NewBook() *Book { return &Book{entries: make(map[ID]entry)} }

// Record records the origin of a stream for a lifetime, or renews it.
func (b *Book) Record(id ID, o Origin, lifetime, now time.Duration) {
	b.expire(now)
	expiresAt := now + min(max(0, lifetime), MaxLifetime)
	e, known := b.entries[id]
	if !known {
		if len(b.entries) >= MaxEntries {
			b.dropOldest()
		}
		b.entries[id] = entry{origin: o, isContradicted: o.SoftwareVersion == "", expiresAt: expiresAt}
		b.order = append(b.order, id)
		return
	}
	e.isContradicted = e.isContradicted || e.origin != o
	e.expiresAt = max(e.expiresAt, expiresAt)
	b.entries[id] = e
}

// Lookup returns the origin of a stream, and false if it is unknown or contradicted.
func (b *Book) Lookup(id ID, now time.Duration) (Origin, bool) {
	e, known := b.entries[id]
	if !known || e.isContradicted || now >= e.expiresAt {
		return Origin{}, false
	}
	return e.origin, true
}

// Len returns the number of streams in the book.
func (b *Book) Len() int { return len(b.entries) }

// expire drops the streams at the front of the order whose lifetime is over.
func (b *Book) expire(now time.Duration) {
	for len(b.order) > 0 {
		id := b.order[0]
		if e := b.entries[id]; now < e.expiresAt {
			return
		}
		b.dropOldest()
	}
}

func (b *Book) dropOldest() {
	delete(b.entries, b.order[0])
	b.order = b.order[1:]
}
