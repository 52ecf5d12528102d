package relay

import (
	"context"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"kingcupplank.example/kingcup/backends"
	"kingcupplank.example/kingcup/internal/wait"
	"kingcupplank.example/kingcup/retry"
)

// errCallerGone means that the response cannot be written to the caller any more.
var errCallerGone = errors.New("caller is gone")

// errEndedByStop means that a response ended with its connection, and its server was told to stop the run.
var errEndedByStop = errors.New("response ended as its run was stopped")

// errNoEvent means that a response ended with its connection before the first event of its stream.
var errNoEvent = errors.New("response ended before the first event")

// session is a stream that is being forwarded to its caller.
type session struct {
	*Relay
	job *job
	out Responder
	seq sequence
	run *run
	// started is set once the response to the caller has begun.
	started     bool
	lastEventAt time.Duration
}

// stream answers a request whose response is a stream of events.
func (r *Relay) stream(ctx context.Context, j *job, out Responder) string {
	if refusal := r.bindResumedStream(ctx, j); refusal != nil {
		return r.sendRefusal(ctx, j, *refusal, out)
	}
	placed, refusal := r.place(ctx, j, j.LastEventID)
	for refusal == nil && !placed.isStream() {
		response, err := bufferResponse(placed.response, placed.cancel)
		if err != nil || response.hasMore {
			j.unstopped.add(placed.reservation.Server)
		}
		if err != nil && !errors.Is(err, errInvalidSuccess) {
			r.handleBrokenResponse(ctx, j, placed.reservation.Server)
		}
		if placed.standby != nil {
			r.releaseStandby(placed.standby)
		}
		placed.reservation.Release(backends.ResultFailed, r.Now())
		j.excluded = append(j.excluded, placed.reservation.Server.ID)
		if !j.canRetry() {
			if err == nil && response.isValid() && response.Status >= 300 {
				return r.deliver(ctx, j, response, out)
			}
			placed.response.Body.Close()
			return r.sendRefusal(ctx, j, *r.refuse(j, ReasonInvalidResponse), out)
		}
		placed.response.Body.Close()
		r.Observer.AttemptFailed(j.service, "server error")
		placed, refusal = r.place(ctx, j, j.LastEventID)
	}
	if refusal != nil {
		return r.sendRefusal(ctx, j, *refusal, out)
	}
	s := &session{Relay: r, job: j, out: out, seq: sequenceAfter(j.LastEventID)}
	return s.forward(ctx, placed)
}

// isStream reports whether the response is a stream as the server sent it.
func (p *placedResponse) isStream() bool {
	resp := p.response
	return resp.Status == http.StatusOK && resp.IsStream && resp.Signed && !resp.Recoded
}

func (s *session) forward(ctx context.Context, placed *placedResponse) string {
	s.run = newRun(s.job)
	s.run.setResponse(placed)
	s.run.setStandby(placed)
	s.addRun(s.run)
	defer func() { s.removeRun(s.run) }()
	head := placed.response
	for {
		var h *hedge
		if placed.standby != nil {
			h = s.startHedge(ctx)
		}
		err := s.forwardEvents(head, placed)
		placed.response.Body.Close()
		if err == nil {
			h.discard()
			s.recordStretch(s.job, placed.reservation)
			placed.reservation.Release(backends.ResultOK, s.Now())
			s.recordAnswered(s.job, placed.response)
			s.recordOutput()
			return s.finish(head)
		}
		if ctx.Err() != nil || errors.Is(err, errCallerGone) {
			h.discard()
			placed.reservation.Release(backends.ResultInconclusive, s.Now())
			return s.endCanceled(ctx, err)
		}
		if hedged := h.result(); hedged != nil {
			s.dropMoveCopies()
			s.switchTo(hedged, placed)
			placed = hedged
			continue
		}
		next := s.resume(ctx, placed, err)
		if next == nil {
			return s.endBroken(ctx, err)
		}
		placed = next
	}
}

// forwardEvents forwards events until the response ends; nil means that it ended between two
// events.
func (s *session) forwardEvents(head *Response, placed *placedResponse) error {
	events := newEventReader(placed.response.Body)
	for {
		event, err := events.next()
		if err == io.EOF && placed.response.EndsWithConnection && s.run.isStopRequested() {
			return errEndedByStop
		}
		if err == io.EOF && placed.response.EndsWithConnection && !s.seq.started {
			return errNoEvent
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		fresh, err := s.seq.accept(event)
		if err != nil {
			return err
		}
		if !fresh {
			continue
		}
		isFirst := !s.started
		if isFirst {
			s.started = true
			s.bindSoftware()
			s.job.progress.firstDelay = s.Now() - s.job.arrived
			s.Observer.FirstByte(s.job.team, s.job.service, s.job.route.Kind, s.job.progress.firstDelay)
			if s.out.Begin(head) != nil {
				return errCallerGone
			}
		} else {
			s.recordEventPause(placed, s.Now()-s.lastEventAt)
		}
		s.recordOrigin()
		s.lastEventAt, placed.hadEvent = s.Now(), true
		s.job.progress.events++
		s.job.sentEvents.Add(1)
		s.eventSizes.observe(len(event) + eventOverhead)
		s.run.beginWrite()
		if err := s.out.Write(event); err != nil {
			return writeError{err}
		}
		s.run.recordEvent(s.job.progress, s.seq.lastEventID(), s.Now())
		if isFirst {
			s.considerFirstMove(placed)
		}
		if s.job.Generation != nil && s.job.progress.events%memoryUpdateInterval == 0 {
			placed.reservation.SetMemory(s.run.memory())
			s.reconsiderMove(placed)
		}
		s.updateStandby(s.run)
	}
}

// recordOutput records the length of a generation that has finished. A generation that its caller
// resumed was not seen from its beginning and does not count.
func (s *session) recordOutput() {
	if j := s.job; j.Generation != nil && j.LastEventID == "" {
		s.forecasts.observe(j.route.Name, j.progress.events*j.tokensPerEvent(), j.callerHint())
	}
}

// recordEventPause records the time between two events.
func (s *session) recordEventPause(placed *placedResponse, d time.Duration) {
	// The first event of a resumed stream comes after the pause of the move.
	isOfServer := !s.Link.IsCongested()
	if s.job.Generation != nil && placed.hadEvent && isOfServer {
		placed.reservation.ObservePause(d, s.Now())
	}
	s.job.progress.longestPause = max(s.job.progress.longestPause, d)
	s.Observer.EventPause(s.job.team, d)
	if isOfServer {
		s.recordPause(d)
	}
	if maxPause := s.job.route.MaxPause; maxPause > 0 && d > maxPause {
		s.job.log.WithFields(logrus.Fields{"server": s.run.serverID(), "after": s.seq.lastID, "pause_ms": d.Milliseconds()}).Info("stream stalled")
	}
}

func (s *session) finish(head *Response) string {
	if !s.started && s.out.Begin(head) != nil {
		return OutcomeCallerGone
	}
	s.out.End()
	return OutcomeAnswered
}

// endCanceled ends a stream whose caller has disconnected or whose deadline has passed.
func (s *session) endCanceled(ctx context.Context, err error) string {
	cause, isCut := cutCause(ctx, err)
	if isCut && s.started {
		s.recordCut(cause, err)
	}
	if errors.Is(err, errCallerGone) || context.Cause(ctx) == context.Canceled {
		s.out.Abort()
		return OutcomeCallerGone
	}
	if s.started {
		s.out.Abort()
		if cause == CutStopping {
			return OutcomeAborted
		}
		return OutcomeTimeout
	}
	return s.sendRefusal(ctx, s.job, *s.refuse(s.job, ReasonDeadline), s.out)
}

// endBroken ends a stream that cannot be resumed.
func (s *session) endBroken(ctx context.Context, err error) string {
	if !s.started {
		return s.sendRefusal(ctx, s.job, *s.refuse(s.job, ReasonServerLost), s.out)
	}
	if cause, isCut := cutCause(ctx, err); isCut {
		s.recordCut(cause, err)
	}
	s.out.Abort()
	return OutcomeAborted
}

// resume continues a stream that broke off at one server: from a copy of its KV cache or, where
// the route allows it, by a new run that starts after the last event. It returns nil if neither
// is possible.
func (s *session) resume(ctx context.Context, placed *placedResponse, cause error) *placedResponse {
	j := s.job
	log := j.log.WithField("server", placed.reservation.Server.ID).WithField("software", placed.reservation.Server.SoftwareVersion).WithField("after", s.seq.lastEventID()).WithField("content", j.content().String())
	stoppedHere := s.run.isStopped()
	if !s.run.isStopKnown() {
		j.unstopped.add(placed.reservation.Server)
	}
	if !stoppedHere {
		s.handleBrokenResponse(ctx, j, placed.reservation.Server)
	}
	s.checkSoftware(ctx, j)
	if _, quarantined := s.mustNotSend(j); quarantined {
		placed.reservation.Release(backends.ResultInconclusive, s.Now())
		log.WithError(cause).Warn("stream broke and is not resumed: its request is quarantined")
		s.Observer.Migrated("lost")
		return nil
	}
	if next := s.resumeFromCopy(ctx, placed); next != nil {
		log.WithFields(resumedAt(next)).WithField("cause", cause.Error()).Info("stream resumed from a copy")
		s.Observer.Migrated("resumed")
		return next
	}
	if stoppedHere {
		s.handleBrokenResponse(ctx, j, placed.reservation.Server)
	}
	if j.canHaveStandby() {
		s.Observer.StandbyCopy(StandbyMissing)
	}
	placed.reservation.Release(backends.ResultFailed, s.Now())
	if ctx.Err() != nil || !j.canRetry() {
		log.WithError(cause).Warn("stream broke and cannot be resumed")
		s.Observer.Migrated("lost")
		return nil
	}
	j.excluded = append(j.excluded, placed.reservation.Server.ID)
	lastEventID := s.seq.lastEventID()
	next, refusal := s.place(ctx, j, lastEventID)
	if refusal != nil || !next.isStream() {
		log.WithError(cause).Warn("stream broke and no server resumed it")
		if refusal == nil {
			next.response.Body.Close()
			next.reservation.Release(backends.ResultFailed, s.Now())
		}
		return nil
	}
	log.WithFields(resumedAt(next)).WithField("cause", cause.Error()).Info("stream resumed by a new run")
	s.relocateRun(s.run, next)
	return next
}

// resumedAt returns the log fields of the server at which a stream is resumed.
func resumedAt(next *placedResponse) logrus.Fields {
	return logrus.Fields{"to": next.reservation.Server.ID, "to_software": next.reservation.Server.SoftwareVersion}
}

// resumeFromCopy continues the run from a copy of its KV cache, or from the memory that a server keeps of it, if
// there is one. A server that has not answered may run it, so that the run does not go back then.
func (s *session) resumeFromCopy(ctx context.Context, placed *placedResponse) *placedResponse {
	mayGoBack, pause := true, minRefusedPause
	var refusedBy []keptMemory
	refused := make(map[incarnation]bool)
	for deadline := s.Now() + maxMigrationWait; ; {
		copies := s.run.takeCopies(ctx)
		for i := 0; ; i++ {
			// A server that has refused the run is asked again last: each request takes a retry.
			if i == len(copies) || refused[incarnationOf(copies[i].reservation.Server)] {
				if own := s.reserveKept(nil, mayGoBack); own != nil {
					copies = slices.Insert(copies, i, *own)
				}
			}
			if i == len(copies) {
				break
			}
			c := copies[i]
			next, err := s.resumeFrom(ctx, placed, c)
			if next != nil {
				for _, unused := range copies[i+1:] {
					s.dropUnused(unused)
				}
				return next
			}
			refused[incarnationOf(c.reservation.Server)] = true
			mayGoBack = mayGoBack && hasNotRun(err)
			if c.isOwn && isPassing(err) {
				refusedBy = append(refusedBy, keptMemory{c.reservation.Server, c.Handle})
			}
			if own := s.reserveKept(&c.KVCopy, mayGoBack); own != nil {
				copies = slices.Insert(copies, i+1, *own)
			}
		}
		if s.run.awaitStop(ctx) {
			continue
		}
		if !mayGoBack || len(refusedBy) == 0 || s.Now()+pause > deadline || !wait.For(ctx, pause) {
			return nil
		}
		for _, k := range refusedBy {
			s.job.stopped.add(k)
		}
		refusedBy = nil
		pause *= 2
	}
}

// minRefusedPause is the first pause before a server that did not go on with a run whose memory it keeps is asked
// again. Each further one is twice as long.
const minRefusedPause = 50 * time.Millisecond

// isPassing reports whether an error says that a server does not go on with a run now, but may do so soon.
func isPassing(err error) bool {
	var notRun *NotRunError
	if !errors.As(err, &notRun) {
		return false
	}
	return notRun.Reason == NotRunFull || notRun.Reason == NotRunIneligible
}

// hasNotRun reports whether an attempt with an error has certainly not run.
func hasNotRun(err error) bool {
	return errors.As(err, new(*NotRunError)) || errors.Is(err, errRetryBudget)
}

// resumeFrom continues the run from one copy. The response is nil if its server does not.
func (s *session) resumeFrom(ctx context.Context, placed *placedResponse, c reservedCopy) (*placedResponse, error) {
	s.keepStandby(c)
	next, err := s.sendContinuation(ctx, func() (*placedResponse, error) {
		return s.send(ctx, s.job, c.reservation, &Attempt{
			LastEventID: s.seq.lastEventID(), ResumeFrom: &c.KVCopy, RequiredSoftware: s.job.requiredSoftware(placed.reservation.Server), Retry: retry.Continuation,
		})
	})
	if err == nil && next.isStream() {
		s.undoArrival(s.job)
		s.switchTo(next, placed)
		s.dropKept(s.job, c.KVCopy)
		s.returnContinuation(s.job)
		if c.isStandby {
			s.Observer.StandbyCopy(StandbyUsed)
		}
		return next, nil
	}
	if err == nil {
		next.response.Body.Close()
	}
	c.reservation.Release(copyFailureResult(err), s.Now())
	return nil, err
}

// dropUnused frees a copy of a run that resumed from another one.
func (s *session) dropUnused(c reservedCopy) {
	s.standbys.remove(c.reservation)
	go s.dropCopy(c)
}
