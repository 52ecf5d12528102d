package relay

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"kingcupplank.example/kingcup/backends"
	"kingcupplank.example/kingcup/standby"
)

// standbyCopyTimeout bounds the call that makes or refreshes a standby copy, which takes 0.13 to
// 0.28 s on idle links. It is below maxMigrationWait, for which a broken stream waits for the call.
const standbyCopyTimeout = time.Second

var errNoHandle = errors.New("copied without a handle")

// standbyProgress is the state of a run's evictable standby copy. It is guarded by the run's mu.
type standbyProgress struct {
	// copying is closed when the call in progress is over, nil without one.
	copying chan struct{}
	// nextAt is the earliest time of the next call.
	nextAt time.Duration
	// copiedEvents is the number of events that the copy contains.
	copiedEvents int
	// refusedBy is the id of the server that refused the last copy, empty if it did not.
	refusedBy string
}

// standbyTransfer is one call that makes or refreshes the standby copy of a run.
type standbyTransfer struct {
	run         *run
	from        backends.Server
	reservation *backends.Reservation
	// events is the number of events of the run before the call.
	events    int
	isRefresh bool
}

// updateStandby makes or refreshes the standby copy of a run if that is due. It is called after
// each event by the goroutine that forwards the stream, and does not block. Nothing is copied before
// the first event, which would delay it.
func (r *Relay) updateStandby(u *run) {
	if r.cfg.Load().DomainFailures == 0 || !u.job.canHaveStandby() || !u.job.engine.SupportsMigration {
		return
	}
	now := r.Now()
	if !u.isStandbyDue(now) || !r.standbys.startCopy() {
		return
	}
	t := r.beginStandbyTransfer(u, now)
	if t == nil {
		r.standbys.endCopy()
		return
	}
	go func() {
		defer r.standbys.endCopy()
		defer u.endStandbyCopy()
		r.transferStandby(t)
	}()
}

// beginStandbyTransfer returns the next call for a run's standby copy, nil if there is no room for
// the copy or the run is not worth it.
func (r *Relay) beginStandbyTransfer(u *run, now time.Duration) *standbyTransfer {
	t := u.beginStandbyCopy(now)
	if t == nil {
		return nil
	}
	remaining := time.Duration(u.remainingEvents()) * r.currentMeanPause()
	// The runs of a leaving server are migrated, and a further copy would hold that up.
	_, leaving := r.Registry.State(t.from)
	// A refresh takes little memory, and the copy is dropped if that is wanted.
	queued := !t.isRefresh && r.engineQueue(u.job.service).saturatedSince(now-standby.QueuePause)
	limits, worth := standby.LimitsFor(remaining, queued)
	switch {
	case leaving || !worth:
		u.endStandbyCopy()
		return nil
	case t.isRefresh:
		tokens := u.job.expectedMemory(t.events)
		t.reservation.SetMemory(tokens, tokens)
		return t
	}
	t.reservation = r.reserveEvictable(t, limits)
	if t.reservation == nil {
		r.Observer.StandbyCopy(StandbyRefused)
		u.endStandbyCopy()
		return nil
	}
	// The other gateways must not choose the same room.
	r.Peers.NotifyLoads()
	return t
}

// reserveEvictable reserves memory for an evictable standby copy.
func (r *Relay) reserveEvictable(t *standbyTransfer, limits standby.Limits) *backends.Reservation {
	q := r.standbyQuery(t.run.job, t.from, t.events)
	if refusedBy := t.run.standbyRefusedBy(); refusedBy != "" {
		q.Tried = append(q.Tried, refusedBy)
	}
	q.MaxMemoryUse, q.MaxServiceMemoryUse, q.Evictable = limits.MaxMemoryUse, limits.MaxServiceMemoryUse, true
	for _, place := range standby.Places() {
		q.OtherDomainsOnly, q.SameDomainOnly = place == standby.OtherDomain, place == standby.SameDomain
		if reservation := r.Registry.Acquire(q, r.Now()); reservation != nil {
			return reservation
		}
	}
	return nil
}

// transferStandby makes one call and records the copy. If a refresh fails, the run keeps the copy that
// it has: a resume from it computes the missing tokens.
func (r *Relay) transferStandby(t *standbyTransfer) {
	ctx, cancel := context.WithTimeout(context.Background(), standbyCopyTimeout)
	defer cancel()
	start, to := time.Now(), t.reservation.Server
	handle, err := r.copyRun(ctx, t.from, t.run.job.ID, to, false)
	if err == nil && handle == "" {
		err = errNoHandle
	}
	t.reservation.FinishCopy()
	entry := t.run.job.log.WithFields(logrus.Fields{"server": t.from.ID, "software": t.from.SoftwareVersion, "to": to.ID, "to_software": to.SoftwareVersion, "refresh": t.isRefresh, "took_ms": time.Since(start).Milliseconds()})
	if err != nil {
		entry.WithError(err).Info("standby copy not made")
		r.Observer.StandbyCopy(StandbyFailed)
		t.run.standbyFailed(to.ID, err)
		if !t.isRefresh {
			t.reservation.Release(backends.ResultInconclusive, r.Now())
		}
		return
	}
	entry.Info("standby copy made")
	c := reservedCopy{KVCopy: KVCopy{Source: t.from.Address, Handle: handle}, reservation: t.reservation, isStandby: true}
	if !r.recordStandby(t, c) {
		// The run is over, or the copy was dropped during the call.
		r.dropCopy(c)
		return
	}
	if t.isRefresh {
		r.Observer.StandbyCopy(StandbyRefreshed)
		return
	}
	r.Observer.StandbyCopy(StandbyMade)
	r.scheduleStandbyCheck()
}

// recordStandby records a complete copy. It returns false if the run is over, or if the copy that was
// refreshed is no longer the run's.
func (r *Relay) recordStandby(t *standbyTransfer, c reservedCopy) bool {
	u := t.run
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.done || t.isRefresh && (u.standby == nil || u.standby.reservation != c.reservation) {
		return false
	}
	u.standby = &c
	u.standbyProgress.copiedEvents, u.standbyProgress.refusedBy = t.events, ""
	if !t.isRefresh {
		r.standbys.add(c.reservation, u)
	}
	return true
}

// isStandbyDue reports whether the run's standby copy is to be made or refreshed now.
func (u *run) isStandbyDue(now time.Duration) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.standbyDue(now)
}

// standbyDue is isStandbyDue with mu locked.
func (u *run) standbyDue(now time.Duration) bool {
	if u.done || u.migrating != nil || len(u.copies) > 0 || u.standbyProgress.copying != nil || u.eventCount == 0 || now < u.standbyProgress.nextAt {
		return false
	}
	if u.standby == nil {
		return true
	}
	return u.standby.reservation.Evictable() && u.eventCount-u.standbyProgress.copiedEvents >= standby.RefreshEvents
}

// beginStandbyCopy marks the run as being copied to its standby server. It returns nil if no copy is
// due. endStandbyCopy must be called afterwards.
func (u *run) beginStandbyCopy(now time.Duration) *standbyTransfer {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !u.standbyDue(now) {
		return nil
	}
	u.standbyProgress.copying, u.standbyProgress.nextAt = make(chan struct{}), now+standby.RetryInterval
	t := &standbyTransfer{run: u, from: u.server, events: u.eventCount}
	if u.standby != nil {
		t.reservation, t.isRefresh = u.standby.reservation, true
	}
	return t
}

func (u *run) endStandbyCopy() {
	u.mu.Lock()
	defer u.mu.Unlock()
	close(u.standbyProgress.copying)
	u.standbyProgress.copying = nil
}

// standbyFailed records a failed call. A server without capacity is not asked for the next copy.
func (u *run) standbyFailed(server string, err error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.standbyProgress.refusedBy = ""
	if errors.Is(err, ErrNoCapacity) {
		u.standbyProgress.refusedBy = server
	}
}

// delayStandby lets the run get no copy before a time.
func (u *run) delayStandby(until time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.standbyProgress.nextAt = max(u.standbyProgress.nextAt, until)
}

func (u *run) standbyRefusedBy() string {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.standbyProgress.refusedBy
}

// removeStandby removes a standby copy from its run and returns it, nil if the run has none or
// another one.
func (u *run) removeStandby(reservation *backends.Reservation) *reservedCopy {
	u.mu.Lock()
	defer u.mu.Unlock()
	c := u.standby
	if c == nil || c.reservation != reservation {
		return nil
	}
	u.standby = nil
	return c
}

// takeEvictable waits for the call in progress, removes the evictable standby copy from the run
// and returns it, nil if there is none.
func (u *run) takeEvictable(ctx context.Context) *reservedCopy {
	u.mu.Lock()
	copying := u.standbyProgress.copying
	u.mu.Unlock()
	awaitClosed(ctx, copying, standbyCopyTimeout)
	u.mu.Lock()
	defer u.mu.Unlock()
	c := u.standby
	if c == nil || !c.reservation.Evictable() {
		return nil
	}
	u.standby = nil
	return c
}

// awaitClosed waits until a channel is closed, for a limited time. It returns at once if the channel
// is nil.
func awaitClosed(ctx context.Context, c <-chan struct{}, timeout time.Duration) {
	if c == nil {
		return
	}
	t := time.NewTimer(timeout)
	defer t.Stop()
	select {
	case <-c:
	case <-t.C:
	case <-ctx.Done():
	}
}

// keepStandby counts a standby copy as memory of a run that resumes from it.
func (r *Relay) keepStandby(c reservedCopy) {
	if c.isStandby && c.reservation.Evictable() {
		r.standbys.remove(c.reservation)
		c.reservation.KeepStandby()
	}
}

// discardStandby frees a standby copy of a run that is over or continues elsewhere.
func (r *Relay) discardStandby(c reservedCopy) {
	if !c.reservation.Evictable() {
		// The engine frees the copy when the run ends.
		r.releaseStandby(c.reservation)
		return
	}
	r.standbys.remove(c.reservation)
	go r.dropCopy(c)
}

// copyToStandby continues the run's standby copy as the copy of a migration. It returns false if the
// run has none whose server takes runs; then there is no copy of the run any more.
//
// An engine may keep one copy of a run only, so that a copy to another server would replace the
// standby copy. If the server has no memory for what is new, the run keeps the copy and resumes from
// it when its own server stops.
func (m *migration) copyToStandby(ctx context.Context) bool {
	r := m.relay
	c := m.run.takeEvictable(ctx)
	if c == nil {
		return false
	}
	r.standbys.remove(c.reservation)
	to := c.reservation.Server
	if !r.Registry.CanKeepCopy(to, r.Now()) || r.Registry.IsBackingOff(to, r.Now()) {
		r.dropCopy(*c)
		return false
	}
	c.reservation.KeepStandby()
	c.isStandby = false
	if !m.run.addCopy(*c) {
		r.dropCopy(*c)
		return true
	}
	// As for any target of a migration, all of the memory counts as held until the run is there.
	tokens := m.run.expectedMemory()
	c.reservation.SetMemory(tokens, tokens)
	r.evictStandbys(c.reservation)
	r.Peers.NotifyLoads()
	m.target = *c
	if _, err := m.transfer(ctx, false); err != nil && r.Upstream.IsDown(ctx, to) {
		m.run.removeCopy(c.reservation)
		r.dropCopy(*c)
		return false
	}
	return true
}

// dropEvictable drops the evictable standby copy of a run that is moved: the move takes precedence,
// and it is not known whether an engine keeps two copies of a run.
func (m *migration) dropEvictable(ctx context.Context) {
	if c := m.run.takeEvictable(ctx); c != nil {
		m.relay.standbys.remove(c.reservation)
		m.relay.dropCopy(*c)
	}
}

// removeCopy removes the copy at a reservation from the run.
func (u *run) removeCopy(reservation *backends.Reservation) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.copies = slices.DeleteFunc(u.copies, func(c reservedCopy) bool { return c.reservation == reservation })
}
