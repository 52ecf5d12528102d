// Package revision orders the states of a store that may be restored from a copy that is some
// seconds old.
//
// After a restore, the store's version number goes back and the same numbers are assigned again,
// so a version alone doesn't tell which of two states is newer. The era increases with each
// restore. A Revision holds both and is compared only through its methods, so that versions of
// different eras can't be compared by mistake.
package revision

import (
	"cmp"
	"fmt"
)

// Revision is a version of the store within an era. The zero value is before all others.
type Revision struct {
	// packed holds the era in its high bits and the version in its low bits, so that comparing
	// the numbers compares the revisions.
	packed uint64
}

const (
	versionBits = 44
	// MaxEra is the highest era that fits into a Revision.
	MaxEra = 1<<(64-versionBits) - 1
)

// At returns the revision of a version in an era. A store that reports no era has era 0.
func At(era, version uint64) Revision {
	return Revision{era<<versionBits | version&(1<<versionBits-1)}
}

// FromWire decodes a revision from its wire encoding, see Wire.
func FromWire(n uint64) Revision { return Revision{n} }

// Wire returns the encoding of the revision in messages between processes.
func (r Revision) Wire() uint64 { return r.packed }

// Era returns the era of the revision.
func (r Revision) Era() uint64 { return r.packed >> versionBits }

// Version returns the version within the era.
func (r Revision) Version() uint64 { return r.packed & (1<<versionBits - 1) }

// IsZero reports whether r is the zero value, which means that there is no revision.
func (r Revision) IsZero() bool { return r.packed == 0 }

// Before reports whether the state at r is older than the state at o.
func (r Revision) Before(o Revision) bool { return r.packed < o.packed }

// Compare orders revisions as cmp.Compare does.
func (r Revision) Compare(o Revision) int { return cmp.Compare(r.packed, o.packed) }

// String implements fmt.Stringer. It formats as "era/version", or as the version alone if the
// era is 0.
func (r Revision) String() string {
	if r.Era() == 0 {
		return fmt.Sprint(r.Version())
	}
	return fmt.Sprintf("%d/%d", r.Era(), r.Version())
}

// Later returns the newer of two revisions.
func Later(a, b Revision) Revision {
	if a.Before(b) {
		return b
	}
	return a
}

// Earlier returns the older of two revisions.
func Earlier(a, b Revision) Revision {
	if b.Before(a) {
		return b
	}
	return a
}
