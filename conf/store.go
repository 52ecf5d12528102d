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

// VersionsPerSnapshot is the number of versions between two snapshots.
const VersionsPerSnapshot = 32

// MaxTableDeltas is the number of deltas that stay in the table. A repeated change is
// recognized by its id while its delta is there. At the target size this is more
// than a day of changes.
const MaxTableDeltas = 512

const (
	maxCommitAttempts = 5
	commitBackoff     = 50 * time.Millisecond
)

// ConflictError means that a change was refused because its version does not follow
// the head version.
type ConflictError struct {
	// Version is the head version when the change was refused; 0 if it is not
	// known.
	Version uint64
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("configuration is at version %d", e.Version)
}

// Store commits and reads the configuration. It is safe for concurrent use.
type Store struct {
	table   storage.Table
	objects storage.Objects
}

// NewStore returns a store with its deltas in table and its snapshots in objects.
func NewStore(table storage.Table, objects storage.Objects) *Store {
	return &Store{table: table, objects: objects}
}

func deltaKey(version uint64) string {
	return fmt.Sprintf("%s%016d", deltaPrefix, version)
}

// head is the content and the revision of the head row.
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

// Head reads the head version.
func (s *Store) Head(ctx context.Context) (uint64, error) {
	h, err := s.readHead(ctx)
	return h.version, err
}

// Commit commits d if the head version is d.Version - 1. Errors: *ConflictError,
// storage.ErrUnavailable (certainly not committed), storage.ErrOutcomeUnknown (may
// be committed).
func (s *Store) Commit(ctx context.Context, d *kingcupv1.Delta) error {
	h, err := s.readHead(ctx)
	if err != nil {
		return err
	}
	if h.version+1 != d.GetVersion() {
		return s.resolveConflict(ctx, d, h.version)
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
	return s.commitUntilKnown(ctx, d, txn)
}

// commitUntilKnown retries a commit whose response was lost until it is known which
// change has the version. Retries are safe: the transaction is conditional on the
// head's revision, so it is applied at most once.
func (s *Store) commitUntilKnown(ctx context.Context, d *kingcupv1.Delta, txn storage.Txn) error {
	mayBeCommitted := false
	for range maxCommitAttempts {
		_, err := s.table.Commit(ctx, txn)
		var conflict *storage.ConflictError
		switch {
		case err == nil:
			return nil
		case errors.As(err, &conflict):
			return s.resolveConflict(ctx, d, d.GetVersion())
		case errors.Is(err, storage.ErrOutcomeUnknown):
			mayBeCommitted = true
		case !mayBeCommitted:
			return err
		}
		if !wait.For(ctx, commitBackoff) {
			break
		}
	}
	return errors.Wrapf(storage.ErrOutcomeUnknown, "change %s", d.GetChangeId())
}

// resolveConflict returns nil if the stored delta with the version of d is d itself,
// committed by an earlier attempt whose response was lost. Otherwise it returns a
// ConflictError with headVersion.
func (s *Store) resolveConflict(ctx context.Context, d *kingcupv1.Delta, headVersion uint64) error {
	rows, err := s.table.Read(ctx, deltaKey(d.GetVersion()))
	if err != nil {
		return errors.Wrap(storage.ErrOutcomeUnknown, err.Error())
	}
	if len(rows) == 1 {
		stored := &kingcupv1.Delta{}
		if err := proto.Unmarshal(rows[0].Value, stored); err == nil && stored.GetChangeId() == d.GetChangeId() {
			return nil
		}
	}
	return &ConflictError{Version: headVersion}
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

// tableTimeout limits a call to the table in CatchUp. It does not apply to the
// snapshot, which may be large; the object store's client has its own timeout for a
// transfer that receives no data.
const tableTimeout = 4 * time.Second

// CatchUp updates r to the head version. It reads the snapshot first if r is more
// than VersionsPerSnapshot behind.
func (s *Store) CatchUp(ctx context.Context, r *Replica) error {
	head, err := s.headWithTimeout(ctx)
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

func (s *Store) headWithTimeout(ctx context.Context) (uint64, error) {
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

// Prune deletes old deltas, which a snapshot has replaced, and keeps the last
// MaxTableDeltas up to version. One call deletes only about as many deltas as there
// are between two snapshots.
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

// loadSnapshot installs the snapshot from the object store. It is an optimization
// and ignores errors: without a snapshot, CatchUp reads all deltas from the table.
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

// SaveSnapshot writes st to the object store. If two writers race, an older snapshot
// may remain; readers then read more deltas.
func (s *Store) SaveSnapshot(ctx context.Context, st *State) error {
	value, err := proto.Marshal(st.Snapshot())
	if err != nil {
		return errors.Wrap(err, "marshal snapshot")
	}
	return s.objects.Put(ctx, snapshotKey, value)
}
