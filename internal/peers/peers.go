// Package peers links gateways with each other: each one dials the others and
// tells them its load on the backend servers, whether it is stopping, and what it
// has read from the platform's store.
//
// Links lose nothing that matters: a state replaces the one before, and a receiver
// that misses a page of a table notices the gap by its revisions. What a gateway is
// behind in it fetches on a stream of its own.
package peers

import (
	"context"
	"net"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"kingcupplank.example/kingcup/cells"
	"kingcupplank.example/kingcup/internal/mux"
	peerv1 "kingcupplank.example/kingcup/proto/kingcup/peer/v1"
	"kingcupplank.example/kingcup/retry"
	"kingcupplank.example/kingcup/revision"
	"kingcupplank.example/kingcup/subset"
)

const (
	// DefaultLinks bounds the peers that a gateway tells, so that its cost does not
	// grow with the system.
	DefaultLinks = 32
	// forgetAfter is how long a member that is not heard of is still dialed.
	forgetAfter = 10 * time.Minute

	dialTimeout  = 500 * time.Millisecond
	writeTimeout = time.Second
	// frameQueue is how many frames may wait for a link; a peer that misses some reads
	// them from the store.
	frameQueue = 32
)

var redial = retry.Backoff{Base: 200 * time.Millisecond, Max: 3 * time.Second}

// Member is a gateway that takes links.
type Member struct {
	Name          string
	Address       string
	FailureDomain string
	// LinkMbps is its bandwidth in Mbit/s, 0 if it is not known.
	LinkMbps float64
	// Revision is that of the member's row, 0 if it was not read.
	Revision revision.Revision
}

// Receiver takes what peers tell. Its methods are called from several goroutines.
type Receiver interface {
	// State is told of every state, and of the peers whose states are too old
	// with a nil state.
	State(peer string, s *peerv1.State)
	// Page is told of every page, and of the peer that sent it.
	Page(peer string, p *peerv1.Page)
	// Suspects is told of requests under which servers have ended.
	Suspects(peer string, s *peerv1.Suspects)
}

// Deps are the parts a Manager works with.
type Deps struct {
	Dial     func(ctx context.Context, address string) (net.Conn, error)
	State    func() *peerv1.State
	Receiver Receiver
	// Answer says what a peer that is behind gets: a head, and the parts that follow it.
	Answer func(*peerv1.Fetch) (*peerv1.Change, [][]byte, error)
	// InitialSuspects is what a peer is told of suspects when a link to it is up, nil for nothing.
	InitialSuspects func() *peerv1.Suspects
	// MaxLinks bounds the peers of its own cell that this gateway tells.
	MaxLinks int
	// OnPlaced is told where this gateway stands among the others; it may be nil.
	OnPlaced func(cells.Place)
	// OnForgotten is told of members that have not been reached for long.
	OnForgotten func(Member)
	// OnSent is told of the bytes that go to a peer, by cause; it may be nil.
	OnSent func(Cause, int)
	Log    logrus.FieldLogger
}

// Cause is what bytes between gateways are for.
type Cause string

// The causes.
const (
	CauseState  Cause = "states"
	CausePage   Cause = "pages"
	CauseAnswer Cause = "answers"
	// CauseSuspects is requests under which servers have ended.
	CauseSuspects Cause = "suspects"
)

func (m *Manager) sent(c Cause, bytes int) {
	if m.OnSent != nil {
		m.OnSent(c, bytes)
	}
}

// Manager keeps the links. It is safe for concurrent use; mu is a leaf.
type Manager struct {
	self Member
	Deps

	mu sync.Mutex
	// book holds all gateways that were heard of, members those that this one tells.
	book    map[string]Member
	members map[string]*member
	live    map[string]*peer
	// inbound are the links that others have dialed, by their names.
	inbound map[string]*yamux.Session
	ctx     context.Context
	wg      sync.WaitGroup

	state stateFrame
}

type member struct {
	Member
	cancel context.CancelFunc
	frames chan outgoing
	nudge  chan struct{}
	// session is the link to the member, nil while there is none.
	session atomic.Pointer[yamux.Session]
}

// outgoing is a frame on its way to a peer.
type outgoing struct {
	frame []byte
	cause Cause
}

type peer struct {
	state *peerv1.State
	heard time.Time
}

// New returns a manager; Run starts it.
func New(self Member, deps Deps) *Manager {
	return &Manager{
		self: self, Deps: deps, book: make(map[string]Member), members: make(map[string]*member),
		live: make(map[string]*peer), inbound: make(map[string]*yamux.Session),
	}
}

// Run takes links on l and keeps the own ones until ctx ends.
func (m *Manager) Run(ctx context.Context, l net.Listener) {
	m.mu.Lock()
	m.ctx = ctx
	m.mu.Unlock()
	stop := context.AfterFunc(ctx, func() { l.Close() })
	defer stop()
	m.wg.Go(func() { m.watch(ctx) })
	for {
		conn, err := l.Accept()
		if err != nil {
			break
		}
		m.wg.Go(func() { m.receive(ctx, conn) })
	}
	m.wg.Wait()
}

// AddMembers adds members; the ones known stay, at their new address.
func (m *Manager) AddMembers(list []Member) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.ctx == nil || m.ctx.Err() != nil {
		return
	}
	for _, n := range list {
		if n.Name != m.self.Name {
			m.book[n.Name] = n
		}
	}
	m.relink()
}

// RemoveMembers removes members that have ended.
func (m *Manager) RemoveMembers(names []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, name := range names {
		delete(m.book, name)
	}
	m.relink()
}

// relink makes the links to those that are chosen now; mu is held.
func (m *Manager) relink() {
	if m.ctx == nil || m.ctx.Err() != nil {
		return
	}
	chosen := m.choose()
	m.prune(chosen)
	for _, n := range chosen {
		old := m.members[n.Name]
		if old != nil && old.Address == n.Address {
			continue
		}
		if old != nil {
			old.cancel()
		}
		ctx, cancel := context.WithCancel(m.ctx)
		added := &member{Member: n, cancel: cancel, frames: make(chan outgoing, frameQueue), nudge: make(chan struct{}, 1)}
		m.members[n.Name] = added
		m.wg.Go(func() { m.link(ctx, added) })
	}
}

// prune ends the links to members that are not chosen any more. At a start of all, gateways
// learn of each other one by one; without, each would keep the links to those that it knew
// first beside the others. mu is held.
func (m *Manager) prune(chosen []Member) {
	keep := make(map[string]bool, len(chosen))
	for _, n := range chosen {
		keep[n.Name] = true
	}
	for name, n := range m.members {
		if !keep[name] {
			n.cancel()
			delete(m.members, name)
		}
	}
}

// choose picks the members to link to, by the same rule at every gateway. mu is held.
func (m *Manager) choose() (out []Member) {
	all := make([]subset.Item, 0, len(m.book))
	for _, n := range m.book {
		all = append(all, subset.Item{Name: n.Name, FailureDomain: n.FailureDomain})
	}
	links, place := cells.Links(subset.Item{Name: m.self.Name, FailureDomain: m.self.FailureDomain}, all, m.MaxLinks)
	for _, it := range links {
		out = append(out, m.book[it.Name])
	}
	if m.OnPlaced != nil {
		m.OnPlaced(place)
	}
	return out
}

// KnownCount counts the gateways that this one has heard of, itself included.
func (m *Manager) KnownCount() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.book) + 1
}

// LinkCount counts the gateways that this one tells.
func (m *Manager) LinkCount() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.members)
}

// StatesPerSecond is how many states this gateway sends in a second, to all peers together.
func (m *Manager) StatesPerSecond() float64 {
	links := max(1, m.LinkCount())
	return float64(links) / period(links).Seconds()
}

// LinkedPeers lists the gateways that can be asked, by name: those with a link in either
// direction.
func (m *Manager) LinkedPeers() (out []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for name, n := range m.members {
		if n.session.Load() != nil {
			out = append(out, name)
		}
	}
	for name := range m.inbound {
		if n := m.members[name]; n == nil || n.session.Load() == nil {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

// LiveStates lists the peers whose state is believed, by name.
func (m *Manager) LiveStates() []*peerv1.State {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []*peerv1.State
	for _, p := range m.live {
		if time.Since(p.heard) < silence(len(m.members)) {
			out = append(out, p.state)
		}
	}
	slices.SortFunc(out, func(a, b *peerv1.State) int {
		return strings.Compare(a.GetFrom().GetName(), b.GetFrom().GetName())
	})
	return out
}

// SendStateNow sends the state at once, for a change that others act on.
func (m *Manager) SendStateNow() {
	m.state.outdate()
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, n := range m.members {
		select {
		case n.nudge <- struct{}{}:
		default:
		}
	}
}

// BroadcastPage sends a page to all peers. A link whose queue is full misses it.
func (m *Manager) BroadcastPage(p *peerv1.Page) {
	frame, err := mux.Frame(&peerv1.Frame{Kind: &peerv1.Frame_Page{Page: p}})
	if err != nil {
		m.Log.WithError(err).WithField("table", p.GetTable()).Warn("page cannot be sent, peers read it from the store")
		return
	}
	m.spread(outgoing{frame, CausePage})
}

// BroadcastSuspects tells all peers of suspects. A link whose queue is full misses it.
func (m *Manager) BroadcastSuspects(s *peerv1.Suspects) {
	frame, err := suspectsFrame(s)
	if err != nil {
		m.Log.WithError(err).Warn("suspects cannot be sent, peers read of verdicts in the store")
		return
	}
	m.spread(outgoing{frame, CauseSuspects})
}

func suspectsFrame(s *peerv1.Suspects) ([]byte, error) {
	return mux.Frame(&peerv1.Frame{Kind: &peerv1.Frame_Suspects{Suspects: s}})
}

// spread queues a frame for all peers.
func (m *Manager) spread(o outgoing) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, n := range m.members {
		select {
		case n.frames <- o:
		default:
			m.Log.WithField("peer", n.Name).WithField("cause", o.cause).Warn("link is slow, frame is not sent")
		}
	}
}

var errLinkClosed = errors.New("peer closed the link")

func (m *Manager) heard(s *peerv1.State) {
	from := s.GetFrom()
	name := from.GetName()
	if name == "" || name == m.self.Name {
		return
	}
	m.mu.Lock()
	m.live[name] = &peer{state: s, heard: time.Now()}
	known, ok := m.book[name]
	news := !ok || known.Address != from.GetAddress()
	m.mu.Unlock()
	if news {
		// A gateway that has just started is known here by its first word.
		m.AddMembers([]Member{{Name: name, Address: from.GetAddress(), FailureDomain: from.GetFailureDomain()}})
	}
	m.Receiver.State(name, s)
}

// watch tells of peers that have fallen silent.
func (m *Manager) watch(ctx context.Context) {
	t := time.NewTicker(silence(0) / 2)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		var silent []string
		m.mu.Lock()
		for name, p := range m.live {
			if time.Since(p.heard) >= silence(len(m.members)) {
				silent = append(silent, name)
				delete(m.live, name)
			}
		}
		m.mu.Unlock()
		for _, name := range silent {
			m.Log.WithField("peer", name).Info("peer is silent")
			m.Receiver.State(name, nil)
		}
	}
}
