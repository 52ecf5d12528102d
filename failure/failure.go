// Package failure is the error type that callers and operators receive. Entry and
// agent convert the errors of the layers below to this type at their API, so that
// the outcome of a request is always one of three: answered, not run, unknown.
//
// All functions are safe for concurrent use.
package failure

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	kingcupv1 "kingcupplank.example/kingcup/proto/kingcup/v1"
)

// Error is the failure of a request. RetryAfter zero means that a retry would not
// help.
type Error struct {
	Outcome    kingcupv1.Outcome
	Reason     kingcupv1.Reason
	RetryAfter time.Duration
	Detail     string
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("%s (%s): %s", e.Reason, e.Outcome, e.Detail)
}

// NotRun returns the failure of a request that certainly did not run.
func NotRun(reason kingcupv1.Reason, retryAfter time.Duration, format string, args ...any) *Error {
	return &Error{Outcome: kingcupv1.Outcome_OUTCOME_NOT_RUN, Reason: reason, RetryAfter: retryAfter, Detail: fmt.Sprintf(format, args...)}
}

// Unknown returns the failure of a request that may have run.
func Unknown(reason kingcupv1.Reason, retryAfter time.Duration, format string, args ...any) *Error {
	return &Error{Outcome: kingcupv1.Outcome_OUTCOME_UNKNOWN, Reason: reason, RetryAfter: retryAfter, Detail: fmt.Sprintf(format, args...)}
}

// FromProto converts the wire form to an Error.
func FromProto(f *kingcupv1.Failure) *Error {
	return &Error{
		Outcome:    f.GetOutcome(),
		Reason:     f.GetReason(),
		RetryAfter: time.Duration(f.GetRetryAfterMs()) * time.Millisecond,
		Detail:     f.GetDetail(),
	}
}

// Proto returns the wire form of e.
func (e *Error) Proto() *kingcupv1.Failure {
	return &kingcupv1.Failure{
		Outcome:      e.Outcome,
		Reason:       e.Reason,
		RetryAfterMs: uint32(e.RetryAfter.Milliseconds()),
		Detail:       e.Detail,
	}
}

// GRPCStatus returns e as a gRPC status with the wire form as a detail. The grpc
// package calls this method on errors that a handler returns.
func (e *Error) GRPCStatus() *status.Status {
	st := status.New(statusCode(e), e.Detail)
	withFailure, err := st.WithDetails(e.Proto())
	if err != nil {
		return st
	}
	return withFailure
}

// FromError returns the Error that err wraps or carries as a gRPC status detail.
// Any other error becomes an Error with unknown outcome, because the request may
// have run.
func FromError(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	if st, ok := status.FromError(err); ok {
		for _, d := range st.Details() {
			if f, ok := d.(*kingcupv1.Failure); ok {
				return FromProto(f)
			}
		}
	}
	if errors.Is(err, context.Canceled) {
		return Unknown(kingcupv1.Reason_REASON_CANCELLED, 0, "%v", err)
	}
	return Unknown(kingcupv1.Reason_REASON_INTERNAL, 0, "%v", err)
}

// IsNotRun reports whether err means that the request certainly did not run.
func IsNotRun(err error) bool {
	return err != nil && FromError(err).Outcome == kingcupv1.Outcome_OUTCOME_NOT_RUN
}

// statusCode returns the gRPC status code for the reason of e.
func statusCode(e *Error) codes.Code {
	switch e.Reason {
	case kingcupv1.Reason_REASON_INVALID, kingcupv1.Reason_REASON_PROMPT_TOO_LARGE, kingcupv1.Reason_REASON_PROTOCOL:
		return codes.InvalidArgument
	case kingcupv1.Reason_REASON_UNKNOWN_TEAM, kingcupv1.Reason_REASON_UNKNOWN_MODEL, kingcupv1.Reason_REASON_UNKNOWN_GENERATION:
		return codes.NotFound
	case kingcupv1.Reason_REASON_NOT_ALLOWED:
		return codes.PermissionDenied
	case kingcupv1.Reason_REASON_OVERLOADED, kingcupv1.Reason_REASON_SLOW_READER:
		return codes.ResourceExhausted
	case kingcupv1.Reason_REASON_CONFLICT, kingcupv1.Reason_REASON_FENCED, kingcupv1.Reason_REASON_IN_PROGRESS:
		return codes.Aborted
	case kingcupv1.Reason_REASON_DEADLINE:
		return codes.DeadlineExceeded
	case kingcupv1.Reason_REASON_CANCELLED:
		return codes.Canceled
	case kingcupv1.Reason_REASON_INTERNAL:
		return codes.Internal
	}
	return codes.Unavailable
}
