package agent

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"kingcupplank.example/kingcup/engine"
	"kingcupplank.example/kingcup/failure"
	"kingcupplank.example/kingcup/internal/wait"
	"kingcupplank.example/kingcup/internal/wire"
	"kingcupplank.example/kingcup/lease"
	innerv1 "kingcupplank.example/kingcup/proto/kingcup/inner/v1"
	kingcupv1 "kingcupplank.example/kingcup/proto/kingcup/v1"
	"kingcupplank.example/kingcup/sched"
)

// minWatchPeriod bounds how often a peer may ask for heartbeats.
const minWatchPeriod = 50 * time.Millisecond

// handleWatch sends heartbeats until the peer is gone.
func (a *Agent) handleWatch(ctx context.Context, w *innerv1.Watch, st *wire.Stream) {
	period := max(time.Duration(w.GetPeriodMs())*time.Millisecond, minWatchPeriod)
	t := time.NewTicker(period)
	defer t.Stop()
	for {
		beat := &innerv1.Reply_Heartbeat{Heartbeat: a.heartbeat()}
		if err := st.Send(&innerv1.Reply{Kind: beat}); err != nil {
			return
		}
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}

func (a *Agent) heartbeat() *innerv1.Heartbeat {
	hb := &innerv1.Heartbeat{
		BackendServer: a.cfg.Identity.Name,
		FailureDomain: a.cfg.Identity.FailureDomain,
		Leaving:       a.leaving.Load(),
		ConfigVersion: a.sync.Replica().Version(),
		Models:        a.cfg.Services,
	}
	if a.engine == nil {
		return hb
	}
	load := a.models.Load()
	s := a.Stats()
	hb.Models = append(append([]string(nil), a.cfg.Services...), load.Models...)
	hb.Adapters = load.Adapters
	hb.Load = &innerv1.Load{
		Running: uint32(s.Running), Queued: uint32(s.Queued),
		MemoryUsed: uint64(s.MemoryUsed), MemoryCapacity: load.MemoryCapacity,
		MemoryForecast: uint64(s.MemoryForecast), Preemptions: s.Preemptions + load.Preemptions,
	}
	return hb
}

// Stats are the policy's gauges.
func (a *Agent) Stats() sched.Stats {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.policy == nil {
		return sched.Stats{}
	}
	return a.policy.Stats()
}

// handleOrder obeys an order that its fence admits.
func (a *Agent) handleOrder(ctx context.Context, o *innerv1.Order, st *wire.Stream) {
	deadline := time.Now().Add(time.Duration(o.GetDeadlineMs()) * time.Millisecond)
	err := a.fence.Do(ctx, o.GetTerm(), func() error { return a.order(ctx, deadline, o) })
	if err != nil {
		st.Fail(orderError(err))
		return
	}
	st.Send(&innerv1.Reply{Kind: &innerv1.Reply_OrderDone{OrderDone: &innerv1.OrderDone{Term: o.GetTerm()}}})
}

var errLate = errors.New("order came after its deadline")

func (a *Agent) order(ctx context.Context, deadline time.Time, o *innerv1.Order) error {
	if a.engine == nil {
		return errors.Wrap(engine.ErrRejected, "no model engine here")
	}
	if time.Now().After(deadline) {
		return errLate
	}
	r := o.GetRequest()
	return a.engine.Order(ctx, engine.Order{
		Term: o.GetTerm(), Load: r.GetVerb() == kingcupv1.OrderVerb_ORDER_VERB_LOAD,
		Model: r.GetModel(), Adapter: r.GetAdapter(), Version: r.GetVersion(),
	})
}

func orderError(err error) error {
	switch {
	case errors.Is(err, lease.ErrStale), errors.Is(err, engine.ErrStaleTerm):
		return failure.NotRun(kingcupv1.Reason_REASON_FENCED, 0, "%v", err)
	case errors.Is(err, errLate):
		return failure.NotRun(kingcupv1.Reason_REASON_DEADLINE, 0, "%v", err)
	case errors.Is(err, engine.ErrRejected):
		return failure.NotRun(kingcupv1.Reason_REASON_INVALID, 0, "%v", err)
	case errors.Is(err, engine.ErrLost):
		return failure.Unknown(kingcupv1.Reason_REASON_ENGINE_LOST, time.Second, "%v", err)
	}
	return failure.NotRun(kingcupv1.Reason_REASON_STORE_UNAVAILABLE, time.Second, "%v", err)
}

// Leave ends new work: later requests are refused and queued ones that have
// not started are handed back as not run, for another backend server.
func (a *Agent) Leave() {
	a.mu.Lock()
	if a.leaving.Swap(true) {
		a.mu.Unlock()
		return
	}
	var queued []*generation
	for _, g := range a.gens {
		if !g.dispatched && !g.left {
			queued = append(queued, g)
		}
	}
	a.mu.Unlock()
	a.log.Info("leaving")
	for _, g := range queued {
		a.withdraw(g, kingcupv1.Reason_REASON_LEAVING, "backend server is leaving")
	}
}

// Leaving reports whether Leave was called.
func (a *Agent) Leaving() bool {
	return a.leaving.Load()
}

// InProgress counts generations and calls that a drain waits for.
func (a *Agent) InProgress() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	n := int(a.calling.Load()) + a.relays
	for _, g := range a.gens {
		if g.buf.Readers() == 0 && !(g.buf.Closed() && g.delivered) && !a.expired(g) {
			n++
		}
	}
	return n
}

// expired reports whether nobody has read g for the orphan grace.
func (a *Agent) expired(g *generation) bool {
	return g.idle && a.now()-g.idleSince > a.cfg.OrphanGracePeriod
}

const drainPoll = 20 * time.Millisecond

// Drain leaves and waits until every stream in progress has been delivered
// whole, or ctx ends. It returns what was left in progress.
func (a *Agent) Drain(ctx context.Context) int {
	a.Leave()
	for {
		n := a.InProgress()
		if n == 0 || !wait.For(ctx, drainPoll) {
			return n
		}
	}
}
