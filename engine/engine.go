// Package engine describes what the system takes from a backend server: a
// model engine that streams tokens, or a plain service that answers calls.
// Implementations are safe for concurrent use unless stated otherwise.
package engine

import (
	"context"

	"github.com/pkg/errors"
)

// Errors that an Engine or Service returns.
var (
	// ErrRejected says that the engine took nothing of the request.
	ErrRejected = errors.New("engine rejected the request")
	// ErrLost says that the engine or the way to it failed; the request may
	// have run.
	ErrLost = errors.New("engine lost")
	// ErrUnknownStream says that the engine does not hold the stream.
	ErrUnknownStream = errors.New("engine does not hold the stream")
	// ErrStaleTerm says that the engine refused an order with an old term.
	ErrStaleTerm = errors.New("order has an old term")
)

// Request asks for one attempt of a generation.
type Request struct {
	ID        string
	Attempt   uint32
	Team      string
	RequestID string
	Model     string
	Adapter   string
	Prompt    []byte
	MaxTokens uint32
	Priority  uint32
	// Prefix holds the tokens that were already delivered; the engine
	// continues after them. Only engines that resume accept it.
	Prefix [][]byte
}

// Token is one element of a stream; the last one has End set and no text.
type Token struct {
	Index        uint64
	Text         []byte
	End          bool
	FinishReason string
	// Digest of all texts, see Digest; set with End.
	Digest uint64
}

// Stream yields tokens in order. It is for one goroutine.
type Stream interface {
	// Recv blocks for the next token. After a token with End it is not called
	// again.
	Recv() (Token, error)
}

// RunningStream is a stream that the engine holds.
type RunningStream struct {
	ID          string
	Attempt     uint32
	Team        string
	RequestID   string
	Model       string
	Emitted     uint64
	PromptBytes uint32
	MaxTokens   uint32
}

// Status is the engine's report of itself; it lags.
type Status struct {
	Running           uint32
	MemoryUsed        uint64
	MemoryCapacity    uint64
	Preemptions       uint64
	ResumesFromPrefix bool
	Models, Adapters  []string
}

// Order tells an engine to load or unload a model or adapter.
type Order struct {
	// Term is the fencing number of the lease that the order was given under.
	Term    uint64
	Load    bool
	Model   string
	Adapter string
	Version string
}

// Engine is a model engine.
type Engine interface {
	Generate(ctx context.Context, req Request) (Stream, error)
	Attach(ctx context.Context, id string, next uint64) (Stream, error)
	Cancel(ctx context.Context, id string, attempt uint32) error
	List(ctx context.Context) ([]RunningStream, error)
	Load(ctx context.Context) (Status, error)
	Order(ctx context.Context, o Order) error
}

// Service is a plain service beside the model engines.
type Service interface {
	// Call sends one request. ErrRejected means that it did not run.
	Call(ctx context.Context, team, requestID string, body []byte) ([]byte, error)
}

// Digest sums token texts in order with 64-bit FNV-1a, as engines do.
type Digest struct {
	sum uint64
}

const (
	fnvOffset = 14695981039346656037
	fnvPrime  = 1099511628211
)

// NewDigest returns the digest of no tokens.
func NewDigest() Digest {
	return Digest{sum: fnvOffset}
}

// Add appends a token's text.
func (d *Digest) Add(text []byte) {
	for _, c := range text {
		d.sum = (d.sum ^ uint64(c)) * fnvPrime
	}
}

// Sum is the digest of the texts added so far.
func (d *Digest) Sum() uint64 {
	return d.sum
}
