package follow

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// Shared is a page as one process passes it on to others.
type Shared struct {
	Page
	// Since is the revision that the page goes on from.
	Since uint64
}

// ErrNoPeer says that no other process brings this table up to date.
var ErrNoPeer = errors.New("no peer serves the table")

// Sharing lets processes that follow the same table read it for each other. Every
// call to the store has a price and its rate is bounded.
type Sharing interface {
	// Fetch has another process bring the sink up to what it has, and returns where its
	// feed stands, without rows. Errors: ErrNoPeer, or why it failed.
	Fetch(ctx context.Context) (Page, error)
	// Reads reports whether this process is one of those that read the store;
	// the others live on what they are told. reached says whether the store
	// answered this process last.
	Reads(reached bool) bool
	// Share passes on a page that was read.
	Share(s Shared)
	// Reading reports whether another process says that a long answer of the store is
	// coming in there.
	Reading() bool
}

// silentSlack is how much longer than a call may wait nothing may be heard before
// a process that lives on others reads by itself.
const silentSlack = 500 * time.Millisecond

// probeStore is how often a process that the store does not answer tries it
// while others keep it informed.
const probeStore = time.Second

// leans reports whether others read the table for this process.
func (f *Follower) leans() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.sharing == nil || !f.synced || f.gap() || f.behind || f.silent() {
		return false
	}
	if f.failures > 0 && f.now()-f.tried > probeStore {
		return false
	}
	return !f.sharing.Reads(f.failures == 0)
}

// readingPatience is how old the view may become while a peer takes in a long answer. A
// row of 20,000 routes takes a peer 2 s to read and decode; one that read it as well
// because of that silence would have its link full for longer.
const readingPatience = 4 * time.Second

// silent reports whether too little is heard of others to live on them; mu is held.
func (f *Follower) silent() bool {
	age := f.now() - f.made
	return age > f.cfg.Wait+silentSlack && (age > readingPatience || !f.sharing.Reading())
}

// Reading reports whether a long answer is coming in here.
func (f *Follower) Reading() bool { return f.reading.Load() }

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

// Offer takes a page that another process has read. One that leaves a gap is not
// taken; the changes between are then fetched, or read from the store.
func (f *Follower) Offer(s Shared) {
	f.applying.Lock()
	defer f.applying.Unlock()
	f.mu.Lock()
	synced, joins := f.synced, s.Since <= f.revision
	if synced && !joins {
		f.gapTo = max(f.gapTo, s.Since)
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

// Behind tells that another process has a newer table.
func (f *Follower) Behind() {
	f.mu.Lock()
	f.behind = true
	f.mu.Unlock()
	f.nudge()
}

// gap reports whether pages were missed; mu is held.
func (f *Follower) gap() bool { return f.gapTo > f.revision }

func (f *Follower) nudge() {
	select {
	case f.offered <- struct{}{}:
	default:
	}
}

// fetch has another process bring the sink up to date, and reports whether one did.
func (f *Follower) fetch(ctx context.Context) bool {
	page, err := f.sharing.Fetch(ctx)
	if err != nil {
		if !errors.Is(err, ErrNoPeer) {
			f.log.WithError(err).Info("peers do not bring what was missed")
		}
		return false
	}
	f.applying.Lock()
	defer f.applying.Unlock()
	f.take(page, 0)
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.gap()
}
