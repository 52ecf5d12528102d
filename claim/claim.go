// Package claim makes a non-idempotent request run at most once: its key is
// claimed in the platform's table before it is dispatched, and its outcome is
// recorded there. Claims of one process are grouped into few transactions.
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

// State of a claimed request.
type State string

// The states. A claim moves from Claimed to Done or to Released; a Released
// key may be claimed again.
const (
	// Claimed means that the request may run or have run.
	Claimed State = "claimed"
	// Done means that it ran and Answer is what it answered.
	Done State = "done"
	// Released means that it certainly did not run.
	Released State = "released"
)

// MaxAnswer bounds a recorded answer in bytes; a longer one is not kept.
const MaxAnswer = 64 << 10

// Key is a caller's idempotency key.
type Key struct {
	Team      string
	RequestID string
}

const rowPrefix = "claim/"

// row is the key's row in the table. The team's length is part of it: team "a"
// with request "b/c" and team "a/b" with request "c" would otherwise share a row,
// and one caller would be given the other's answer.
func (k Key) row() string {
	return rowPrefix + strconv.Itoa(len(k.Team)) + "/" + k.Team + "/" + k.RequestID
}

// Record is what the table holds for a key.
type Record struct {
	State State
	// Nonce identifies the claim, so that one whose answer was lost is
	// recognized when read back.
	Nonce string
	// GenerationID and Server find the stream of a claimed generation.
	GenerationID string `json:",omitempty"`
	Answer       []byte `json:",omitempty"`
	// Partial is set when the answer was too long to keep.
	Partial bool `json:",omitempty"`
	// At is when the record was written, for retention.
	At time.Time
}

// Claim is a claim that this process won.
type Claim struct {
	Key      Key
	Record   Record
	revision uint64
}

// Putter writes the row of a claim if it is at a revision; 0 means absent.
// Errors are those of storage.Table.Commit.
type Putter interface {
	Put(ctx context.Context, key string, revision uint64, value []byte) (uint64, error)
}

// Claims is safe for concurrent use.
type Claims struct {
	table storage.Table
	group *grouper
	// routed groups writes that several processes send here.
	routed *grouper
	route  func(key string) Putter
}

// ForwardedWindow is the time over which writes of several processes are grouped.
// At the target size eight processes get about a hundred writes a second each.
const ForwardedWindow = 25 * time.Millisecond

// New keeps claims in table, grouped over window. Close ends it.
func New(table storage.Table, window time.Duration) *Claims {
	return &Claims{
		table: table, group: newGrouper(table, window), routed: newGrouper(table, ForwardedWindow),
		route: func(string) Putter { return nil },
	}
}

// SetForwarder sets who writes a key's row; nil is this process by itself. It is called
// before the first claim. Whoever writes, the row's condition decides, so two
// processes may disagree on the route without harm.
func (c *Claims) SetForwarder(route func(key string) Putter) {
	c.route = route
}

// Forwarded writes rows that other processes send to this one.
func (c *Claims) Forwarded() Putter {
	return c.routed
}

// IsRowKey reports whether key is the row of a claim.
func IsRowKey(key string) bool {
	return strings.HasPrefix(key, rowPrefix)
}

// Close ends the grouping of claims.
func (c *Claims) Close() {
	c.group.close()
	c.routed.close()
}

const settleTries = 6

const settleBackoff = 20 * time.Millisecond

// Claim takes key for the caller. Exactly one of held and existing is set
// without an error. With an error the caller must not dispatch.
func (c *Claims) Claim(ctx context.Context, key Key, rec Record) (held *Claim, existing *Record, err error) {
	rec.State = Claimed
	rec.At = time.Now()
	revision := uint64(0)
	for try := 0; try < settleTries; try++ {
		rev, err := c.put(ctx, key, revision, rec)
		if err == nil {
			return &Claim{Key: key, Record: rec, revision: rev}, nil, nil
		}
		if errors.Is(err, storage.ErrUnavailable) && try == 0 {
			return nil, nil, err
		}
		// The answer was lost, or somebody holds the key; that may be this
		// claim itself, applied by a try whose answer was lost. Without the
		// nonce a caller would be told "in progress" by its own claim, and
		// without reading back two entries could both believe they won.
		row, found, err := c.read(ctx, key)
		if err != nil {
			wait.For(ctx, settleBackoff)
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
	return nil, nil, errors.Wrap(storage.ErrUnsettled, "claim")
}

// Look reads the record of key; nil if there is none.
func (c *Claims) Look(ctx context.Context, key Key) (*Record, error) {
	row, rec, err := c.read(ctx, key)
	if err != nil || row.Revision == 0 {
		return nil, err
	}
	return &rec, nil
}

// Finish records the answer of a held claim. It may fail, in which case the key
// stays claimed and never runs again.
func (c *Claims) Finish(ctx context.Context, h *Claim, answer []byte) error {
	rec := h.Record
	rec.State = Done
	rec.Answer = answer
	if len(answer) > MaxAnswer {
		rec.Answer, rec.Partial = nil, true
	}
	return c.settle(ctx, h, rec)
}

// Release gives a held claim back. The caller must know that the request did
// not run and never will under this claim.
func (c *Claims) Release(ctx context.Context, h *Claim) error {
	rec := h.Record
	rec.State = Released
	return c.settle(ctx, h, rec)
}

func (c *Claims) settle(ctx context.Context, h *Claim, rec Record) error {
	rec.At = time.Now()
	var err error
	for range settleTries {
		_, err = c.put(ctx, h.Key, h.revision, rec)
		var conflict *storage.ConflictError
		if err == nil || errors.As(err, &conflict) {
			// Only this claim's holder writes over its revision, so a
			// conflict means that an earlier try was applied.
			return nil
		}
		if !wait.For(ctx, settleBackoff) {
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
	if p := c.route(key.row()); p != nil {
		return p.Put(ctx, key.row(), revision, value)
	}
	return c.group.Put(ctx, key.row(), revision, value)
}

func (c *Claims) read(ctx context.Context, key Key) (storage.Row, Record, error) {
	rows, err := c.table.Read(ctx, key.row())
	if err != nil || len(rows) == 0 {
		return storage.Row{}, Record{}, err
	}
	var rec Record
	if err := json.Unmarshal(rows[0].Value, &rec); err != nil {
		return storage.Row{}, Record{}, errors.Wrap(err, "parse claim")
	}
	return rows[0], rec, nil
}
