package relay

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"kingcupplank.example/kingcup/backends"
)

// attempt is one try of a request at a server. Only run may be called beside the request's
// own goroutine.
type attempt struct {
	*Attempt
	relay *Relay
	lease *backends.Reservation
	// try is its number within the request.
	try int
	ctx context.Context
	cut context.CancelFunc
	// unwatch ends the watch over its start.
	unwatch func()
}

// reply is what came of an attempt.
type reply struct {
	*attempt
	answer *Response
	err    error
	at     time.Duration
}

// send makes one attempt at the server of a lease.
func (r *Relay) send(ctx context.Context, j *job, lease *backends.Reservation, a *Attempt) (*offer, error) {
	t, err := r.startAttempt(ctx, j, lease, a)
	if err != nil {
		return nil, err
	}
	return r.finishAttempt(j, t.run())
}

// startAttempt counts an attempt that is about to be sent. Errors: *Refused.
func (r *Relay) startAttempt(ctx context.Context, j *job, lease *backends.Reservation, a *Attempt) (*attempt, error) {
	a.Recheck = func() error { return r.look(j, lease, a) }
	if err := a.Recheck(); err != nil {
		return nil, err
	}
	if a.ResumeFrom != nil && !r.Registry.TryUseRate(lease, r.Peers.SharedClock(), r.Now()) {
		return nil, &NotRunError{Reason: NotRunIneligible, Detail: "limit of " + lease.Server.ID}
	}
	a.Request, a.Server, a.Team = j.Request, lease.Server, j.team
	a.SentAt, a.Timeout = r.Now(), j.left()
	a.Priority = -1
	if j.Generation != nil {
		a.Priority = j.priority
	}
	j.sent++
	j.reached++
	j.answering.Store(false)
	t := &attempt{Attempt: a, relay: r, lease: lease, try: j.sent}
	t.unwatch = r.watchStart(j, lease, a)
	t.ctx, t.cut = context.WithCancel(ctx)
	return t, nil
}

// look is the last look before a request goes to a server: what was known when it was chosen, or
// when the copy was made that the run goes on from, may be so no more.
func (r *Relay) look(j *job, lease *backends.Reservation, a *Attempt) error {
	if r.Registry.IsIneligible(lease.Server, j.regions) {
		return &NotRunError{Reason: NotRunIneligible, Detail: lease.Server.FailureDomain}
	}
	if _, leaving := r.Registry.State(lease.Server); leaving && a.ResumeFrom == nil {
		return &NotRunError{Reason: NotRunIneligible, Detail: lease.Server.ID + " is leaving"}
	}
	if r.Registry.IsBackingOff(lease.Server, r.Now()) {
		return &NotRunError{Reason: NotRunIneligible, Detail: lease.Server.ID + " rests"}
	}
	return nil
}

// run sends the attempt and waits for the head of its answer.
func (t *attempt) run() reply {
	answer, err := t.relay.Upstream.Send(t.ctx, t.Attempt)
	t.unwatch()
	return reply{t, answer, err, t.relay.Now()}
}

func isBarred(err error) bool {
	var refused *NotRunError
	return errors.As(err, &refused) && refused.Reason == NotRunIneligible
}

// finishAttempt counts what came of an attempt.
func (r *Relay) finishAttempt(j *job, p reply) (*offer, error) {
	lease := p.lease
	entry := j.log.WithFields(logrus.Fields{
		"server": lease.Server.ID, "try": p.try, "running": lease.Running, "tokens": lease.ExpectedTokens,
		"prompt": lease.PromptTokens, "of": lease.ServerCount,
		"waited_ms": (p.SentAt - j.arrived).Milliseconds(), "answer_ms": (p.at - p.SentAt).Milliseconds(),
	})
	if p.err != nil {
		p.cut()
		if isBarred(p.err) {
			// Nothing has arrived.
			j.reached--
		}
		entry.WithField("result", p.err.Error()).Info("sent")
		return nil, p.err
	}
	j.ran++
	j.answering.Store(true)
	lease.FinishPrompt()
	if p.ResumeFrom == nil {
		r.prompted(lease.PromptTokens+j.prompt(), p.at-p.SentAt)
	}
	entry.WithField("status", p.answer.Status).Info("sent")
	return &offer{lease: lease, answer: p.answer, cut: p.cut}, nil
}
