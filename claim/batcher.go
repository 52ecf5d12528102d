package claim

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"kingcupplank.example/kingcup/storage"
)

// maxBatchRows limits the rows of one transaction.
const maxBatchRows = 128

const commitTimeout = 2 * time.Second

// batcher batches conditional writes of single rows into transactions. When the
// condition of a row fails, that write fails and the others are committed again,
// so that one conflict does not fail the whole batch.
type batcher struct {
	table  storage.Table
	window time.Duration
	writes chan *pendingWrite
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

type pendingWrite struct {
	key      string
	revision uint64
	value    []byte
	done     chan writeResult
}

type writeResult struct {
	revision uint64
	err      error
}

func newBatcher(table storage.Table, window time.Duration) *batcher {
	ctx, cancel := context.WithCancel(context.Background())
	b := &batcher{table: table, window: window, writes: make(chan *pendingWrite), ctx: ctx, cancel: cancel}
	b.wg.Go(b.run)
	return b
}

// close stops the batcher and waits for the commits in flight.
func (b *batcher) close() {
	b.cancel()
	b.wg.Wait()
}

// Put writes value under key if the row is at revision, and returns the row's new
// revision. After an error other than a conflict the write may still have been
// applied.
func (b *batcher) Put(ctx context.Context, key string, revision uint64, value []byte) (uint64, error) {
	w := &pendingWrite{key: key, revision: revision, value: value, done: make(chan writeResult, 1)}
	select {
	case b.writes <- w:
	case <-ctx.Done():
		return 0, errors.Wrap(storage.ErrUnavailable, ctx.Err().Error())
	case <-b.ctx.Done():
		return 0, storage.ErrUnavailable
	}
	// Put waits for the result even if ctx ends. If it returned earlier, a claim
	// could be applied after its caller had given up, and block the key forever.
	r := <-w.done
	return r.revision, r.err
}

func (b *batcher) run() {
	for {
		select {
		case first := <-b.writes:
			batch := b.collect(first)
			b.wg.Go(func() { b.commit(batch) })
		case <-b.ctx.Done():
			return
		}
	}
}

// collect returns first and the writes that arrive within the window. A second
// write of the same key is committed by itself, because a transaction has one
// condition per row.
func (b *batcher) collect(first *pendingWrite) []*pendingWrite {
	batch := []*pendingWrite{first}
	t := time.NewTimer(b.window)
	defer t.Stop()
	for len(batch) < maxBatchRows {
		select {
		case w := <-b.writes:
			if slices.ContainsFunc(batch, func(other *pendingWrite) bool { return other.key == w.key }) {
				b.wg.Go(func() { b.commit([]*pendingWrite{w}) })
				continue
			}
			batch = append(batch, w)
		case <-t.C:
			return batch
		case <-b.ctx.Done():
			return batch
		}
	}
	return batch
}

// commit commits a batch and sends each write its result. After a conflict it
// retries without the conflicting writes.
func (b *batcher) commit(batch []*pendingWrite) {
	for len(batch) > 0 {
		rev, err := b.commitOnce(batch)
		var conflict *storage.ConflictError
		if !errors.As(err, &conflict) {
			complete(batch, writeResult{revision: rev, err: err})
			return
		}
		batch = slices.DeleteFunc(batch, func(w *pendingWrite) bool {
			if !slices.Contains(conflict.Keys, w.key) {
				return false
			}
			w.done <- writeResult{err: &storage.ConflictError{Keys: []string{w.key}}}
			return true
		})
	}
}

func (b *batcher) commitOnce(batch []*pendingWrite) (uint64, error) {
	var txn storage.Txn
	for _, w := range batch {
		txn.Conditions = append(txn.Conditions, storage.Condition{Key: w.key, Revision: w.revision})
		txn.Writes = append(txn.Writes, storage.Write{Key: w.key, Value: w.value})
	}
	ctx, cancel := context.WithTimeout(context.Background(), commitTimeout)
	defer cancel()
	return b.table.Commit(ctx, txn)
}

// complete sends the same result to all writes of a batch.
func complete(batch []*pendingWrite, r writeResult) {
	for _, w := range batch {
		w.done <- r
	}
}
