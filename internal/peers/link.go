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

// maintainLink dials a member again whenever its link breaks, until ctx ends or the member
// has been unreachable for forgetAfter.
func (m *Manager) maintainLink(ctx context.Context, n *memberLink) {
	lastUp := time.Now()
	for tries := 0; ctx.Err() == nil; tries++ {
		err := m.runLink(ctx, n, func() { tries, lastUp = 0, time.Now() })
		if ctx.Err() != nil {
			return
		}
		if tries == 0 {
			m.linkLog.info(m.Log.WithError(err).WithField("peer", n.Name), "link to peer is down")
		}
		if time.Since(lastUp) > forgetAfter {
			m.forget(n)
			return
		}
		wait.For(ctx, redialBackoff.Delay(tries, rand.Float64()))
	}
}

// forget removes a member that has been unreachable for forgetAfter.
func (m *Manager) forget(n *memberLink) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.links[n.Name] == n {
		delete(m.links, n.Name)
		delete(m.known, n.Name)
		delete(m.silent, n.Name)
	}
	m.Log.WithField("peer", n.Name).Info("peer has been unreachable for too long and is removed")
	go m.OnForgotten(n.Member)
}

// runLink dials a member and sends it states and pages until the link breaks. It calls onUp
// after the first state.
func (m *Manager) runLink(ctx context.Context, n *memberLink, onUp func()) error {
	dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := m.Dial(dialCtx, n.Address)
	if err != nil {
		return errors.Wrap(err, "dial peer")
	}
	session, err := mux.Client(conn)
	if err != nil {
		conn.Close()
		return errors.Wrap(err, "open session with peer")
	}
	defer session.Close()
	stop := context.AfterFunc(ctx, func() { session.Close() })
	defer stop()
	out, err := session.OpenStream()
	if err != nil {
		return errors.Wrap(err, "open stream to peer")
	}
	n.session.Store(session)
	defer n.session.Store(nil)
	m.wg.Go(func() { m.serve(ctx, session, func() bool { return true }) })
	m.resetSender(n)
	send := func(frame []byte, cause Cause) error {
		out.SetWriteDeadline(time.Now().Add(writeTimeout))
		_, err := out.Write(frame)
		m.countSent(cause, len(frame))
		m.spend(n, len(frame)+frameOverhead)
		return errors.Wrap(err, "write to peer")
	}
	tick := time.NewTimer(0)
	defer tick.Stop()
	cause := CauseState
	for first := true; ; first = false {
		frame, hasMore, err := m.nextState(n)
		if err != nil {
			return err
		}
		if err := send(frame, cause); err != nil {
			return err
		}
		tick.Reset(statePeriod(m.LinkCount()))
		if first {
			onUp()
			if err := m.sendSuspects(send); err != nil {
				return err
			}
			m.linkLog.info(m.Log.WithField("peer", n.Name), "link to peer is up")
		}
		if cause, err = m.sendFrames(ctx, n, tick.C, session.CloseChan(), hasMore, send); err != nil {
			return err
		}
	}
}

// sendFrames sends queued frames until the next state is due, and returns its cause. hasMore says that the last
// state has left out changes.
func (m *Manager) sendFrames(ctx context.Context, n *memberLink, tick <-chan time.Time, closed <-chan struct{}, hasMore bool, send func([]byte, Cause) error) (Cause, error) {
	var urgent, loads <-chan time.Time
	if hasMore {
		loads = time.After(m.stateDelay(n, CauseLoads))
	}
	for {
		select {
		case <-ctx.Done():
			return "", ctx.Err()
		case <-closed:
			return "", errLinkClosed
		case <-tick:
			return CauseState, nil
		case <-urgent:
			return CauseUrgentState, nil
		case <-loads:
			return CauseLoads, nil
		case <-n.stateDue:
			delay := m.stateDelay(n, CauseUrgentState)
			if delay <= 0 {
				return CauseUrgentState, nil
			}
			if urgent == nil {
				urgent = time.After(delay)
			}
		case <-n.loadsDue:
			if loads == nil {
				loads = time.After(m.stateDelay(n, CauseLoads))
			}
		case o := <-n.frames:
			if err := send(o.frame, o.cause); err != nil {
				return "", err
			}
		}
	}
}

// sendSuspects sends the initial suspects to a peer when its link is up.
func (m *Manager) sendSuspects(send func([]byte, Cause) error) error {
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
	return send(frame, CauseSuspects)
}

// receive reads the frames of a peer on a link that the peer has dialed.
func (m *Manager) receive(ctx context.Context, conn net.Conn) {
	c := m.conns.Admit(conn)
	if c == nil {
		return
	}
	c.StopCounting()
	session, err := mux.Server(c)
	if err != nil {
		c.Close()
		return
	}
	defer session.Close()
	stop := context.AfterFunc(ctx, func() { session.Close() })
	defer stop()
	in, err := session.AcceptStream()
	if err != nil {
		return
	}
	client := m.streams.Open(func() { session.Close() })
	if client == nil {
		return
	}
	defer m.streams.Close(client)
	m.wg.Go(func() { m.serve(ctx, session, c.Complete) })
	frames := newFrameReader(in, m.streams, client)
	from, received := "", receivedState{}
	for {
		f := &peerv1.Frame{}
		if err := frames.Read(f); err != nil || !c.Complete() {
			return
		}
		switch k := f.GetKind().(type) {
		case *peerv1.Frame_State:
			if from == "" {
				from = k.State.GetFrom().GetName()
				defer m.addInbound(from, session)()
			}
			if s := received.apply(k.State, time.Now()); s != nil {
				m.receiveState(s)
			}
		case *peerv1.Frame_Page:
			m.Receiver.Page(from, k.Page)
		case *peerv1.Frame_Suspects:
			m.Receiver.Suspects(from, k.Suspects)
		}
	}
}

// addInbound registers the link that a peer has dialed, until the returned function is
// called.
func (m *Manager) addInbound(peer string, session *yamux.Session) func() {
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

// session returns a link to a peer in either direction, nil if there is none.
func (m *Manager) session(peer string) *yamux.Session {
	m.mu.Lock()
	defer m.mu.Unlock()
	if n := m.links[peer]; n != nil {
		if s := n.session.Load(); s != nil {
			return s
		}
	}
	return m.inbound[peer]
}

// resetSender prepares a link for its first state.
func (m *Manager) resetSender(n *memberLink) {
	m.mu.Lock()
	defer m.mu.Unlock()
	n.sender.isBegun, n.sender.sent = false, newSentState()
	n.sender.budget.setRate(m.linkRate(n), time.Now())
}

// nextState returns the next state for a link.
func (m *Manager) nextState(n *memberLink) (frame []byte, hasMore bool, err error) {
	now := time.Now()
	m.mu.Lock()
	partial := m.acceptsPartial[n.Name]
	n.sender.budget.setRate(m.linkRate(n), now)
	m.mu.Unlock()
	return n.sender.next(&m.state, m.State, partial, now)
}

// linkRate returns the bytes a second that control traffic may take on one link: a part of what it may take of
// this VM's link and of the peer's. It assumes that peers have about as many links. mu is held.
func (m *Manager) linkRate(n *memberLink) float64 {
	peerMbps := n.LinkMbps
	if p := m.live[n.Name]; p != nil && p.state.GetLinkMbps() > 0 {
		peerMbps = p.state.GetLinkMbps()
	}
	return min(controlRate(m.self.LinkMbps), controlRate(peerMbps)) / float64(max(1, len(m.links)))
}

// stateDelay returns how long a state has to wait that is not a regular one.
func (m *Manager) stateDelay(n *memberLink, cause Cause) time.Duration {
	now := time.Now()
	delay := n.sender.delay(cause, now)
	if cause == CauseLoads {
		m.mu.Lock()
		defer m.mu.Unlock()
		delay = max(delay, m.budget.wait(0, now))
	}
	return delay
}

// spend takes bytes that are sent from the budgets of a link and of this VM.
func (m *Manager) spend(n *memberLink, bytes int) {
	n.sender.budget.spend(bytes, time.Now())
	m.spendTotal(bytes)
}

func (m *Manager) spendTotal(bytes int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.budget.spend(bytes, time.Now())
}
