package relay

import "kingcupplank.example/kingcup/retry"

// first earns the service's repeats for a request's first arrival.
func (r *Relay) first(service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.budget(service).RecordFirstTry()
}

// repeat reports whether one more arrival is allowed.
func (r *Relay) repeat(service string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.budget(service).TryTake()
}

// spend counts an arrival that must not be refused: a run that has stopped at its
// server is lost if it does not go on.
func (r *Relay) spend(service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.budget(service).Spend()
}

const (
	// partsUnknown is the number of processes assumed until it is known.
	partsUnknown = 12
	// partsMargin keeps a part of the shared extra for processes that have just
	// started and are not known to all.
	partsMargin = 0.8
)

func (r *Relay) budget(service string) *retry.Budget {
	cfg := r.cfg.Load()
	b := r.budgets[service]
	if b == nil {
		b = &retry.Budget{}
		r.budgets[service] = b
	}
	b.Ratio = cfg.RetryRatio
	parts := r.Peers.Count()
	if parts == 0 {
		parts = partsUnknown
	}
	b.Max = max(1, partsMargin*float64(cfg.RetryExtra)/float64(parts))
	return b
}
