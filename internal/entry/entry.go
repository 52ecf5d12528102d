// Package entry is the process that callers and operators talk to. It checks
// requests against the configuration, places them at agents, relays streams and
// commits configuration. It keeps nothing: any entry can continue any stream.
//
// Lock order: Entry.mu is a leaf.
package entry

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/grpc"

	"kingcupplank.example/kingcup/claim"
	"kingcupplank.example/kingcup/conf"
	"kingcupplank.example/kingcup/failure"
	"kingcupplank.example/kingcup/internal/confsync"
	"kingcupplank.example/kingcup/internal/link"
	"kingcupplank.example/kingcup/internal/wait"
	"kingcupplank.example/kingcup/internal/wire"
	"kingcupplank.example/kingcup/lease"
	"kingcupplank.example/kingcup/placement"
	innerv1 "kingcupplank.example/kingcup/proto/kingcup/inner/v1"
	kingcupv1 "kingcupplank.example/kingcup/proto/kingcup/v1"
	"kingcupplank.example/kingcup/retry"
	"kingcupplank.example/kingcup/vmlist"
)

// Config sets an Entry.
type Config struct {
	Identity wire.Identity
	// ListInterval is the period at which the platform's VM list is read.
	ListInterval time.Duration
	// AgentLinks bounds the agents that are watched, over all models.
	AgentLinks int
	// EntryLinks is how many other entries are watched.
	EntryLinks int
	// AcceptTimeout is how long an agent may take to accept a request.
	AcceptTimeout time.Duration
	// ReattachTimeout is how long a lost agent is tried before a stream is moved
	// to another backend server.
	ReattachTimeout time.Duration
	// MaxStreamBytes bounds the token text kept per stream, with which it can be
	// moved.
	MaxStreamBytes int
	// PropagationTimeout bounds the wait for witnesses of a change.
	PropagationTimeout time.Duration
	// MaxServersPerRequest bounds the backend servers that one request is offered to.
	MaxServersPerRequest int
	// MaxRequests bounds the requests in progress, and so memory.
	MaxRequests int
	// Random draws for placement; nil takes the process's source.
	Random func() uint64
}

// Deps are what an Entry needs from outside.
type Deps struct {
	Sync     *confsync.Syncer
	Store    *conf.Store
	Links    *link.Manager
	Claims   *claim.Claims
	Leases   *lease.Manager
	VMs      vmlist.Lister
	Log      logrus.FieldLogger
	Observer Observer
}

// Observer is told of events for metrics and burn rates. Methods must not
// block; an Entry without one reports nothing.
type Observer interface {
	FirstToken(team string, d time.Duration)
	BetweenTokens(team string, d time.Duration)
	Finished(team string, outcome kingcupv1.Outcome, reason kingcupv1.Reason)
}

// Entry serves callers and operators. It is safe for concurrent use.
type Entry struct {
	kingcupv1.UnimplementedCallerServiceServer
	kingcupv1.UnimplementedOperatorServiceServer

	cfg    Config
	sync   *confsync.Syncer
	store  *conf.Store
	links  *link.Manager
	claims *claim.Claims
	leases *lease.Manager
	vms    vmlist.Lister
	log    logrus.FieldLogger
	seen   Observer
	place  placement.Policy

	leaving atomic.Bool
	active  atomic.Int64

	mu     sync.Mutex
	listed map[string]vmlist.VM
	// writers are the entries that write claims; none in a small system.
	writers []string
	budgets map[string]*retry.Budget
}

// New returns an entry; Run keeps its membership up to date.
func New(cfg Config, deps Deps) *Entry {
	if cfg.Random == nil {
		cfg.Random = rand.Uint64
	}
	e := &Entry{
		cfg:     cfg,
		sync:    deps.Sync,
		store:   deps.Store,
		links:   deps.Links,
		claims:  deps.Claims,
		leases:  deps.Leases,
		vms:     deps.VMs,
		log:     deps.Log,
		seen:    deps.Observer,
		place:   placement.Default(),
		listed:  make(map[string]vmlist.VM),
		budgets: make(map[string]*retry.Budget),
	}
	if e.claims != nil {
		e.claims.SetForwarder(e.writer)
	}
	return e
}

// Register adds the entry's services to a gRPC server.
func (e *Entry) Register(s grpc.ServiceRegistrar) {
	kingcupv1.RegisterCallerServiceServer(s, e)
	kingcupv1.RegisterOperatorServiceServer(s, e)
}

// Ready reports whether the platform's balancer should send callers here.
func (e *Entry) Ready() bool {
	return !e.leaving.Load() && e.sync.Ready()
}

// Leave ends new work; requests in progress go on.
func (e *Entry) Leave() {
	e.leaving.Store(true)
}

// InProgress is the number of requests that a drain waits for.
func (e *Entry) InProgress() int {
	return int(e.active.Load())
}

const drainPoll = 20 * time.Millisecond

// Shutdown leaves and waits until every request in progress is answered, or ctx
// ends. It returns what was left in progress.
func (e *Entry) Shutdown(ctx context.Context) int {
	e.Leave()
	for {
		n := e.InProgress()
		if n == 0 || !wait.For(ctx, drainPoll) {
			return n
		}
	}
}

// begin admits a request to this entry; the returned function ends it.
func (e *Entry) begin() (func(), error) {
	// active rises before leaving is looked at: a drain that begins in between
	// sees the request and waits for it.
	active := e.active.Add(1)
	end := func() { e.active.Add(-1) }
	if e.leaving.Load() {
		end()
		return nil, failure.NotRun(kingcupv1.Reason_REASON_LEAVING, retrySoon, "entry is leaving")
	}
	if e.cfg.MaxRequests > 0 && active > int64(e.cfg.MaxRequests) {
		end()
		return nil, failure.NotRun(kingcupv1.Reason_REASON_OVERLOADED, time.Second, "entry has %d requests in progress", e.cfg.MaxRequests)
	}
	if !e.sync.Ready() {
		end()
		return nil, failure.NotRun(kingcupv1.Reason_REASON_NOT_READY, time.Second, "configuration is not confirmed")
	}
	return end, nil
}

const retrySoon = 100 * time.Millisecond

// Handle answers one stream of the inner protocol, from other entries.
func (e *Entry) Handle(ctx context.Context, open *innerv1.Open, st *wire.Stream) {
	switch kind := open.GetKind().(type) {
	case *innerv1.Open_Watch:
		e.handleWatch(ctx, kind.Watch, st)
	case *innerv1.Open_ConfigPull:
		e.sync.ServePull(kind.ConfigPull, st)
	case *innerv1.Open_ConfigPush:
		e.sync.ServePush(kind.ConfigPush, st)
	case *innerv1.Open_ClaimPut:
		e.handleClaimPut(ctx, kind.ClaimPut, st)
	default:
		st.SendFailure(failure.NotRun(kingcupv1.Reason_REASON_PROTOCOL, 0, "an entry does not serve this"))
	}
}

func (e *Entry) handleWatch(ctx context.Context, w *innerv1.Watch, st *wire.Stream) {
	period := max(time.Duration(w.GetPeriodMs())*time.Millisecond, drainPoll)
	for {
		beat := &innerv1.Heartbeat{
			FailureDomain: e.cfg.Identity.FailureDomain,
			Leaving:       e.leaving.Load(),
			ConfigVersion: e.sync.Replica().Version(),
		}
		if err := st.Send(&innerv1.Reply{Kind: &innerv1.Reply_Heartbeat{Heartbeat: beat}}); err != nil {
			return
		}
		if !wait.For(ctx, period) {
			return
		}
	}
}

func (e *Entry) retryAllowed(team string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.budget(team).TryTake()
}

func (e *Entry) firstTry(team string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.budget(team).RecordFirstTry()
}

// Retries may add a fifth to a team's load, after a burst of ten.
const (
	retryRatio = 0.2
	retryBurst = 10
)

func (e *Entry) budget(team string) *retry.Budget {
	b := e.budgets[team]
	if b == nil {
		b = &retry.Budget{Ratio: retryRatio, Max: retryBurst}
		e.budgets[team] = b
	}
	return b
}

func (e *Entry) finished(team string, err error) {
	if e.seen == nil {
		return
	}
	if err == nil {
		e.seen.Finished(team, kingcupv1.Outcome_OUTCOME_ANSWERED, kingcupv1.Reason_REASON_UNSPECIFIED)
		return
	}
	f := failure.FromError(err)
	e.seen.Finished(team, f.Outcome, f.Reason)
}
