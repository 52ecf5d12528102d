package relay

import "kingcupplank.example/kingcup/retry"

// recordFirstAttempt adds to the service's retry budget for the first attempt of a request.
func (r *Relay) recordFirstAttempt(service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.retryBudget(service).RecordFirstTry()
}

// takeRetry reports whether one more attempt is allowed, and counts it if so.
func (r *Relay) takeRetry(service string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.retryBudget(service).TryTake()
}

// forceRetry counts an attempt that must not be refused: a run that has stopped at its server is
// lost if it does not resume elsewhere.
func (r *Relay) forceRetry(service string) {
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
