// Package link maintains sessions to the peers that a process watches, and the
// last heartbeat of each.
package link

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"kingcupplank.example/kingcup/failure"
	"kingcupplank.example/kingcup/internal/confsync"
	"kingcupplank.example/kingcup/internal/wait"
	"kingcupplank.example/kingcup/internal/wire"
	innerv1 "kingcupplank.example/kingcup/proto/kingcup/inner/v1"
	"kingcupplank.example/kingcup/retry"
)

// Peer identifies a process to watch.
type Peer struct {
	Name          string
	Address       string
	FailureDomain string
}

// Config configures a Manager.
type Config struct {
	Identity wire.Identity
	// HeartbeatInterval is the time between two heartbeats of a peer.
	HeartbeatInterval time.Duration
	// DialTimeout bounds a connection attempt. For a link it includes the first
	// heartbeat.
	DialTimeout time.Duration
}

// maxMissedHeartbeats is the number of missing heartbeats after which a link
// counts as stalled and a second session is opened.
const maxMissedHeartbeats = 3

// Manager maintains one Link per peer. It is safe for concurrent use.
type Manager struct {
	cfg     Config
	network wire.Network
	sync    *confsync.Syncer
	log     logrus.FieldLogger
	ctx     context.Context
	cancel  context.CancelFunc
	wg      sync.WaitGroup

	mu    sync.Mutex
	links map[string]*Link
}

// NewManager returns a manager without links.
func NewManager(cfg Config, network wire.Network, s *confsync.Syncer, log logrus.FieldLogger) *Manager {
	ctx, cancel := context.WithCancel(context.Background())
	return &Manager{cfg: cfg, network: network, sync: s, log: log, ctx: ctx, cancel: cancel, links: make(map[string]*Link)}
}

// SetPeers replaces the set of watched peers. Links to unchanged peers stay.
func (m *Manager) SetPeers(peers []Peer) {
	m.mu.Lock()
	defer m.mu.Unlock()
	isWanted := make(map[string]bool, len(peers))
	for _, p := range peers {
		isWanted[p.Name] = true
		old := m.links[p.Name]
		if old != nil && old.peer == p {
			continue
		}
		if old != nil {
			old.cancel()
		}
		m.links[p.Name] = m.startLink(p)
	}
	for name, l := range m.links {
		if !isWanted[name] {
			l.retire()
			delete(m.links, name)
		}
	}
}

// startLink returns a new link and runs it in a goroutine.
func (m *Manager) startLink(p Peer) *Link {
	ctx, cancel := context.WithCancel(m.ctx)
	l := &Link{manager: m, peer: p, cancel: cancel}
	m.wg.Go(func() { l.run(ctx) })
	return l
}

// Get returns the link to a peer, or nil if the peer is not watched.
func (m *Manager) Get(name string) *Link {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.links[name]
}

// All returns the links in no particular order.
func (m *Manager) All() []*Link {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make([]*Link, 0, len(m.links))
	for _, l := range m.links {
		out = append(out, l)
	}
	return out
}

// Dial opens a session to a peer outside of any link. The caller closes it.
func (m *Manager) Dial(ctx context.Context, address string) (*wire.Session, error) {
	ctx, cancel := context.WithTimeout(ctx, m.cfg.DialTimeout)
	defer cancel()
	return wire.Dial(ctx, m.network, address, m.cfg.Identity)
}

// Close ends all links and waits for their goroutines.
func (m *Manager) Close() {
	m.cancel()
	m.wg.Wait()
}

// Link is the session to one peer. It is safe for concurrent use.
type Link struct {
	manager *Manager
	peer    Peer
	cancel  context.CancelFunc

	mu                 sync.Mutex
	session            *wire.Session
	lastHeartbeat      *innerv1.Heartbeat
	lastHeartbeatTime  time.Time
	sentSinceHeartbeat int
	// isRetired is set when the peer is no longer watched.
	isRetired bool
	// streamCount is the number of calls of Acquire that are not yet released.
	streamCount int
}

// Status describes a link and its peer's last heartbeat.
type Status struct {
	Peer      Peer
	Connected bool
	// Heartbeat is the last one received, or nil.
	Heartbeat *innerv1.Heartbeat
	// HeartbeatAge is the time since Heartbeat arrived; 0 if there is none.
	HeartbeatAge time.Duration
	// SentSinceHeartbeat counts the requests sent since the last heartbeat.
	SentSinceHeartbeat int
}

// Status returns the current status.
func (l *Link) Status() Status {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := Status{Peer: l.peer, Connected: l.session != nil, Heartbeat: l.lastHeartbeat, SentSinceHeartbeat: l.sentSinceHeartbeat}
	if l.lastHeartbeat != nil {
		s.HeartbeatAge = time.Since(l.lastHeartbeatTime)
	}
	return s
}

// RecordSent counts a request that is sent to the peer.
func (l *Link) RecordSent() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sentSinceHeartbeat++
}

// run connects to the peer, and reconnects with backoff, until ctx ends. It then
// closes the session unless the link is retired and streams still use it.
func (l *Link) run(ctx context.Context) {
	backoff := retry.Backoff{Base: l.manager.cfg.HeartbeatInterval / 4, Max: 4 * l.manager.cfg.HeartbeatInterval}
	for failures := 0; ctx.Err() == nil; {
		sess, st, err := l.connect(ctx)
		if err == nil {
			failures = 0
			l.watch(ctx, sess, st)
			continue
		}
		l.replaceSession(nil)
		l.manager.log.WithField("peer", l.peer.Name).WithError(err).Debug("failed to connect to the peer")
		wait.For(ctx, backoff.Delay(failures, rand.Float64()))
		failures++
	}
	l.mu.Lock()
	isInUse := l.isRetired && l.streamCount > 0 && l.manager.ctx.Err() == nil
	l.mu.Unlock()
	if !isInUse {
		l.replaceSession(nil)
	}
}

// retire stops watching the peer but keeps the session open until no stream uses
// it. A healthy peer also leaves the watched subset when others join; closing its
// session would break its streams for no reason.
func (l *Link) retire() {
	l.mu.Lock()
	l.isRetired = true
	l.mu.Unlock()
	l.cancel()
}

// Acquire returns the session, or nil if there is none, and a function that
// releases it.
func (l *Link) Acquire() (*wire.Session, func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.session == nil {
		return nil, func() {}
	}
	l.streamCount++
	return l.session, sync.OnceFunc(l.release)
}

// release ends one use of the session. It closes the session if the link is
// retired and this was the last use.
func (l *Link) release() {
	l.mu.Lock()
	l.streamCount--
	isUnused := l.isRetired && l.streamCount == 0
	l.mu.Unlock()
	if isUnused {
		l.replaceSession(nil)
	}
}

// connect opens a session and receives a first heartbeat on it. The current
// session stays open in the meantime. If the link is only stalled and the second
// session fails too, the streams continue on the current session; they are
// interrupted only once the second session works.
func (l *Link) connect(ctx context.Context) (*wire.Session, *wire.Stream, error) {
	ctx, cancel := context.WithTimeout(ctx, l.manager.cfg.DialTimeout)
	defer cancel()
	sess, err := l.manager.Dial(ctx, l.peer.Address)
	if err != nil {
		return nil, nil, err
	}
	// A stalled network path can accept the connection and then carry no data,
	// so the timeout covers the first heartbeat too.
	defer context.AfterFunc(ctx, func() { sess.Close() })()
	st, _, err := sess.Open(&innerv1.Open{
		ConfigVersion: l.manager.sync.Replica().Version(),
		Kind:          &innerv1.Open_Watch{Watch: &innerv1.Watch{PeriodMs: uint32(l.manager.cfg.HeartbeatInterval.Milliseconds())}},
	})
	if err != nil {
		sess.Close()
		return nil, nil, err
	}
	if err := l.receiveHeartbeat(st); err != nil {
		sess.Close()
		return nil, nil, err
	}
	return sess, st, nil
}

// receiveHeartbeat waits for the next heartbeat and stores it.
func (l *Link) receiveHeartbeat(st *wire.Stream) error {
	st.SetReadDeadline(time.Now().Add(maxMissedHeartbeats * l.manager.cfg.HeartbeatInterval))
	reply := &innerv1.Reply{}
	if err := st.Recv(reply); err != nil {
		return err
	}
	if f := reply.GetFailure(); f != nil {
		return failure.FromProto(f)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastHeartbeat = reply.GetHeartbeat()
	l.lastHeartbeatTime = time.Now()
	l.sentSinceHeartbeat = 0
	return nil
}

// watch makes sess the link's session and receives heartbeats from st until one
// is overdue or the stream ends.
func (l *Link) watch(ctx context.Context, sess *wire.Session, st *wire.Stream) {
	defer st.Close()
	defer st.CloseOnDone(ctx)()
	l.replaceSession(sess)
	for {
		l.reconcileConfig(sess)
		if err := l.receiveHeartbeat(st); err != nil {
			return
		}
	}
}

// reconcileConfig brings the older of the two configurations, this process's or
// the peer's, to the newer version. Since heartbeats carry the peer's version, a
// difference is detected within one heartbeat interval and without the store.
func (l *Link) reconcileConfig(sess *wire.Session) {
	l.mu.Lock()
	peerVersion := l.lastHeartbeat.GetConfigVersion()
	l.mu.Unlock()
	ownVersion := l.manager.sync.Replica().Version()
	switch {
	case peerVersion > ownVersion:
		l.manager.sync.Pull(sess)
	case peerVersion < ownVersion:
		l.manager.sync.Push(sess, peerVersion)
	case ownVersion > 0:
		l.manager.sync.MarkConfirmed()
	}
}

// Push sends the peer the configuration it lacks and returns the peer's version
// afterwards. It returns false if the peer can't be reached.
func (l *Link) Push() (uint64, bool) {
	l.mu.Lock()
	sess, peerVersion := l.session, l.lastHeartbeat.GetConfigVersion()
	l.mu.Unlock()
	if sess == nil {
		return 0, false
	}
	version, err := l.manager.sync.Push(sess, peerVersion)
	return version, err == nil
}

// replaceSession makes sess, which may be nil, the link's session and closes the
// previous one.
func (l *Link) replaceSession(sess *wire.Session) {
	l.mu.Lock()
	old := l.session
	l.session = sess
	l.mu.Unlock()
	if old != nil {
		old.Close()
	}
}
