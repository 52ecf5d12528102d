package soak

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"time"

	"kingcupplank.example/kingcup/internal/standin/fleet"
	"kingcupplank.example/kingcup/internal/wait"
)

// fault is a kind of harm. It returns what it did, and what undoes it.
type fault func(s *Soak, ctx context.Context) (did string, undo func())

// faults are drawn with equal chance. New ones go to the end, so that a seed that failed
// draws the same of those before.
var faults = []fault{harmStore, harmStore, harmServer, harmServer, kill, pause, terminate, hup, reclaim, crash, refuse, compact, revoke, grow, grow, rebirth, spoil, herd, harmful, drill, drill, empty, chill, nameLimit, sayLeaving, tire}

const (
	shortest, longest = 200 * time.Millisecond, 3 * time.Second
	// between is the mean time between two faults; they overlap.
	between = 500 * time.Millisecond
)

func (s *Soak) intN(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rng.IntN(n)
}

func (s *Soak) duration(from, to time.Duration) time.Duration {
	return from + time.Duration(s.intN(int(to-from)))
}

// harm plays faults until ctx ends, and undoes what is left.
func (s *Soak) harm(ctx context.Context, wg *sync.WaitGroup) {
	begun := time.Now()
	for wait.For(ctx, s.duration(0, 2*between)) {
		did, undo := faults[s.intN(s.Kinds)](s, ctx)
		lasts := s.duration(shortest, longest)
		s.mu.Lock()
		s.faults = append(s.faults, fmt.Sprintf("%.2fs for %v: %s", time.Since(begun).Seconds(), lasts.Round(time.Millisecond), did))
		s.mu.Unlock()
		if undo != nil {
			wg.Go(func() {
				wait.For(ctx, lasts)
				undo()
			})
		}
	}
}

func (s *Soak) drawNode() *gateway { return s.nodes[s.intN(len(s.nodes))] }

// harmStore harms the way of one gateway, or of all, to the store.
func harmStore(s *Soak, _ context.Context) (string, func()) {
	if s.intN(3) == 0 {
		f := fleet.Fault(1 + s.intN(3))
		s.fleet.Store.SetFault(f)
		return fmt.Sprintf("store fault %d for all", f), func() { s.fleet.Store.SetFault(fleet.NoFault) }
	}
	g, m := s.drawNode(), Mode(1+s.intN(int(modes)-1))
	g.door.SetMode(m)
	return fmt.Sprintf("store mode %d for %s", m, g.node.Name), func() { g.door.SetMode(PassThrough) }
}

// harmServer harms the connections of a server.
func harmServer(s *Soak, _ context.Context) (string, func()) {
	s.mu.Lock()
	p := s.proxies[s.rng.IntN(len(s.proxies))]
	s.mu.Unlock()
	m := Mode(1 + s.intN(int(modes)-1))
	p.SetMode(m)
	return fmt.Sprintf("connections to %s mode %d", p.target, m), func() { p.SetMode(PassThrough) }
}

func kill(s *Soak, ctx context.Context) (string, func()) {
	g := s.drawNode()
	g.signal(syscall.SIGKILL)
	return "kill " + g.node.Name, func() { g.restart(context.WithoutCancel(ctx), s.Binary, longest) }
}

func pause(s *Soak, _ context.Context) (string, func()) {
	g := s.drawNode()
	g.signal(syscall.SIGSTOP)
	return "pause " + g.node.Name, func() { g.signal(syscall.SIGCONT) }
}

// terminate stops a gateway as planned work does, sometimes with a second signal.
func terminate(s *Soak, ctx context.Context) (string, func()) {
	const grace = 6 * time.Second
	g := s.drawNode()
	g.signal(syscall.SIGTERM)
	if s.intN(2) == 0 {
		time.AfterFunc(shortest, func() { g.signal(syscall.SIGTERM) })
	}
	return "terminate " + g.node.Name, func() {
		g.signal(syscall.SIGCONT)
		g.restart(context.WithoutCancel(ctx), s.Binary, grace)
	}
}

func hup(s *Soak, _ context.Context) (string, func()) {
	g := s.drawNode()
	g.signal(syscall.SIGHUP)
	return "hup " + g.node.Name, nil
}

// victim draws a server that no fault has ended, if its service has another.
func (s *Soak) victim() *fleet.Server {
	s.mu.Lock()
	defer s.mu.Unlock()
	left := make(map[string][]*fleet.Server)
	for _, srv := range s.servers {
		if !s.leaving[srv] {
			left[srv.Service] = append(left[srv.Service], srv)
		}
	}
	srvs := left[fleet.ModelService]
	if s.rng.IntN(2) == 0 {
		srvs = left[fleet.DeskService]
	}
	if len(srvs) < 2 {
		return nil
	}
	srv := srvs[s.rng.IntN(len(srvs))]
	s.leaving[srv] = true
	return srv
}

// replace puts a new server in the place of one that ended.
func (s *Soak) replace(old *fleet.Server) {
	if _, err := s.add(old.Service); err != nil {
		s.mu.Lock()
		s.faults = append(s.faults, "no replacement: "+err.Error())
		s.mu.Unlock()
	}
}

// reclaim ends a server after a notice.
func reclaim(s *Soak, _ context.Context) (string, func()) {
	const notice = 1500 * time.Millisecond
	srv := s.victim()
	if srv == nil {
		return "nothing to reclaim", nil
	}
	srv.StartDraining(true)
	return "reclaim " + srv.ID, func() {
		time.Sleep(notice)
		srv.Kill()
		srv.RemoveEntry()
		s.replace(srv)
	}
}

// crash ends a server without a word; its entry lapses later.
func crash(s *Soak, _ context.Context) (string, func()) {
	srv := s.victim()
	if srv == nil {
		return "nothing to crash", nil
	}
	srv.Kill()
	s.ended(srv)
	return "crash " + srv.ID, func() {
		srv.RemoveEntry()
		s.replace(srv)
	}
}

// rebirth ends a server, with or without a word to its connections, and starts it again
// under its id and address.
func rebirth(s *Soak, _ context.Context) (string, func()) {
	srv := s.victim()
	if srv == nil {
		return "nothing to start again", nil
	}
	silent := s.intN(2) == 0
	if silent {
		srv.Hang()
	} else {
		srv.Kill()
	}
	return fmt.Sprintf("start %s again, silent %v", srv.ID, silent), func() {
		again, err := s.fleet.Restart(srv)
		s.mu.Lock()
		defer s.mu.Unlock()
		if err != nil {
			s.faults = append(s.faults, "not started again: "+err.Error())
			return
		}
		s.servers = append(s.servers, again)
	}
}

// spoil has another writer overwrite the entry of a server.
func spoil(s *Soak, _ context.Context) (string, func()) {
	bytes := []string{"", "{", `{"state":"ready"}`, `{"service":"desk","address":"nowhere","state":"ready","slots":-1}`}
	s.mu.Lock()
	srv := s.servers[s.rng.IntN(len(s.servers))]
	ended := s.leaving[srv]
	text := bytes[s.rng.IntN(len(bytes))]
	s.mu.Unlock()
	if ended {
		return "nothing to spoil", nil
	}
	s.fleet.Store.PutBytes("servers", srv.ID, []byte(text))
	return fmt.Sprintf("entry of %s is %q", srv.ID, text), func() {
		s.mu.Lock()
		ended := s.leaving[srv]
		s.mu.Unlock()
		if !ended {
			srv.Heartbeat()
		}
	}
}

// herd kills all gateways but one at the same moment.
func herd(s *Soak, ctx context.Context) (string, func()) {
	spared := s.drawNode()
	for _, g := range s.nodes {
		if g != spared {
			g.signal(syscall.SIGKILL)
		}
	}
	return "kill all but " + spared.node.Name, func() {
		for _, g := range s.nodes {
			if g != spared {
				g.restart(context.WithoutCancel(ctx), s.Binary, longest)
			}
		}
	}
}

// refuse lets a plain server refuse everything.
func refuse(s *Soak, _ context.Context) (string, func()) {
	s.mu.Lock()
	var srv *fleet.Server
	for _, o := range s.servers {
		if o.Service == fleet.DeskService && !s.leaving[o] {
			srv = o
		}
	}
	s.mu.Unlock()
	if srv == nil {
		return "nothing to fill", nil
	}
	srv.SetBehavior(fleet.Behavior{RejectAll: true})
	return "full " + srv.ID, func() { srv.SetBehavior(fleet.Behavior{}) }
}

// drill has the store be away for a moment and come back from a copy of some time before;
// operator and servers write again what is gone.
func drill(s *Soak, ctx context.Context) (string, func()) {
	old := s.fleet.Store.Backup()
	return "copy of the store", func() {
		s.configuring.Lock()
		defer s.configuring.Unlock()
		s.fleet.Store.SetFault(fleet.Reset)
		wait.For(ctx, s.duration(0, drillAway))
		s.fleet.Store.Restore(old)
		s.fleet.Store.SetFault(fleet.NoFault)
		s.fleet.RewriteRows(func() { wait.For(ctx, s.duration(0, rewritePause)) })
	}
}

const (
	drillAway    = time.Second
	rewritePause = 100 * time.Millisecond
)

// emptiedZone is where some of the servers stand, ownZone where all gateways do.
const emptiedZone, ownZone = "zone-2", "zone-1"

// empty has the operator empty a zone for a time.
func empty(s *Soak, _ context.Context) (string, func()) {
	s.fleet.Cordon(emptiedZone)
	time.AfterFunc(emptyFor, func() { s.fleet.Uncordon(emptiedZone) })
	return "empty " + emptiedZone, nil
}

// emptyFor is how long a zone is emptied.
const emptyFor = 2 * time.Second

// chill makes all servers of a zone cold at once.
func chill(s *Soak, _ context.Context) (string, func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, srv := range s.servers {
		if srv.FailureDomain == emptiedZone && !s.leaving[srv] {
			srv.SetColdFor(emptyFor)
		}
	}
	return "chill " + emptiedZone, nil
}

func compact(s *Soak, _ context.Context) (string, func()) {
	s.fleet.Store.Compact()
	return "history is dropped", nil
}

// growth is how many routes are added at once: 0.9 MB of the row as the store sends it,
// 0.7 s of a thin gateway's link.
const growth = 3000

// grow adds routes to the configuration, which pile up.
func grow(s *Soak, _ context.Context) (string, func()) {
	s.configuring.Lock()
	defer s.configuring.Unlock()
	newest := s.fleet.AddRoutes(growth)
	s.mu.Lock()
	s.newest = newest + "a"
	s.mu.Unlock()
	return "grow to " + newest, nil
}

// revoke replaces the team's key; callers use the old one for a while.
func revoke(s *Soak, _ context.Context) (string, func()) {
	s.configuring.Lock()
	defer s.configuring.Unlock()
	s.mu.Lock()
	old := s.valid
	s.valid = fmt.Sprintf("key-%d", len(s.faults)+2)
	fresh := s.valid
	s.mu.Unlock()
	s.fleet.Configure(fresh)
	s.history.revoke(old)
	return "revoke " + old, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.key = s.valid
	}
}
