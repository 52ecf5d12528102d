package relay

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"kingcupplank.example/kingcup/backends"
	"kingcupplank.example/kingcup/internal/wait"
	"kingcupplank.example/kingcup/retry"
)

const (
	// maxPauseShare is the part of the route's maximum pause after which a stream with a standby
	// copy is continued from the copy. The rest is for the first event from the copy, which takes
	// some 30 to 50 ms.
	maxPauseShare = 0.65
	// longestPauseFactor is how many times its longest pause so far a stream may be silent, so
	// that an engine that is always slow causes no hedge.
	longestPauseFactor = 1.8
	// minSilence is the lower bound of the allowed silence, also where the route sets no maximum
	// pause: four tokens beside a prompt that is being read take 62 ms.
	minSilence = 110 * time.Millisecond
	// stallSlack is how late the timer may fire before this process itself is assumed to have
	// stalled. Events that arrived in the meantime are then read first.
	stallSlack = 15 * time.Millisecond
)

// hedge continues a silent stream from its standby copy while its own server may still resume
// sending. It belongs to one response of a server.
//
// An engine that hangs or is behind a network partition sends no reset. The connection's
// keepalive probes detect that after 4 s, while events come every 30 to 60 ms. A server that answers
// is told to stop the run, which then resumes from a copy. The response of one that doesn't answer is
// canceled only once the standby server responds, so that a missing copy does not cost the stream:
// events that both servers send are forwarded once.
type hedge struct {
	session *session
	// stopWatching ends the wait for silence, abort also the attempt at the standby server.
	stopWatching, abort context.CancelFunc
	// done is closed when the hedge is over; response is the standby server's response, nil if
	// there is none. response is written before done is closed.
	done     chan struct{}
	response *placedResponse
}

// startHedge watches a response whose run has a standby copy.
func (s *session) startHedge(ctx context.Context) *hedge {
	ctx, abort := context.WithCancel(ctx)
	watching, stopWatching := context.WithCancel(ctx)
	h := &hedge{session: s, stopWatching: stopWatching, abort: abort, done: make(chan struct{})}
	go func() {
		defer close(h.done)
		for h.awaitSilence(watching) {
			if !h.canContinue() {
				return
			}
			if h.awaitRetry(watching) {
				h.response = h.continueFromStandby(ctx, watching)
				return
			}
		}
	}()
	return h
}

// result stops watching and returns the standby server's response, nil if there is none.
func (h *hedge) result() *placedResponse {
	if h == nil {
		return nil
	}
	h.stopWatching()
	<-h.done
	return h.response
}

// discard stops watching and closes the standby server's response if there is one.
func (h *hedge) discard() {
	if h == nil {
		return
	}
	h.abort()
	<-h.done
	if placed := h.response; placed != nil {
		placed.response.Body.Close()
		placed.reservation.Release(backends.ResultInconclusive, h.session.Now())
	}
}

// awaitSilence waits until the stream has been silent for too long. It returns false if ctx is
// canceled first.
func (h *hedge) awaitSilence(ctx context.Context) bool {
	run, now := h.session.run, h.session.Now
	t := time.NewTimer(h.session.job.maxSilence(0))
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return false
		case <-t.C:
		}
		lastEventAt, longestPause, isWaiting := run.eventTimes()
		if !isWaiting {
			// The engine is still reading the prompt, or the caller is slow to read an event.
			t.Reset(minSilence)
			continue
		}
		maxSilence := h.session.job.maxSilence(longestPause)
		remaining := maxSilence - (now() - lastEventAt)
		switch {
		case remaining > 0:
			t.Reset(remaining)
		case h.session.Link.IsCongested():
			// Events are late on this VM's link. Silence counts anew once they are not.
			run.ignoreSilenceBefore(now() - maxSilence + stallSlack)
			t.Reset(stallSlack)
		case remaining < -stallSlack:
			// The next check sees the events read by then, or the same silence.
			run.ignoreSilenceBefore(now() - maxSilence + stallSlack)
			t.Reset(stallSlack)
		default:
			return true
		}
	}
}

// maxSilence returns how long a stream may be silent, given its longest pause so far.
func (j *job) maxSilence(longestPause time.Duration) time.Duration {
	return max(minSilence, time.Duration(maxPauseShare*float64(j.route.MaxPause)), time.Duration(longestPauseFactor*float64(longestPause)))
}

// canContinue reports whether the standby server may be asked to continue the stream.
func (h *hedge) canContinue() bool {
	s := h.session
	if _, quarantined := s.quarantined(s.job); quarantined {
		return false
	}
	standby := s.run.peekStandby()
	return standby != nil && s.canContinueAt(s.job, s.run.currentServer(), standby.reservation)
}

// awaitRetry waits for the retry with which the stream continues. It returns false once the stream is not silent any
// more, or if ctx ends.
func (h *hedge) awaitRetry(ctx context.Context) bool {
	s := h.session
	kind := retry.Hedge
	if s.job.canBeStopped() {
		// Once it is stopped, the run goes on like any other that was.
		kind = retry.Continuation
	}
	silentSince, _, _ := s.run.eventTimes()
	for !s.reserveContinuation(s.job, kind) {
		if !wait.For(ctx, budgetPoll) {
			return false
		}
		if lastEventAt, _, _ := s.run.eventTimes(); lastEventAt != silentSince {
			return false
		}
	}
	return true
}

// continueFromStandby stops the run at its server, so that the stream resumes from its copies. If the server
// doesn't answer, it asks the standby server to continue the stream, and cancels the old response if it
// does: without a copy, the old server may still resume sending.
func (h *hedge) continueFromStandby(ctx, watching context.Context) *placedResponse {
	s := h.session
	standby := s.run.peekStandby()
	if standby == nil {
		return nil
	}
	if s.job.canBeStopped() && h.stopSilent(watching, standby.reservation.Server) || watching.Err() != nil {
		return nil
	}
	standby = s.run.takeStandby()
	if standby == nil {
		return nil
	}
	// The run may go on at its server: the attempt takes the retry of a hedge.
	s.returnContinuation(s.job)
	software := s.job.requiredSoftware(s.run.currentServer())
	ctx, cancel := context.WithCancel(ctx)
	timer, begin := time.AfterFunc(maxMigrationWait, cancel), s.Now()
	next, err := s.send(ctx, s.job, standby.reservation, &Attempt{
		LastEventID: s.run.lastDeliveredID(), ResumeFrom: &standby.KVCopy, RequiredSoftware: software, Retry: retry.Hedge,
	})
	inTime := timer.Stop() && err == nil
	if !inTime || !next.isStream() {
		if err == nil {
			next.response.Body.Close()
		}
		cancel()
		standby.reservation.Release(copyFailureResult(err), s.Now())
		// Its server may still stop the run.
		s.reserveContinuation(s.job, retry.Continuation)
		return nil
	}
	s.undoArrival(s.job)
	s.job.log.WithFields(logrus.Fields{"server": s.run.serverID(), "to": standby.reservation.Server.ID, "to_software": standby.reservation.Server.SoftwareVersion, "both_ms": (s.Now() - begin).Milliseconds()}).Info("silent stream resumed from its standby copy")
	s.Observer.Migrated("hedged")
	s.Observer.StandbyCopy(StandbyUsed)
	s.run.cancelResponse()
	return next
}

// takeStandby removes the standby copy from the run and returns it, nil if there is none.
func (u *run) takeStandby() *reservedCopy {
	u.mu.Lock()
	defer u.mu.Unlock()
	c := u.standby
	u.standby = nil
	return c
}

// eventTimes returns the time of the last event and the longest pause so far. isWaiting is false
// before the first event, and while an event is being written to the caller.
func (u *run) eventTimes() (lastEventAt, longestPause time.Duration, isWaiting bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.lastEventAt, u.longestPause, u.eventCount > 0 && !u.isWriting
}

// beginWrite records that an event is being written to the caller; recordEvent ends that.
func (u *run) beginWrite() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.isWriting = true
}

// ignoreSilenceBefore makes the silence of the stream count from the given time or later.
func (u *run) ignoreSilenceBefore(at time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.lastEventAt = max(u.lastEventAt, at)
}

// lastDeliveredID returns the id of the last event that the caller has received, empty for none.
func (u *run) lastDeliveredID() string {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.lastEventID
}

// cancelResponse cancels the response that is being read.
func (u *run) cancelResponse() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.cancel()
}

// switchTo replaces a response by one that resumed the run from a copy.
func (s *session) switchTo(next, old *placedResponse) {
	old.reservation.Release(backends.ResultInconclusive, s.Now())
	s.relocateRun(s.run, next)
}
