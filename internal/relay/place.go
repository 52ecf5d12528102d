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
	// roomPoll is the wait before servers that refused are asked again. A batch of
	// a few dozen generations of seconds each frees a place every 100 to 200 ms.
	roomPoll = 150 * time.Millisecond
	// pacePoll is the wait before servers are asked again that are cold: they take a request
	// each few ms, by turns of all gateways.
	pacePoll = 10 * time.Millisecond
	// patienceShare is the part of a route's target that a request may wait for a
	// server with room; the rest is needed to run it on time.
	patienceShare = 0.5
	// defaultPatience stands where a route has no target.
	defaultPatience = 500 * time.Millisecond
	// returnBase and returnSpread give when a refused caller may come back: not
	// before running generations have had time to end, and not all at once.
	returnBase   = 400 * time.Millisecond
	returnSpread = 800 * time.Millisecond
	// cordonReturn is when a caller may come back whose servers are all cordoned: operators
	// empty a failure domain for seconds at least.
	cordonReturn = 2 * time.Second
	// leastLeft is the time below which a request is not sent to another server:
	// no answer could arrive in it.
	leastLeft = 20 * time.Millisecond
)

// offer is a server's answer, and the lease that counts the request there.
type offer struct {
	lease  *backends.Reservation
	answer *Response
	// cut breaks the answer off.
	cut context.CancelFunc
	// cover counts the run's standing copy, nil without one.
	cover *backends.Reservation
}

// place asks servers until one answers. A server that certainly did not run the
// request is followed by another; one whose outcome is unknown only where the
// request may run again.
func (r *Relay) place(ctx context.Context, j *job, after string) (*offer, *Refusal) {
	if j.sent == 0 {
		r.first(j.service)
	}
	for {
		lease, refusal := r.acquire(ctx, j)
		if refusal != nil {
			return nil, refusal
		}
		if left, held := r.held(j); held {
			lease.Release(backends.ResultInconclusive, r.Now())
			return nil, j.refuseHeld(left)
		}
		if j.reached > 0 && !r.repeat(j.service) {
			lease.Release(backends.ResultInconclusive, r.Now())
			j.log.WithField("sent", j.sent).Warn("retry budget is used up")
			return nil, r.refuse(j, ReasonNoRoom)
		}
		o, used, err := r.sendRaced(ctx, j, lease, &Attempt{LastEventID: after})
		if err == nil {
			return o, nil
		}
		if refusal := r.passOver(ctx, j, used, err); refusal != nil {
			return nil, refusal
		}
	}
}

// passOver judges a failed attempt. It returns nil if another server may be
// asked.
func (r *Relay) passOver(ctx context.Context, j *job, lease *backends.Reservation, err error) *Refusal {
	id := lease.Server.ID
	j.tried = append(j.tried, id)
	var refused *NotRunError
	if errors.As(err, &refused) {
		r.Observer.AttemptFailed(j.service, string(refused.Reason))
		lease.Release(resultOf(refused.Reason), r.Now())
		r.unreached(j, refused.Reason)
		if refused.Reason == NotRunReplaced {
			r.Registry.MarkReplaced(lease.Server)
		}
		if ctx.Err() != nil || j.left() < leastLeft {
			return r.refuse(j, ReasonDeadline)
		}
		return nil
	}
	j.ran++
	if ctx.Err() != nil {
		lease.Release(backends.ResultInconclusive, r.Now())
		return r.refuse(j, ReasonDeadline)
	}
	r.Observer.AttemptFailed(j.service, "lost")
	lease.Release(backends.ResultLost, r.Now())
	r.Peers.Notify()
	r.broke(ctx, j, lease.Server)
	if !j.mayRepeat() {
		return r.refuse(j, ReasonLost)
	}
	return nil
}

// unreached takes back what an attempt counts for that never arrived at a server. Callers
// would be refused for a budget that protects servers which are not there. Others are told of
// a server that has ended: each would find out by attempts of its own.
func (r *Relay) unreached(j *job, why NotRunReason) {
	if why == NotRunUnreachable || why == NotRunDown {
		j.reached--
	}
	if why == NotRunDown {
		r.Peers.Notify()
	}
}

func resultOf(why NotRunReason) backends.Result {
	switch why {
	case NotRunFull:
		return backends.ResultFull
	case NotRunUnreachable:
		return backends.ResultUnreachable
	case NotRunDown:
		return backends.ResultDown
	}
	return backends.ResultInconclusive
}

// mayRepeat reports whether the request may run once more.
func (j *job) mayRepeat() bool {
	return j.route.Repeatable() && j.ran < j.route.MaxServers && j.left() > leastLeft
}

// acquire takes a lease on a server, waiting a while for one with room.
func (r *Relay) acquire(ctx context.Context, j *job) (*backends.Reservation, *Refusal) {
	if j.engine != nil && j.Generation != nil {
		return r.acquireEngine(ctx, j)
	}
	return r.acquirePlain(ctx, j)
}

// acquirePlain takes a server for a request that waits for no engine.
func (r *Relay) acquirePlain(ctx context.Context, j *job) (*backends.Reservation, *Refusal) {
	l := r.line(j.service)
	var w *flow.Waiter
	defer func() { l.leave(w, r.Now()) }()
	for {
		if r.mayAsk(j, l, w) {
			q := r.query(j)
			q.ExpectedTokens, q.PromptTokens, q.Spill = j.memory(0), j.prompt(), true
			if lease := r.Registry.Acquire(q, r.Now()); lease != nil {
				return lease, nil
			}
		}
		if refusal := r.cordoned(j); refusal != nil {
			return nil, refusal
		}
		poll, until := roomPoll, j.arrived+j.patience()
		if pace := r.paceOf(j); pace.HasRateLimited || pace.HasBackingOff {
			if j.hasAnswer {
				return nil, r.refuse(j, ReasonNoRoom)
			}
			if w == nil {
				w = r.lineWaiter(j)
			}
			if refusal := r.standInLine(j, l, w, pace); refusal != nil {
				return nil, refusal
			}
			poll, until = pacePoll, w.DispatchDeadline
		}
		if r.Now()+poll > until || j.left() < poll {
			return nil, r.refuseUnplaced(j)
		}
		if !wait.For(ctx, poll) {
			return nil, r.refuse(j, ReasonDeadline)
		}
		j.tryAgain()
	}
}

// refuseUnplaced refuses a request that found no server in the time that it may wait.
func (r *Relay) refuseUnplaced(j *job) *Refusal {
	if ready, _ := r.Registry.CountReadyWithin(j.service, j.regions); ready == 0 {
		return r.refuse(j, ReasonNoServer)
	}
	return r.refuse(j, ReasonNoRoom)
}

// paceOf is at what rate servers take requests like this one.
func (r *Relay) paceOf(j *job) backends.Availability {
	return r.Registry.Availability(j.service, j.regions, r.Peers.SharedClock(), r.Now())
}

// paceWait is how long a request may wait for cold servers from its arrival: half of the time
// that it had, as the other half may be needed to run it there.
func (r *Relay) paceWait(j *job) time.Duration {
	return (r.Now() - j.arrived + j.left()) / 2
}

// query asks for a server for a request.
func (r *Relay) query(j *job) backends.Query {
	return backends.Query{Service: j.service, Tried: j.tried, Regions: j.regions, SharedTime: r.Peers.SharedClock(), Draw: rand.Uint64()}
}

// cordoned refuses a request whose servers are all in cordoned failure domains: waiting does
// not help it. It returns nil otherwise.
func (r *Relay) cordoned(j *job) *Refusal {
	ready, cordoned := r.Registry.CountReadyWithin(j.service, j.regions)
	if ready > 0 || cordoned == 0 {
		return nil
	}
	f := r.refuse(j, ReasonCordoned)
	if !f.MayHaveRun {
		f.RetryAfter = cordonReturn + time.Duration(rand.Float64()*float64(returnSpread))
	}
	return f
}

func (j *job) patience() time.Duration {
	if j.route.TargetLatency <= 0 {
		return defaultPatience
	}
	return time.Duration(patienceShare * float64(j.route.TargetLatency))
}

// refuse is the refusal of a request that may have been sent before.
func (r *Relay) refuse(j *job, why Reason) *Refusal {
	f := &Refusal{Reason: why, MayHaveRun: j.ran > 0}
	if !f.MayHaveRun {
		f.RetryAfter = returnBase + time.Duration(rand.Float64()*float64(returnSpread))
	}
	return f
}

func (j *job) prompt() int {
	if j.Generation == nil {
		return 0
	}
	return j.Generation.PromptTokens
}
