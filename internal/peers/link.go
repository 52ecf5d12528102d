package peers

import (
	"context"
	"math/rand/v2"
	"net"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/pkg/errors"

	"kingcupplank.example/kingcup/internal/mux"
	"kingcupplank.example/kingcup/internal/wait"
	peerv1 "kingcupplank.example/kingcup/proto/kingcup/peer/v1"
)

// link keeps the connection to a member.
func (m *Manager) link(ctx context.Context, n *member) {
	begun := time.Now()
	for tries := 0; ctx.Err() == nil; tries++ {
		err := m.talk(ctx, n, func() { tries, begun = 0, time.Now() })
		if ctx.Err() != nil {
			return
		}
		if tries == 0 {
			m.Log.WithError(err).WithField("peer", n.Name).Info("link to a peer is lost")
		}
		if time.Since(begun) > forgetAfter {
			m.forget(n)
			return
		}
		wait.For(ctx, redial.Delay(tries, rand.Float64()))
	}
}

func (m *Manager) forget(n *member) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.members[n.Name] == n {
		delete(m.members, n.Name)
		delete(m.book, n.Name)
	}
	m.Log.WithField("peer", n.Name).Info("peer is forgotten")
	go m.OnForgotten(n.Member)
}

// talk dials a member and tells it states and pages until the link breaks.
func (m *Manager) talk(ctx context.Context, n *member, up func()) error {
	dctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := m.Dial(dctx, n.Address)
	if err != nil {
		return errors.Wrap(err, "dial peer")
	}
	session, err := mux.Client(conn)
	if err != nil {
		conn.Close()
		return errors.Wrap(err, "session with peer")
	}
	defer session.Close()
	stop := context.AfterFunc(ctx, func() { session.Close() })
	defer stop()
	out, err := session.OpenStream()
	if err != nil {
		return errors.Wrap(err, "stream to peer")
	}
	n.session.Store(session)
	defer n.session.Store(nil)
	m.wg.Go(func() { m.serve(ctx, session) })
	send := func(frame []byte) error {
		out.SetWriteDeadline(time.Now().Add(writeTimeout))
		_, err := out.Write(frame)
		return errors.Wrap(err, "tell peer")
	}
	tick := time.NewTimer(0)
	defer tick.Stop()
	for first := true; ; first = false {
		frame, err := m.state.get(m.State)
		if err != nil {
			return err
		}
		if err := send(frame); err != nil {
			return err
		}
		m.sent(CauseState, len(frame))
		tick.Reset(period(m.LinkCount()))
		if first {
			up()
			if err := m.greet(send); err != nil {
				return err
			}
			m.Log.WithField("peer", n.Name).Info("linked to a peer")
		}
		if err := m.until(ctx, n, tick.C, session.CloseChan(), send); err != nil {
			return err
		}
	}
}

// until sends pages until it is time for the next state.
func (m *Manager) until(ctx context.Context, n *member, tick <-chan time.Time, closed <-chan struct{}, send func([]byte) error) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-closed:
			return errLinkClosed
		case <-tick:
			return nil
		case <-n.nudge:
			return nil
		case o := <-n.frames:
			if err := send(o.frame); err != nil {
				return err
			}
			m.sent(o.cause, len(o.frame))
		}
	}
}

// greet tells a peer of suspects when a link to it is up.
func (m *Manager) greet(send func([]byte) error) error {
	if m.InitialSuspects == nil {
		return nil
	}
	s := m.InitialSuspects()
	if s == nil {
		return nil
	}
	frame, err := suspectsFrame(s)
	if err != nil {
		return err
	}
	m.sent(CauseSuspects, len(frame))
	return send(frame)
}

// receive reads what a peer tells on a link that it has dialed.
func (m *Manager) receive(ctx context.Context, conn net.Conn) {
	session, err := mux.Server(conn)
	if err != nil {
		conn.Close()
		return
	}
	defer session.Close()
	stop := context.AfterFunc(ctx, func() { session.Close() })
	defer stop()
	in, err := session.AcceptStream()
	if err != nil {
		return
	}
	m.wg.Go(func() { m.serve(ctx, session) })
	frames := mux.NewFrameReader(in)
	from := ""
	for {
		f := &peerv1.Frame{}
		if err := frames.Read(f); err != nil {
			return
		}
		switch k := f.GetKind().(type) {
		case *peerv1.Frame_State:
			if from == "" {
				from = k.State.GetFrom().GetName()
				defer m.admit(from, session)()
			}
			m.heard(k.State)
		case *peerv1.Frame_Page:
			m.Receiver.Page(from, k.Page)
		case *peerv1.Frame_Suspects:
			m.Receiver.Suspects(from, k.Suspects)
		}
	}
}

// admit notes the link that a peer has dialed, until the returned function is called.
func (m *Manager) admit(peer string, session *yamux.Session) func() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.inbound[peer] = session
	return func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		if m.inbound[peer] == session {
			delete(m.inbound, peer)
		}
	}
}

// session is a link to a peer, of either direction, nil if there is none.
func (m *Manager) session(peer string) *yamux.Session {
	m.mu.Lock()
	defer m.mu.Unlock()
	if n := m.members[peer]; n != nil {
		if s := n.session.Load(); s != nil {
			return s
		}
	}
	return m.inbound[peer]
}
