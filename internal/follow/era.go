package follow

import "time"

// Restorer is a Sink with a method of its own for a table of a later era. The store has been
// restored from a copy, so until rows have been written again the table is older than the
// sink's.
type Restorer interface {
	Restored(rows []Row, outage time.Duration)
}

// minRestoredOutage is the smallest outage that is reported with a table of a later era.
// Rows of running owners are missing in it until the owners have written them again.
const minRestoredOutage = 2 * time.Second
