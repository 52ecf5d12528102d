// Package entry implements the process that serves callers and operators. It
// validates requests against the configuration, places them at agents, relays
// streams and commits configuration changes. It stores no durable state: any
// entry can continue any stream.
//
// Lock order: no other lock is acquired while Entry.mu is locked.
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

// Config configures an Entry.
type Config struct {
	Identity wire.Identity
	// ListInterval is the mean interval between two reads of the platform's VM
	// list. A long list is read less often, see ListIntervalPerVM.
	ListInterval time.Duration
	// AgentLinks is the number of agents to watch, divided over all models.
	AgentLinks int
	// EntryLinks is the number of other entries to watch.
	EntryLinks int
	// AcceptTimeout bounds the time that an agent takes to accept a request.
	AcceptTimeout time.Duration
	// ReattachTimeout bounds the attempts to reattach to an agent whose stream
	// broke, before the stream fails over to another backend server.
	ReattachTimeout time.Duration
	// MaxStreamBytes bounds the token text buffered per stream. A stream whose
	// text exceeds it can't fail over.
	MaxStreamBytes int
	// PropagationTimeout bounds the wait until witnesses have a change.
	PropagationTimeout time.Duration
	// MaxServersPerRequest bounds the number of backend servers to which a request
	// is offered until one accepts it. The count starts again if the accepted
	// request has to be placed once more.
	MaxServersPerRequest int
	// MaxRequests bounds the requests in progress and thereby the memory they
	// use; 0 means no bound.
	MaxRequests int
	// Random supplies random numbers for placement; nil means math/rand/v2.
	Random func() uint64
}

// Deps contains the dependencies of an Entry. Observer may be nil.
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

// Observer receives events for metrics and burn rates. Its methods must not
// block.
type Observer interface {
	FirstToken(team string, d time.Duration)
	BetweenTokens(team string, d time.Duration)
	Finished(team string, outcome kingcupv1.Outcome, reason kingcupv1.Reason)
}

// Entry serves callers and operators. It is safe for concurrent use.
type Entry struct {
	kingcupv1.UnimplementedCallerServiceServer
	kingcupv1.UnimplementedOperatorServiceServer

	cfg      Config
	sync     *confsync.Syncer
	store    *conf.Store
	links    *link.Manager
	claims   *claim.Claims
	leases   *lease.Manager
	vms      vmlist.Lister
	log      logrus.FieldLogger
	observer Observer
	policy   placement.Policy

	leaving atomic.Bool
	// active counts the requests in progress.
	active atomic.Int64

	mu        sync.Mutex
	vmsByName map[string]vmlist.VM
	// claimWriters names the entries that write claims. It is empty in a small
	// system, where every entry writes its own.
	claimWriters []string
	retryBudgets map[string]*retry.Budget
	// started is when this process started.
	started time.Time
}

// New returns an entry. Run keeps its VM list and links up to date.
func New(cfg Config, deps Deps) *Entry {
	if cfg.Random == nil {
		cfg.Random = rand.Uint64
	}
	e := &Entry{
		cfg:          cfg,
		sync:         deps.Sync,
		store:        deps.Store,
		links:        deps.Links,
		claims:       deps.Claims,
		leases:       deps.Leases,
		vms:          deps.VMs,
		log:          deps.Log,
		observer:     deps.Observer,
		policy:       placement.Default(),
		vmsByName:    make(map[string]vmlist.VM),
		retryBudgets: make(map[string]*retry.Budget),
		started:      time.Now(),
	}
	if e.claims != nil {
		e.claims.SetForwarder(e.claimWriter)
	}
	return e
}

// Register adds the entry's services to a gRPC server.
func (e *Entry) Register(s grpc.ServiceRegistrar) {
	kingcupv1.RegisterCallerServiceServer(s, e)
	kingcupv1.RegisterOperatorServiceServer(s, e)
}

// Ready reports whether the platform's load balancer should send callers to
// this entry.
func (e *Entry) Ready() bool {
	return !e.leaving.Load() && e.sync.Ready()
}

// Leave makes the entry refuse new requests. Requests in progress continue.
func (e *Entry) Leave() {
	e.leaving.Store(true)
}

// InProgress returns the number of requests that Shutdown waits for.
func (e *Entry) InProgress() int {
	return int(e.active.Load())
}

// drainPollInterval is the interval at which Shutdown checks for requests in
// progress. It is also the shortest heartbeat interval that a peer can request.
const drainPollInterval = 20 * time.Millisecond

// Shutdown calls Leave and waits until no request is in progress or ctx ends.
// It returns the number of requests still in progress.
func (e *Entry) Shutdown(ctx context.Context) int {
	e.Leave()
	for {
		n := e.InProgress()
		if n == 0 || !wait.For(ctx, drainPollInterval) {
			return n
		}
	}
}

// admit counts a request as in progress and returns the function that ends the
// count. It returns an error if the entry can't serve requests now.
func (e *Entry) admit() (func(), error) {
	// active is incremented before leaving is read, so that a Shutdown that
	// starts in between counts the request and waits for it.
	active := e.active.Add(1)
	release := func() { e.active.Add(-1) }
	if e.leaving.Load() {
		release()
		return nil, failure.NotRun(kingcupv1.Reason_REASON_LEAVING, shortRetryAfter, "entry is leaving")
	}
	if e.cfg.MaxRequests > 0 && active > int64(e.cfg.MaxRequests) {
		release()
		return nil, failure.NotRun(kingcupv1.Reason_REASON_OVERLOADED, time.Second, "entry has %d requests in progress", e.cfg.MaxRequests)
	}
	if !e.sync.Ready() {
		release()
		return nil, failure.NotRun(kingcupv1.Reason_REASON_NOT_READY, time.Second, "configuration is not confirmed")
	}
	return release, nil
}

// shortRetryAfter is the shortest retry delay sent to callers.
const shortRetryAfter = 100 * time.Millisecond

// Handle serves one stream of the inner protocol, opened by another entry.
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

// handleWatch sends heartbeats on a stream until ctx ends or the stream breaks.
func (e *Entry) handleWatch(ctx context.Context, w *innerv1.Watch, st *wire.Stream) {
	interval := max(time.Duration(w.GetPeriodMs())*time.Millisecond, drainPollInterval)
	for {
		heartbeat := &innerv1.Heartbeat{
			FailureDomain: e.cfg.Identity.FailureDomain,
			Leaving:       e.leaving.Load(),
			ConfigVersion: e.sync.Replica().Version(),
		}
		if err := st.Send(&innerv1.Reply{Kind: &innerv1.Reply_Heartbeat{Heartbeat: heartbeat}}); err != nil {
			return
		}
		if !wait.For(ctx, interval) {
			return
		}
	}
}

// retryAllowed takes one retry from the team's budget. It returns false if the
// budget is used up.
func (e *Entry) retryAllowed(team string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	b, now := e.retryBudget(team), time.Since(e.started)
	b.UpdateShare(teamRetries, retry.View{Gateways: 1, Informed: now >= retry.DefaultWindow, Whole: true}, now)
	return b.TryTake(teamRetries, retry.Repeat, now)
}

// recordFirstTry adds a request to the team's retry budget.
func (e *Entry) recordFirstTry(team string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.retryBudget(team).RecordFirst(teamRetries, time.Since(e.started))
}

// teamRetries bound the retries of a team at one entry: to 20% of its requests, and 10 more in a window.
var teamRetries = retry.Settings{Ratio: 0.2, Extra: 10}

// retryBudget returns the retry budget of a team. e.mu must be locked.
func (e *Entry) retryBudget(team string) *retry.Budget {
	b := e.retryBudgets[team]
	if b == nil {
		b = &retry.Budget{}
		e.retryBudgets[team] = b
	}
	return b
}

// recordOutcome reports the outcome of a request to the observer.
func (e *Entry) recordOutcome(team string, err error) {
	if e.observer == nil {
		return
	}
	if err == nil {
		e.observer.Finished(team, kingcupv1.Outcome_OUTCOME_ANSWERED, kingcupv1.Reason_REASON_UNSPECIFIED)
		return
	}
	fail := failure.FromError(err)
	e.observer.Finished(team, fail.Outcome, fail.Reason)
}
