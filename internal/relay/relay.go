package relay

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"kingcupplank.example/kingcup/backends"
	"kingcupplank.example/kingcup/concurrency"
	"kingcupplank.example/kingcup/flow"
	"kingcupplank.example/kingcup/internal/clock"
	"kingcupplank.example/kingcup/origin"
	"kingcupplank.example/kingcup/pace"
	"kingcupplank.example/kingcup/pacing"
	"kingcupplank.example/kingcup/quarantine"
	"kingcupplank.example/kingcup/retry"
	"kingcupplank.example/kingcup/routing"
	"kingcupplank.example/kingcup/shutdown"
)

// Config holds the settings of a Relay.
type Config struct {
	// RevokeTimeout bounds how long a key may still be accepted after its removal, 0 for no
	// bound.
	RevokeTimeout time.Duration
	// ApplyTimeout bounds how long a new configuration version may take to be in force.
	ApplyTimeout time.Duration
	// RetryRatio is the number of retries allowed per request. RetryExtra is the number of
	// further retries that all gateways share.
	RetryRatio float64
	RetryExtra int
	// RetryWindow is the window in which the retries are counted.
	RetryWindow time.Duration
	// DomainFailures is how many failure domains may fail at the same time. From 1 on, standby
	// copies are evictable, see the package standby.
	DomainFailures int
	// DrainTime is how long a server may still receive requests after it has announced that it is leaving, 0 for no
	// bound.
	DrainTime time.Duration
	// ResumptionWindow bounds the time for which callers may resume a stream after its first event,
	// origin.MaxLifetime if 0.
	ResumptionWindow time.Duration
}

// Deps are the dependencies of a Relay.
type Deps struct {
	Replica    *routing.Replica
	Registry   *backends.Registry
	Upstream   Upstream
	Now        clock.Source
	Log        logrus.FieldLogger
	Observer   Observer
	Peers      Peers
	Quarantine Quarantine
	// Origins knows where the streams began that callers resume, nil for none.
	Origins Origins
	// Limits receives the decisions of shared limits for metrics, nil for none.
	Limits LimitObserver
	// Link is the link of this VM, nil for one without load.
	Link LinkState
}

// Quarantine decides which requests are quarantined, from the crashes that all gateways have
// observed. Requests are given by their suspects: their whole content and the parts of their prompts.
type Quarantine interface {
	// HasRecords reports whether there is a record of any suspect.
	HasRecords() bool
	// Quarantined reports whether a request is quarantined, because of which suspect, and after what
	// time its caller should retry.
	Quarantined(suspects []quarantine.ID) (v quarantine.Verdict, quarantined bool)
	// TrialDue reports whether a trial of a quarantined request is due.
	TrialDue(suspects []quarantine.ID) bool
	// StartTrial reports whether a quarantined request may be sent to one server, to find out
	// whether it crashes servers. A call that returns true starts the trial.
	StartTrial(suspects []quarantine.ID) bool
	// NearThreshold reports whether one more crash would quarantine a request, or whether it is
	// quarantined already.
	NearThreshold(suspects []quarantine.ID) bool
	// Crashed records that a server crashed while it ran requests with these suspects.
	Crashed(s backends.Server, suspects []quarantine.ID)
	// Answered records that a server has answered a request with these suspects completely.
	Answered(suspects []quarantine.ID)
}

// Origins knows which software versions began the streams that callers may resume, at this gateway or
// at another.
type Origins interface {
	// Record records the origin of a stream for its lifetime, and sends it to the gateways that own it. span is
	// that of OriginQuery: whether there was one version only is asked on the way. It does not block.
	Record(id origin.ID, o origin.Origin, lifetime, span time.Duration)
	// Lookup returns the origin of a stream, and from whom it was learned. q.Service is the service of the
	// request that resumes the stream.
	Lookup(ctx context.Context, q OriginQuery) OriginAnswer
}

// OriginQuery asks for the origin of a stream.
type OriginQuery struct {
	ID      origin.ID
	Service string
	// Span is the time within which the stream's version was listed, Lifetime that for which the
	// answer is kept.
	Span, Lifetime time.Duration
}

// OriginAnswer answers an OriginQuery.
type OriginAnswer struct {
	Origin origin.Origin
	Known  bool
	// OnlyVersion is the version of all servers of the service that another gateway has seen within the
	// Span, empty if none has seen them for as long or there were several.
	OnlyVersion string
	// From is the source of the answer, for the log.
	From string
}

// Peers gives access to the other gateways.
type Peers interface {
	// Count returns the number of gateways, including this one; 0 if unknown.
	Count() int
	// ConfigCurrent reports whether no peer knows a newer configuration than the one that this
	// gateway started with.
	ConfigCurrent() bool
	// AcceptingRequests reports whether another gateway accepts requests.
	AcceptingRequests() bool
	// Notify sends the state of this gateway to its peers without delay. It is called when a server
	// fails and when retries are taken that the peers don't know of.
	Notify()
	// NotifyLoads sends it as soon as the bound on the traffic between gateways allows. It is called when a
	// generation or a copy of one was put on an engine.
	NotifyLoads()
	// ReportQueue reports to the peers what is queued here for a service; q needs no name.
	ReportQueue(service string, q flow.Contender)
	// ReportUsage reports to the peers the usage of the teams that use a service most here. Usage
	// returns what the peers have reported.
	ReportUsage(service string, top []flow.Usage)
	Usage(service string) []flow.Usage
	// ReportLightUsage and LightUsage are the same for the part of the usage that is by light
	// generations, see package admission.
	ReportLightUsage(service string, top []flow.Usage)
	LightUsage(service string) []flow.Usage
	// Queues returns what the peers have reported of their queues for a service.
	Queues(service string) []flow.Contender
	// Turns returns which gateway may use the servers of a service, for a request of a rank. It
	// is nil while no peer has an equally urgent request queued.
	Turns(service string, rank int) *flow.Turns
	// MigrationTurns returns which gateway may copy runs off the servers that leave a failure
	// domain. It is nil while only this gateway has such runs.
	MigrationTurns(domain string) *flow.Turns
	// ReportDemand reports to the peers the rate at which requests for a service arrive here.
	// Demand returns what the peers have reported.
	ReportDemand(service string, perSecond float64)
	Demand(service string) concurrency.PeerDemand
	// RetryView returns what is known of the other gateways' retries for a service.
	RetryView(service string, s retry.Settings) retry.View
	// SharedClock returns the time of the clock that all gateways share.
	SharedClock() pacing.SharedTime
}

// Relay serves requests. It is safe for concurrent use. Its mu is locked before the mu of a run
// and the locks of Peers.
type Relay struct {
	cfg atomic.Pointer[Config]
	Deps
	budgets retryBudgets

	mu sync.Mutex
	// The queues are keyed by service, runs by the id of the server.
	runs         map[string]map[*run]struct{}
	engineQueues map[string]*engineQueue
	pacedQueues  map[string]*pacedQueue
	sharedLimits map[string]*sharedLimit
	// crashChecks are the checks of servers whose responses broke off recently.
	crashChecks map[incarnation]*crashCheck
	inProgress  int
	// leavingSince are the times at which servers began to leave.
	leavingSince map[incarnation]time.Duration
	// jobs are the requests in flight.
	jobs map[*job]struct{}
	// meanPause is the moving average of the time between two events of a stream.
	meanPause time.Duration
	// stretch is how much longer the longest pause of a stream is than the usual one.
	stretch pace.Stretch
	// promptSpeed is the moving average of the prompt tokens per second that an engine reads.
	promptSpeed float64
	forecasts   *outputForecasts
	// standbys are the evictable standby copies.
	standbys   *standbyCopies
	eventSizes eventSizes
	// started is when this process started.
	started time.Duration
	// roleLog bounds the log lines on the roles of engines.
	roleLog roleLog
	// shutdown is the schedule of this process's shutdown. isEnding is set once requests are ended.
	shutdown shutdown.Schedule
	isEnding bool
}

// New returns a Relay.
func New(cfg Config, deps Deps) *Relay {
	r := &Relay{
		Deps:         deps,
		budgets:      retryBudgets{byService: make(map[string]*serviceBudget)},
		runs:         make(map[string]map[*run]struct{}),
		engineQueues: make(map[string]*engineQueue),
		pacedQueues:  make(map[string]*pacedQueue),
		sharedLimits: make(map[string]*sharedLimit),
		started:      deps.Now(),
		crashChecks:  make(map[incarnation]*crashCheck),
		jobs:         make(map[*job]struct{}),
		leavingSince: make(map[incarnation]time.Duration),
		meanPause:    initialPause,
		promptSpeed:  initialPromptSpeed,
		forecasts:    newOutputForecasts(),
		standbys:     newStandbyCopies(),
	}
	if r.Quarantine == nil {
		r.Quarantine = noQuarantine{}
	}
	if r.Origins == nil {
		r.Origins = noOrigins{}
	}
	if r.Link == nil {
		r.Link = idleLink{}
	}
	r.Configure(cfg)
	return r
}

// Configure replaces the settings.
func (r *Relay) Configure(cfg Config) { r.cfg.Store(&cfg) }

const (
	// staleRetryAfter is the retry time for callers that another VM can serve.
	staleRetryAfter = 100 * time.Millisecond
	// noConfigRetryAfter is the retry time before the first configuration; a VM that starts has
	// one after a few responses of the store.
	noConfigRetryAfter = 300 * time.Millisecond
	// revokeShare is the part of RevokeTimeout after which an unconfirmed key is refused; the
	// rest covers timers that fire late.
	revokeShare = 0.85
)

// job is a request in flight.
type job struct {
	*Request
	config   *routing.Config
	route    *routing.Route
	service  string
	engine   *routing.Engine
	team     string
	priority int
	// regions are the regions in which the request may run.
	regions       routing.Regions
	arrived       time.Duration
	deadline      time.Time
	configVersion uint64
	// excluded are the servers that the request is not sent to, because they failed or refused it;
	// see resetExcluded.
	excluded []string
	// attempts counts the attempts at servers; arrivals counts those that may have reached a
	// server, without continuations of a run that has reached one. Each arrival beyond the first has
	// taken a retry, the last one of retryKind at retryAt.
	attempts, arrivals int
	// attemptsAt are the servers of the attempts, in order.
	attemptsAt []string
	retryKind  retry.Kind
	retryAt    time.Duration
	// isTrial is set if the request is quarantined and is sent to one server as a trial.
	isTrial bool
	// unstopped are the servers that may still work on the request.
	unstopped unstoppedServers
	// stopped is what the request needs to go on after its run was stopped.
	stopped stoppedRun
	// hasResponse is set if a response is available that is delivered if no other server gives a
	// better one.
	hasResponse bool
	// hadBrokenResponse is set if the response of a server broke off.
	hadBrokenResponse bool
	// software is the software version that has sent the first event of the stream, nil before it.
	// The stream may only be resumed at servers of that version.
	software atomic.Pointer[string]
	// softwareFrom is the server that sent it at softwareAt, softwareVerified is set once the server has told
	// that it is the listed incarnation.
	softwareFrom     backends.Server
	softwareAt       time.Duration
	softwareVerified atomic.Bool
	// originRecorded is set once the origin of the stream has been recorded for its caller's return.
	originRecorded atomic.Bool
	// progress is the progress of a stream, sentEvents its number of events for other goroutines.
	progress   progress
	sentEvents atomic.Int64
	// queued is how a generation was queued for an engine.
	queued queueWait
	// forecasts estimates the lengths of generations.
	forecasts *outputForecasts
	log       logrus.FieldLogger
	// suspectIDs are computed at most once, see suspects.
	suspectsOnce sync.Once
	suspectIDs   []quarantine.ID
	// responseBegun is set once a server has begun to respond. cancel cancels the request.
	responseBegun atomic.Bool
	cancel        context.CancelCauseFunc
}

// progress describes a stream for its final log line.
type progress struct {
	events int
	// firstDelay is the time from the request's arrival to the first event, longestPause the
	// longest time between two events.
	firstDelay, longestPause time.Duration
}

func (j *job) timeLeft() time.Duration { return time.Until(j.deadline) }

// Serve answers one request. ctx is canceled when the caller disconnects.
func (r *Relay) Serve(ctx context.Context, req *Request, out Responder) {
	r.addInProgress(1)
	defer r.addInProgress(-1)
	j, refusal := r.admit(req)
	if refusal != nil {
		r.recordRefusal(req, refusal)
		out.Refuse(*refusal)
		return
	}
	ctx, j.cancel = context.WithCancelCause(ctx)
	defer j.cancel(nil)
	ctx, cancel := context.WithDeadline(ctx, j.deadline)
	defer cancel()
	r.addJob(j)
	defer r.removeJob(j)
	defer r.endStopped(j)
	var outcome string
	if j.route.Kind == routing.Stream {
		outcome = r.stream(ctx, j, out)
	} else {
		outcome = r.plain(ctx, j, out)
	}
	r.Observer.Finished(j.team, j.service, j.route.Kind, outcome)
	j.log.WithFields(j.logFields(outcome, r.Now())).Info("finished")
}

// logFields returns the fields of a request's final log line.
func (j *job) logFields(outcome string, now time.Duration) logrus.Fields {
	f := logrus.Fields{"outcome": outcome, "sent": j.attempts, "ran": j.Sends.Runs(), "took_ms": (now - j.arrived).Milliseconds()}
	if g := j.Generation; g != nil {
		f["prompt"], f["max_output"], f["hint"] = g.PromptTokens, g.MaxOutput, g.EstimatedOutput
		f["events"], f["first_ms"], f["pause_ms"] = j.progress.events, j.progress.firstDelay.Milliseconds(), j.progress.longestPause.Milliseconds()
		f["light"], f["est_wait_ms"], f["queue_ms"] = j.queued.light, j.queued.estimated.Milliseconds(), j.queued.waited.Milliseconds()
	}
	return f
}

func (r *Relay) addInProgress(n int) {
	r.mu.Lock()
	r.inProgress += n
	r.mu.Unlock()
}

func (r *Relay) addJob(j *job) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.jobs[j] = struct{}{}
	if r.isEnding {
		j.cancel(errStopping)
	}
}

func (r *Relay) removeJob(j *job) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.jobs, j)
}

// InProgress returns the number of requests without a final response.
func (r *Relay) InProgress() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.inProgress
}

// CheckHead returns a refusal if a request can be refused by its head, before its body is read.
func (r *Relay) CheckHead(req *Request) *Refusal {
	_, refusal := r.match(req)
	if refusal != nil {
		r.recordRefusal(req, refusal)
	}
	return refusal
}

func (r *Relay) recordRefusal(req *Request, f *Refusal) {
	r.Log.WithFields(r.refusalLogFields(req, f)).Info("refused")
	r.Observer.Finished("", "", 0, string(f.Reason))
}

// refusalLogFields returns the log fields of a request that is refused before it is placed.
func (r *Relay) refusalLogFields(req *Request, f *Refusal) logrus.Fields {
	fields := logrus.Fields{"request": req.ID, "reason": f.Reason, "path": req.Path}
	if f.Content != "" {
		fields["content"] = f.Content
	}
	if cfg, confirmed := r.Replica.Current(); cfg != nil {
		fields["config"], fields["config_age_ms"] = cfg.Version, (r.Now() - confirmed).Milliseconds()
	}
	return fields
}

// match matches a request against the configuration in force and authorizes it. It does not look at the body.
func (r *Relay) match(req *Request) (*job, *Refusal) {
	cfg, confirmed := r.Replica.Current()
	if cfg == nil {
		return nil, &Refusal{Reason: ReasonNoConfig, RetryAfter: noConfigRetryAfter}
	}
	now := r.Now()
	configAge := now - confirmed
	route := cfg.Match(req.Host, req.Path)
	if route == nil {
		// With a stale configuration, this process may lack a route that others serve.
		if r.cfg.Load().ApplyTimeout > 0 && configAge > r.cfg.Load().ApplyTimeout {
			return nil, &Refusal{Reason: ReasonStaleConfig, RetryAfter: staleRetryAfter}
		}
		return nil, &Refusal{Reason: ReasonNoRoute}
	}
	j := &job{Request: req, config: cfg, route: route, arrived: now, configVersion: cfg.Version, priority: route.Priority, regions: route.Regions, forecasts: r.forecasts}
	if cfg.NeedsKey(route) {
		if refusal := r.authorize(j, cfg, configAge); refusal != nil {
			return nil, refusal
		}
	}
	j.service = route.PickService(rand.Float64())
	if s := cfg.Service(j.service); s != nil {
		j.engine = s.Engine
	}
	if j.engine != nil && req.Generation != nil && req.Generation.PromptTokens > j.engine.MemoryTokens {
		return nil, &Refusal{Reason: ReasonPromptTooLarge}
	}
	j.log = r.Log.WithFields(logrus.Fields{
		"request": req.ID, "route": route.Name, "service": j.service, "team": j.team,
		"config": cfg.Version, "config_age_ms": configAge.Milliseconds(),
	})
	return j, nil
}

// admit decides whether a request is served.
func (r *Relay) admit(req *Request) (*job, *Refusal) {
	j, refusal := r.match(req)
	if refusal != nil {
		return nil, refusal
	}
	route := j.route
	if v, refuse := r.refusedByQuarantine(j); refuse {
		return nil, j.quarantineRefusal(v)
	}
	j.deadline = time.Now().Add(effectiveTimeout(req.Timeout, route.Timeout))
	if route.Kind == routing.Stream && r.Link.RefusesStreams() {
		return nil, &Refusal{Reason: ReasonLinkBusy, RetryAfter: staleRetryAfter}
	}
	if !r.admitsBeforeShutdown(j) {
		return nil, &Refusal{Reason: ReasonStopping, RetryAfter: r.shutdownRetryAfter()}
	}
	return j, nil
}

// authorize sets the team of the request's key.
func (r *Relay) authorize(j *job, cfg *routing.Config, configAge time.Duration) *Refusal {
	// A key removed since the last confirmation is still found here. Beyond RevokeTimeout no key
	// is accepted; the configuration of another VM may be newer.
	if r.KeysStale(configAge) || !r.Peers.ConfigCurrent() {
		return &Refusal{Reason: ReasonStaleConfig, RetryAfter: staleRetryAfter}
	}
	team := cfg.TeamByKey(j.APIKey)
	if team == nil {
		if j.APIKey != "" && r.cfg.Load().ApplyTimeout > 0 && configAge > r.cfg.Load().ApplyTimeout {
			return &Refusal{Reason: ReasonStaleConfig, RetryAfter: staleRetryAfter}
		}
		return &Refusal{Reason: ReasonBadKey}
	}
	j.team, j.regions = team.Name, j.regions.Intersect(team.Regions)
	if team.HasPriority {
		j.priority = team.Priority
	}
	return nil
}

// KeysStale reports whether a configuration that was last confirmed configAge ago is too old to
// accept keys.
func (r *Relay) KeysStale(configAge time.Duration) bool {
	bound := r.cfg.Load().RevokeTimeout
	return bound > 0 && configAge > time.Duration(revokeShare*float64(bound))
}

// Ready reports whether requests with keys can be served.
func (r *Relay) Ready() bool {
	cfg, confirmed := r.Replica.Current()
	return cfg != nil && !r.KeysStale(r.Now()-confirmed) && r.Peers.ConfigCurrent()
}

// defaultTimeout applies to requests for which neither caller nor route sets a timeout.
const defaultTimeout = 5 * time.Minute

func effectiveTimeout(callerTimeout, routeTimeout time.Duration) time.Duration {
	switch {
	case callerTimeout <= 0 && routeTimeout <= 0:
		return defaultTimeout
	case callerTimeout <= 0:
		return routeTimeout
	case routeTimeout <= 0:
		return callerTimeout
	}
	return min(callerTimeout, routeTimeout)
}
