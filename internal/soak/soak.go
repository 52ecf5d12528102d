package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"kingcupplank.example/kingcup/internal/standin"
	"kingcupplank.example/kingcup/internal/standin/fleet"
	"kingcupplank.example/kingcup/internal/wait"
)

const (
	streamEvents = 60
	eventEvery   = 15 * time.Millisecond
	copyTime     = 30 * time.Millisecond
	// revokeBound is what gateways are told, and revokeSlack what a request may take
	// from its caller to the moment at which it is checked.
	revokeBound = 3 * time.Second
	callers     = 8
	// Every thinEvery-th gateway has a link of thinMbps to the store.
	thinEvery, thinMbps = 2, 10
	// settleTime is how long after the last fault everything must be served again.
	settleTime = 8 * time.Second
	// oneZoneKinds is the number of kinds of faults up to which a seed has all servers in one
	// zone.
	oneZoneKinds = 21
)

// Options of a run.
type Options struct {
	Seed uint64
	// Kinds is how many of the kinds of faults are drawn, in their order.
	Kinds    int
	Lasts    time.Duration
	Gateways int
	// Binary is the gateway's program, Dir a folder for settings and logs.
	Binary, Dir string
}

// Soak is one run.
type Soak struct {
	Options
	fleet   *fleet.Fleet
	history *History
	nodes   []*gateway

	// configuring is held by whoever writes a configuration; it comes before mu.
	configuring sync.Mutex

	mu      sync.Mutex
	rng     *rand.Rand
	proxies []*Proxy
	servers []*fleet.Server
	// leaving are servers that a fault has ended or will end.
	leaving map[*fleet.Server]bool
	// key is what callers use, valid the one of the newest configuration.
	key, valid string
	// bodies are those under which model servers end.
	bodies []string
	// newest is a path of the route that was added last.
	newest string
	faults []string
	// added counts the servers.
	added int
}

// gateway is a gateway's process and its proxy towards the store.
type gateway struct {
	node  fleet.VMSettings
	door  *Proxy
	path  string
	log   *os.File
	mu    sync.Mutex
	cmd   *exec.Cmd
	ended chan struct{}
}

// Result is what a run found.
type Result struct {
	// Faults are the faults played, Broken the promises broken.
	Faults, Broken []string
	// Attempts and Served count callers' requests.
	Attempts, Served int
}

// Run plays a seed.
func Run(ctx context.Context, o Options) (*Result, error) {
	s := &Soak{
		Options: o, fleet: fleet.New(), history: newHistory(), rng: rand.New(rand.NewPCG(o.Seed, 1)),
		leaving: make(map[*fleet.Server]bool), key: fleet.Key, valid: fleet.Key,
	}
	defer s.close()
	if err := s.start(); err != nil {
		return nil, err
	}
	if err := s.settled(ctx, "at the start"); err != nil {
		return nil, err
	}
	s.play(ctx)
	res := &Result{Faults: s.faults}
	if err := s.settled(ctx, "after the last fault"); err != nil {
		res.Broken = append(res.Broken, err.Error())
	}
	res.Broken = append(res.Broken, s.emptyCalmly(ctx)...)
	res.Broken = append(res.Broken, s.adviseCalmly(ctx)...)
	s.mu.Lock()
	servers := s.servers
	s.mu.Unlock()
	res.Broken = append(res.Broken, s.history.Check(servers, revokeBound)...)
	res.Broken = append(res.Broken, checkHarmful(servers, s.bodies)...)
	for _, a := range s.history.attempts {
		res.Attempts++
		if a.Status == 200 && a.Whole {
			res.Served++
		}
	}
	return res, nil
}

func (s *Soak) start() error {
	s.fleet.AddProxy, s.fleet.OnCrash, s.fleet.OnReplacement = s.via, s.ended, s.began
	for range 3 {
		if _, err := s.add(fleet.ModelService); err != nil {
			return err
		}
		if _, err := s.add(fleet.DeskService); err != nil {
			return err
		}
	}
	for i := range s.Gateways {
		if err := s.addGateway(i); err != nil {
			return err
		}
	}
	return nil
}

// via puts a proxy in front of a server.
func (s *Soak) via(address string) (string, error) {
	p, err := NewProxy(address)
	if err != nil {
		return "", err
	}
	s.mu.Lock()
	s.proxies = append(s.proxies, p)
	s.mu.Unlock()
	return p.Address, nil
}

// ended has what stands in front of a server that ended refuse connections, as its VM does.
func (s *Soak) ended(srv *fleet.Server) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving[srv] = true
	for _, p := range s.proxies {
		if p.Address == srv.Address {
			p.Close()
		}
	}
}

func (s *Soak) began(srv *fleet.Server) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.servers = append(s.servers, srv)
}

func (s *Soak) add(service string) (*fleet.Server, error) { return s.addIn(service, s.zone()) }

func (s *Soak) addIn(service, zone string) (*fleet.Server, error) {
	b := fleet.Behavior{}
	if service == fleet.ModelService {
		b = fleet.Behavior{Events: streamEvents, EventInterval: eventEvery, CopyTime: copyTime, CrashOn: harmfulBody, CrashDelay: endsAfter}
	}
	srv, err := s.fleet.Add(service, zone, b)
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	s.servers = append(s.servers, srv)
	s.mu.Unlock()
	return srv, nil
}

// zone is that of the next server: two zones by turns, where zones are emptied.
func (s *Soak) zone() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.added++
	if s.Kinds > oneZoneKinds && s.added/2%2 == 0 {
		return emptiedZone
	}
	return ownZone
}

func (s *Soak) addGateway(i int) error {
	door, err := s.fleet.Store.AddEndpoint()
	if err != nil {
		return err
	}
	proxy, err := NewProxy(door.Address)
	if err != nil {
		return err
	}
	name := fmt.Sprintf("vm-%d", i)
	g := &gateway{node: fleet.NewVMSettings(name, proxy.Address), door: proxy, path: filepath.Join(s.Dir, name+".json")}
	if i%thinEvery == 0 {
		g.node.LinkMbps = thinMbps
		door.SetLink(standin.NewLink(thinMbps))
	}
	g.node.RevokeMs = int(revokeBound.Milliseconds())
	if err := g.node.WriteFile(g.path); err != nil {
		return err
	}
	if g.log, err = os.Create(filepath.Join(s.Dir, name+".log")); err != nil {
		return err
	}
	s.nodes = append(s.nodes, g)
	s.mu.Lock()
	s.proxies = append(s.proxies, proxy)
	s.mu.Unlock()
	return g.start(s.Binary)
}

// start runs the process, and again whenever it has ended.
func (g *gateway) start(binary string) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	cmd := exec.Command(binary, "-metrics-port", "0", "-leave", "300ms")
	cmd.Env = append(os.Environ(), fleet.SettingsVariable+"="+g.path, "GORACE=halt_on_error=1")
	cmd.Stdout, cmd.Stderr = g.log, g.log
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	g.cmd, g.ended = cmd, ended
	go func() {
		cmd.Wait()
		close(ended)
	}()
	return nil
}

func (g *gateway) signal(sig syscall.Signal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.cmd.Process.Signal(sig)
}

// restart waits for the end of the process, for at most d, and starts it anew.
func (g *gateway) restart(ctx context.Context, binary string, d time.Duration) {
	g.mu.Lock()
	ended := g.ended
	g.mu.Unlock()
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ended:
	case <-t.C:
		g.signal(syscall.SIGKILL)
		<-ended
	case <-ctx.Done():
		return
	}
	if err := g.start(binary); err != nil {
		fmt.Fprintln(g.log, "soak: restart:", err)
	}
}

// play runs callers and faults for the time of the run.
func (s *Soak) play(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, s.Lasts)
	defer cancel()
	var wg sync.WaitGroup
	for i := range callers {
		rng := rand.New(rand.NewPCG(s.Seed, uint64(i)+100))
		wg.Go(func() { s.caller(ctx, rng) })
	}
	wg.Go(func() { s.harm(ctx, &wg) })
	wg.Wait()
}

var paths = []string{fleet.OncePath, fleet.SafePath, fleet.PlanPath, fleet.CheckPath}

// caller makes one request after the other until the run ends; what is in progress
// then is finished.
func (s *Soak) caller(ctx context.Context, rng *rand.Rand) {
	for wait.For(ctx, time.Duration(rng.IntN(60))*time.Millisecond) {
		s.attempt(s.nodes[rng.IntN(len(s.nodes))], paths[rng.IntN(len(paths))])
	}
}

// attemptTimeout bounds an attempt; a caller leaves then.
const attemptTimeout = 10 * time.Second

func (s *Soak) attempt(g *gateway, path string) Attempt {
	ctx, cancel := context.WithTimeout(context.Background(), attemptTimeout)
	defer cancel()
	s.mu.Lock()
	key := s.key
	s.mu.Unlock()
	a := Attempt{As: fleet.CallerRequest{ID: fleet.NextID(), Key: key}, Path: path, Sent: time.Now()}
	var err error
	if a.stream() {
		a.Status, err = fleet.StreamWith(ctx, g.node.Callers, path, a.As, func(e string) { a.Events = append(a.Events, e) })
	} else {
		a.Status, a.Body, err = fleet.CallWith(ctx, g.node.Callers, path, a.As)
	}
	a.Whole = err == nil
	s.history.add(a)
	return a
}

// settled waits until every gateway serves every kind of request, also on the route that
// was added last.
func (s *Soak) settled(ctx context.Context, when string) error {
	s.fleet.Store.SetFault(fleet.NoFault)
	deadline := time.Now().Add(settleTime)
	s.mu.Lock()
	for _, p := range s.proxies {
		p.SetMode(PassThrough)
	}
	served := slices.Clone(paths)
	if s.newest != "" {
		served = append(served, s.newest)
	}
	s.mu.Unlock()
	for _, g := range s.nodes {
		for _, path := range served {
			for {
				a := s.attempt(g, path)
				if a.Status == 200 && a.Whole {
					break
				}
				if time.Now().After(deadline) || !wait.For(ctx, 50*time.Millisecond) {
					return fmt.Errorf("%s does not serve %s %s: status %d", g.node.Name, path, when, a.Status)
				}
			}
		}
	}
	return nil
}

func (s *Soak) close() {
	for _, g := range s.nodes {
		g.signal(syscall.SIGCONT)
		g.signal(syscall.SIGKILL)
		<-g.ended
		g.log.Close()
	}
	s.fleet.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.proxies {
		p.Close()
	}
}
