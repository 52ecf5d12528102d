// Package engine is the interface to a backend server: a model engine that
// streams tokens, or a plain service that answers calls. Implementations are
// safe for concurrent use unless stated otherwise.
package engine

import (
	"context"

	"github.com/pkg/errors"
)

// Errors that an Engine or Service returns.
var (
	// ErrRejected means that the engine did not run any part of the request.
	ErrRejected = errors.New("engine rejected the request")
	// ErrLost means that the engine or the connection to it failed; the request
	// may have run.
	ErrLost = errors.New("engine lost")
	// ErrUnknownStream means that the engine does not have the stream.
	ErrUnknownStream = errors.New("engine does not hold the stream")
	// ErrStaleTerm means that the engine refused an order whose term is lower
	// than one it has seen.
	ErrStaleTerm = errors.New("order has an old term")
)

// Request asks for one attempt of a generation.
type Request struct {
	// ID is the generation's id; it is the same for all attempts.
	ID        string
	Attempt   uint32
	Team      string
	RequestID string
	Model     string
	Adapter   string
	Prompt    []byte
	MaxTokens uint32
	Priority  uint32
	// Prefix holds the tokens that earlier attempts have delivered; the engine
	// continues after them. Only engines that resume accept a prefix.
	Prefix [][]byte
}

// Token is one element of a stream. The last element has End set and no text;
// its Index is the number of tokens.
type Token struct {
	Index        uint64
	Text         []byte
	End          bool
	FinishReason string
	// Digest is the Digest sum of all texts; it is set with End.
	Digest uint64
}

// Stream returns tokens in order. It must not be used by two goroutines at the
// same time.
type Stream interface {
	// Recv blocks until the next token. It must not be called again after a
	// token with End.
	Recv() (Token, error)
}

// RunningStream describes a stream that the engine has.
type RunningStream struct {
	ID        string
	Attempt   uint32
	Team      string
	RequestID string
	Model     string
	// Emitted is the number of tokens emitted so far.
	Emitted     uint64
	PromptBytes uint32
	MaxTokens   uint32
}

// Status is the engine's report of its state. It may be out of date when it
// arrives.
type Status struct {
	// Running is the number of running streams.
	Running uint32
	// MemoryUsed and MemoryCapacity are in tokens.
	MemoryUsed     uint64
	MemoryCapacity uint64
	Preemptions    uint64
	// ResumesFromPrefix reports whether the engine accepts Request.Prefix.
	ResumesFromPrefix bool
	Models, Adapters  []string
}

// Order makes an engine load or unload a model or adapter.
type Order struct {
	// Term is the fencing number of the lease under which the order was given.
	Term uint64
	// Load is true to load and false to unload.
	Load    bool
	Model   string
	Adapter string
	Version string
}

// Engine is a model engine.
type Engine interface {
	// Generate starts an attempt of a generation.
	Generate(ctx context.Context, req Request) (Stream, error)
	// Attach reads the running stream id from token index next on.
	Attach(ctx context.Context, id string, next uint64) (Stream, error)
	// Cancel stops the stream id if it runs this attempt.
	Cancel(ctx context.Context, id string, attempt uint32) error
	// List returns the streams that the engine has.
	List(ctx context.Context) ([]RunningStream, error)
	// ReadStatus reads the engine's status.
	ReadStatus(ctx context.Context) (Status, error)
	// Order loads or unloads a model or adapter.
	Order(ctx context.Context, o Order) error
}

// Service is a plain service beside the model engines.
type Service interface {
	// Call sends one request. ErrRejected means that it did not run.
	Call(ctx context.Context, team, requestID string, body []byte) ([]byte, error)
}

// Digest hashes token texts in order with 64-bit FNV-1a, as engines do.
type Digest struct {
	sum uint64
}

const (
	fnvOffset = 14695981039346656037
	fnvPrime  = 1099511628211
)

// NewDigest returns the digest of an empty stream.
func NewDigest() Digest {
	return Digest{sum: fnvOffset}
}

// Add appends a token's text.
func (d *Digest) Add(text []byte) {
	for _, c := range text {
		d.sum = (d.sum ^ uint64(c)) * fnvPrime
	}
}

// Sum returns the digest of the texts added so far.
func (d *Digest) Sum() uint64 {
	return d.sum
}
