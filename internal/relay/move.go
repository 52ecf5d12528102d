package relay

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"kingcupplank.example/kingcup/backends"
)

const (
	// moveWithin is how long after a server's notice its runs go on there at most
	// while the links are busy. Reclaimed engines end 1.5 s or more after it, others
	// keep running for seconds.
	moveWithin = 4 * time.Second
	// linkIdle is the duration of a copy of what is new below which nothing else
	// waits on the links. A final copy behind another run's whole memory (0.2 to
	// 0.4 s) would stop the stream for as long, beyond the longest pause.
	linkIdle = 60 * time.Millisecond
	// moveTargets is how many servers are tried for a copy; a refusal takes a few ms.
	moveTargets = 8
	// copyRoom is the part of a server's memory that the peaks there may add up to
	// for a copy to be sent to it first: copies to fuller ones were mostly refused.
	copyRoom = 0.9
	// awaitMove is how long a stream that broke waits for the move in progress.
	awaitMove = 1500 * time.Millisecond
)

// copied is a copy of a run's memory at a server that counts it.
type copied struct {
	KVCopy
	lease *backends.Reservation
}

// run is a stream at a server.
type run struct {
	job *job

	mu     sync.Mutex
	server backends.Server
	// made is the number of events passed on, the last at heard.
	made  int
	heard time.Duration
	// lastID is the id of that event, longest the longest pause between two.
	lastID  string
	longest time.Duration
	// cut breaks off the answer that is being read.
	cut func()
	// moving is closed when the move in progress is over, nil without one.
	moving chan struct{}
	copies []copied
	// cover is the standing copy, nil without one.
	cover *copied
	ended bool
}

func newRun(j *job) *run { return &run{job: j} }

// canMove reports whether the run can be moved and is lost otherwise.
func (u *run) canMove() bool {
	e := u.job.engine
	return e != nil && e.SupportsMigration && u.job.Generation != nil && !u.job.route.Resumable
}

func (u *run) delivered(p progress, id string, now time.Duration) {
	u.mu.Lock()
	u.made, u.longest, u.lastID, u.heard = p.events, p.longest, id, now
	u.mu.Unlock()
}

// read notes the answer that is read from now on.
func (u *run) read(o *offer) {
	u.mu.Lock()
	u.server, u.cut = o.lease.Server, o.cut
	u.mu.Unlock()
}

// cutSilent breaks off the answer of a server that has brought nothing since a time.
func (u *run) cutSilent(s backends.Server, since time.Duration) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.ended || !u.server.SameIncarnation(s) || u.heard > since {
		return false
	}
	u.cut()
	return true
}

// memory is the memory that the run is taken to need.
func (u *run) memory() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.job.memory(u.made)
}

// remaining is the number of events that the run is expected to make yet.
func (u *run) remaining() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return max(0, u.job.events(u.made)-u.made)
}

// isAt reports whether the run is still at a server.
func (u *run) isAt(s backends.Server) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return !u.ended && u.server.SameIncarnation(s)
}

// host is the id of the server that the run is at.
func (u *run) host() string {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.server.ID
}

// beginMove marks the run as being moved from a server; false if it is not there
// or is being moved already.
func (u *run) beginMove(from backends.Server) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.ended || u.moving != nil || !u.server.SameIncarnation(from) {
		return false
	}
	u.moving = make(chan struct{})
	return true
}

func (u *run) endMove() {
	u.mu.Lock()
	defer u.mu.Unlock()
	close(u.moving)
	u.moving = nil
}

// addCopy notes a copy; the newest is tried first. It reports whether the run
// still wants it.
func (u *run) addCopy(c copied) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.ended {
		return false
	}
	u.copies = slices.DeleteFunc(u.copies, func(old copied) bool { return old.lease == c.lease })
	u.copies = append([]copied{c}, u.copies...)
	return true
}

// takeCopies waits for the move in progress and takes the copies over, the standing one
// last: those of a move are newer.
func (u *run) takeCopies(ctx context.Context) []copied {
	u.mu.Lock()
	moving := u.moving
	u.mu.Unlock()
	if moving != nil {
		t := time.NewTimer(awaitMove)
		defer t.Stop()
		select {
		case <-moving:
		case <-t.C:
		case <-ctx.Done():
		}
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	out := u.copies
	u.copies = nil
	if u.cover != nil {
		out = append(out, *u.cover)
		u.cover = nil
	}
	return out
}

// enlist notes that a run has begun. Its server may have said that it is leaving
// while the request was on its way, so that Evacuate did not see the run.
func (r *Relay) enlist(u *run) {
	r.mu.Lock()
	r.list(u, u.server.ID)
	r.mu.Unlock()
	r.evacuateIfLeaving(u.server)
}

func (r *Relay) list(u *run, server string) {
	if r.runs[server] == nil {
		r.runs[server] = make(map[*run]struct{})
	}
	r.runs[server][u] = struct{}{}
}

func (r *Relay) unlist(u *run, server string) {
	delete(r.runs[server], u)
	if len(r.runs[server]) == 0 {
		delete(r.runs, server)
	}
}

// relocate notes that the run goes on at another server.
func (r *Relay) relocate(u *run, to *offer) {
	r.mu.Lock()
	from := u.host()
	u.read(to)
	r.unlist(u, from)
	r.list(u, to.lease.Server.ID)
	r.mu.Unlock()
	r.evacuateIfLeaving(to.lease.Server)
}

func (r *Relay) evacuateIfLeaving(s backends.Server) {
	if r.Registry.HasRestarted(s) {
		r.Ended(s)
		return
	}
	if _, leaving := r.Registry.State(s); leaving {
		r.Evacuate(s)
	}
}

// strike takes an ended run off the list and frees its copies.
func (r *Relay) strike(u *run) {
	u.mu.Lock()
	u.ended = true
	server, copies, cover := u.server.ID, u.copies, u.cover
	u.copies, u.cover = nil, nil
	u.mu.Unlock()
	if cover != nil {
		// The engine frees it with the run.
		cover.lease.Release(backends.ResultInconclusive, r.Now())
	}
	r.mu.Lock()
	r.unlist(u, server)
	r.mu.Unlock()
	for _, c := range copies {
		go r.drop(c)
	}
}

// dropTimeout bounds the call that frees a copy; the copy expires by itself.
const dropTimeout = time.Second

func (r *Relay) drop(c copied) {
	ctx, cancel := context.WithTimeout(context.Background(), dropTimeout)
	defer cancel()
	r.Upstream.DropCopy(ctx, c.KVCopy)
	c.lease.Release(backends.ResultInconclusive, r.Now())
}

// Evacuate moves the runs of a server that is leaving. It returns at once.
func (r *Relay) Evacuate(s backends.Server) {
	runs := r.movable(s)
	if len(runs) == 0 {
		return
	}
	r.Log.WithFields(logrus.Fields{"server": s.ID, "runs": len(runs)}).Info("moving runs off a leaving server")
	go r.evacuate(s, runs)
}

// movable lists the runs worth moving, those that would lose most first: runs
// that are about to end by themselves come last.
func (r *Relay) movable(s backends.Server) []*run {
	runs := slices.DeleteFunc(r.runsOf(s), func(u *run) bool {
		_, held := r.convicted(u.job)
		return held || !u.canMove()
	})
	slices.SortFunc(runs, func(a, b *run) int { return cmp.Compare(b.remaining(), a.remaining()) })
	return runs
}

// evacuate copies all runs first and stops them only then: a copy takes as long
// as the run's memory is large, and copies queue on the server's link.
func (r *Relay) evacuate(s backends.Server, runs []*run) {
	ctx, cancel := context.WithTimeout(context.Background(), moveWithin+awaitMove)
	defer cancel()
	until := time.Now().Add(moveWithin)
	var begun []*move
	for _, u := range runs {
		if !u.beginMove(s) {
			continue
		}
		m := &move{relay: r, run: u, from: s}
		if m.copy(ctx) {
			begun = append(begun, m)
		} else {
			u.endMove()
		}
	}
	var wg sync.WaitGroup
	for _, m := range begun {
		wg.Go(func() {
			defer m.run.endMove()
			m.finish(ctx, until)
		})
	}
	wg.Wait()
}

// move takes one run from a server to another.
type move struct {
	relay *Relay
	run   *run
	from  backends.Server
	to    copied
	tried []string
}

// copy copies the run's memory to a server with room while the run goes on.
func (m *move) copy(ctx context.Context) bool {
	m.tried = []string{m.from.ID}
	for range moveTargets {
		lease := m.target()
		if lease == nil {
			return false
		}
		m.to = copied{lease: lease}
		_, err := m.transfer(ctx, false)
		if err == nil {
			lease.FinishCopy()
			return true
		}
		lease.Release(backends.ResultInconclusive, m.relay.Now())
		if !errors.Is(err, ErrNoCapacity) {
			return false
		}
		m.tried = append(m.tried, lease.Server.ID)
	}
	return false
}

// target picks a server for the copy: one that has room for the run, or else any
// that has not refused.
//
// All gateways hear of a leaving server within milliseconds and copy its runs at
// once. By the same view of the loads they would all choose the same few servers:
// one that joined empty was given four copies, and callers whom others sent there
// waited for 5 s. So each takes those where it is its turn, as long as they are near.
func (m *move) target() *backends.Reservation {
	r := m.relay
	q := r.query(m.run.job)
	q.ExpectedTokens, q.Tried, q.MaxMemoryUse = m.run.memory(), m.tried, copyRoom
	q.ForCopy, q.Spill, q.CopySpeed = true, true, m.run.job.engine.CopySpeed()
	q.PreferredDomain = m.from.FailureDomain
	first := q
	first.Turns, first.SameDomainOnly = r.Peers.MigrationTurns(m.from.FailureDomain), true
	anyRoom := q
	anyRoom.MaxMemoryUse = 0
	for _, q := range []backends.Query{first, q, anyRoom} {
		if lease := r.Registry.Acquire(q, r.Now()); lease != nil {
			r.Peers.Notify()
			return lease
		}
	}
	return nil
}

// finish stops the run at its server once nothing else waits on the links, and
// leaves the copy for the stream to go on from. While the links are busy the copy
// is only kept fresh: if the server ends first, the stream goes on from the copy
// and reads what it lacks in a few ms, while a final copy that waits would stop it
// for as long as the others take.
func (m *move) finish(ctx context.Context, until time.Time) {
	for time.Now().Before(until) && m.run.isAt(m.from) {
		took, err := m.transfer(ctx, false)
		if err != nil {
			return
		}
		if took < linkIdle {
			break
		}
	}
	if m.run.isAt(m.from) {
		m.transfer(ctx, true)
	}
}

// transfer makes one copying call and notes its handle.
func (m *move) transfer(ctx context.Context, final bool) (took time.Duration, err error) {
	begun := time.Now()
	to := m.to.lease.Server
	handle, err := m.relay.Upstream.CopyRun(ctx, m.from, m.run.job.ID, to.Address, final)
	took = time.Since(begun)
	entry := m.run.job.log.WithFields(logrus.Fields{"server": m.from.ID, "to": to.ID, "final": final, "took_ms": took.Milliseconds()})
	if err != nil {
		entry.WithError(err).Info("run is not moved")
		m.relay.Observer.Migrated("failed")
	} else {
		entry.Info("run is copied")
		m.relay.Observer.Migrated("copied")
	}
	if handle == "" {
		return took, err
	}
	c := copied{KVCopy: KVCopy{Source: m.from.Address, Handle: handle}, lease: m.to.lease}
	if err != nil && final {
		// The run has stopped and only its server has its memory.
		c.lease = m.relay.Registry.ReserveAt(m.from, m.run.memory())
	}
	if c.lease != nil && !m.run.addCopy(c) {
		go m.relay.drop(c)
	}
	return took, err
}
