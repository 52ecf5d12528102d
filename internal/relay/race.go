package relay

import (
	"context"
	"time"

	"kingcupplank.example/kingcup/backends"
	"kingcupplank.example/kingcup/routing"
)

// raceAfter is the part of its target after which an idempotent request that no server has
// begun to answer goes to a second one as well.
const raceAfter = 0.5

// mayRace reports whether a request may run at two servers at the same time.
func (j *job) mayRace() bool {
	return j.route.Kind == routing.Idempotent && j.engine == nil && j.route.TargetLatency > 0 && j.ran+1 < j.route.MaxServers
}

// sendRaced makes one attempt. One that may run again goes to a second server as well if the
// first does not begin to answer in time; the first answer counts. It returns the lease of
// the attempt that the answer or the error is of.
//
// A server that hangs says nothing: its requests would end with their callers' time, until
// enough are lost for it to be left. Waiting for its end and repeating then comes too late.
func (r *Relay) sendRaced(ctx context.Context, j *job, lease *backends.Reservation, a *Attempt) (*offer, *backends.Reservation, error) {
	if !j.mayRace() {
		o, err := r.sendCovered(ctx, j, lease, a)
		return o, lease, err
	}
	first, err := r.startAttempt(ctx, j, lease, a)
	if err != nil {
		return nil, lease, err
	}
	replies := make(chan reply, 2)
	go func() { replies <- first.run() }()
	t := time.NewTimer(time.Duration(raceAfter * float64(j.route.TargetLatency)))
	defer t.Stop()
	select {
	case p := <-replies:
		return r.finishRaced(j, p)
	case <-t.C:
	}
	second := r.startSecond(ctx, j, first)
	if second == nil {
		return r.finishRaced(j, <-replies)
	}
	go func() { replies <- second.run() }()
	p := <-replies
	other := first
	if p.attempt == first {
		other = second
	}
	if p.err == nil {
		r.abandon(j, other, replies)
		return r.finishRaced(j, p)
	}
	// The one that failed is judged, the other may answer yet.
	_, err = r.finishAttempt(j, p)
	r.passOver(ctx, j, p.lease, err)
	return r.finishRaced(j, <-replies)
}

func (r *Relay) finishRaced(j *job, p reply) (*offer, *backends.Reservation, error) {
	o, err := r.finishAttempt(j, p)
	return o, p.lease, err
}

// startSecond counts the second attempt of a race, nil if there is no other server, or no
// repeat left.
func (r *Relay) startSecond(ctx context.Context, j *job, first *attempt) *attempt {
	q := r.query(j)
	q.Tried, q.Spill = append([]string{first.Server.ID}, j.tried...), true
	lease := r.Registry.Acquire(q, r.Now())
	if lease == nil {
		return nil
	}
	if _, held := r.convicted(j); held || !r.repeat(j.service) {
		lease.Release(backends.ResultInconclusive, r.Now())
		return nil
	}
	second, err := r.startAttempt(ctx, j, lease, &Attempt{})
	if err != nil {
		lease.Release(backends.ResultInconclusive, r.Now())
		return nil
	}
	j.log.WithField("server", first.Server.ID).WithField("to", lease.Server.ID).Info("silent request goes to a second server as well")
	return second
}

// abandon ends the attempt that another has overtaken. Its server may have run the request.
func (r *Relay) abandon(j *job, slow *attempt, replies <-chan reply) {
	j.ran++
	j.tried = append(j.tried, slow.Server.ID)
	slow.cut()
	result := backends.ResultInconclusive
	if r.Now()-slow.SentAt >= j.route.TargetLatency {
		result = backends.ResultLost
	}
	slow.lease.Release(result, r.Now())
	go func() {
		if p := <-replies; p.err == nil {
			p.answer.Body.Close()
		}
	}()
}
