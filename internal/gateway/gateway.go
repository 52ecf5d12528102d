// Package gateway assembles the program that serves callers on the users' platform from the
// ingress, the relay and the upstream client, and keeps copies of the tables of backend
// servers, configuration and gateways.
package gateway

import (
	"context"
	"net"
	"reflect"
	"runtime/debug"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"go.uber.org/dig"

	"kingcupplank.example/kingcup/backends"
	"kingcupplank.example/kingcup/intake"
	"kingcupplank.example/kingcup/internal/admin"
	"kingcupplank.example/kingcup/internal/clock"
	"kingcupplank.example/kingcup/internal/follow"
	"kingcupplank.example/kingcup/internal/gatewaymetrics"
	"kingcupplank.example/kingcup/internal/logging"
	"kingcupplank.example/kingcup/internal/netmeter"
	"kingcupplank.example/kingcup/internal/peers"
	"kingcupplank.example/kingcup/internal/relay"
	"kingcupplank.example/kingcup/internal/sockets"
	"kingcupplank.example/kingcup/pacing"
	"kingcupplank.example/kingcup/platform/directory"
	"kingcupplank.example/kingcup/platform/ingress"
	"kingcupplank.example/kingcup/platform/operator"
	"kingcupplank.example/kingcup/platform/settings"
	"kingcupplank.example/kingcup/platform/store"
	"kingcupplank.example/kingcup/platform/upstream"
	"kingcupplank.example/kingcup/routing"
	"kingcupplank.example/kingcup/shutdown"
)

// Options are the gateway's own settings; the platform's are in settings.Settings.
type Options struct {
	// FeedTimeout is how long a call to the store waits for changes.
	FeedTimeout time.Duration
	// MinDirectoryInterval is the minimum time between two calls for changes of the
	// directory.
	MinDirectoryInterval time.Duration
	// MaxPeerLinks bounds the gateways that this one sends its state to.
	MaxPeerLinks int
	// ShutdownDelay is how long after SIGTERM connections are still accepted. The balancer
	// needs that time to notice that the gateway is not ready.
	ShutdownDelay time.Duration
	// MetricsPort is the port of the metrics and reports; 0 disables them.
	MetricsPort int
	// LostLogLines returns the number of log lines that were lost for a cause, nil for none.
	LostLogLines func(logging.LossCause) uint64
	// ResumptionWindow bounds the time for which callers may resume a stream, see relay.Config.
	ResumptionWindow time.Duration
	// WrapConn, if not nil, wraps each connection. It simulates a slow link in tests.
	WrapConn func(net.Conn, netmeter.Counterpart) net.Conn
}

// DefaultOptions returns the defaults of the flags.
func DefaultOptions() Options {
	return Options{
		FeedTimeout: time.Second, MinDirectoryInterval: 100 * time.Millisecond, MaxPeerLinks: peers.DefaultLinks, ShutdownDelay: 3 * time.Second, MetricsPort: 9464,
	}
}

// Gateway is a running gateway.
type Gateway struct {
	log      logrus.FieldLogger
	opts     Options
	settings *atomic.Pointer[settings.Settings]
	store    *store.Client
	relay    *relay.Relay
	callers  *ingress.Server
	registry *backends.Registry
	upstream *upstream.Client
	// directory follows the table of backend servers.
	directory *follow.Follower
	group     *group
	meter     *netmeter.Meter
	link      *linkGate
	rec       *gatewaymetrics.Recorder
	admin     *admin.Server
	stopping  atomic.Bool
	started   time.Time
	cancel    context.CancelFunc
	wg        sync.WaitGroup
}

// memoryLimitFraction is the fraction of the VM's memory that the Go runtime's memory limit
// is set to. Near it the garbage collector works harder, so that a burst doesn't exhaust
// the VM's memory.
const memoryLimitFraction = 0.6

// Start starts a gateway. It returns once the gateway's addresses are bound, before the
// gateway is ready.
func Start(opts Options, platform *settings.Settings, log logrus.FieldLogger) (*Gateway, error) {
	debug.SetMemoryLimit(int64(memoryLimitFraction * float64(platform.MemoryBytes)))
	c := dig.New()
	for _, p := range providers(opts, platform, log) {
		if err := c.Provide(p); err != nil {
			return nil, errors.Wrap(err, "wire gateway")
		}
	}
	var g *Gateway
	err := c.Invoke(func(r *relay.Relay, reg *backends.Registry, up *upstream.Client, rep *routing.Replica, rec *gatewaymetrics.Recorder, st *store.Client, gr *group, meter *netmeter.Meter, link *linkGate, l *lateDeps) error {
		g = &Gateway{started: time.Now(), settings: &l.settings, log: log, opts: opts, store: st, relay: r, registry: reg, upstream: up, group: gr, meter: meter, link: link, rec: rec}
		reg.SetDomainRegions(platform.Regions)
		return g.run(platform, rep, rec)
	})
	return g, dig.RootCause(err)
}

// lateDeps holds dependencies that are read after construction: the relay, because the
// registry calls the relay and the relay calls the registry, and the settings, because they
// change.
type lateDeps struct {
	relay    atomic.Pointer[relay.Relay]
	settings atomic.Pointer[settings.Settings]
}

func providers(opts Options, platform *settings.Settings, log logrus.FieldLogger) []any {
	return []any{
		func() logrus.FieldLogger { return log },
		func() *lateDeps {
			l := &lateDeps{}
			l.settings.Store(platform)
			return l
		},
		func() clock.Source { return clock.SinceBoot },
		func() *netmeter.Meter { return netmeter.New(opts.WrapConn) },
		func(meter *netmeter.Meter) *linkGate { return newLinkGate(meter, platform.LinkMbps, log) },
		func(rec *gatewaymetrics.Recorder, meter *netmeter.Meter) *store.Client {
			return store.New(platform.Store, platform.LinkMbps, rec, meter)
		},
		func(l *lateDeps, meter *netmeter.Meter, rec *gatewaymetrics.Recorder) *upstream.Client {
			onDrop := func(s backends.Server, awaited string, status int, why upstream.DropReason) {
				rec.ResponseDropped(s.Service, string(why))
				log.WithFields(logrus.Fields{"server": s.ID, "awaited": awaited, "status": status, "names": string(why)}).Info("response is not the awaited one, dropped")
			}
			return upstream.New(func(s backends.Server, signals backends.Signals, sentAt time.Duration) {
				if r := l.relay.Load(); r != nil {
					r.HandleSignals(s, signals, sentAt)
				}
			}, onDrop, meter)
		},
		gatewaymetrics.New,
		newControlStats,
		routing.NewReplica,
		func(rep *routing.Replica, l *lateDeps) *backends.Registry {
			return backends.New(platform.FailureDomain, traitsFunc(rep, l), func(s backends.Server, reason backends.LeaveReason) {
				log.WithFields(logrus.Fields{"server": s.ID, "born": s.StartTime, "service": s.Service, "notice": string(reason)}).Info("server is leaving")
				if r := l.relay.Load(); r != nil {
					r.HandleLeaving(s, reason)
				}
			})
		},
		func(st *store.Client, reg *backends.Registry, rep *routing.Replica, stats *controlStats, meter *netmeter.Meter, link *linkGate) *group {
			self := peers.Member{Name: platform.VM, Address: peerAddress(platform), FailureDomain: platform.FailureDomain, LinkMbps: platform.LinkMbps}
			return newGroup(self, st, reg, rep, platform.LinkMbps, opts.MaxPeerLinks, platform.FirstStart, stats, meter, link.isBusy, log)
		},
		func(rep *routing.Replica, reg *backends.Registry, up *upstream.Client, now clock.Source, rec *gatewaymetrics.Recorder, gr *group, link *linkGate, l *lateDeps) *relay.Relay {
			r := relay.New(relayConfig(opts, platform), relay.Deps{Replica: rep, Registry: reg, Upstream: up, Now: now, Log: log, Observer: rec, Peers: gr, Quarantine: gr.quarantine, Origins: gr.origins, Limits: rec, Link: link})
			l.relay.Store(r)
			onQuarantined := r.HandleQuarantined
			gr.quarantine.onQuarantined.Store(&onQuarantined)
			uses := r.RetryUses
			gr.retries.budgets.Store(&uses)
			return r
		},
	}
}

func relayConfig(opts Options, platform *settings.Settings) relay.Config {
	return relay.Config{
		RevokeTimeout: platform.Bounds.Revoke, ApplyTimeout: platform.Bounds.ApplyConfig, DrainTime: platform.Bounds.DrainServer,
		RetryRatio: platform.Bounds.RetryRatio, RetryExtra: platform.Bounds.RetryExtra, RetryWindow: platform.Bounds.RetryWindow,
		DomainFailures: platform.FaultTolerance.FailureDomains, ResumptionWindow: opts.ResumptionWindow,
	}
}

// peerAddress returns the address on which this gateway accepts links: the first of the
// ports reserved for the system's own processes.
func peerAddress(platform *settings.Settings) string {
	return net.JoinHostPort(platform.IP, strconv.Itoa(platform.PeerPorts[0]))
}

// coldWindow is the window in which the platform counts the requests that a cold server
// receives.
const coldWindow = time.Second

// traitsFunc returns a function that looks up the traits of a service in the current
// configuration and settings. The traits are zero for an unknown service.
func traitsFunc(rep *routing.Replica, l *lateDeps) func(service string) backends.ServiceTraits {
	return func(service string) (t backends.ServiceTraits) {
		cfg, _ := rep.Current()
		if cfg == nil {
			return t
		}
		s := cfg.Service(service)
		if s == nil {
			return t
		}
		bounds := l.settings.Load().Bounds
		t.ColdTime = s.ColdTime
		t.ColdLimit = pacing.Limit{Rate: s.ColdRate, MaxInWindow: max(1, bounds.ColdOverage)*s.ColdRate + bounds.ColdTolerance, Window: coldWindow}
		if s.Engine != nil {
			t.MemoryTokens = s.Engine.MemoryTokens
		}
		return t
	}
}

// callerBuffers bound the buffers of a socket of callers, checks and operators.
var callerBuffers = sockets.Buffers{Receive: 32 << 10, Send: 32 << 10}

// run binds the gateway's addresses and starts its goroutines.
func (g *Gateway) run(platform *settings.Settings, rep *routing.Replica, rec *gatewaymetrics.Recorder) error {
	listen := func() (net.Listener, error) {
		l, err := sockets.Listen(platform.Callers, callerBuffers)
		if err != nil {
			return nil, err
		}
		return g.meter.Listener(l, netmeter.Callers), nil
	}
	onInvalid := func(id, path string, reason relay.Reason) {
		g.log.WithFields(logrus.Fields{"request": id, "path": path, "reason": reason}).Info("refused")
		rec.Finished("", "", 0, string(reason))
	}
	callers, err := ingress.New(listen, g.relay, callerLimits(platform), onInvalid)
	if err != nil {
		return err
	}
	g.callers = callers
	ready, err := sockets.Listen(platform.Ready, callerBuffers)
	if err != nil {
		callers.Close()
		return errors.Wrap(err, "listen on the readiness address")
	}
	links, err := net.Listen("tcp", peerAddress(platform))
	if err != nil {
		callers.Close()
		ready.Close()
		return errors.Wrap(err, "listen on the peers' address")
	}
	g.group.links.SetLimits(peerLimits(platform))
	rep.OnChange(func(c *routing.Config) { g.callers.SetLimits(c.Limits) })
	rec.RegisterGauge("kingcup_gateway_in_progress", "Requests without a final answer.", func() float64 { return float64(g.relay.InProgress()) })
	rec.RegisterGauge("kingcup_gateway_connections_closed_unread", "Connections of callers that were closed unread since the start, as there was no room.", func() float64 { return float64(g.callers.ClosedUnread()) })
	rec.RegisterGauge("kingcup_gateway_connections_yielded", "Connections and requests of callers that were given up since the start to make room for others.", func() float64 { return float64(g.callers.Yielded()) })
	rec.RegisterGauge("kingcup_gateway_request_memory_bytes", "Memory that callers' connections and requests hold.", func() float64 { return float64(g.callers.HeldBytes()) })
	rec.RegisterGauge("kingcup_gateway_config_version", "Version of the configuration in force.", func() float64 {
		c, _ := rep.Current()
		if c == nil {
			return 0
		}
		return float64(c.Version)
	})
	rec.RegisterGauge("kingcup_gateway_config_age_seconds", "Time since the configuration was known to be the newest.", func() float64 {
		_, confirmed := rep.Current()
		return (clock.SinceBoot() - confirmed).Seconds()
	})
	rec.RegisterGauge("kingcup_gateway_peers_known", "Other gateways that this one knows.", func() float64 { return float64(g.group.links.KnownCount() - 1) })
	rec.RegisterGauge("kingcup_gateway_peers_heard", "Other gateways whose states come in.", func() float64 { return float64(len(g.group.links.LiveStates())) })
	rec.RegisterGauge("kingcup_gateway_requests_held", "Requests that are not sent to servers, because servers end under them.", func() float64 { return float64(g.group.quarantine.countQuarantined()) })
	rec.RegisterGauge("kingcup_gateway_domains_cordoned", "Failure domains whose servers get nothing.", g.group.countCordons)
	rec.RegisterGauge("kingcup_gateway_servers_limited", "Servers that name a limit in their answers.", func() float64 { return float64(g.registry.CountRateLimited()) })
	rec.RegisterGauge("kingcup_gateway_software_versions", "Software versions of one service's servers side by side, the largest number of any service.", func() float64 { return float64(g.registry.VersionCount()) })
	g.registerRoleGauges(rec)
	g.registerLinkGauges(rec)
	rec.RegisterLinkBytes(g.meter)
	rec.RegisterGauge("kingcup_gateway_servers_resting", "Servers that have asked this gateway for rest.", func() float64 { return float64(g.registry.CountBackingOff(clock.SinceBoot())) })
	if g.opts.LostLogLines != nil {
		rec.RegisterLostLogLines(g.opts.LostLogLines)
	}
	if err := g.serveMetrics(platform, rec); err != nil {
		callers.Close()
		ready.Close()
		links.Close()
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	g.cancel = cancel
	g.wg.Go(func() { g.link.run(ctx, g.relay.StreamLoad, g.callers) })
	g.wg.Go(func() { g.callers.Serve() })
	config := g.newFollower(operator.Table, g.opts.FeedTimeout, 0, g.group.config.sink, g.group.config)
	g.directory = g.newFollower(directory.Table, g.opts.FeedTimeout, g.opts.MinDirectoryInterval, &directory.Sink{Registry: g.registry, Now: clock.SinceBoot, Log: g.log, OnUnreadable: rec.UnreadableEntry}, tableSharing{g.group, directory.Table})
	members := g.newFollower(membersTable, membersFeedTimeout, minMembersInterval, membersSink{g.group}, tableSharing{g.group, membersTable})
	go ingress.NewReadinessServer(g.Ready).Serve(ready)
	g.wg.Go(func() { g.group.links.Run(ctx, g.meter.Listener(links, netmeter.Peers)) })
	g.wg.Go(func() { config.Run(ctx) })
	g.wg.Go(func() { g.directory.Run(ctx) })
	g.wg.Go(func() { members.Run(ctx) })
	g.wg.Go(func() { g.group.join(ctx, platform.FirstStart) })
	g.wg.Go(func() { g.group.checkConfig(ctx) })
	g.wg.Go(func() { g.relay.RunProber(ctx, g.directory.IsUnavailable) })
	g.wg.Go(func() { g.runMaintenance(ctx) })
	g.wg.Go(func() { g.group.logControlStats(ctx) })
	g.wg.Go(func() { g.group.quarantine.run(ctx) })
	return nil
}

// newFollower creates the follower of a table, which shares the reads of the store with the
// peers. pollTimeout is how long a call to the store waits for changes, minInterval is the
// minimum time between two calls.
func (g *Gateway) newFollower(table string, pollTimeout, minInterval time.Duration, sink follow.Sink, sharing follow.Sharing) *follow.Follower {
	cfg := follow.Config{
		Name: table, PollTimeout: pollTimeout, MinCallInterval: minInterval,
		OnCall:     func(r follow.Reason) { g.group.stats.countStoreCall(table, string(r)) },
		OnRestored: func() { g.group.stats.countRestore(table) },
		// Peers that have started at the same moment wait for the table.
		OnFirstTable: g.group.links.SendStateNow,
		KeepRows:     g.group.encoders[table] != nil,
	}
	f := follow.New(cfg, g.store.Table(table), sink, sharing, clock.SinceBoot, g.log)
	g.group.followers[table] = f
	return f
}

// serveMetrics serves the metrics and reports, unless MetricsPort is 0.
func (g *Gateway) serveMetrics(platform *settings.Settings, rec *gatewaymetrics.Recorder) error {
	if g.opts.MetricsPort == 0 {
		return nil
	}
	l, err := sockets.Listen(net.JoinHostPort(platform.IP, strconv.Itoa(g.opts.MetricsPort)), callerBuffers)
	if err != nil {
		return errors.Wrap(err, "listen on the metrics address")
	}
	g.admin = admin.New(admin.Source{Registry: rec.Registry(), Ready: g.Ready, Report: rec.Report, Quarantine: adminQuarantine{g.group.quarantine}, Retries: adminRetries{g.relay}, Link: g.link})
	go g.admin.Serve(l)
	return nil
}

// maintenanceInterval is how often idle connections and expired entries are removed.
const maintenanceInterval = 500 * time.Millisecond

// runMaintenance removes idle connections, expired servers and expired cordons until ctx
// ends.
func (g *Gateway) runMaintenance(ctx context.Context) {
	t := time.NewTicker(maintenanceInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			g.upstream.CloseExpired()
			g.upstream.SetIdleLimits(g.idleLimits())
			g.registry.Expire(clock.SinceBoot())
			g.group.cordons.Expire(clock.SinceBoot())
		}
	}
}

// idleLimits returns how many idle connections this gateway may keep to the servers of each
// service.
func (g *Gateway) idleLimits() map[string]int {
	config, _ := g.relay.Replica.Current()
	if config == nil {
		return nil
	}
	limits := make(map[string]int)
	for s := range config.Services() {
		if s.MaxConns > 0 {
			limits[s.Name] = backends.IdleConnections(g.registry.CountReady(s.Name), s.MaxConns, g.group.Count())
		}
	}
	return limits
}

// Ready reports to the balancer whether callers may connect. It requires the directory of
// servers besides the configuration: a gateway that has just started may have the
// configuration well before a long directory, and would refuse each request for lack of a
// server while other gateways could serve it.
//
// It also requires the table of gateways, which holds the quarantine's records: without it
// the gateway would send requests that crash servers. After membersTimeout it no longer
// waits for that table.
func (g *Gateway) Ready() bool {
	return !g.stopping.Load() && g.relay.Ready() && g.directory.HasTable() &&
		(g.group.followers[membersTable].HasTable() || time.Since(g.started) > membersTimeout)
}

// callerLimits returns the limits of callers' connections and of the memory of their requests.
func callerLimits(platform *settings.Settings) intake.Limits {
	return intake.LimitsFor(platform.MemoryBytes, maxConnections(platform.MaxFiles, callerDescriptors))
}

// peerLimits returns the limits of connections that peers have opened and of the memory of what they send.
func peerLimits(platform *settings.Settings) intake.Limits {
	return intake.LimitsFor(platform.MemoryBytes/peerMemoryDivisor, maxConnections(platform.MaxFiles, peerDescriptors))
}

const (
	// callerDescriptors and peerDescriptors are the parts of the file descriptors that connections of callers and those
	// that peers have opened may use. The rest is for connections to servers, of which each request may need one, to the
	// store and to peers.
	callerDescriptors, peerDescriptors = 0.5, 0.2
	// peerMemoryDivisor says what part of the memory that callers may use is for peers.
	peerMemoryDivisor = 3
)

// maxConnections returns how many connections may be open if the settings allow the process a number of file descriptors,
// of which they may use a part. The operating system's limit may be lower.
func maxConnections(maxFiles int, part float64) int {
	var limit syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit) == nil && limit.Cur < uint64(maxFiles) {
		maxFiles = int(limit.Cur)
	}
	return int(part * float64(maxFiles))
}

// membersTimeout is how long after its start a gateway waits for the table of gateways. If
// only that table is unreadable, callers must not be refused because of it.
const membersTimeout = 2 * time.Second

// stopPoll is how often Stop checks whether requests are still in progress.
const stopPoll = 50 * time.Millisecond

// Stop shuts the gateway down after SIGTERM. The gateway is not ready from now on, but
// still accepts connections for ShutdownDelay. Stop returns when no request is in progress, or shortly before
// SIGKILL. Requests that have no answer by then get one.
func (g *Gateway) Stop() {
	now := time.Now()
	schedule := shutdown.Begin(now, g.link.lastSample(now), shutdown.Settings{Grace: g.settings.Load().Bounds.Shutdown, AcceptTime: g.opts.ShutdownDelay})
	g.stopping.Store(true)
	g.relay.SetShutdown(schedule)
	g.callers.StartDraining(g.settings.Load().MemoryBytes)
	g.log.WithFields(logrus.Fields{"in_progress": g.relay.InProgress(), "late_ms": now.Sub(schedule.Begun).Milliseconds()}).Info("stopping")
	g.group.announceStop()
	time.Sleep(time.Until(schedule.AcceptUntil))
	g.awaitRequests(schedule.AnswerBy)
	g.callers.RefuseRequests()
	g.awaitRequests(schedule.AnswerBy)
	unfinished := g.callers.InProgress()
	g.relay.EndUnanswered()
	g.awaitRequests(schedule.CutBy)
	g.relay.EndRequests()
	for _, id := range g.callers.Shutdown(time.Until(schedule.EndBy)) {
		g.recordCut(id, time.Since(schedule.Begun))
	}
	g.cancel()
	g.log.WithField("in_progress", unfinished).Info("stopped")
}

// awaitRequests waits until no request is in progress, but not beyond a time.
func (g *Gateway) awaitRequests(until time.Time) {
	for g.callers.InProgress() > 0 && time.Now().Before(until) {
		time.Sleep(stopPoll)
	}
}

// recordCut logs a request whose response has not been written to its end as the process ends.
func (g *Gateway) recordCut(id string, sinceSignal time.Duration) {
	g.rec.ResponseCut(string(relay.CutUnread))
	g.log.WithFields(logrus.Fields{"request": id, "cause": string(relay.CutUnread), "stopping_ms": sinceSignal.Milliseconds(), logging.KeptField: true}).Warn("response cut off")
}

// Reload applies new settings: regions, the store's address, the link's bandwidth, the
// bounds and the memory limit. The addresses that the gateway serves don't change while it
// runs.
func (g *Gateway) Reload(platform *settings.Settings) {
	old := g.settings.Swap(platform)
	unchanged := reflect.DeepEqual(platform, old)
	g.log.WithField("changed", !unchanged).Info("settings reloaded")
	if unchanged {
		return
	}
	g.registry.SetDomainRegions(platform.Regions)
	g.store.SetAddress(platform.Store)
	g.store.SetBandwidth(platform.LinkMbps)
	g.link.setBandwidth(platform.LinkMbps)
	g.relay.Configure(relayConfig(g.opts, platform))
	g.callers.SetIntake(callerLimits(platform))
	g.group.links.SetLimits(peerLimits(platform))
	debug.SetMemoryLimit(int64(memoryLimitFraction * float64(platform.MemoryBytes)))
}

// Close stops the gateway at once, without waiting for requests.
func (g *Gateway) Close() {
	g.cancel()
	g.callers.Close()
	g.wg.Wait()
}
