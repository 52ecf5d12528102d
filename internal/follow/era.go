package follow

import "time"

// Restorer is a Sink that takes a table of a later era in its own way: what the copy shows
// is older than what the sink has, until it has been written again.
type Restorer interface {
	Restored(rows []Row, outage time.Duration)
}

// restoredOutage is the outage that a table of a later era stands under at least: rows of
// owners that live are missing in it until they have written them again.
const restoredOutage = 2 * time.Second
