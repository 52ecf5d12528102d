// Package revision orders the states of a store that may come back from a copy some seconds old.
//
// Its versions then go back and are given out again, so a version alone does not tell which of two
// states is newer; its era, which rises each time, does. A Revision holds both and is compared by
// its methods only: versions of two eras cannot be compared by mistake.
package revision

import (
	"cmp"
	"fmt"
)

// Revision is a version of the store within an era. The zero value is before all others.
type Revision struct {
	// ordered has the era in front, so that it compares as the states do.
	ordered uint64
}

const (
	versionBits = 44
	// MaxEra is the highest era that a revision holds.
	MaxEra = 1<<(64-versionBits) - 1
)

// At is the revision of a version in an era. A store that names no era has era 0.
func At(era, version uint64) Revision {
	return Revision{era<<versionBits | version&(1<<versionBits-1)}
}

// FromWire reads a revision as processes tell it each other.
func FromWire(n uint64) Revision { return Revision{n} }

// Wire is the revision as processes tell it each other.
func (r Revision) Wire() uint64 { return r.ordered }

// Era is the era of the revision.
func (r Revision) Era() uint64 { return r.ordered >> versionBits }

// Version is the version within the era.
func (r Revision) Version() uint64 { return r.ordered & (1<<versionBits - 1) }

// IsZero reports whether there is no revision.
func (r Revision) IsZero() bool { return r.ordered == 0 }

// Before reports whether the state at r is older than that at o.
func (r Revision) Before(o Revision) bool { return r.ordered < o.ordered }

// Compare orders revisions as cmp.Compare does.
func (r Revision) Compare(o Revision) int { return cmp.Compare(r.ordered, o.ordered) }

// String implements fmt.Stringer: the version, behind its era if there is one.
func (r Revision) String() string {
	if r.Era() == 0 {
		return fmt.Sprint(r.Version())
	}
	return fmt.Sprintf("%d/%d", r.Era(), r.Version())
}

// Later is the newer of two.
func Later(a, b Revision) Revision {
	if a.Before(b) {
		return b
	}
	return a
}

// Earlier is the older of two.
func Earlier(a, b Revision) Revision {
	if b.Before(a) {
		return b
	}
	return a
}
