package relay

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"kingcupplank.example/kingcup/backends"
	"kingcupplank.example/kingcup/dispatch"
	"kingcupplank.example/kingcup/retry"
)

// attempt is an Attempt that is about to be sent or is in flight, with its reservation and its
// context. Only send may be called from another goroutine than the request's own.
type attempt struct {
	*Attempt
	relay       *Relay
	reservation *backends.Reservation
	// ticket is the attempt in the request's record.
	ticket dispatch.Ticket
	// number counts the request's attempts, from 1, here those at its server.
	number, here int
	ctx          context.Context
	cancel       context.CancelFunc
	// stopStartTimer stops the timer of watchResponseStart.
	stopStartTimer func()
}

// attemptResult is the result of an attempt.
type attemptResult struct {
	*attempt
	response *Response
	err      error
	at       time.Duration
}

// send makes one attempt at the reserved server.
func (r *Relay) send(ctx context.Context, j *job, reservation *backends.Reservation, a *Attempt) (*placedResponse, error) {
	t, err := r.startAttempt(ctx, j, reservation, a)
	if err != nil {
		return nil, err
	}
	return r.finishAttempt(j, t.send())
}

// errMayHaveRun means that a request must not be sent again, as a server may have run it.
var errMayHaveRun = errors.New("request may have run")

// startAttempt checks that the server is still eligible, completes the attempt and counts it. The
// caller sends it then. Errors: *NotRunError, errRetryBudget, errMayHaveRun.
func (r *Relay) startAttempt(ctx context.Context, j *job, reservation *backends.Reservation, a *Attempt) (*attempt, error) {
	if a.ResumeFrom == nil && !j.route.Repeatable() && j.Sends.MayHaveRun() {
		return nil, errMayHaveRun
	}
	if a.RequiredSoftware == nil {
		a.RequiredSoftware = j.software.Load()
	}
	a.Recheck = func() error { return r.recheck(j, reservation, a) }
	if err := a.Recheck(); err != nil {
		return nil, err
	}
	if r.mayHaveRestarted(ctx, a, reservation.Server) {
		return nil, &NotRunError{Reason: NotRunIneligible, Detail: reservation.Server.ID + " may have started again"}
	}
	// A run that is stopped must go on. The retry is taken after the stop, as others need it meanwhile.
	if !r.hasRetry(j) {
		return nil, errRetryBudget
	}
	r.stopElsewhere(ctx, j, reservation.Server, a)
	if err := r.takeArrival(j, a.kind(j)); err != nil {
		return nil, err
	}
	if a.ResumeFrom != nil && !r.Registry.TryUseRate(reservation, r.Peers.SharedClock(), r.Now()) {
		r.undoArrival(j)
		return nil, &NotRunError{Reason: NotRunIneligible, Detail: "rate limit of " + reservation.Server.ID}
	}
	ticket, ok := j.Sends.Begin(reservation.Server.ID, a.ResumeFrom != nil)
	if !ok {
		r.undoArrival(j)
		return nil, &NotRunError{Reason: NotRunPromised, Detail: reservation.Server.ID}
	}
	a.Request, a.Server, a.Team = j.Request, reservation.Server, j.team
	a.SentAt, a.Timeout = r.Now(), j.timeLeft()
	a.Priority = -1
	if j.Generation != nil {
		a.Priority = j.priority
	}
	j.attempts++
	if a.Retry != retry.Hedge {
		// The run of a hedge still has the response of its own server.
		j.responseBegun.Store(false)
	}
	t := &attempt{Attempt: a, relay: r, reservation: reservation, ticket: ticket, number: j.attempts, here: j.countAttemptAt(reservation.Server.ID)}
	t.stopStartTimer = r.watchResponseStart(j, reservation, a)
	t.ctx, t.cancel = context.WithCancel(ctx)
	return t, nil
}

// countAttemptAt counts an attempt at a server and returns the number of those of the request there.
func (j *job) countAttemptAt(server string) (here int) {
	j.attemptsAt = append(j.attemptsAt, server)
	for _, s := range j.attemptsAt {
		if s == server {
			here++
		}
	}
	return here
}

// kind returns the kind of retry that an attempt of a request is.
func (a *Attempt) kind(j *job) retry.Kind {
	switch {
	case a.Retry != "":
		return a.Retry
	case j.arrivals > 1:
		return retry.FurtherRepeat
	}
	return retry.Repeat
}

// recheck checks just before an attempt is sent whether the server is still eligible: its state
// may have changed since it was selected, or since the copy was made from which the run resumes.
func (r *Relay) recheck(j *job, reservation *backends.Reservation, a *Attempt) error {
	if j.hasCallerLeft() {
		return &NotRunError{Reason: NotRunCallerGone, Detail: "before attempt at " + reservation.Server.ID}
	}
	if r.Registry.IsIneligible(reservation.Server, j.regions) {
		return &NotRunError{Reason: NotRunIneligible, Detail: reservation.Server.FailureDomain}
	}
	if a.RequiredSoftware != nil && !r.Registry.RunsSoftware(reservation.Server, *a.RequiredSoftware) {
		return &NotRunError{Reason: NotRunIneligible, Detail: reservation.Server.ID + " runs other software"}
	}
	if _, leaving := r.Registry.State(reservation.Server); leaving && (a.ResumeFrom == nil || !r.isWithinDrainTime(reservation.Server)) {
		return &NotRunError{Reason: NotRunIneligible, Detail: reservation.Server.ID + " is leaving"}
	}
	if r.Registry.IsBackingOff(reservation.Server, r.Now()) {
		return &NotRunError{Reason: NotRunIneligible, Detail: reservation.Server.ID + " is backing off"}
	}
	return nil
}

// send sends the attempt and waits for the head of the response.
func (t *attempt) send() attemptResult {
	response, err := t.relay.Upstream.Send(t.ctx, t.Attempt)
	t.settle(err)
	t.stopStartTimer()
	return attemptResult{t, response, err, t.relay.Now()}
}

// settle records the result of the attempt in the request's record.
func (t *attempt) settle(err error) {
	var notRun *NotRunError
	switch {
	case err == nil:
		t.ticket.Settle(dispatch.Begun, "")
	case errors.As(err, &notRun):
		t.ticket.Settle(notRun.Reason.outcome(), notRun.Detail)
	default:
		t.ticket.Settle(dispatch.Unknown, err.Error())
	}
}

// wasNotSent reports whether an attempt with an error has certainly not reached a server. Such attempts take
// nothing from the retry budget, which protects servers that are up: callers must not be refused because
// of servers that are down.
func wasNotSent(err error) bool {
	var notRun *NotRunError
	if !errors.As(err, &notRun) {
		return false
	}
	return notRun.Reason.outcome() == dispatch.NotSent
}

// hasCallerLeft reports whether the caller has closed its connection, and ends the request if so. A request that
// was read late may have its caller's end behind it, which the goroutine that ends the context has not read yet.
func (j *job) hasCallerLeft() bool {
	if j.CallerGone == nil || !j.CallerGone() {
		return false
	}
	j.cancel(context.Canceled)
	return true
}

// finishAttempt logs and counts the result of an attempt.
func (r *Relay) finishAttempt(j *job, result attemptResult) (*placedResponse, error) {
	reservation := result.reservation
	entry := j.log.WithFields(logrus.Fields{
		"server": reservation.Server.ID, "software": reservation.Server.SoftwareVersion, "try": result.number, "running": reservation.Running, "tokens": reservation.ExpectedTokens,
		"prompt": reservation.PromptTokens, "of": reservation.ServerCount, "here": result.here,
		"waited_ms": (result.SentAt - j.arrived).Milliseconds(), "answer_ms": (result.at - result.SentAt).Milliseconds(),
	})
	if result.StandbyAddress != "" {
		entry = entry.WithField("standby", result.StandbyAddress)
	}
	if result.err != nil {
		result.cancel()
		if wasNotSent(result.err) {
			r.undoArrival(j)
		}
		if !errors.As(result.err, new(*NotRunError)) {
			j.unstopped.add(reservation.Server)
		}
		entry.WithField("result", result.err.Error()).Info("sent")
		return nil, result.err
	}
	j.responseBegun.Store(true)
	if result.response.EndsWithConnection {
		result.response.Body = &unframedBody{ReadCloser: result.response.Body, relay: r, server: reservation.Server}
	}
	reservation.FinishPrompt()
	if j.engine == nil && result.response.Status < 500 && !r.Link.IsCongested() {
		reservation.ObserveAnswer(result.at-result.SentAt, result.at)
	}
	if result.ResumeFrom == nil && !r.Link.IsCongested() {
		r.recordPromptTime(reservation.PromptTokens+j.promptTokens(), result.at-result.SentAt)
	}
	entry.WithField("status", result.response.Status).Info("sent")
	return &placedResponse{reservation: reservation, response: result.response, cancel: result.cancel}, nil
}
