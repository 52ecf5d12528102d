package relay

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"kingcupplank.example/kingcup/backends"
	"kingcupplank.example/kingcup/flow"
)

const (
	// mostUsed is the part of an engine's memory that its requests may take, with
	// what they grow by in the next seconds. The rest covers requests of other
	// gateways that are not known yet.
	mostUsed = 0.97
	// startRate is the prompt tokens a second that are assumed to go to engines
	// until it has been seen.
	startRate = 20000
	// queuePoll is how often the first request of a queue looks for room: loads come
	// from other gateways too.
	queuePoll = 20 * time.Millisecond
	// longer is how much longer than estimated an answer may become and still be
	// whole in time; estimates are right at the median only.
	longer = 1.5
	// silenceShare is the part of the silence that callers bear in which a request
	// must have reached an engine; the rest covers a slow first token.
	silenceShare = 0.9
	// returnSoonest and returnLatest are when callers come back that were refused
	// for too much load, as parts of the third of their time that they are willing
	// to wait: bursts last seconds, and all at once they would be the next one.
	returnSoonest, returnLatest = 0.4, 1.0
)

// lane is the queue in front of the engines of a service.
type lane struct {
	mu    sync.Mutex
	queue *flow.Queue
	// wakes tell a waiter that it is first.
	wakes map[*flow.Waiter]chan struct{}
	// shares counts what teams use of the service here.
	shares *flow.Shares
	// unplaced counts the requests that have found no server with room yet, the last of
	// them at crowded, 0 for none.
	unplaced int
	crowded  time.Duration
}

// crowdedSince reports whether a request has found no room since a time.
func (l *lane) crowdedSince(t time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.unplaced > 0 || l.crowded > 0 && l.crowded > t
}

func (r *Relay) lane(service string) *lane {
	r.mu.Lock()
	defer r.mu.Unlock()
	l := r.lanes[service]
	if l == nil {
		l = &lane{queue: flow.NewQueue(startRate), wakes: make(map[*flow.Waiter]chan struct{}), shares: flow.NewShares()}
		r.lanes[service] = l
	}
	return l
}

// enter queues a request; it returns nil if the request has no chance.
func (l *lane) enter(w *flow.Waiter, now time.Duration) (wake chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.queue.ShouldReject(w, now) {
		return nil
	}
	wake = make(chan struct{}, 1)
	l.wakes[w] = wake
	l.queue.Add(w)
	return wake
}

// refuses reports whether a request that waits has lost its chance.
func (l *lane) refuses(w *flow.Waiter, now time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.queue.ShouldReject(w, now)
}

// leave takes a request out and wakes the next.
func (l *lane) leave(w *flow.Waiter, sent bool, now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, queued := l.wakes[w]; !queued {
		return
	}
	delete(l.wakes, w)
	l.queue.Remove(w, sent, now)
	l.wakeFirst(now)
}

// wakeFirst tells the first request; mu is held.
func (l *lane) wakeFirst(now time.Duration) {
	next := l.queue.Next(now)
	if next == nil {
		return
	}
	select {
	case l.wakes[next] <- struct{}{}:
	default:
	}
}

// first reports whether a request is the first, and wakes the one that is: the order
// changes as time passes.
func (l *lane) first(w *flow.Waiter, now time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.queue.Next(now) == w {
		return true
	}
	l.wakeFirst(now)
	return false
}

// tellQueue tells the others what waits here. Only requests count that have found no
// server with room: one that is placed at once contends with nobody.
func (r *Relay) tellQueue(service string, l *lane, change int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unplaced += change
	l.crowded = r.Now()
	rank, first := l.queue.HeadRank(r.Now())
	r.Peers.ReportQueue(service, flow.Contender{Waiting: l.unplaced, Rank: rank, WaitingAtRank: first})
}

// toldTeams is how many teams' usage is told to others. The surges that matter are of
// few teams, and one that is not told counts as small.
const toldTeams = 8

// charge counts a generation that goes to an engine against its team's share: the
// memory that it is expected to take, by the time that it takes it.
func (r *Relay) charge(j *job, l *lane) {
	lasts := r.readTime(j) + time.Duration(j.events(0))*r.usualPause()
	amount := float64(j.memory(0)) * lasts.Seconds()
	now := r.Now()
	l.mu.Lock()
	l.shares.Charge(j.team, amount, now)
	top := l.shares.Top(toldTeams, now)
	l.mu.Unlock()
	r.Peers.ReportUsage(j.service, top)
}

// level is how far a request's team is above an equal share.
func (r *Relay) level(j *job, l *lane) int {
	elsewhere := r.Peers.Usage(j.service)
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.shares.Level(j.team, elsewhere, r.Now())
}

// waiter describes a generation to its queue.
func (r *Relay) waiter(j *job, l *lane) *flow.Waiter {
	read := r.readTime(j)
	run := read + time.Duration(longer*float64(j.events(0))*float64(r.usualPause()))
	lastBy := j.arrived + j.left() - run
	if s := j.route.EventTimeout; s > 0 {
		lastBy = min(lastBy, j.arrived+time.Duration(silenceShare*float64(s))-read)
	}
	return &flow.Waiter{
		Priority: j.priority, Level: r.level(j, l), PromptTokens: j.prompt(), Arrived: j.arrived,
		OnTimeDeadline:   j.arrived + j.route.TargetLatency - read,
		DispatchDeadline: max(lastBy, j.arrived+j.patience()),
	}
}

// acquireEngine waits for an engine with room.
func (r *Relay) acquireEngine(ctx context.Context, j *job) (*backends.Reservation, *Refusal) {
	l := r.lane(j.service)
	w := r.waiter(j, l)
	wake := l.enter(w, r.Now())
	if wake == nil {
		return nil, r.crowded(j)
	}
	sent, told := false, 0
	defer func() {
		l.leave(w, sent, r.Now())
		if told > 0 {
			r.tellQueue(j.service, l, -told)
		}
	}()
	if refusal := r.resting(j, w); refusal != nil {
		return nil, refusal
	}
	entered := r.Now()
	for asked := entered; ; {
		if l.first(w, r.Now()) {
			if lease := r.takeEngine(j, l, w, r.Now()-entered > spillAfter); lease != nil {
				sent = true
				return lease, nil
			}
			if refusal := r.resting(j, w); refusal != nil {
				return nil, refusal
			}
			if r.Now()-asked > roomPoll {
				j.tryAgain()
				asked = r.Now()
			}
		}
		if refusal := r.cordoned(j); refusal != nil {
			return nil, refusal
		}
		if ready, _ := r.Registry.CountReadyWithin(j.service, j.regions); ready == 0 && r.Now()-j.arrived > j.patience() {
			return nil, r.refuse(j, ReasonNoServer)
		}
		if l.refuses(w, r.Now()) {
			return nil, r.crowded(j)
		}
		// Told again each time: what goes next becomes late as time passes.
		r.tellQueue(j.service, l, 1-told)
		told = 1
		if !await(ctx, wake) {
			return nil, r.refuse(j, ReasonDeadline)
		}
	}
}

// resting refuses a request whose engines all rest for longer than it can wait, nil otherwise.
func (r *Relay) resting(j *job, w *flow.Waiter) *Refusal {
	p := r.paceOf(j)
	if !p.MustWait() || p.HasRateLimited || r.Now()+p.BackoffWait <= w.DispatchDeadline {
		return nil
	}
	return r.refuseInLine(j, p, p.BackoffWait)
}

// spillAfter is how long a request waits for an engine of its own gateway's cell before it
// may take another's. An engine of the own cell gets room within that as a rule; one of
// another cell may be full, unseen, and a request that meets a prompt there waits for twice
// as long.
const spillAfter = 150 * time.Millisecond

// takeEngine takes an engine for the first request of a lane, nil if none has room or
// it is another gateway's turn.
func (r *Relay) takeEngine(j *job, l *lane, w *flow.Waiter, spill bool) *backends.Reservation {
	q := r.engineQuery(j, w.Rank(r.Now()))
	q.Spill = spill
	lease := r.Registry.Acquire(q, r.Now())
	if lease == nil {
		return nil
	}
	r.charge(j, l)
	r.Peers.Notify()
	return lease
}

// engineQuery asks for an engine for a request of a rank.
func (r *Relay) engineQuery(j *job, rank int) backends.Query {
	speed := r.readSpeed()
	q := r.query(j)
	q.ExpectedTokens, q.PromptTokens, q.PromptSpeed = j.memory(0), j.prompt(), speed
	q.MaxMemoryUse, q.MaxPromptPending = mostUsed, int(speed*promptWait.Seconds())
	q.Turns = r.Peers.Turns(j.service, rank)
	return q
}

// crowded refuses a request for too much load.
func (r *Relay) crowded(j *job) *Refusal {
	f := r.refuse(j, ReasonNoRoom)
	if !f.MayHaveRun {
		part := returnSoonest + (returnLatest-returnSoonest)*rand.Float64()
		f.RetryAfter = max(f.RetryAfter, time.Duration(part*float64(j.left())/callersWait))
	}
	return f
}

// callersWait is the divisor of the time left that callers honour as a wait.
const callersWait = 3

// tryAgain lets servers be asked again that refused: they may have room by now.
// Those where the request may have run stay out.
func (j *job) tryAgain() {
	j.tried = slices.DeleteFunc(j.tried, func(string) bool { return j.ran == 0 })
}

func await(ctx context.Context, wake <-chan struct{}) bool {
	t := time.NewTimer(queuePoll)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-wake:
	case <-t.C:
	}
	return true
}
