package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"kingcupplank.example/kingcup/internal/standin/fleet"
	"kingcupplank.example/kingcup/internal/wait"
)

// faultFunc injects one kind of fault. It returns a description and a function that undoes the
// fault, nil if there is none.
type faultFunc func(s *Soak, ctx context.Context) (description string, undo func())

// faultKinds are drawn with equal probability. New kinds are appended, so that the seed of an
// earlier failure still draws the same faults from the kinds before them.
var faultKinds = []faultFunc{disruptStore, disruptStore, disruptServer, disruptServer, killGateway, pauseGateway, terminateGateway, hangUpGateway, reclaimServer, crashServer, rejectRequests, compactStore, replaceKey, addRoutes, addRoutes, restartServer, corruptEntry, killAllButOne, sendCrashingRequest, restoreStore, restoreStore, cordonDomain, makeDomainCold, announceRateLimit, announceLeaving, askForBackoff, cordonBehindSlowStore, releaseVersion, sendCrashingParts, crowdGateway, rejectBesideKills, troubleServer, breakBesideWork, answerAgain, answerAgain, readLate, crowdOfHostileClients}

const (
	minFaultDuration, maxFaultDuration = 200 * time.Millisecond, 3 * time.Second
	// meanFaultInterval is the mean time between two faults. Faults overlap.
	meanFaultInterval = 500 * time.Millisecond
)

func (s *Soak) drawInt(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rng.IntN(n)
}

func (s *Soak) drawDuration(from, to time.Duration) time.Duration {
	return from + time.Duration(s.drawInt(int(to-from)))
}

// injectFaults injects faults until ctx ends, and then undoes those in force.
func (s *Soak) injectFaults(ctx context.Context, wg *sync.WaitGroup) {
	start := time.Now()
	for wait.For(ctx, s.drawDuration(0, 2*meanFaultInterval)) {
		description, undo := faultKinds[s.drawInt(s.FaultKinds)](s, ctx)
		duration := s.drawDuration(minFaultDuration, maxFaultDuration)
		s.mu.Lock()
		s.faultLog = append(s.faultLog, fmt.Sprintf("%.2fs for %v: %s", time.Since(start).Seconds(), duration.Round(time.Millisecond), description))
		s.mu.Unlock()
		if undo != nil {
			wg.Go(func() {
				wait.For(ctx, duration)
				undo()
			})
		}
	}
}

func (s *Soak) drawGateway() *gateway { return s.gateways[s.drawInt(len(s.gateways))] }

// crowdShare is the number of callers, of crowdShare+1, that a crowded gateway gets.
const crowdShare = 9

// crowdGateway sends most callers to one gateway.
func crowdGateway(s *Soak, _ context.Context) (string, func()) {
	g := s.drawGateway()
	s.crowded.Store(g)
	return "most callers go to " + g.settings.Name, func() { s.crowded.CompareAndSwap(g, nil) }
}

// callersGateway returns the gateway that a caller meets.
func (s *Soak) callersGateway(rng *rand.Rand) *gateway {
	if g := s.crowded.Load(); g != nil && rng.IntN(crowdShare+1) < crowdShare {
		return g
	}
	return s.gateways[rng.IntN(len(s.gateways))]
}

// disruptStore disrupts the connections of one gateway to the store, or makes the store fail for
// all gateways.
func disruptStore(s *Soak, _ context.Context) (string, func()) {
	if s.drawInt(3) == 0 {
		f := fleet.Fault(1 + s.drawInt(3))
		s.fleet.Store.SetFault(f)
		return fmt.Sprintf("store fails with fault %d for all gateways", f), func() { s.fleet.Store.SetFault(fleet.NoFault) }
	}
	g, m := s.drawGateway(), Mode(1+s.drawInt(int(modeCount)-1))
	g.storeProxy.SetMode(m)
	return fmt.Sprintf("proxy mode %d to the store for %s", m, g.settings.Name), func() { g.storeProxy.SetMode(PassThrough) }
}

// disruptServer disrupts the connections to a server.
func disruptServer(s *Soak, _ context.Context) (string, func()) {
	s.mu.Lock()
	p := s.proxies[s.rng.IntN(len(s.proxies))]
	s.mu.Unlock()
	m := Mode(1 + s.drawInt(int(modeCount)-1))
	p.SetMode(m)
	return fmt.Sprintf("connections to %s get proxy mode %d", p.target, m), func() { p.SetMode(PassThrough) }
}

func killGateway(s *Soak, ctx context.Context) (string, func()) {
	g := s.drawGateway()
	g.signal(syscall.SIGKILL)
	return "kill " + g.settings.Name, func() { g.restart(context.WithoutCancel(ctx), s.Binary, maxFaultDuration) }
}

func pauseGateway(s *Soak, _ context.Context) (string, func()) {
	g := s.drawGateway()
	g.signal(syscall.SIGSTOP)
	return "pause " + g.settings.Name, func() { g.signal(syscall.SIGCONT) }
}

// terminateGateway stops a gateway as for planned maintenance, sometimes with a second signal.
func terminateGateway(s *Soak, ctx context.Context) (string, func()) {
	const gracePeriod = 6 * time.Second
	g := s.drawGateway()
	g.signal(syscall.SIGTERM)
	if s.drawInt(2) == 0 {
		time.AfterFunc(minFaultDuration, func() { g.signal(syscall.SIGTERM) })
	}
	return "terminate " + g.settings.Name, func() {
		g.signal(syscall.SIGCONT)
		g.restart(context.WithoutCancel(ctx), s.Binary, gracePeriod)
	}
}

func hangUpGateway(s *Soak, _ context.Context) (string, func()) {
	g := s.drawGateway()
	g.signal(syscall.SIGHUP)
	return "hup " + g.settings.Name, nil
}

// drawServerToStop draws a server that no fault has stopped and marks it as stopped. It returns
// nil if the drawn service has fewer than two such servers.
func (s *Soak) drawServerToStop() *fleet.Server {
	s.mu.Lock()
	defer s.mu.Unlock()
	running := make(map[string][]*fleet.Server)
	for _, srv := range s.servers {
		if !s.stopped[srv] {
			running[srv.Service] = append(running[srv.Service], srv)
		}
	}
	candidates := running[fleet.ModelService]
	if s.rng.IntN(2) == 0 {
		candidates = running[fleet.DeskService]
	}
	if len(candidates) < 2 {
		return nil
	}
	srv := candidates[s.rng.IntN(len(candidates))]
	s.stopped[srv] = true
	return srv
}

// replace starts a new server in place of a stopped one.
func (s *Soak) replace(old *fleet.Server) {
	if _, err := s.addServer(old.Service); err != nil {
		s.mu.Lock()
		s.faultLog = append(s.faultLog, "start replacement: "+err.Error())
		s.mu.Unlock()
	}
}

// reclaimServer stops a server some time after its entry says that it is draining.
func reclaimServer(s *Soak, _ context.Context) (string, func()) {
	const noticeTime = 1500 * time.Millisecond
	srv := s.drawServerToStop()
	if srv == nil {
		return "no server to reclaim", nil
	}
	srv.StartDraining(true)
	return "reclaim " + srv.ID, func() {
		time.Sleep(noticeTime)
		srv.Kill()
		srv.RemoveEntry()
		s.replace(srv)
	}
}

// crashServer stops a server without notice. Its entry is removed later.
func crashServer(s *Soak, _ context.Context) (string, func()) {
	srv := s.drawServerToStop()
	if srv == nil {
		return "no server to crash", nil
	}
	srv.Kill()
	s.onServerCrash(srv)
	return "crash " + srv.ID, func() {
		srv.RemoveEntry()
		s.replace(srv)
	}
}

// restartServer stops a server, either so that its connections close or so that they hang, and
// starts it again under the same id and address.
func restartServer(s *Soak, _ context.Context) (string, func()) {
	srv := s.drawServerToStop()
	if srv == nil {
		return "no server to restart", nil
	}
	hangs := s.drawInt(2) == 0
	if hangs {
		srv.Hang()
	} else {
		srv.Kill()
	}
	return fmt.Sprintf("restart %s, connections hang: %v", srv.ID, hangs), func() {
		restarted, err := s.fleet.Restart(srv)
		s.mu.Lock()
		defer s.mu.Unlock()
		if err != nil {
			s.faultLog = append(s.faultLog, "restart server: "+err.Error())
			return
		}
		s.servers = append(s.servers, restarted)
	}
}

// corruptEntry overwrites the entry of a server, as another writer could.
func corruptEntry(s *Soak, _ context.Context) (string, func()) {
	invalidEntries := []string{"", "{", `{"state":"ready"}`, `{"service":"desk","address":"nowhere","state":"ready","slots":-1}`}
	s.mu.Lock()
	srv := s.servers[s.rng.IntN(len(s.servers))]
	isStopped := s.stopped[srv]
	entry := invalidEntries[s.rng.IntN(len(invalidEntries))]
	s.mu.Unlock()
	if isStopped {
		return "no entry to corrupt", nil
	}
	s.fleet.Store.PutBytes("servers", srv.ID, []byte(entry))
	return fmt.Sprintf("entry of %s is %q", srv.ID, entry), func() {
		s.mu.Lock()
		isStopped := s.stopped[srv]
		s.mu.Unlock()
		if !isStopped {
			srv.Heartbeat()
		}
	}
}

// killAllButOne kills all gateways except one at the same moment.
func killAllButOne(s *Soak, ctx context.Context) (string, func()) {
	spared := s.drawGateway()
	for _, g := range s.gateways {
		if g != spared {
			g.signal(syscall.SIGKILL)
		}
	}
	return "kill all but " + spared.settings.Name, func() {
		for _, g := range s.gateways {
			if g != spared {
				g.restart(context.WithoutCancel(ctx), s.Binary, maxFaultDuration)
			}
		}
	}
}

// rejectRequests makes a plain server reject all requests.
func rejectRequests(s *Soak, _ context.Context) (string, func()) {
	s.mu.Lock()
	var srv *fleet.Server
	for _, o := range s.servers {
		if o.Service == fleet.DeskService && !s.stopped[o] {
			srv = o
		}
	}
	s.mu.Unlock()
	if srv == nil {
		return "no server to reject requests", nil
	}
	b := s.load.desk()
	rejecting := b
	rejecting.RejectAll = true
	srv.SetBehavior(rejecting)
	return "reject all requests at " + srv.ID, func() { srv.SetBehavior(b) }
}

// restoreStore makes a backup of the store. When undone, the store is unavailable for a moment
// and then restored from that backup, and the operator and the servers write the lost rows again.
func restoreStore(s *Soak, ctx context.Context) (string, func()) {
	backup := s.fleet.Store.Backup()
	return "backup of the store", func() {
		s.configMu.Lock()
		defer s.configMu.Unlock()
		s.fleet.Store.SetFault(fleet.Reset)
		wait.For(ctx, s.drawDuration(0, maxRestoreOutage))
		s.fleet.Store.Restore(backup)
		s.fleet.Store.SetFault(fleet.NoFault)
		s.fleet.RewriteRows(func() { wait.For(ctx, s.drawDuration(0, maxRewritePause)) })
	}
}

const (
	maxRestoreOutage = time.Second
	maxRewritePause  = 100 * time.Millisecond
)

// cordonedDomain is the failure domain of some of the servers, gatewayDomain that of all
// gateways.
const cordonedDomain, gatewayDomain = "zone-2", "zone-1"

// cordonDomain makes the operator cordon a failure domain for some time.
func cordonDomain(s *Soak, _ context.Context) (string, func()) {
	s.fleet.Cordon(cordonedDomain)
	time.AfterFunc(cordonDuration, func() { s.fleet.Uncordon(cordonedDomain) })
	return "cordon " + cordonedDomain, nil
}

// cordonBehindSlowStore cordons a failure domain while reads of the operator's rows are late, so
// that gateways learn of it one after the other, from each other, and kills one of them.
func cordonBehindSlowStore(s *Soak, ctx context.Context) (string, func()) {
	const operatorTable = "op"
	delay := s.drawDuration(0, maxReadDelay)
	s.fleet.Store.SetReadDelay(operatorTable, delay)
	s.fleet.Cordon(cordonedDomain)
	time.AfterFunc(cordonDuration, func() { s.fleet.Uncordon(cordonedDomain) })
	killed, restart := killGateway(s, ctx)
	return fmt.Sprintf("reads of %s are late by %v, cordon %s, %s", operatorTable, delay, cordonedDomain, killed), func() {
		s.fleet.Store.SetReadDelay(operatorTable, 0)
		restart()
	}
}

// maxReadDelay is below the time after which gateways give up a call to the store.
const maxReadDelay = 500 * time.Millisecond

// cordonDuration is how long a failure domain is cordoned, and how long its servers are made
// cold.
const cordonDuration = 2 * time.Second

// makeDomainCold makes all servers of a failure domain cold at once.
func makeDomainCold(s *Soak, _ context.Context) (string, func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, srv := range s.servers {
		if srv.FailureDomain == cordonedDomain && !s.stopped[srv] {
			srv.SetColdFor(cordonDuration)
		}
	}
	return "make cold: " + cordonedDomain, nil
}

func compactStore(s *Soak, _ context.Context) (string, func()) {
	s.fleet.Store.Compact()
	return "drop the history of the store", nil
}

// addedRoutes is the number of routes added at once. They take 0.9 MB of the row as the store
// sends it, which is 0.7 s on the link of a gateway with low bandwidth.
const addedRoutes = 3000

// addRoutes adds routes to the configuration, which keeps them from then on.
func addRoutes(s *Soak, _ context.Context) (string, func()) {
	s.configMu.Lock()
	defer s.configMu.Unlock()
	newestPrefix := s.fleet.AddRoutes(addedRoutes)
	s.mu.Lock()
	s.newestPath = newestPrefix + "a"
	s.mu.Unlock()
	return "add routes up to " + newestPrefix, nil
}

// replaceKey replaces the team's key. Callers continue with the old key for a while.
func replaceKey(s *Soak, _ context.Context) (string, func()) {
	s.configMu.Lock()
	defer s.configMu.Unlock()
	s.mu.Lock()
	oldKey := s.validKey
	s.validKey = fmt.Sprintf("key-%d", len(s.faultLog)+2)
	newKey := s.validKey
	s.mu.Unlock()
	s.fleet.Configure(newKey)
	s.history.recordRevocation(oldKey)
	return "replace key " + oldKey, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.callersKey = s.validKey
	}
}
