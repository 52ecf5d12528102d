package peers

import (
	"context"
	"net"
	"slices"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"kingcupplank.example/kingcup/internal/mux"
	peerv1 "kingcupplank.example/kingcup/proto/kingcup/peer/v1"
	"kingcupplank.example/kingcup/subset"
)

const (
	// sessionIdleTime is the time after which an unused session is closed.
	sessionIdleTime = 10 * time.Second
	// maxOnDemandSessions bounds these sessions. Without a free one, gateways without a link can't
	// be asked.
	maxOnDemandSessions = 64
)

// Errors of Exchange, besides ErrNoLink.
var (
	errUnknownPeer     = errors.New("the peer is not known")
	errTooManySessions = errors.New("too many sessions with gateways without a link")
)

// onDemandSession is a session with a gateway that this one has no link with. It carries requests only.
type onDemandSession struct {
	session *yamux.Session
	usedAt  time.Time
	stop    func() bool
}

// Owners returns the names of the gateways that own a key, at most n, in the order in which
// they are to be asked. Gateways that know the same members agree on them. This gateway may be among them.
func (m *Manager) Owners(key string, n int) []string {
	type scored struct {
		name  string
		score uint64
	}
	m.mu.Lock()
	all := make([]scored, 0, len(m.known)+1)
	for name := range m.known {
		all = append(all, scored{name, subset.Score(key, name)})
	}
	m.mu.Unlock()
	all = append(all, scored{m.self.Name, subset.Score(key, m.self.Name)})
	slices.SortFunc(all, func(a, b scored) int {
		if a.score > b.score {
			return -1
		}
		return 1
	})
	out := make([]string, 0, n)
	for _, k := range all[:min(n, len(all))] {
		out = append(out, k.name)
	}
	return out
}

// Exchange sends a request to a gateway, with or without a link, and returns the head of its answer, which has
// no parts. Errors: ErrNoLink, or the reason why there is no answer.
func (m *Manager) Exchange(ctx context.Context, peer string, request *peerv1.Fetch) (*peerv1.Change, error) {
	session, err := m.sessionTo(ctx, peer)
	if err != nil {
		return nil, err
	}
	stream, err := session.OpenStream()
	if err != nil {
		return nil, errors.Wrap(ErrNoLink, err.Error())
	}
	defer stream.Close()
	stop := context.AfterFunc(ctx, func() { stream.Close() })
	defer stop()
	m.countSent(CauseOrigin, proto.Size(request))
	m.spendTotal(proto.Size(request) + frameOverhead)
	return ask(stream, request, mux.NewFrameReader(stream))
}

// ask sends a request on a stream and returns the head of the answer.
func ask(stream net.Conn, request *peerv1.Fetch, frames *mux.FrameReader) (*peerv1.Change, error) {
	stream.SetDeadline(time.Now().Add(answerTimeout))
	if err := mux.WriteFrame(stream, request); err != nil {
		return nil, errors.Wrap(err, "send request to peer")
	}
	head := &peerv1.Change{}
	if err := frames.Read(head); err != nil {
		return nil, errors.Wrap(err, "read answer of peer")
	}
	return head, nil
}

// sessionTo returns the link to a gateway, or a session on demand.
func (m *Manager) sessionTo(ctx context.Context, peer string) (*yamux.Session, error) {
	if s := m.session(peer); s != nil {
		return s, nil
	}
	m.mu.Lock()
	if c := m.onDemand[peer]; c != nil && !c.session.IsClosed() {
		c.usedAt = time.Now()
		m.mu.Unlock()
		return c.session, nil
	}
	member, known := m.known[peer]
	count, runCtx := len(m.onDemand), m.ctx
	m.mu.Unlock()
	switch {
	case !known || runCtx == nil:
		return nil, errUnknownPeer
	case count >= maxOnDemandSessions:
		return nil, errTooManySessions
	}
	return m.openSession(ctx, runCtx, member)
}

func (m *Manager) openSession(ctx, runCtx context.Context, member Member) (*yamux.Session, error) {
	dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := m.Dial(dialCtx, member.Address)
	if err != nil {
		return nil, errors.Wrap(err, "dial peer")
	}
	session, err := mux.Client(conn)
	if err != nil {
		conn.Close()
		return nil, errors.Wrap(err, "open session with peer")
	}
	// The peer takes the first stream for the one with states.
	if _, err := session.OpenStream(); err != nil {
		session.Close()
		return nil, errors.Wrap(err, "open stream to peer")
	}
	made := &onDemandSession{session: session, usedAt: time.Now(), stop: context.AfterFunc(runCtx, func() { session.Close() })}
	m.mu.Lock()
	defer m.mu.Unlock()
	if other := m.onDemand[member.Name]; other != nil {
		if !other.session.IsClosed() {
			// Another request has opened one meanwhile.
			made.close()
			return other.session, nil
		}
		other.close()
	}
	m.onDemand[member.Name] = made
	return session, nil
}

func (c *onDemandSession) close() {
	c.stop()
	c.session.Close()
}

// closeIdleSessions closes the sessions on demand that are broken or have not been used for sessionIdleTime.
func (m *Manager) closeIdleSessions() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for name, c := range m.onDemand {
		if c.session.IsClosed() || time.Since(c.usedAt) >= sessionIdleTime {
			c.close()
			delete(m.onDemand, name)
		}
	}
}
