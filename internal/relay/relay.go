package relay

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"kingcupplank.example/kingcup/backends"
	"kingcupplank.example/kingcup/flow"
	"kingcupplank.example/kingcup/internal/clock"
	"kingcupplank.example/kingcup/pacing"
	"kingcupplank.example/kingcup/quarantine"
	"kingcupplank.example/kingcup/retry"
	"kingcupplank.example/kingcup/routing"
)

// Config tunes a Relay.
type Config struct {
	// RevokeTimeout is how long after its removal a key may still be served, 0 for
	// no bound.
	RevokeTimeout time.Duration
	// ApplyTimeout is how long a new version may take to be in force.
	ApplyTimeout time.Duration
	// RetryRatio is the repeats allowed for each request, RetryExtra those that
	// all processes together have besides.
	RetryRatio float64
	RetryExtra int
}

// Observer counts what a Relay does. Its methods must not block.
type Observer interface {
	Finished(team, service string, kind routing.Kind, outcome string)
	FirstByte(team, service string, kind routing.Kind, d time.Duration)
	EventPause(team string, d time.Duration)
	AttemptFailed(service, result string)
	Migrated(result string)
	// ServerCrashed is told of a server that has ended under requests.
	ServerCrashed(service string)
}

// Deps are the parts a Relay works with.
type Deps struct {
	Replica    *routing.Replica
	Registry   *backends.Registry
	Upstream   Upstream
	Now        clock.Source
	Log        logrus.FieldLogger
	Observer   Observer
	Peers      Peers
	Quarantine Quarantine
}

// Quarantine remembers under which requests servers have ended, here and at all other
// processes.
type Quarantine interface {
	// HasRecords reports whether anything is known of any request.
	HasRecords() bool
	// Quarantined reports whether a request must not be sent to servers, and for how much longer.
	Quarantined(id quarantine.ID) (left time.Duration, held bool)
	// TrialDue reports whether a request that is held is to be tried.
	TrialDue(id quarantine.ID) bool
	// StartTrial reports whether a request that is held may be sent to one server all the same, to
	// see whether it is harmful. It says so once.
	StartTrial(id quarantine.ID) bool
	// NearThreshold reports whether a request would be held if one more server ended under it.
	NearThreshold(id quarantine.ID) bool
	// Crashed is told of a server that has ended, and of the requests that ran there.
	Crashed(s backends.Server, ran []quarantine.ID)
	// Answered is told of a request that a server has answered whole.
	Answered(id quarantine.ID)
}

// Peers tells of the other processes that serve callers.
type Peers interface {
	// Count counts the processes, this one included; 0 if not known.
	Count() int
	// ConfigCurrent reports whether they know no newer configuration than the one that this process
	// started with.
	ConfigCurrent() bool
	// AcceptingRequests reports whether another process takes requests.
	AcceptingRequests() bool
	// Notify has them told at once of what has changed here: a generation, or a copy of
	// one, was put on an engine, or a server fails.
	Notify()
	// ReportQueue tells them what waits here for a service; the name is left out.
	ReportQueue(service string, q flow.Contender)
	// ReportUsage tells them what the teams that use a service most have used here, and
	// Usage is what they tell.
	ReportUsage(service string, top []flow.Usage)
	Usage(service string) []flow.Usage
	// Turns is whose turn it is at the servers of a service for a request of some
	// rank, nil while no other process has one waiting that is as urgent.
	Turns(service string, rank int) *flow.Turns
	// MigrationTurns is whose turn it is to copy runs off the servers that leave a failure
	// domain, nil while only this process has such runs.
	MigrationTurns(domain string) *flow.Turns
	// SharedClock is a clock that all processes go by.
	SharedClock() pacing.SharedTime
}

// Relay serves requests. It is safe for concurrent use; mu is taken before the lock
// of a run and those of Others.
type Relay struct {
	cfg atomic.Pointer[Config]
	Deps

	mu      sync.Mutex
	budgets map[string]*retry.Budget
	runs    map[string]map[*run]struct{}
	lanes   map[string]*lane
	lines   map[string]*line
	// inquests are those of the servers whose answers broke of late.
	inquests map[life]*inquest
	active   int
	// jobs are the requests on their way.
	jobs map[*job]struct{}
	// pace is the usual time between two events of a stream.
	pace time.Duration
	// speed is the prompt tokens a second that an engine reads.
	speed   float64
	outputs *outputs
	// ends is when this process will be gone, zero while none is known; from
	// lastCall on nothing that would outlast it is taken.
	ends, lastCall time.Time
}

// New returns a Relay.
func New(cfg Config, deps Deps) *Relay {
	r := &Relay{
		Deps:     deps,
		budgets:  make(map[string]*retry.Budget),
		runs:     make(map[string]map[*run]struct{}),
		lanes:    make(map[string]*lane),
		lines:    make(map[string]*line),
		inquests: make(map[life]*inquest),
		jobs:     make(map[*job]struct{}),
		pace:     startPace,
		speed:    startSpeed,
		outputs:  newOutputs(),
	}
	if r.Quarantine == nil {
		r.Quarantine = noSuspects{}
	}
	r.Configure(cfg)
	return r
}

// Configure changes the tuning.
func (r *Relay) Configure(cfg Config) { r.cfg.Store(&cfg) }

const (
	// staleRetry is when a caller may come back to be served by another VM.
	staleRetry = 100 * time.Millisecond
	// noConfigRetry is the wait for a first configuration; a VM that starts has
	// one after a few answers of the store.
	noConfigRetry = 300 * time.Millisecond
	// revokeMargin is the part of the bound on removed keys after which an
	// unconfirmed key is refused; the rest covers timers that fire late.
	revokeMargin = 0.85
)

// job is a request on its way.
type job struct {
	*Request
	route    *routing.Route
	service  string
	engine   *routing.Engine
	team     string
	priority int
	// regions are where the request may run.
	regions  routing.Regions
	arrived  time.Duration
	deadline time.Time
	version  uint64
	// tried are servers not to ask again, ran how many may have run the request.
	tried []string
	ran   int
	// sent counts the attempts, reached those that may have arrived at a server.
	sent, reached int
	// trial says that the request is held, and is sent to one server to see whether it is
	// harmful.
	trial bool
	// hasAnswer says that a server's answer is at hand if no other one gives a better.
	hasAnswer bool
	// broken says that the answer of a server broke off.
	broken bool
	// progress is how far a stream came.
	progress progress
	// outputs estimates how long generations become.
	outputs *outputs
	log     logrus.FieldLogger
	// answering is set once a server has begun to answer, cut ends the request before.
	answering atomic.Bool
	cut       context.CancelCauseFunc
}

// progress is how far a stream came, for its last log line.
type progress struct {
	events int
	// first is the time to the first event, longest the longest pause between two.
	first, longest time.Duration
}

func (j *job) left() time.Duration { return time.Until(j.deadline) }

// Serve answers one request. ctx ends when the caller leaves.
func (r *Relay) Serve(ctx context.Context, req *Request, out Responder) {
	r.count(1)
	defer r.count(-1)
	j, refusal := r.admit(req)
	if refusal != nil {
		r.Log.WithFields(r.refused(req, refusal)).Info("refused")
		r.Observer.Finished("", "", 0, string(refusal.Reason))
		out.Refuse(*refusal)
		return
	}
	ctx, j.cut = context.WithCancelCause(ctx)
	defer j.cut(nil)
	ctx, cancel := context.WithDeadline(ctx, j.deadline)
	defer cancel()
	r.begin(j)
	defer r.done(j)
	var outcome string
	if j.route.Kind == routing.Stream {
		outcome = r.stream(ctx, j, out)
	} else {
		outcome = r.plain(ctx, j, out)
	}
	r.Observer.Finished(j.team, j.service, j.route.Kind, outcome)
	j.log.WithFields(j.summary(outcome, r.Now())).Info("finished")
}

// summary is what the last log line of a request says.
func (j *job) summary(outcome string, now time.Duration) logrus.Fields {
	f := logrus.Fields{"outcome": outcome, "sent": j.sent, "ran": j.ran, "took_ms": (now - j.arrived).Milliseconds()}
	if g := j.Generation; g != nil {
		f["prompt"], f["max_output"], f["hint"] = g.PromptTokens, g.MaxOutput, g.EstimatedOutput
		f["events"], f["first_ms"], f["pause_ms"] = j.progress.events, j.progress.first.Milliseconds(), j.progress.longest.Milliseconds()
	}
	return f
}

func (r *Relay) count(n int) {
	r.mu.Lock()
	r.active += n
	r.mu.Unlock()
}

func (r *Relay) begin(j *job) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.jobs[j] = struct{}{}
}

func (r *Relay) done(j *job) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.jobs, j)
}

// InProgress counts the requests that have no final answer yet.
func (r *Relay) InProgress() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.active
}

// refused is what the log says of a request that is refused before it is placed.
func (r *Relay) refused(req *Request, f *Refusal) logrus.Fields {
	out := logrus.Fields{"request": req.ID, "reason": f.Reason, "path": req.Path}
	if f.Content != "" {
		out["content"] = f.Content
	}
	if cfg, confirmed := r.Replica.Current(); cfg != nil {
		out["config"], out["config_age_ms"] = cfg.Version, (r.Now() - confirmed).Milliseconds()
	}
	return out
}

// admit matches a request against the configuration in force.
func (r *Relay) admit(req *Request) (*job, *Refusal) {
	cfg, confirmed := r.Replica.Current()
	if cfg == nil {
		return nil, &Refusal{Reason: ReasonNoConfig, RetryAfter: noConfigRetry}
	}
	now := r.Now()
	age := now - confirmed
	route := cfg.Match(req.Host, req.Path)
	if route == nil {
		// Behind its time this process may not know a route that others serve.
		if r.cfg.Load().ApplyTimeout > 0 && age > r.cfg.Load().ApplyTimeout {
			return nil, &Refusal{Reason: ReasonStale, RetryAfter: staleRetry}
		}
		return nil, &Refusal{Reason: ReasonNoRoute}
	}
	j := &job{Request: req, route: route, arrived: now, version: cfg.Version, priority: route.Priority, regions: route.Regions, outputs: r.outputs}
	if cfg.NeedsKey(route) {
		if refusal := r.authorize(j, cfg, age); refusal != nil {
			return nil, refusal
		}
	}
	j.service = route.PickService(rand.Float64())
	if s := cfg.Service(j.service); s != nil {
		j.engine = s.Engine
	}
	if j.engine != nil && req.Generation != nil && req.Generation.PromptTokens > j.engine.MemoryTokens {
		return nil, &Refusal{Reason: ReasonTooLarge}
	}
	if left, barred := r.barred(j); barred {
		return nil, &Refusal{Reason: ReasonHarmful, RetryAfter: left, Content: j.id().String()}
	}
	j.deadline = time.Now().Add(allowed(req.Timeout, route.Timeout))
	if r.outlasts(j) {
		return nil, &Refusal{Reason: ReasonStopping, RetryAfter: r.moveOn()}
	}
	j.log = r.Log.WithFields(logrus.Fields{
		"request": req.ID, "route": route.Name, "service": j.service, "team": j.team,
		"config": cfg.Version, "config_age_ms": age.Milliseconds(),
	})
	return j, nil
}

// authorize finds the team of the request's key.
func (r *Relay) authorize(j *job, cfg *routing.Config, age time.Duration) *Refusal {
	// A key that was removed since the last confirmation would still be found, so
	// beyond the bound no key is trusted; another VM may know better.
	if r.KeysStale(age) || !r.Peers.ConfigCurrent() {
		return &Refusal{Reason: ReasonStale, RetryAfter: staleRetry}
	}
	team := cfg.TeamByKey(j.APIKey)
	if team == nil {
		if j.APIKey != "" && r.cfg.Load().ApplyTimeout > 0 && age > r.cfg.Load().ApplyTimeout {
			return &Refusal{Reason: ReasonStale, RetryAfter: staleRetry}
		}
		return &Refusal{Reason: ReasonBadKey}
	}
	j.team, j.regions = team.Name, j.regions.Intersect(team.Regions)
	if team.HasPriority {
		j.priority = team.Priority
	}
	return nil
}

// KeysStale reports whether a configuration confirmed age ago is too old to
// trust keys.
func (r *Relay) KeysStale(age time.Duration) bool {
	bound := r.cfg.Load().RevokeTimeout
	return bound > 0 && age > time.Duration(revokeMargin*float64(bound))
}

// Ready reports whether requests with keys can be served.
func (r *Relay) Ready() bool {
	cfg, confirmed := r.Replica.Current()
	return cfg != nil && !r.KeysStale(r.Now()-confirmed) && r.Peers.ConfigCurrent()
}

// defaultWait bounds requests for which neither caller nor route says how long
// they may take.
const defaultWait = 5 * time.Minute

func allowed(wait, timeout time.Duration) time.Duration {
	switch {
	case wait <= 0 && timeout <= 0:
		return defaultWait
	case wait <= 0:
		return timeout
	case timeout <= 0:
		return wait
	}
	return min(wait, timeout)
}
