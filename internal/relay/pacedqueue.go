package relay

import (
	"math/rand/v2"
	"sync"
	"time"

	"kingcupplank.example/kingcup/backends"
	"kingcupplank.example/kingcup/flow"
)

// pacedQueue is the queue of plain requests for a service whose servers all have a bounded rate,
// because they are rate-limited or cold, or are backing off. The most urgent request goes first. A
// request that cannot get its turn in time is refused at once: waiting would cost its caller the
// time to go elsewhere or to retry.
type pacedQueue struct {
	mu    sync.Mutex
	queue *flow.Queue
}

func (r *Relay) pacedQueue(service string) *pacedQueue {
	r.mu.Lock()
	defer r.mu.Unlock()
	pq := r.pacedQueues[service]
	if pq == nil {
		pq = &pacedQueue{queue: flow.NewQueue(1)}
		r.pacedQueues[service] = pq
	}
	return pq
}

// canAskServers reports whether a request, queued or not, may ask for a server now. A request
// that may have run does not queue, as it would block the others for the few servers that it has
// left. The queue is not used once a server without a bounded rate is available.
func (r *Relay) canAskServers(j *job, pq *pacedQueue, w *flow.Waiter) bool {
	return j.Sends.MayHaveRun() || pq.isHead(w, r.Now()) || r.availability(j).HasUnlimited
}

// joinPacedQueue queues a request if all its servers have a bounded rate or are backing off. It
// returns a refusal if the request's turn would come too late, nil otherwise.
func (r *Relay) joinPacedQueue(j *job, pq *pacedQueue, w *flow.Waiter, servers backends.Availability) *Refusal {
	if !servers.MustWait() {
		return nil
	}
	if !j.Sends.MayHaveRun() {
		pq.add(w)
	}
	if wait := pq.estimateWait(w, servers, r.Now()); r.Now()+wait > w.DispatchDeadline {
		return r.refuseLongWait(j, servers, wait)
	}
	return nil
}

// isHead reports whether a request is the first of the queue or the queue is empty.
func (pq *pacedQueue) isHead(w *flow.Waiter, now time.Duration) bool {
	pq.mu.Lock()
	defer pq.mu.Unlock()
	next := pq.queue.Next(now)
	return next == nil || next == w
}

// add adds a request. It reports whether the request was queued before.
func (pq *pacedQueue) add(w *flow.Waiter) bool {
	pq.mu.Lock()
	defer pq.mu.Unlock()
	if pq.queue.Contains(w) {
		return true
	}
	pq.queue.Add(w)
	return false
}

// countAhead counts the queued requests that precede one.
func (pq *pacedQueue) countAhead(w *flow.Waiter, now time.Duration) int {
	pq.mu.Lock()
	defer pq.mu.Unlock()
	pq.queue.SetRate(1)
	return int(pq.queue.EstimateWait(w, now) / time.Second)
}

// remove removes a request; nil is ignored.
func (pq *pacedQueue) remove(w *flow.Waiter, now time.Duration) {
	if w == nil {
		return
	}
	pq.mu.Lock()
	defer pq.mu.Unlock()
	pq.queue.Remove(w, false, now)
}

// estimateWait estimates how long a request waits for its turn.
func (pq *pacedQueue) estimateWait(w *flow.Waiter, servers backends.Availability, now time.Duration) time.Duration {
	if !servers.HasBoundedRate {
		return servers.BackoffWait
	}
	pq.mu.Lock()
	pq.queue.SetRate(servers.PerSecond)
	wait := servers.RateWait + pq.queue.EstimateWait(w, now)
	pq.mu.Unlock()
	if servers.HasBackingOff {
		wait = min(wait, servers.BackoffWait)
	}
	return wait
}

// pacedWaiter returns the queue entry of a plain request.
func (r *Relay) pacedWaiter(j *job) *flow.Waiter {
	dispatchDeadline := j.arrived + max(j.maxWait(), r.maxPacedWait(j))
	return &flow.Waiter{Priority: j.priority, PromptTokens: 1, Arrived: j.arrived, OnTimeDeadline: dispatchDeadline, DispatchDeadline: dispatchDeadline}
}

// maxRateLimitRetryAfter bounds the retry time because of bounded rates: a rate limit may end, and
// the retry may reach another gateway that has its turn sooner.
const maxRateLimitRetryAfter = 10 * time.Second

// refuseLongWait refuses a request that would have to wait too long for servers that have a bounded
// rate or are backing off.
func (r *Relay) refuseLongWait(j *job, servers backends.Availability, wait time.Duration) *Refusal {
	f := r.refuse(j, ReasonNoCapacity)
	if servers.HasBoundedRate {
		wait = min(wait, maxRateLimitRetryAfter)
	}
	if !f.MayHaveRun {
		f.RetryAfter = max(f.RetryAfter, wait+time.Duration(rand.Float64()*float64(retryAfterJitter)))
	}
	return f
}
