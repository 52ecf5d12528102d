package app

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"go.uber.org/dig"
	"google.golang.org/grpc"
	"google.golang.org/grpc/keepalive"

	"kingcupplank.example/kingcup/claim"
	"kingcupplank.example/kingcup/conf"
	"kingcupplank.example/kingcup/internal/admin"
	"kingcupplank.example/kingcup/internal/confsync"
	"kingcupplank.example/kingcup/internal/entry"
	"kingcupplank.example/kingcup/internal/guard"
	"kingcupplank.example/kingcup/internal/link"
	"kingcupplank.example/kingcup/internal/metrics"
	"kingcupplank.example/kingcup/internal/wire"
	"kingcupplank.example/kingcup/lease"
)

// EntryOptions configures StartEntry. Most fields correspond to those of entry.Config.
type EntryOptions struct {
	CommonOptions
	// CallerAddress is the address to listen on for callers and operators.
	CallerAddress     string
	AgentLinks        int
	EntryLinks        int
	HeartbeatInterval time.Duration
	ListInterval      time.Duration
	AcceptTimeout     time.Duration
	ReattachTimeout   time.Duration
	ClaimWindow       time.Duration
	LeaseTTL          time.Duration
	MaxRequests       int
	// Random returns random numbers for placement; nil selects the default generator.
	Random func() uint64
}

// DefaultEntryOptions returns the default options of an entry with the given common options.
func DefaultEntryOptions(c CommonOptions) EntryOptions {
	return EntryOptions{
		CommonOptions: c, AgentLinks: 96, EntryLinks: 4, HeartbeatInterval: time.Second, ListInterval: 5 * time.Second,
		AcceptTimeout: 2 * time.Second, ReattachTimeout: 3 * time.Second,
		ClaimWindow: 3 * time.Millisecond, LeaseTTL: 15 * time.Second, MaxRequests: 10000,
	}
}

// Entry is a running entry with its listeners and background tasks.
type Entry struct {
	Entry *entry.Entry
	Sync  *confsync.Syncer
	// CallerAddress is the address on which the entry listens for callers and operators.
	CallerAddress string

	links  *link.Manager
	claims *claim.Claims
	grpc   *grpc.Server
	inner  *wire.Server
	admin  *admin.Server
	cancel context.CancelFunc
	wg     sync.WaitGroup

	closeOnce sync.Once
}

const (
	maxStreamBytes       = 256 << 10
	propagationTimeout   = time.Second
	maxServersPerRequest = 4

	// entryCallerMemory and entryInnerMemory are the parts of an entry's memory for requests that callers and the
	// system's own processes may use.
	entryCallerMemory, entryInnerMemory = 0.75, 0.25

	// callerConnectTimeout bounds the handshake of a caller's connection.
	callerConnectTimeout    = 5 * time.Second
	callerKeepaliveInterval = 20 * time.Second
	callerKeepaliveTimeout  = 10 * time.Second
)

// provideCommon registers the constructors that entry and agent share.
func provideCommon(c *dig.Container, common CommonOptions, p Platform, log logrus.FieldLogger, network wire.Network) error {
	providers := []any{
		func() CommonOptions { return common },
		func() Platform { return p },
		func() logrus.FieldLogger { return log },
		func() wire.Network { return network },
		conf.NewReplica,
		func(p Platform) *conf.Store { return conf.NewStore(p.Table, p.Objects) },
		func(r *conf.Replica, s *conf.Store, log logrus.FieldLogger) *confsync.Syncer {
			return confsync.New(confsync.Config{PollInterval: common.ConfigPollInterval, StaleAfter: common.ConfigStaleAfter}, r, s, log)
		},
		metrics.New,
	}
	return provideAll(c, providers)
}

func provideAll(c *dig.Container, providers []any) error {
	for _, p := range providers {
		if err := c.Provide(p); err != nil {
			return errors.Wrap(err, "register constructor")
		}
	}
	return nil
}

// StartEntry starts an entry, which runs until Close.
func StartEntry(o EntryOptions, p Platform, network wire.Network, log logrus.FieldLogger) (*Entry, error) {
	c := dig.New()
	if err := provideCommon(c, o.CommonOptions, p, log, network); err != nil {
		return nil, err
	}
	err := provideAll(c, []any{
		func(network wire.Network, s *confsync.Syncer, log logrus.FieldLogger) *link.Manager {
			cfg := link.Config{Identity: o.Identity(), HeartbeatInterval: o.HeartbeatInterval, DialTimeout: o.AcceptTimeout}
			return link.NewManager(cfg, network, s, log)
		},
		func(p Platform) *claim.Claims { return claim.New(p.Table, o.ClaimWindow) },
		func(p Platform) *lease.Manager { return lease.NewManager(p.Table, o.Name, o.LeaseTTL) },
		func(s *confsync.Syncer, store *conf.Store, links *link.Manager, claims *claim.Claims, leases *lease.Manager, p Platform, log logrus.FieldLogger, rec *metrics.Recorder) *entry.Entry {
			return entry.New(entry.Config{
				Identity: o.Identity(), ListInterval: o.ListInterval, AgentLinks: o.AgentLinks, EntryLinks: o.EntryLinks,
				AcceptTimeout: o.AcceptTimeout, ReattachTimeout: o.ReattachTimeout, MaxStreamBytes: maxStreamBytes,
				PropagationTimeout: propagationTimeout, MaxServersPerRequest: maxServersPerRequest, Random: o.Random,
				MaxRequests: o.MaxRequests,
			}, entry.Deps{Sync: s, Store: store, Links: links, Claims: claims, Leases: leases, VMs: p.VMs, Log: log, Observer: rec})
		},
	})
	if err != nil {
		return nil, err
	}
	var started *Entry
	err = c.Invoke(func(e *entry.Entry, s *confsync.Syncer, links *link.Manager, claims *claim.Claims, rec *metrics.Recorder) error {
		started = &Entry{Entry: e, Sync: s, links: links, claims: claims}
		return started.serve(o, network, rec)
	})
	return started, dig.RootCause(err)
}

func (r *Entry) serve(o EntryOptions, network wire.Network, rec *metrics.Recorder) error {
	inner, err := network.Listen(o.InnerAddress)
	if err != nil {
		return errors.Wrap(err, "inner address")
	}
	callers, err := network.Listen(o.CallerAddress)
	if err != nil {
		inner.Close()
		return errors.Wrap(err, "caller address")
	}
	r.CallerAddress = callers.Addr().String()
	rec.ExportGauge("kingcup_in_progress", "Requests in progress at this entry.", func() float64 { return float64(r.Entry.InProgress()) })
	r.inner = wire.NewServer(inner, r.Entry.Handle, o.limits(entryInnerMemory, peerFiles))
	// A caller whose VM crashes does not close its connection. Without keepalive its
	// streams would be relayed until TCP times out.
	keepaliveParams := keepalive.ServerParameters{Time: callerKeepaliveInterval, Timeout: callerKeepaliveTimeout}
	bounds := guard.NewGRPC(o.limits(entryCallerMemory, callerFiles), MaxMessageBytes)
	options := append(bounds.ServerOptions(), grpc.MaxRecvMsgSize(MaxMessageBytes), grpc.KeepaliveParams(keepaliveParams), grpc.ConnectionTimeout(callerConnectTimeout))
	r.grpc = grpc.NewServer(options...)
	r.Entry.Register(r.grpc)
	if r.admin, err = startAdmin(o.AdminAddress, network, rec, r.Entry.Ready, &r.wg); err != nil {
		inner.Close()
		callers.Close()
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	r.cancel = cancel
	r.wg.Go(r.inner.Serve)
	r.wg.Go(func() { r.grpc.Serve(bounds.Listener(callers)) })
	r.wg.Go(func() { r.Sync.Run(ctx) })
	r.wg.Go(func() { r.Entry.Run(ctx) })
	return nil
}

// startAdmin serves the admin address; it returns nil if address is empty.
func startAdmin(address string, network wire.Network, rec *metrics.Recorder, ready func() bool, wg *sync.WaitGroup) (*admin.Server, error) {
	if address == "" {
		return nil, nil
	}
	l, err := network.Listen(address)
	if err != nil {
		return nil, errors.Wrap(err, "admin address")
	}
	srv := admin.New(admin.Source{Registry: rec.Registry(), Ready: ready, Report: rec.Report})
	wg.Go(func() { srv.Serve(net.Listener(l)) })
	return srv, nil
}

// Shutdown refuses new work, waits until the work in progress is done or ctx ends, and
// closes the entry. It returns the number of requests that were still in progress.
func (r *Entry) Shutdown(ctx context.Context) int {
	remaining := r.Entry.Shutdown(ctx)
	stopGRPC(r.grpc, lastWriteTime(ctx))
	r.Close()
	return remaining
}

// minLastWriteTime is the least time for writing the last responses to connections.
const minLastWriteTime = time.Second

// lastWriteTime returns the time for writing the last responses: until ctx ends, which bounds the drain.
func lastWriteTime(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return minLastWriteTime
	}
	return max(minLastWriteTime, time.Until(deadline))
}

// stopGRPC stops srv, and waits up to timeout until the responses of finished handlers are
// written. The entry counts a request as finished when its handler returns, but gRPC writes
// the response status after that. If the connection closed in between, the caller would
// treat a complete response as broken.
func stopGRPC(srv *grpc.Server, timeout time.Duration) {
	done := make(chan struct{})
	go func() {
		srv.GracefulStop()
		close(done)
	}()
	t := time.NewTimer(timeout)
	defer t.Stop()
	select {
	case <-done:
	case <-t.C:
		srv.Stop()
	}
}

// Close stops the entry at once, as if its process had exited. Further calls have no
// effect.
func (r *Entry) Close() {
	r.closeOnce.Do(r.close)
}

func (r *Entry) close() {
	r.cancel()
	r.grpc.Stop()
	r.links.Close()
	r.inner.Close()
	r.claims.Close()
	if r.admin != nil {
		r.admin.Close()
	}
	r.wg.Wait()
}
