// Package peers links gateways with each other. Each gateway dials other gateways and sends
// them its load on the backend servers, whether it is stopping, and the pages that it has
// read from the platform's store.
//
// Lost frames do no harm: a state replaces the one before, and a receiver that misses a page
// of a table detects the gap by its revisions. A gateway fetches missed changes on a separate
// stream.
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
	"kingcupplank.example/kingcup/intake"
	"kingcupplank.example/kingcup/internal/guard"
	"kingcupplank.example/kingcup/internal/mux"
	peerv1 "kingcupplank.example/kingcup/proto/kingcup/peer/v1"
	"kingcupplank.example/kingcup/retry"
	"kingcupplank.example/kingcup/revision"
	"kingcupplank.example/kingcup/subset"
)

const (
	// DefaultLinks bounds the number of peers that a gateway sends to, so that the cost does
	// not grow with the number of gateways.
	DefaultLinks = 32
	// forgetAfter is how long an unreachable member is still dialed.
	forgetAfter = 10 * time.Minute

	dialTimeout  = 500 * time.Millisecond
	writeTimeout = time.Second
	// frameQueueSize is the number of frames that may wait for a link. A peer that misses
	// frames reads the changes from the store.
	frameQueueSize = 32
)

var redialBackoff = retry.Backoff{Base: 200 * time.Millisecond, Max: 3 * time.Second}

// Member is a gateway that accepts links.
type Member struct {
	Name          string
	Address       string
	FailureDomain string
	// LinkMbps is its bandwidth in Mbit/s, 0 if unknown.
	LinkMbps float64
	// RowKey and Revision are the key and the revision of the member's row in the table of
	// gateways, zero if the row was not read.
	RowKey   string
	Revision revision.Revision
}

// Receiver receives the frames of peers. Its methods are called from several goroutines.
type Receiver interface {
	// State is called with every state of a peer, and with a nil state when the last state of
	// a peer is too old.
	State(peer string, s *peerv1.State)
	// Page is called with every page and the name of the peer that sent it.
	Page(peer string, p *peerv1.Page)
	// Suspects is called with requests under which servers have crashed.
	Suspects(peer string, s *peerv1.Suspects)
}

// Deps are the dependencies of a Manager.
type Deps struct {
	Dial     func(ctx context.Context, address string) (net.Conn, error)
	State    func() *peerv1.State
	Receiver Receiver
	// Answer answers the request of a peer that is behind with a head and the parts that
	// follow it.
	Answer func(*peerv1.Fetch) (*peerv1.Change, [][]byte, error)
	// InitialSuspects returns the suspects that are sent to a peer when its link is up, nil
	// for none. The function itself may be nil.
	InitialSuspects func() *peerv1.Suspects
	// IsCrowded reports whether callers need the whole link, so that answers keep to the budget for control
	// traffic; it may be nil.
	IsCrowded func() bool
	// MaxLinks bounds the number of peers of its own cell that this gateway sends to.
	MaxLinks int
	// OnPlaced is called with this gateway's position among all gateways whenever its links
	// are chosen; it may be nil.
	OnPlaced func(cells.Place)
	// OnForgotten is called with each member that is removed because it has been unreachable
	// for too long.
	OnForgotten func(Member)
	// OnSent is called with the kind and the number of bytes of each frame that is sent to a
	// peer; it may be nil.
	OnSent func(Cause, int)
	Log    logrus.FieldLogger
}

// Cause is the kind of a frame between gateways.
type Cause string

// The causes.
const (
	CauseState Cause = "states"
	// CauseUrgentState is for states that are sent at once, see SendStateNow, CauseLoads for those that
	// are sent as soon as the budget allows, see SendLoadsSoon.
	CauseUrgentState Cause = "urgent states"
	CauseLoads       Cause = "loads"
	CausePage        Cause = "pages"
	CauseAnswer      Cause = "answers"
	// CauseOrigin is for the origins of streams that callers may resume.
	CauseOrigin Cause = "origins"
	// CauseSuspects is for requests under which servers have crashed.
	CauseSuspects Cause = "suspects"
)

func (m *Manager) countSent(c Cause, bytes int) {
	if m.OnSent != nil {
		m.OnSent(c, bytes)
	}
}

// Manager maintains the links of a gateway. It is safe for concurrent use. No other lock is
// acquired while mu is held, except by Log and by OnPlaced, which is called with mu held.
type Manager struct {
	self Member
	Deps

	mu sync.Mutex
	// known contains all known gateways, links those that this one sends to, and live the last
	// state of each peer. All are by name.
	known map[string]Member
	// estimatedCount is the estimated number of all gateways while not all are known, else 0.
	estimatedCount int
	links          map[string]*memberLink
	live           map[string]*peerState
	// silent are the last states of peers from which none has arrived for too long, by name.
	silent map[string]*peerv1.State
	// inbound contains the links that peers have dialed, by name.
	inbound map[string]*yamux.Session
	// onDemand are the sessions with gateways that this one has no link with, by name.
	onDemand map[string]*onDemandSession
	// acceptsPartial contains the peers that understand partial states.
	acceptsPartial map[string]bool
	// budget bounds the bytes that are sent to all peers.
	budget byteBudget
	// conns holds the connections that were accepted, streams the memory of the peers' streams. Both are without limits
	// until SetLimits.
	conns, streams *guard.Gate
	ctx            context.Context
	wg             sync.WaitGroup

	state   ownState
	linkLog limitedLog
}

// memberLink is a gateway that this one sends to. A value in stateDue makes the link send the
// state at once, one in loadsDue as soon as the budget allows.
type memberLink struct {
	Member
	cancel             context.CancelFunc
	frames             chan outgoing
	stateDue, loadsDue chan struct{}
	// sender is used by the link's goroutine only.
	sender stateSender
	// session is the link to the member, nil while there is none.
	session atomic.Pointer[yamux.Session]
}

// outgoing is a frame that waits to be sent to a peer.
type outgoing struct {
	frame []byte
	cause Cause
}

// peerState is the last state of a peer and its time of arrival.
type peerState struct {
	state      *peerv1.State
	receivedAt time.Time
}

// New returns a manager; Run starts it.
func New(self Member, deps Deps) *Manager {
	m := &Manager{
		self: self, Deps: deps, known: make(map[string]Member), links: make(map[string]*memberLink),
		live: make(map[string]*peerState), silent: make(map[string]*peerv1.State), inbound: make(map[string]*yamux.Session),
		onDemand: make(map[string]*onDemandSession),
		linkLog:  newLimitedLog(), acceptsPartial: make(map[string]bool),
		conns: guard.New(intake.Limits{}), streams: guard.New(intake.Limits{}),
	}
	m.budget.setRate(controlRate(self.LinkMbps), time.Now())
	return m
}

// Run accepts links on l and maintains this gateway's own links until ctx ends.
func (m *Manager) Run(ctx context.Context, l net.Listener) {
	m.mu.Lock()
	m.ctx = ctx
	m.mu.Unlock()
	stop := context.AfterFunc(ctx, func() { l.Close() })
	defer stop()
	m.wg.Go(func() { m.expireStates(ctx) })
	for {
		conn, err := l.Accept()
		if err != nil {
			break
		}
		m.wg.Go(func() { m.receive(ctx, conn) })
	}
	m.wg.Wait()
}

// AddMembers adds gateways and updates those that are already known. It does nothing before
// Run or after its end.
func (m *Manager) AddMembers(list []Member) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.ctx == nil || m.ctx.Err() != nil {
		return
	}
	for _, n := range list {
		if n.Name != m.self.Name {
			m.known[n.Name] = n
		}
	}
	m.updateLinks()
}

// RemoveMembers removes gateways that have ended.
func (m *Manager) RemoveMembers(names []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, name := range names {
		delete(m.known, name)
		delete(m.acceptsPartial, name)
		delete(m.silent, name)
	}
	m.updateLinks()
}

// updateLinks starts links to newly chosen members and closes the links to others; mu is
// held.
func (m *Manager) updateLinks() {
	if m.ctx == nil || m.ctx.Err() != nil {
		return
	}
	chosen := m.choose()
	m.closeOtherLinks(chosen)
	for _, n := range chosen {
		old := m.links[n.Name]
		if old != nil && old.Address == n.Address {
			continue
		}
		if old != nil {
			old.cancel()
		}
		ctx, cancel := context.WithCancel(m.ctx)
		added := &memberLink{Member: n, cancel: cancel, frames: make(chan outgoing, frameQueueSize), stateDue: make(chan struct{}, 1), loadsDue: make(chan struct{}, 1)}
		m.links[n.Name] = added
		m.wg.Go(func() { m.maintainLink(ctx, added) })
	}
}

// closeOtherLinks closes the links to members that are no longer chosen. When all gateways
// start at the same time, they become known to each other one by one, and each links to the
// first ones that it knows. Without this it would keep these links in addition to the chosen
// ones. mu is held.
func (m *Manager) closeOtherLinks(chosen []Member) {
	keep := make(map[string]bool, len(chosen))
	for _, n := range chosen {
		keep[n.Name] = true
	}
	for name, n := range m.links {
		if !keep[name] {
			n.cancel()
			delete(m.links, name)
		}
	}
}

// choose picks the members to link to. All gateways use the same rule. mu is held.
func (m *Manager) choose() (out []Member) {
	all := make([]subset.Item, 0, len(m.known))
	for _, n := range m.known {
		all = append(all, subset.Item{Name: n.Name, FailureDomain: n.FailureDomain})
	}
	links, place := cells.Links(subset.Item{Name: m.self.Name, FailureDomain: m.self.FailureDomain}, all, m.estimatedCount, m.MaxLinks)
	for _, it := range links {
		out = append(out, m.known[it.Name])
	}
	if m.OnPlaced != nil {
		m.OnPlaced(place)
	}
	return out
}

// SetEstimatedCount sets the estimated number of all gateways, this one included, for the time
// in which not all are known. 0 ends that time.
func (m *Manager) SetEstimatedCount(count int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.estimatedCount = count
}

// KnownCount returns the number of gateways, this one included: the known ones, or the
// estimated number if it is higher.
func (m *Manager) KnownCount() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return max(len(m.known)+1, m.estimatedCount)
}

// KnownNames returns the names of the other known gateways, and the estimated number of all gateways if it is
// higher, 0 otherwise.
func (m *Manager) KnownNames() (names []string, estimated int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	names = make([]string, 0, len(m.known))
	for name := range m.known {
		names = append(names, name)
	}
	if m.estimatedCount > len(names)+1 {
		estimated = m.estimatedCount
	}
	return names, estimated
}

// Member returns what is known of a gateway.
func (m *Manager) Member(name string) (Member, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	n, ok := m.known[name]
	return n, ok
}

// RegisteredCount returns the number of other gateways whose rows have been read.
func (m *Manager) RegisteredCount() (n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, k := range m.known {
		if k.RowKey != "" {
			n++
		}
	}
	return n
}

// LinkCount returns the number of gateways that this one sends to.
func (m *Manager) LinkCount() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.links)
}

// StatesPerSecond returns the number of states that this gateway sends per second, to all
// peers together.
func (m *Manager) StatesPerSecond() float64 {
	links := max(1, m.LinkCount())
	return float64(links) / statePeriod(links).Seconds()
}

// StatePeriod returns the time between two regular states on each link.
func (m *Manager) StatePeriod() time.Duration { return statePeriod(max(1, m.LinkCount())) }

// LinkedPeers returns the sorted names of the gateways with a link in either direction. Only
// these can be asked by Fetch.
func (m *Manager) LinkedPeers() (out []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for name, n := range m.links {
		if n.session.Load() != nil {
			out = append(out, name)
		}
	}
	for name := range m.inbound {
		if n := m.links[name]; n == nil || n.session.Load() == nil {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

// Receivers returns the sorted names of the gateways that get this gateway's states now.
func (m *Manager) Receivers() (out []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for name, n := range m.links {
		if n.session.Load() != nil {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

// LiveStates returns the states of all peers that are not too old, sorted by the peer's name.
func (m *Manager) LiveStates() []*peerv1.State {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []*peerv1.State
	for _, p := range m.live {
		if time.Since(p.receivedAt) < stateTimeout(len(m.links)) {
			out = append(out, p.state)
		}
	}
	slices.SortFunc(out, func(a, b *peerv1.State) int {
		return strings.Compare(a.GetFrom().GetName(), b.GetFrom().GetName())
	})
	return out
}

// SilentStates returns the last states of the known gateways from which none has arrived for too long.
func (m *Manager) SilentStates() (out []*peerv1.State) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for name, s := range m.silent {
		if _, known := m.known[name]; known {
			out = append(out, s)
		}
	}
	return out
}

// SendStateNow sends the state to all peers at once, or as soon as the bound on control traffic allows. It is
// for changes that peers must act on.
func (m *Manager) SendStateNow() {
	m.state.invalidate()
	m.signal(func(n *memberLink) chan<- struct{} { return n.stateDue })
}

// SendLoadsSoon sends the state to all peers as soon as the budget for control traffic allows. It is for loads
// and queues, which change with each request.
func (m *Manager) SendLoadsSoon() {
	m.state.invalidate()
	m.signal(func(n *memberLink) chan<- struct{} { return n.loadsDue })
}

func (m *Manager) signal(due func(*memberLink) chan<- struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, n := range m.links {
		select {
		case due(n) <- struct{}{}:
		default:
		}
	}
}

// BroadcastPage queues a page for all peers. A link whose queue is full misses it.
func (m *Manager) BroadcastPage(p *peerv1.Page) {
	frame, err := mux.EncodeFrame(&peerv1.Frame{Kind: &peerv1.Frame_Page{Page: p}})
	if err != nil {
		m.Log.WithError(err).WithField("table", p.GetTable()).Warn("page could not be encoded, peers have to read it from the store")
		return
	}
	m.broadcast(outgoing{frame, CausePage})
}

// BroadcastSuspects queues suspects for all peers. A link whose queue is full misses them.
func (m *Manager) BroadcastSuspects(s *peerv1.Suspects) {
	frame, err := suspectsFrame(s)
	if err != nil {
		m.Log.WithError(err).Warn("suspects could not be encoded, peers have to read quarantine decisions from the store")
		return
	}
	m.broadcast(outgoing{frame, CauseSuspects})
}

func suspectsFrame(s *peerv1.Suspects) ([]byte, error) {
	return mux.EncodeFrame(&peerv1.Frame{Kind: &peerv1.Frame_Suspects{Suspects: s}})
}

// broadcast queues a frame for all peers.
func (m *Manager) broadcast(o outgoing) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, n := range m.links {
		select {
		case n.frames <- o:
		default:
			m.Log.WithField("peer", n.Name).WithField("cause", o.cause).Warn("link is too slow, frame was dropped")
		}
	}
}

var errLinkClosed = errors.New("peer closed the link")

// receiveState records a peer's state and passes it to the Receiver.
func (m *Manager) receiveState(s *peerv1.State) {
	from := s.GetFrom()
	name := from.GetName()
	if name == "" || name == m.self.Name {
		return
	}
	m.mu.Lock()
	if last := m.live[name]; last != nil && len(s.GetPositions()) == 0 {
		// Not every state has the positions of the peer's tables.
		s.Positions = last.state.GetPositions()
	}
	m.live[name] = &peerState{state: s, receivedAt: time.Now()}
	m.acceptsPartial[name] = s.GetAcceptsPartial()
	delete(m.silent, name)
	previous, ok := m.known[name]
	isNew := !ok || previous.Address != from.GetAddress()
	m.mu.Unlock()
	if isNew {
		// A gateway that has just started becomes known by its first state.
		m.AddMembers([]Member{{Name: name, Address: from.GetAddress(), FailureDomain: from.GetFailureDomain()}})
	}
	m.Receiver.State(name, s)
}

// expireStates deletes the states that have become too old and reports their peers to the
// Receiver, until ctx ends.
func (m *Manager) expireStates(ctx context.Context) {
	t := time.NewTicker(stateTimeout(0) / 2)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		m.closeIdleSessions()
		var silent []string
		m.mu.Lock()
		for name, p := range m.live {
			if time.Since(p.receivedAt) >= stateTimeout(len(m.links)) {
				silent = append(silent, name)
				m.silent[name] = p.state
				delete(m.live, name)
			}
		}
		m.mu.Unlock()
		for _, name := range silent {
			m.linkLog.info(m.Log.WithField("peer", name), "no state has arrived from the peer for too long")
			m.Receiver.State(name, nil)
		}
	}
}
