// Package follow keeps a copy of a table by a feed of its changes: a snapshot
// first, changes from there, and a new snapshot when the feed has a gap.
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

// ErrHistoryLost says that a feed no longer has the changes asked for.
var ErrHistoryLost = errors.New("history of the feed is lost")

// Row is a row as read, or as dropped.
type Row struct {
	Key      string
	Value    []byte
	Revision revision.Revision
	Deleted  bool
}

// Page is an answer of a feed.
type Page struct {
	Rows []Row
	// Revision is where the feed goes on.
	Revision revision.Revision
	// Clock is the store's steady clock when it made the answer.
	Clock time.Duration
	// Outage is how long the store was away until shortly before the answer, 0 if
	// it was not. Rows may have lapsed meanwhile although their owners live.
	Outage time.Duration
	// Whole says that Rows are the whole table.
	Whole bool
	// Changed is the revision after which the table has not changed, 0 if it is not known.
	Changed revision.Revision
}

// Feed reads one table.
type Feed interface {
	// Snapshot returns all rows. patience bounds the time without progress: a long
	// table is read in parts.
	Snapshot(ctx context.Context, patience time.Duration) (Page, error)
	// Changes waits until rows have changed since a revision, or for wait. long is called
	// once a long answer has begun to come in. Errors: ErrHistoryLost, or the store's.
	Changes(ctx context.Context, since revision.Revision, wait time.Duration, long func()) (Page, error)
}

// Sink takes what a feed brings. Its methods are called one at a time.
type Sink interface {
	// Reset replaces everything. outage is how long the store was away before, 0
	// if it was not.
	Reset(rows []Row, outage time.Duration)
	// Apply takes changes, in order.
	Apply(rows []Row, outage time.Duration)
	// Confirm says that all changes up to the time at are in.
	Confirm(at time.Duration)
}

// Config tunes a follower.
type Config struct {
	// Name is for the log.
	Name string
	// PollTimeout is how long a call waits for changes. It bounds how old a view can be
	// while nothing changes; each call has a price.
	PollTimeout time.Duration
	// MinCallInterval is the least time between two calls, so that a busy table is read in
	// batches.
	MinCallInterval time.Duration
	// OnCall is told why each call to the store is made; it may be nil.
	OnCall func(Reason)
	// OnRestored is told when the store has come back from a copy; it may be nil.
	OnRestored func()
	// KeepRows has the rows kept, for Follower.Since.
	KeepRows bool
}

// Reason is why a process calls the store.
type Reason string

// The reasons.
const (
	// ReasonStart is a table that is read as a whole.
	ReasonStart Reason = "whole table"
	// ReasonReader is a process that reads for others.
	ReasonReader Reason = "reads for others"
	// ReasonSilent is a process that hears too little of others to live on them.
	ReasonSilent Reason = "hears nothing"
	// ReasonMissed is a page that others passed on and that did not come in here.
	ReasonMissed Reason = "missed a page"
	// ReasonRetry is a call after one that failed.
	ReasonRetry Reason = "retry"
)

// backoff spreads calls to a store that is away: VMs that all lost it at the same
// moment would otherwise return as one burst.
var backoff = retry.Backoff{Base: 100 * time.Millisecond, Max: 500 * time.Millisecond}

// Follower copies a table into a sink.
type Follower struct {
	cfg     Config
	feed    Feed
	sink    Sink
	sharing Sharing
	now     clock.Source
	log     logrus.FieldLogger
	// offered wakes a follower that waits for others.
	offered chan struct{}
	// reading says that a long answer is coming in.
	reading atomic.Bool

	// applying serializes the calls to sink. Lock order: applying, mu. A sink may take
	// long over a large row, and what mu guards is asked for by requests.
	applying sync.Mutex

	// kept are the rows, where they are kept; applying guards them.
	kept *rows

	mu sync.Mutex
	// revision and changed are the follower's position, with stamp.
	revision, changed revision.Revision
	synced            bool
	// filled is set by the first whole table and stays.
	filled bool
	// leaned says that others have read the table for this process since its last call.
	leaned bool
	// begun is when the process began to be without a table, 0 while it has one.
	begun time.Duration
	// answeredAt is the store's steady clock when it last answered this process.
	answeredAt time.Duration
	// gapTo is the revision up to which pages were missed.
	gapTo revision.Revision
	// behind says that another process has a newer table.
	behind bool
	// heard is when the last page came in, made when the store made it, stamp the same
	// by the store's clock, and tried when a call was last made.
	heard, made, stamp, tried time.Duration
	failures                  int
	// outage is how long the store was away before it returned at returned.
	outage, returned time.Duration
	// offset is the least that the local clock was ahead of the store's when an
	// answer came in; the answer that was fastest on its way sets it.
	offset      time.Duration
	offsetKnown bool
}

// New returns a follower; Run starts it. A nil sharing reads alone.
func New(cfg Config, feed Feed, sink Sink, sharing Sharing, now clock.Source, log logrus.FieldLogger) *Follower {
	f := &Follower{
		cfg: cfg, feed: feed, sink: sink, sharing: sharing, now: now,
		log: log.WithField("table", cfg.Name), offered: make(chan struct{}, 1),
	}
	if cfg.KeepRows {
		f.kept = &rows{}
	}
	return f
}

// Run follows until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if f.leans() {
			f.await(ctx)
			continue
		}
		begun := f.now()
		if err := f.step(ctx); err != nil && ctx.Err() == nil {
			f.failed(ctx, err)
			continue
		}
		wait.For(ctx, f.cfg.MinCallInterval-(f.now()-begun))
	}
}

// step brings the sink forward once: by another process for what was missed, else by a
// call to the store.
func (f *Follower) step(ctx context.Context) error {
	f.mu.Lock()
	synced, gap, behind := f.synced, f.gap(), f.behind
	f.behind = false
	f.mu.Unlock()
	if !synced && f.sharing != nil {
		if f.startFromPeer(ctx) {
			return nil
		}
		if !f.sharing.MayCallStore(f.without()) {
			f.await(ctx)
			return nil
		}
	}
	if synced && (gap || behind) && f.sharing != nil {
		// What another process only seems to have is no reason to call the store.
		if f.fetch(ctx) || !gap {
			return nil
		}
	}
	f.mu.Lock()
	f.tried = f.now()
	reason := f.reason()
	f.mu.Unlock()
	if f.cfg.OnCall != nil {
		f.cfg.OnCall(reason)
	}
	if !synced {
		return f.readWhole(ctx)
	}
	return f.readChanges(ctx)
}

// reason is why the store is about to be called; mu is held.
func (f *Follower) reason() Reason {
	switch {
	case f.failures > 0:
		return ReasonRetry
	case !f.synced:
		return ReasonStart
	case f.gap():
		return ReasonMissed
	case f.sharing != nil && f.silent():
		return ReasonSilent
	}
	return ReasonReader
}

func (f *Follower) readWhole(ctx context.Context) error {
	begun := f.now()
	page, err := f.feed.Snapshot(ctx, f.snapshotPatience())
	if err != nil {
		return err
	}
	f.reset(page, begun)
	return nil
}

func (f *Follower) readChanges(ctx context.Context) error {
	begun := f.now()
	f.mu.Lock()
	since, patience := f.revision, f.cfg.PollTimeout
	if f.gap() || f.failures > 0 || f.leaned {
		// What is missing is there already, and after an outage, or after those that read
		// have ended, the age of the view must not wait for a change.
		patience = 0
	}
	f.leaned = false
	f.mu.Unlock()
	defer f.reading.Store(false)
	page, err := f.feed.Changes(ctx, since, patience, func() { f.reading.Store(true) })
	if err != nil {
		return err
	}
	f.applying.Lock()
	f.mu.Lock()
	page.Outage = f.answered()
	f.answeredAt = page.Clock
	f.mu.Unlock()
	f.take(page, begun)
	f.applying.Unlock()
	if f.sharing != nil {
		f.sharing.Share(SharedPage{Page: page, Since: since})
	}
	return nil
}

const (
	// snapshotPatience is how long the first try to read a table waits for each part
	// of it. A connection that fell silent must not hold up the start.
	snapshotPatience = 800 * time.Millisecond
	// snapshotDoublings is how often it is doubled after failures. When hundreds of
	// VMs start at once and read long tables, the store's link is busy for seconds;
	// tries that are all given up too early would keep it so.
	snapshotDoublings = 3
)

func (f *Follower) snapshotPatience() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return snapshotPatience << min(f.failures, snapshotDoublings)
}

func (f *Follower) reset(page Page, begun time.Duration) {
	f.applying.Lock()
	defer f.applying.Unlock()
	f.mu.Lock()
	older := f.synced && page.Revision.Before(f.revision)
	if !older {
		page.Outage = f.answered()
		f.answeredAt = page.Clock
	}
	f.mu.Unlock()
	if older {
		return
	}
	f.replace(page, begun)
}

// Seed takes a whole table that was read beside the feed, by a call that began at begun.
func (f *Follower) Seed(page Page, begun time.Duration) {
	f.reset(page, begun)
	f.nudge()
}

// replace puts a whole table in place of what is known; applying is held.
func (f *Follower) replace(page Page, begun time.Duration) {
	f.mu.Lock()
	was, restored := f.revision, f.filled && page.Revision.Era() > f.revision.Era()
	f.mu.Unlock()
	if restored {
		page.Outage = max(page.Outage, restoredOutage)
		if f.cfg.OnRestored != nil {
			f.cfg.OnRestored()
		}
		f.log.WithFields(logrus.Fields{"era": page.Revision.Era(), "before": was.Version(), "after": page.Revision.Version(), "rows": len(page.Rows)}).Warn("store has come back from a copy")
	}
	if r, ok := f.sink.(Restorer); ok && restored {
		r.Restored(page.Rows, page.Outage)
	} else {
		f.sink.Reset(page.Rows, page.Outage)
	}
	if f.kept != nil {
		f.kept.reset(page.Rows, page.Revision)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.revision, f.changed = page.Revision, page.Changed
	if f.changed.IsZero() {
		f.changed = page.Revision
	}
	f.synced, f.filled, f.begun = true, true, 0
	f.standUnder(page.Outage)
	f.confirm(page.Clock, begun)
}

// confirm notes a page; applying and mu are held.
func (f *Follower) confirm(stamp, begun time.Duration) {
	f.heard = f.now()
	if made := f.madeAt(stamp, begun); made >= f.made {
		f.made, f.stamp = made, stamp
	}
	f.sink.Confirm(f.made)
}

// take applies a page; rows that another page has brought already are passed over.
// applying is held.
func (f *Follower) take(page Page, begun time.Duration) {
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
		if f.kept != nil {
			f.kept.apply(fresh)
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.changed = revision.Later(f.changed, page.Changed)
	for _, row := range page.Rows {
		f.changed = revision.Later(f.changed, row.Revision)
	}
	f.revision = revision.Later(f.revision, page.Revision)
	f.standUnder(page.Outage)
	f.confirm(page.Clock, begun)
}

// returnGrace is how long after the store's return what it says of lapsed rows is
// still a matter of the outage.
const returnGrace = 2 * time.Second

// answered notes that the store has answered this process, and returns the outage
// that the answer stands under.
func (f *Follower) answered() time.Duration {
	now := f.now()
	if f.failures > 0 {
		f.log.WithField("failures", f.failures).Info("store is back")
		f.failures = 0
		f.outage, f.returned = now-f.heard, now
	}
	return f.outageNow()
}

// outageNow is the outage that what is known stands under; mu is held.
func (f *Follower) outageNow() time.Duration {
	if f.outage > 0 && f.now()-f.returned < returnGrace {
		return f.outage
	}
	return 0
}

// standUnder notes an outage that another process has told of; mu is held.
func (f *Follower) standUnder(outage time.Duration) {
	if outage > 0 && f.outageNow() == 0 {
		f.outage, f.returned = outage, f.now()
	}
}

// madeAt is the local time at which the store made an answer. A call waits at the
// store for up to Config.Wait, and an answer may be held up on its way, so neither
// the call's begin nor its end tells how old the answer is.
func (f *Follower) madeAt(stamp, begun time.Duration) time.Duration {
	ahead := f.heard - stamp
	if !f.offsetKnown || ahead < f.offset {
		f.offset, f.offsetKnown = ahead, true
	}
	if made := stamp + f.offset; made >= begun {
		return min(made, f.heard)
	}
	// An answer made before its call was held up on its way to this process, or
	// the store's clock began anew.
	f.offset = ahead
	return begun
}
