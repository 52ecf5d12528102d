package gateway

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"kingcupplank.example/kingcup/internal/clock"
	"kingcupplank.example/kingcup/internal/follow"
	"kingcupplank.example/kingcup/platform/directory"
	"kingcupplank.example/kingcup/platform/operator"
	peerv1 "kingcupplank.example/kingcup/proto/kingcup/peer/v1"
	"kingcupplank.example/kingcup/readers"
)

const (
	// initialReaders is how many gateways read the tables from the store when all gateways
	// start at once.
	initialReaders = 3 * readers.Count
	// findPeersTimeout is how long a starting gateway leaves the store to findPeers: without
	// peers it cannot fetch tables from them, and while the store does not answer one call is
	// enough to notice when it does.
	findPeersTimeout = 2 * time.Second
	// startDeferral is how long a starting gateway leaves reading the store to the others.
	// Its probability to read the store itself grows over that time. A table of 3,000
	// servers takes about 0.5 s for each of the two links that it passes over.
	startDeferral = 3 * time.Second
	// readerListsPerSecond bounds how often this gateway sends the list of readers, over
	// all peers. The list is as long as the rest of an idle gateway's state. At 100 states
	// a second every second one includes it. Which ones is drawn at random, so that each
	// peer gets it soon.
	readerListsPerSecond = 50
)

// readerRole decides whether this gateway is one of the few that read the store for all. It
// is safe for concurrent use. No other lock is taken while mu is locked: values that need
// one are computed before.
type readerRole struct {
	group  *group
	joined atomic.Bool
	// isInitialReader says that this gateway is one of those that read the tables first
	// when all gateways start at once.
	isInitialReader atomic.Bool
	// awaitsOthers says that the whole system starts for the first time and that others have
	// started before this gateway. They read the tables.
	awaitsOthers atomic.Bool
	// listPending says that the next state includes the list of readers in any case.
	listPending atomic.Bool
	// roleAnnounced says that the peers have been notified that this gateway reads the
	// store.
	roleAnnounced atomic.Bool

	// begunAt is the store's clock when this gateway began to read, in ns.
	begunAt atomic.Int64

	mu   sync.Mutex
	role *readers.Role
}

func newReaderRole(g *group) *readerRole {
	return &readerRole{group: g, role: readers.NewRole(readers.Reader{Name: g.self.Name, FailureDomain: g.self.FailureDomain, LinkMbps: g.linkMbps})}
}

// storeTime returns the store's steady clock as the follower of the configuration knows it,
// and false before the first response.
func (r *readerRole) storeTime() (time.Duration, bool) {
	return r.group.followers[operator.Table].StoreTime()
}

// shouldRead decides whether the follower of a table reads the store; see
// readers.Role.ShouldRead.
func (r *readerRole) shouldRead(table string, now time.Duration, reached bool) bool {
	inputs := readers.Inputs{Table: table, Now: now, KnowsOthers: r.group.links.KnownCount() > 1, StoreReached: reached, ProcessCount: r.group.contendingGateways(), Random: rand.Float64()}
	return r.decide(r.role.ShouldRead, inputs)
}

// decide makes a decision about the role.
func (r *readerRole) decide(decision func(readers.Inputs) bool, inputs readers.Inputs) bool {
	r.mu.Lock()
	before := r.role.IsReading()
	mayCall := decision(inputs)
	reads := r.role.IsReading()
	r.mu.Unlock()
	r.noteRole(before, reads, inputs.ProcessCount)
	return mayCall
}

// mayRead decides whether a follower may call the store although others read it: it
// receives nothing from them, or has been without a table for some time. withoutTable is
// that time, 0 if the follower has a table.
func (r *readerRole) mayRead(table string, now time.Duration, reached bool, withoutTable time.Duration) bool {
	if withoutTable > 0 && withoutTable < findPeersTimeout && !r.joined.Load() {
		return false
	}
	if withoutTable > 0 && withoutTable < firstStartSpread && r.awaitsOthers.Load() {
		return false
	}
	inputs := readers.Inputs{
		Table: table, Now: now, StoreReached: reached, IsStarting: withoutTable > 0,
		ProcessCount: r.group.contendingGateways(), Random: rand.Float64(),
	}
	switch {
	case withoutTable > 0 && r.isInitialReader.Load():
		inputs.ProcessCount = 1
	case withoutTable > 0:
		inputs.ProcessCount = float64(r.group.links.KnownCount()) * max(0, 1-withoutTable.Seconds()/startDeferral.Seconds())
	}
	return r.decide(r.role.MayTryStore, inputs)
}

// noteRole logs if this gateway has begun or stopped reading the store. All tables are read at
// once then, so that the peers can be told of the new reader.
func (r *readerRole) noteRole(before, reads bool, contending float64) {
	if before == reads {
		return
	}
	r.roleAnnounced.Store(false)
	for _, f := range r.group.followers {
		f.Wake()
	}
	if now, known := r.storeTime(); reads && known {
		// The store has answered for one table. Until the peers know, more of them try it.
		r.begunAt.Store(int64(now))
		r.sendReaderList()
	}
	r.group.log.WithField("reads", reads).WithField("crowd", contending).Info("role as a reader of the store has changed")
}

// announceRole notifies the peers at once that this gateway reads the store, as soon as the
// store has answered it for both tables since it began to read. Until the peers know, more
// of them try to read the store every 50 ms.
func (r *readerRole) announceRole() {
	now, known := r.storeTime()
	if !known || now-r.group.storeAnsweredAt() >= readers.AnswerTimeout {
		return
	}
	r.mu.Lock()
	reading := r.role.IsReading()
	r.mu.Unlock()
	if reading && r.roleAnnounced.CompareAndSwap(false, true) {
		r.sendReaderList()
	}
}

// sendReaderList sends the list of readers to the peers at once.
func (r *readerRole) sendReaderList() {
	r.listPending.Store(true)
	r.group.links.SendStateNow()
}

// readerMessages returns the list of readers for a state, or nil for a state without the
// list.
func (r *readerRole) readerMessages() (out []*peerv1.Reader) {
	if !r.listPending.Swap(false) && rand.Float64() >= readerListsPerSecond/r.group.links.StatesPerSecond() {
		return nil
	}
	now, known := r.storeTime()
	if !known {
		return nil
	}
	answered := max(r.group.storeAnsweredAt(), time.Duration(r.begunAt.Load()))
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, o := range r.role.Readers(now, answered) {
		out = append(out, &peerv1.Reader{Name: o.Name, FailureDomain: o.FailureDomain, LinkMbps: o.LinkMbps, AnsweredMs: o.AnsweredAt.Milliseconds()})
	}
	return out
}

// receive merges the list of readers that a peer has sent.
func (r *readerRole) receive(received []*peerv1.Reader) {
	now, known := r.storeTime()
	if len(received) == 0 || !known {
		return
	}
	var list []readers.Reader
	for _, o := range received {
		list = append(list, readers.Reader{
			Name: o.GetName(), FailureDomain: o.GetFailureDomain(), LinkMbps: o.GetLinkMbps(),
			AnsweredAt: time.Duration(o.GetAnsweredMs()) * time.Millisecond,
		})
	}
	r.mu.Lock()
	before := len(r.role.Readers(now, 0))
	r.role.AddReports(list, now)
	after := len(r.role.Readers(now, 0))
	r.mu.Unlock()
	if after > before {
		// Peers that receive nothing from a reader wait for this list.
		r.sendReaderList()
	}
}

// storeAnsweredAt returns when the store last answered this gateway for both of the tables
// whose age matters to callers, on the store's steady clock.
func (g *group) storeAnsweredAt() time.Duration {
	at := time.Duration(-1)
	for _, table := range []string{operator.Table, directory.Table} {
		if a := g.followers[table].LastAnswer(); at < 0 || a < at {
			at = a
		}
	}
	return at
}

// contendingGateways estimates how many gateways are in the same situation as this one and
// may call the store at the same time. It is the number of known gateways, scaled by the
// fraction of its links on which this gateway receives states.
func (g *group) contendingGateways() float64 {
	peersKnown := g.links.KnownCount() - 1
	if peersKnown == 0 {
		return 1
	}
	live := float64(len(g.links.LiveStates())) / float64(min(peersKnown, g.links.MaxLinks))
	return 1 + min(1, live)*float64(peersKnown)
}

// setStoreClock sets the store's steady clock at all followers, from a response to a call
// that was made at begun.
func (g *group) setStoreClock(now, begun time.Duration) {
	for _, f := range g.followers {
		f.SetClock(now, begun)
	}
}

// IsReader implements follow.Sharing.
func (s tableSharing) IsReader(reached bool) bool {
	return s.role.shouldRead(s.table, s.storeTime(), reached)
}

// StoreAnswered implements follow.Sharing.
func (s tableSharing) StoreAnswered() {
	now := s.storeTime()
	s.role.decide(func(readers.Inputs) bool {
		s.role.role.NoteAnswer(s.table, now)
		return true
	}, readers.Inputs{})
}

// MayCallStore implements follow.Sharing.
func (s tableSharing) MayCallStore(reached bool, withoutTable time.Duration) bool {
	return s.role.mayRead(s.table, s.storeTime(), reached, withoutTable)
}

// storeTime returns the store's clock, or this VM's steady clock while the store's is not
// known: such a gateway has received nothing about readers that the time would be compared
// with.
func (s tableSharing) storeTime() time.Duration {
	if now, known := s.role.storeTime(); known {
		return now
	}
	return clock.SinceBoot()
}

var _ follow.Sharing = tableSharing{}
