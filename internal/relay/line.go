package relay

import (
	"math/rand/v2"
	"sync"
	"time"

	"kingcupplank.example/kingcup/backends"
	"kingcupplank.example/kingcup/flow"
)

// line is the queue of plain requests for a service whose servers all take a bounded rate, or
// rest. The most urgent goes first. One that cannot have its turn in time is refused at once:
// waiting would cost its caller the time to go elsewhere, or to come back.
type line struct {
	mu    sync.Mutex
	queue *flow.Queue
}

func (r *Relay) line(service string) *line {
	r.mu.Lock()
	defer r.mu.Unlock()
	l := r.lines[service]
	if l == nil {
		l = &line{queue: flow.NewQueue(1)}
		r.lines[service] = l
	}
	return l
}

// mayAsk reports whether a request, in its line or not, may ask for a server now. One
// that may have run asks out of line, as it would hold up the others for the few servers that are
// left to it. The line is of no use once a server takes any number.
func (r *Relay) mayAsk(j *job, l *line, w *flow.Waiter) bool {
	return j.ran > 0 || l.isNext(w, r.Now()) || r.paceOf(j).HasUnlimited
}

// standInLine has a request wait for its turn where no server takes any number, and refuses it
// if that comes too late. It returns nil otherwise.
func (r *Relay) standInLine(j *job, l *line, w *flow.Waiter, p backends.Availability) *Refusal {
	if !p.MustWait() {
		return nil
	}
	if j.ran == 0 {
		l.enter(w)
	}
	if turn := l.wait(w, p, r.Now()); r.Now()+turn > w.DispatchDeadline {
		return r.refuseInLine(j, p, turn)
	}
	return nil
}

// isNext reports whether a request is the next of the line, or there is none.
func (l *line) isNext(w *flow.Waiter, now time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	next := l.queue.Next(now)
	return next == nil || next == w
}

// enter puts a request in the line unless it is there.
func (l *line) enter(w *flow.Waiter) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.queue.Contains(w) {
		l.queue.Add(w)
	}
}

// leave takes a request out; nil was never in.
func (l *line) leave(w *flow.Waiter, now time.Duration) {
	if w == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.queue.Remove(w, false, now)
}

// wait estimates how long a request waits for its turn.
func (l *line) wait(w *flow.Waiter, p backends.Availability, now time.Duration) time.Duration {
	if !p.HasRateLimited {
		return p.BackoffWait
	}
	l.mu.Lock()
	l.queue.SetRate(p.PerSecond)
	turn := p.RateWait + l.queue.EstimateWait(w, now)
	l.mu.Unlock()
	if p.HasBackingOff {
		turn = min(turn, p.BackoffWait)
	}
	return turn
}

// lineWaiter describes a plain request to its line.
func (r *Relay) lineWaiter(j *job) *flow.Waiter {
	lastBy := j.arrived + max(j.patience(), r.paceWait(j))
	return &flow.Waiter{Priority: j.priority, PromptTokens: 1, Arrived: j.arrived, OnTimeDeadline: lastBy, DispatchDeadline: lastBy}
}

// latestReturn bounds when a caller is told to come back to servers that name a limit: the limit
// may end, and it may meet another gateway whose turn comes sooner.
const latestReturn = 10 * time.Second

// refuseInLine refuses a request that would have its turn too late.
func (r *Relay) refuseInLine(j *job, p backends.Availability, turn time.Duration) *Refusal {
	f := r.refuse(j, ReasonNoRoom)
	if p.HasRateLimited {
		turn = min(turn, latestReturn)
	}
	if !f.MayHaveRun {
		f.RetryAfter = max(f.RetryAfter, turn+time.Duration(rand.Float64()*float64(returnSpread)))
	}
	return f
}
