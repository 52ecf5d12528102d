package soak

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"kingcupplank.example/kingcup/internal/standin"
	"kingcupplank.example/kingcup/internal/standin/fleet"
	"kingcupplank.example/kingcup/internal/wait"
)

const (
	streamEvents  = 60
	eventInterval = 15 * time.Millisecond
	copyTime      = 30 * time.Millisecond
	// revokeTimeout is the maximum time for which a removed key may be accepted; gateways get it
	// in their settings.
	revokeTimeout = 3 * time.Second
	callerCount   = 8
	// Every slowLinkEvery-th gateway has a link of slowLinkMbps to the store.
	slowLinkEvery, slowLinkMbps = 2, 10
	// recoveryTimeout is the time after the last fault within which all requests must be served
	// again.
	recoveryTimeout = 8 * time.Second
	// With up to oneDomainFaultKinds kinds of faults, all servers of a run are in one failure
	// domain.
	oneDomainFaultKinds = 21
)

// Options are the parameters of a run.
type Options struct {
	Seed uint64
	// FaultKinds is the number of kinds of faults that are drawn, from the start of the list.
	FaultKinds int
	Duration   time.Duration
	Gateways   int
	// Binary is the path of the gateway's program, Dir the directory for settings and logs.
	Binary, Dir string
	// gatewayEnv is added to the gateways' environment.
	gatewayEnv []string
}

// Soak is the state of one run.
type Soak struct {
	Options
	fleet    *fleet.Fleet
	history  *History
	load     load
	gateways []*gateway

	// configMu serializes writes of the configuration. It is locked before mu.
	configMu sync.Mutex

	mu      sync.Mutex
	rng     *rand.Rand
	proxies []*Proxy
	servers []*fleet.Server
	// stopped has the servers that a fault has stopped or will stop.
	stopped map[*fleet.Server]bool
	// callersKey is the key that callers use, validKey that of the newest configuration.
	callersKey, validKey string
	// crashingBodies are the request bodies on which model servers crash.
	crashingBodies []string
	// crowded is the gateway that most callers go to, nil for none.
	crowded atomic.Pointer[gateway]
	// newestPath is a path on the route that was added last.
	newestPath string
	// memoryFaults are processes that had more than the memory of their VM.
	memoryFaults []string
	faultLog     []string
	// serverCount is the number of servers added with a domain from nextDomain.
	serverCount int
	// versions are the software versions of model servers that are started.
	versions softwareVersions
	// isPlanned says that the run has planned work only.
	isPlanned bool
	// engineCount is the number of model engines added, except those that replaced a crashed one.
	engineCount int
}

// gateway is a gateway's process and the proxy between it and the store.
type gateway struct {
	settings     fleet.VMSettings
	storeProxy   *Proxy
	settingsPath string
	logFile      *os.File
	// defaultDelay says that the process gets no shorter shutdown delay; env is added to its environment.
	defaultDelay bool
	env          []string
	mu           sync.Mutex
	cmd          *exec.Cmd
	exited       chan struct{}
	lives        []*life
	// isClosed is set at the end of the run; a fault may still be about to start the process again.
	isClosed bool
}

// Result is the outcome of a run.
type Result struct {
	// Load describes the load of the run.
	Load string
	// FaultLog describes the injected faults, Violations the violated guarantees.
	FaultLog, Violations []string
	// Attempts is the number of callers' requests, Served that of completely served ones.
	Attempts, Served int
	// ResumeAttempts is the number of attempts to resume a stream, Resumed that of those that received events.
	ResumeAttempts, Resumed int
}

// Run runs the faults and callers of a seed and checks the guarantees.
func Run(ctx context.Context, o Options) (*Result, error) {
	s := &Soak{
		Options: o, fleet: fleet.New(), history: newHistory(), rng: rand.New(rand.NewPCG(o.Seed, 1)),
		stopped: make(map[*fleet.Server]bool), callersKey: fleet.Key, validKey: fleet.Key, load: drawLoad(o.Seed, o.FaultKinds),
		versions: softwareVersions{several: drawLoad(o.Seed, o.FaultKinds).severalVersions},
	}
	defer s.close()
	if err := s.start(); err != nil {
		return nil, err
	}
	if err := s.waitUntilServing(ctx, "at the start"); err != nil {
		return nil, err
	}
	s.run(ctx)
	res := &Result{Load: s.load.String(), FaultLog: s.faultLog}
	if err := s.waitUntilServing(ctx, "after the last fault"); err != nil {
		res.Violations = append(res.Violations, err.Error())
	}
	res.Violations = append(res.Violations, s.checkCordon(ctx)...)
	res.Violations = append(res.Violations, s.checkSignals(ctx)...)
	res.Violations = append(res.Violations, s.checkLeaving(ctx)...)
	s.mu.Lock()
	servers := s.servers
	s.mu.Unlock()
	res.Violations = append(res.Violations, s.history.Check(servers, revokeTimeout)...)
	for _, g := range s.gateways {
		s.checkMemory(g)
	}
	res.Violations = append(res.Violations, s.memoryFaults...)
	res.Violations = append(res.Violations, s.checkTogether()...)
	res.Violations = append(res.Violations, checkRetries(servers, s.history.attempts)...)
	res.Violations = append(res.Violations, checkQuarantine(servers, s.crashingBodies)...)
	res.Violations = append(res.Violations, checkPartQuarantine(servers)...)
	for _, a := range s.history.attempts {
		res.Attempts++
		res.ResumeAttempts += a.resumeAttempts
		res.Resumed += a.resumed
		if a.Status == 200 && a.Complete {
			res.Served++
		}
	}
	return res, nil
}

func (s *Soak) start() error {
	s.fleet.AddProxy, s.fleet.OnCrash, s.fleet.OnReplacement = s.addProxy, s.onServerCrash, s.onServerReplacement
	load := s.load.config()
	if s.FaultKinds >= hostileFaultKinds {
		load.BodyBytes = hostileBodyBytes
	}
	s.fleet.SetLoad(load)
	for range 3 {
		if _, err := s.addServer(fleet.ModelService); err != nil {
			return err
		}
		if _, err := s.addServer(fleet.DeskService); err != nil {
			return err
		}
	}
	if s.load.unequalEngines {
		if _, err := s.addServer(fleet.ModelService); err != nil {
			return err
		}
	}
	for i := range s.Gateways + s.load.extraGateways() {
		if err := s.addGateway(i); err != nil {
			return err
		}
	}
	return nil
}

// addProxy starts a proxy in front of a server.
func (s *Soak) addProxy(address string) (string, error) {
	p, err := NewProxy(address)
	if err != nil {
		return "", err
	}
	s.mu.Lock()
	s.proxies = append(s.proxies, p)
	s.mu.Unlock()
	return p.Address, nil
}

// onServerCrash closes the proxy in front of a crashed server, so that it refuses connections as
// the server's VM would.
func (s *Soak) onServerCrash(srv *fleet.Server) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped[srv] = true
	for _, p := range s.proxies {
		if p.Address == srv.Address {
			p.Close()
		}
	}
}

func (s *Soak) onServerReplacement(srv *fleet.Server) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.servers = append(s.servers, srv)
}

func (s *Soak) addServer(service string) (*fleet.Server, error) {
	return s.addServerIn(service, s.nextDomain())
}

func (s *Soak) addServerIn(service, domain string) (*fleet.Server, error) {
	b := s.load.desk()
	if service == fleet.ModelService {
		s.mu.Lock()
		b = s.load.engine(s.engineCount)
		b.SoftwareVersion = s.versions.next(s.engineCount)
		s.engineCount++
		s.mu.Unlock()
	}
	srv, err := s.fleet.Add(service, domain, b)
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	s.servers = append(s.servers, srv)
	s.mu.Unlock()
	return srv, nil
}

// nextDomain returns the failure domain of the next server. Where domains are cordoned, servers
// are spread over two domains.
func (s *Soak) nextDomain() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.serverCount++
	if s.FaultKinds > oneDomainFaultKinds && s.serverCount/2%2 == 0 {
		return cordonedDomain
	}
	return gatewayDomain
}

func (s *Soak) addGateway(i int) error {
	endpoint, err := s.fleet.Store.AddEndpoint()
	if err != nil {
		return err
	}
	proxy, err := NewProxy(endpoint.Address)
	if err != nil {
		return err
	}
	name := fmt.Sprintf("vm-%d", i)
	g := &gateway{settings: fleet.NewVMSettings(name, proxy.Address), storeProxy: proxy, settingsPath: filepath.Join(s.Dir, name+".json")}
	if i%slowLinkEvery == 0 {
		g.settings.LinkMbps = slowLinkMbps
		endpoint.SetLink(standin.NewLink(slowLinkMbps))
	}
	if s.isPlanned {
		g.settings.GraceS, g.settings.LinkMbps, g.defaultDelay, g.env = int(plannedGrace.Seconds()), plannedMbps, true, s.gatewayEnv
		endpoint.SetLink(nil)
	}
	g.settings.LostZones = s.load.lostZones
	g.settings.RevokeMs = int(revokeTimeout.Milliseconds())
	if err := g.settings.WriteFile(g.settingsPath); err != nil {
		return err
	}
	if g.logFile, err = os.Create(filepath.Join(s.Dir, name+".log")); err != nil {
		return err
	}
	s.gateways = append(s.gateways, g)
	s.mu.Lock()
	s.proxies = append(s.proxies, proxy)
	s.mu.Unlock()
	return g.start(s.Binary)
}

// start starts the process, for the first time or after it has exited.
func (g *gateway) start(binary string) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.isClosed || g.isRunning() {
		return nil
	}
	cmd := exec.Command(binary, "-metrics-port", "0")
	if !g.defaultDelay {
		cmd.Args = append(cmd.Args, "-leave", "300ms")
	}
	cmd.Env = append(append(os.Environ(), fleet.SettingsVariable+"="+g.settingsPath, "GORACE=halt_on_error=1"), g.env...)
	cmd.Stdout, cmd.Stderr = g.logFile, g.logFile
	if err := cmd.Start(); err != nil {
		return err
	}
	exited, l := make(chan struct{}), &life{started: time.Now()}
	g.cmd, g.exited, g.lives = cmd, exited, append(g.lives, l)
	go func() {
		cmd.Wait()
		g.mu.Lock()
		l.ended, l.state = time.Now(), cmd.ProcessState.String()
		g.mu.Unlock()
		close(exited)
	}()
	return nil
}

// isRunning reports whether the process runs: of two faults that stopped it, the other has started it again. mu
// must be held.
func (g *gateway) isRunning() bool {
	if g.exited == nil {
		return false
	}
	select {
	case <-g.exited:
		return false
	default:
		return true
	}
}

// close kills the process for good. A process that outlived its run would reach the gateways of later ones, at
// addresses that are used again.
func (g *gateway) close() {
	g.mu.Lock()
	g.isClosed = true
	exited := g.exited
	g.mu.Unlock()
	g.signal(syscall.SIGCONT)
	g.signal(syscall.SIGKILL)
	<-exited
	g.logFile.Close()
}

func (g *gateway) signal(sig syscall.Signal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.cmd.Process.Signal(sig)
}

// restart waits until the process has exited and starts it again. It kills the process after
// timeout, and returns without a start when ctx ends.
func (g *gateway) restart(ctx context.Context, binary string, timeout time.Duration) {
	g.mu.Lock()
	exited := g.exited
	g.mu.Unlock()
	t := time.NewTimer(timeout)
	defer t.Stop()
	select {
	case <-exited:
	case <-t.C:
		g.signal(syscall.SIGKILL)
		<-exited
	case <-ctx.Done():
		return
	}
	if err := g.start(binary); err != nil {
		fmt.Fprintln(g.logFile, "soak: restart:", err)
	}
}

// run runs callers and faults for the duration of the run.
func (s *Soak) run(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, s.Duration)
	defer cancel()
	var wg sync.WaitGroup
	for i := range s.load.callers() {
		rng := rand.New(rand.NewPCG(s.Seed, uint64(i)+100))
		wg.Go(func() { s.caller(ctx, rng) })
	}
	wg.Go(func() { s.injectFaults(ctx, &wg) })
	if s.load.smallService {
		wg.Go(func() { s.surges(ctx, &wg) })
	}
	wg.Wait()
}

var servedPaths = []string{fleet.OncePath, fleet.SafePath, fleet.PlanPath, fleet.CheckPath}

// caller sends one request after the other until the run ends. It completes the request then in
// progress.
func (s *Soak) caller(ctx context.Context, rng *rand.Rand) {
	for wait.For(ctx, time.Duration(rng.IntN(60))*time.Millisecond) {
		s.attempt(s.callersGateway(rng), servedPaths[rng.IntN(len(servedPaths))])
	}
}

// attemptTimeout is the timeout of an attempt, after which the caller closes its connection.
const attemptTimeout = 10 * time.Second

func (s *Soak) attempt(g *gateway, path string) Attempt {
	ctx, cancel := context.WithTimeout(context.Background(), attemptTimeout)
	defer cancel()
	s.mu.Lock()
	key := s.callersKey
	s.mu.Unlock()
	a := Attempt{Request: fleet.CallerRequest{ID: fleet.NextID(), Key: key, Parts: s.promptParts()}, Path: path, SentAt: time.Now(), expectedEvents: s.load.events(path)}
	var err error
	if a.isStream() {
		a.Status, err = fleet.StreamWith(ctx, g.settings.Callers, path, a.Request, func(e string) { a.Events = append(a.Events, e) })
		if err != nil && path == fleet.CheckPath && s.FaultKinds >= minVersionFaultKinds {
			err = s.resumeStream(ctx, &a, err)
		}
	} else {
		a.Status, a.Body, err = fleet.CallWith(ctx, g.settings.Callers, path, a.Request)
	}
	a.Complete = err == nil
	s.history.add(a)
	return a
}

// waitUntilServing ends the faults of the store and the proxies. It then waits until every gateway
// serves every kind of request, also on the route that was added last, and returns an error after
// recoveryTimeout.
func (s *Soak) waitUntilServing(ctx context.Context, when string) error {
	s.fleet.Store.SetFault(fleet.NoFault)
	deadline := time.Now().Add(recoveryTimeout)
	s.mu.Lock()
	for _, p := range s.proxies {
		p.SetMode(PassThrough)
	}
	pathsToServe := slices.Clone(servedPaths)
	if s.newestPath != "" {
		pathsToServe = append(pathsToServe, s.newestPath)
	}
	s.mu.Unlock()
	errs := make([]error, len(s.gateways))
	var wg sync.WaitGroup
	for i, g := range s.gateways {
		wg.Go(func() { errs[i] = s.waitUntilServingAt(ctx, g, pathsToServe, deadline, when) })
	}
	wg.Wait()
	return errors.Join(errs...)
}

func (s *Soak) waitUntilServingAt(ctx context.Context, g *gateway, paths []string, deadline time.Time, when string) error {
	for _, path := range paths {
		for {
			a := s.attempt(g, path)
			if a.Status == 200 && a.Complete {
				break
			}
			if time.Now().After(deadline) || !wait.For(ctx, 50*time.Millisecond) {
				return fmt.Errorf("%s does not serve %s %s: status %d", g.settings.Name, path, when, a.Status)
			}
		}
	}
	return nil
}

func (s *Soak) close() {
	for _, g := range s.gateways {
		g.close()
	}
	s.fleet.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.proxies {
		p.Close()
	}
}
