package lease

import (
	"context"
	"sync"

	"github.com/pkg/errors"

	"kingcupplank.example/kingcup/storage"
)

// ErrStale refuses an order whose term is below one that was seen.
var ErrStale = errors.New("order has an old term")

// Fence admits orders for one resource in rising terms. It is safe for
// concurrent use; orders pass one at a time.
type Fence struct {
	table storage.Table
	name  string

	mu     sync.Mutex
	term   uint64
	loaded bool
}

// NewFence guards the resource whose lease is called name.
func NewFence(table storage.Table, name string) *Fence {
	return &Fence{table: table, name: name}
}

// Do calls f if term is not below any that Do has admitted or that the table
// had given out when this process began. Orders never overlap.
func (f *Fence) Do(ctx context.Context, term uint64, order func() error) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	// After a restart the highest term is not in memory. Without reading it
	// back, a paused holder's old order would reach an engine that ignores
	// terms and undo a newer one. The order waits in f.mu until it is known.
	if !f.loaded {
		known, err := ReadTerm(ctx, f.table, f.name)
		if err != nil {
			return err
		}
		f.term = max(f.term, known)
		f.loaded = true
	}
	if term < f.term {
		return errors.Wrapf(ErrStale, "term %d, seen %d", term, f.term)
	}
	f.term = term
	return order()
}
