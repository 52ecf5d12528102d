// Package netmeter counts the bytes that a process exchanges with each kind of counterpart, as they use the
// link of its VM.
package netmeter

import (
	"context"
	"net"
	"sync/atomic"
	"syscall"

	"github.com/pkg/errors"
)

// Counterpart is the kind of process at the other end of a connection.
type Counterpart string

// The counterparts.
const (
	Callers Counterpart = "callers"
	Servers Counterpart = "servers"
	Peers   Counterpart = "peers"
	Store   Counterpart = "store"
)

// Counterparts lists all counterparts.
var Counterparts = []Counterpart{Callers, Servers, Peers, Store}

const (
	// segmentBytes is the payload of a full TCP segment on Ethernet.
	segmentBytes = 1448
	// segmentOverhead is the size of a segment's IPv4 and TCP headers with timestamps, in bytes.
	segmentOverhead = 52
)

// Bytes are the bytes sent and received since the start of the process, with the headers of segments.
type Bytes struct{ Sent, Received uint64 }

type counter struct{ sent, received atomic.Uint64 }

// Meter counts the bytes of connections. It is safe for concurrent use.
type Meter struct {
	counters map[Counterpart]*counter
	// wrap wraps each connection below the counting, nil for none.
	wrap func(net.Conn, Counterpart) net.Conn
}

// New returns a meter. wrap, which may be nil, wraps each connection, for example to simulate a slow link.
func New(wrap func(net.Conn, Counterpart) net.Conn) *Meter {
	m := &Meter{counters: make(map[Counterpart]*counter), wrap: wrap}
	for _, with := range Counterparts {
		m.counters[with] = &counter{}
	}
	return m
}

// Bytes returns the bytes exchanged with a counterpart.
func (m *Meter) Bytes(with Counterpart) Bytes {
	c := m.counters[with]
	return Bytes{Sent: c.sent.Load(), Received: c.received.Load()}
}

// Total returns the bytes exchanged with all counterparts.
func (m *Meter) Total() (sum Bytes) {
	for _, with := range Counterparts {
		b := m.Bytes(with)
		sum.Sent += b.Sent
		sum.Received += b.Received
	}
	return sum
}

// Conn returns a connection that counts the bytes of c. m may be nil, which counts nothing.
func (m *Meter) Conn(c net.Conn, with Counterpart) net.Conn {
	if m == nil {
		return c
	}
	if m.wrap != nil {
		c = m.wrap(c, with)
	}
	return &conn{Conn: c, counter: m.counters[with]}
}

// DialFunc dials a connection, as net.Dialer.DialContext does.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Dial returns a function that dials as dial does and counts the bytes of the connections. m may be nil.
func (m *Meter) Dial(dial DialFunc, with Counterpart) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return m.Conn(c, with), nil
	}
}

// Listener returns a listener whose connections are counted. m may be nil.
func (m *Meter) Listener(l net.Listener, with Counterpart) net.Listener {
	return &listener{Listener: l, meter: m, with: with}
}

type listener struct {
	net.Listener
	meter *Meter
	with  Counterpart
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.meter.Conn(c, l.with), nil
}

type conn struct {
	net.Conn
	counter *counter
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.counter.received.Add(linkBytes(n))
	return n, err
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.counter.sent.Add(linkBytes(n))
	return n, err
}

var errNoDescriptor = errors.New("connection has no descriptor")

// SyscallConn implements syscall.Conn.
func (c *conn) SyscallConn() (syscall.RawConn, error) {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errNoDescriptor
	}
	return sc.SyscallConn()
}

// linkBytes returns how many bytes n bytes of payload take on a link, if they are sent at once.
func linkBytes(n int) uint64 {
	if n <= 0 {
		return 0
	}
	segments := (n + segmentBytes - 1) / segmentBytes
	return uint64(n + segments*segmentOverhead)
}
