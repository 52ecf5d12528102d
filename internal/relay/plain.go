package relay

import (
	"bytes"
	"context"
	"io"

	"kingcupplank.example/kingcup/backends"
)

// wholeUpTo is the size in bytes up to which an answer is read whole before it is
// passed on. A spoilt one can then be replaced by another server's; longer ones
// pass through and are broken off where they break.
const wholeUpTo = 64 << 10

// Outcomes of requests, for logs and metrics.
const (
	OutcomeAnswered   = "answered"
	OutcomeBrokenOff  = "broken off"
	OutcomeCallerGone = "caller left"
	OutcomeTimeout    = "time is up"
)

// plain answers a request whose answer is one body.
func (r *Relay) plain(ctx context.Context, j *job, out Responder) string {
	var spare *whole
	for {
		o, refusal := r.place(ctx, j, "")
		if refusal != nil {
			if spare != nil {
				return r.deliver(spare, out)
			}
			return r.giveUp(ctx, j, *refusal, out)
		}
		w, err := readWhole(o.answer)
		if err == nil && w.proper() {
			r.Observer.FirstByte(j.team, j.service, j.route.Kind, r.Now()-j.arrived)
			if w.failed() {
				o.lease.Release(backends.ResultFailed, r.Now())
				if j.mayRepeat() && !w.more {
					r.Observer.AttemptFailed(j.service, "server error")
					j.tried = append(j.tried, o.lease.Server.ID)
					spare, j.hasAnswer = w, true
					continue
				}
			} else {
				o.lease.Release(backends.ResultOK, r.Now())
				r.answered(j)
			}
			return r.deliver(w, out)
		}
		if ctx.Err() != nil {
			o.lease.Release(backends.ResultInconclusive, r.Now())
			return r.giveUp(ctx, j, *r.refuse(j, ReasonDeadline), out)
		}
		if err != nil {
			r.broke(ctx, j, o.lease.Server)
		}
		r.Observer.AttemptFailed(j.service, "spoilt")
		o.lease.Release(backends.ResultFailed, r.Now())
		j.tried = append(j.tried, o.lease.Server.ID)
		j.log.WithError(err).WithField("server", o.lease.Server.ID).WithField("status", o.answer.Status).Warn("answer is spoilt")
		if !j.mayRepeat() {
			return r.giveUp(ctx, j, *r.refuse(j, ReasonSpoilt), out)
		}
	}
}

// giveUp gives the final answer of the system's own.
func (r *Relay) giveUp(ctx context.Context, j *job, f Refusal, out Responder) string {
	if context.Cause(ctx) == context.Canceled {
		out.Abort()
		return OutcomeCallerGone
	}
	if left, barred := r.barred(j); barred {
		f = *j.refuseHeld(left)
	}
	j.log.WithField("content", f.Content).WithField("reason", f.Reason).WithField("may_have_run", f.MayHaveRun).WithField("retry_after_ms", f.RetryAfter.Milliseconds()).Info("gave up")
	out.Refuse(f)
	return string(f.Reason)
}

// whole is an answer, read to its end or to wholeUpTo bytes.
type whole struct {
	*Response
	body []byte
	// more says that the body goes on.
	more bool
}

func readWhole(a *Response) (*whole, error) {
	body, err := io.ReadAll(io.LimitReader(a.Body, wholeUpTo+1))
	if err != nil {
		a.Body.Close()
		return nil, err
	}
	w := &whole{Response: a, body: body, more: len(body) > wholeUpTo}
	if !w.more {
		a.Body.Close()
	}
	return w, nil
}

// proper reports whether the answer is the server's own, as it made it. A success
// without the server's signature, or recoded on its way, is not.
func (w *whole) proper() bool {
	return w.Status >= 300 || w.Signed && !w.Recoded
}

func (w *whole) failed() bool { return w.Status >= 500 }

func (r *Relay) deliver(w *whole, out Responder) string {
	defer w.Body.Close()
	if !w.more && w.Length < 0 {
		w.Length = int64(len(w.body))
	}
	if out.Begin(w.Response) != nil {
		out.Abort()
		return OutcomeCallerGone
	}
	if err := pass(w, out); err != nil {
		out.Abort()
		return OutcomeBrokenOff
	}
	out.End()
	return OutcomeAnswered
}

func pass(w *whole, out Responder) error {
	if err := out.Write(w.body); err != nil || !w.more {
		return err
	}
	buf := bytes.NewBuffer(make([]byte, 0, bytes.MinRead))
	for {
		buf.Reset()
		n, err := w.Body.Read(buf.AvailableBuffer()[:bytes.MinRead])
		if n > 0 {
			if err := out.Write(buf.AvailableBuffer()[:n]); err != nil {
				return err
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
