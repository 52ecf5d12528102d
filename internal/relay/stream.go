package relay

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"kingcupplank.example/kingcup/backends"
)

// errCaller says that the caller does not take the answer any more.
var errCaller = errors.New("caller does not read")

// session is a stream on its way to its caller.
type session struct {
	*Relay
	job   *job
	out   Responder
	seq   sequence
	run   *run
	begun bool
	last  time.Duration
}

// stream answers a request whose answer is a series of events.
func (r *Relay) stream(ctx context.Context, j *job, out Responder) string {
	o, refusal := r.place(ctx, j, j.LastEventID)
	for refusal == nil && !o.streams() {
		w, err := readWhole(o.answer)
		if err != nil {
			r.broke(ctx, j, o.lease.Server)
		}
		o.uncover(r.Now())
		o.lease.Release(backends.ResultFailed, r.Now())
		j.tried = append(j.tried, o.lease.Server.ID)
		if !j.mayRepeat() {
			if err == nil && w.proper() && w.Status >= 300 {
				return r.deliver(w, out)
			}
			o.answer.Body.Close()
			return r.giveUp(ctx, j, *r.refuse(j, ReasonSpoilt), out)
		}
		o.answer.Body.Close()
		r.Observer.AttemptFailed(j.service, "server error")
		o, refusal = r.place(ctx, j, j.LastEventID)
	}
	if refusal != nil {
		return r.giveUp(ctx, j, *refusal, out)
	}
	s := &session{Relay: r, job: j, out: out, seq: sequenceAfter(j.LastEventID)}
	return s.relay(ctx, o)
}

// streams reports whether the answer is a stream of the server's own.
func (o *offer) streams() bool {
	a := o.answer
	return a.Status == http.StatusOK && a.IsStream && a.Signed && !a.Recoded
}

func (s *session) relay(ctx context.Context, o *offer) string {
	s.run = newRun(s.job)
	s.run.read(o)
	s.run.keepCover(o)
	s.enlist(s.run)
	defer func() { s.strike(s.run) }()
	first := o.answer
	for {
		var h *hedge
		if o.cover != nil {
			h = s.startHedge(ctx)
		}
		err := s.pump(first, o)
		o.answer.Body.Close()
		if err == nil {
			h.discard()
			o.lease.Release(backends.ResultOK, s.Now())
			s.answered(s.job)
			s.learn()
			return s.end(first)
		}
		if ctx.Err() != nil || errors.Is(err, errCaller) {
			h.discard()
			o.lease.Release(backends.ResultInconclusive, s.Now())
			return s.cutOff(ctx, err)
		}
		if hedged := h.await(); hedged != nil {
			s.adopt(hedged, o)
			o = hedged
			continue
		}
		next := s.goOn(ctx, o, err)
		if next == nil {
			return s.broken(ctx)
		}
		o = next
	}
}

// pump passes events on until the answer ends; nil is a clean end.
func (s *session) pump(first *Response, o *offer) error {
	events := newEventReader(o.answer.Body)
	for {
		event, err := events.next()
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		fresh, err := s.seq.take(event)
		if err != nil {
			return err
		}
		if !fresh {
			continue
		}
		if !s.begun {
			s.begun = true
			s.job.progress.first = s.Now() - s.job.arrived
			s.Observer.FirstByte(s.job.team, s.job.service, s.job.route.Kind, s.job.progress.first)
			if s.out.Begin(first) != nil {
				return errCaller
			}
		} else {
			s.notePause(s.Now() - s.last)
		}
		s.last = s.Now()
		s.job.progress.events++
		if s.out.Write(event) != nil {
			return errCaller
		}
		s.run.delivered(s.job.progress, s.seq.after(), s.last)
		if s.job.Generation != nil && s.job.progress.events%reviseEvery == 0 {
			o.lease.SetExpectedTokens(s.run.memory())
		}
	}
}

// learn notes the length of a generation that ended by itself. One that its
// caller resumed was not seen from its beginning.
func (s *session) learn() {
	if j := s.job; j.Generation != nil && j.LastEventID == "" {
		s.outputs.observe(j.route.Name, j.progress.events*j.perEvent(), j.said())
	}
}

// notePause takes note of the time between two events.
func (s *session) notePause(d time.Duration) {
	s.job.progress.longest = max(s.job.progress.longest, d)
	s.Observer.EventPause(s.job.team, d)
	s.paused(d)
	if most := s.job.route.MaxPause; most > 0 && d > most {
		s.job.log.WithFields(logrus.Fields{"server": s.run.host(), "after": s.seq.last, "pause_ms": d.Milliseconds()}).Info("stream stalled")
	}
}

func (s *session) end(first *Response) string {
	if !s.begun && s.out.Begin(first) != nil {
		return OutcomeCallerGone
	}
	s.out.End()
	return OutcomeAnswered
}

// cutOff ends a stream whose caller left or whose time is up.
func (s *session) cutOff(ctx context.Context, err error) string {
	if errors.Is(err, errCaller) || context.Cause(ctx) == context.Canceled {
		s.out.Abort()
		return OutcomeCallerGone
	}
	if s.begun {
		s.out.Abort()
		return OutcomeTimeout
	}
	return s.giveUp(ctx, s.job, *s.refuse(s.job, ReasonDeadline), s.out)
}

// broken ends a stream that nothing can continue.
func (s *session) broken(ctx context.Context) string {
	if !s.begun {
		return s.giveUp(ctx, s.job, *s.refuse(s.job, ReasonLost), s.out)
	}
	s.out.Abort()
	return OutcomeBrokenOff
}

// goOn finds where a stream that broke at one server continues: at a copy of its
// memory, or, where the route allows it, by a new run behind the last event.
func (s *session) goOn(ctx context.Context, o *offer, cause error) *offer {
	j := s.job
	log := j.log.WithField("server", o.lease.Server.ID).WithField("after", s.seq.after()).WithField("content", j.id().String())
	s.broke(ctx, j, o.lease.Server)
	if _, held := s.held(j); held {
		o.lease.Release(backends.ResultInconclusive, s.Now())
		log.WithError(cause).Warn("stream broke and must not go on: servers end under it")
		s.Observer.Migrated("lost")
		return nil
	}
	if next := s.resumeCopy(ctx, o); next != nil {
		log.WithField("to", next.lease.Server.ID).WithField("cause", cause.Error()).Info("stream goes on from its copy")
		s.Observer.Migrated("resumed")
		return next
	}
	o.lease.Release(backends.ResultFailed, s.Now())
	if ctx.Err() != nil || !j.mayRepeat() {
		log.WithError(cause).Warn("stream broke and cannot go on")
		s.Observer.Migrated("lost")
		return nil
	}
	j.tried = append(j.tried, o.lease.Server.ID)
	after := s.seq.after()
	next, refusal := s.place(ctx, j, after)
	if refusal != nil || !next.streams() {
		log.WithError(cause).Warn("stream broke and no server goes on")
		if refusal == nil {
			next.answer.Body.Close()
			next.lease.Release(backends.ResultFailed, s.Now())
		}
		return nil
	}
	log.WithField("to", next.lease.Server.ID).WithField("cause", cause.Error()).Info("stream goes on by a new run")
	s.relocate(s.run, next)
	return next
}

// resumeCopy continues the run at a copy of its memory, if it has one.
func (s *session) resumeCopy(ctx context.Context, o *offer) *offer {
	copies := s.run.takeCopies(ctx)
	for i, c := range copies {
		s.spend(s.job.service)
		next, err := s.send(ctx, s.job, c.lease, &Attempt{LastEventID: s.seq.after(), ResumeFrom: &c.KVCopy})
		if err == nil && next.streams() {
			s.adopt(next, o)
			for _, unused := range copies[i+1:] {
				go s.drop(unused)
			}
			return next
		}
		if err == nil {
			next.answer.Body.Close()
		}
		c.lease.Release(missed(err), s.Now())
	}
	return nil
}
