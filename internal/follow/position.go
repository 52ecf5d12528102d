package follow

import (
	"time"

	"kingcupplank.example/kingcup/revision"
)

// Position says up to which revision a copy of a table is complete. The copy has all changes
// up to Revision.
//
// Revisions count the changes of all tables, so two copies with the same rows may have
// different revisions. Changed distinguishes these from copies with different rows.
type Position struct {
	// This table has no change after Changed and up to Revision. Changed may be higher than
	// the revision of the table's last change, but never lower.
	Changed, Revision revision.Revision
	// Clock is the store's steady clock at a time when Revision was the newest revision.
	Clock time.Duration
}

// Covers reports whether a copy at p has every change that a copy at o has.
func (p Position) Covers(o Position) bool { return !p.Revision.Before(o.Changed) }

// Merge returns the position of a copy at p when another copy is known to be at o, which p
// covers. If the ranges of revisions without changes overlap, the copy is complete up to the
// higher of the two revisions. Otherwise Merge returns p.
func (p Position) Merge(o Position) Position {
	if o.Revision.Before(p.Changed) {
		return p
	}
	return Position{Changed: revision.Earlier(p.Changed, o.Changed), Revision: revision.Later(p.Revision, o.Revision), Clock: max(p.Clock, o.Clock)}
}
