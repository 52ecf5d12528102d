// Package agent is the process beside a backend server, through which all of its
// requests pass. It admits, orders and preempts requests, numbers and buffers
// tokens, fences attempts and orders, and reports load.
//
// Lock order: Agent.mu, then a generation's stream.Buffer. Neither is held
// during a call to the engine, a peer or the platform.
package agent

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"kingcupplank.example/kingcup/engine"
	"kingcupplank.example/kingcup/failure"
	"kingcupplank.example/kingcup/internal/confsync"
	"kingcupplank.example/kingcup/internal/wait"
	"kingcupplank.example/kingcup/internal/wire"
	"kingcupplank.example/kingcup/internal/workpool"
	"kingcupplank.example/kingcup/lease"
	innerv1 "kingcupplank.example/kingcup/proto/kingcup/inner/v1"
	kingcupv1 "kingcupplank.example/kingcup/proto/kingcup/v1"
	"kingcupplank.example/kingcup/sched"
)

// Config configures an Agent.
type Config struct {
	Identity wire.Identity
	// BytesPerToken is the assumed length of a token, by which the length of a
	// prompt is converted to tokens of memory.
	BytesPerToken int
	// BufferBytes limits the token text that is kept per generation.
	BufferBytes int
	// OrphanGracePeriod is how long a generation without a reader runs before
	// it is canceled.
	OrphanGracePeriod time.Duration
	// RetentionPeriod is how long a finished generation can still be read.
	RetentionPeriod time.Duration
	// EngineGracePeriod is how long the agent tries to reach an engine again
	// after losing it.
	EngineGracePeriod time.Duration
	// TickInterval is the time between two scheduling decisions.
	TickInterval time.Duration
	// Workers is the number of goroutines that start and cancel streams.
	Workers int
	Policy  sched.Config
	// Services are the names of the plain services behind this agent.
	Services []string
}

// Agent is safe for concurrent use.
type Agent struct {
	cfg     Config
	log     logrus.FieldLogger
	engine  engine.Engine
	service engine.Service
	sync    *confsync.Syncer
	fence   *lease.Fence
	pool    *workpool.Pool
	// epoch is the zero of the policy's clock.
	epoch  time.Time
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	leaving     atomic.Bool
	activeCalls atomic.Int64
	// engineResumes is set if the engine can continue a generation from a
	// prefix of its tokens.
	engineResumes bool
	engineStatus  atomic.Pointer[engine.Status]
	observer      Observer

	mu     sync.Mutex
	policy sched.Policy
	// generations are the generations by id, including finished ones that can
	// still be read.
	generations map[string]*generation
	// scheduled are the generations whose job the policy keeps.
	scheduled map[*sched.Job]*generation
	// acts is the buffer that schedule reuses for the policy's actions.
	acts []sched.Action
	// openByTeam counts the scheduled generations of each team.
	openByTeam map[string]int
	// openRelays counts the relays in progress, which a drain waits for.
	openRelays int
}

// Deps are the dependencies of an Agent. Engine, Service and Observer may be
// nil.
type Deps struct {
	Engine   engine.Engine
	Service  engine.Service
	Sync     *confsync.Syncer
	Fence    *lease.Fence
	Log      logrus.FieldLogger
	Observer Observer
}

// Observer records events as metrics. Its methods must not block.
type Observer interface {
	// Token records the time between a token and the one before it.
	Token(team string, gap time.Duration)
	// Preempted records that the policy has paused a stream.
	Preempted(team string)
}

// New returns an agent; Start makes it ready to serve.
func New(cfg Config, deps Deps) *Agent {
	ctx, cancel := context.WithCancel(context.Background())
	return &Agent{
		cfg:         cfg,
		log:         deps.Log,
		engine:      deps.Engine,
		service:     deps.Service,
		sync:        deps.Sync,
		fence:       deps.Fence,
		observer:    deps.Observer,
		pool:        workpool.New(cfg.Workers),
		epoch:       time.Now(),
		ctx:         ctx,
		cancel:      cancel,
		generations: make(map[string]*generation),
		scheduled:   make(map[*sched.Job]*generation),
		openByTeam:  make(map[string]int),
	}
}

// Start reads the engine's status, adopts the streams that it still runs, and
// starts scheduling. It must return before the agent's address is served.
func (a *Agent) Start(ctx context.Context) error {
	if a.engine != nil {
		if err := a.initEngine(ctx); err != nil {
			return err
		}
		a.wg.Go(a.tickLoop)
		a.wg.Go(a.refreshStatusLoop)
	}
	a.wg.Go(a.sweepLoop)
	return nil
}

// initEngine creates the policy from the engine's status and adopts its running
// streams.
func (a *Agent) initEngine(ctx context.Context) error {
	status, err := a.waitForEngine(ctx)
	if err != nil {
		return err
	}
	a.engineStatus.Store(&status)
	a.engineResumes = status.ResumesFromPrefix
	cfg := a.cfg.Policy
	if cfg.Capacity == 0 {
		cfg.Capacity = int(status.MemoryCapacity)
	}
	// A paused stream can continue only at an engine that accepts a prefix.
	cfg.Disabled.Preemption = cfg.Disabled.Preemption || !a.engineResumes
	a.policy = sched.NewForecasting(cfg)
	return a.adoptRunning(ctx)
}

// waitForEngine returns the engine's first status. It retries until ctx ends,
// because the engine may start later than its agent.
func (a *Agent) waitForEngine(ctx context.Context) (engine.Status, error) {
	for backoff := initialBackoff; ; backoff = min(2*backoff, maxBackoff) {
		status, err := a.engine.ReadStatus(ctx)
		if err == nil {
			return status, nil
		}
		if !wait.For(ctx, backoff) {
			return engine.Status{}, errors.Wrap(err, "read engine status")
		}
	}
}

// Close stops the agent at once, without a drain.
func (a *Agent) Close() {
	a.cancel()
	a.pool.Close()
	a.wg.Wait()
}

func (a *Agent) now() time.Duration {
	return time.Since(a.epoch)
}

func (a *Agent) tickLoop() {
	t := time.NewTicker(a.cfg.TickInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			a.mu.Lock()
			a.schedule()
			a.mu.Unlock()
		case <-a.ctx.Done():
			return
		}
	}
}

const statusInterval = time.Second

func (a *Agent) refreshStatusLoop() {
	t := time.NewTicker(statusInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			if status, err := a.engine.ReadStatus(a.ctx); err == nil {
				a.engineStatus.Store(&status)
			}
		case <-a.ctx.Done():
			return
		}
	}
}

// Handle serves one stream of the inner protocol; it is a wire.Handler.
func (a *Agent) Handle(ctx context.Context, open *innerv1.Open, st *wire.Stream) {
	switch kind := open.GetKind().(type) {
	case *innerv1.Open_Start:
		a.handleStart(ctx, kind.Start, st)
	case *innerv1.Open_Attach:
		a.handleAttach(ctx, kind.Attach, st)
	case *innerv1.Open_Cancel:
		a.handleCancel(kind.Cancel, st)
	case *innerv1.Open_Call:
		a.handleCall(ctx, kind.Call, st)
	case *innerv1.Open_Watch:
		a.handleWatch(ctx, kind.Watch, st)
	case *innerv1.Open_ConfigPull:
		a.sync.ServePull(kind.ConfigPull, st)
	case *innerv1.Open_ConfigPush:
		a.sync.ServePush(kind.ConfigPush, st)
	case *innerv1.Open_Order:
		a.handleOrder(ctx, kind.Order, st)
	case *innerv1.Open_Leave:
		a.Leave()
		st.Send(&innerv1.Reply{Kind: &innerv1.Reply_Done{Done: &innerv1.Done{Found: true, InProgress: uint32(a.InProgress())}}})
	default:
		st.SendFailure(failure.NotRun(kingcupv1.Reason_REASON_PROTOCOL, 0, "unknown kind of stream"))
	}
}
