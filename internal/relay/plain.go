package relay

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"kingcupplank.example/kingcup/backends"
	"kingcupplank.example/kingcup/internal/logging"
)

// maxBufferedSize is the size in bytes up to which a response is read completely before it is
// forwarded, so that an invalid one can be replaced by another server's. Longer responses are
// streamed and aborted where they break.
const maxBufferedSize = 64 << 10

// Outcomes of requests, for logs and metrics.
const (
	OutcomeAnswered   = "answered"
	OutcomeAborted    = "broken off"
	OutcomeCallerGone = "caller left"
	OutcomeTimeout    = "time is up"
)

// plain answers a request whose response is one body.
func (r *Relay) plain(ctx context.Context, j *job, out Responder) string {
	var fallback *bufferedResponse
	for {
		placed, refusal := r.place(ctx, j, "")
		if refusal != nil {
			if fallback != nil {
				return r.deliver(ctx, j, fallback, out)
			}
			return r.sendRefusal(ctx, j, *refusal, out)
		}
		response, err := bufferResponse(placed.response, placed.cancel)
		if err == nil && response.isValid() {
			r.Observer.FirstByte(j.team, j.service, j.route.Kind, r.Now()-j.arrived)
			if response.isServerError() {
				placed.reservation.Release(backends.ResultFailed, r.Now())
				if j.canRetry() && !response.hasMore {
					r.Observer.AttemptFailed(j.service, "server error")
					j.excluded = append(j.excluded, placed.reservation.Server.ID)
					fallback, j.hasResponse = response, true
					continue
				}
			} else {
				placed.reservation.Release(backends.ResultOK, r.Now())
				r.recordAnswered(j, response.Response)
			}
			return r.deliver(ctx, j, response, out)
		}
		if ctx.Err() != nil {
			placed.reservation.Release(backends.ResultInconclusive, r.Now())
			return r.sendRefusal(ctx, j, *r.refuse(j, ReasonDeadline), out)
		}
		if err != nil && !errors.Is(err, errInvalidSuccess) {
			r.handleBrokenResponse(ctx, j, placed.reservation.Server)
		}
		r.Observer.AttemptFailed(j.service, "spoilt")
		placed.reservation.Release(backends.ResultFailed, r.Now())
		j.excluded = append(j.excluded, placed.reservation.Server.ID)
		j.log.WithError(err).WithField("server", placed.reservation.Server.ID).WithField("status", placed.response.Status).Warn("invalid response")
		if !j.canRetry() {
			return r.sendRefusal(ctx, j, *r.refuse(j, ReasonInvalidResponse), out)
		}
	}
}

// sendRefusal sends a refusal as the final response. If the request has been quarantined in the
// meantime, it sends the refusal of a quarantined request instead.
func (r *Relay) sendRefusal(ctx context.Context, j *job, f Refusal, out Responder) string {
	if context.Cause(ctx) == context.Canceled {
		out.Abort()
		return OutcomeCallerGone
	}
	if v, refuse := r.refusedByQuarantine(j); refuse {
		f = *j.quarantineRefusal(v)
	}
	if context.Cause(ctx) == errStopping {
		f.Reason = ReasonStopping
		if !f.MayHaveRun {
			f.RetryAfter = r.shutdownRetryAfter()
		}
	}
	entry := j.log.WithFields(logrus.Fields{"content": f.Content, "reason": f.Reason, "may_have_run": f.MayHaveRun, "retry_after_ms": f.RetryAfter.Milliseconds(), "sends": j.Sends.String()})
	if !f.MayHaveRun && j.Sends.Len() > 0 {
		entry = entry.WithField(logging.KeptField, true)
	}
	entry.Info("gave up")
	out.Refuse(f)
	return string(f.Reason)
}

// bufferedResponse is a response, read to its end or to maxBufferedSize bytes.
type bufferedResponse struct {
	*Response
	body []byte
	// hasMore is set if the body continues after the buffered part.
	hasMore bool
}

// errInvalidSuccess means that a success is not as its server sent it.
var errInvalidSuccess = errors.New("success is unsigned or recoded")

// errLongFailure means that the body of a failure is longer than maxBufferedSize.
var errLongFailure = errors.New("body of a failure is too long")

// failureBodyTimeout bounds the time to read the body of a failure.
const failureBodyTimeout = 500 * time.Millisecond

// bufferResponse reads a response whose body may be without end; cancel cancels it. An invalid success is not
// read at all.
func bufferResponse(response *Response, cancel func()) (*bufferedResponse, error) {
	isFailure := response.Status >= 300
	if !isFailure && !response.isValid() {
		response.Body.Close()
		return nil, errInvalidSuccess
	}
	if isFailure {
		t := time.AfterFunc(failureBodyTimeout, cancel)
		defer t.Stop()
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxBufferedSize+1))
	if err != nil {
		response.Body.Close()
		return nil, err
	}
	buffered := &bufferedResponse{Response: response, body: body, hasMore: len(body) > maxBufferedSize}
	if isFailure && buffered.hasMore {
		response.Body.Close()
		return nil, errLongFailure
	}
	if !buffered.hasMore {
		response.Body.Close()
	}
	return buffered, nil
}

// isValid reports whether the response may be forwarded. A success must be as the server sent it:
// signed by the server and not recoded on the way. A status that promises "not run" must not be forwarded:
// the server has run the request unless it marks its response, which is a NotRunError then.
func (r *Response) isValid() bool {
	if r.Status < 300 {
		return r.Signed && !r.Recoded
	}
	return !PromisesNotRun(r.Status)
}

// PromisesNotRun reports whether callers take a status for the promise that the request has not run and never will.
func PromisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

func (b *bufferedResponse) isServerError() bool { return b.Status >= 500 }

func (r *Relay) deliver(ctx context.Context, j *job, response *bufferedResponse, out Responder) string {
	defer response.Body.Close()
	if !response.hasMore && response.Length < 0 {
		response.Length = int64(len(response.body))
	}
	if out.Begin(response.Response) != nil {
		out.Abort()
		return OutcomeCallerGone
	}
	if err := writeBody(response, out); err != nil {
		if cause, isCut := cutCause(ctx, err); isCut {
			r.recordCut(j, cause, err, logrus.Fields{"after": response.Length})
		}
		out.Abort()
		return OutcomeAborted
	}
	out.End()
	return OutcomeAnswered
}

func writeBody(response *bufferedResponse, out Responder) error {
	if err := out.Write(response.body); err != nil {
		return writeError{err}
	}
	if !response.hasMore {
		return nil
	}
	buf := bytes.NewBuffer(make([]byte, 0, bytes.MinRead))
	for {
		buf.Reset()
		n, err := response.Body.Read(buf.AvailableBuffer()[:bytes.MinRead])
		if n > 0 {
			if err := out.Write(buf.AvailableBuffer()[:n]); err != nil {
				return writeError{err}
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}
