package follow

import (
	"time"

	"kingcupplank.example/kingcup/revision"
)

// Position is how far a copy of a table is. The copy has all changes up to Revision.
//
// Revisions count the changes of all tables, so two copies with the same rows may stand at
// different ones. Changed tells them from copies that differ.
type Position struct {
	// Changed and Revision bound a span without changes of this table: none after Changed,
	// up to Revision. Changed may be above the table's last change, never below it.
	Changed, Revision revision.Revision
	// Clock is the store's steady clock when Revision was its newest.
	Clock time.Duration
}

// Has reports whether a copy at p has every change that one at o has.
func (p Position) Has(o Position) bool { return !p.Revision.Before(o.Changed) }

// Join is how far a copy at p is once it is known that another is at o, which p has: the
// spans without changes meet, so the copy is as far as the further of the two.
func (p Position) Join(o Position) Position {
	if o.Revision.Before(p.Changed) {
		return p
	}
	return Position{Changed: revision.Earlier(p.Changed, o.Changed), Revision: revision.Later(p.Revision, o.Revision), Clock: max(p.Clock, o.Clock)}
}
