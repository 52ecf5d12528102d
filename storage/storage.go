// Package storage describes where the system keeps what must outlive its VMs: a
// transactional table and an object store, both with outages. Implementations
// are safe for concurrent use.
package storage

import (
	"context"

	"github.com/pkg/errors"
)

// ErrUnavailable says that the platform did not take the request: a read
// failed, or a commit was certainly not applied.
var ErrUnavailable = errors.New("platform unavailable")

// ErrOutcomeUnknown says that a commit's answer was lost: it may have been applied
// or may still be. The caller settles it by reading back.
var ErrOutcomeUnknown = errors.New("commit answer lost")

// ErrNotFound says that the object store has no such object.
var ErrNotFound = errors.New("object not found")

// ConflictError says that a commit was not applied because conditions failed.
type ConflictError struct {
	// Keys are the rows whose conditions failed.
	Keys []string
}

// Error implements error.
func (e *ConflictError) Error() string {
	return "condition failed on " + e.Keys[0]
}

// Condition requires a row to be at a revision; revision 0 requires absence.
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

// Row is one row as read.
type Row struct {
	Key      string
	Value    []byte
	Revision uint64
}

// Txn is applied whole or not at all.
type Txn struct {
	Conditions []Condition
	Writes     []Write
}

// Table is the platform's transactional table service.
type Table interface {
	// Commit applies txn and returns the new revision of the rows it wrote.
	// Errors: *ConflictError, ErrUnavailable, ErrUnsettled.
	Commit(ctx context.Context, txn Txn) (uint64, error)
	// Read returns the rows that exist, in the order of keys.
	Read(ctx context.Context, keys ...string) ([]Row, error)
	// Scan returns the rows whose key begins with prefix, sorted by key, from
	// one consistent view.
	Scan(ctx context.Context, prefix string) ([]Row, error)
}

// Objects is the platform's object store.
type Objects interface {
	Put(ctx context.Context, key string, value []byte) error
	// Get returns ErrNotFound when there is no object.
	Get(ctx context.Context, key string) ([]byte, error)
}
