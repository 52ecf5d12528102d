// Package follow keeps a copy of a table by a feed of its changes: a snapshot
// first, changes from there, and a new snapshot when the feed has a gap.
package follow

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"kingcupplank.example/kingcup/internal/clock"
	"kingcupplank.example/kingcup/retry"
)

// ErrHistoryLost says that a feed no longer has the changes asked for.
var ErrHistoryLost = errors.New("history of the feed is lost")

// Row is a row as read, or as dropped.
type Row struct {
	Key      string
	Value    []byte
	Revision uint64
	Deleted  bool
}

// Page is an answer of a feed.
type Page struct {
	Rows []Row
	// Revision is where the feed goes on.
	Revision uint64
	// Clock is the store's steady clock when it made the answer.
	Clock time.Duration
}

// Feed reads one table.
type Feed interface {
	// Snapshot returns all rows.
	Snapshot(ctx context.Context) (Page, error)
	// Changes waits until rows have changed since a revision, or for wait.
	// Errors: ErrHistoryLost, or the store's.
	Changes(ctx context.Context, since uint64, wait time.Duration) (Page, error)
}

// Sink takes what a feed brings. Its methods are called one at a time.
type Sink interface {
	// Reset replaces everything. outage is the time since the feed's last
	// answer, 0 at the start.
	Reset(rows []Row, outage time.Duration)
	// Apply takes changes, in order.
	Apply(rows []Row)
	// Confirm says that all changes up to the time at are in.
	Confirm(at time.Duration)
}

// Config tunes a follower.
type Config struct {
	// Name is for the log.
	Name string
	// Wait is how long a call waits for changes. It bounds how old a view can be
	// while nothing changes; each call has a price.
	Wait time.Duration
	// Gap is the least time between two calls, so that a busy table is read in
	// batches.
	Gap time.Duration
}

// backoff spreads calls to a store that is away: VMs that all lost it at the same
// moment would otherwise return as one burst.
var backoff = retry.Backoff{Base: 100 * time.Millisecond, Max: 500 * time.Millisecond}

// Follower copies a table into a sink.
type Follower struct {
	cfg  Config
	feed Feed
	sink Sink
	now  clock.Source
	log  logrus.FieldLogger

	revision uint64
	synced   bool
	heard    time.Duration
	failures int
	// offset is the least that the local clock was ahead of the store's when an
	// answer came in; the answer that was fastest on its way sets it.
	offset      time.Duration
	offsetKnown bool
}

// New returns a follower; Run starts it.
func New(cfg Config, feed Feed, sink Sink, now clock.Source, log logrus.FieldLogger) *Follower {
	return &Follower{cfg: cfg, feed: feed, sink: sink, now: now, log: log.WithField("table", cfg.Name)}
}

// Run follows until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		begun := f.now()
		if err := f.step(ctx); err != nil && ctx.Err() == nil {
			f.failed(ctx, err)
			continue
		}
		sleep(ctx, f.cfg.Gap-(f.now()-begun))
	}
}

// step makes one call.
func (f *Follower) step(ctx context.Context) error {
	begun := f.now()
	if !f.synced {
		page, err := f.feed.Snapshot(ctx)
		if err != nil {
			return err
		}
		outage := time.Duration(0)
		if f.heard > 0 {
			outage = begun - f.heard
		}
		f.sink.Reset(page.Rows, outage)
		f.took(page, begun)
		f.synced = true
		return nil
	}
	page, err := f.feed.Changes(ctx, f.revision, f.cfg.Wait)
	if err != nil {
		return err
	}
	if len(page.Rows) > 0 {
		f.sink.Apply(page.Rows)
	}
	f.took(page, begun)
	return nil
}

func (f *Follower) took(page Page, begun time.Duration) {
	f.revision = max(f.revision, page.Revision)
	f.heard = f.now()
	f.sink.Confirm(f.madeAt(page.Clock, begun))
	if f.failures > 0 {
		f.log.WithField("failures", f.failures).Info("store is back")
		f.failures = 0
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
		return made
	}
	// An answer made before its call: the store's clock began anew.
	f.offset = ahead
	return begun
}

func (f *Follower) failed(ctx context.Context, err error) {
	if errors.Is(err, ErrHistoryLost) {
		f.log.WithField("revision", f.revision).Warn("feed has a gap, reading the table anew")
		f.synced = false
		return
	}
	if f.failures == 0 {
		f.log.WithError(err).WithField("revision", f.revision).Warn("store is lost")
	}
	sleep(ctx, backoff.After(f.failures, rand.Float64()))
	f.failures++
}

func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
