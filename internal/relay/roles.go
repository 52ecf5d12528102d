package relay

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"kingcupplank.example/kingcup/backends"
	"kingcupplank.example/kingcup/prefill"
)

const (
	// roleLogInterval is the least time between two log lines on the roles of a service's engines, and
	// between two lines on runs that stay on the engine of their prompt for the same cause.
	roleLogInterval = 5 * time.Second
	// abandonedCopyTime is how long the copy of a move that was given up is kept. A call that copies a run
	// may fail a moment before its stream breaks, and the stream then resumes from the copy.
	abandonedCopyTime = 500 * time.Millisecond
	// maxMoves is how often a move of a run is begun. Each copies its memory over two links.
	maxMoves = 3
	// resultMoved is the result of a run that was moved, resultStays the prefix of the others.
	resultMoved, resultStays = "moved", "stays: "
)

// promptKind returns the kind of a generation for the choice of the engine that reads its prompt. A long
// generation that could not be moved, or has no bound on its pauses, is placed without regard to roles.
func (r *Relay) promptKind(j *job) prefill.Kind {
	switch {
	case j.engine == nil || !j.engine.SupportsMigration || j.Generation == nil:
		return prefill.KindOther
	case j.expectedEvents(0) < minBoundEvents:
		return prefill.KindShort
	case j.route.MaxPause <= 0 || j.route.Resumable:
		return prefill.KindOther
	}
	return prefill.KindLong
}

// roleNames are the names of the roles in metrics and log lines.
var roleNames = map[prefill.Role]string{
	prefill.RoleUnknown: "unknown", prefill.RoleTolerant: "tolerant", prefill.RolePrefill: "prefill", prefill.RoleStream: "stream",
}

// considerFirstMove is called after the first event of a run. It moves the run to an engine that runs
// streams if its own engine should only read prompts. It does not block.
func (s *session) considerFirstMove(placed *placedResponse) {
	role, memoryUse := placed.reservation.Role()
	if role == prefill.RoleNone || s.job.LastEventID != "" {
		return
	}
	s.Observer.PromptPlaced(roleNames[role])
	s.logRoles(s.job.service)
	if cause := s.considerMove(placed, role, memoryUse); cause != prefill.CauseNone {
		s.recordStay(s.run, cause)
	}
}

// reconsiderMove is called for a run from time to time. The run may be on an engine that reads prompts because
// there was no target before, or because its engine has only now begun to read prompts.
func (s *session) reconsiderMove(placed *placedResponse) {
	if role, memoryUse := placed.reservation.Role(); role == prefill.RolePrefill && s.run.canMoveAgain() {
		s.considerMove(placed, role, memoryUse)
	}
}

// considerMove begins to move a run off an engine with a role and returns CauseNone, or why the run stays.
func (s *session) considerMove(placed *placedResponse, role prefill.Role, memoryUse float64) prefill.Cause {
	j := s.job
	if s.promptKind(j) != prefill.KindLong || !s.run.canMigrate() {
		return prefill.CauseStays
	}
	cause := prefill.Run{
		Role: role, MemoryUse: memoryUse, LongestPause: j.progress.longestPause, MaxPause: j.route.MaxPause,
		Rest: time.Duration(s.run.remainingEvents()) * s.currentMeanPause(), CopyTime: s.copyTime(s.run),
	}.Decide()
	if cause == prefill.CauseNone && !s.mayMove(j.service, role) {
		cause = prefill.CauseRetries
	}
	// The run is marked before its next event is passed on, so that no standby copy is begun meanwhile.
	if cause == prefill.CauseNone && s.run.beginMigration(placed.reservation.Server) {
		s.run.countMove()
		go s.moveToStreams(s.run, placed.reservation.Server)
	}
	return cause
}

// copyTime returns the time that a free link takes for the memory of a run, 0 if unknown.
func (r *Relay) copyTime(u *run) time.Duration {
	speed := u.job.engine.CopySpeed()
	if speed <= 0 {
		return 0
	}
	return time.Duration(float64(u.expectedMemory()) / speed * float64(time.Second))
}

// mayMove reports whether the retry budget of a service has room to move a run off an engine with a role.
// A run that resumes is sent a second time, and the platform bounds repeated requests.
func (r *Relay) mayMove(service string, role prefill.Role) bool {
	settings, now := r.cfg.Load().retries(), r.Now()
	r.updateRetryShare(service, settings, now)
	left := 0.0
	r.budgets.update(service, func(b *serviceBudget) { left = b.Left(settings, now) })
	return left-1 >= prefill.RetryReserve(role)
}

// moveToStreams moves a run from the engine that has read its prompt to one that runs streams, by the
// calls that move runs off leaving servers. The run goes on until its last copy. beginMigration must have
// been called.
func (r *Relay) moveToStreams(u *run, from backends.Server) {
	start := r.Now()
	ctx, cancel := context.WithTimeout(context.Background(), prefill.MaxMoveTime)
	defer cancel()
	m := &migration{relay: r, run: u, from: from}
	m.dropEvictable(ctx)
	m.tried = u.standbyServer()
	m.reserve = m.reserveStreamTarget
	cause := m.moveToStreams(ctx)
	u.endMigration()
	if cause != prefill.CauseNone {
		r.recordStay(u, cause)
		// While it was being moved, the run was not moved off the server for another reason.
		r.evacuateIfLeaving(from)
		return
	}
	r.Observer.RunPlaced(resultMoved)
	u.job.log.WithFields(logrus.Fields{
		"from": from.ID, "to": m.target.reservation.Server.ID, "took_ms": (r.Now() - start).Milliseconds(), "after": u.countEvents(),
	}).Info("run moved to a streaming engine")
}

// moveToStreams copies the run while it goes on, and stops it once what is left to copy is little. It
// returns why the run stays, CauseNone if it has been stopped.
func (m *migration) moveToStreams(ctx context.Context) prefill.Cause {
	if !m.copy(ctx) {
		if m.target.reservation == nil {
			return prefill.CauseNoTarget
		}
		return prefill.CauseCopy
	}
	cause := m.catchUp(ctx)
	if cause == prefill.CauseNone {
		cause = m.stopForMove()
	}
	if cause != prefill.CauseNone {
		time.AfterFunc(abandonedCopyTime, m.dropAbandoned)
	}
	return cause
}

// dropAbandoned drops the copy of a move that was given up, unless the run has been stopped or has ended: its
// copies are then used or dropped by its stream.
func (m *migration) dropAbandoned() {
	if m.target.reservation == nil || !m.run.isAt(m.from) || m.run.isStopped() {
		return
	}
	for _, c := range m.run.removeCopies(m.target.reservation) {
		m.relay.dropCopy(c)
	}
	m.target.reservation.Release(backends.ResultInconclusive, m.relay.Now())
}

// catchUp copies what is new until little is left.
func (m *migration) catchUp(ctx context.Context) prefill.Cause {
	r, target := m.relay, m.target.reservation
	for m.run.isAt(m.from) {
		took, err := m.transfer(ctx, false)
		switch {
		case ctx.Err() != nil:
			return prefill.CauseLink
		case err != nil:
			return prefill.CauseCopy
		case took >= maxIdleLinkCopy:
			continue
		}
		if _, leaving := r.Registry.State(target.Server); leaving || r.Registry.IsIneligible(target.Server, m.run.job.regions) {
			return prefill.CauseNoTarget
		}
		if r.Registry.InDip(target.Server, r.Now()) || !prefill.PauseFits(took, target.UsualPause(r.Now()), m.run.job.route.MaxPause) {
			return prefill.CausePause
		}
		return prefill.CauseNone
	}
	return prefill.CauseShort
}

// stopForMove makes the final copy, which stops the run at its server. After an error without a handle
// the run may have been stopped, and its copies are kept until it ends.
func (m *migration) stopForMove() prefill.Cause {
	if !m.prepareStop() {
		return prefill.CauseRetries
	}
	if !m.run.stopAt(m.from) {
		return prefill.CauseShort
	}
	ctx, cancel := context.WithTimeout(context.Background(), maxMigrationWait)
	defer cancel()
	if _, err := m.transfer(ctx, true); err != nil {
		if errors.Is(err, ErrNoRun) {
			return prefill.CauseShort
		}
		return prefill.CauseCopy
	}
	return prefill.CauseNone
}

// reserveStreamTarget reserves an engine that runs streams and has room for the run, nil if there is
// none: the run then stays. A copy between failure domains takes twice as long, and the run is beside
// prompts meanwhile.
func (m *migration) reserveStreamTarget() *backends.Reservation {
	r, j := m.relay, m.run.job
	q := r.serverQuery(j)
	q.ExpectedTokens, q.Tried = m.run.expectedMemory(), m.tried
	q.ForCopy, q.ForStream, q.CopySpeed = true, true, j.engine.CopySpeed()
	q.MaxPause, q.PauseStretch = r.pauseBound(j, m.run.countEvents())
	q.PreferredDomain = m.from.FailureDomain
	q.MaxMemoryUse, q.SameDomainOnly = maxCopyTargetMemory, true
	reservation := r.Registry.Acquire(q, r.Now())
	if reservation == nil {
		q.SameDomainOnly = false
		reservation = r.Registry.Acquire(q, r.Now())
	}
	if reservation != nil {
		r.evictStandbys(reservation)
		r.Peers.NotifyLoads()
	}
	return reservation
}

// dropMoveCopies drops the copies of a run that was stopped for a move and has been continued from its
// standby copy meanwhile. It does not block.
func (s *session) dropMoveCopies() {
	if !s.run.isStopped() {
		return
	}
	go func() {
		for _, c := range s.run.takeCopies(context.Background()) {
			s.dropUnused(c)
		}
	}()
}

// stopAt records that the run is being stopped at its server. It returns false if it is not there.
func (u *run) stopAt(s backends.Server) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.done || !u.server.SameIncarnation(s) {
		return false
	}
	u.stopped = true
	return true
}

// isStopped reports whether the run has been stopped at its server for a move.
func (u *run) isStopped() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.stopped
}

// standbyServer returns the id of the server of the standby copy, as a list. The copy there must not be
// counted twice, and a crash of that server would take both.
func (u *run) standbyServer() (ids []string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.standby != nil {
		ids = append(ids, u.standby.reservation.Server.ID)
	}
	return ids
}

// canMoveAgain reports whether a further move of the run may be begun.
func (u *run) canMoveAgain() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.migrating == nil && u.moves < maxMoves && !u.hasReturned
}

// countMove counts a move that is begun.
func (u *run) countMove() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.moves++
}

// removeCopies removes the copies with a reservation from the run and returns them.
func (u *run) removeCopies(reservation *backends.Reservation) (out []reservedCopy) {
	u.mu.Lock()
	defer u.mu.Unlock()
	kept := u.copies[:0:0]
	for _, c := range u.copies {
		if c.reservation == reservation {
			out = append(out, c)
		} else {
			kept = append(kept, c)
		}
	}
	u.copies = kept
	return out
}

// roleLog bounds the log lines on the roles of engines. It is guarded by the Relay's mu.
type roleLog struct {
	roles  backends.Roles
	at     time.Duration
	logged bool
	stays  map[prefill.Cause]time.Duration
}

// logRoles logs the roles of a service's engines if they have changed.
func (r *Relay) logRoles(service string) {
	roles, now := r.Registry.Roles(service), r.Now()
	stretch := roles.Stretch
	roles.Stretch = 0
	r.mu.Lock()
	l := &r.roleLog
	due := roles != l.roles && (!l.logged || now-l.at >= roleLogInterval)
	if due {
		l.roles, l.at, l.logged = roles, now, true
	}
	r.mu.Unlock()
	if due {
		r.Log.WithFields(logrus.Fields{
			"service": service, "tolerant": roles.Tolerant, "prefill": roles.Prefill, "stream": roles.Stream, "unknown": roles.Unknown, "stretch": stretch,
		}).Info("roles of engines have changed")
	}
}

// recordStay records that a run stays on the engine that has read its prompt.
func (r *Relay) recordStay(u *run, cause prefill.Cause) {
	r.Observer.RunPlaced(resultStays + string(cause))
	if cause == prefill.CauseStays {
		return
	}
	now := r.Now()
	r.mu.Lock()
	last, seen := r.roleLog.stays[cause]
	due := !seen || now-last >= roleLogInterval
	if due {
		if r.roleLog.stays == nil {
			r.roleLog.stays = make(map[prefill.Cause]time.Duration)
		}
		r.roleLog.stays[cause] = now
	}
	r.mu.Unlock()
	if due {
		u.job.log.WithFields(logrus.Fields{"server": u.serverID(), "cause": string(cause)}).Info("run stays on the engine of its prompt")
	}
}
