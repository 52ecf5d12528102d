// Package memnet is a network in memory for tests in virtual time: addresses
// can be cut off, which breaks their connections, stalled, which holds their
// bytes back without breaking anything, and parted from each other.
package memnet

import (
	"context"
	"net"
	"sync"

	"github.com/pkg/errors"
)

// ErrRefused is the error of a dial to an address that is cut or not served.
var ErrRefused = errors.New("connection refused")

// Network implements wire.Network. It is safe for concurrent use.
type Network struct {
	mu    sync.Mutex
	cond  *sync.Cond
	hosts map[string]*host
	// parted reports whether two places cannot reach each other; nil is never.
	parted func(a, b string) bool
}

type host struct {
	listener *listener
	cut      bool
	stalled  bool
	conns    map[*conn]struct{}
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
	h.listener = &listener{n: n, address: address, in: make(chan net.Conn), done: make(chan struct{})}
	return h.listener, nil
}

// From is the network as the process at address from sees it.
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

// Partition breaks the connections between places for which parted is true, and
// refuses new ones until it is called with nil.
func (n *Network) Partition(parted func(a, b string) bool) {
	n.mu.Lock()
	n.parted = parted
	var broken []*conn
	for _, h := range n.hosts {
		for c := range h.conns {
			if parted != nil && parted(c.from, c.to) {
				broken = append(broken, c)
			}
		}
	}
	n.mu.Unlock()
	for _, c := range broken {
		c.Close()
	}
}

// Dial implements wire.Network for a caller outside the system.
func (n *Network) Dial(ctx context.Context, address string) (net.Conn, error) {
	return n.dial(ctx, "", address)
}

func (n *Network) dial(ctx context.Context, from, address string) (net.Conn, error) {
	n.mu.Lock()
	h := n.host(address)
	l := h.listener
	if l == nil || h.cut || n.parted != nil && n.parted(from, address) {
		n.mu.Unlock()
		return nil, errors.Wrap(ErrRefused, address)
	}
	a, b := net.Pipe()
	near := &conn{Conn: a, n: n, h: h, from: from, to: address}
	far := &conn{Conn: b, n: n, h: h, from: from, to: address}
	h.conns[near], h.conns[far] = struct{}{}, struct{}{}
	n.mu.Unlock()
	select {
	case l.in <- far:
		return near, nil
	case <-l.done:
	case <-ctx.Done():
	}
	near.Close()
	far.Close()
	return nil, errors.Wrap(ErrRefused, address)
}

// Disconnect breaks all connections to an address and refuses new ones until Heal.
func (n *Network) Disconnect(address string) {
	n.mu.Lock()
	h := n.host(address)
	h.cut = true
	var conns []*conn
	for c := range h.conns {
		conns = append(conns, c)
	}
	n.mu.Unlock()
	for _, c := range conns {
		c.Close()
	}
}

// Stall holds back all bytes of an address's connections until Heal.
func (n *Network) Stall(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.host(address).stalled = true
}

// Restore ends a cut and a stall.
func (n *Network) Restore(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	h := n.host(address)
	h.cut, h.stalled = false, false
	n.cond.Broadcast()
}

type listener struct {
	n       *Network
	address string
	in      chan net.Conn
	once    sync.Once
	done    chan struct{}
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.in:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.once.Do(func() {
		close(l.done)
		l.n.mu.Lock()
		defer l.n.mu.Unlock()
		l.n.hosts[l.address].listener = nil
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
	n *Network
	h *host
	// from and to are the places that the connection joins.
	from, to string
	closed   bool
}

// Write implements net.Conn; it waits while the address is stalled.
func (c *conn) Write(p []byte) (int, error) {
	c.n.mu.Lock()
	for c.h.stalled && !c.closed {
		c.n.cond.Wait()
	}
	c.n.mu.Unlock()
	return c.Conn.Write(p)
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.n.mu.Lock()
	c.closed = true
	delete(c.h.conns, c)
	c.n.cond.Broadcast()
	c.n.mu.Unlock()
	return c.Conn.Close()
}
