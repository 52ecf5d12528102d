// Package guard applies the decisions of package intake to the connections of a listener: it closes those for which there
// is no room, and ends those that yield.
package guard

import (
	"math"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"kingcupplank.example/kingcup/intake"
)

// Gate holds the clients of a process's listeners. It is safe for concurrent use. Its lock is taken last.
type Gate struct {
	mu    sync.Mutex
	table *intake.Table
	// ends has how to end a client that yields. It is called without the lock.
	ends    map[*intake.Client]func()
	started time.Time

	refused, yielded atomic.Int64
}

// New returns a gate without clients.
func New(l intake.Limits) *Gate {
	return &Gate{table: intake.NewTable(l), ends: make(map[*intake.Client]func()), started: time.Now()}
}

// SetLimits replaces the limits.
func (g *Gate) SetLimits(l intake.Limits) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.table.SetLimits(l)
}

// Refused returns the number of clients that were refused before a byte was read, Yielded the number of those that were
// ended to make room for others.
func (g *Gate) Refused() int64 { return g.refused.Load() }
func (g *Gate) Yielded() int64 { return g.yielded.Load() }

// Len returns the number of clients.
func (g *Gate) Len() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.Len()
}

// Bytes returns the bytes charged to all clients.
func (g *Gate) Bytes() int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.Bytes()
}

// Open adds a client, which end ends if it yields. It returns nil if there is no room.
func (g *Gate) Open(end func()) *intake.Client {
	now := time.Since(g.started)
	g.mu.Lock()
	c, yielded := g.table.Open(now)
	if c != nil {
		g.ends[c] = end
	}
	ends := g.takeEnds(yielded)
	g.mu.Unlock()
	g.endAll(ends)
	if c == nil {
		g.refused.Add(1)
	}
	return c
}

// takeEnds removes and returns what ends the given clients; mu is held.
func (g *Gate) takeEnds(clients []*intake.Client) (ends []func()) {
	for _, c := range clients {
		ends = append(ends, g.ends[c])
		delete(g.ends, c)
	}
	return ends
}

func (g *Gate) endAll(ends []func()) {
	g.yielded.Add(int64(len(ends)))
	for _, end := range ends {
		end()
	}
}

// Receive records that n bytes of a client's request have come. It returns false if the client has yielded.
func (g *Gate) Receive(c *intake.Client, n int) bool {
	now := time.Since(g.started)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.table.Receive(c, n, now)
	return !c.HasYielded()
}

// Charge charges n bytes to a client. It returns false if there is no room for them.
func (g *Gate) Charge(c *intake.Client, n int64) bool { return g.charge(c, 0, n) }

// charge records that received bytes have come, and charges n bytes to a client.
func (g *Gate) charge(c *intake.Client, received int, n int64) bool {
	now := time.Since(g.started)
	g.mu.Lock()
	if received > 0 {
		g.table.Receive(c, received, now)
	}
	isCharged, yielded := g.table.Charge(c, n, now)
	ends := g.takeEnds(yielded)
	g.mu.Unlock()
	g.endAll(ends)
	return isCharged
}

// Release takes back a charge.
func (g *Gate) Release(c *intake.Client, n int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.table.Release(c, n)
}

// SetHeld replaces what is charged to a client by n bytes, for which there is room already.
func (g *Gate) SetHeld(c *intake.Client, n int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.table.SetHeld(c, n)
}

// SetServing sets whether a complete request of a client is in progress.
func (g *Gate) SetServing(c *intake.Client, isServing bool) {
	now := time.Since(g.started)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.table.SetServing(c, isServing, now)
}

// ReleaseAll takes back all that was charged to a client.
func (g *Gate) ReleaseAll(c *intake.Client) { g.Release(c, math.MaxInt64) }

// Complete records that a client's request has come whole. It returns false if the client has yielded.
func (g *Gate) Complete(c *intake.Client) bool {
	now := time.Since(g.started)
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.Complete(c, now)
}

// Finish records that a client's request has its response. From now on, end ends the client if it yields.
func (g *Gate) Finish(c *intake.Client, end func()) {
	now := time.Since(g.started)
	g.mu.Lock()
	defer g.mu.Unlock()
	if !c.HasYielded() {
		g.table.Finish(c, now)
		g.ends[c] = end
	}
}

// Close removes a client.
func (g *Gate) Close(c *intake.Client) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.table.Close(c)
	delete(g.ends, c)
}

// BeginBody records that the head of a client's request has come. From now on, end ends the client if it yields. BeginBody
// returns false if the client has yielded.
func (g *Gate) BeginBody(c *intake.Client, end func()) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if c.HasYielded() {
		return false
	}
	g.table.BeginBody(c)
	g.ends[c] = end
	return true
}

// YieldBodies ends all clients of whose request only a part of the body has come.
func (g *Gate) YieldBodies() {
	g.mu.Lock()
	ends := g.takeEnds(g.table.YieldBodies())
	g.mu.Unlock()
	g.endAll(ends)
}

// Conn is a connection of a gate's client.
type Conn struct {
	net.Conn
	gate   *Gate
	client *intake.Client
	// isCounted is set while the bytes that are read are charged.
	isCounted atomic.Bool
	once      sync.Once
}

// Admit returns a connection as one of a new client. It returns nil and closes the connection if there is no room.
func (g *Gate) Admit(c net.Conn) *Conn {
	conn := &Conn{Conn: c, gate: g}
	conn.isCounted.Store(true)
	if conn.client = g.Open(func() { c.Close() }); conn.client == nil {
		c.Close()
		return nil
	}
	return conn
}

// Client returns the client of the connection.
func (c *Conn) Client() *intake.Client { return c.client }

// errYielded means that the connection was given up for others.
var errYielded = errors.New("connection has yielded")

// Read implements net.Conn. It charges what it reads, unless BeginBody has ended that.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && c.isCounted.Load() && !c.gate.charge(c.client, n, int64(n)) {
		c.Close()
		return 0, errYielded
	}
	return n, err
}

// BeginBody says that the head of a request has been read. What is read from now on is charged by the reader of the body,
// and end ends the client if it yields. It returns false if the client has yielded.
func (c *Conn) BeginBody(end func()) bool {
	c.isCounted.Store(false)
	return c.gate.BeginBody(c.client, end)
}

// EndRequest says that the request on the connection has its response.
func (c *Conn) EndRequest() {
	c.gate.Finish(c.client, func() { c.Conn.Close() })
	c.isCounted.Store(true)
}

// IsServing reports whether the connection has brought a whole request.
func (c *Conn) IsServing() bool {
	c.gate.mu.Lock()
	defer c.gate.mu.Unlock()
	return c.client.IsServing()
}

// StopCounting ends the charging of what is read.
func (c *Conn) StopCounting() { c.isCounted.Store(false) }

// Complete says that the connection has brought a whole request. It returns false if the client has yielded.
func (c *Conn) Complete() bool { return c.gate.Complete(c.client) }

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.once.Do(func() { c.gate.Close(c.client) })
	return c.Conn.Close()
}

var errNoDescriptor = errors.New("connection has no descriptor")

// SyscallConn implements syscall.Conn.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errNoDescriptor
	}
	return sc.SyscallConn()
}

// Listener returns a listener whose connections are clients of the gate.
func (g *Gate) Listener(l net.Listener) net.Listener { return &listener{Listener: l, gate: g} }

type listener struct {
	net.Listener
	gate *Gate
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if conn := l.gate.Admit(c); conn != nil {
			return conn, nil
		}
	}
}
