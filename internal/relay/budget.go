package relay

import (
	"github.com/sirupsen/logrus"

	"kingcupplank.example/kingcup/retry"
)

// RetryKind is why a request is sent to a further server.
type RetryKind string

// The kinds of retries.
const (
	// RetryRepeat: the attempt before has failed, or its server has not run the request.
	RetryRepeat RetryKind = "repeat"
	// RetryRace: the first server does not begin to respond in time.
	RetryRace RetryKind = "race"
	// RetryContinuation: a run that has stopped or lost its server continues from a copy.
	RetryContinuation RetryKind = "continuation"
	// RetryHedge: a silent run continues from its standby copy.
	RetryHedge RetryKind = "hedge"
)

// Results of retries, for metrics.
const (
	RetryTaken   = "taken"
	RetryRefused = "refused"
)

// recordFirstAttempt adds to the service's retry budget for the first attempt of a request.
func (r *Relay) recordFirstAttempt(service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.retryBudget(service).RecordFirstTry()
}

// takeRetry reports whether one more attempt is allowed, and counts it if so.
func (r *Relay) takeRetry(service string, kind RetryKind) bool {
	r.mu.Lock()
	taken := r.retryBudget(service).TryTake()
	r.mu.Unlock()
	if !taken {
		r.Observer.Retry(service, kind, RetryRefused)
		return false
	}
	r.Observer.Retry(service, kind, RetryTaken)
	return true
}

// retryBudgetFields returns the log fields of a service's retry budget.
func (r *Relay) retryBudgetFields(service string) logrus.Fields {
	r.mu.Lock()
	defer r.mu.Unlock()
	b := r.retryBudget(service)
	return logrus.Fields{"left": b.Left(), "share": b.Max, "gateways": r.Peers.Count(), "up_ms": (r.Now() - r.started).Milliseconds()}
}

// forceRetry counts an attempt that must not be refused: a run that has stopped at its server is
// lost if it does not resume elsewhere.
func (r *Relay) forceRetry(service string, kind RetryKind) {
	r.Observer.Retry(service, kind, RetryTaken)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.retryBudget(service).Spend()
}

const (
	// assumedProcesses is the number of gateways assumed while it is unknown.
	assumedProcesses = 12
	// sharedRetryShare is the part of the shared extra retries that the known gateways use; the
	// rest is left for those that have just started and are not known to all.
	sharedRetryShare = 0.8
)

// retryBudget returns the retry budget of a service, updated to the settings and to the number of
// gateways; mu must be locked.
func (r *Relay) retryBudget(service string) *retry.Budget {
	cfg := r.cfg.Load()
	b := r.retryBudgets[service]
	if b == nil {
		b = &retry.Budget{}
		r.retryBudgets[service] = b
	}
	b.Ratio = cfg.RetryRatio
	processes := r.Peers.Count()
	if processes == 0 {
		processes = assumedProcesses
	}
	b.Max = max(1, sharedRetryShare*float64(cfg.RetryExtra)/float64(processes))
	return b
}
