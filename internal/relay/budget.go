package relay

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"kingcupplank.example/kingcup/internal/wait"
	"kingcupplank.example/kingcup/retry"
)

// Results of retries, for metrics.
const (
	RetryTaken = "taken"
	// RetryReturned: a retry that was taken did not reach a server, or its server continued the run.
	RetryReturned = "returned"
	RetryRefused  = "refused"
)

const (
	// budgetLogInterval is the least time between two log lines which say that the retry budget of a
	// service is used up.
	budgetLogInterval = 5 * time.Second
	// budgetPoll is how often a run that is to continue asks for a retry: those of runs that have been
	// continued are given back after some 50 ms.
	budgetPoll = 10 * time.Millisecond
)

// errRetryBudget means that the retry budget of the request's service allows no further attempt now.
var errRetryBudget = errors.New("retry budget is used up")

// retryBudgets are the retry budgets by service. No other lock is taken while mu is locked.
type retryBudgets struct {
	mu        sync.Mutex
	byService map[string]*serviceBudget
}

// serviceBudget is the retry budget of a service. It is guarded by the mu of retryBudgets.
type serviceBudget struct {
	retry.Budget
	// exhausted is set while the last retry was refused, loggedAt is when that was last logged, logged
	// whether the line which says that there are retries again is due.
	exhausted, logged bool
	loggedAt          time.Duration
}

// update calls use with the budget of a service. mu must not be locked.
func (b *retryBudgets) update(service string, use func(*serviceBudget)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.byService[service]
	if s == nil {
		s = &serviceBudget{}
		b.byService[service] = s
	}
	use(s)
}

// recordFirstAttempt adds to the service's retry budget for the first attempt of a request.
func (r *Relay) recordFirstAttempt(service string) {
	settings, now := r.cfg.Load().retries(), r.Now()
	r.budgets.update(service, func(b *serviceBudget) { b.RecordFirst(settings, now) })
}

// updateRetryShare computes the service's share of the extra retries anew if that is due.
func (r *Relay) updateRetryShare(service string, settings retry.Settings, now time.Duration) {
	due := false
	r.budgets.update(service, func(b *serviceBudget) { due = b.IsShareDue(now) })
	if !due {
		return
	}
	view := r.Peers.RetryView(service, settings)
	r.budgets.update(service, func(b *serviceBudget) { b.UpdateShare(settings, view, now) })
}

// takeRetry reports whether one more attempt of a kind is allowed, and counts it if so.
func (r *Relay) takeRetry(service string, kind retry.Kind) bool {
	settings, now := r.cfg.Load().retries(), r.Now()
	r.updateRetryShare(service, settings, now)
	var taken, told, log bool
	var status retry.Status
	r.budgets.update(service, func(b *serviceBudget) {
		taken = b.TryTake(settings, kind, now)
		told = b.IsTold(settings)
		log = b.recordDecision(taken, now)
		status = b.Status(settings, now)
	})
	if log {
		r.logRetryBudget(service, kind, taken, status)
	}
	if !taken {
		r.Observer.Retry(service, kind, RetryRefused)
		return false
	}
	if !told {
		r.Peers.Notify()
	}
	r.Observer.Retry(service, kind, RetryTaken)
	return true
}

// recordDecision reports whether it is to be logged that the budget is used up, or no longer.
func (b *serviceBudget) recordDecision(taken bool, now time.Duration) bool {
	changed := b.exhausted == taken
	b.exhausted = !taken
	switch {
	case !changed:
		return false
	case taken:
		due := b.logged
		b.logged = false
		return due
	case b.loggedAt > 0 && now-b.loggedAt < budgetLogInterval:
		return false
	}
	b.loggedAt, b.logged = now, true
	return true
}

func (r *Relay) logRetryBudget(service string, kind retry.Kind, available bool, s retry.Status) {
	settings := r.cfg.Load().retries()
	view := r.Peers.RetryView(service, settings)
	entry := r.Log.WithFields(logrus.Fields{
		"service": service, "kind": kind, "requests": s.Requests, "retries": s.Retries, "share": s.Share, "used": s.Used, "left": s.Left, "gateways": view.Gateways,
		"informed": view.Informed, "whole": view.Whole, "used_by_others": view.Live, "used_by_ended": view.Ended(settings), "up_ms": (r.Now() - r.started).Milliseconds(),
	})
	if available {
		entry.Info("retries of the service are available again")
		return
	}
	entry.Warn("retries of the service are used up")
}

// returnRetry takes back a retry that was taken at a time.
func (r *Relay) returnRetry(service string, kind retry.Kind, at time.Duration) {
	settings, now := r.cfg.Load().retries(), r.Now()
	r.budgets.update(service, func(b *serviceBudget) { b.GiveBack(settings, kind, at, now) })
	r.Observer.Retry(service, kind, RetryReturned)
}

// takeArrival counts an attempt that is about to be sent. All attempts of a request but the first take a
// retry. Errors: errRetryBudget.
func (r *Relay) takeArrival(j *job, kind retry.Kind) error {
	if j.arrivals > 0 {
		reservedKind, at, isReserved := j.stopped.takeRetry()
		switch {
		case isReserved:
			j.retryKind, j.retryAt = reservedKind, at
		case r.takeRetry(j.service, kind):
			j.retryKind, j.retryAt = kind, r.Now()
		default:
			return errRetryBudget
		}
	}
	j.arrivals++
	return nil
}

// hasRetry reports whether there is a retry for a further attempt of a request.
func (r *Relay) hasRetry(j *job) bool {
	if j.arrivals == 0 || j.stopped.hasRetry() {
		return true
	}
	settings, now, left := r.cfg.Load().retries(), r.Now(), 0.0
	r.updateRetryShare(j.service, settings, now)
	r.budgets.update(j.service, func(b *serviceBudget) { left = b.Left(settings, now) })
	return left >= 1
}

// undoArrival undoes takeArrival for an attempt that has certainly not reached a server, or whose server
// continues the run of the request.
func (r *Relay) undoArrival(j *job) {
	j.arrivals--
	if j.arrivals > 0 {
		r.returnRetry(j.service, j.retryKind, j.retryAt)
	}
}

// sendContinuation is send for an attempt that continues a run from a copy. It waits for a retry: the run is
// lost if it does not continue.
func (r *Relay) sendContinuation(ctx context.Context, send func() (*placedResponse, error)) (*placedResponse, error) {
	for deadline := r.Now() + maxMigrationWait; ; {
		next, err := send()
		if !errors.Is(err, errRetryBudget) || r.Now() >= deadline || !wait.For(ctx, budgetPoll) {
			return next, err
		}
	}
}

// RetryUses returns what the other gateways are to be told of the retries, by service.
func (r *Relay) RetryUses() map[string]retry.Use {
	settings, now := r.cfg.Load().retries(), r.Now()
	r.budgets.mu.Lock()
	services := make([]string, 0, len(r.budgets.byService))
	for service := range r.budgets.byService {
		services = append(services, service)
	}
	r.budgets.mu.Unlock()
	out := make(map[string]retry.Use, len(services))
	for _, service := range services {
		r.updateRetryShare(service, settings, now)
		r.budgets.update(service, func(b *serviceBudget) { out[service] = b.Tell(settings, now) })
	}
	return out
}

// RetryStatuses returns the state of the retry budgets by service.
func (r *Relay) RetryStatuses() map[string]retry.Status {
	settings, now := r.cfg.Load().retries(), r.Now()
	r.budgets.mu.Lock()
	defer r.budgets.mu.Unlock()
	out := make(map[string]retry.Status, len(r.budgets.byService))
	for service, b := range r.budgets.byService {
		out[service] = b.Status(settings, now)
	}
	return out
}

// retryBudgetFields returns the log fields of a service's retry budget.
func (r *Relay) retryBudgetFields(service string) logrus.Fields {
	s := r.RetryStatuses()[service]
	return logrus.Fields{"left": s.Left, "share": s.Share, "up_ms": (r.Now() - r.started).Milliseconds()}
}

// retries returns the settings of the retry budgets.
func (c *Config) retries() retry.Settings {
	return retry.Settings{Ratio: c.RetryRatio, Extra: float64(c.RetryExtra), Window: c.RetryWindow}
}
