// Package claim runs a non-idempotent request at most once. The request's key is
// claimed in the platform's table before the request is dispatched, and its
// outcome is recorded there. The writes of a process are batched into few
// transactions.
package claim

import (
	"context"
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"kingcupplank.example/kingcup/internal/wait"
	"kingcupplank.example/kingcup/storage"
)

// State is the state of a claimed request.
type State string

// The states. A claim changes from Claimed to Done or to Released; a Released
// key can be claimed again.
const (
	// Claimed means that the request may be running or may have run.
	Claimed State = "claimed"
	// Done means that the request ran; Record.Answer is its response.
	Done State = "done"
	// Released means that the request certainly did not run.
	Released State = "released"
)

// MaxAnswerBytes limits the recorded response in bytes; a longer one is not
// recorded.
const MaxAnswerBytes = 64 << 10

// Key is a caller's idempotency key.
type Key struct {
	Team      string
	RequestID string
}

const rowPrefix = "claim/"

// rowKey returns the key of the row in the table. It contains the length of the
// team's name: otherwise team "a" with request "b/c" and team "a/b" with request
// "c" would share a row, and one caller would receive the other's response.
func (k Key) rowKey() string {
	return rowPrefix + strconv.Itoa(len(k.Team)) + "/" + k.Team + "/" + k.RequestID
}

// Record is the content of a key's row.
type Record struct {
	State State
	// Nonce identifies the claim. If the response to the write was lost, the
	// claim recognizes its own record by the nonce when it reads the row.
	Nonce string
	// GenerationID is the generation of a claimed request, by which its stream
	// can be found.
	GenerationID string `json:",omitempty"`
	Answer       []byte `json:",omitempty"`
	// Partial is set if the response was too long to be recorded.
	Partial bool `json:",omitempty"`
	// At is when the record was written, for its retention.
	At time.Time
}

// Claim is a claim that this process has won.
type Claim struct {
	Key      Key
	Record   Record
	revision uint64
}

// Putter writes the row of a claim if the row is at a revision; 0 means that it
// must not exist. Errors are those of storage.Table.Commit.
type Putter interface {
	Put(ctx context.Context, key string, revision uint64, value []byte) (uint64, error)
}

// Claims claims keys and records outcomes. It is safe for concurrent use.
type Claims struct {
	table storage.Table
	local *batcher
	// forwarded batches writes that other processes forward to this one.
	forwarded *batcher
	forwarder func(key string) Putter
}

// ForwardedWindow is the time over which writes of several processes are batched.
// At the target size, each of the eight processes that write claims gets about a
// hundred writes per second.
const ForwardedWindow = 25 * time.Millisecond

// New returns Claims that keeps its rows in table and batches writes over window.
// The caller closes it.
func New(table storage.Table, window time.Duration) *Claims {
	return &Claims{
		table: table, local: newBatcher(table, window), forwarded: newBatcher(table, ForwardedWindow),
		forwarder: func(string) Putter { return nil },
	}
}

// SetForwarder sets the function that selects who writes a key's row; nil selects
// this process's own batches. It must be called before the first claim. Processes
// may select different writers for a key without harm, because each write is
// conditional on the row's revision.
func (c *Claims) SetForwarder(forwarder func(key string) Putter) {
	c.forwarder = forwarder
}

// Forwarded returns the Putter for the rows that are forwarded to this process.
func (c *Claims) Forwarded() Putter {
	return c.forwarded
}

// IsRowKey reports whether key is the key of a claim's row.
func IsRowKey(key string) bool {
	return strings.HasPrefix(key, rowPrefix)
}

// Close stops the batching of writes and waits for the commits in flight.
func (c *Claims) Close() {
	c.local.close()
	c.forwarded.close()
}

const maxWriteAttempts = 6

const retryBackoff = 20 * time.Millisecond

// Claim claims key. Without an error it returns either the claim that it has won,
// or the existing record of another claim. After an error the caller must not
// dispatch the request.
func (c *Claims) Claim(ctx context.Context, key Key, rec Record) (won *Claim, existing *Record, err error) {
	rec.State = Claimed
	rec.At = time.Now()
	revision := uint64(0)
	for attempt := 0; attempt < maxWriteAttempts; attempt++ {
		rev, err := c.put(ctx, key, revision, rec)
		if err == nil {
			return &Claim{Key: key, Record: rec, revision: rev}, nil, nil
		}
		if errors.Is(err, storage.ErrUnavailable) && attempt == 0 {
			return nil, nil, err
		}
		// Either the response was lost or the row has another revision; an
		// earlier attempt of this claim may have written the row. Without the
		// nonce, the caller would get "in progress" because of its own claim.
		// Without reading the row, two entries could both believe that they won.
		row, found, err := c.read(ctx, key)
		if err != nil {
			wait.For(ctx, retryBackoff)
			continue
		}
		switch {
		case found.Nonce == rec.Nonce:
			return &Claim{Key: key, Record: rec, revision: row.Revision}, nil, nil
		case found.State == Released || row.Revision == 0:
			revision = row.Revision
		default:
			return nil, &found, nil
		}
	}
	return nil, nil, errors.Wrap(storage.ErrOutcomeUnknown, "claim")
}

// Lookup returns the record of key, or nil if there is none.
func (c *Claims) Lookup(ctx context.Context, key Key) (*Record, error) {
	row, rec, err := c.read(ctx, key)
	if err != nil || row.Revision == 0 {
		return nil, err
	}
	return &rec, nil
}

// Finish records the response of a claimed request. After an error the key may
// stay claimed; its request then never runs again.
func (c *Claims) Finish(ctx context.Context, claim *Claim, answer []byte) error {
	rec := claim.Record
	rec.State = Done
	rec.Answer = answer
	if len(answer) > MaxAnswerBytes {
		rec.Answer, rec.Partial = nil, true
	}
	return c.writeOutcome(ctx, claim, rec)
}

// Release releases the key of a claim. The caller must be certain that the request
// did not run and never will under this claim.
func (c *Claims) Release(ctx context.Context, claim *Claim) error {
	rec := claim.Record
	rec.State = Released
	return c.writeOutcome(ctx, claim, rec)
}

// writeOutcome writes rec over the record of a claim, with retries.
func (c *Claims) writeOutcome(ctx context.Context, claim *Claim, rec Record) error {
	rec.At = time.Now()
	var err error
	for range maxWriteAttempts {
		_, err = c.put(ctx, claim.Key, claim.revision, rec)
		var conflict *storage.ConflictError
		if err == nil || errors.As(err, &conflict) {
			// Only the owner of the claim writes over its revision, so a
			// conflict means that an earlier attempt was applied.
			return nil
		}
		if !wait.For(ctx, retryBackoff) {
			break
		}
	}
	return err
}

func (c *Claims) put(ctx context.Context, key Key, revision uint64, rec Record) (uint64, error) {
	value, err := json.Marshal(rec)
	if err != nil {
		return 0, errors.Wrap(err, "marshal claim")
	}
	if p := c.forwarder(key.rowKey()); p != nil {
		return p.Put(ctx, key.rowKey(), revision, value)
	}
	return c.local.Put(ctx, key.rowKey(), revision, value)
}

// read returns the row and record of key; both are zero if there is no row.
func (c *Claims) read(ctx context.Context, key Key) (storage.Row, Record, error) {
	rows, err := c.table.Read(ctx, key.rowKey())
	if err != nil || len(rows) == 0 {
		return storage.Row{}, Record{}, err
	}
	var rec Record
	if err := json.Unmarshal(rows[0].Value, &rec); err != nil {
		return storage.Row{}, Record{}, errors.Wrap(err, "parse claim")
	}
	return rows[0], rec, nil
}
