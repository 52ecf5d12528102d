package gateway

import (
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"kingcupplank.example/kingcup/internal/clock"
	"kingcupplank.example/kingcup/internal/follow"
	"kingcupplank.example/kingcup/internal/peers"
	"kingcupplank.example/kingcup/platform/directory"
	"kingcupplank.example/kingcup/platform/operator"
	peerv1 "kingcupplank.example/kingcup/proto/kingcup/peer/v1"
	"kingcupplank.example/kingcup/readers"
)

const (
	// joinPatience is how long a gateway that starts waits for the list of its peers: one
	// that does not know them cannot have the tables from them. The list takes two calls,
	// some 20 ms.
	joinPatience = 500 * time.Millisecond
	// startPatience is how long a gateway that starts leaves the store to others, ever
	// less. A table of 3,000 servers passes over two links in about 0.5 s each.
	startPatience = 3 * time.Second
	// listsPerSecond bounds how often this gateway names the readers to its peers, in all.
	// A list is as long as the rest of a state without load; at 100 states a second each
	// second one has it, drawn at random so that no peer is passed over for long.
	listsPerSecond = 50
)

// readerRole is whether this gateway reads the store for all. It is safe for concurrent
// use; mu is a leaf, and what it needs of others is asked before.
type readerRole struct {
	group  *group
	joined atomic.Bool
	// first says that this gateway reads the tables first when all start.
	first atomic.Bool
	// news says that the next state names the readers whatever is drawn.
	news atomic.Bool
	// told says that the peers know that this gateway reads.
	told atomic.Bool

	mu   sync.Mutex
	role *readers.Role
}

func newReaderRole(g *group) *readerRole {
	return &readerRole{group: g, role: readers.NewRole(readers.Reader{Name: g.self.Name, FailureDomain: g.self.FailureDomain, LinkMbps: g.linkMbps})}
}

// now is the store's steady clock as the follower of a table knows it.
func (r *readerRole) now() (time.Duration, bool) {
	return r.group.followers[operator.Table].StoreTime()
}

// reads decides for a follower of a table; see readers.Role.Reads.
func (r *readerRole) reads(now time.Duration, reached bool) bool {
	look := readers.Inputs{Now: now, StoreReached: reached, ProcessCount: r.group.crowd(), Random: rand.Float64()}
	r.mu.Lock()
	defer r.mu.Unlock()
	was := r.role.IsReading()
	reads := r.role.ShouldRead(look)
	r.changed(was, reads, look.ProcessCount)
	return reads
}

// turn decides for a follower that hears nothing, or has had no table for some time.
func (r *readerRole) turn(now, without time.Duration) bool {
	if without > 0 && without < joinPatience && !r.joined.Load() {
		return false
	}
	look := readers.Inputs{Now: now, StoreReached: true, ProcessCount: r.group.crowd(), Random: rand.Float64()}
	switch {
	case without > 0 && r.first.Load():
		look.ProcessCount = 1
	case without > 0:
		look.ProcessCount = float64(r.group.links.KnownCount()) * max(0, 1-without.Seconds()/startPatience.Seconds())
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	was := r.role.IsReading()
	turn := r.role.MayTryStore(look)
	r.changed(was, turn, look.ProcessCount)
	return turn
}

// startsFirst decides whether this gateway is one of those that read the tables first when
// all start: the others have them from these as soon as they are linked. Of many that wait
// for each other chance would choose VMs with thin links, or none for a while.
func (r *readerRole) startsFirst(all []peers.Member) {
	var list []readers.Reader
	for _, m := range all {
		list = append(list, readers.Reader{Name: m.Name, FailureDomain: m.FailureDomain, LinkMbps: m.LinkMbps})
	}
	first := slices.ContainsFunc(readers.InitialReaders(list, firstReaders), func(f readers.Reader) bool { return f.Name == r.group.self.Name })
	r.first.Store(first)
}

// changed notes whether this gateway reads now.
func (r *readerRole) changed(was, reads bool, crowd float64) {
	if was == reads {
		return
	}
	r.told.Store(false)
	r.group.log.WithField("reads", reads).WithField("crowd", crowd).Info("reader of the store")
}

// answered has the peers told at once that this gateway reads, with the first answers for both
// tables since it began to: until they know, more of them try every 50 ms.
func (r *readerRole) answered() {
	now, known := r.now()
	if !known || now-r.group.answered() >= readers.AnswerTimeout {
		return
	}
	r.mu.Lock()
	reading := r.role.IsReading()
	r.mu.Unlock()
	if reading && r.told.CompareAndSwap(false, true) {
		r.spread()
	}
}

// spread has the peers told of the readers at once.
func (r *readerRole) spread() {
	r.news.Store(true)
	r.group.links.SendStateNow()
}

// list is what is told of the readers, in some states.
func (r *readerRole) list() (out []*peerv1.Reader) {
	if !r.news.Swap(false) && rand.Float64() >= listsPerSecond/r.group.links.StatesPerSecond() {
		return nil
	}
	now, known := r.now()
	if !known {
		return nil
	}
	answered := r.group.answered()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, o := range r.role.Readers(now, answered) {
		out = append(out, &peerv1.Reader{Name: o.Name, FailureDomain: o.FailureDomain, LinkMbps: o.LinkMbps, AnsweredMs: o.AnsweredAt.Milliseconds()})
	}
	return out
}

// hear takes what a peer tells of the readers.
func (r *readerRole) hear(list []*peerv1.Reader) {
	now, known := r.now()
	if len(list) == 0 || !known {
		return
	}
	var rs []readers.Reader
	for _, o := range list {
		rs = append(rs, readers.Reader{
			Name: o.GetName(), FailureDomain: o.GetFailureDomain(), LinkMbps: o.GetLinkMbps(),
			AnsweredAt: time.Duration(o.GetAnsweredMs()) * time.Millisecond,
		})
	}
	r.mu.Lock()
	before := len(r.role.Readers(now, 0))
	r.role.AddReports(rs, now)
	after := len(r.role.Readers(now, 0))
	r.mu.Unlock()
	if after > before {
		// Those that hear none of the readers wait for it.
		r.spread()
	}
}

// answered is when the store last answered this gateway for both of the tables whose age
// matters to callers.
func (g *group) answered() time.Duration {
	at := time.Duration(-1)
	for _, table := range []string{operator.Table, directory.Table} {
		if a := g.followers[table].LastAnswer(); at < 0 || a < at {
			at = a
		}
	}
	return at
}

// crowd is how many gateways are in the same place as this one: those that it knows, by the
// part of its links that it hears something on.
func (g *group) crowd() float64 {
	others := g.links.KnownCount() - 1
	if others == 0 {
		return 1
	}
	heard := float64(len(g.links.LiveStates())) / float64(min(others, g.links.MaxLinks))
	return 1 + min(1, heard)*float64(others)
}

// seedClock has the followers know the store's steady clock.
func (g *group) seedClock(stamp, begun time.Duration) {
	for _, f := range g.followers {
		f.SetClock(stamp, begun)
	}
}

// IsReader implements follow.Sharing.
func (s sharing) IsReader(reached bool) bool { return s.role.reads(s.storeTime(), reached) }

// MayCallStore implements follow.Sharing.
func (s sharing) MayCallStore(without time.Duration) bool { return s.role.turn(s.storeTime(), without) }

// storeTime is the store's clock, or any steady one while it is not known: a gateway that
// knows none has heard of no readers.
func (s sharing) storeTime() time.Duration {
	if now, known := s.role.now(); known {
		return now
	}
	return clock.SinceBoot()
}

var _ follow.Sharing = sharing{}
