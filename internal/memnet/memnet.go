// Package memnet is an in-memory network for tests in virtual time. Tests can inject faults:
// disconnect an address, which breaks its connections, stall it, which delays all its bytes
// but breaks no connection, and partition addresses from each other.
package memnet

import (
	"context"
	"net"
	"sync"

	"github.com/pkg/errors"
)

// ErrRefused is the error of a dial to an address that is disconnected, partitioned from the
// dialer or has no listener.
var ErrRefused = errors.New("connection refused")

// Network implements wire.Network. It is safe for concurrent use.
type Network struct {
	mu    sync.Mutex
	cond  *sync.Cond
	hosts map[string]*host
	// isPartitioned reports whether a dialer's address and a listener's address cannot
	// reach each other. If it is nil, there is no partition.
	isPartitioned func(from, to string) bool
}

// host is the state of one address: its listener, its faults and both ends of its connections.
type host struct {
	listener     *listener
	disconnected bool
	stalled      bool
	conns        map[*conn]struct{}
}

// New returns an empty network.
func New() *Network {
	n := &Network{hosts: make(map[string]*host)}
	n.cond = sync.NewCond(&n.mu)
	return n
}

func (n *Network) host(address string) *host {
	h := n.hosts[address]
	if h == nil {
		h = &host{conns: make(map[*conn]struct{})}
		n.hosts[address] = h
	}
	return h
}

// Listen implements wire.Network.
func (n *Network) Listen(address string) (net.Listener, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	h := n.host(address)
	if h.listener != nil {
		return nil, errors.Errorf("address %s is in use", address)
	}
	h.listener = &listener{network: n, address: address, incoming: make(chan net.Conn), done: make(chan struct{})}
	return h.listener, nil
}

// From returns the network as seen by the process at the address from.
func (n *Network) From(from string) *View {
	return &View{Network: n, from: from}
}

// View implements wire.Network for one process.
type View struct {
	*Network
	from string
}

// Dial implements wire.Network.
func (v *View) Dial(ctx context.Context, address string) (net.Conn, error) {
	return v.dial(ctx, v.from, address)
}

// Partition breaks the connections for which isPartitioned is true and refuses new ones, until
// it is called with nil.
func (n *Network) Partition(isPartitioned func(from, to string) bool) {
	n.mu.Lock()
	n.isPartitioned = isPartitioned
	var broken []*conn
	for _, h := range n.hosts {
		for c := range h.conns {
			if isPartitioned != nil && isPartitioned(c.from, c.to) {
				broken = append(broken, c)
			}
		}
	}
	n.mu.Unlock()
	for _, c := range broken {
		c.Close()
	}
}

// Dial implements wire.Network for a caller outside the system, whose address is empty.
func (n *Network) Dial(ctx context.Context, address string) (net.Conn, error) {
	return n.dial(ctx, "", address)
}

func (n *Network) dial(ctx context.Context, from, address string) (net.Conn, error) {
	n.mu.Lock()
	h := n.host(address)
	l := h.listener
	if l == nil || h.disconnected || n.isPartitioned != nil && n.isPartitioned(from, address) {
		n.mu.Unlock()
		return nil, errors.Wrap(ErrRefused, address)
	}
	dialerEnd, listenerEnd := net.Pipe()
	dialed := &conn{Conn: dialerEnd, network: n, host: h, from: from, to: address}
	accepted := &conn{Conn: listenerEnd, network: n, host: h, from: from, to: address}
	h.conns[dialed], h.conns[accepted] = struct{}{}, struct{}{}
	n.mu.Unlock()
	select {
	case l.incoming <- accepted:
		return dialed, nil
	case <-l.done:
	case <-ctx.Done():
	}
	dialed.Close()
	accepted.Close()
	return nil, errors.Wrap(ErrRefused, address)
}

// Disconnect breaks all connections to an address and refuses new ones until Restore.
func (n *Network) Disconnect(address string) {
	n.mu.Lock()
	h := n.host(address)
	h.disconnected = true
	var conns []*conn
	for c := range h.conns {
		conns = append(conns, c)
	}
	n.mu.Unlock()
	for _, c := range conns {
		c.Close()
	}
}

// Stall blocks all writes on the connections to an address until Restore.
func (n *Network) Stall(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.host(address).stalled = true
}

// Restore undoes Disconnect and Stall for an address.
func (n *Network) Restore(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	h := n.host(address)
	h.disconnected, h.stalled = false, false
	n.cond.Broadcast()
}

type listener struct {
	network   *Network
	address   string
	incoming  chan net.Conn
	closeOnce sync.Once
	done      chan struct{}
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.incoming:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.closeOnce.Do(func() {
		close(l.done)
		l.network.mu.Lock()
		defer l.network.mu.Unlock()
		l.network.hosts[l.address].listener = nil
	})
	return nil
}

// Addr implements net.Listener.
func (l *listener) Addr() net.Addr { return addr(l.address) }

type addr string

func (addr) Network() string  { return "memory" }
func (a addr) String() string { return string(a) }

type conn struct {
	net.Conn
	network *Network
	host    *host
	// from and to are the addresses of the dialer and the listener.
	from, to string
	closed   bool
}

// Write implements net.Conn. It blocks while the address is stalled.
func (c *conn) Write(p []byte) (int, error) {
	c.network.mu.Lock()
	for c.host.stalled && !c.closed {
		c.network.cond.Wait()
	}
	c.network.mu.Unlock()
	return c.Conn.Write(p)
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.network.mu.Lock()
	c.closed = true
	delete(c.host.conns, c)
	c.network.cond.Broadcast()
	c.network.mu.Unlock()
	return c.Conn.Close()
}
