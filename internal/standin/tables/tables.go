// Package tables is a stand-in for the platform: a transactional table, an
// object store and a VM list in memory, with faults that tests can inject.
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

// Counts holds the number of commits, of written or deleted rows, and of reads
// and scans.
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

	outage          bool
	loseBeforeApply int
	loseAfterApply  int
	commitDelay     time.Duration
}

// New returns an empty table.
func New() *Table {
	return &Table{rows: make(map[string]storage.Row), objects: make(map[string][]byte)}
}

// SetOutage makes every operation fail while on is set.
func (t *Table) SetOutage(on bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.outage = on
}

// LoseCommitResponses makes the next commits return an unknown outcome. The
// first beforeApply of them are not applied, the following afterApply are.
func (t *Table) LoseCommitResponses(beforeApply, afterApply int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.loseBeforeApply, t.loseAfterApply = beforeApply, afterApply
}

// SetCommitDelay delays the result of each commit for d after it is applied.
func (t *Table) SetCommitDelay(d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.commitDelay = d
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

// Counts returns the counts of operations so far.
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
	if t.loseBeforeApply > 0 {
		t.loseBeforeApply--
		return 0, 0, storage.ErrOutcomeUnknown
	}
	rev, err := t.apply(txn)
	if t.loseAfterApply > 0 {
		t.loseAfterApply--
		return 0, 0, storage.ErrOutcomeUnknown
	}
	return rev, t.commitDelay, err
}

func (t *Table) apply(txn storage.Txn) (uint64, error) {
	t.counts.Commits++
	var conflicts []string
	for _, c := range txn.Conditions {
		if t.rows[c.Key].Revision != c.Revision {
			conflicts = append(conflicts, c.Key)
		}
	}
	if len(conflicts) > 0 {
		return 0, &storage.ConflictError{Keys: conflicts}
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
