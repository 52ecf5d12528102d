package proof

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"kingcupplank.example/kingcup/client"
	"kingcupplank.example/kingcup/engine"
	"kingcupplank.example/kingcup/internal/app"
	"kingcupplank.example/kingcup/internal/memnet"
	"kingcupplank.example/kingcup/internal/standin/engines"
	"kingcupplank.example/kingcup/internal/standin/services"
	"kingcupplank.example/kingcup/internal/standin/tables"
	"kingcupplank.example/kingcup/internal/wire"
	kingcupv1 "kingcupplank.example/kingcup/proto/kingcup/v1"
	"kingcupplank.example/kingcup/storage"
	"kingcupplank.example/kingcup/vmlist"
)

const (
	model   = "plan"
	service = "desk"
	team    = "small"
)

var domains = []string{"d0", "d1", "d2"}

// inVirtualTime runs f in virtual time, in a synctest bubble. yamux keeps timers in a sync.Pool of
// the process, and a timer that was created in one bubble must not be used in another. Two garbage
// collections empty the pool and its victim cache.
func inVirtualTime(t *testing.T, f func(t *testing.T)) {
	runtime.GC()
	runtime.GC()
	synctest.Test(t, f)
}

// replaceableEngine is an engine that can be killed and replaced while its agent runs.
type replaceableEngine struct {
	mu    sync.Mutex
	inner *engines.Engine
	// pastRuns are the runs at engines that have been replaced.
	pastRuns []engines.Run
}

func (s *replaceableEngine) current() *engines.Engine {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.inner
}

func (s *replaceableEngine) replace(cfg engines.Config) {
	old := s.current()
	log := old.Log()
	old.Kill()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pastRuns = append(s.pastRuns, log...)
	s.inner = engines.New(cfg)
}

func (s *replaceableEngine) log() []engines.Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append(append([]engines.Run(nil), s.pastRuns...), s.inner.Log()...)
}

func (s *replaceableEngine) Generate(ctx context.Context, r engine.Request) (engine.Stream, error) {
	return s.current().Generate(ctx, r)
}
func (s *replaceableEngine) Attach(ctx context.Context, id string, next uint64) (engine.Stream, error) {
	return s.current().Attach(ctx, id, next)
}
func (s *replaceableEngine) Cancel(ctx context.Context, id string, a uint32) error {
	return s.current().Cancel(ctx, id, a)
}
func (s *replaceableEngine) List(ctx context.Context) ([]engine.RunningStream, error) {
	return s.current().List(ctx)
}
func (s *replaceableEngine) ReadStatus(ctx context.Context) (engine.Status, error) {
	return s.current().ReadStatus(ctx)
}
func (s *replaceableEngine) Order(ctx context.Context, o engine.Order) error {
	return s.current().Order(ctx, o)
}

// server is an agent with its engine or service.
type server struct {
	opts    app.AgentOptions
	backend app.Backend
	engine  *replaceableEngine
	cfg     engines.Config
	agent   *app.Agent
}

// system is the whole system in one process and in virtual time.
type system struct {
	t                *testing.T
	net              *memnet.Network
	table            *tables.Table
	platformServices app.Platform
	service          *services.Service
	backendServers   []*server
	entryOptions     []app.EntryOptions
	entries          []*app.Entry
	conns            []*grpc.ClientConn
	log              logrus.FieldLogger
	random           *lockedRandom
	buffer           int
	// partitioned is true while the second region is disconnected from the first and from the store.
	partitioned atomic.Bool
	domainOf    map[string]string
	// fakeAgents are the servers that replace agents.
	fakeAgents []*wire.Server
}

// lockedRandom is a seeded random source that is safe for concurrent use.
type lockedRandom struct {
	mu  sync.Mutex
	rnd *rand.Rand
}

func newLockedRandom(seed uint64) *lockedRandom {
	return &lockedRandom{rnd: rand.New(rand.NewPCG(seed, seed))}
}

func (l *lockedRandom) Uint64() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.rnd.Uint64()
}

type setup struct {
	entries, servers int
	resumes          bool
	checksTerm       bool
	memory           uint64
	seed             uint64
	buffer           int
	// table wraps the platform's table, for tests with a table that violates its guarantees.
	table func(*tables.Table) storage.Table
}

func newSystem(t *testing.T, o setup) *system {
	quiet := logrus.New()
	quiet.SetOutput(io.Discard)
	t.Logf("seed %d", o.seed)
	s := &system{t: t, random: newLockedRandom(o.seed), buffer: o.buffer, domainOf: make(map[string]string), net: memnet.New(), table: tables.New(), service: services.New(), log: quiet}
	s.platformServices = app.Platform{Table: s.table, Objects: s.table, VMs: s.table}
	if o.table != nil {
		s.platformServices.Table = o.table(s.table)
	}
	if o.memory == 0 {
		o.memory = 100000
	}
	for i := range o.servers {
		cfg := engines.Config{
			Step: 20 * time.Millisecond, Memory: o.memory, Resumes: o.resumes, ChecksTerm: o.checksTerm,
			Retain: 30 * time.Second, Models: []string{model}, Nonce: uint64(i),
		}
		sw := &replaceableEngine{inner: engines.New(cfg)}
		s.addServer(fmt.Sprintf("server-%d", i), i, app.Backend{Engine: sw}, model)
		s.backendServers[i].engine, s.backendServers[i].cfg = sw, cfg
	}
	for i := range 2 {
		s.addServer(fmt.Sprintf("desk-%d", i), i, app.Backend{Service: s.service}, service)
	}
	for i := range o.entries {
		s.addEntry(i)
	}
	s.configure()
	return s
}

func (s *system) commonOptions(name string, i int) app.CommonOptions {
	s.domainOf[name] = domains[i%len(domains)]
	return app.CommonOptions{
		Name: name, FailureDomain: domains[i%len(domains)], InnerAddress: name,
		ConfigPollInterval: 2 * time.Second, ConfigStaleAfter: 20 * time.Second,
	}
}

func (s *system) addServer(name string, i int, b app.Backend, serves string) {
	n := &server{opts: app.DefaultAgentOptions(s.commonOptions(name, i)), backend: b}
	if s.buffer > 0 {
		n.opts.BufferBytes = s.buffer
	}
	if b.Service != nil {
		n.opts.Services = []string{serves}
	}
	s.backendServers = append(s.backendServers, n)
	s.startAgent(n)
	s.table.PutVM(vmlist.VM{Name: name, Address: name, FailureDomain: n.opts.FailureDomain, Role: vmlist.RoleAgent, Models: []string{serves}})
}

// platformFor returns the platform services of one process. The table is unavailable while the
// process's region is partitioned from the store.
func (s *system) platformFor(c app.CommonOptions) app.Platform {
	p := s.platformServices
	p.Table = partitionableTable{p.Table, func() bool { return s.partitioned.Load() && inSecondRegion(c.InnerAddress, s) }}
	return p
}

// partitionableTable is a table whose calls fail while unavailable returns true.
type partitionableTable struct {
	storage.Table
	unavailable func() bool
}

func (g partitionableTable) Commit(ctx context.Context, txn storage.Txn) (uint64, error) {
	if g.unavailable() {
		return 0, storage.ErrUnavailable
	}
	return g.Table.Commit(ctx, txn)
}

func (g partitionableTable) Read(ctx context.Context, keys ...string) ([]storage.Row, error) {
	if g.unavailable() {
		return nil, storage.ErrUnavailable
	}
	return g.Table.Read(ctx, keys...)
}

// inSecondRegion reports whether an address is in the second region, which consists of domains[1].
func inSecondRegion(address string, s *system) bool {
	return s.domainOf[address] == domains[1]
}

// partitionRegions starts or ends a partition between the regions, and between the second region
// and the store.
func (s *system) partitionRegions(on bool) {
	s.partitioned.Store(on)
	if !on {
		s.net.Partition(nil)
		return
	}
	s.net.Partition(func(a, b string) bool {
		return a != "" && s.domainOf[a] != "" && s.domainOf[b] != "" && inSecondRegion(a, s) != inSecondRegion(b, s)
	})
}

func (s *system) startAgent(n *server) {
	a, err := app.StartAgent(context.Background(), n.opts, n.backend, s.platformFor(n.opts.CommonOptions), s.net.From(n.opts.InnerAddress), s.log)
	require.NoError(s.t, err)
	n.agent = a
}

func (s *system) addEntry(i int) {
	o := app.DefaultEntryOptions(s.commonOptions(fmt.Sprintf("entry-%d", i), i))
	o.CallerAddress = o.Name + "-callers"
	o.Random = s.random.Uint64
	s.table.PutVM(vmlist.VM{Name: o.Name, Address: o.InnerAddress, FailureDomain: o.FailureDomain, Role: vmlist.RoleEntry})
	s.entryOptions = append(s.entryOptions, o)
	s.entries = append(s.entries, nil)
	s.startEntry(i)
	conn, err := grpc.NewClient("passthrough:///"+o.CallerAddress,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithContextDialer(func(ctx context.Context, a string) (net.Conn, error) { return s.net.Dial(ctx, a) }))
	require.NoError(s.t, err)
	s.conns = append(s.conns, conn)
}

func (s *system) startEntry(i int) {
	e, err := app.StartEntry(s.entryOptions[i], s.platformFor(s.entryOptions[i].CommonOptions), s.net.From(s.entryOptions[i].InnerAddress), s.log)
	require.NoError(s.t, err)
	s.entries[i] = e
}

// configure configures the models and teams and waits until all processes have applied the change.
func (s *system) configure() {
	rows := []*kingcupv1.Row{
		{Row: &kingcupv1.Row_Model{Model: &kingcupv1.Model{Name: model, Kind: kingcupv1.ModelKind_MODEL_KIND_GENERATION}}},
		{Row: &kingcupv1.Row_Model{Model: &kingcupv1.Model{Name: service, Kind: kingcupv1.ModelKind_MODEL_KIND_SERVICE}}},
		teamRow(team, 1), teamRow("large", 1),
	}
	time.Sleep(3 * time.Second)
	_, err := s.operator(0).Apply(s.t.Context(), &kingcupv1.ApplyRequest{ChangeId: "setup", Puts: rows})
	require.NoError(s.t, err)
	time.Sleep(5 * time.Second)
}

func teamRow(name string, weight uint32) *kingcupv1.Row {
	return &kingcupv1.Row{Row: &kingcupv1.Row_Team{Team: &kingcupv1.Team{Name: name, Weight: weight, Models: []string{model, service}}}}
}

func (s *system) operator(i int) kingcupv1.OperatorServiceClient {
	return kingcupv1.NewOperatorServiceClient(s.conns[i])
}

// client returns a client that uses the given entries, or all entries if none is given.
func (s *system) client(o client.Options, entries ...int) *client.Client {
	var conns []grpc.ClientConnInterface
	for i, c := range s.conns {
		if len(entries) == 0 {
			conns = append(conns, c)
		}
		for _, e := range entries {
			if e == i {
				conns = append(conns, c)
			}
		}
	}
	return client.New(o, conns...)
}

// noRetries are the options of a client that does not retry.
var noRetries = client.Options{}

func (s *system) close() {
	for _, c := range s.conns {
		c.Close()
	}
	for _, e := range s.entries {
		if e != nil {
			e.Close()
		}
	}
	for _, f := range s.fakeAgents {
		f.Close()
	}
	for _, n := range s.backendServers {
		if n.agent != nil {
			n.agent.Close()
		}
		if n.engine != nil {
			n.engine.current().Kill()
		}
	}
}

func (s *system) killEntry(i int) {
	s.entries[i].Close()
	s.entries[i] = nil
}

func (s *system) killAgent(i int) {
	s.net.Disconnect(s.backendServers[i].opts.InnerAddress)
	s.backendServers[i].agent.Close()
	s.backendServers[i].agent = nil
	s.net.Restore(s.backendServers[i].opts.InnerAddress)
}

func (s *system) killEngine(i int) {
	s.backendServers[i].engine.replace(s.backendServers[i].cfg)
}

// runs returns the runs of a request at all engines.
func (s *system) runs(requestID string) []engines.Run {
	var out []engines.Run
	for _, n := range s.backendServers {
		if n.engine == nil {
			continue
		}
		for _, r := range n.engine.log() {
			if r.RequestID == requestID {
				out = append(out, r)
			}
		}
	}
	return out
}

// freshRuns returns the runs of a request that began at its first token.
func (s *system) freshRuns(requestID string) []engines.Run {
	var out []engines.Run
	for _, r := range s.runs(requestID) {
		if r.Prefix == 0 {
			out = append(out, r)
		}
	}
	return out
}

// serverIndex returns the index of the server with a name.
func (s *system) serverIndex(server string) int {
	for i, n := range s.backendServers {
		if n.opts.Name == server {
			return i
		}
	}
	s.t.Fatalf("no server %q", server)
	return -1
}
