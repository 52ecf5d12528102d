// Package agent is the process beside a backend server and the only way to it.
// It decides admission, order, memory and preemption, numbers and buffers
// tokens, fences attempts and orders, and reports load.
//
// Lock order: Agent.mu, then a generation's stream.Buffer. Neither is held
// across a call to the engine, a peer or the platform.
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

// Config sets an Agent.
type Config struct {
	Identity wire.Identity
	// BytesPerToken converts prompt bytes to tokens of memory.
	BytesPerToken int
	// BufferBytes bounds the token text kept per generation.
	BufferBytes int
	// OrphanGracePeriod is how long a generation runs on without a reader.
	OrphanGracePeriod time.Duration
	// RetentionPeriod is how long a finished generation can still be read.
	RetentionPeriod time.Duration
	// EngineGracePeriod is how long a lost engine is waited for.
	EngineGracePeriod time.Duration
	// TickInterval is the period of scheduling decisions.
	TickInterval time.Duration
	Workers      int
	Policy       sched.Config
	// Services are the names of the plain services behind this agent.
	Services []string
}

// Agent is safe for concurrent use.
type Agent struct {
	cfg    Config
	log    logrus.FieldLogger
	engine engine.Engine
	calls  engine.Service
	sync   *confsync.Syncer
	fence  *lease.Fence
	pool   *workpool.Pool
	epoch  time.Time
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	leaving  atomic.Bool
	calling  atomic.Int64
	resumes  bool
	models   atomic.Pointer[engine.Status]
	observer Observer

	mu     sync.Mutex
	policy sched.Policy
	gens   map[string]*generation
	jobs   map[*sched.Job]*generation
	acts   []sched.Action
	// open counts the streams of each team that have not ended.
	open map[string]int
	// relays counts open relays, which a drain waits for.
	relays int
}

// Deps are what an Agent needs from outside. Engine or Service may be nil.
type Deps struct {
	Engine   engine.Engine
	Service  engine.Service
	Sync     *confsync.Syncer
	Fence    *lease.Fence
	Log      logrus.FieldLogger
	Observer Observer
}

// Observer is told of events for metrics. Methods must not block.
type Observer interface {
	Token(team string, gap time.Duration)
	Preempted(team string)
}

// New returns an agent that serves after Start.
func New(cfg Config, deps Deps) *Agent {
	ctx, cancel := context.WithCancel(context.Background())
	return &Agent{
		cfg:      cfg,
		log:      deps.Log,
		engine:   deps.Engine,
		calls:    deps.Service,
		sync:     deps.Sync,
		fence:    deps.Fence,
		observer: deps.Observer,
		pool:     workpool.New(cfg.Workers),
		epoch:    time.Now(),
		ctx:      ctx,
		cancel:   cancel,
		gens:     make(map[string]*generation),
		jobs:     make(map[*sched.Job]*generation),
		open:     make(map[string]int),
	}
}

// Start asks the engine what it is and what it still runs, and begins to
// decide. It must return before the agent's address is served.
func (a *Agent) Start(ctx context.Context) error {
	if a.engine != nil {
		if err := a.meetEngine(ctx); err != nil {
			return err
		}
		a.wg.Go(a.tick)
		a.wg.Go(a.refreshLoad)
	}
	a.wg.Go(a.sweep)
	return nil
}

func (a *Agent) meetEngine(ctx context.Context) error {
	load, err := a.firstLoad(ctx)
	if err != nil {
		return err
	}
	a.models.Store(&load)
	a.resumes = load.ResumesFromPrefix
	cfg := a.cfg.Policy
	if cfg.Capacity == 0 {
		cfg.Capacity = int(load.MemoryCapacity)
	}
	// A paused stream can only go on where the engine takes a prefix.
	cfg.Disabled.Preemption = cfg.Disabled.Preemption || !a.resumes
	a.policy = sched.NewForecasting(cfg)
	return a.adopt(ctx)
}

// firstLoad waits for the engine, which may start later than its agent.
func (a *Agent) firstLoad(ctx context.Context) (engine.Status, error) {
	for backoff := firstBackoff; ; backoff = min(2*backoff, maxBackoff) {
		load, err := a.engine.Load(ctx)
		if err == nil {
			return load, nil
		}
		if !wait.For(ctx, backoff) {
			return engine.Status{}, errors.Wrap(err, "engine load")
		}
	}
}

// Close ends the agent at once, as the end of its process does.
func (a *Agent) Close() {
	a.cancel()
	a.pool.Close()
	a.wg.Wait()
}

func (a *Agent) now() time.Duration {
	return time.Since(a.epoch)
}

func (a *Agent) tick() {
	t := time.NewTicker(a.cfg.TickInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			a.mu.Lock()
			a.decide()
			a.mu.Unlock()
		case <-a.ctx.Done():
			return
		}
	}
}

const loadPeriod = time.Second

func (a *Agent) refreshLoad() {
	t := time.NewTicker(loadPeriod)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			if load, err := a.engine.Load(a.ctx); err == nil {
				a.models.Store(&load)
			}
		case <-a.ctx.Done():
			return
		}
	}
}

// Handle answers one stream of the inner protocol; it is a wire.Handler.
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
		st.Fail(failure.NotRun(kingcupv1.Reason_REASON_PROTOCOL, 0, "unknown kind of stream"))
	}
}
