package relay

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"kingcupplank.example/kingcup/backends"
	"kingcupplank.example/kingcup/routing"
)

const (
	// maxStandbyMemory is the part of a server's memory up to which standby copies are sent to
	// it. Beyond that, they would take memory that runs and migrations need.
	maxStandbyMemory = 0.5
	// maxServiceStandbyMemory is the part of the memory of all engines of a service up to which
	// standby copies are made. Where engines are scarce, newly started ones are below
	// maxStandbyMemory, and copies there would take the memory that queued callers wait for.
	maxServiceStandbyMemory = 0.5
	// standbyPause is how long no request may have been queued for memory here before standby
	// copies are made again. Bursts come in series, and a copy takes memory for as long as its
	// run lasts, 8 s on average.
	standbyPause = 15 * time.Second
	// minStandbyRunTime is the expected generation time from which on a run gets a standby copy.
	// Sending its KV cache takes 0.2 s on two links, and the cost of a crash grows with the time
	// spent on the response.
	minStandbyRunTime = time.Second
)

// reserveStandby reserves memory for a standby copy that a server receives as the run grows. It
// returns nil if there is none to spare, the generation is not worth a copy, or copies are evictable: an
// engine keeps a copy of this kind until its run ends, also when it is told to free it.
//
// An engine that crashes without warning loses its runs, and their callers lose responses that
// may not run again. A run with a standby copy continues there within about 30 ms.
func (r *Relay) reserveStandby(j *job, s backends.Server) *backends.Reservation {
	if r.cfg.Load().DomainFailures > 0 || !j.canHaveStandby() {
		return nil
	}
	remaining := time.Duration(j.expectedEvents(0)) * r.currentMeanPause()
	if remaining < minStandbyRunTime || r.engineQueue(j.service).saturatedSince(r.Now()-standbyPause) {
		return nil
	}
	q := r.standbyQuery(j, s, 0)
	q.MaxMemoryUse, q.MaxServiceMemoryUse = maxStandbyMemory, maxServiceStandbyMemory
	q.SameDomainOnly = true
	reservation := r.Registry.Acquire(q, r.Now())
	event := StandbyMade
	if reservation == nil {
		event = StandbyRefused
	}
	r.Observer.StandbyCopy(event)
	return reservation
}

// canHaveStandby reports whether a request's stream would be lost with its engine, and a second
// engine can keep a copy of it. A response that is not a stream cannot be resumed.
func (j *job) canHaveStandby() bool {
	return j.route.Kind == routing.Stream && j.engine != nil && j.engine.SupportsStandby && j.Generation != nil && !j.route.Resumable
}

// standbyQuery returns the query for a server for a standby copy of a run at s that has had
// eventCount events.
func (r *Relay) standbyQuery(j *job, s backends.Server, eventCount int) backends.Query {
	q := r.serverQuery(j)
	q.ExpectedTokens, q.Tried = j.expectedMemory(eventCount), append([]string{s.ID}, j.excluded...)
	q.ForCopy, q.CopySpeed = true, j.engine.CopySpeed()
	q.MaxPause, q.PauseStretch = r.pauseBound(j, eventCount)
	q.PreferredDomain, q.RequiredSoftware = s.FailureDomain, &s.SoftwareVersion
	return q
}

// sendWithStandby makes one attempt, with a standby copy if there is memory for one.
func (r *Relay) sendWithStandby(ctx context.Context, j *job, reservation *backends.Reservation, a *Attempt) (*placedResponse, error) {
	standby := r.reserveStandby(j, reservation.Server)
	if standby != nil {
		a.StandbyAddress = standby.Server.Address
	}
	placed, err := r.send(ctx, j, reservation, a)
	if err != nil {
		if standby != nil {
			r.releaseStandby(standby)
		}
		return nil, err
	}
	if standby != nil {
		// The prompt's KV cache is being sent by the time that the response begins.
		standby.FinishCopy()
		placed.standby = standby
	}
	return placed, nil
}

// setStandby records the standby copy with which a run was started.
func (u *run) setStandby(placed *placedResponse) {
	if placed.standby == nil {
		return
	}
	c := reservedCopy{KVCopy: KVCopy{Source: placed.standby.Server.Address, Handle: u.job.ID}, reservation: placed.standby, isStandby: true}
	u.mu.Lock()
	u.standby = &c
	u.mu.Unlock()
}

// releaseStandby releases the reservation of a standby copy that the engine frees by itself.
func (r *Relay) releaseStandby(reservation *backends.Reservation) {
	reservation.Release(backends.ResultInconclusive, r.Now())
}

// copyFailureResult is the result for a server that did not resume a run from a copy. A
// NotRunError means that the server has no such copy, for example because it had no memory for
// it; that is not a failure of the server.
func copyFailureResult(err error) backends.Result {
	var notRun *NotRunError
	if errors.As(err, &notRun) || errors.Is(err, errRetryBudget) {
		return backends.ResultInconclusive
	}
	return backends.ResultFailed
}
