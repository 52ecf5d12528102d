package follow

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"kingcupplank.example/kingcup/revision"
)

// SharedPage is a page that one process has read and passes on to others.
type SharedPage struct {
	Page
	// Since is the revision after which the page's changes begin.
	Since revision.Revision
}

// ErrNoPeer says that no peer can bring this table up to date.
var ErrNoPeer = errors.New("no peer serves the table")

// Sharing lets processes that follow the same table read it for each other, because every
// call to the store has a price and the rate of calls is bounded.
type Sharing interface {
	// Fetch requests the changes after a revision from a peer; revision 0 requests the whole
	// table. It returns rows to apply, or only the position of the peer's copy if the rows
	// are already in the sink. Errors: ErrNoPeer, or the reason for the failure.
	Fetch(ctx context.Context, since revision.Revision) (Page, error)
	// IsReader reports whether this process reads the store on behalf of all. The other
	// processes rely on the readers' pages. reached says whether the store answered the last
	// call of this process.
	IsReader(reached bool) bool
	// MayCallStore reports whether this process may call the store although it is not a
	// reader, because it receives nothing from the readers, has missed a page, or has been
	// without a table for some time, given by withoutTable. reached says whether the store
	// answered the last call of this process. If many processes ask at the same time, only a
	// few may call.
	MayCallStore(reached bool, withoutTable time.Duration) bool
	// StoreAnswered is called when the store has answered a call of this process.
	StoreAnswered()
	// Share passes a page from the store on to other processes.
	Share(s SharedPage)
	// IsPeerReading reports whether a peer says that it is receiving a long answer of the
	// store.
	IsPeerReading() bool
}

// silenceMargin is added to the timeout of a call. A process that relies on its peers calls
// the store itself when its copy is older than the sum.
const silenceMargin = 500 * time.Millisecond

// reliesOnPeers reports whether peers read the table for this process. It calls sharing
// without holding mu, because sharing in turn asks the follower for the store's clock.
func (f *Follower) reliesOnPeers() bool {
	f.mu.Lock()
	needsCall := f.sharing == nil || !f.synced || f.hasGap() || f.behind
	reached, isSilent := f.failures == 0, !needsCall && f.isSilent()
	f.mu.Unlock()
	if needsCall || f.sharing.IsReader(reached) {
		return false
	}
	if isSilent {
		return !f.sharing.MayCallStore(reached, 0)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	// Peers keep the copy up to date. The connection to the store is tried again when this
	// process needs it.
	f.failures, f.reliedOnPeers = 0, true
	return true
}

// maxAgeWhilePeerReads bounds the age of the copy while a peer receives a long answer. A peer
// needs 2 s to read and decode a row of 20,000 routes. A process that read the row as well
// because no page arrived meanwhile would have its link full for longer.
const maxAgeWhilePeerReads = 4 * time.Second

// isSilent reports whether the copy is too old to rely on peers; mu is held.
func (f *Follower) isSilent() bool {
	age := f.now() - f.madeAt
	return age > f.cfg.PollTimeout+silenceMargin && (age > maxAgeWhilePeerReads || !f.sharing.IsPeerReading())
}

// IsReading reports whether this process is receiving a long answer of the store.
func (f *Follower) IsReading() bool { return f.reading.Load() }

// peerCheckInterval is the interval at which a process that relies on its peers checks
// whether it still can.
const peerCheckInterval = 100 * time.Millisecond

// awaitPeers waits until a peer sends something or the next check is due.
func (f *Follower) awaitPeers(ctx context.Context) {
	t := time.NewTimer(peerCheckInterval)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-f.wake:
	case <-t.C:
	}
}

// ReceivePage applies a page that a peer has read. A page that leaves a gap is not applied;
// the missing changes are then fetched from a peer or read from the store.
func (f *Follower) ReceivePage(s SharedPage) {
	f.applyMu.Lock()
	defer f.applyMu.Unlock()
	f.mu.Lock()
	synced, adjoins := f.synced, !f.revision.Before(s.Since)
	if synced && !adjoins {
		if !f.hasGap() {
			f.missedSince = f.now()
		}
		f.missedUpTo = revision.Later(f.missedUpTo, s.Since)
	}
	f.mu.Unlock()
	if !synced {
		return
	}
	if adjoins {
		f.applyPage(s.Page, 0)
	}
	f.wakeUp()
}

// ReceivePosition takes the position of a peer's copy. If this copy covers it, the position
// confirms that this copy is up to date without a page. If the peer is ahead, the difference
// is fetched.
func (f *Follower) ReceivePosition(p Position) {
	f.mu.Lock()
	own, synced := f.position(), f.synced
	if !synced {
		// Without a table, one read is given up: its start is lost, and a peer may fail to pass its table on.
		if (f.hasTable || f.clockOffsetKnown && f.canceledAt == 0) && !own.Covers(p) {
			f.giveUpRead()
		}
		f.mu.Unlock()
		f.wakeUp()
		return
	}
	if !own.Covers(p) {
		f.behind = true
		f.mu.Unlock()
		f.wakeUp()
		return
	}
	f.mu.Unlock()
	if p.Clock > own.Clock {
		f.mergePosition(p)
	}
}

// minReadTime is the least time between two reads of the whole table that are given up. A peer that is
// ahead but cannot pass its table on must not keep this process from reading it.
const minReadTime = 2 * time.Second

// giveUpRead gives up reading the whole table; mu is held.
func (f *Follower) giveUpRead() {
	if f.cancelRead == nil || f.canceledAt > 0 && f.now()-f.canceledAt < minReadTime {
		return
	}
	f.canceledAt = f.now()
	f.cancelRead()
}

func (f *Follower) setCancelRead(cancel context.CancelFunc) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cancelRead = cancel
}

// SetBehind records that a peer has newer changes, which are then fetched.
func (f *Follower) SetBehind() {
	f.mu.Lock()
	f.behind = true
	f.mu.Unlock()
	f.wakeUp()
}

// mergePosition merges a position that this copy covers. It does nothing while a page is
// being applied, because a link must not wait for a long row; the next state brings the
// position again.
func (f *Follower) mergePosition(p Position) {
	if !f.applyMu.TryLock() {
		return
	}
	defer f.applyMu.Unlock()
	f.mu.Lock()
	defer f.mu.Unlock()
	own := f.position()
	if !f.synced || !own.Covers(p) {
		return
	}
	merged := own.Merge(p)
	f.changed, f.revision = merged.Changed, merged.Revision
	f.confirm(merged.Clock, 0)
}

// IsBehind reports whether a copy at a position has changes that this one lacks.
func (f *Follower) IsBehind(p Position) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.synced || !f.position().Covers(p)
}

// ChangesSince returns the changes after a revision, for another process. It returns false if
// rows are not kept or there are none yet. While the table is read again it returns the
// previous rows: a process that starts would otherwise have only the store, which may have
// been restored from an older copy.
func (f *Follower) ChangesSince(known revision.Revision) (Page, bool) {
	f.applyMu.Lock()
	defer f.applyMu.Unlock()
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.keptRows == nil || !f.hasTable {
		return Page{}, false
	}
	page := Page{Revision: f.revision, Changed: f.changed, Clock: f.storeClock, Outage: f.recentOutage()}
	page.Rows, page.Whole = f.keptRows.since(known)
	return page, true
}

// SetClock sets the store's steady clock from the answer to a call that began at begin.
// Without it a process that receives its tables from peers could not compute their age.
func (f *Follower) SetClock(storeClock, begin time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	ahead := f.now() - storeClock
	if !f.clockOffsetKnown || ahead < f.clockOffset || storeClock+f.clockOffset < begin {
		f.clockOffset, f.clockOffsetKnown = ahead, true
	}
}

// timeWithoutTable returns how long this process has been without a synced table. The time
// counts from the first call, or from the loss of the table's history.
func (f *Follower) timeWithoutTable() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.withoutSince == 0 {
		f.withoutSince = f.now()
	}
	return f.now() - f.withoutSince
}

// startFromPeer fetches the table from a peer, and reports whether it succeeded. This
// process must know the store's clock from an answer of its own. With the peers' reports
// alone, a table that is seconds old would seem new and API keys would be accepted for
// longer than allowed.
func (f *Follower) startFromPeer(ctx context.Context) bool {
	f.mu.Lock()
	known, from := f.clockOffsetKnown, revision.Revision{}
	if f.hasTable {
		from = f.revision
	}
	f.mu.Unlock()
	if !known {
		return false
	}
	page, err := f.sharing.Fetch(ctx, from)
	if err != nil {
		f.logFetchError(err)
		return false
	}
	f.applyMu.Lock()
	defer f.applyMu.Unlock()
	f.mu.Lock()
	synced, own := f.synced, f.revision
	f.mu.Unlock()
	switch {
	case synced:
		return true
	case !own.Before(page.Revision):
		// The peer's copy is not newer than the revision whose history the store has lost.
		return false
	case page.Whole || from.IsZero():
		f.replace(page, 0)
	default:
		f.applyPage(page, 0)
		f.mu.Lock()
		f.synced, f.withoutSince = true, 0
		f.mu.Unlock()
	}
	f.log.WithField("revision", page.Revision.String()).WithField("rows", len(page.Rows)).Info("table was fetched from a peer")
	return true
}

func (f *Follower) logFetchError(err error) {
	if !errors.Is(err, ErrNoPeer) {
		f.log.WithError(err).Info("changes could not be fetched from a peer")
	}
}

// hasGap reports whether pages of peers were missed; mu is held.
func (f *Follower) hasGap() bool { return f.revision.Before(f.missedUpTo) }

// maxGapAge is how long a process leaves the reading of missed pages to a few others that may
// call the store. When hundreds of processes start at once, most of them miss pages while their
// links are set up, and the peers that they ask have no table yet.
const maxGapAge = time.Second

// gapAge returns how long ago the first of the missed pages was missed.
func (f *Follower) gapAge() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.now() - f.missedSince
}

// Wake ends the wait of a process that relies on its peers, so that it decides anew who reads
// the store.
func (f *Follower) Wake() { f.wakeUp() }

func (f *Follower) wakeUp() {
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// fetch requests missed changes from a peer, and reports whether no gap is left.
func (f *Follower) fetch(ctx context.Context) bool {
	f.mu.Lock()
	since := f.revision
	f.mu.Unlock()
	page, err := f.sharing.Fetch(ctx, since)
	if err != nil {
		f.logFetchError(err)
		return false
	}
	f.applyMu.Lock()
	defer f.applyMu.Unlock()
	f.mu.Lock()
	older := page.Revision.Before(f.revision)
	f.mu.Unlock()
	switch {
	case !page.Whole:
		f.applyPage(page, 0)
	case !older:
		f.replace(page, 0)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.hasGap()
}
