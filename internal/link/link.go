// Package link keeps sessions to the peers a process watches and what their
// heartbeats say.
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

// Peer is a process to watch.
type Peer struct {
	Name          string
	Address       string
	FailureDomain string
}

// Config sets a Manager.
type Config struct {
	Identity wire.Identity
	// HeartbeatInterval is the time between heartbeats.
	HeartbeatInterval time.Duration
	// DialTimeout bounds a connection attempt.
	DialTimeout time.Duration
}

// missedBeats is how many heartbeats may be missing before the link counts as
// stalled and a second path is tried.
const missedBeats = 3

// Manager keeps one Link for each peer. It is safe for concurrent use.
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

// SetPeers makes peers the ones that are watched.
func (m *Manager) SetPeers(peers []Peer) {
	m.mu.Lock()
	defer m.mu.Unlock()
	keep := make(map[string]bool, len(peers))
	for _, p := range peers {
		keep[p.Name] = true
		old := m.links[p.Name]
		if old != nil && old.peer == p {
			continue
		}
		if old != nil {
			old.cancel()
		}
		m.links[p.Name] = m.start(p)
	}
	for name, l := range m.links {
		if !keep[name] {
			l.retire()
			delete(m.links, name)
		}
	}
}

func (m *Manager) start(p Peer) *Link {
	ctx, cancel := context.WithCancel(m.ctx)
	l := &Link{m: m, peer: p, cancel: cancel}
	m.wg.Go(func() { l.run(ctx) })
	return l
}

// Get returns the link to a peer, or nil.
func (m *Manager) Get(name string) *Link {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.links[name]
}

// All returns the links in no order.
func (m *Manager) All() []*Link {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make([]*Link, 0, len(m.links))
	for _, l := range m.links {
		out = append(out, l)
	}
	return out
}

// Dial opens a session to a peer that is not watched; the caller closes it.
func (m *Manager) Dial(ctx context.Context, address string) (*wire.Session, error) {
	ctx, cancel := context.WithTimeout(ctx, m.cfg.DialTimeout)
	defer cancel()
	return wire.Dial(ctx, m.network, address, m.cfg.Identity)
}

// Close ends all links.
func (m *Manager) Close() {
	m.cancel()
	m.wg.Wait()
}

// Link is the session to one peer. It is safe for concurrent use.
type Link struct {
	m      *Manager
	peer   Peer
	cancel context.CancelFunc

	mu      sync.Mutex
	session *wire.Session
	beat    *innerv1.Heartbeat
	heard   time.Time
	sent    int
	retired bool
	users   int
}

// Status is what is known of a peer.
type Status struct {
	Peer         Peer
	Connected    bool
	Heartbeat    *innerv1.Heartbeat
	HeartbeatAge time.Duration
	// SentSinceHeartbeat counts SentSinceHeartbeat calls since the last heartbeat.
	SentSinceHeartbeat int
}

// Status returns what is known now.
func (l *Link) Status() Status {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := Status{Peer: l.peer, Connected: l.session != nil, Heartbeat: l.beat, SentSinceHeartbeat: l.sent}
	if l.beat != nil {
		s.HeartbeatAge = time.Since(l.heard)
	}
	return s
}

// RecordSent notes that a request goes to the peer.
func (l *Link) RecordSent() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sent++
}

func (l *Link) run(ctx context.Context) {
	backoff := retry.Backoff{Base: l.m.cfg.HeartbeatInterval / 4, Max: 4 * l.m.cfg.HeartbeatInterval}
	for failures := 0; ctx.Err() == nil; {
		sess, st, err := l.connect(ctx)
		if err == nil {
			failures = 0
			l.watch(ctx, sess, st)
			continue
		}
		l.swap(nil)
		l.m.log.WithField("peer", l.peer.Name).WithError(err).Debug("peer not reached")
		wait.For(ctx, backoff.Delay(failures, rand.Float64()))
		failures++
	}
	l.mu.Lock()
	used := l.retired && l.users > 0 && l.m.ctx.Err() == nil
	l.mu.Unlock()
	if !used {
		l.swap(nil)
	}
}

// retire stops watching but leaves the session to the streams that use it:
// a peer also drops out of the subset when others join, and closing would cut
// its streams for no reason.
func (l *Link) retire() {
	l.mu.Lock()
	l.retired = true
	l.mu.Unlock()
	l.cancel()
}

// Acquire returns the session, or nil while there is none, and a function that
// ends the use of it.
func (l *Link) Acquire() (*wire.Session, func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.session == nil {
		return nil, func() {}
	}
	l.users++
	return l.session, sync.OnceFunc(l.release)
}

func (l *Link) release() {
	l.mu.Lock()
	l.users--
	unused := l.retired && l.users == 0
	l.mu.Unlock()
	if unused {
		l.swap(nil)
	}
}

// connect opens a session and hears a first heartbeat on it. The session in
// use stays open meanwhile: where a link is merely stalled, its streams go on
// if the second path fails too, and are moved only once the second path works.
func (l *Link) connect(ctx context.Context) (*wire.Session, *wire.Stream, error) {
	ctx, cancel := context.WithTimeout(ctx, l.m.cfg.DialTimeout)
	defer cancel()
	sess, err := l.m.Dial(ctx, l.peer.Address)
	if err != nil {
		return nil, nil, err
	}
	// A stalled path accepts the connection and then carries nothing, so the
	// bound covers the first heartbeat too.
	defer context.AfterFunc(ctx, func() { sess.Close() })()
	st, _, err := sess.Open(&innerv1.Open{
		ConfigVersion: l.m.sync.Replica().Version(),
		Kind:          &innerv1.Open_Watch{Watch: &innerv1.Watch{PeriodMs: uint32(l.m.cfg.HeartbeatInterval.Milliseconds())}},
	})
	if err != nil {
		sess.Close()
		return nil, nil, err
	}
	if err := l.hear(st); err != nil {
		sess.Close()
		return nil, nil, err
	}
	return sess, st, nil
}

func (l *Link) hear(st *wire.Stream) error {
	st.SetReadDeadline(time.Now().Add(missedBeats * l.m.cfg.HeartbeatInterval))
	reply := &innerv1.Reply{}
	if err := st.Recv(reply); err != nil {
		return err
	}
	if f := reply.GetFailure(); f != nil {
		return failure.FromProto(f)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.beat = reply.GetHeartbeat()
	l.heard = time.Now()
	l.sent = 0
	return nil
}

func (l *Link) watch(ctx context.Context, sess *wire.Session, st *wire.Stream) {
	defer st.Close()
	defer st.CloseOnDone(ctx)()
	l.swap(sess)
	for {
		l.reconcile(sess)
		if err := l.hear(st); err != nil {
			return
		}
	}
}

// reconcile levels the configuration with the peer: a heartbeat carries the
// peer's version, so a gap is noticed within one period without the store.
func (l *Link) reconcile(sess *wire.Session) {
	l.mu.Lock()
	theirs := l.beat.GetConfigVersion()
	l.mu.Unlock()
	mine := l.m.sync.Replica().Version()
	switch {
	case theirs > mine:
		l.m.sync.Pull(sess)
	case theirs < mine:
		l.m.sync.Push(sess, theirs)
	case mine > 0:
		l.m.sync.MarkConfirmed()
	}
}

// Push brings the peer to the version in force here, and returns its version.
func (l *Link) Push() (uint64, bool) {
	l.mu.Lock()
	sess, have := l.session, l.beat.GetConfigVersion()
	l.mu.Unlock()
	if sess == nil {
		return 0, false
	}
	version, err := l.m.sync.Push(sess, have)
	return version, err == nil
}

func (l *Link) swap(sess *wire.Session) {
	l.mu.Lock()
	old := l.session
	l.session = sess
	l.mu.Unlock()
	if old != nil {
		old.Close()
	}
}
