package relay

import (
	"context"
	"time"

	"kingcupplank.example/kingcup/backends"
	"kingcupplank.example/kingcup/retry"
	"kingcupplank.example/kingcup/routing"
)

// raceDelayShare is the part of its target latency after which an idempotent request without a
// response is sent to a second server as well.
const raceDelayShare = 0.5

// canRace reports whether a request may run at two servers at the same time.
func (j *job) canRace() bool {
	return j.route.Kind == routing.Idempotent && j.engine == nil && j.route.TargetLatency > 0 && j.Sends.Runs()+1 < j.route.MaxServers
}

// sendWithRace makes one attempt. A request that may run more than once is sent to a second
// server as well if the first does not begin to respond in time; the first response is used. It
// returns the reservation of the attempt that the response or the error belongs to.
//
// A server that hangs sends nothing. Without a race, its requests would fail at their callers'
// deadlines until enough are lost for the server to be avoided. A retry that starts only when the
// first attempt has failed would come too late.
func (r *Relay) sendWithRace(ctx context.Context, j *job, reservation *backends.Reservation, a *Attempt) (*placedResponse, *backends.Reservation, error) {
	if !j.canRace() {
		placed, err := r.sendWithStandby(ctx, j, reservation, a)
		return placed, reservation, err
	}
	first, err := r.startAttempt(ctx, j, reservation, a)
	if err != nil {
		return nil, reservation, err
	}
	results := make(chan attemptResult, 2)
	go func() { results <- first.send() }()
	t := time.NewTimer(time.Duration(raceDelayShare * float64(j.route.TargetLatency)))
	defer t.Stop()
	select {
	case result := <-results:
		return r.finishRace(j, result)
	case <-t.C:
	}
	second := r.startSecondAttempt(ctx, j, first)
	if second == nil {
		return r.finishRace(j, <-results)
	}
	go func() { results <- second.send() }()
	result := <-results
	other := first
	if result.attempt == first {
		other = second
	}
	if result.err == nil {
		r.abandon(j, other, results)
		return r.finishRace(j, result)
	}
	// The failed attempt is recorded; the other one may still get a response.
	_, err = r.finishAttempt(j, result)
	r.handleFailedAttempt(ctx, j, result.reservation, err)
	return r.finishRace(j, <-results)
}

func (r *Relay) finishRace(j *job, result attemptResult) (*placedResponse, *backends.Reservation, error) {
	placed, err := r.finishAttempt(j, result)
	return placed, result.reservation, err
}

// startSecondAttempt starts the second attempt of a race. It returns nil if there is no other
// server or no retry left.
func (r *Relay) startSecondAttempt(ctx context.Context, j *job, first *attempt) *attempt {
	if r.Link.IsCongested() {
		// The response is late on this VM's link, where a second one would wait too.
		return nil
	}
	q := r.serverQuery(j)
	q.Tried, q.Spill = append([]string{first.Server.ID}, j.excluded...), true
	limit := r.sharedLimit(j)
	if !limit.tryTake(r.Now()) {
		return nil
	}
	reservation := r.Registry.Acquire(q, r.Now())
	if reservation == nil {
		limit.giveBack()
		return nil
	}
	limit.admitted()
	if _, quarantined := r.quarantined(j); quarantined {
		reservation.Release(backends.ResultInconclusive, r.Now())
		return nil
	}
	second, err := r.startAttempt(ctx, j, reservation, &Attempt{Retry: retry.Race})
	if err != nil {
		reservation.Release(backends.ResultInconclusive, r.Now())
		return nil
	}
	j.log.WithField("server", first.Server.ID).WithField("to", reservation.Server.ID).Info("no response yet, request also sent to a second server")
	return second
}

// abandon cancels the attempt that lost a race. Its server may run the request until the attempt has ended.
func (r *Relay) abandon(j *job, loser *attempt, results <-chan attemptResult) {
	j.excluded = append(j.excluded, loser.Server.ID)
	loser.cancel()
	result := backends.ResultInconclusive
	if r.Now()-loser.SentAt >= j.route.TargetLatency && !r.Link.IsCongested() {
		result = backends.ResultLost
	}
	loser.reservation.Release(result, r.Now())
	go func() {
		if result := <-results; result.err == nil {
			result.response.Body.Close()
		}
	}()
}
