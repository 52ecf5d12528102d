package relay

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"kingcupplank.example/kingcup/backends"
	"kingcupplank.example/kingcup/flow"
	"kingcupplank.example/kingcup/internal/wait"
)

const (
	// fullRetryInterval is the wait before servers that refused are asked again. A batch of a few
	// dozen generations of seconds each frees a slot every 100 to 200 ms.
	fullRetryInterval = 150 * time.Millisecond
	// pacedRetryInterval is the wait before servers with a bounded rate are asked again: they
	// take a request every few ms, and the gateways take turns.
	pacedRetryInterval = 10 * time.Millisecond
	// maxWaitShare is the part of a route's target latency that a request may wait for a server
	// with capacity; the rest is needed to run it in time.
	maxWaitShare = 0.5
	// defaultMaxWait applies where a route has no target latency.
	defaultMaxWait = 500 * time.Millisecond
	// retryAfterBase and retryAfterJitter give the retry time of refused callers: running
	// generations need time to end, and callers must not all retry at once.
	retryAfterBase   = 400 * time.Millisecond
	retryAfterJitter = 800 * time.Millisecond
	// cordonedRetryAfter is the retry time if all servers are cordoned: operators evacuate a
	// failure domain for seconds at least.
	cordonedRetryAfter = 2 * time.Second
	// minTimeLeft is the remaining time below which a request is not sent to another server: no
	// response could arrive in it.
	minTimeLeft = 20 * time.Millisecond
)

// placedResponse is a server's response with the reservation that counts the request there.
type placedResponse struct {
	reservation *backends.Reservation
	response    *Response
	// cancel cancels the response.
	cancel context.CancelFunc
	// hadEvent is set once an event of the response has been forwarded.
	hadEvent bool
	// standby is the reservation of the run's standby copy, nil without one.
	standby *backends.Reservation
}

// place asks servers until one responds. After a server that certainly did not run the request,
// another one is asked; after an unknown outcome, only if the request may run again.
func (r *Relay) place(ctx context.Context, j *job, lastEventID string) (*placedResponse, *Refusal) {
	if j.attempts == 0 {
		r.recordFirstAttempt(j.service)
		r.sharedLimit(j).arrived(r.Now())
	}
	for {
		reservation, refusal := r.acquire(ctx, j)
		if refusal != nil {
			return nil, refusal
		}
		if v, quarantined := r.mustNotSend(j); quarantined {
			reservation.Release(backends.ResultInconclusive, r.Now())
			return nil, j.quarantineRefusal(v)
		}
		placed, used, err := r.sendWithRace(ctx, j, reservation, &Attempt{LastEventID: lastEventID})
		if err == nil {
			return placed, nil
		}
		if errors.Is(err, errRetryBudget) {
			reservation.Release(backends.ResultInconclusive, r.Now())
			j.log.WithFields(r.retryBudgetFields(j.service)).WithField("sent", j.attempts).Warn("retry budget is used up")
			return nil, r.refuse(j, ReasonNoCapacity)
		}
		if errors.Is(err, errMayHaveRun) {
			reservation.Release(backends.ResultInconclusive, r.Now())
			return nil, r.refuse(j, ReasonServerLost)
		}
		if refusal := r.handleFailedAttempt(ctx, j, used, err); refusal != nil {
			return nil, refusal
		}
	}
}

// handleFailedAttempt records a failed attempt. It returns nil if another server may be asked.
func (r *Relay) handleFailedAttempt(ctx context.Context, j *job, reservation *backends.Reservation, err error) *Refusal {
	id := reservation.Server.ID
	j.excluded = append(j.excluded, id)
	var notRun *NotRunError
	if errors.As(err, &notRun) {
		r.Observer.AttemptFailed(j.service, string(notRun.Reason))
		reservation.Release(resultForReason(notRun.Reason), r.Now())
		if notRun.Reason == NotRunDown {
			// Each peer would find out only by attempts of its own.
			r.Peers.Notify()
		}
		if notRun.Reason == NotRunReplaced {
			r.Registry.MarkReplaced(reservation.Server, r.Now())
		}
		if ctx.Err() != nil || j.timeLeft() < minTimeLeft {
			return r.refuse(j, ReasonDeadline)
		}
		return nil
	}
	if ctx.Err() != nil {
		reservation.Release(backends.ResultInconclusive, r.Now())
		return r.refuse(j, ReasonDeadline)
	}
	r.Observer.AttemptFailed(j.service, "lost")
	reservation.Release(backends.ResultLost, r.Now())
	r.Peers.Notify()
	r.handleBrokenResponse(ctx, j, reservation.Server)
	if !j.canRetry() {
		return r.refuse(j, ReasonServerLost)
	}
	return nil
}

func resultForReason(reason NotRunReason) backends.Result {
	switch reason {
	case NotRunFull:
		return backends.ResultFull
	case NotRunUnreachable:
		return backends.ResultUnreachable
	case NotRunDown:
		return backends.ResultDown
	}
	return backends.ResultInconclusive
}

// canRetry reports whether the request may run once more.
func (j *job) canRetry() bool {
	return j.route.Repeatable() && j.Sends.Runs() < j.route.MaxServers && j.timeLeft() > minTimeLeft
}

// acquire reserves a server, waiting for a limited time for one with capacity.
func (r *Relay) acquire(ctx context.Context, j *job) (*backends.Reservation, *Refusal) {
	if j.engine != nil && j.Generation != nil {
		if j.software.Load() != nil {
			return r.acquireSameSoftware(ctx, j)
		}
		return r.acquireEngine(ctx, j)
	}
	return r.acquirePlain(ctx, j)
}

// acquirePlain reserves a server for a request that does not need an engine.
func (r *Relay) acquirePlain(ctx context.Context, j *job) (*backends.Reservation, *Refusal) {
	pq, limit := r.pacedQueue(j.service), r.sharedLimit(j)
	var w *flow.Waiter
	defer func() { pq.remove(w, r.Now()) }()
	for {
		r.updateSharedLimit(limit)
		if r.canAskServers(j, pq, w) && r.takeTurn(j, limit, pq, w) {
			q := r.serverQuery(j)
			q.ExpectedTokens, q.PromptTokens, q.Spill = j.expectedMemory(0), j.promptTokens(), true
			q.OwnLoadOnly = limit.binds()
			if reservation := r.Registry.Acquire(q, r.Now()); reservation != nil {
				limit.admitted()
				return reservation, nil
			}
			limit.giveBack()
		}
		if refusal := r.refuseIfCordoned(j); refusal != nil {
			return nil, refusal
		}
		if refusal := r.refuseIfSoftwareGone(j); refusal != nil {
			return nil, refusal
		}
		if refusal := r.refuseIfStopping(j); refusal != nil {
			return nil, refusal
		}
		interval, waitUntil := fullRetryInterval, j.arrived+j.maxWait()
		if servers := r.availability(j); servers.HasBoundedRate || servers.HasBackingOff {
			if j.hasResponse {
				return nil, r.refuse(j, ReasonNoCapacity)
			}
			if w == nil {
				w = r.pacedWaiter(j)
			}
			if refusal := r.joinPacedQueue(j, pq, w, servers); refusal != nil {
				return nil, refusal
			}
			interval, waitUntil = pacedRetryInterval, w.DispatchDeadline
		}
		if limit.binds() {
			if j.hasResponse {
				return nil, r.refuse(j, ReasonNoCapacity)
			}
			if w == nil {
				w = r.limitedWaiter(j, limit)
			}
			if refusal := r.joinLimitedQueue(j, pq, w, limit); refusal != nil {
				return nil, refusal
			}
			interval, waitUntil = pacedRetryInterval, w.DispatchDeadline
		}
		if r.Now()+interval > waitUntil || j.timeLeft() < interval {
			return nil, r.refuseUnplaced(j)
		}
		if !wait.For(ctx, interval) {
			return nil, r.refuse(j, ReasonDeadline)
		}
		j.resetExcluded()
	}
}

// refuseUnplaced refuses a request that found no server in its maximum wait.
func (r *Relay) refuseUnplaced(j *job) *Refusal {
	if ready, _ := r.Registry.CountReadyWithin(j.service, j.regions); ready == 0 {
		return r.refuseNoServer(j)
	}
	if limit := r.sharedLimit(j); limit.binds() {
		return r.refuseLimited(j, limit)
	}
	return r.refuse(j, ReasonNoCapacity)
}

// availability returns when, and at what rate, servers accept requests like this one.
func (r *Relay) availability(j *job) backends.Availability {
	return r.Registry.Availability(j.service, j.regions, r.Peers.SharedClock(), r.Now())
}

// maxPacedWait is how long after its arrival a request may wait in a pacedQueue: half of its total
// time, as the other half may be needed to run it.
func (r *Relay) maxPacedWait(j *job) time.Duration {
	return (r.Now() - j.arrived + j.timeLeft()) / 2
}

// serverQuery returns the query for a server.
func (r *Relay) serverQuery(j *job) backends.Query {
	return backends.Query{Service: j.service, Tried: j.excluded, Regions: j.regions, RequiredSoftware: j.software.Load(), SharedTime: r.Peers.SharedClock(), Draw: rand.Uint64()}
}

// refuseIfCordoned returns a refusal if all servers of a request are in cordoned failure domains,
// where waiting does not help, and nil otherwise.
func (r *Relay) refuseIfCordoned(j *job) *Refusal {
	ready, cordoned := r.Registry.CountReadyWithin(j.service, j.regions)
	if ready > 0 || cordoned == 0 {
		return nil
	}
	f := r.refuse(j, ReasonCordoned)
	if !f.MayHaveRun {
		f.RetryAfter = cordonedRetryAfter + time.Duration(rand.Float64()*float64(retryAfterJitter))
	}
	return f
}

func (j *job) maxWait() time.Duration {
	if j.route.TargetLatency <= 0 {
		return defaultMaxWait
	}
	return time.Duration(maxWaitShare * float64(j.route.TargetLatency))
}

// refuse returns the refusal of a request that may have been sent before.
func (r *Relay) refuse(j *job, reason Reason) *Refusal {
	f := &Refusal{Reason: reason, MayHaveRun: j.Sends.MayHaveRun()}
	if !f.MayHaveRun {
		f.RetryAfter = retryAfterBase + time.Duration(rand.Float64()*float64(retryAfterJitter))
	}
	return f
}

func (j *job) promptTokens() int {
	if j.Generation == nil {
		return 0
	}
	return j.Generation.PromptTokens
}
