package relay

import (
	"context"
	"time"

	"kingcupplank.example/kingcup/backends"
	"kingcupplank.example/kingcup/internal/wait"
	"kingcupplank.example/kingcup/origin"
)

// bindSoftware records which software version sends the first event of the stream.
func (s *session) bindSoftware() {
	if s.job.software.Load() == nil {
		server := s.run.currentServer()
		version := server.SoftwareVersion
		s.job.software.Store(&version)
		s.job.softwareFrom, s.job.softwareAt = server, s.Now()
		// HandleRestart finds nothing to forget while the server reads the prompt.
		if s.Registry.HasRestarted(server) && !s.Registry.RunsSoftware(backends.Server{ID: server.ID}, version) {
			s.forgetSoftware(s.job)
		}
		if server.StartTime != 0 && !s.Registry.ConfirmedSince(s.Now()-maxTrustedAge) {
			go s.verifyIncarnation(s.job)
		}
	}
}

const (
	// maxTrustedAge is the age of the directory up to which servers are not asked for their incarnation as a
	// stream begins. Without changes the directory is confirmed about once a second.
	maxTrustedAge = 1500 * time.Millisecond
	// startTimeTimeout bounds how long a server is asked when it started.
	startTimeTimeout = 100 * time.Millisecond
)

// isIncarnation asks a server whether it is still the listed incarnation. A server that may start again under its
// id, possibly with other software, says when it started.
func (r *Relay) isIncarnation(ctx context.Context, s backends.Server) bool {
	ctx, cancel := context.WithTimeout(ctx, startTimeTimeout)
	defer cancel()
	startTime, err := r.Upstream.StartTime(ctx, s)
	if err != nil {
		r.Log.WithError(err).WithField("server", s.ID).Info("server does not say when it started, no stream is resumed there")
	}
	return err == nil && startTime == s.StartTime
}

// verifyIncarnation verifies that the first event of a stream came from the listed incarnation of its server.
func (r *Relay) verifyIncarnation(j *job) {
	if r.isIncarnation(context.Background(), j.softwareFrom) {
		j.softwareVerified.Store(true)
	}
}

// checkSoftware forgets the software version of a stream if its server may have been another incarnation than the
// listed one: the directory was not confirmed after the first event, and the server hasn't told.
func (r *Relay) checkSoftware(ctx context.Context, j *job) {
	if j.softwareFrom.StartTime == 0 || j.softwareVerified.Load() || r.Registry.ConfirmedSince(j.softwareAt) {
		return
	}
	if r.isIncarnation(ctx, j.softwareFrom) {
		return
	}
	// The server may be gone. The directory shows soon which incarnation it was.
	for until := r.Now() + maxTrustedAge; r.Now() < until && wait.For(ctx, queuePollInterval); {
		if r.Registry.ConfirmedSince(j.softwareAt) {
			return
		}
	}
	r.forgetSoftware(j)
}

// mayHaveRestarted reports whether a server at which a stream is to be resumed by a new run may have started again
// with other software. A copy needs no such check: a server that has started again has none.
func (r *Relay) mayHaveRestarted(ctx context.Context, a *Attempt, s backends.Server) bool {
	return s.StartTime != 0 && a.RequiredSoftware != nil && a.LastEventID != "" && a.ResumeFrom == nil && !r.isIncarnation(ctx, s)
}

// requiredSoftware returns the software version at which the run at a server may be resumed from a copy.
func (j *job) requiredSoftware(at backends.Server) *string {
	if software := j.software.Load(); software != nil {
		return software
	}
	return &at.SoftwareVersion
}

// forgetSoftware makes the software version of a stream unknown, so that it is resumed nowhere: its server
// has restarted, and it is not known in which incarnation the stream began.
func (r *Relay) forgetSoftware(j *job) {
	if j.software.Load() == nil {
		return
	}
	j.software.Store(new(string))
	if j.originRecorded.Load() {
		r.Origins.Record(j.originID(), origin.Origin{Service: j.service}, j.streamLifetime(), r.resumptionWindow())
	}
}

// acquireSameSoftware reserves an engine for a stream that has begun, of the version that began it. The
// request is not queued: at the head of the queue it would wait for one version while engines of
// others have room for the requests behind it.
func (r *Relay) acquireSameSoftware(ctx context.Context, j *job) (*backends.Reservation, *Refusal) {
	eq, demand, w := r.engineQueue(j.service), r.engineDemand(j), r.engineWaiter(j)
	waitUntil := r.Now() + j.maxResumeWait()
	for {
		q := r.engineQuery(j, 0)
		q.Turns, q.Spill = nil, true
		if reservation := r.Registry.Acquire(q, r.Now()); reservation != nil {
			r.evictStandbys(reservation)
			r.recordStart(j, eq, w, demand)
			r.Peers.NotifyLoads()
			return reservation, nil
		}
		if refusal := r.refuseIfSoftwareGone(j); refusal != nil {
			return nil, refusal
		}
		if r.Now()+queuePollInterval > waitUntil || j.timeLeft() < queuePollInterval {
			return nil, r.refuse(j, ReasonNoCapacity)
		}
		if !wait.For(ctx, queuePollInterval) {
			return nil, r.refuse(j, ReasonDeadline)
		}
	}
}

// maxResumeWait returns how long a stream that has begun may wait for a server of its version: as long as its
// caller waits for the next event, but no longer than half of the time that is left.
func (j *job) maxResumeWait() time.Duration {
	silence := time.Duration(eventTimeoutShare * float64(j.route.EventTimeout))
	return max(j.maxWait(), min(silence, j.timeLeft()/2))
}

// refuseIfSoftwareGone returns a refusal if no server runs the software version that the request
// requires, and nil otherwise. An earlier return of the caller would be in vain.
func (r *Relay) refuseIfSoftwareGone(j *job) *Refusal {
	software := j.software.Load()
	if software == nil || r.Registry.CountReadyWithSoftware(j.service, *software, j.regions, j.excluded) > 0 {
		return nil
	}
	f := r.refuse(j, ReasonSoftwareGone)
	if !f.MayHaveRun {
		f.RetryAfter = j.timeLeft()
	}
	return f
}
