// Package lease implements leases: one holder at a time may give orders for a
// resource. Each acquisition has a higher term, which serves as fencing number. A
// lease is a row of the platform's table.
package lease

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"kingcupplank.example/kingcup/storage"
)

// ErrHeld means that another holder has the lease.
var ErrHeld = errors.New("lease is held by another")

// Lease is the right to give orders until Deadline.
type Lease struct {
	// Term is the fencing number.
	Term uint64
	// Deadline is on the holder's monotonic clock. The time to live counts from
	// before the call to the table, so the holder's lease ends no later than the
	// expiry in the table.
	Deadline time.Time
}

// safetyMargin is the time before Deadline in which the holder no longer acts. It
// covers the delivery of an order to its agent.
const safetyMargin = time.Second

// Valid reports whether the holder may give an order at now.
func (l Lease) Valid(now time.Time) bool {
	// A paused process does not notice that its lease expires. The
	// holder therefore checks its monotonic clock, which continues during a
	// pause, directly before it acts. If an order is delayed after the check, the
	// agent refuses it once it has seen a higher term.
	return now.Before(l.Deadline.Add(-safetyMargin))
}

type record struct {
	Holder string
	Term   uint64
	// Expires is in Unix milliseconds. Only other holders read it; they compare
	// it with their own wall clock before a takeover.
	Expires int64
}

// Manager acquires leases. It is safe for concurrent use.
type Manager struct {
	table  storage.Table
	holder string
	ttl    time.Duration
}

// NewManager returns a manager that acquires leases for holder, each for ttl.
func NewManager(table storage.Table, holder string, ttl time.Duration) *Manager {
	return &Manager{table: table, holder: holder, ttl: ttl}
}

func rowKey(name string) string {
	return "lease/" + name
}

// Acquire acquires the lease called name under a new, higher term. It returns
// ErrHeld, an error of the platform, or *storage.ConflictError if another holder
// acquired the lease at the same time. If the response to the commit is lost, the
// lease counts as not acquired; its term may then be used up and is skipped.
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

// Release lets other holders acquire the lease at once; the row keeps the term. It
// does nothing if the lease already has another term.
func (m *Manager) Release(ctx context.Context, name string, l Lease) error {
	rec, revision, err := m.read(ctx, name)
	if err != nil || rec.Term != l.Term {
		return err
	}
	return m.write(ctx, name, revision, record{Term: rec.Term})
}

// ReadTerm returns the highest term of the lease called name; 0 if it was never
// acquired.
func ReadTerm(ctx context.Context, table storage.Table, name string) (uint64, error) {
	m := Manager{table: table}
	rec, _, err := m.read(ctx, name)
	return rec.Term, err
}

func (m *Manager) read(ctx context.Context, name string) (record, uint64, error) {
	rows, err := m.table.Read(ctx, rowKey(name))
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
		Conditions: []storage.Condition{{Key: rowKey(name), Revision: revision}},
		Writes:     []storage.Write{{Key: rowKey(name), Value: value}},
	})
	return err
}
