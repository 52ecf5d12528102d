package follow

import "time"

// A store may come back from a copy some seconds old. Its versions then go back and are
// given out again, so a version alone does not tell which of two states is newer; its era,
// which rises each time, does. A Revision holds both, the era in front: revisions compare as
// the states do, here and at peers. A store that names no era has era 0.
const (
	versionBits = 44
	// MaxEra is the highest era that a revision holds.
	MaxEra = 1<<(64-versionBits) - 1
)

// At is the revision of a version in an era.
func At(era, version uint64) uint64 { return era<<versionBits | version&(1<<versionBits-1) }

// EraOf is the era of a revision.
func EraOf(revision uint64) uint64 { return revision >> versionBits }

// VersionOf is the version of a revision within its era.
func VersionOf(revision uint64) uint64 { return revision & (1<<versionBits - 1) }

// Restorer is a Sink that takes a table of a later era in its own way: what the copy shows
// is older than what the sink has, until it has been written again.
type Restorer interface {
	Restored(rows []Row, outage time.Duration)
}

// restoredOutage is the outage that a table of a later era stands under at least: rows of
// owners that live are missing in it until they have written them again.
const restoredOutage = 2 * time.Second
