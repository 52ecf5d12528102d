package relay

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"kingcupplank.example/kingcup/backends"
	"kingcupplank.example/kingcup/internal/wait"
	"kingcupplank.example/kingcup/retry"
)

const (
	// migrationTimeout bounds how long after the start of an evacuation runs continue on the old
	// server while the links are busy. Reclaimed engines stop 1.5 s or more after they report that
	// they are leaving, others run for several seconds.
	migrationTimeout = 4 * time.Second
	// prepareStopInterval is the wait before it is checked again whether a run may be stopped: the runs that were
	// stopped before it give their retries back as they go on.
	prepareStopInterval = 100 * time.Millisecond
	// refreshInterval is the time between two copies of a run that stays at a leaving server.
	refreshInterval = 500 * time.Millisecond
	// refreshTime bounds how long a copy is kept up to date: servers end some seconds after they begin to leave.
	refreshTime = 20 * time.Second
)

// Evacuate migrates the runs of a server that is leaving. It does not block.
func (r *Relay) Evacuate(s backends.Server) {
	runs := r.migratableRuns(s)
	if len(runs) == 0 {
		return
	}
	r.Log.WithFields(logrus.Fields{"server": s.ID, "runs": len(runs)}).Info("migrating runs off a leaving server")
	go r.evacuate(s, runs)
}

// migratableRuns returns the runs to migrate off a server, those with the most remaining events
// first, as they would lose most. Runs that are about to end by themselves come last.
func (r *Relay) migratableRuns(s backends.Server) []*run {
	runs := slices.DeleteFunc(r.runsAt(s), func(u *run) bool {
		_, quarantined := r.quarantined(u.job)
		return quarantined || !u.canMigrate()
	})
	slices.SortFunc(runs, func(a, b *run) int { return cmp.Compare(b.remainingEvents(), a.remainingEvents()) })
	return runs
}

// evacuate copies all runs before it stops any: a copy takes time in proportion to the run's KV
// cache, and copies queue on the server's link.
func (r *Relay) evacuate(s backends.Server, runs []*run) {
	ctx, cancel := context.WithTimeout(context.Background(), migrationTimeout+maxMigrationWait)
	defer cancel()
	deadline := time.Now().Add(migrationTimeout)
	var migrations []*migration
	for _, u := range runs {
		if !u.beginMigration(s) {
			continue
		}
		m := &migration{relay: r, run: u, from: s}
		if m.copyToStandby(ctx) || m.copy(ctx) {
			migrations = append(migrations, m)
		} else {
			u.endMigration()
		}
	}
	var wg sync.WaitGroup
	for _, m := range migrations {
		wg.Go(func() {
			stays := m.finish(ctx, deadline)
			m.run.endMigration()
			if stays {
				m.refresh()
			}
		})
	}
	wg.Wait()
}

// finish stops the run at its server once the links are idle, so that the stream resumes from the
// copy. While the links are busy the copy is only updated. If the server stops first, the stream
// resumes from the copy and computes what is missing in a few ms, whereas a queued final copy
// would stop the stream until the other copies are done. A run that has gone back to its server is not
// stopped again, as its next target may refuse it like the last one, nor is one whose server may get nothing any more
// with which it could go back. finish returns whether the run stays.
func (m *migration) finish(ctx context.Context, deadline time.Time) (stays bool) {
	for m.run.isAt(m.from) && !m.run.isReturned() && m.relay.isWithinDrainTime(m.from) {
		isDue := !time.Now().Before(deadline)
		if !isDue {
			took, err := m.transfer(ctx, false)
			if err != nil {
				return false
			}
			if took >= maxIdleLinkCopy {
				continue
			}
		}
		if m.prepareStop() {
			m.transfer(ctx, true)
			return false
		}
		if isDue || !wait.For(ctx, prepareStopInterval) {
			return true
		}
	}
	return m.run.isAt(m.from)
}

// refresh keeps the copy of a run that stays at its leaving server up to date, for when the server ends. The run goes on
// from it then.
func (m *migration) refresh() {
	ctx, cancel := context.WithTimeout(context.Background(), refreshTime)
	defer cancel()
	for wait.For(ctx, refreshInterval) && m.run.beginMigration(m.from) {
		_, err := m.transfer(ctx, false)
		m.run.endMigration()
		if err != nil {
			return
		}
	}
}

// prepareStop reports whether the run may be stopped at its server, as it can go on at the target. It stays at a
// server that leaves otherwise, and goes on from its copies if the server ends first.
func (m *migration) prepareStop() bool {
	j := m.run.job
	if _, quarantined := m.relay.quarantined(j); quarantined {
		return false
	}
	return m.relay.canGoBack(j, m.from) && m.relay.canContinueAt(j, m.from, m.target.reservation) && m.relay.reserveContinuation(j, retry.Continuation)
}
