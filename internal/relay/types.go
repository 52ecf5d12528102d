// Package relay forwards callers' requests to backend servers and their responses back. It
// authorizes requests, selects servers, retries and hedges, migrates streams off servers that are
// leaving, and refuses requests that cannot be served.
//
// The package knows no wire format; the packages ingress and upstream translate.
package relay

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/pkg/errors"

	"kingcupplank.example/kingcup/backends"
	"kingcupplank.example/kingcup/dispatch"
	"kingcupplank.example/kingcup/retry"
)

// HeaderField is a header field that is forwarded unchanged.
type HeaderField struct{ Name, Value string }

// Generation holds the sizes that a caller states for a request to a model engine.
type Generation struct {
	PromptTokens int
	// MaxOutput is the maximum number of tokens to generate.
	MaxOutput int
	// EstimatedOutput is the caller's estimate of the output in tokens, 0 if none.
	EstimatedOutput int
}

// Request is one attempt of a caller, which may become several attempts at servers.
type Request struct {
	// ID is the caller's id of this attempt; the server echoes it.
	ID     string
	Host   string
	Path   string
	Method string
	// Target is the request target as the caller sent it.
	Target string
	// Header are the fields that are forwarded to the server.
	Header []HeaderField
	Body   []byte
	// Timeout is how long the caller waits for the response, 0 if not stated.
	Timeout time.Duration
	APIKey  string
	// LastEventID is the id of the last event that the caller has received of a stream, empty if
	// none.
	LastEventID string
	// Resumes is the id of the caller's attempt that received the first event of the stream which
	// this request resumes, empty if none.
	Resumes string
	// Generation is nil for plain requests.
	Generation *Generation
	// PromptParts are the IDs of the parts of the prompt that other requests may share, in order.
	PromptParts []uint64
	// Sends are the sends of the request to servers. A status that promises that it has not run is given by them alone.
	Sends dispatch.Record
	// CallerGone reports whether the caller has closed its connection, as far as this process's socket knows.
	// The context of the request may end later. It may be nil.
	CallerGone func() bool
}

// Attempt is a request as it is sent to one server.
type Attempt struct {
	Request *Request
	Server  backends.Server
	// SentAt is the time at which the attempt was sent.
	SentAt time.Duration
	// Timeout bounds the time that the server may take.
	Timeout time.Duration
	// Team is the team of the request's key, empty if none.
	Team string
	// Priority ranks the request at an engine, -1 for none.
	Priority int
	// LastEventID is the id of the last event that was delivered, empty for none.
	LastEventID string
	// StandbyAddress is the address of the server that receives the run's standby copy as it grows,
	// empty for none. The request's id is the handle of the copy there, which is kept until the run
	// ends: DropCopy does not free it.
	StandbyAddress string
	// ResumeFrom is the copy from which the run resumes, nil for a new run.
	ResumeFrom *KVCopy
	// RequiredSoftware is the only version of its software with which the server may run the attempt,
	// nil for any: events and memory of two versions don't fit together.
	RequiredSoftware *string
	// Retry is the kind of retry that the attempt is unless it is the first one of its request, empty for
	// a repeat.
	Retry retry.Kind
	// Recheck is called once there is a connection for the attempt, just before it is sent. If it
	// returns an error, the attempt is not sent. Errors: *NotRunError.
	Recheck func() error
}

// KVCopy identifies a copy of a run's KV cache at another server.
type KVCopy struct {
	// Source is the address of the server that assigned Handle and from which the copy can be
	// dropped: the server that the run was on, or for a copy by StandbyAddress the server that keeps it.
	Source string
	Handle string
}

// Response is a server's response. Its head is complete, its body is read from Body.
type Response struct {
	Status int
	Header []HeaderField
	// Length is the length of the body, -1 if unknown.
	Length int64
	// IsStream is set for a stream of events.
	IsStream bool
	// Signed is set if the response carries the server's signature.
	Signed bool
	// Recoded is set if the body was recoded on the way and is not as the server sent it.
	Recoded bool
	// EndsWithConnection is set if the body ends with the server's connection, so that its end cannot
	// be told from that of the server's process.
	EndsWithConnection bool
	// Body returns io.EOF only after the complete body.
	Body io.ReadCloser
}

// NotRunError reports that a server has not run a request and will not run it.
type NotRunError struct {
	Reason NotRunReason
	Detail string
}

// NotRunReason is why a server did not run a request.
type NotRunReason string

// Reasons why a server did not run a request.
const (
	// NotRunFull: the server has no capacity.
	NotRunFull NotRunReason = "full"
	// NotRunReplaced: another server listens at the address.
	NotRunReplaced NotRunReason = "replaced"
	// NotRunUnreachable: nothing could be sent to the server.
	NotRunUnreachable NotRunReason = "unreachable"
	// NotRunDown: the server refuses connections at its address.
	NotRunDown NotRunReason = "ended"
	// NotRunIneligible: the request must not be sent to the server now. Its failure domain is
	// cordoned or outside the request's regions, or the server is leaving, backing off or at its
	// rate limit, or runs another version of its software than the stream requires.
	NotRunIneligible NotRunReason = "barred"
	// NotRunCallerGone: the caller has left before the request was sent.
	NotRunCallerGone NotRunReason = "caller gone"
	// NotRunPromised: the caller has been promised that the request will not run.
	NotRunPromised NotRunReason = "promised not to run"
)

// outcome returns what an attempt with this reason leaves in the request's record.
func (r NotRunReason) outcome() dispatch.Outcome {
	switch r {
	case NotRunFull, NotRunReplaced:
		return dispatch.Rejected
	case NotRunUnreachable, NotRunDown, NotRunIneligible, NotRunCallerGone, NotRunPromised:
		return dispatch.NotSent
	}
	return dispatch.Unknown
}

// Error implements error.
func (e *NotRunError) Error() string { return fmt.Sprintf("not run, %s: %s", e.Reason, e.Detail) }

// Errors of an Upstream. After any other error it is unknown whether the request has run.
var (
	// ErrNoRun means that the server runs no such request.
	ErrNoRun = errors.New("no such run")
	// ErrCopyInProgress means that another call is copying the run.
	ErrCopyInProgress = errors.New("run is being copied")
	// ErrNoCapacity means that the target of a copy has no memory for it or cannot be reached.
	ErrNoCapacity = errors.New("no capacity for the copy")
)

// Upstream sends requests to backend servers. Implementations are safe for concurrent use.
type Upstream interface {
	// Send sends an attempt and waits for the head of the response. Canceling ctx ends the
	// attempt. Errors: *NotRunError, or one that leaves the outcome unknown.
	Send(ctx context.Context, a *Attempt) (*Response, error)
	// CopyRun copies the KV cache of a run to the server at the address to; a later call copies
	// only what is new. A final call stops the run first and closes its stream without an end. A
	// handle may be returned together with ErrNoCapacity: then the run has stopped and its own
	// server keeps the KV cache.
	CopyRun(ctx context.Context, from backends.Server, id, to string, final bool) (handle string, err error)
	// StopRun is a final CopyRun. sent is called once the server can receive the call. A run is stopped before
	// it is copied. Errors: those of CopyRun, and *NotRunError if no process or another one listens at the
	// address, or nothing could be sent.
	StopRun(ctx context.Context, from backends.Server, id, to string, sent func()) (handle string, err error)
	// DropCopy frees a copy that will not be used.
	DropCopy(ctx context.Context, c KVCopy)
	// CloseIdle closes the idle connections to the address of a server that has crashed.
	CloseIdle(address string)
	// IsDown reports whether a server's address refuses connections. It is false if that cannot
	// be determined.
	IsDown(ctx context.Context, s backends.Server) bool
	// Answers reports whether the listed incarnation of a server answers a call on a new connection.
	Answers(ctx context.Context, s backends.Server) bool
	// StartTime asks a server when it started, in Unix milliseconds.
	StartTime(ctx context.Context, s backends.Server) (int64, error)
	// IsLeaving asks a server whether it is about to stop.
	IsLeaving(ctx context.Context, s backends.Server) (bool, error)
}

// Responder sends one response to the caller: either Refuse, or Begin, any number of Write calls,
// and then End or Abort.
type Responder interface {
	Refuse(f Refusal)
	// Begin fails for a status that promises that the request has not run: such a response is not a refusal of
	// this gateway's.
	Begin(response *Response) error
	// Write sends bytes to the caller without buffering.
	Write(p []byte) error
	End()
	// Abort ends the response in a way that the caller cannot mistake for a complete one.
	Abort()
}

// Reason is why a request is refused.
type Reason string

// Reasons of refusals.
const (
	ReasonNoConfig    Reason = "no configuration yet"
	ReasonNoRoute     Reason = "no such route"
	ReasonBadKey      Reason = "no or unknown key"
	ReasonStaleConfig Reason = "configuration not confirmed"
	ReasonNoServer    Reason = "no server takes requests"
	ReasonNoCapacity  Reason = "servers have no room"
	ReasonCordoned    Reason = "all servers are in cordoned failure domains"
	// ReasonOriginUnknown: it is not known which software version began the stream that the caller
	// resumes.
	ReasonOriginUnknown Reason = "origin of the stream is unknown"
	// ReasonSoftwareGone: no server runs the software version that began the stream.
	ReasonSoftwareGone    Reason = "no server of the stream's software version"
	ReasonPromptTooLarge  Reason = "larger than a server's memory"
	ReasonDeadline        Reason = "time is up"
	ReasonServerLost      Reason = "server lost"
	ReasonInvalidResponse Reason = "server's answer was spoilt"
	ReasonStopping        Reason = "this VM is stopping"
	ReasonLinkBusy        Reason = "the link of this VM is full"
	ReasonMalformed       Reason = "malformed request"
	ReasonSlowBody        Reason = "body came too slowly"
	ReasonLongBody        Reason = "body is too long"
	ReasonNoMemory        Reason = "no memory for the request"
	ReasonQuarantined     Reason = "servers end under it"
)

// Refusal is a final response that the gateway gives instead of a server.
type Refusal struct {
	Reason Reason
	// MayHaveRun is set if a server may have run the request. The status depends on the request's record alone.
	MayHaveRun bool
	// RetryAfter is the time after which the caller may retry; it is set only if the request has
	// not run.
	RetryAfter time.Duration
	// Content identifies the suspect for which a request is quarantined, for the log.
	Content string
}
