package relay

import (
	"context"
	"os"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"kingcupplank.example/kingcup/internal/logging"
)

// CutCause is why a response that had begun was cut off at its caller.
type CutCause string

// The causes.
const (
	// CutServerLost: the server broke off, or its stream could not be continued.
	CutServerLost CutCause = "server lost"
	// CutUnread: the caller did not read for too long.
	CutUnread CutCause = "caller does not read"
	// CutTimeout: the request's deadline passed.
	CutTimeout CutCause = "time is up"
	// CutStopping: this process ends.
	CutStopping CutCause = "this VM is stopping"
)

// errStopping is the cause of the end of a request that this process does not answer before it ends.
var errStopping = errors.New("this VM is stopping")

// writeError is the error of a write to the caller. It is errCallerGone too.
type writeError struct{ error }

// Is implements the interface of errors.Is.
func (e writeError) Is(target error) bool { return target == errCallerGone }

// Unwrap implements the interface of errors.Unwrap.
func (e writeError) Unwrap() error { return e.error }

// cutCause returns why a response is cut off whose forwarding ended with err; ok is false if its caller has left.
func cutCause(ctx context.Context, err error) (cause CutCause, ok bool) {
	switch {
	case context.Cause(ctx) == errStopping:
		return CutStopping, true
	case errors.As(err, new(writeError)) && errors.Is(err, os.ErrDeadlineExceeded):
		// net/http cancels the request's context at a failed write.
		return CutUnread, true
	case errors.Is(err, errCallerGone), context.Cause(ctx) == context.Canceled:
		return "", false
	case ctx.Err() != nil:
		return CutTimeout, true
	}
	return CutServerLost, true
}

// recordCut logs a response that had begun and is cut off at its caller.
func (r *Relay) recordCut(j *job, cause CutCause, err error, fields logrus.Fields) {
	r.Observer.ResponseCut(string(cause))
	entry := j.log.WithFields(fields).WithFields(logrus.Fields{
		"cause": string(cause), "took_ms": (r.Now() - j.arrived).Milliseconds(), "sends": j.Sends.String(), logging.KeptField: true,
	})
	if err != nil {
		entry = entry.WithError(err)
	}
	if since := r.stoppingFor(); since > 0 {
		entry = entry.WithField("stopping_ms", since.Milliseconds())
	}
	entry.Warn("response cut off")
}

// recordCut logs that the stream is cut off, and what its server was doing.
func (s *session) recordCut(cause CutCause, err error) {
	u, now := s.run, s.Now()
	u.mu.Lock()
	fields := logrus.Fields{
		"server": u.server.ID, "software": u.server.SoftwareVersion, "after": u.lastEventID, "silent_ms": (now - u.lastEventAt).Milliseconds(),
		"stop_requested": u.stopRequested, "stop_known": u.stopKnown, "copies": len(u.copies),
	}
	server := u.server
	u.mu.Unlock()
	_, fields["leaving"] = s.Registry.State(server)
	fields["restarted"] = s.Registry.HasRestarted(server)
	s.Relay.recordCut(s.job, cause, err, fields)
}

// stoppingFor returns the time since this process was told to stop, 0 if it was not.
func (r *Relay) stoppingFor() time.Duration {
	s := r.shutdownSchedule()
	if !s.IsStopping() {
		return 0
	}
	return max(time.Nanosecond, time.Since(s.Begun))
}
