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

// minHeartbeatInterval is the shortest heartbeat interval that a peer may
// request.
const minHeartbeatInterval = 50 * time.Millisecond

// handleWatch sends heartbeats until the peer disconnects.
func (a *Agent) handleWatch(ctx context.Context, w *innerv1.Watch, st *wire.Stream) {
	interval := max(time.Duration(w.GetPeriodMs())*time.Millisecond, minHeartbeatInterval)
	t := time.NewTicker(interval)
	defer t.Stop()
	for {
		heartbeat := &innerv1.Reply_Heartbeat{Heartbeat: a.heartbeat()}
		if err := st.Send(&innerv1.Reply{Kind: heartbeat}); err != nil {
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
	status := a.engineStatus.Load()
	stats := a.Stats()
	hb.Models = append(append([]string(nil), a.cfg.Services...), status.Models...)
	hb.Adapters = status.Adapters
	hb.Load = &innerv1.Load{
		Running: uint32(stats.Running), Queued: uint32(stats.Queued),
		MemoryUsed: uint64(stats.MemoryUsed), MemoryCapacity: status.MemoryCapacity,
		MemoryForecast: uint64(stats.MemoryForecast), Preemptions: stats.Preemptions + status.Preemptions,
	}
	return hb
}

// Stats returns the policy's counters and gauges; without an engine they are
// zero.
func (a *Agent) Stats() sched.Stats {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.policy == nil {
		return sched.Stats{}
	}
	return a.policy.Stats()
}

// handleOrder executes an order whose term the fence accepts.
func (a *Agent) handleOrder(ctx context.Context, o *innerv1.Order, st *wire.Stream) {
	deadline := time.Now().Add(time.Duration(o.GetDeadlineMs()) * time.Millisecond)
	err := a.fence.Do(ctx, o.GetTerm(), func() error { return a.forwardOrder(ctx, deadline, o) })
	if err != nil {
		st.SendFailure(orderFailure(err))
		return
	}
	st.Send(&innerv1.Reply{Kind: &innerv1.Reply_OrderDone{OrderDone: &innerv1.OrderDone{Term: o.GetTerm()}}})
}

var errDeadlinePassed = errors.New("order came after its deadline")

// forwardOrder sends o to the engine unless its deadline has passed.
func (a *Agent) forwardOrder(ctx context.Context, deadline time.Time, o *innerv1.Order) error {
	if a.engine == nil {
		return errors.Wrap(engine.ErrRejected, "no model engine here")
	}
	if time.Now().After(deadline) {
		return errDeadlinePassed
	}
	r := o.GetRequest()
	return a.engine.Order(ctx, engine.Order{
		Term: o.GetTerm(), Load: r.GetVerb() == kingcupv1.OrderVerb_ORDER_VERB_LOAD,
		Model: r.GetModel(), Adapter: r.GetAdapter(), Version: r.GetVersion(),
	})
}

// orderFailure converts an error of an order to the failure that the peer
// receives.
func orderFailure(err error) error {
	switch {
	case errors.Is(err, lease.ErrStale), errors.Is(err, engine.ErrStaleTerm):
		return failure.NotRun(kingcupv1.Reason_REASON_FENCED, 0, "%v", err)
	case errors.Is(err, errDeadlinePassed):
		return failure.NotRun(kingcupv1.Reason_REASON_DEADLINE, 0, "%v", err)
	case errors.Is(err, engine.ErrRejected):
		return failure.NotRun(kingcupv1.Reason_REASON_INVALID, 0, "%v", err)
	case errors.Is(err, engine.ErrLost):
		return failure.Unknown(kingcupv1.Reason_REASON_ENGINE_LOST, time.Second, "%v", err)
	}
	return failure.NotRun(kingcupv1.Reason_REASON_STORE_UNAVAILABLE, time.Second, "%v", err)
}

// Leave makes the agent refuse new requests. Queued requests that have not
// started fail as not run, so that they can go to another backend server.
func (a *Agent) Leave() {
	a.mu.Lock()
	if a.leaving.Swap(true) {
		a.mu.Unlock()
		return
	}
	var queued []*generation
	for _, g := range a.generations {
		if !g.dispatched && !g.unscheduled {
			queued = append(queued, g)
		}
	}
	a.mu.Unlock()
	a.log.Info("leaving: new requests are refused")
	for _, g := range queued {
		a.withdraw(g, kingcupv1.Reason_REASON_LEAVING, "backend server is leaving")
	}
}

// Leaving reports whether Leave was called.
func (a *Agent) Leaving() bool {
	return a.leaving.Load()
}

// InProgress returns the number of relays, calls and undelivered generations
// that a drain waits for.
func (a *Agent) InProgress() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	n := int(a.activeCalls.Load()) + a.openRelays
	for _, g := range a.generations {
		if g.buf.ReaderCount() == 0 && !(g.buf.Closed() && g.delivered) && !a.isOrphanExpired(g) {
			n++
		}
	}
	return n
}

// isOrphanExpired reports whether g has had no reader for longer than the orphan
// grace period.
func (a *Agent) isOrphanExpired(g *generation) bool {
	return g.unread && a.now()-g.unreadSince > a.cfg.OrphanGracePeriod
}

const drainPollInterval = 20 * time.Millisecond

// Drain calls Leave and waits until every stream in progress is completely
// delivered, or ctx ends. It returns the number still in progress.
func (a *Agent) Drain(ctx context.Context) int {
	a.Leave()
	for {
		n := a.InProgress()
		if n == 0 || !wait.For(ctx, drainPollInterval) {
			return n
		}
	}
}
