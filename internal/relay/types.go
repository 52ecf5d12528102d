// Package relay takes a caller's request to a backend server and its answer
// back: it decides who may ask, which server is asked, when another one is, how a
// stream goes on when its server leaves, and what a caller is told otherwise.
//
// The package knows no wire format; ingress and upstream translate.
package relay

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/pkg/errors"

	"kingcupplank.example/kingcup/backends"
)

// HeaderField is a header line that passes through unchanged.
type HeaderField struct{ Name, Value string }

// Generation is what a caller says of a request to a model engine.
type Generation struct {
	PromptTokens int
	// MaxOutput is the most tokens that the caller wants.
	MaxOutput int
	// EstimatedOutput is the caller's estimate of the output in tokens, 0 if none.
	EstimatedOutput int
}

// Request is one attempt of a caller.
type Request struct {
	// ID is the caller's id of this attempt; the server echoes it.
	ID     string
	Host   string
	Path   string
	Method string
	// Target is the request target as the caller wrote it.
	Target string
	// Header is what passes through to the server.
	Header []HeaderField
	Body   []byte
	// Timeout is how long the caller waits for the answer, 0 if it did not say.
	Timeout time.Duration
	APIKey  string
	// LastEventID is the last event that the caller has of a stream, empty if none.
	LastEventID string
	// Generation is nil for plain requests.
	Generation *Generation
}

// Attempt is a request as it is sent to one server.
type Attempt struct {
	Request *Request
	Server  backends.Server
	// SentAt is when it was sent.
	SentAt time.Duration
	// Timeout is how long the server may take.
	Timeout time.Duration
	// Team is the name of the key's holder, empty if none.
	Team string
	// Priority ranks the request at an engine, -1 for none.
	Priority int
	// LastEventID is the last event already delivered, empty for none.
	LastEventID string
	// StandbyAddress is the address of a server that the run's memory is sent to as it grows,
	// empty for none. The copy there has the request's id for a handle.
	StandbyAddress string
	// ResumeFrom is a copy of the run's memory to go on from, nil for a new run.
	ResumeFrom *KVCopy
	// Recheck is the last look before the attempt is sent, once there is a connection for it. An
	// error ends the attempt unsent. Errors: *Refused.
	Recheck func() error
}

// KVCopy is a run's memory at another server.
type KVCopy struct {
	// Source is the address of the server that the run was on.
	Source string
	Handle string
}

// Response is a server's answer, head first.
type Response struct {
	Status int
	Header []HeaderField
	// Length is the body's, -1 if the answer does not say.
	Length int64
	// IsStream marks a stream.
	IsStream bool
	// Signed marks an answer that bears the server's signature.
	Signed bool
	// Recoded marks a body that is not as the server made it.
	Recoded bool
	// Body ends with io.EOF only if it is whole.
	Body io.ReadCloser
}

// NotRunError says that a server certainly did not and will not run a request.
type NotRunError struct {
	Reason NotRunReason
	Detail string
}

// NotRunReason is why a server did not run a request.
type NotRunReason string

// The reasons of servers.
const (
	// NotRunFull is a server without room.
	NotRunFull NotRunReason = "full"
	// NotRunReplaced is another server at the address.
	NotRunReplaced NotRunReason = "replaced"
	// NotRunUnreachable is a server that nothing could be sent to.
	NotRunUnreachable NotRunReason = "unreachable"
	// NotRunDown is a server that does not listen at its address any more.
	NotRunDown NotRunReason = "ended"
	// NotRunIneligible is a server that the request must not be sent to: its failure domain is
	// cordoned or outside the request's regions, it is leaving or rests, or it takes no more
	// now.
	NotRunIneligible NotRunReason = "barred"
)

// Error implements error.
func (r *NotRunError) Error() string { return fmt.Sprintf("not run, %s: %s", r.Reason, r.Detail) }

// Errors of an upstream; all others leave unknown whether a request has run.
var (
	// ErrNoRun says that the server runs no such request.
	ErrNoRun = errors.New("no such run")
	// ErrCopyInProgress says that the run is being copied by another call.
	ErrCopyInProgress = errors.New("run is being copied")
	// ErrNoCapacity says that the target of a copy has no room or is unreachable.
	ErrNoCapacity = errors.New("no room for the copy")
)

// Upstream reaches backend servers. Implementations are safe for concurrent use.
type Upstream interface {
	// Send sends an attempt and waits for the answer's head. The attempt ends
	// with ctx. Errors: *Refused, or one that leaves the outcome unknown.
	Send(ctx context.Context, a *Attempt) (*Response, error)
	// CopyRun copies the memory of a run to the server at the address to; a later
	// call copies what is new. A final call stops the run first and closes its
	// stream without an end. A handle may come with ErrNoRoom: then the run has
	// stopped and its server keeps the memory.
	CopyRun(ctx context.Context, from backends.Server, id, to string, final bool) (handle string, err error)
	// DropCopy frees a copy that will not be used.
	DropCopy(ctx context.Context, c KVCopy)
	// CloseIdle closes the idle connections to an address, whose server has ended.
	CloseIdle(address string)
	// IsDown reports whether nothing listens at a server's address any more. It is false
	// where that cannot be told.
	IsDown(ctx context.Context, s backends.Server) bool
	// IsLeaving asks a server whether it is about to end.
	IsLeaving(ctx context.Context, s backends.Server) (bool, error)
}

// Responder takes the one final answer to a request: Refuse, or Begin, any
// number of Write, and End or Abort.
type Responder interface {
	Refuse(f Refusal)
	Begin(a *Response) error
	// Write passes bytes on at once.
	Write(p []byte) error
	End()
	// Abort breaks off, so that the answer cannot look complete.
	Abort()
}

// Reason is why a request got no answer of a server.
type Reason string

// The reasons.
const (
	ReasonNoConfig  Reason = "no configuration yet"
	ReasonNoRoute   Reason = "no such route"
	ReasonBadKey    Reason = "no or unknown key"
	ReasonStale     Reason = "configuration not confirmed"
	ReasonNoServer  Reason = "no server takes requests"
	ReasonNoRoom    Reason = "servers have no room"
	ReasonCordoned  Reason = "all servers are in cordoned failure domains"
	ReasonTooLarge  Reason = "larger than a server's memory"
	ReasonDeadline  Reason = "time is up"
	ReasonLost      Reason = "server lost"
	ReasonSpoilt    Reason = "server's answer was spoilt"
	ReasonStopping  Reason = "this VM is stopping"
	ReasonMalformed Reason = "malformed request"
	ReasonHarmful   Reason = "servers end under it"
)

// Refusal is a final answer of the system's own.
type Refusal struct {
	Reason Reason
	// MayHaveRun says that the request may have run.
	MayHaveRun bool
	// RetryAfter is when to come back, for a request that has not run.
	RetryAfter time.Duration
	// Content identifies what a harmful request asks for, for the log.
	Content string
}
