package app

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"go.uber.org/dig"

	"kingcupplank.example/kingcup/engine"
	"kingcupplank.example/kingcup/internal/admin"
	"kingcupplank.example/kingcup/internal/agent"
	"kingcupplank.example/kingcup/internal/confsync"
	"kingcupplank.example/kingcup/internal/entry"
	"kingcupplank.example/kingcup/internal/metrics"
	"kingcupplank.example/kingcup/internal/wire"
	"kingcupplank.example/kingcup/lease"
	"kingcupplank.example/kingcup/sched"
)

// AgentOptions configures StartAgent. The fields correspond to those of agent.Config.
type AgentOptions struct {
	CommonOptions
	Services          []string
	BytesPerToken     int
	BufferBytes       int
	OrphanGracePeriod time.Duration
	RetentionPeriod   time.Duration
	EngineGracePeriod time.Duration
	Policy            sched.Config
}

// DefaultAgentOptions returns the default options of an agent with the given common options.
func DefaultAgentOptions(c CommonOptions) AgentOptions {
	return AgentOptions{
		CommonOptions: c, BytesPerToken: 4, BufferBytes: 256 << 10,
		OrphanGracePeriod: 15 * time.Second, RetentionPeriod: time.Minute, EngineGracePeriod: 10 * time.Second,
	}
}

// Agent is a running agent with its listeners and background tasks.
type Agent struct {
	Agent  *agent.Agent
	Sync   *confsync.Syncer
	inner  *wire.Server
	admin  *admin.Server
	cancel context.CancelFunc
	wg     sync.WaitGroup

	closeOnce sync.Once
}

const (
	agentWorkers      = 16
	agentTickInterval = 20 * time.Millisecond
)

// Backend is the backend server behind an agent: a model engine, a plain service or both.
// Fields may be nil.
type Backend struct {
	Engine  engine.Engine
	Service engine.Service
}

// StartAgent starts an agent, which runs until Close. It returns once the engine has
// answered. ctx bounds only this start.
func StartAgent(ctx context.Context, o AgentOptions, b Backend, p Platform, network wire.Network, log logrus.FieldLogger) (*Agent, error) {
	c := dig.New()
	if err := provideCommon(c, o.CommonOptions, p, log, network); err != nil {
		return nil, err
	}
	err := provideAll(c, []any{
		func(p Platform) *lease.Fence { return lease.NewFence(p.Table, entry.OrderLeaseName(o.Name)) },
		func(s *confsync.Syncer, fence *lease.Fence, log logrus.FieldLogger, rec *metrics.Recorder) *agent.Agent {
			return agent.New(agent.Config{
				Identity: o.Identity(), BytesPerToken: o.BytesPerToken, BufferBytes: o.BufferBytes,
				OrphanGracePeriod: o.OrphanGracePeriod, RetentionPeriod: o.RetentionPeriod, EngineGracePeriod: o.EngineGracePeriod,
				TickInterval: agentTickInterval, Workers: agentWorkers, Policy: o.Policy, Services: o.Services,
			}, agent.Deps{Engine: b.Engine, Service: b.Service, Sync: s, Fence: fence, Log: log, Observer: rec})
		},
	})
	if err != nil {
		return nil, err
	}
	var started *Agent
	err = c.Invoke(func(a *agent.Agent, s *confsync.Syncer, rec *metrics.Recorder) error {
		started = &Agent{Agent: a, Sync: s}
		return started.serve(ctx, o, network, rec)
	})
	return started, dig.RootCause(err)
}

func (r *Agent) serve(ctx context.Context, o AgentOptions, network wire.Network, rec *metrics.Recorder) error {
	// The agent first fetches the running streams from the engine and only then accepts
	// connections. An entry that reattached earlier would get the reply that its stream is
	// unknown, and would continue it at another backend server although the engine still
	// runs it.
	if err := r.Agent.Start(ctx); err != nil {
		return err
	}
	inner, err := network.Listen(o.InnerAddress)
	if err != nil {
		return errors.Wrap(err, "inner address")
	}
	rec.ExportScheduler(r.Agent.Stats)
	r.inner = wire.NewServer(inner, r.Agent.Handle, o.limits(1, callerFiles))
	ready := func() bool { return !r.Agent.Leaving() && r.Sync.Ready() }
	if r.admin, err = startAdmin(o.AdminAddress, network, rec, ready, &r.wg); err != nil {
		inner.Close()
		return err
	}
	runCtx, cancel := context.WithCancel(context.Background())
	r.cancel = cancel
	r.wg.Go(r.inner.Serve)
	r.wg.Go(func() { r.Sync.Run(runCtx) })
	return nil
}

// Shutdown refuses new work, waits until the streams in progress have been delivered or
// ctx ends, and closes the agent. It returns the number of streams that were still in
// progress.
func (r *Agent) Shutdown(ctx context.Context) int {
	remaining := r.Agent.Drain(ctx)
	r.Close()
	return remaining
}

// Close stops the agent at once, as if its process had exited. Further calls have no
// effect.
func (r *Agent) Close() {
	r.closeOnce.Do(r.close)
}

func (r *Agent) close() {
	r.cancel()
	r.Agent.Close()
	r.inner.Close()
	if r.admin != nil {
		r.admin.Close()
	}
	r.wg.Wait()
}
