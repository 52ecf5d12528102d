// Package soak runs gateways as separate processes against a stand-in of the
// users' platform, harms them from outside by seeded faults, and checks from what
// callers and backend servers see that the promises hold.
package soak

import (
	"net"
	"sync"
	"time"
)

// Mode is what a proxy does to connections.
type Mode int

// The modes.
const (
	// PassThrough lets everything through.
	PassThrough Mode = iota
	// SlowDown delays bytes.
	SlowDown
	// HoldAll holds all bytes back, without closing anything.
	HoldAll
	// HoldResponses holds back what comes from the target.
	HoldResponses
	// ResetConnections breaks connections, old and new.
	ResetConnections
	modes
)

// slowBy is the delay of slow bytes.
const slowBy = 150 * time.Millisecond

// Proxy stands between two processes on loopback.
type Proxy struct {
	Address string

	target   string
	listener net.Listener

	mu    sync.Mutex
	cond  *sync.Cond
	mode  Mode
	conns map[*net.TCPConn]bool
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

// SetMode changes the mode of all connections.
func (p *Proxy) SetMode(m Mode) {
	p.mu.Lock()
	p.mode = m
	if m == ResetConnections {
		p.breakAll()
	}
	p.mu.Unlock()
	p.cond.Broadcast()
}

// breakAll resets the connections; mu is held.
func (p *Proxy) breakAll() {
	for c := range p.conns {
		c.SetLinger(0)
		c.Close()
	}
}

// Close ends the proxy and its connections.
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
	if !p.add(in, out) {
		return
	}
	go p.copy(out, in, false)
	p.copy(in, out, true)
}

func (p *Proxy) add(conns ...*net.TCPConn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		p.conns[c] = true
	}
	if p.mode == ResetConnections {
		p.breakAll()
		return false
	}
	return true
}

// copy passes bytes until one side ends; an end without a reset stays one.
func (p *Proxy) copy(to, from *net.TCPConn, answers bool) {
	defer func() {
		p.mu.Lock()
		delete(p.conns, from)
		p.mu.Unlock()
	}()
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		p.hold(answers)
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

// hold waits while the mode holds bytes back.
func (p *Proxy) hold(answers bool) {
	p.mu.Lock()
	slow := p.mode == SlowDown
	for p.mode == HoldAll || p.mode == HoldResponses && answers {
		p.cond.Wait()
	}
	p.mu.Unlock()
	if slow {
		time.Sleep(slowBy)
	}
}
