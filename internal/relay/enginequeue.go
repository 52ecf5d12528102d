package relay

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"kingcupplank.example/kingcup/admission"
	"kingcupplank.example/kingcup/backends"
	"kingcupplank.example/kingcup/flow"
	"kingcupplank.example/kingcup/prefill"
	"kingcupplank.example/kingcup/routing"
)

const (
	// maxMemoryFraction is the part of an engine's memory that its requests may take, including
	// their growth in the next seconds. The rest covers requests of other gateways that are not
	// known yet.
	maxMemoryFraction = 0.97
	// initialTokenRate is the rate of prompt tokens per second sent to engines that is assumed
	// until it has been observed.
	initialTokenRate = 20000
	// queuePollInterval is how often the first request of a queue checks for capacity: loads also
	// change through other gateways.
	queuePollInterval = 20 * time.Millisecond
	// outputMargin is the factor by which a response may exceed its estimated length and still
	// finish in time; estimates are exceeded half of the time.
	outputMargin = 1.5
	// eventTimeoutShare is the part of the route's event timeout within which a request must have
	// reached an engine; the rest covers a slow first token.
	eventTimeoutShare = 0.9
	// minRetryShare and maxRetryShare bound the random retry time of callers refused because of
	// saturation, as parts of the time that callers are willing to wait (see callerWaitDivisor).
	// Bursts last seconds, and callers that all retried at once would cause the next one.
	minRetryShare, maxRetryShare = 0.4, 1.0
)

// engineQueue is the queue in front of the engines of a service.
type engineQueue struct {
	mu    sync.Mutex
	queue *admission.Queue
	// wakeups notify a waiter that it is the first.
	wakeups map[*admission.Waiter]chan struct{}
	// unplaced counts the queued requests that have found no server with capacity; lastUnplaced
	// is when it last changed, 0 if never.
	unplaced     int
	lastUnplaced time.Duration
}

// saturatedSince reports whether a request was queued for lack of capacity after a time.
func (eq *engineQueue) saturatedSince(t time.Duration) bool {
	eq.mu.Lock()
	defer eq.mu.Unlock()
	return eq.unplaced > 0 || eq.lastUnplaced > 0 && eq.lastUnplaced > t
}

func (r *Relay) engineQueue(service string) *engineQueue {
	r.mu.Lock()
	defer r.mu.Unlock()
	eq := r.engineQueues[service]
	if eq == nil {
		eq = &engineQueue{queue: admission.NewQueue(initialTokenRate), wakeups: make(map[*admission.Waiter]chan struct{})}
		r.engineQueues[service] = eq
	}
	return eq
}

// add queues a request. It returns nil if the request cannot be served in time. A request that has
// been sent before was accepted then, and is refused only as a queued one is.
func (eq *engineQueue) add(w *admission.Waiter, j *job, d admission.Demand, v admission.View, now time.Duration) (wakeup chan struct{}) {
	eq.mu.Lock()
	defer eq.mu.Unlock()
	eq.queue.Arrive(w, j.team, d, v, now)
	refused := eq.queue.ShouldRefuse(w, v, now)
	if j.attempts > 0 {
		refused = eq.queue.ShouldGiveUp(w, v, now)
	}
	if refused {
		return nil
	}
	wakeup = make(chan struct{}, 1)
	eq.wakeups[w] = wakeup
	eq.queue.Add(w)
	return wakeup
}

// shouldGiveUp reports whether a queued request can no longer be served in time.
func (r *Relay) shouldGiveUp(j *job, eq *engineQueue, w *admission.Waiter) bool {
	v := admission.View{Memory: r.Registry.ReadyMemory(j.service, j.regions)}
	if w.HaveEnginesGone(v.Memory) {
		v = r.engineView(j)
	}
	eq.mu.Lock()
	defer eq.mu.Unlock()
	return eq.queue.ShouldGiveUp(w, v, r.Now())
}

// remove removes a request and wakes the next one.
func (eq *engineQueue) remove(w *admission.Waiter, sent bool, now time.Duration) {
	eq.mu.Lock()
	defer eq.mu.Unlock()
	if _, queued := eq.wakeups[w]; !queued {
		return
	}
	delete(eq.wakeups, w)
	eq.queue.Remove(w, sent, now)
	eq.wakeHead(now)
}

// wakeHead notifies the first request; mu must be locked.
func (eq *engineQueue) wakeHead(now time.Duration) {
	next := eq.queue.Next(now)
	if next == nil {
		return
	}
	select {
	case eq.wakeups[next] <- struct{}{}:
	default:
	}
}

// isHead reports whether a request is the first, and wakes the first one otherwise: the order
// changes as time passes.
func (eq *engineQueue) isHead(w *admission.Waiter, now time.Duration) bool {
	eq.mu.Lock()
	defer eq.mu.Unlock()
	if eq.queue.Next(now) == w {
		return true
	}
	eq.wakeHead(now)
	return false
}

// reportQueue adds change to the number of unplaced requests and reports the queue to the peers. It
// counts only requests that have found no server with capacity: a request that is placed at once does
// not compete.
func (r *Relay) reportQueue(service string, eq *engineQueue, change int) {
	eq.mu.Lock()
	defer eq.mu.Unlock()
	eq.unplaced += change
	eq.lastUnplaced = r.Now()
	c := eq.queue.Contender(r.Now())
	c.Waiting = eq.unplaced
	r.Peers.ReportQueue(service, c)
}

// maxReportedTeams is the number of teams whose usage is reported to peers. Surges that matter
// come from a few teams, and a team that is not reported counts as small.
const maxReportedTeams = 8

// recordStart charges a generation that was sent to an engine to its team's share, and reports the
// usage of the teams to the peers.
func (r *Relay) recordStart(j *job, eq *engineQueue, w *admission.Waiter, d admission.Demand) {
	now := r.Now()
	eq.mu.Lock()
	eq.queue.Start(w, j.team, d, now)
	all, light := eq.queue.Top(maxReportedTeams, now)
	eq.mu.Unlock()
	r.Peers.ReportUsage(j.service, all)
	r.Peers.ReportLightUsage(j.service, light)
}

// engineDemand returns what a generation needs. A caller waits no longer than its timeout, whatever
// length it states.
func (r *Relay) engineDemand(j *job) admission.Demand {
	duration := r.promptReadTime(j) + time.Duration(j.expectedEvents(0))*r.currentMeanPause()
	return admission.Demand{Tokens: j.expectedMemory(0), Time: min(duration, j.timeLeft()), Target: j.route.TargetLatency}
}

// engineView returns what is known of the engines of a service and of its queues at the peers.
func (r *Relay) engineView(j *job) admission.View {
	return admission.View{
		Memory: r.Registry.ReadyMemory(j.service, j.regions), Queues: r.Peers.Queues(j.service),
		Usage: r.Peers.Usage(j.service), LightUsage: r.Peers.LightUsage(j.service),
	}
}

// engineWaiter returns the queue entry of a generation.
func (r *Relay) engineWaiter(j *job) *admission.Waiter {
	readTime := r.promptReadTime(j)
	dispatchDeadline := j.arrived + j.timeLeft() - r.expectedRunTime(j)
	if timeout := j.route.EventTimeout; timeout > 0 {
		dispatchDeadline = min(dispatchDeadline, j.arrived+time.Duration(eventTimeoutShare*float64(timeout))-readTime)
	}
	return &admission.Waiter{Waiter: flow.Waiter{
		Priority: j.priority, PromptTokens: j.promptTokens(), Arrived: j.arrived,
		OnTimeDeadline:   j.arrived + j.route.TargetLatency - readTime,
		DispatchDeadline: max(dispatchDeadline, j.arrived+j.maxWait()),
	}}
}

// acquireEngine waits for an engine with capacity and reserves it.
func (r *Relay) acquireEngine(ctx context.Context, j *job) (*backends.Reservation, *Refusal) {
	eq := r.engineQueue(j.service)
	w, demand := r.engineWaiter(j), r.engineDemand(j)
	wakeup := eq.add(w, j, demand, r.engineView(j), r.Now())
	if wakeup == nil {
		r.recordQueueDecision(j, w, QueueRefusedAtOnce)
		return nil, r.refuseSaturated(j, eq, w)
	}
	reserved, reported := false, 0
	defer func() {
		eq.remove(w, reserved, r.Now())
		if reported > 0 {
			r.reportQueue(j.service, eq, -reported)
		}
		r.recordQueueDecision(j, w, queueResult(reserved))
	}()
	if refusal := r.refuseIfBackingOff(j, w); refusal != nil {
		return nil, refusal
	}
	entered := r.Now()
	for lastReset := entered; ; {
		if eq.isHead(w, r.Now()) {
			if reservation := r.reserveEngine(j, eq, w, r.Now()-entered > spillAfter); reservation != nil {
				r.recordStart(j, eq, w, demand)
				r.Peers.NotifyLoads()
				reserved = true
				return reservation, nil
			}
			if refusal := r.refuseIfBackingOff(j, w); refusal != nil {
				return nil, refusal
			}
			if r.Now()-lastReset > fullRetryInterval {
				j.resetExcluded()
				lastReset = r.Now()
			}
		}
		if refusal := r.refuseIfCordoned(j); refusal != nil {
			return nil, refusal
		}
		if refusal := r.refuseIfStopping(j); refusal != nil {
			return nil, refusal
		}
		if ready, _ := r.Registry.CountReadyWithin(j.service, j.regions); ready == 0 && r.Now()-j.arrived > j.maxWait() {
			return nil, r.refuse(j, ReasonNoServer)
		}
		if r.shouldGiveUp(j, eq, w) {
			return nil, r.refuseSaturated(j, eq, w)
		}
		// Reported each time, as the rank of the first request changes over time.
		r.reportQueue(j.service, eq, 1-reported)
		reported = 1
		if !waitForWakeup(ctx, wakeup) {
			return nil, r.refuse(j, ReasonDeadline)
		}
	}
}

// refuseIfBackingOff returns a refusal if all engines back off for longer than a request can
// wait, nil otherwise.
func (r *Relay) refuseIfBackingOff(j *job, w *admission.Waiter) *Refusal {
	servers := r.availability(j)
	if !servers.MustWait() || servers.HasBoundedRate || r.Now()+servers.BackoffWait <= w.DispatchDeadline {
		return nil
	}
	return r.refuseLongWait(j, servers, servers.BackoffWait)
}

// spillAfter is how long a request waits for an engine of its own gateway's cell before it may
// use another's. An engine of the own cell usually gets capacity within that time. An engine of
// another cell may be full without this gateway knowing, and a request that finds another prompt
// there waits twice as long.
const spillAfter = 150 * time.Millisecond

// reserveEngine reserves an engine for the first request of a queue. It returns nil if none has
// capacity or another gateway has the turn.
func (r *Relay) reserveEngine(j *job, eq *engineQueue, w *admission.Waiter, spill bool) *backends.Reservation {
	rank, overTime := eq.rank(w, r.Now())
	q := r.engineQuery(j, rank)
	q.Spill = spill
	if overTime {
		q.Horizon, q.TokensPerEvent, q.MeanPause = r.expectedRunTime(j), j.tokensPerEvent(), r.currentMeanPause()
	}
	reservation := r.Registry.Acquire(q, r.Now())
	if reservation != nil {
		r.evictStandbys(reservation)
	}
	return reservation
}

// rank returns the rank of a request, and whether an engine's memory is checked over time for it.
func (eq *engineQueue) rank(w *admission.Waiter, now time.Duration) (rank int, overTime bool) {
	eq.mu.Lock()
	defer eq.mu.Unlock()
	return eq.queue.Rank(w, now), eq.queue.FitsOverTime(w)
}

// expectedRunTime returns the time that a generation takes, with a margin for a longer response.
func (r *Relay) expectedRunTime(j *job) time.Duration {
	return r.promptReadTime(j) + time.Duration(outputMargin*float64(j.expectedEvents(0))*float64(r.currentMeanPause()))
}

// engineQuery returns the query for an engine, for a request of a rank.
func (r *Relay) engineQuery(j *job, rank int) backends.Query {
	speed := r.currentPromptSpeed()
	q := r.serverQuery(j)
	q.ExpectedTokens, q.PromptTokens, q.PromptSpeed = j.expectedMemory(0), j.promptTokens(), speed
	q.HeldTokens = j.promptTokens()
	q.MaxMemoryUse, q.MaxPromptPending = maxMemoryFraction, int(speed*maxPromptWait.Seconds())
	q.MaxPause, q.PauseStretch = r.pauseBound(j, 0)
	q.Lasting = j.route.Kind == routing.Stream && !j.route.Resumable && j.expectedEvents(0) >= minBoundEvents
	if q.Kind = r.promptKind(j); q.Kind == prefill.KindLong {
		q.CopySpeed = j.engine.CopySpeed()
	}
	q.Turns = r.Peers.Turns(j.service, rank)
	return q
}

// refuseSaturated refuses a request because its service is saturated.
func (r *Relay) refuseSaturated(j *job, eq *engineQueue, w *admission.Waiter) *Refusal {
	f := r.refuse(j, ReasonNoCapacity)
	if f.MayHaveRun {
		return f
	}
	honored := j.timeLeft() / callerWaitDivisor
	if retryAfter, ok := eq.retryAfter(w, honored); ok {
		f.RetryAfter = retryAfter
		return f
	}
	share := minRetryShare + (maxRetryShare-minRetryShare)*rand.Float64()
	f.RetryAfter = max(f.RetryAfter, time.Duration(share*float64(honored)))
	return f
}

// retryAfter returns the time until there will be capacity for a refused request. ok is false where
// the order of package admission does not apply.
func (eq *engineQueue) retryAfter(w *admission.Waiter, honored time.Duration) (_ time.Duration, ok bool) {
	eq.mu.Lock()
	defer eq.mu.Unlock()
	return eq.queue.RetryAfter(w, honored, rand.Float64()), eq.queue.IsActive()
}

// callerWaitDivisor is the divisor of a caller's remaining time: callers wait for at most that
// part of it before they retry.
const callerWaitDivisor = 3

// resetExcluded allows servers that refused to be asked again, as they may have capacity by now.
// If a server may have run the request, all excluded servers stay excluded.
func (j *job) resetExcluded() {
	if !j.Sends.MayHaveRun() {
		j.excluded = nil
	}
}

func waitForWakeup(ctx context.Context, wakeup <-chan struct{}) bool {
	t := time.NewTimer(queuePollInterval)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-wakeup:
	case <-t.C:
	}
	return true
}
