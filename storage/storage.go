// Package storage defines the interfaces to the platform's storage services for data that must
// outlive the VMs: a transactional table and an object store. Both can have outages.
// Implementations are safe for concurrent use.
package storage

import (
	"context"

	"github.com/pkg/errors"
)

// ErrUnavailable means that the platform did not execute the request: a read failed, or a commit
// was certainly not applied.
var ErrUnavailable = errors.New("platform unavailable")

// ErrOutcomeUnknown means that the response to a commit was lost. The commit may have been applied, or may
// still be applied. The caller can find out by reading the rows.
var ErrOutcomeUnknown = errors.New("commit answer lost")

// ErrNotFound means that the object does not exist.
var ErrNotFound = errors.New("object not found")

// ConflictError means that a commit was not applied because conditions failed.
type ConflictError struct {
	// Keys are the keys of the rows whose conditions failed. Error requires at least one.
	Keys []string
}

// Error implements error.
func (e *ConflictError) Error() string {
	return "condition failed on " + e.Keys[0]
}

// Condition requires that a row is at a revision. Revision 0 requires that the row does not exist.
type Condition struct {
	Key      string
	Revision uint64
}

// Write sets or deletes one row.
type Write struct {
	Key    string
	Value  []byte
	Delete bool
}

// Row is a row that was read.
type Row struct {
	Key      string
	Value    []byte
	Revision uint64
}

// Txn is a transaction. Its writes are applied atomically if all its conditions hold.
type Txn struct {
	Conditions []Condition
	Writes     []Write
}

// Table is the platform's transactional table service.
type Table interface {
	// Commit applies txn and returns the new revision of the rows it wrote.
	// Errors: *ConflictError, ErrUnavailable, ErrOutcomeUnknown.
	Commit(ctx context.Context, txn Txn) (uint64, error)
	// Read returns the rows with the given keys, in their order. It omits rows that do not
	// exist.
	Read(ctx context.Context, keys ...string) ([]Row, error)
	// Scan returns the rows whose keys have the given prefix, sorted by key. It reads a
	// consistent snapshot of the table.
	Scan(ctx context.Context, prefix string) ([]Row, error)
}

// Objects is the platform's object store.
type Objects interface {
	// Put creates or replaces an object.
	Put(ctx context.Context, key string, value []byte) error
	// Get returns an object, or ErrNotFound if it does not exist.
	Get(ctx context.Context, key string) ([]byte, error)
}
