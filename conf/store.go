package conf

import (
	"context"
	"fmt"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"kingcupplank.example/kingcup/internal/wait"
	kingcupv1 "kingcupplank.example/kingcup/proto/kingcup/v1"
	"kingcupplank.example/kingcup/storage"
)

// Keys of the configuration in the table and the object store.
const (
	headKey     = "config/head"
	deltaPrefix = "config/delta/"
	snapshotKey = "config/snapshot"
)

// VersionsPerSnapshot is the number of versions between snapshots.
const VersionsPerSnapshot = 32

// MaxTableDeltas is how many deltas stay in the table; a change can be recognized by
// its id for as long. It is over a day of changes at the target size.
const MaxTableDeltas = 512

const (
	settleTries   = 5
	settleBackoff = 50 * time.Millisecond
)

// ConflictError says that a change was refused because the head has moved.
type ConflictError struct {
	// Version is the head that the change met; 0 if it is not known.
	Version uint64
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("configuration is at version %d", e.Version)
}

// Store commits and loads configuration. It is safe for concurrent use.
type Store struct {
	table   storage.Table
	objects storage.Objects
}

// NewStore keeps deltas in table and snapshots in objects.
func NewStore(table storage.Table, objects storage.Objects) *Store {
	return &Store{table: table, objects: objects}
}

func deltaKey(version uint64) string {
	return fmt.Sprintf("%s%016d", deltaPrefix, version)
}

type head struct {
	version  uint64
	revision uint64
}

func (s *Store) readHead(ctx context.Context) (head, error) {
	rows, err := s.table.Read(ctx, headKey)
	if err != nil || len(rows) == 0 {
		return head{}, err
	}
	version, err := strconv.ParseUint(string(rows[0].Value), 10, 64)
	if err != nil {
		return head{}, errors.Wrap(err, "parse configuration head")
	}
	return head{version: version, revision: rows[0].Revision}, nil
}

// Head reads the version of the head.
func (s *Store) Head(ctx context.Context) (uint64, error) {
	h, err := s.readHead(ctx)
	return h.version, err
}

// Commit makes d the next version if the head is still d.Version - 1. Errors:
// *ConflictError, storage.ErrUnavailable (certainly not committed),
// storage.ErrUnsettled (may be committed).
func (s *Store) Commit(ctx context.Context, d *kingcupv1.Delta) error {
	h, err := s.readHead(ctx)
	if err != nil {
		return err
	}
	if h.version+1 != d.GetVersion() {
		return s.conflict(ctx, d, h.version)
	}
	value, err := proto.Marshal(d)
	if err != nil {
		return errors.Wrap(err, "marshal delta")
	}
	txn := storage.Txn{
		Conditions: []storage.Condition{{Key: headKey, Revision: h.revision}},
		Writes: []storage.Write{
			{Key: headKey, Value: strconv.AppendUint(nil, d.GetVersion(), 10)},
			{Key: deltaKey(d.GetVersion()), Value: value},
		},
	}
	return s.commitSettled(ctx, d, txn)
}

// commitSettled repeats a commit whose answer was lost until it is known who
// holds the version. The repeat is safe: the transaction is conditional on the
// head's revision, so it takes effect once at most, however often it is sent.
func (s *Store) commitSettled(ctx context.Context, d *kingcupv1.Delta, txn storage.Txn) error {
	sent := false
	for range settleTries {
		_, err := s.table.Commit(ctx, txn)
		var conflict *storage.ConflictError
		switch {
		case err == nil:
			return nil
		case errors.As(err, &conflict):
			return s.conflict(ctx, d, d.GetVersion())
		case errors.Is(err, storage.ErrUnsettled):
			sent = true
		case !sent:
			return err
		}
		if !wait.For(ctx, settleBackoff) {
			break
		}
	}
	return errors.Wrapf(storage.ErrUnsettled, "change %s", d.GetChangeId())
}

// conflict decides whether the version that stands in the way is d itself,
// committed by an earlier try whose answer was lost.
func (s *Store) conflict(ctx context.Context, d *kingcupv1.Delta, at uint64) error {
	rows, err := s.table.Read(ctx, deltaKey(d.GetVersion()))
	if err != nil {
		return errors.Wrap(storage.ErrUnsettled, err.Error())
	}
	if len(rows) == 1 {
		stored := &kingcupv1.Delta{}
		if err := proto.Unmarshal(rows[0].Value, stored); err == nil && stored.GetChangeId() == d.GetChangeId() {
			return nil
		}
	}
	return &ConflictError{Version: at}
}

// Deltas reads the deltas from have+1 to the head.
func (s *Store) Deltas(ctx context.Context, have, head uint64) ([]*kingcupv1.Delta, error) {
	keys := make([]string, 0, head-have)
	for v := have + 1; v <= head; v++ {
		keys = append(keys, deltaKey(v))
	}
	rows, err := s.table.Read(ctx, keys...)
	if err != nil {
		return nil, err
	}
	out := make([]*kingcupv1.Delta, 0, len(rows))
	for _, row := range rows {
		d := &kingcupv1.Delta{}
		if err := proto.Unmarshal(row.Value, d); err != nil {
			return nil, errors.Wrapf(err, "row %s", row.Key)
		}
		out = append(out, d)
	}
	return out, nil
}

// tableTimeout bounds a call to the table within CatchUp. A snapshot ends by its own bound on
// silence: it may be long.
const tableTimeout = 4 * time.Second

// CatchUp brings r to the head of the store.
func (s *Store) CatchUp(ctx context.Context, r *Replica) error {
	head, err := s.boundedHead(ctx)
	if err != nil {
		return err
	}
	if head > r.Version()+VersionsPerSnapshot {
		s.loadSnapshot(ctx, r)
	}
	if head <= r.Version() {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	deltas, err := s.Deltas(ctx, r.Version(), head)
	if err != nil {
		return err
	}
	return applyAll(r, deltas)
}

func (s *Store) boundedHead(ctx context.Context) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	return s.Head(ctx)
}

func applyAll(r *Replica, deltas []*kingcupv1.Delta) error {
	for _, d := range deltas {
		if err := r.Apply(d); err != nil {
			return err
		}
	}
	return nil
}

// Prune deletes the deltas that a snapshot has replaced, up to KeptDeltas before
// version. Only one snapshot's worth is deleted at a time.
func (s *Store) Prune(ctx context.Context, version uint64) error {
	if version <= MaxTableDeltas {
		return nil
	}
	last := version - MaxTableDeltas
	var txn storage.Txn
	for v := last - min(last, VersionsPerSnapshot); v <= last; v++ {
		txn.Writes = append(txn.Writes, storage.Write{Key: deltaKey(v), Delete: true})
	}
	_, err := s.table.Commit(ctx, txn)
	return err
}

// loadSnapshot is an optimization: where the object store has none, all deltas
// are read from the table.
func (s *Store) loadSnapshot(ctx context.Context, r *Replica) {
	value, err := s.objects.Get(ctx, snapshotKey)
	if err != nil {
		return
	}
	snap := &kingcupv1.Snapshot{}
	if err := proto.Unmarshal(value, snap); err == nil {
		r.Install(FromSnapshot(snap))
	}
}

// SaveSnapshot writes st to the object store. Two writers may race; a reader
// that gets the older snapshot reads more deltas.
func (s *Store) SaveSnapshot(ctx context.Context, st *State) error {
	value, err := proto.Marshal(st.Snapshot())
	if err != nil {
		return errors.Wrap(err, "marshal snapshot")
	}
	return s.objects.Put(ctx, snapshotKey, value)
}
