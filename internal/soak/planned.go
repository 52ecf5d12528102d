package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"path"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"kingcupplank.example/kingcup/internal/standin/fleet"
	"kingcupplank.example/kingcup/internal/wait"
)

const (
	// plannedGrace is the time from SIGTERM to SIGKILL, plannedMbps the bandwidth of a VM, in runs with planned work
	// only.
	plannedGrace = 8 * time.Second
	plannedMbps  = 1000
	// drainTime is the least time for which a server serves after it has announced that it leaves.
	drainTime = 2 * time.Second
	// plannedEngines and plannedDesks are the numbers of servers at the start. No service shrinks below
	// minPlannedServers.
	plannedEngines, plannedDesks, minPlannedServers = 6, 4, 3
	plannedStreamCallers, plannedPlainCallers       = 40, 8
	plannedInterval                                 = 30 * time.Millisecond
)

// life is the time of one process of a gateway.
type life struct {
	started, terminated, ended time.Time
	hups                       []time.Time
	// state says how the process ended.
	state string
}

// wasKilled reports whether the process has outlived its grace period.
func (l life) wasKilled() bool { return l.state == "signal: killed" }

// plannedRun is a run with planned work only.
type plannedRun struct {
	*Soak
	// longest bounds the time of a stream, and that for which a slow reader pauses.
	longest time.Duration

	outcomesMu sync.Mutex
	outcomes   []outcome
	configs    []span
	begun      time.Time
	// inWork are the gateways that are being restarted.
	inWork map[*gateway]*atomic.Bool
}

// PlannedResult is the outcome of a run with planned work only.
type PlannedResult struct {
	FaultLog []string
	// Violations are the cuts that count and other violations; Others are the cuts beside no planned work.
	// Left are the requests that their callers gave up.
	Violations, Others, Left []string
	// Counted is the number of cuts that count, by how the last work of a server on the request ended beside a signal,
	// Exempt that of cuts that don't count, by reason.
	Counted, Exempt map[string]int
	// Unnamed is the number of cuts without a line in the gateway's log that says why.
	Unnamed int
	// Late is the number of requests that were sent to a process more than lateSend after its SIGTERM.
	Sent, Whole, Late int
	Statuses          map[int]int
	Terms, Killed     int
}

// RunPlanned terminates and reloads gateways, changes the configuration and lets servers leave, while others are slow
// or short of room, and checks that no response is lost.
func RunPlanned(ctx context.Context, o Options) (*PlannedResult, error) {
	s := &Soak{
		Options: o, fleet: fleet.New(), history: newHistory(), rng: rand.New(rand.NewPCG(o.Seed, 3)), isPlanned: true,
		stopped: make(map[*fleet.Server]bool), callersKey: fleet.Key, validKey: fleet.Key, load: load{lostZones: int(o.Seed % 2)},
	}
	p := &plannedRun{Soak: s, longest: min(12*time.Second, o.Duration/2), inWork: make(map[*gateway]*atomic.Bool)}
	defer p.close()
	for i := range plannedEngines + plannedDesks {
		service := fleet.ModelService
		if i >= plannedEngines {
			service = fleet.DeskService
		}
		if err := p.addPlanned(s.rng, service); err != nil {
			return nil, err
		}
	}
	for i := range o.Gateways {
		if err := s.addGateway(i); err != nil {
			return nil, err
		}
		p.inWork[s.gateways[i]] = new(atomic.Bool)
	}
	if err := s.waitUntilServing(ctx, "at the start"); err != nil {
		return nil, err
	}
	p.play(ctx)
	return p.check()
}

func (p *plannedRun) play(ctx context.Context) {
	p.begun = time.Now()
	ctx, cancel := context.WithTimeout(ctx, p.Duration)
	defer cancel()
	var wg sync.WaitGroup
	for i := range plannedStreamCallers + plannedPlainCallers {
		c := &plannedCaller{run: p, rng: rand.New(rand.NewPCG(p.Seed, uint64(i)+1000)), isPlain: i >= plannedStreamCallers, kept: make(map[*gateway]*callerConn)}
		wg.Go(func() { c.play(ctx) })
	}
	for kind, k := range []struct {
		longestGap time.Duration
		work       func(context.Context, *rand.Rand)
	}{{4 * time.Second, p.signalGateways}, {8 * time.Second, p.changeConfig}, {5 * time.Second, p.releaseServer}, {1200 * time.Millisecond, p.troubleServerFor}} {
		wg.Go(func() {
			rng := rand.New(rand.NewPCG(p.Seed, uint64(kind)+10))
			// Works overlap: each draws from a source of its own, so that a seed repeats them.
			for n := uint64(kind) << 32; wait.For(ctx, between(rng, 0, k.longestGap)); n++ {
				wg.Go(func() { k.work(ctx, rand.New(rand.NewPCG(p.Seed, n))) })
			}
		})
	}
	wg.Wait()
}

func between(rng *rand.Rand, from, to time.Duration) time.Duration {
	return from + time.Duration(rng.Int64N(int64(to-from)))
}

func (p *plannedRun) record(format string, args ...any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faultLog = append(p.faultLog, fmt.Sprintf("%.2fs ", time.Since(p.begun).Seconds())+fmt.Sprintf(format, args...))
}

func plannedBehavior(service string, offset time.Duration) fleet.Behavior {
	b := fleet.Behavior{ForRequest: shaped}
	if service == fleet.ModelService {
		b.Events, b.EventInterval, b.CopyTime = 1, plannedInterval, copyTime
		b.Dips = fleet.Dips{Interval: 9 * time.Second, Duration: time.Second, Offset: offset, Factor: 8}
	}
	return b
}

func (p *plannedRun) addPlanned(rng *rand.Rand, service string) error {
	srv, err := p.fleet.Add(service, p.nextDomain(), plannedBehavior(service, between(rng, 0, 9*time.Second)))
	if err != nil {
		return err
	}
	p.onServerReplacement(srv)
	return nil
}

// shape is what a caller asks of the stand-in's servers by its path.
type shape struct {
	delayMs, events, padding, unframed, pauseEvery, pauseMs int
}

const shapeFormat = "%d-%d-%d-%d-%d-%d"

func (h shape) path(prefix string) string {
	return path.Dir(prefix) + "/" + fmt.Sprintf(shapeFormat, h.delayMs, h.events, h.padding, h.unframed, h.pauseEvery, h.pauseMs)
}

// shaped returns the behavior of a server for a request, as the request's path asks for.
func shaped(b fleet.Behavior, r *http.Request) fleet.Behavior {
	var h shape
	fmt.Sscanf(path.Base(r.URL.Path), shapeFormat, &h.delayMs, &h.events, &h.padding, &h.unframed, &h.pauseEvery, &h.pauseMs)
	b.Delay, b.Padding, b.Unframed = time.Duration(h.delayMs)*time.Millisecond, h.padding, h.unframed > 0
	if b.Events == 0 {
		return b
	}
	b.Events = max(1, h.events)
	b.Pauses = func(n int) time.Duration {
		if h.pauseEvery > 0 && n%h.pauseEvery == 0 {
			return time.Duration(h.pauseMs) * time.Millisecond
		}
		return 0
	}
	return b
}

// signalGateways restarts all gateways in turn, or sends one of them a signal.
func (p *plannedRun) signalGateways(ctx context.Context, rng *rand.Rand) {
	drawn := p.gateways[rng.IntN(len(p.gateways))]
	switch draw := rng.IntN(8); {
	case draw == 0:
		for _, g := range p.gateways {
			p.restartGateway(ctx, rng, g)
			if ctx.Err() != nil {
				return
			}
		}
	case draw < 6:
		p.restartGateway(ctx, rng, drawn)
	default:
		p.reloadGateway(rng, drawn)
	}
}

// reloadGateway writes the settings file, changed or not, and sends SIGHUP.
func (p *plannedRun) reloadGateway(rng *rand.Rand, g *gateway) {
	g.mu.Lock()
	g.settings.LinkMbps = plannedMbps + float64(rng.IntN(2))
	err := g.settings.WriteFile(g.settingsPath)
	l := g.lives[len(g.lives)-1]
	l.hups = append(l.hups, time.Now())
	g.cmd.Process.Signal(syscall.SIGHUP)
	g.mu.Unlock()
	p.record("SIGHUP to %s, %v", g.settings.Name, err)
}

// restartGateway terminates a gateway and starts it again, unless that is under way. At times the new process gets a
// signal as soon as it serves.
func (p *plannedRun) restartGateway(ctx context.Context, rng *rand.Rand, g *gateway) {
	if p.inWork[g].Swap(true) {
		return
	}
	defer p.inWork[g].Store(false)
	for {
		exited := g.terminate()
		p.record("SIGTERM to %s", g.settings.Name)
		if rng.IntN(3) == 0 {
			time.AfterFunc(between(rng, 0, 4*time.Second), func() { g.signalUntil(exited, syscall.SIGTERM) })
		}
		select {
		case <-exited:
		case <-time.After(plannedGrace):
			g.signal(syscall.SIGKILL)
			<-exited
		}
		p.record("%s has ended", g.settings.Name)
		if !wait.For(ctx, between(rng, 0, 1500*time.Millisecond)) {
			return
		}
		if err := g.start(p.Binary); err != nil {
			p.record("start %s: %v", g.settings.Name, err)
			return
		}
		again, delay, hup := rng.IntN(2) == 0, between(rng, -50*time.Millisecond, 100*time.Millisecond), rng.IntN(3) == 0
		if !g.waitUntilListening(ctx) || !again {
			return
		}
		time.Sleep(delay)
		if hup {
			p.reloadGateway(rng, g)
			return
		}
	}
}

// terminate sends SIGTERM and returns a channel that is closed when the process has ended.
func (g *gateway) terminate() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lives[len(g.lives)-1].terminated = time.Now()
	g.cmd.Process.Signal(syscall.SIGTERM)
	return g.exited
}

// signalUntil sends a signal unless the process has ended.
func (g *gateway) signalUntil(exited <-chan struct{}, sig syscall.Signal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.exited == exited {
		g.cmd.Process.Signal(sig)
	}
}

// waitUntilListening waits until the gateway accepts connections of callers.
func (g *gateway) waitUntilListening(ctx context.Context) bool {
	for wait.For(ctx, time.Millisecond) {
		if c, err := net.Dial("tcp", g.settings.Callers); err == nil {
			c.Close()
			return true
		}
	}
	return false
}

// changeConfig adds routes.
func (p *plannedRun) changeConfig(_ context.Context, rng *rand.Rand) {
	sent := time.Now()
	p.configMu.Lock()
	prefix := p.fleet.AddRoutes(1 + rng.IntN(100))
	p.configMu.Unlock()
	p.outcomesMu.Lock()
	p.configs = append(p.configs, span{sent, time.Now().Add(configApplyTime + time.Second)})
	p.outcomesMu.Unlock()
	p.record("routes up to %s", prefix)
}

// releaseServer lets a server leave. It ends when its last request does, or some seconds later. Most are replaced.
func (p *plannedRun) releaseServer(ctx context.Context, rng *rand.Rand) {
	srv := p.drawServerToStop()
	if srv == nil {
		return
	}
	if rng.IntN(3) > 0 || p.runningServers(srv.Service) < minPlannedServers {
		if err := p.addPlanned(rng, srv.Service); err != nil {
			p.record("start server: %v", err)
		}
	}
	announced := rng.IntN(4) > 0
	if announced {
		srv.StartDraining(true)
	} else {
		srv.RemoveEntry()
	}
	if rng.IntN(2) == 0 {
		srv.SetHeaders(fleet.LeavingHeaders())
	}
	extra := between(rng, 0, 6*time.Second)
	p.record("%s leaves, announced: %v, %v at most after its drain time", srv.ID, announced, extra.Round(time.Millisecond))
	wait.For(ctx, drainTime)
	for until := time.Now().Add(extra); srv.InProgress() > 0 && time.Now().Before(until); {
		time.Sleep(time.Millisecond)
	}
	srv.Kill()
	srv.RemoveEntry()
	p.record("%s has left", srv.ID)
}

func (p *plannedRun) runningServers(service string) (n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, srv := range p.servers {
		if srv.Service == service && !p.stopped[srv] {
			n++
		}
	}
	return n
}

// troubleServerFor makes a server misbehave for a while without breaking off.
func (p *plannedRun) troubleServerFor(ctx context.Context, rng *rand.Rand) {
	p.mu.Lock()
	srv := p.servers[rng.IntN(len(p.servers))]
	p.mu.Unlock()
	duration := between(rng, minFaultDuration, maxFaultDuration)
	var undo func()
	var what string
	switch rng.IntN(9) {
	case 0:
		what, undo = "rejects all with backoff", srv.RejectWithBackoff(between(rng, minFaultDuration, maxFaultDuration))
	case 1:
		srv.SetHeaders(fleet.RateLimitHeaders(float64(5 + rng.IntN(40))))
		what, undo = "announces a rate limit", func() { srv.SetHeaders(nil) }
	case 2, 3:
		what, undo = "rejects some", srv.SetTrouble(fleet.Trouble{RejectShare: 0.5})
	case 4:
		what, undo = "rejects all", srv.SetTrouble(fleet.Trouble{RejectShare: 1})
	case 5:
		what, undo = "answers calls late", srv.SetTrouble(fleet.Trouble{CallsLate: 2 * time.Second})
	case 6:
		what, undo = "answers calls late and rejects some", srv.SetTrouble(fleet.Trouble{CallsLate: time.Second, RejectShare: 0.5})
	case 7:
		what, undo = "gets no standby copies", srv.SetTrouble(fleet.Trouble{NoStandby: true})
	default:
		what, undo = "reads late", srv.SetTrouble(fleet.Trouble{ReadsLate: 500 * time.Millisecond})
	}
	p.record("%s %s for %v", srv.ID, what, duration.Round(time.Millisecond))
	wait.For(ctx, duration)
	undo()
}
