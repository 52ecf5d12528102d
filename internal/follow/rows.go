package follow

import (
	"cmp"
	"slices"

	"kingcupplank.example/kingcup/revision"
)

// maxDeleted is the number of deleted rows that are kept, in some 100 KB. That is a hundred
// times the deletions of one hour when 280 VMs a day are replaced.
const maxDeleted = 1200

// rows is a copy of a table including recently deleted rows, from which other processes can
// be brought up to date. It is not safe for concurrent use.
type rows struct {
	all map[string]Row
	// deleted is the number of deleted rows in all. Rows deleted up to purgedUpTo are no
	// longer in all.
	deleted    int
	purgedUpTo revision.Revision
}

// reset replaces all rows by the table at a revision.
func (r *rows) reset(list []Row, at revision.Revision) {
	r.all = make(map[string]Row, len(list))
	r.deleted, r.purgedUpTo = 0, at
	for _, row := range list {
		r.all[row.Key] = row
	}
}

// apply applies changes in order.
func (r *rows) apply(list []Row) {
	for _, row := range list {
		if r.all[row.Key].Deleted {
			r.deleted--
		}
		if row.Deleted {
			r.deleted++
			row.Value = nil
		}
		r.all[row.Key] = row
	}
	if r.deleted > maxDeleted {
		r.purge()
	}
}

// purge removes all deleted rows.
func (r *rows) purge() {
	for key, row := range r.all {
		if row.Deleted {
			r.purgedUpTo = revision.Later(r.purgedUpTo, row.Revision)
			delete(r.all, key)
		}
	}
	r.deleted = 0
}

// since returns the rows changed or deleted after a revision, in the order of their
// revisions. If deletions since then have been purged, it returns the whole table with whole
// set.
func (r *rows) since(known revision.Revision) (list []Row, whole bool) {
	whole = known.Before(r.purgedUpTo) || known.IsZero()
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
