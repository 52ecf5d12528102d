package lease

import (
	"context"
	"sync"

	"github.com/pkg/errors"

	"kingcupplank.example/kingcup/storage"
)

// ErrStale means that the order's term is lower than one already seen.
var ErrStale = errors.New("order has an old term")

// Fence refuses orders for one resource that have a stale term. It is safe for
// concurrent use and executes one order at a time.
type Fence struct {
	table storage.Table
	name  string

	mu sync.Mutex
	// term is the highest term seen; loaded is set when the term in the table
	// has been read.
	term   uint64
	loaded bool
}

// NewFence returns a fence for the resource whose lease is called name.
func NewFence(table storage.Table, name string) *Fence {
	return &Fence{table: table, name: name}
}

// Do calls order unless term is lower than a term that Do has accepted or that
// the table contained at the first call. Calls of order never overlap.
func (f *Fence) Do(ctx context.Context, term uint64, order func() error) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	// After a restart the highest term is not in memory and must be read from
	// the table. Otherwise an old order of a paused holder could reach an engine
	// that ignores terms and undo a newer order. f.mu is held during the read, so
	// other orders wait for it.
	if !f.loaded {
		storedTerm, err := ReadTerm(ctx, f.table, f.name)
		if err != nil {
			return err
		}
		f.term = max(f.term, storedTerm)
		f.loaded = true
	}
	if term < f.term {
		return errors.Wrapf(ErrStale, "term %d, seen %d", term, f.term)
	}
	f.term = term
	return order()
}
