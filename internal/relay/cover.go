package relay

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"kingcupplank.example/kingcup/backends"
)

const (
	// coverRoom is the part of a server's memory up to which standing copies are sent to
	// it. Beyond, they take the room that runs and moves need.
	coverRoom = 0.5
	// coverOfAll is the part of the memory of all engines of a service up to which
	// standing copies are made. Where engines are scarce, those that have just joined are
	// under coverRoom, and copies would take the room that callers wait for.
	coverOfAll = 0.5
	// coverAfter is how long no request may have waited for room here before standing
	// copies are made again: bursts come in series, and a copy keeps its room for as long
	// as its run lasts, 8 s on average.
	coverAfter = 15 * time.Second
	// coverFrom is the expected time of generating from which a run gets a standing copy.
	// Its memory takes 0.2 s of two links, and what a crash costs grows with the time
	// that was spent on the answer.
	coverFrom = time.Second
)

// cover takes room for a standing copy of a generation that goes to a server, nil if
// there is none to spare or the generation is not worth one.
//
// An engine that dies without a notice takes its runs with it, and their callers lose
// answers that may not run again. A run with a standing copy goes on there within some
// 30 ms.
func (r *Relay) cover(j *job, s backends.Server) *backends.Reservation {
	e := j.engine
	if e == nil || !e.SupportsStandby || j.Generation == nil || j.route.Resumable {
		return nil
	}
	if time.Duration(j.events(0))*r.usualPause() < coverFrom || r.lane(j.service).crowdedSince(r.Now()-coverAfter) {
		return nil
	}
	q := r.query(j)
	q.ExpectedTokens, q.Tried = j.memory(0), append([]string{s.ID}, j.tried...)
	q.MaxMemoryUse, q.MaxServiceMemoryUse = coverRoom, coverOfAll
	q.ForCopy, q.CopySpeed = true, e.CopySpeed()
	q.PreferredDomain, q.SameDomainOnly = s.FailureDomain, true
	return r.Registry.Acquire(q, r.Now())
}

// sendCovered makes one attempt, with a standing copy if there is room for one.
func (r *Relay) sendCovered(ctx context.Context, j *job, lease *backends.Reservation, a *Attempt) (*offer, error) {
	cover := r.cover(j, lease.Server)
	if cover != nil {
		a.StandbyAddress = cover.Server.Address
	}
	o, err := r.send(ctx, j, lease, a)
	if err != nil {
		if cover != nil {
			cover.Release(backends.ResultInconclusive, r.Now())
		}
		return nil, err
	}
	if cover != nil {
		// The prompt's memory is on its way by the time that the answer begins.
		cover.FinishCopy()
		o.cover = cover
	}
	return o, nil
}

// keepCover notes the standing copy that a run was begun with.
func (u *run) keepCover(o *offer) {
	if o.cover == nil {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.cover = &copied{KVCopy: KVCopy{Source: o.cover.Server.Address, Handle: u.job.ID}, lease: o.cover}
}

// uncover gives the room of the standing copy back.
func (o *offer) uncover(now time.Duration) {
	if o.cover != nil {
		o.cover.Release(backends.ResultInconclusive, now)
		o.cover = nil
	}
}

// missed is what an attempt to go on from a copy says of its server. A refusal says
// that the server has no such copy, as where it had no room for one; that is no failure.
func missed(err error) backends.Result {
	var refused *NotRunError
	if errors.As(err, &refused) {
		return backends.ResultInconclusive
	}
	return backends.ResultFailed
}
