package relay

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"kingcupplank.example/kingcup/concurrency"
	"kingcupplank.example/kingcup/flow"
)

const (
	// limitUpdateInterval is how often the inputs of a shared limit are gathered: states of peers
	// come in every 150 ms or less often, and a queue at the servers shows in answers within
	// 100 ms.
	limitUpdateInterval = 50 * time.Millisecond
	// limitLogInterval is the minimum time between two log lines that say that a limit binds.
	limitLogInterval = 10 * time.Second
	// runMargin is the multiple of the usual answer time that is left for running a request that
	// has waited.
	runMargin = 1.25
)

// Results of the decisions of a shared limit.
const (
	LimitAdmitted = "admitted"
	LimitRefused  = "refused"
)

// LimitObserver receives the decisions of shared limits for metrics. Its methods must not block.
type LimitObserver interface {
	// LimitUpdated is called several times a second for each service with requests.
	LimitUpdated(service string, s concurrency.Status)
	// LimitDecided is called for each request that is sent or refused while the limit binds.
	LimitDecided(service, result string)
}

// sharedLimit is the limit on what this gateway sends to the servers of a plain service that have
// fewer slots than there are gateways. A nil sharedLimit limits nothing. No other lock is taken
// while its mu is locked.
type sharedLimit struct {
	service  string
	observer LimitObserver

	mu      sync.Mutex
	limiter *concurrency.Limiter
	// updated is when the inputs were last gathered, usual the usual answer time then.
	updated time.Duration
	usual   time.Duration
	// loggedAt is when the limit was last logged to bind, logged whether that line's end is due.
	loggedAt time.Duration
	logged   bool
}

// sharedLimit returns the limit for a request's service, nil if the service has engines: these have
// a queue of their own.
func (r *Relay) sharedLimit(j *job) *sharedLimit {
	if j.engine != nil {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	l := r.sharedLimits[j.service]
	if l == nil {
		l = &sharedLimit{service: j.service, observer: r.Limits, limiter: concurrency.NewLimiter(r.started)}
		r.sharedLimits[j.service] = l
	}
	return l
}

// arrived counts a request for the gateway's demand.
func (l *sharedLimit) arrived(now time.Duration) {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limiter.Arrived(now)
}

// claimUpdate reports whether an update is due, and records it if so.
func (l *sharedLimit) claimUpdate(now time.Duration) (demand float64, due bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.updated > 0 && now-l.updated < limitUpdateInterval {
		return 0, false
	}
	l.updated = now
	return l.limiter.Demand(now), true
}

// updateSharedLimit gathers the inputs of a limit if that is due.
func (r *Relay) updateSharedLimit(l *sharedLimit) {
	if l == nil {
		return
	}
	now := r.Now()
	demand, due := l.claimUpdate(now)
	if !due {
		return
	}
	r.Peers.ReportDemand(l.service, demand)
	in := concurrency.Inputs{Capacity: r.Registry.Capacity(l.service, now), Peers: r.Peers.Demand(l.service), Gateways: r.Peers.Count()}
	l.mu.Lock()
	l.usual = in.Capacity.Usual
	changed := l.limiter.Update(in, now)
	status := l.limiter.Status(now)
	log := changed && l.shouldLog(status.Limited, now)
	l.mu.Unlock()
	if l.observer != nil {
		l.observer.LimitUpdated(l.service, status)
	}
	if log {
		r.logSharedLimit(l.service, status)
	}
}

// shouldLog reports whether a change is logged. The end of a limit is logged if its begin was. mu
// must be locked.
func (l *sharedLimit) shouldLog(binds bool, now time.Duration) bool {
	if !binds {
		due := l.logged
		l.logged = false
		return due
	}
	if l.loggedAt > 0 && now-l.loggedAt < limitLogInterval {
		return false
	}
	l.loggedAt, l.logged = now, true
	return true
}

func (r *Relay) logSharedLimit(service string, s concurrency.Status) {
	entry := r.Log.WithFields(logrus.Fields{
		"service": service, "demand": int(s.Demand), "total_demand": int(s.Total), "capacity": int(s.Capacity),
		"share": int(s.Share), "slots": s.Slots, "gateways": s.Gateways,
	})
	if s.Limited {
		entry.Info("demand exceeds the capacity of the servers, shared limit binds")
		return
	}
	entry.Info("shared limit no longer binds")
}

// binds reports whether the limit binds.
func (l *sharedLimit) binds() bool {
	if l == nil {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.limiter.Limited()
}

// tryTake reports whether a request may be sent now, and counts it if so.
func (l *sharedLimit) tryTake(now time.Duration) bool {
	if l == nil {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.limiter.TryTake(now)
}

// admitted counts a request that is sent for metrics.
func (l *sharedLimit) admitted() {
	if l.binds() && l.observer != nil {
		l.observer.LimitDecided(l.service, LimitAdmitted)
	}
}

// giveBack undoes tryTake for a request that was not sent.
func (l *sharedLimit) giveBack() {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limiter.Return()
}

// takeTurn reports whether the limit admits a request now, and counts it if so. While the limit
// binds, the most urgent request goes first. One that may have run does not queue.
func (r *Relay) takeTurn(j *job, l *sharedLimit, pq *pacedQueue, w *flow.Waiter) bool {
	if l.binds() && !j.Sends.MayHaveRun() && !pq.isHead(w, r.Now()) {
		return false
	}
	return l.tryTake(r.Now())
}

// limitedWaiter returns the queue entry of a request that the limit does not admit at once. It waits
// while it can still be answered on time.
func (r *Relay) limitedWaiter(j *job, l *sharedLimit) *flow.Waiter {
	l.mu.Lock()
	usual := l.usual
	l.mu.Unlock()
	deadline := j.arrived + max(j.maxWait(), j.route.TargetLatency-time.Duration(runMargin*float64(usual)))
	return &flow.Waiter{Priority: j.priority, PromptTokens: 1, Arrived: j.arrived, OnTimeDeadline: deadline, DispatchDeadline: deadline}
}

// joinLimitedQueue queues a request. It returns a refusal if the request's turn would come too late,
// nil otherwise.
func (r *Relay) joinLimitedQueue(j *job, pq *pacedQueue, w *flow.Waiter, l *sharedLimit) *Refusal {
	now := r.Now()
	queued := !j.Sends.MayHaveRun() && pq.add(w)
	ahead := pq.countAhead(w, now)
	l.mu.Lock()
	wait := l.limiter.Wait(ahead, now)
	l.mu.Unlock()
	latest := w.DispatchDeadline
	if !queued {
		// A request that is queued is not refused for a small change of the rate.
		latest = min(latest, j.arrived+j.maxWait())
	}
	if now+wait > latest {
		return r.refuseLimited(j, l)
	}
	return nil
}

// refuseLimited refuses a request that the limit does not admit in time.
func (r *Relay) refuseLimited(j *job, l *sharedLimit) *Refusal {
	f := r.refuse(j, ReasonNoCapacity)
	if l.observer != nil {
		l.observer.LimitDecided(l.service, LimitRefused)
	}
	if !f.MayHaveRun {
		l.mu.Lock()
		f.RetryAfter = l.limiter.RetryAfter(j.timeLeft(), rand.Float64(), r.Now())
		l.mu.Unlock()
	}
	return f
}

// refuseNoServer refuses a request whose service has no server that takes requests.
func (r *Relay) refuseNoServer(j *job) *Refusal {
	f := r.refuse(j, ReasonNoServer)
	if !f.MayHaveRun {
		f.RetryAfter = concurrency.OutageRetryAfter(j.timeLeft(), rand.Float64())
	}
	return f
}
