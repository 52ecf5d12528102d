// Package gateway wires the program that serves callers on the users' platform:
// ingress, relay, upstream, and the copies of directory and configuration.
package gateway

import (
	"context"
	"net"
	"reflect"
	"runtime/debug"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"go.uber.org/dig"

	"kingcupplank.example/kingcup/backends"
	"kingcupplank.example/kingcup/internal/admin"
	"kingcupplank.example/kingcup/internal/clock"
	"kingcupplank.example/kingcup/internal/follow"
	"kingcupplank.example/kingcup/internal/gatewaymetrics"
	"kingcupplank.example/kingcup/internal/peers"
	"kingcupplank.example/kingcup/internal/relay"
	"kingcupplank.example/kingcup/pacing"
	"kingcupplank.example/kingcup/platform/directory"
	"kingcupplank.example/kingcup/platform/ingress"
	"kingcupplank.example/kingcup/platform/operator"
	"kingcupplank.example/kingcup/platform/settings"
	"kingcupplank.example/kingcup/platform/store"
	"kingcupplank.example/kingcup/platform/upstream"
	"kingcupplank.example/kingcup/routing"
)

// Options are the gateway's own settings.
type Options struct {
	// FeedTimeout is how long a call to the store waits for changes.
	FeedTimeout time.Duration
	// MinDirectoryInterval is the least time between two calls for the directory.
	MinDirectoryInterval time.Duration
	// MaxPeerLinks bounds the gateways that this one tells of itself.
	MaxPeerLinks int
	// ShutdownDelay is how long after SIGTERM connections are still taken, until the
	// balancer has noticed.
	ShutdownDelay time.Duration
	// MetricsPort serves metrics and reports; 0 for none.
	MetricsPort int
	// DroppedLogLines counts the log lines that were not written.
	DroppedLogLines func() uint64
}

// DefaultOptions are the defaults of the flags.
func DefaultOptions() Options {
	return Options{
		FeedTimeout: time.Second, MinDirectoryInterval: 100 * time.Millisecond, MaxPeerLinks: peers.DefaultLinks, ShutdownDelay: 3 * time.Second, MetricsPort: 9464,
		DroppedLogLines: func() uint64 { return 0 },
	}
}

// Gateway is a running gateway.
type Gateway struct {
	log      logrus.FieldLogger
	opts     Options
	set      *atomic.Pointer[settings.Settings]
	store    *store.Client
	relay    *relay.Relay
	callers  *ingress.Server
	registry *backends.Registry
	upstream *upstream.Client
	// directory copies the table of backend servers.
	directory *follow.Follower
	group     *group
	admin     *admin.Server
	stopping  atomic.Bool
	started   time.Time
	cancel    context.CancelFunc
	wg        sync.WaitGroup
}

// memoryShare is the part of the VM's memory at which the garbage collector works
// harder, so that a burst does not run into the limit.
const memoryShare = 0.6

// Start runs a gateway.
func Start(opts Options, set *settings.Settings, log logrus.FieldLogger) (*Gateway, error) {
	debug.SetMemoryLimit(int64(memoryShare * float64(set.MemoryBytes)))
	c := dig.New()
	for _, p := range providers(opts, set, log) {
		if err := c.Provide(p); err != nil {
			return nil, errors.Wrap(err, "wire gateway")
		}
	}
	var g *Gateway
	err := c.Invoke(func(r *relay.Relay, reg *backends.Registry, up *upstream.Client, rep *routing.Replica, rec *gatewaymetrics.Recorder, st *store.Client, gr *group, l *late) error {
		g = &Gateway{started: time.Now(), set: &l.set, log: log, opts: opts, store: st, relay: r, registry: reg, upstream: up, group: gr}
		reg.SetRegions(set.Regions)
		return g.run(set, rep, rec)
	})
	return g, dig.RootCause(err)
}

// late holds what is needed before it can be made, as the registry tells the relay and the
// relay asks the registry, and the settings, which change.
type late struct {
	relay atomic.Pointer[relay.Relay]
	set   atomic.Pointer[settings.Settings]
}

func providers(opts Options, set *settings.Settings, log logrus.FieldLogger) []any {
	return []any{
		func() logrus.FieldLogger { return log },
		func() *late {
			l := &late{}
			l.set.Store(set)
			return l
		},
		func() clock.Source { return clock.SinceBoot },
		func(rec *gatewaymetrics.Recorder) *store.Client { return store.New(set.Store, set.LinkMbps, rec) },
		func(l *late) *upstream.Client {
			return upstream.New(func(s backends.Server, a backends.Signals, begun time.Duration) {
				if r := l.relay.Load(); r != nil {
					r.Advised(s, a, begun)
				}
			})
		},
		gatewaymetrics.New,
		newControlCosts,
		routing.NewReplica,
		func(rep *routing.Replica, l *late) *backends.Registry {
			return backends.New(set.FailureDomain, traitsOf(rep, l), func(s backends.Server, n backends.LeaveReason) {
				log.WithFields(logrus.Fields{"server": s.ID, "born": s.StartTime, "service": s.Service, "notice": string(n)}).Info("server is leaving")
				if r := l.relay.Load(); r != nil {
					r.Noticed(s, n)
				}
			})
		},
		func(st *store.Client, reg *backends.Registry, rep *routing.Replica, costs *controlCosts) *group {
			self := peers.Member{Name: set.VM, Address: peerAddress(set), FailureDomain: set.FailureDomain}
			return newGroup(self, st, reg, rep, set.LinkMbps, opts.MaxPeerLinks, costs, log)
		},
		func(rep *routing.Replica, reg *backends.Registry, up *upstream.Client, now clock.Source, rec *gatewaymetrics.Recorder, gr *group, l *late) *relay.Relay {
			r := relay.New(relayConfig(set), relay.Deps{Replica: rep, Registry: reg, Upstream: up, Now: now, Log: log, Observer: rec, Others: gr, Suspects: gr.suspects})
			l.relay.Store(r)
			held := r.Quarantined
			gr.suspects.held.Store(&held)
			return r
		},
	}
}

func relayConfig(set *settings.Settings) relay.Config {
	return relay.Config{
		RevokeBound: set.Bounds.Revoke, ApplyBound: set.Bounds.ApplyConfig,
		RetryRatio: set.Bounds.RetryRatio, RetryExtra: set.Bounds.RetryExtra,
	}
}

// peerAddress is where this gateway takes links: the first of the ports between
// the system's own processes.
func peerAddress(set *settings.Settings) string {
	return net.JoinHostPort(set.IP, strconv.Itoa(set.PeerPorts[0]))
}

// coldWindow is the time in which the platform counts what a cold server gets.
const coldWindow = time.Second

func traitsOf(rep *routing.Replica, l *late) func(service string) backends.Traits {
	return func(service string) (t backends.Traits) {
		cfg, _ := rep.Current()
		if cfg == nil {
			return t
		}
		s := cfg.Service(service)
		if s == nil {
			return t
		}
		bounds := l.set.Load().Bounds
		t.ColdTime = s.ColdTime
		t.Cold = pacing.Limit{Rate: s.ColdRate, Most: max(1, bounds.ColdOverage)*s.ColdRate + bounds.ColdTolerance, Window: coldWindow}
		if s.Engine != nil {
			t.MemoryTokens = s.Engine.MemoryTokens
		}
		return t
	}
}

func (g *Gateway) run(set *settings.Settings, rep *routing.Replica, rec *gatewaymetrics.Recorder) error {
	callers, err := net.Listen("tcp", set.Callers)
	if err != nil {
		return errors.Wrap(err, "callers' address")
	}
	ready, err := net.Listen("tcp", set.Ready)
	if err != nil {
		callers.Close()
		return errors.Wrap(err, "readiness address")
	}
	links, err := net.Listen("tcp", peerAddress(set))
	if err != nil {
		callers.Close()
		ready.Close()
		return errors.Wrap(err, "peers' address")
	}
	g.callers = ingress.New(callers, g.relay)
	rep.OnChange(func(c *routing.Config) { g.callers.SetLimits(c.Limits) })
	rec.RegisterGauge("kingcup_gateway_in_progress", "Requests without a final answer.", func() float64 { return float64(g.relay.InProgress()) })
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
	rec.RegisterGauge("kingcup_gateway_peers_known", "Other gateways that this one knows.", func() float64 { return float64(g.group.links.Known() - 1) })
	rec.RegisterGauge("kingcup_gateway_peers_heard", "Other gateways whose states come in.", func() float64 { return float64(len(g.group.links.Live())) })
	rec.RegisterGauge("kingcup_gateway_requests_held", "Requests that are not sent to servers, because servers end under them.", func() float64 { return float64(g.group.suspects.holds()) })
	rec.RegisterGauge("kingcup_gateway_domains_cordoned", "Failure domains whose servers get nothing.", func() float64 { return float64(len(g.group.cordons.List())) })
	rec.RegisterGauge("kingcup_gateway_servers_limited", "Servers that name a limit in their answers.", func() float64 { return float64(g.registry.Limited()) })
	rec.RegisterGauge("kingcup_gateway_servers_resting", "Servers that have asked this gateway for rest.", func() float64 { return float64(g.registry.Resting(clock.SinceBoot())) })
	rec.RegisterGauge("kingcup_gateway_log_lines_dropped", "Log lines that were not written.", func() float64 { return float64(g.opts.DroppedLogLines()) })
	if err := g.serveMetrics(set, rec); err != nil {
		callers.Close()
		ready.Close()
		links.Close()
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	g.cancel = cancel
	g.wg.Go(func() { g.callers.Serve() })
	op := g.follow(operator.Table, g.opts.FeedTimeout, 0, g.group.config.sink, g.group.config)
	g.directory = g.follow(directory.Table, g.opts.FeedTimeout, g.opts.MinDirectoryInterval, &directory.Sink{Registry: g.registry, Now: clock.SinceBoot, Log: g.log, Unreadable: rec.UnreadableEntry}, sharing{g.group, directory.Table})
	gateways := g.follow(membersTable, membersWait, membersGap, members{g.group}, sharing{g.group, membersTable})
	go ingress.NewReady(g.Ready).Serve(ready)
	g.wg.Go(func() { g.group.links.Run(ctx, links) })
	g.wg.Go(func() { op.Run(ctx) })
	g.wg.Go(func() { g.directory.Run(ctx) })
	g.wg.Go(func() { gateways.Run(ctx) })
	g.wg.Go(func() { g.group.join(ctx) })
	g.wg.Go(func() { g.group.agree(ctx) })
	g.wg.Go(func() { g.relay.Scout(ctx, g.directory.Away) })
	g.wg.Go(func() { g.tend(ctx) })
	g.wg.Go(func() { g.group.logControl(ctx) })
	g.wg.Go(func() { g.group.suspects.tend(ctx) })
	return nil
}

// follow copies a table, together with the peers.
func (g *Gateway) follow(table string, wait, gap time.Duration, sink follow.Sink, shared follow.Sharing) *follow.Follower {
	cfg := follow.Config{
		Name: table, Wait: wait, Gap: gap,
		Called:   func(r follow.Reason) { g.group.costs.called(table, string(r)) },
		Restored: func() { g.group.costs.restored(table) },
		Keep:     g.group.answers[table] != nil,
	}
	f := follow.New(cfg, g.store.Table(table), sink, shared, clock.SinceBoot, g.log)
	g.group.followers[table] = f
	return f
}

func (g *Gateway) serveMetrics(set *settings.Settings, rec *gatewaymetrics.Recorder) error {
	if g.opts.MetricsPort == 0 {
		return nil
	}
	l, err := net.Listen("tcp", net.JoinHostPort(set.IP, strconv.Itoa(g.opts.MetricsPort)))
	if err != nil {
		return errors.Wrap(err, "metrics address")
	}
	g.admin = admin.New(admin.Source{Registry: rec.Registry(), Ready: g.Ready, Report: rec.Report, Quarantine: quarantined{g.group.suspects}})
	go g.admin.Serve(l)
	return nil
}

// tendEvery is how often idle connections and lapsed entries are looked through.
const tendEvery = 500 * time.Millisecond

func (g *Gateway) tend(ctx context.Context) {
	t := time.NewTicker(tendEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			g.upstream.Sweep()
			g.registry.Expire(clock.SinceBoot())
			g.group.cordons.Expire(clock.SinceBoot())
		}
	}
}

// Ready tells the balancer whether callers may come. A gateway that has just started
// may know the configuration well before a long directory: each request would be
// refused for lack of a server, while other gateways could serve it.
//
// The table of gateways says under which requests servers end: one that does not know it
// would send them on.
func (g *Gateway) Ready() bool {
	return !g.stopping.Load() && g.relay.Ready() && g.directory.Filled() &&
		(g.group.followers[membersTable].Filled() || time.Since(g.started) > tablesPatience)
}

// tablesPatience is how long after its start a gateway waits for the table of gateways.
// Where only that one cannot be read, callers must not be refused for it.
const tablesPatience = 2 * time.Second

const (
	// endMargin is kept between the end of the last answer and SIGKILL.
	endMargin = 300 * time.Millisecond
	idlePoll  = 50 * time.Millisecond
	// leaveMargin covers a request that is on its way when callers are last taken.
	leaveMargin = 300 * time.Millisecond
	// lastWrites bounds the time in which the ends of the last answers leave; it is
	// less than endMargin, so that SIGKILL does not come first.
	lastWrites = 200 * time.Millisecond
)

// Stop ends the gateway after SIGTERM: it stops being ready at once, takes
// connections until the balancer has noticed, and ends when no request is left or
// the time until SIGKILL is nearly over.
func (g *Gateway) Stop() {
	begun := time.Now()
	g.stopping.Store(true)
	g.callers.Stop()
	g.group.stop()
	g.relay.EndAt(begun.Add(g.set.Load().Bounds.Shutdown-endMargin), begun.Add(g.opts.ShutdownDelay-leaveMargin))
	g.log.WithField("in_progress", g.relay.InProgress()).Info("stopping")
	last := g.set.Load().Bounds.Shutdown - endMargin
	for time.Since(begun) < last {
		time.Sleep(idlePoll)
		if time.Since(begun) >= g.opts.ShutdownDelay && g.relay.InProgress() == 0 {
			break
		}
	}
	left := g.relay.InProgress()
	g.callers.Finish(lastWrites)
	g.cancel()
	g.log.WithField("in_progress", left).Info("stopped")
}

// Reload takes new settings: the store's address, the bounds and the memory. The
// addresses that a process serves are fixed while it lives.
func (g *Gateway) Reload(set *settings.Settings) {
	old := g.set.Swap(set)
	same := reflect.DeepEqual(set, old)
	g.log.WithField("changed", !same).Info("settings reloaded")
	if same {
		return
	}
	g.registry.SetRegions(set.Regions)
	g.store.SetAddress(set.Store)
	g.store.SetLink(set.LinkMbps)
	g.relay.Configure(relayConfig(set))
	debug.SetMemoryLimit(int64(memoryShare * float64(set.MemoryBytes)))
}

// Close ends the gateway at once.
func (g *Gateway) Close() {
	g.cancel()
	g.callers.Close()
	g.wg.Wait()
}
