// Package follow maintains a local copy of a table from a feed of its changes. It reads a
// snapshot first, then the changes since, and a new snapshot if the feed no longer has the
// changes that it needs.
package follow

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"kingcupplank.example/kingcup/internal/clock"
	"kingcupplank.example/kingcup/internal/wait"
	"kingcupplank.example/kingcup/retry"
	"kingcupplank.example/kingcup/revision"
)

// ErrHistoryLost says that a feed no longer has the requested changes.
var ErrHistoryLost = errors.New("history of the feed is lost")

// Row is a row of the table, or with Deleted set the deletion of a row.
type Row struct {
	Key      string
	Value    []byte
	Revision revision.Revision
	Deleted  bool
}

// Page is an answer of a feed.
type Page struct {
	Rows []Row
	// Revision is the revision from which the next request continues.
	Revision revision.Revision
	// Clock is the store's steady clock when it made the answer.
	Clock time.Duration
	// Outage is how long the store was unavailable until shortly before the answer, 0 if it
	// was available. Rows may have expired in that time although their owners are running.
	Outage time.Duration
	// Whole is set if Rows are the whole table.
	Whole bool
	// Changed is a revision after which the table has not changed, 0 if none is known.
	Changed revision.Revision
}

// Feed reads one table.
type Feed interface {
	// Snapshot returns all rows. A long table is read in parts, and partTimeout bounds the time
	// without progress.
	Snapshot(ctx context.Context, partTimeout time.Duration) (Page, error)
	// Changes waits until rows have changed since a revision, at most for timeout. It calls
	// onLongAnswer when the first part of a long answer has arrived. Errors: ErrHistoryLost,
	// or those of the store.
	Changes(ctx context.Context, since revision.Revision, timeout time.Duration, onLongAnswer func()) (Page, error)
}

// Sink receives the rows of a followed table. Its methods are called one at a time.
type Sink interface {
	// Reset replaces all rows by those of the table at a revision. outage is how long the
	// store was unavailable before, 0 if it was available.
	Reset(rows []Row, at revision.Revision, outage time.Duration)
	// Apply applies changes in order.
	Apply(rows []Row, outage time.Duration)
	// Confirm says that the sink has all changes up to the local time at.
	Confirm(at time.Duration)
}

// Config contains the settings of a follower.
type Config struct {
	// Name is the table's name in the log.
	Name string
	// PollTimeout is how long a call to the store waits for changes. It bounds the age of the
	// local copy while nothing changes. A longer timeout needs fewer calls, and each call
	// has a price.
	PollTimeout time.Duration
	// MinCallInterval is the shortest time between the starts of two calls, so that the
	// changes of a busy table are read in batches.
	MinCallInterval time.Duration
	// OnCall is called with the reason of each call to the store; it may be nil.
	OnCall func(Reason)
	// OnRestored is called when the store has been restored from a copy; it may be nil.
	OnRestored func()
	// OnFirstTable is called when there is a whole table for the first time; it may be nil.
	OnFirstTable func()
	// KeepRows makes the follower keep the rows for Follower.ChangesSince.
	KeepRows bool
}

// Reason is the reason for a call to the store.
type Reason string

// The reasons.
const (
	// ReasonStart means that the whole table is read.
	ReasonStart Reason = "whole table"
	// ReasonReader means that this process reads the store for others.
	ReasonReader Reason = "reads for others"
	// ReasonSilent means that the other processes' reports are too old to rely on.
	ReasonSilent Reason = "hears nothing"
	// ReasonMissed means that a page which others passed on did not arrive here.
	ReasonMissed Reason = "missed a page"
	// ReasonRetry means that the previous call failed.
	ReasonRetry Reason = "retry"
)

// storeBackoff spreads the calls to an unavailable store. VMs that all lost it at the same
// moment would otherwise all call it again in one burst.
var storeBackoff = retry.Backoff{Base: 100 * time.Millisecond, Max: 500 * time.Millisecond}

// Follower keeps a sink up to date with a table. It is safe for concurrent use.
type Follower struct {
	cfg     Config
	feed    Feed
	sink    Sink
	sharing Sharing
	now     clock.Source
	log     logrus.FieldLogger
	// wake ends the wait of a follower that relies on its peers.
	wake chan struct{}
	// reading is set while a long answer is arriving.
	reading atomic.Bool

	// applyMu serializes the calls to sink. Lock order: applyMu, mu. A sink may need long
	// for a large row, while requests need the fields that mu guards.
	applyMu sync.Mutex

	// keptRows are the rows of the table if Config.KeepRows is set, else nil. applyMu guards
	// them.
	keptRows *rows

	mu sync.Mutex
	// revision, changed and storeClock are the follower's position.
	revision, changed revision.Revision
	// synced is set while the changes since revision can be applied. It is false before the
	// first snapshot and while the table is read again after its history was lost.
	synced bool
	// hasTable is set with the first whole table and stays set.
	hasTable bool
	// reliedOnPeers is set if peers have read the table for this process since its last call.
	reliedOnPeers bool
	// withoutSince is the time since which this process has no synced table. It is 0 while
	// there is one, and before the first call of timeWithoutTable.
	withoutSince time.Duration
	// answeredAt is the store's steady clock at its last answer to this process.
	answeredAt time.Duration
	// cancelRead gives up reading the whole table, nil while it is not read. canceledAt is when
	// it was last called.
	cancelRead context.CancelFunc
	canceledAt time.Duration
	// missedUpTo is the revision up to which pages of peers were missed, missedSince is since
	// when.
	missedUpTo  revision.Revision
	missedSince time.Duration
	// behind is set if a peer has a newer table.
	behind bool
	// confirmedAt is the time of the last page or position. madeAt is the local time at
	// which the store made the newest one, storeClock the store's clock at that moment.
	// calledAt is the time of the last call to the store.
	confirmedAt, madeAt, storeClock, calledAt time.Duration
	failures                                  int
	// outage is the length of the store's last outage, which ended at outageEnd.
	outage, outageEnd time.Duration
	// clockOffset is the smallest observed difference between the local clock at the arrival
	// of an answer and the store's clock in it; the answer with the lowest latency sets it.
	clockOffset      time.Duration
	clockOffsetKnown bool
}

// New returns a follower; Run starts it. With a nil sharing it only reads from the store.
func New(cfg Config, feed Feed, sink Sink, sharing Sharing, now clock.Source, log logrus.FieldLogger) *Follower {
	f := &Follower{
		cfg: cfg, feed: feed, sink: sink, sharing: sharing, now: now,
		log: log.WithField("table", cfg.Name), wake: make(chan struct{}, 1),
	}
	if cfg.KeepRows {
		f.keptRows = &rows{}
	}
	return f
}

// Run follows the table until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if f.reliesOnPeers() {
			f.awaitPeers(ctx)
			continue
		}
		begin := f.now()
		called, err := f.step(ctx)
		if err != nil && ctx.Err() == nil {
			f.handleFailure(ctx, err)
			continue
		}
		if called && f.sharing != nil {
			f.sharing.StoreAnswered()
		}
		if called {
			wait.For(ctx, f.cfg.MinCallInterval-(f.now()-begin))
		}
	}
}

// step updates the sink once: from a peer if the whole table or missed changes are needed
// and a peer has them, else by a call to the store. It reports whether it called the store.
func (f *Follower) step(ctx context.Context) (called bool, err error) {
	f.mu.Lock()
	synced, hasGap, behind := f.synced, f.hasGap(), f.behind
	f.behind = false
	f.mu.Unlock()
	if !synced && f.sharing != nil {
		if f.startFromPeer(ctx) {
			return false, nil
		}
		if !f.sharing.MayCallStore(f.StoreReached(), f.timeWithoutTable()) {
			f.awaitPeers(ctx)
			return false, nil
		}
	}
	if synced && (hasGap || behind) && f.sharing != nil {
		// A peer's claim to have newer changes is no reason to call the store.
		if f.fetch(ctx) || !hasGap {
			return false, nil
		}
		if f.gapAge() < maxGapAge && !f.sharing.MayCallStore(f.StoreReached(), 0) {
			f.awaitPeers(ctx)
			return false, nil
		}
	}
	f.mu.Lock()
	f.calledAt = f.now()
	reason := f.reason()
	f.mu.Unlock()
	if f.cfg.OnCall != nil {
		f.cfg.OnCall(reason)
	}
	if !synced {
		return true, f.readSnapshot(ctx)
	}
	return true, f.readChanges(ctx)
}

// reason returns the reason for the next call to the store; mu is held.
func (f *Follower) reason() Reason {
	switch {
	case f.failures > 0:
		return ReasonRetry
	case !f.synced:
		return ReasonStart
	case f.hasGap():
		return ReasonMissed
	case f.sharing != nil && f.isSilent():
		return ReasonSilent
	}
	return ReasonReader
}

// readSnapshot reads the whole table. It gives up without an error if a peer turns out to have a
// newer table than this process: a slow store may need seconds, in which a leaving server or a cordon
// would stay unknown here.
func (f *Follower) readSnapshot(ctx context.Context) error {
	begin := f.now()
	readCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	f.setCancelRead(cancel)
	defer f.setCancelRead(nil)
	page, err := f.feed.Snapshot(readCtx, f.snapshotTimeout())
	if err != nil && readCtx.Err() != nil && ctx.Err() == nil {
		return nil
	}
	if err != nil {
		return err
	}
	f.reset(page, begin)
	return nil
}

func (f *Follower) readChanges(ctx context.Context) error {
	begin := f.now()
	f.mu.Lock()
	since, timeout := f.revision, f.cfg.PollTimeout
	if f.hasGap() || f.failures > 0 || f.reliedOnPeers {
		// Missed changes are already in the store. After an outage, or after the readers have
		// stopped, the copy must be confirmed without waiting for a change.
		timeout = 0
	}
	f.reliedOnPeers = false
	f.mu.Unlock()
	defer f.reading.Store(false)
	page, err := f.feed.Changes(ctx, since, timeout, func() { f.reading.Store(true) })
	if err != nil {
		return err
	}
	f.applyMu.Lock()
	f.mu.Lock()
	page.Outage = f.recordAnswer()
	f.answeredAt = page.Clock
	f.mu.Unlock()
	f.applyPage(page, begin)
	f.applyMu.Unlock()
	if f.sharing != nil {
		f.sharing.Share(SharedPage{Page: page, Since: since})
	}
	return nil
}

const (
	// minSnapshotTimeout is how long the first try to read a table waits for each part. A
	// connection without traffic must not delay the start.
	minSnapshotTimeout = 800 * time.Millisecond
	// maxSnapshotDoublings is how often the timeout is doubled after failures. When hundreds
	// of VMs start at once and read long tables, the store's link is busy for seconds. Tries
	// that all time out too early would keep it busy.
	maxSnapshotDoublings = 3
)

func (f *Follower) snapshotTimeout() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return minSnapshotTimeout << min(f.failures, maxSnapshotDoublings)
}

// reset replaces the table by a snapshot from the store, unless the copy is newer. begin is
// the time at which the call began.
func (f *Follower) reset(page Page, begin time.Duration) {
	f.applyMu.Lock()
	defer f.applyMu.Unlock()
	f.mu.Lock()
	older := f.synced && page.Revision.Before(f.revision)
	if !older {
		page.Outage = f.recordAnswer()
		f.answeredAt = page.Clock
	}
	f.mu.Unlock()
	if older {
		return
	}
	f.replace(page, begin)
}

// replace replaces the copy by a whole table; applyMu is held.
func (f *Follower) replace(page Page, begin time.Duration) {
	f.mu.Lock()
	previous, restored := f.revision, f.hasTable && page.Revision.Era() > f.revision.Era()
	f.mu.Unlock()
	if restored {
		page.Outage = max(page.Outage, minRestoredOutage)
		if f.cfg.OnRestored != nil {
			f.cfg.OnRestored()
		}
		f.log.WithFields(logrus.Fields{"era": page.Revision.Era(), "before": previous.Version(), "after": page.Revision.Version(), "rows": len(page.Rows)}).Warn("store has been restored from a copy")
	}
	if r, ok := f.sink.(Restorer); ok && restored {
		r.Restored(page.Rows, page.Outage)
	} else {
		f.sink.Reset(page.Rows, page.Revision, page.Outage)
	}
	if f.keptRows != nil {
		f.keptRows.reset(page.Rows, page.Revision)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.revision, f.changed = page.Revision, page.Changed
	if f.changed.IsZero() {
		f.changed = page.Revision
	}
	isFirst := !f.hasTable
	f.synced, f.hasTable, f.withoutSince = true, true, 0
	f.recordOutage(page.Outage)
	f.confirm(page.Clock, begin)
	if isFirst && f.cfg.OnFirstTable != nil {
		// Called without the locks, which the receiver of the call may need.
		go f.cfg.OnFirstTable()
	}
}

// confirm records that the copy was up to date when the store's clock was storeClock.
// applyMu and mu are held.
func (f *Follower) confirm(storeClock, begin time.Duration) {
	f.confirmedAt = f.now()
	if madeAt := f.localTime(storeClock, begin); madeAt >= f.madeAt {
		f.madeAt, f.storeClock = madeAt, storeClock
	}
	f.sink.Confirm(f.madeAt)
}

// applyPage applies a page of changes and skips rows that the copy already has. applyMu is
// held.
func (f *Follower) applyPage(page Page, begin time.Duration) {
	f.mu.Lock()
	known := f.revision
	f.mu.Unlock()
	fresh := page.Rows[:0:0]
	for _, row := range page.Rows {
		if known.Before(row.Revision) {
			fresh = append(fresh, row)
		}
	}
	if len(fresh) > 0 {
		f.sink.Apply(fresh, page.Outage)
		if f.keptRows != nil {
			f.keptRows.apply(fresh)
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.changed = revision.Later(f.changed, page.Changed)
	for _, row := range page.Rows {
		f.changed = revision.Later(f.changed, row.Revision)
	}
	f.revision = revision.Later(f.revision, page.Revision)
	f.recordOutage(page.Outage)
	f.confirm(page.Clock, begin)
}

// outageGracePeriod is the time after an outage of the store in which expired rows are still
// attributed to the outage.
const outageGracePeriod = 2 * time.Second

// recordAnswer records that the store has answered this process. It returns the outage that
// applies to the answer, 0 if there is none. mu is held.
func (f *Follower) recordAnswer() time.Duration {
	now := f.now()
	if f.failures > 0 {
		f.log.WithField("failures", f.failures).Info("store is available again")
		f.failures = 0
		f.outage, f.outageEnd = now-f.confirmedAt, now
	}
	return f.recentOutage()
}

// recentOutage returns the length of an outage within outageGracePeriod, else 0; mu is held.
func (f *Follower) recentOutage() time.Duration {
	if f.outage > 0 && f.now()-f.outageEnd < outageGracePeriod {
		return f.outage
	}
	return 0
}

// recordOutage records an outage that a page reports; mu is held.
func (f *Follower) recordOutage(outage time.Duration) {
	if outage > 0 && f.recentOutage() == 0 {
		f.outage, f.outageEnd = outage, f.now()
	}
}

// localTime returns the local time at which the store made an answer. A call waits at the
// store for up to Config.PollTimeout, and an answer may be delayed in the network, so
// neither the begin nor the end of the call shows the age of the answer. mu is held.
func (f *Follower) localTime(storeClock, begin time.Duration) time.Duration {
	ahead := f.confirmedAt - storeClock
	if !f.clockOffsetKnown || ahead < f.clockOffset {
		f.clockOffset, f.clockOffsetKnown = ahead, true
	}
	if made := storeClock + f.clockOffset; made >= begin {
		return min(made, f.confirmedAt)
	}
	// The answer seems to be older than its call: it was delayed on its way to this process,
	// or the store's clock has restarted.
	f.clockOffset = ahead
	return begin
}
