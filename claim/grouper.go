package claim

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"kingcupplank.example/kingcup/storage"
)

// maxGroup bounds the rows of one transaction.
const maxGroup = 128

const commitTimeout = 2 * time.Second

// grouper joins conditional writes of single rows into transactions. A row
// whose condition fails is taken out and the others are tried again, so that
// one conflict does not fail its neighbours.
type grouper struct {
	table  storage.Table
	window time.Duration
	in     chan *op
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

type op struct {
	key      string
	revision uint64
	value    []byte
	done     chan result
}

type result struct {
	revision uint64
	err      error
}

func newGrouper(table storage.Table, window time.Duration) *grouper {
	ctx, cancel := context.WithCancel(context.Background())
	g := &grouper{table: table, window: window, in: make(chan *op), ctx: ctx, cancel: cancel}
	g.wg.Go(g.run)
	return g
}

func (g *grouper) close() {
	g.cancel()
	g.wg.Wait()
}

// Put writes value under key if the row is at revision. After an error other
// than a conflict the write may still have been applied.
func (g *grouper) Put(ctx context.Context, key string, revision uint64, value []byte) (uint64, error) {
	o := &op{key: key, revision: revision, value: value, done: make(chan result, 1)}
	select {
	case g.in <- o:
	case <-ctx.Done():
		return 0, errors.Wrap(storage.ErrUnavailable, ctx.Err().Error())
	case <-g.ctx.Done():
		return 0, storage.ErrUnavailable
	}
	// The answer is waited for even when ctx ends: a claim that is applied
	// after its caller gave up would bar the key for ever.
	r := <-o.done
	return r.revision, r.err
}

func (g *grouper) run() {
	for {
		select {
		case first := <-g.in:
			group := g.collect(first)
			g.wg.Go(func() { g.commit(group) })
		case <-g.ctx.Done():
			return
		}
	}
}

// collect gathers what arrives within the window. A second write of one key
// goes into the next group, since a transaction has one condition a row.
func (g *grouper) collect(first *op) []*op {
	group := []*op{first}
	t := time.NewTimer(g.window)
	defer t.Stop()
	for len(group) < maxGroup {
		select {
		case o := <-g.in:
			if slices.ContainsFunc(group, func(p *op) bool { return p.key == o.key }) {
				g.wg.Go(func() { g.commit([]*op{o}) })
				continue
			}
			group = append(group, o)
		case <-t.C:
			return group
		case <-g.ctx.Done():
			return group
		}
	}
	return group
}

func (g *grouper) commit(group []*op) {
	for len(group) > 0 {
		rev, err := g.commitOnce(group)
		var conflict *storage.ConflictError
		if !errors.As(err, &conflict) {
			answer(group, result{revision: rev, err: err})
			return
		}
		group = slices.DeleteFunc(group, func(o *op) bool {
			if !slices.Contains(conflict.Keys, o.key) {
				return false
			}
			o.done <- result{err: &storage.ConflictError{Keys: []string{o.key}}}
			return true
		})
	}
}

func (g *grouper) commitOnce(group []*op) (uint64, error) {
	var txn storage.Txn
	for _, o := range group {
		txn.Conditions = append(txn.Conditions, storage.Condition{Key: o.key, Revision: o.revision})
		txn.Writes = append(txn.Writes, storage.Write{Key: o.key, Value: o.value})
	}
	ctx, cancel := context.WithTimeout(context.Background(), commitTimeout)
	defer cancel()
	return g.table.Commit(ctx, txn)
}

func answer(group []*op, r result) {
	for _, o := range group {
		o.done <- r
	}
}
