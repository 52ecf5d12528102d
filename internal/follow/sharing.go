package follow

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"kingcupplank.example/kingcup/revision"
)

// SharedPage is a page as one process passes it on to others.
type SharedPage struct {
	Page
	// Since is the revision that the page goes on from.
	Since revision.Revision
}

// ErrNoPeer says that no other process brings this table up to date.
var ErrNoPeer = errors.New("no peer serves the table")

// Sharing lets processes that follow the same table read it for each other. Every
// call to the store has a price and its rate is bounded.
type Sharing interface {
	// Fetch has another process bring the sink up to what it has, from a revision on, 0
	// for everything. What it returns are rows to take, or where the other's copy is if the
	// sink has them already. Errors: ErrNoPeer, or why it failed.
	Fetch(ctx context.Context, since revision.Revision) (Page, error)
	// IsReader reports whether this process is one of those that read the store;
	// the others live on what they are told. reached says whether the store
	// answered this process last.
	IsReader(reached bool) bool
	// MayCallStore reports whether this process may call the store although it is not one of
	// those: it hears nothing of them, or has been without a table for some time. Of many
	// processes that ask, few may at the same time.
	MayCallStore(without time.Duration) bool
	// Share passes on a page that was read.
	Share(s SharedPage)
	// IsPeerReading reports whether another process says that a long answer of the store is
	// coming in there.
	IsPeerReading() bool
}

// silentSlack is how much longer than a call may wait nothing may be heard before
// a process that lives on others reads by itself.
const silentSlack = 500 * time.Millisecond

// leans reports whether others read the table for this process. The sharing is asked without
// mu: it asks for the store's clock.
func (f *Follower) leans() bool {
	f.mu.Lock()
	alone := f.sharing == nil || !f.synced || f.gap() || f.behind
	reached, silent := f.failures == 0, !alone && f.silent()
	f.mu.Unlock()
	if alone || f.sharing.IsReader(reached) {
		return false
	}
	if silent {
		return !f.sharing.MayCallStore(0)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	// What others tell goes on; the own way to the store is tried again once it is needed.
	f.failures, f.leaned = 0, true
	return true
}

// readingPatience is how old the view may become while a peer takes in a long answer. A
// row of 20,000 routes takes a peer 2 s to read and decode; one that read it as well
// because of that silence would have its link full for longer.
const readingPatience = 4 * time.Second

// silent reports whether too little is heard of others to live on them; mu is held.
func (f *Follower) silent() bool {
	age := f.now() - f.made
	return age > f.cfg.PollTimeout+silentSlack && (age > readingPatience || !f.sharing.IsPeerReading())
}

// IsReading reports whether a long answer is coming in here.
func (f *Follower) IsReading() bool { return f.reading.Load() }

// leanPoll is how often a process that lives on others looks whether it still may.
const leanPoll = 100 * time.Millisecond

func (f *Follower) await(ctx context.Context) {
	t := time.NewTimer(leanPoll)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-f.offered:
	case <-t.C:
	}
}

// ReceivePage takes a page that another process has read. One that leaves a gap is not
// taken; the changes between are then fetched, or read from the store.
func (f *Follower) ReceivePage(s SharedPage) {
	f.applying.Lock()
	defer f.applying.Unlock()
	f.mu.Lock()
	synced, joins := f.synced, !f.revision.Before(s.Since)
	if synced && !joins {
		f.gapTo = revision.Later(f.gapTo, s.Since)
	}
	f.mu.Unlock()
	if !synced {
		return
	}
	if joins {
		f.take(s.Page, 0)
	}
	f.nudge()
}

// ReceivePosition takes how far another process is. One that this process has all changes of confirms
// the own copy as it is: no page has to come in for that. From one that is further the
// difference is fetched.
func (f *Follower) ReceivePosition(p Position) {
	f.mu.Lock()
	own, synced := f.position(), f.synced
	if !synced {
		f.mu.Unlock()
		f.nudge()
		return
	}
	if !own.Has(p) {
		f.behind = true
		f.mu.Unlock()
		f.nudge()
		return
	}
	f.mu.Unlock()
	if p.Clock > own.Clock {
		f.join(p)
	}
}

// SetBehind notes that another process has something newer: it is fetched.
func (f *Follower) SetBehind() {
	f.mu.Lock()
	f.behind = true
	f.mu.Unlock()
	f.nudge()
}

// join takes a position that the own one has. While a page is being taken it is passed over:
// the next state brings it again, and a link must not wait for a long row.
func (f *Follower) join(p Position) {
	if !f.applying.TryLock() {
		return
	}
	defer f.applying.Unlock()
	f.mu.Lock()
	defer f.mu.Unlock()
	own := f.position()
	if !f.synced || !own.Has(p) {
		return
	}
	joined := own.Join(p)
	f.changed, f.revision = joined.Changed, joined.Revision
	f.confirm(joined.Clock, 0)
}

// IsBehind reports whether a copy at a position has changes that this one has not.
func (f *Follower) IsBehind(p Position) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.synced || !f.position().Has(p)
}

// ChangesSince gives what has changed after a revision, for another process. It is false where
// rows are not kept, or there are none yet. While the table is read anew it gives what there
// was: one that starts has nothing better than a store that has come back older.
func (f *Follower) ChangesSince(known revision.Revision) (Page, bool) {
	f.applying.Lock()
	defer f.applying.Unlock()
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.kept == nil || !f.filled {
		return Page{}, false
	}
	page := Page{Revision: f.revision, Changed: f.changed, Clock: f.stamp, Outage: f.outageNow()}
	page.Rows, page.Whole = f.kept.since(known)
	return page, true
}

// SetClock takes the store's steady clock from an answer to a call that began at begun. A
// process that has its tables from others could not tell their age without.
func (f *Follower) SetClock(stamp, begun time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	ahead := f.now() - stamp
	if !f.offsetKnown || ahead < f.offset || stamp+f.offset < begun {
		f.offset, f.offsetKnown = ahead, true
	}
}

// without is how long the process has been without a table.
func (f *Follower) without() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.begun == 0 {
		f.begun = f.now()
	}
	return f.now() - f.begun
}

// startFromPeer has another process bring the whole table, and reports whether one did. The
// store's clock must be known by an own answer: from what peers tell alone a table that is
// seconds old would look new, and keys be trusted beyond their bound.
func (f *Follower) startFromPeer(ctx context.Context) bool {
	f.mu.Lock()
	known, from := f.offsetKnown, revision.Revision{}
	if f.filled {
		from = f.revision
	}
	f.mu.Unlock()
	if !known {
		return false
	}
	page, err := f.sharing.Fetch(ctx, from)
	if err != nil {
		f.notFetched(err)
		return false
	}
	f.applying.Lock()
	defer f.applying.Unlock()
	f.mu.Lock()
	synced, own := f.synced, f.revision
	f.mu.Unlock()
	switch {
	case synced:
		return true
	case !own.Before(page.Revision):
		// Nothing newer than what the store has no history of any more.
		return false
	case page.Whole || from.IsZero():
		f.replace(page, 0)
	default:
		f.take(page, 0)
		f.mu.Lock()
		f.synced, f.begun = true, 0
		f.mu.Unlock()
	}
	f.log.WithField("revision", page.Revision.String()).WithField("rows", len(page.Rows)).Info("table is taken over from a peer")
	return true
}

func (f *Follower) notFetched(err error) {
	if !errors.Is(err, ErrNoPeer) {
		f.log.WithError(err).Info("peers do not bring what was missed")
	}
}

// gap reports whether pages were missed; mu is held.
func (f *Follower) gap() bool { return f.revision.Before(f.gapTo) }

func (f *Follower) nudge() {
	select {
	case f.offered <- struct{}{}:
	default:
	}
}

// fetch has another process bring the sink up to date, and reports whether one did.
func (f *Follower) fetch(ctx context.Context) bool {
	f.mu.Lock()
	since := f.revision
	f.mu.Unlock()
	page, err := f.sharing.Fetch(ctx, since)
	if err != nil {
		f.notFetched(err)
		return false
	}
	f.applying.Lock()
	defer f.applying.Unlock()
	f.mu.Lock()
	older := page.Revision.Before(f.revision)
	f.mu.Unlock()
	switch {
	case !page.Whole:
		f.take(page, 0)
	case !older:
		f.replace(page, 0)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.gap()
}
