// Package soak runs gateways as separate processes against a stand-in for the users' platform and
// injects seeded faults from outside. It checks from what callers and backend servers observe
// that the gateways' guarantees hold.
package soak

import (
	"net"
	"slices"
	"sync"
	"time"
)

// Mode is how a proxy treats connections.
type Mode int

// The modes of a proxy.
const (
	// PassThrough forwards everything.
	PassThrough Mode = iota
	// SlowDown delays all bytes.
	SlowDown
	// HoldAll holds back all bytes and keeps the connections open.
	HoldAll
	// HoldResponses holds back the bytes from the target.
	HoldResponses
	// ResetConnections resets open and new connections.
	ResetConnections
	modeCount
)

// slowDelay is the delay of each read with SlowDown.
const slowDelay = 150 * time.Millisecond

// Proxy forwards connections between two processes on loopback.
type Proxy struct {
	Address string

	target   string
	listener net.Listener

	mu    sync.Mutex
	cond  *sync.Cond
	mode  Mode
	conns map[*net.TCPConn]bool
	// disruptions are the times in which the mode was not PassThrough.
	disruptions []span
}

// NewProxy starts a proxy in front of target.
func NewProxy(target string) (*Proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{Address: l.Addr().String(), target: target, listener: l, conns: make(map[*net.TCPConn]bool)}
	p.cond = sync.NewCond(&p.mu)
	go p.accept()
	return p, nil
}

// SetMode sets the mode of all connections.
func (p *Proxy) SetMode(m Mode) {
	p.mu.Lock()
	p.mode = m
	if n := len(p.disruptions); n > 0 && p.disruptions[n-1].to.IsZero() {
		p.disruptions[n-1].to = time.Now()
	}
	if m != PassThrough {
		p.disruptions = append(p.disruptions, span{from: time.Now()})
	}
	if m == ResetConnections {
		p.resetAll()
	}
	p.mu.Unlock()
	p.cond.Broadcast()
}

// ResetOpen resets the open connections. New ones are passed through.
func (p *Proxy) ResetOpen() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.resetAll()
}

// wasDisrupted reports whether the mode was not PassThrough within a time.
func (p *Proxy) wasDisrupted(from, to time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.ContainsFunc(p.disruptions, func(d span) bool { return d.overlaps(from, to) })
}

// resetAll resets all connections. The caller holds mu.
func (p *Proxy) resetAll() {
	for c := range p.conns {
		c.SetLinger(0)
		c.Close()
	}
}

// Close stops the proxy and resets its connections.
func (p *Proxy) Close() {
	p.listener.Close()
	p.SetMode(ResetConnections)
}

func (p *Proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(c.(*net.TCPConn))
	}
}

func (p *Proxy) serve(in *net.TCPConn) {
	c, err := net.Dial("tcp", p.target)
	if err != nil {
		in.SetLinger(0)
		in.Close()
		return
	}
	out := c.(*net.TCPConn)
	if !p.track(in, out) {
		return
	}
	go p.forward(out, in, false)
	p.forward(in, out, true)
}

func (p *Proxy) track(conns ...*net.TCPConn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		p.conns[c] = true
	}
	if p.mode == ResetConnections {
		p.resetAll()
		return false
	}
	return true
}

// forward copies bytes until one side closes its connection. The end of the input closes the output
// without a reset.
func (p *Proxy) forward(to, from *net.TCPConn, isResponse bool) {
	defer func() {
		p.mu.Lock()
		delete(p.conns, from)
		p.mu.Unlock()
	}()
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		p.waitForMode(isResponse)
		if n > 0 {
			if _, err := to.Write(buf[:n]); err != nil {
				from.SetLinger(0)
				from.Close()
				return
			}
		}
		if err != nil {
			to.CloseWrite()
			return
		}
	}
}

// waitForMode waits while the mode holds back bytes, and delays them with SlowDown.
func (p *Proxy) waitForMode(isResponse bool) {
	p.mu.Lock()
	slow := p.mode == SlowDown
	for p.mode == HoldAll || p.mode == HoldResponses && isResponse {
		p.cond.Wait()
	}
	p.mu.Unlock()
	if slow {
		time.Sleep(slowDelay)
	}
}
