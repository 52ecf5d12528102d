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

// virtual runs f in virtual time. yamux keeps timers in a pool of the process,
// and a timer made in one bubble may not be used in the next; two collections
// empty the pool and its victim cache.
func virtual(t *testing.T, f func(t *testing.T)) {
	runtime.GC()
	runtime.GC()
	synctest.Test(t, f)
}

// swap is an engine that can be killed and replaced behind its agent.
type swap struct {
	mu  sync.Mutex
	cur *engines.Engine
	// killed are the logs of engines that are gone.
	killed []engines.Run
}

func (s *swap) get() *engines.Engine {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cur
}

func (s *swap) replace(cfg engines.Config) {
	old := s.get()
	log := old.Log()
	old.Kill()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.killed = append(s.killed, log...)
	s.cur = engines.New(cfg)
}

func (s *swap) log() []engines.Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append(append([]engines.Run(nil), s.killed...), s.cur.Log()...)
}

func (s *swap) Generate(ctx context.Context, r engine.Request) (engine.Stream, error) {
	return s.get().Generate(ctx, r)
}
func (s *swap) Attach(ctx context.Context, id string, next uint64) (engine.Stream, error) {
	return s.get().Attach(ctx, id, next)
}
func (s *swap) Cancel(ctx context.Context, id string, a uint32) error {
	return s.get().Cancel(ctx, id, a)
}
func (s *swap) List(ctx context.Context) ([]engine.RunningStream, error) { return s.get().List(ctx) }
func (s *swap) Load(ctx context.Context) (engine.Status, error)          { return s.get().Load(ctx) }
func (s *swap) Order(ctx context.Context, o engine.Order) error          { return s.get().Order(ctx, o) }

// node is one agent with what stands behind it.
type node struct {
	opts    app.AgentOptions
	backend app.Backend
	engine  *swap
	cfg     engines.Config
	agent   *app.Agent
}

// system is the whole system in one process, in virtual time.
type system struct {
	t       *testing.T
	net     *memnet.Network
	table   *tables.Table
	plat    app.Platform
	service *services.Service
	nodes   []*node
	eopts   []app.EntryOptions
	entries []*app.Entry
	conns   []*grpc.ClientConn
	log     logrus.FieldLogger
	random  *lockedRand
	buffer  int
	// parted is true while the second region is cut off.
	parted   atomic.Bool
	domainOf map[string]string
	// fakes stand in an agent's place.
	fakes []*wire.Server
}

// lockedRand is a seeded random source for many goroutines.
type lockedRand struct {
	mu  sync.Mutex
	rnd *rand.Rand
}

func newLockedRand(seed uint64) *lockedRand {
	return &lockedRand{rnd: rand.New(rand.NewPCG(seed, seed))}
}

func (l *lockedRand) Uint64() uint64 {
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
	// table replaces the platform's table, for broken variants.
	table func(*tables.Table) storage.Table
}

func newSystem(t *testing.T, o setup) *system {
	quiet := logrus.New()
	quiet.SetOutput(io.Discard)
	t.Logf("seed %d", o.seed)
	s := &system{t: t, random: newLockedRand(o.seed), buffer: o.buffer, domainOf: make(map[string]string), net: memnet.New(), table: tables.New(), service: services.New(), log: quiet}
	s.plat = app.Platform{Table: s.table, Objects: s.table, VMs: s.table}
	if o.table != nil {
		s.plat.Table = o.table(s.table)
	}
	if o.memory == 0 {
		o.memory = 100000
	}
	for i := range o.servers {
		cfg := engines.Config{
			Step: 20 * time.Millisecond, Memory: o.memory, Resumes: o.resumes, ChecksTerm: o.checksTerm,
			Retain: 30 * time.Second, Models: []string{model}, Nonce: uint64(i),
		}
		sw := &swap{cur: engines.New(cfg)}
		s.addNode(fmt.Sprintf("server-%d", i), i, app.Backend{Engine: sw}, model)
		s.nodes[i].engine, s.nodes[i].cfg = sw, cfg
	}
	for i := range 2 {
		s.addNode(fmt.Sprintf("desk-%d", i), i, app.Backend{Service: s.service}, service)
	}
	for i := range o.entries {
		s.addEntry(i)
	}
	s.configure()
	return s
}

func (s *system) common(name string, i int) app.CommonOptions {
	s.domainOf[name] = domains[i%len(domains)]
	return app.CommonOptions{
		Name: name, FailureDomain: domains[i%len(domains)], InnerAddress: name,
		ConfigPollInterval: 2 * time.Second, ConfigStaleAfter: 20 * time.Second,
	}
}

func (s *system) addNode(name string, i int, b app.Backend, serves string) {
	n := &node{opts: app.DefaultAgentOptions(s.common(name, i)), backend: b}
	if s.buffer > 0 {
		n.opts.BufferBytes = s.buffer
	}
	if b.Service != nil {
		n.opts.Services = []string{serves}
	}
	s.nodes = append(s.nodes, n)
	s.startAgent(n)
	s.table.PutVM(vmlist.VM{Name: name, Address: name, FailureDomain: n.opts.FailureDomain, Role: vmlist.RoleAgent, Models: []string{serves}})
}

// platform is what the platform gives to one process: nothing, while its region
// is parted from the store's.
func (s *system) platform(c app.CommonOptions) app.Platform {
	p := s.plat
	p.Table = gated{p.Table, func() bool { return s.parted.Load() && far(c.InnerAddress, s) }}
	return p
}

// gated is a table that cannot be reached while away is true.
type gated struct {
	storage.Table
	away func() bool
}

func (g gated) Commit(ctx context.Context, txn storage.Txn) (uint64, error) {
	if g.away() {
		return 0, storage.ErrUnavailable
	}
	return g.Table.Commit(ctx, txn)
}

func (g gated) Read(ctx context.Context, keys ...string) ([]storage.Row, error) {
	if g.away() {
		return nil, storage.ErrUnavailable
	}
	return g.Table.Read(ctx, keys...)
}

// far reports whether a place is in the second region, which has the domains
// with odd numbers.
func far(address string, s *system) bool {
	return s.domainOf[address] == domains[1]
}

// part cuts the regions off from each other, and the far one from the store.
func (s *system) part(on bool) {
	s.parted.Store(on)
	if !on {
		s.net.Partition(nil)
		return
	}
	s.net.Partition(func(a, b string) bool {
		return a != "" && s.domainOf[a] != "" && s.domainOf[b] != "" && far(a, s) != far(b, s)
	})
}

func (s *system) startAgent(n *node) {
	a, err := app.StartAgent(context.Background(), n.opts, n.backend, s.platform(n.opts.CommonOptions), s.net.From(n.opts.InnerAddress), s.log)
	require.NoError(s.t, err)
	n.agent = a
}

func (s *system) addEntry(i int) {
	o := app.DefaultEntryOptions(s.common(fmt.Sprintf("entry-%d", i), i))
	o.CallerAddress = o.Name + "-callers"
	o.Random = s.random.Uint64
	s.table.PutVM(vmlist.VM{Name: o.Name, Address: o.InnerAddress, FailureDomain: o.FailureDomain, Role: vmlist.RoleEntry})
	s.eopts = append(s.eopts, o)
	s.entries = append(s.entries, nil)
	s.startEntry(i)
	conn, err := grpc.NewClient("passthrough:///"+o.CallerAddress,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithContextDialer(func(ctx context.Context, a string) (net.Conn, error) { return s.net.Dial(ctx, a) }))
	require.NoError(s.t, err)
	s.conns = append(s.conns, conn)
}

func (s *system) startEntry(i int) {
	e, err := app.StartEntry(s.eopts[i], s.platform(s.eopts[i].CommonOptions), s.net.From(s.eopts[i].InnerAddress), s.log)
	require.NoError(s.t, err)
	s.entries[i] = e
}

// configure sets up the team and model and waits until they are in force.
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

// client calls through the given entries in turn; none means all.
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

// once are options of a caller that never comes back by itself.
var once = client.Options{}

func (s *system) close() {
	for _, c := range s.conns {
		c.Close()
	}
	for _, e := range s.entries {
		if e != nil {
			e.Close()
		}
	}
	for _, f := range s.fakes {
		f.Close()
	}
	for _, n := range s.nodes {
		if n.agent != nil {
			n.agent.Close()
		}
		if n.engine != nil {
			n.engine.get().Kill()
		}
	}
}

func (s *system) killEntry(i int) {
	s.entries[i].Close()
	s.entries[i] = nil
}

func (s *system) killAgent(i int) {
	s.net.Disconnect(s.nodes[i].opts.InnerAddress)
	s.nodes[i].agent.Close()
	s.nodes[i].agent = nil
	s.net.Restore(s.nodes[i].opts.InnerAddress)
}

func (s *system) killEngine(i int) {
	s.nodes[i].engine.replace(s.nodes[i].cfg)
}

// runs counts the executions of a request at all engines.
func (s *system) runs(requestID string) []engines.Run {
	var out []engines.Run
	for _, n := range s.nodes {
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

// freshRuns are the executions that began a generation.
func (s *system) freshRuns(requestID string) []engines.Run {
	var out []engines.Run
	for _, r := range s.runs(requestID) {
		if r.Prefix == 0 {
			out = append(out, r)
		}
	}
	return out
}

// index finds a node by the name in a result.
func (s *system) index(server string) int {
	for i, n := range s.nodes {
		if n.opts.Name == server {
			return i
		}
	}
	s.t.Fatalf("no server %q", server)
	return -1
}
