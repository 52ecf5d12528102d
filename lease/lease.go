// Package lease gives one holder at a time the right to order something, with
// a term that rises with each new holder and serves as fencing number. The
// lease lives in a row of the platform's table.
package lease

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"kingcupplank.example/kingcup/storage"
)

// ErrHeld says that another holder has the lease.
var ErrHeld = errors.New("lease is held by another")

// Lease is the right to give orders until Deadline.
type Lease struct {
	// Term is the fencing number.
	Term uint64
	// Deadline is on the holder's own monotonic clock, counted from before
	// the table was asked.
	Deadline time.Time
}

// margin is left unused at the end of a lease, for the time that an order
// takes to its agent.
const margin = time.Second

// Valid reports whether the holder may still act at now.
func (l Lease) Valid(now time.Time) bool {
	// A holder that was paused still believes in its lease. It compares its
	// monotonic clock, which runs on during a pause, directly before it acts;
	// an order that passes the check and stalls afterwards is refused by the
	// agent, which knows the higher term.
	return now.Before(l.Deadline.Add(-margin))
}

type record struct {
	Holder string
	Term   uint64
	// Expires is in Unix milliseconds; only for takeover by others, who wait
	// for the whole time to live on their own clock as well.
	Expires int64
}

// Manager acquires leases. It is safe for concurrent use.
type Manager struct {
	table  storage.Table
	holder string
	ttl    time.Duration
}

// NewManager acquires leases for holder.
func NewManager(table storage.Table, holder string, ttl time.Duration) *Manager {
	return &Manager{table: table, holder: holder, ttl: ttl}
}

func key(name string) string {
	return "lease/" + name
}

// Acquire takes the lease called name under a new, higher term. It returns
// ErrHeld, an error of the platform, or *storage.ConflictError if another
// holder was faster. A commit whose answer was lost counts as not acquired:
// the term it may have used up is skipped.
func (m *Manager) Acquire(ctx context.Context, name string) (Lease, error) {
	now := time.Now()
	rec, revision, err := m.read(ctx, name)
	if err != nil {
		return Lease{}, err
	}
	if rec.Holder != "" && rec.Holder != m.holder && rec.Expires > now.UnixMilli() {
		return Lease{}, errors.Wrapf(ErrHeld, "%s by %s, term %d", name, rec.Holder, rec.Term)
	}
	next := record{Holder: m.holder, Term: rec.Term + 1, Expires: now.Add(m.ttl).UnixMilli()}
	if err := m.write(ctx, name, revision, next); err != nil {
		return Lease{}, err
	}
	return Lease{Term: next.Term, Deadline: now.Add(m.ttl)}, nil
}

// Release lets others acquire at once; the term stays.
func (m *Manager) Release(ctx context.Context, name string, l Lease) error {
	rec, revision, err := m.read(ctx, name)
	if err != nil || rec.Term != l.Term {
		return err
	}
	return m.write(ctx, name, revision, record{Term: rec.Term})
}

// ReadTerm reads the highest term that was given out for name.
func ReadTerm(ctx context.Context, table storage.Table, name string) (uint64, error) {
	m := Manager{table: table}
	rec, _, err := m.read(ctx, name)
	return rec.Term, err
}

func (m *Manager) read(ctx context.Context, name string) (record, uint64, error) {
	rows, err := m.table.Read(ctx, key(name))
	if err != nil || len(rows) == 0 {
		return record{}, 0, err
	}
	var rec record
	if err := json.Unmarshal(rows[0].Value, &rec); err != nil {
		return record{}, 0, errors.Wrapf(err, "lease %s", name)
	}
	return rec, rows[0].Revision, nil
}

func (m *Manager) write(ctx context.Context, name string, revision uint64, rec record) error {
	value, err := json.Marshal(rec)
	if err != nil {
		return errors.Wrap(err, "marshal lease")
	}
	_, err = m.table.Commit(ctx, storage.Txn{
		Conditions: []storage.Condition{{Key: key(name), Revision: revision}},
		Writes:     []storage.Write{{Key: key(name), Value: value}},
	})
	return err
}
