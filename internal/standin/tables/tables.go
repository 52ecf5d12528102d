// Package tables is a stand-in for the platform: a transactional table, an
// object store and a VM list in memory, with faults that tests switch on.
package tables

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"kingcupplank.example/kingcup/storage"
	"kingcupplank.example/kingcup/vmlist"
)

// Counts are the operations that a Table has taken.
type Counts struct {
	Commits, Rows, Reads uint64
}

// Table implements storage.Table, storage.Objects and vmlist.Lister. It is
// safe for concurrent use.
type Table struct {
	mu       sync.Mutex
	rows     map[string]storage.Row
	objects  map[string][]byte
	vms      []vmlist.VM
	revision uint64
	counts   Counts

	outage     bool
	loseBefore int
	loseAfter  int
	delay      time.Duration
}

// New returns an empty table.
func New() *Table {
	return &Table{rows: make(map[string]storage.Row), objects: make(map[string][]byte)}
}

// SetOutage makes every operation fail until it is lifted.
func (t *Table) SetOutage(on bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.outage = on
}

// LoseCommitResponses loses the answers of the next commits: the first before of them
// are not applied, the following after are.
func (t *Table) LoseCommitResponses(before, after int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.loseBefore, t.loseAfter = before, after
}

// SetCommitDelay holds the answer of each commit back for d after it is applied.
func (t *Table) SetCommitDelay(d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.delay = d
}

// SetVMs sets the VM list.
func (t *Table) SetVMs(vms []vmlist.VM) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.vms = slices.Clone(vms)
}

// PutVM adds or replaces one VM.
func (t *Table) PutVM(vm vmlist.VM) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.vms = slices.DeleteFunc(t.vms, func(o vmlist.VM) bool { return o.Name == vm.Name })
	t.vms = append(t.vms, vm)
}

// Counts returns the operations taken so far.
func (t *Table) Counts() Counts {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.counts
}

// Commit implements storage.Table.
func (t *Table) Commit(_ context.Context, txn storage.Txn) (uint64, error) {
	rev, delay, err := t.commit(txn)
	time.Sleep(delay)
	return rev, err
}

func (t *Table) commit(txn storage.Txn) (uint64, time.Duration, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.outage {
		return 0, 0, storage.ErrUnavailable
	}
	if t.loseBefore > 0 {
		t.loseBefore--
		return 0, 0, storage.ErrOutcomeUnknown
	}
	rev, err := t.apply(txn)
	if t.loseAfter > 0 {
		t.loseAfter--
		return 0, 0, storage.ErrOutcomeUnknown
	}
	return rev, t.delay, err
}

func (t *Table) apply(txn storage.Txn) (uint64, error) {
	t.counts.Commits++
	var failed []string
	for _, c := range txn.Conditions {
		if t.rows[c.Key].Revision != c.Revision {
			failed = append(failed, c.Key)
		}
	}
	if len(failed) > 0 {
		return 0, &storage.ConflictError{Keys: failed}
	}
	t.revision++
	for _, w := range txn.Writes {
		t.counts.Rows++
		if w.Delete {
			delete(t.rows, w.Key)
			continue
		}
		t.rows[w.Key] = storage.Row{Key: w.Key, Value: slices.Clone(w.Value), Revision: t.revision}
	}
	return t.revision, nil
}

// Read implements storage.Table.
func (t *Table) Read(_ context.Context, keys ...string) ([]storage.Row, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.outage {
		return nil, storage.ErrUnavailable
	}
	t.counts.Reads++
	out := make([]storage.Row, 0, len(keys))
	for _, k := range keys {
		if r, ok := t.rows[k]; ok {
			out = append(out, r)
		}
	}
	return out, nil
}

// Scan implements storage.Table.
func (t *Table) Scan(_ context.Context, prefix string) ([]storage.Row, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.outage {
		return nil, storage.ErrUnavailable
	}
	t.counts.Reads++
	var out []storage.Row
	for k, r := range t.rows {
		if strings.HasPrefix(k, prefix) {
			out = append(out, r)
		}
	}
	slices.SortFunc(out, func(a, b storage.Row) int { return strings.Compare(a.Key, b.Key) })
	return out, nil
}

// Put implements storage.Objects.
func (t *Table) Put(_ context.Context, key string, value []byte) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.outage {
		return storage.ErrUnavailable
	}
	t.objects[key] = slices.Clone(value)
	return nil
}

// Get implements storage.Objects.
func (t *Table) Get(_ context.Context, key string) ([]byte, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.outage {
		return nil, storage.ErrUnavailable
	}
	value, ok := t.objects[key]
	if !ok {
		return nil, errors.Wrap(storage.ErrNotFound, key)
	}
	return slices.Clone(value), nil
}

// ListVMs implements vmlist.Lister.
func (t *Table) ListVMs(context.Context) ([]vmlist.VM, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.outage {
		return nil, storage.ErrUnavailable
	}
	return slices.Clone(t.vms), nil
}
