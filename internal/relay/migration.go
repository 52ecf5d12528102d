package relay

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"kingcupplank.example/kingcup/backends"
)

const (
	// maxIdleLinkCopy is the duration of an incremental copy up to which the links count as idle.
	// A final copy behind another run's whole KV cache (0.2 to 0.4 s) would stop the stream for
	// as long, beyond the maximum pause.
	maxIdleLinkCopy = 60 * time.Millisecond
	// maxCopyTargets is the number of servers tried for a copy; a refusal takes a few ms.
	maxCopyTargets = 8
	// maxCopyTargetMemory is a part of a server's memory. Servers whose expected peak usage is
	// below it are preferred for a copy: copies to fuller servers were mostly refused.
	maxCopyTargetMemory = 0.9
	// maxMigrationWait bounds how long a broken stream waits for the migration in progress, and
	// how long a standby server may take to respond.
	maxMigrationWait = 1500 * time.Millisecond
)

// reservedCopy is a copy of a run's KV cache with the reservation at its server.
type reservedCopy struct {
	KVCopy
	reservation *backends.Reservation
	isStandby   bool
	// isOwn is set for the memory that the run's own server keeps.
	isOwn bool
}

// run is a stream at a server.
type run struct {
	job *job

	mu     sync.Mutex
	server backends.Server
	// eventCount is the number of events forwarded, lastEventAt the time of the last. isWriting is set while
	// one is being written to the caller.
	eventCount  int
	lastEventAt time.Duration
	isWriting   bool
	// answeringFrom is the time of the first event of the present server, 0 before it.
	answeringFrom time.Duration
	// lastEventID is the id of the last event, longestPause the longest time between two events.
	lastEventID  string
	longestPause time.Duration
	// cancel cancels the response that is being read.
	cancel func()
	// migrating is closed when the migration in progress is over, nil without one.
	migrating chan struct{}
	copies    []reservedCopy
	// standby is the standby copy, nil without one.
	standby         *reservedCopy
	standbyProgress standbyProgress
	done            bool
	// stopped is set once the run is being stopped at its server by a final copy to an engine that
	// runs streams: the response then breaks off although the server is well.
	stopped bool
	// stopRequested is set once its server has been told to stop the run.
	stopRequested bool
	// stopKnown is set once the run is known to have stopped at its server.
	stopKnown bool
	// stopping is closed once what the last call that stops the run has left is known, nil without one.
	stopping chan struct{}
	// hasReturned is set if the run has gone back to its server, as others refused to continue it.
	hasReturned bool
	// moves counts the moves to an engine that runs streams that were begun.
	moves int
}

func newRun(j *job) *run { return &run{job: j} }

// canMigrate reports whether the run can be migrated and would be lost otherwise.
func (u *run) canMigrate() bool {
	e := u.job.engine
	return e != nil && e.SupportsMigration && u.job.Generation != nil && !u.job.route.Resumable
}

func (u *run) recordEvent(p progress, id string, now time.Duration) {
	u.mu.Lock()
	u.eventCount, u.longestPause, u.lastEventID, u.lastEventAt, u.isWriting = p.events, p.longestPause, id, now, false
	if u.answeringFrom == 0 {
		u.answeringFrom = now
	}
	u.mu.Unlock()
}

// hasAnsweredFor reports whether the run's present server has sent events for a time. A server that is silent
// may have crashed since.
func (u *run) hasAnsweredFor(d time.Duration) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return !u.done && u.answeringFrom > 0 && u.lastEventAt-u.answeringFrom >= d
}

// setResponse sets the response that is read from now on.
func (u *run) setResponse(placed *placedResponse) {
	u.mu.Lock()
	u.hasReturned = u.server.SameIncarnation(placed.reservation.Server)
	u.server, u.cancel, u.answeringFrom = placed.reservation.Server, placed.cancel, 0
	u.stopped, u.stopRequested, u.stopKnown, u.stopping = false, false, false, nil
	u.mu.Unlock()
}

// cancelIfSilent cancels the response if it comes from the given server incarnation and has had
// no event since a time. It reports whether it did.
func (u *run) cancelIfSilent(s backends.Server, since time.Duration) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.done || !u.server.SameIncarnation(s) || u.lastEventAt > since {
		return false
	}
	u.cancel()
	return true
}

// expectedMemory returns the memory, in tokens, that the run is expected to need.
func (u *run) expectedMemory() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.job.expectedMemory(u.eventCount)
}

// memory returns the memory, in tokens, that the run is expected to need and that it holds now.
func (u *run) memory() (expected, held int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.job.expectedMemory(u.eventCount), u.job.promptTokens() + u.eventCount*u.job.tokensPerEvent()
}

// countEvents returns the number of events forwarded so far.
func (u *run) countEvents() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.eventCount
}

// remainingEvents returns the expected number of events still to come.
func (u *run) remainingEvents() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return max(0, u.job.expectedEvents(u.eventCount)-u.eventCount)
}

// isAt reports whether the run is still at a server incarnation.
func (u *run) isAt(s backends.Server) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return !u.done && u.server.SameIncarnation(s)
}

// isReturned reports whether the run has gone back to its server.
func (u *run) isReturned() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.hasReturned
}

// currentServer returns the run's server.
func (u *run) currentServer() backends.Server {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.server
}

// serverID returns the id of the run's server.
func (u *run) serverID() string {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.server.ID
}

// beginMigration marks the run as migrating from a server. It returns false if the run is not
// there or is migrating already.
func (u *run) beginMigration(from backends.Server) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.done || u.migrating != nil || !u.server.SameIncarnation(from) {
		return false
	}
	u.migrating = make(chan struct{})
	return true
}

func (u *run) endMigration() {
	u.mu.Lock()
	defer u.mu.Unlock()
	close(u.migrating)
	u.migrating = nil
}

// addCopy adds a copy; the newest is tried first. It returns false if the run is over.
func (u *run) addCopy(c reservedCopy) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.done {
		return false
	}
	u.copies = slices.DeleteFunc(u.copies, func(old reservedCopy) bool { return old.reservation == c.reservation })
	u.copies = append([]reservedCopy{c}, u.copies...)
	return true
}

// takeCopies waits for the copying in progress, removes all copies from the run and returns
// them. The standby copy is last, as copies of a migration are newer.
func (u *run) takeCopies(ctx context.Context) []reservedCopy {
	u.mu.Lock()
	migrating, copying := u.migrating, u.standbyProgress.copying
	u.mu.Unlock()
	awaitClosed(ctx, migrating, maxMigrationWait)
	awaitClosed(ctx, copying, maxMigrationWait)
	u.mu.Lock()
	defer u.mu.Unlock()
	out := u.copies
	u.copies = nil
	if u.standby != nil {
		out = append(out, *u.standby)
		u.standby = nil
	}
	return out
}

// addRun records that a run has started. Its server may have reported that it is leaving before
// the response began, when Evacuate did not see the run yet.
func (r *Relay) addRun(u *run) {
	r.mu.Lock()
	r.trackRun(u, u.server.ID)
	r.mu.Unlock()
	r.evacuateIfLeaving(u.server)
}

func (r *Relay) trackRun(u *run, server string) {
	if r.runs[server] == nil {
		r.runs[server] = make(map[*run]struct{})
	}
	r.runs[server][u] = struct{}{}
}

func (r *Relay) untrackRun(u *run, server string) {
	delete(r.runs[server], u)
	if len(r.runs[server]) == 0 {
		delete(r.runs, server)
	}
}

// relocateRun records that the run continues at another server.
func (r *Relay) relocateRun(u *run, placed *placedResponse) {
	if u.countEvents() > 0 {
		r.Observer.StreamResumed(resumption(u.currentServer(), placed.reservation.Server))
	}
	r.mu.Lock()
	from := u.serverID()
	u.setResponse(placed)
	r.untrackRun(u, from)
	r.trackRun(u, placed.reservation.Server.ID)
	r.mu.Unlock()
	r.evacuateIfLeaving(placed.reservation.Server)
}

func (r *Relay) evacuateIfLeaving(s backends.Server) {
	if r.Registry.HasRestarted(s) {
		r.HandleRestart(s)
		return
	}
	if _, leaving := r.Registry.State(s); leaving {
		r.Evacuate(s)
	}
}

// removeRun removes a run that is over and frees its copies.
func (r *Relay) removeRun(u *run) {
	u.mu.Lock()
	u.done = true
	server, copies, standby := u.server.ID, u.copies, u.standby
	u.copies, u.standby = nil, nil
	u.mu.Unlock()
	if standby != nil {
		r.discardStandby(*standby)
	}
	r.mu.Lock()
	r.untrackRun(u, server)
	r.mu.Unlock()
	for _, c := range copies {
		u.job.stopped.take(&c.KVCopy)
		go r.dropCopy(c)
	}
}

// dropTimeout bounds the call that frees a copy; a copy that is not freed expires by itself.
const dropTimeout = time.Second

func (r *Relay) dropCopy(c reservedCopy) {
	ctx, cancel := context.WithTimeout(context.Background(), dropTimeout)
	defer cancel()
	r.Upstream.DropCopy(ctx, c.KVCopy)
	c.reservation.Release(backends.ResultInconclusive, r.Now())
}

// migration moves one run from a server to another.
type migration struct {
	relay  *Relay
	run    *run
	from   backends.Server
	target reservedCopy
	tried  []string
	// reserve reserves a server for the copy, reserveTarget if nil.
	reserve func() *backends.Reservation
}

// copy copies the run's KV cache to a server with capacity while the run continues.
func (m *migration) copy(ctx context.Context) bool {
	m.tried = append(m.tried, m.from.ID)
	reserve := m.reserveTarget
	if m.reserve != nil {
		reserve = m.reserve
	}
	for range maxCopyTargets {
		reservation := reserve()
		if reservation == nil {
			return false
		}
		m.target = reservedCopy{reservation: reservation}
		_, err := m.transfer(ctx, false)
		if err == nil {
			reservation.FinishCopy()
			return true
		}
		reservation.Release(backends.ResultInconclusive, m.relay.Now())
		if !errors.Is(err, ErrNoCapacity) {
			return false
		}
		m.tried = append(m.tried, reservation.Server.ID)
	}
	return false
}

// reserveTarget reserves a server for the copy: one that has capacity for the run, or else any
// that has not refused.
//
// All gateways learn of a leaving server within milliseconds and copy its runs at the same time.
// With the same view of the loads they would all choose the same few servers: a server that had
// just started was sent four copies, and callers whose requests were sent there waited 5 s. So
// each gateway prefers servers for which it has the turn, as long as they are in the same failure
// domain.
func (m *migration) reserveTarget() *backends.Reservation {
	r := m.relay
	q := r.serverQuery(m.run.job)
	q.ExpectedTokens, q.Tried, q.MaxMemoryUse = m.run.expectedMemory(), m.tried, maxCopyTargetMemory
	q.ForCopy, q.Spill, q.CopySpeed = true, true, m.run.job.engine.CopySpeed()
	q.MaxPause, q.PauseStretch = r.pauseBound(m.run.job, m.run.countEvents())
	q.PreferredDomain, q.RequiredSoftware = m.from.FailureDomain, &m.from.SoftwareVersion
	preferred := q
	preferred.Turns, preferred.SameDomainOnly = r.Peers.MigrationTurns(m.from.FailureDomain), true
	unbounded := q
	unbounded.MaxMemoryUse = 0
	for _, q := range []backends.Query{preferred, q, unbounded} {
		if reservation := r.Registry.Acquire(q, r.Now()); reservation != nil {
			r.evictStandbys(reservation)
			r.Peers.NotifyLoads()
			return reservation
		}
	}
	return nil
}

// errOtherSoftware means that the target of a copy runs other software than the run's server.
var errOtherSoftware = errors.New("the target runs other software")

// copyRun copies the memory of a run, see Upstream.CopyRun. The target may have restarted with other
// software since it was chosen.
func (r *Relay) copyRun(ctx context.Context, from backends.Server, id string, to backends.Server, final bool) (handle string, err error) {
	if !r.Registry.RunsSoftware(to, from.SoftwareVersion) {
		return "", errOtherSoftware
	}
	return r.Upstream.CopyRun(ctx, from, id, to.Address, final)
}

// transfer makes one copy call and records the returned handle.
func (m *migration) transfer(ctx context.Context, final bool) (took time.Duration, err error) {
	start := time.Now()
	to := m.target.reservation.Server
	if final {
		m.run.requestStop()
	}
	handle, err := m.relay.copyRun(ctx, m.from, m.run.job.ID, to, final)
	took = time.Since(start)
	entry := m.run.job.log.WithFields(logrus.Fields{"server": m.from.ID, "software": m.from.SoftwareVersion, "to": to.ID, "to_software": to.SoftwareVersion, "final": final, "took_ms": took.Milliseconds()})
	if err != nil {
		entry.WithError(err).Info("run not copied")
		m.relay.Observer.Migrated("failed")
	} else {
		entry.Info("run copied")
		m.relay.Observer.Migrated("copied")
	}
	if final && m.relay.stopResult(m.from, err).IsKnown() {
		m.run.setStopKnown(m.from)
	}
	if handle == "" {
		return took, err
	}
	if final {
		m.relay.keepMemory(m.run.job, m.from, handle)
	}
	if err != nil {
		// The run has stopped and only its own server has its KV cache.
		return took, err
	}
	c := reservedCopy{KVCopy: KVCopy{Source: m.from.Address, Handle: handle}, reservation: m.target.reservation}
	if !m.run.addCopy(c) {
		go m.relay.dropCopy(c)
	}
	return took, nil
}
