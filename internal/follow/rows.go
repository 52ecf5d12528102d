package follow

import (
	"cmp"
	"slices"

	"kingcupplank.example/kingcup/revision"
)

// maxDrops is how many dropped rows are remembered, in some 100 KB: a hundred times those
// of an hour in which 280 VMs a day are replaced.
const maxDrops = 1200

// rows is a table as it was read, with what was dropped of late, so that other processes
// can have it from this one. It is not safe for concurrent use.
type rows struct {
	all map[string]Row
	// drops counts the dropped rows in all; those up to forgotten are not there.
	drops     int
	forgotten revision.Revision
}

// reset replaces everything by the table as it stood at a revision.
func (r *rows) reset(list []Row, at revision.Revision) {
	r.all = make(map[string]Row, len(list))
	r.drops, r.forgotten = 0, at
	for _, row := range list {
		r.all[row.Key] = row
	}
}

// apply takes changes, in order.
func (r *rows) apply(list []Row) {
	for _, row := range list {
		if r.all[row.Key].Deleted {
			r.drops--
		}
		if row.Deleted {
			r.drops++
			row.Value = nil
		}
		r.all[row.Key] = row
	}
	if r.drops > maxDrops {
		r.forget()
	}
}

func (r *rows) forget() {
	for key, row := range r.all {
		if row.Deleted {
			r.forgotten = revision.Later(r.forgotten, row.Revision)
			delete(r.all, key)
		}
	}
	r.drops = 0
}

// since lists what has changed after a revision, by revision. It is the whole table, with
// whole set, where drops since then are not remembered.
func (r *rows) since(known revision.Revision) (list []Row, whole bool) {
	whole = known.Before(r.forgotten) || known.IsZero()
	for _, row := range r.all {
		if whole && !row.Deleted || !whole && known.Before(row.Revision) {
			list = append(list, row)
		}
	}
	slices.SortFunc(list, func(a, b Row) int {
		return cmp.Or(a.Revision.Compare(b.Revision), cmp.Compare(a.Key, b.Key))
	})
	return list, whole
}
