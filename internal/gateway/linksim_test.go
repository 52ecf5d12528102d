package gateway

import (
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"kingcupplank.example/kingcup/internal/netmeter"
	"kingcupplank.example/kingcup/internal/standin"
)

// simulatedLink is the link of a VM: all connections of a gateway share its bandwidth in each direction.
type simulatedLink struct{ sent, received *standin.Link }

func newSimulatedLink(mbps float64) *simulatedLink {
	return &simulatedLink{standin.NewLink(mbps), standin.NewLink(mbps)}
}

// wrap is for Options.WrapConn.
func (l *simulatedLink) wrap(c net.Conn, _ netmeter.Counterpart) net.Conn {
	s := &linkedConn{Conn: c, link: l}
	s.changed = sync.NewCond(&s.mu)
	go s.transmit()
	return s
}

const (
	// socketBuffer is how many written bytes a socket holds until the link takes them.
	socketBuffer = 64 << 10
	// headerBytes is the size of a segment's headers.
	headerBytes = 52
)

// linkedConn is a connection on a simulatedLink. Written bytes wait in the socket's buffer for their turn on
// the link.
type linkedConn struct {
	net.Conn
	link *simulatedLink

	mu       sync.Mutex
	changed  *sync.Cond
	queue    [][]byte
	buffered int
	isClosed bool
	failed   error
	deadline time.Time
}

func (c *linkedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.link.received.Transfer(n + headerBytes)
	}
	return n, err
}

func (c *linkedConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.buffered > 0 && c.buffered+len(p) > socketBuffer && !c.isClosed && c.failed == nil {
		if !c.deadline.IsZero() && !time.Now().Before(c.deadline) {
			return 0, os.ErrDeadlineExceeded
		}
		c.changed.Wait()
	}
	switch {
	case c.isClosed:
		return 0, net.ErrClosed
	case c.failed != nil:
		return 0, c.failed
	}
	c.queue, c.buffered = append(c.queue, append([]byte(nil), p...)), c.buffered+len(p)
	c.changed.Broadcast()
	return len(p), nil
}

func (c *linkedConn) SetWriteDeadline(t time.Time) error {
	c.mu.Lock()
	c.deadline = t
	c.mu.Unlock()
	if !t.IsZero() {
		time.AfterFunc(time.Until(t)+time.Millisecond, c.changed.Broadcast)
	}
	return nil
}

func (c *linkedConn) SetDeadline(t time.Time) error {
	c.SetWriteDeadline(t)
	return c.Conn.SetReadDeadline(t)
}

// Close closes the connection once its bytes are sent. Reads end at once.
func (c *linkedConn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.isClosed {
		c.isClosed = true
		c.changed.Broadcast()
		c.Conn.SetReadDeadline(time.Unix(1, 0))
	}
	return nil
}

func (c *linkedConn) transmit() {
	defer c.Conn.Close()
	for {
		c.mu.Lock()
		for len(c.queue) == 0 && !c.isClosed {
			c.changed.Wait()
		}
		if len(c.queue) == 0 {
			c.mu.Unlock()
			c.link.sent.Transfer(headerBytes)
			return
		}
		next := c.queue[0]
		c.queue = c.queue[1:]
		c.mu.Unlock()
		c.link.sent.Transfer(len(next) + headerBytes)
		_, err := c.Conn.Write(next)
		c.mu.Lock()
		c.buffered -= len(next)
		if err != nil {
			c.failed = err
		}
		c.changed.Broadcast()
		c.mu.Unlock()
	}
}

// SyscallConn implements syscall.Conn.
func (c *linkedConn) SyscallConn() (syscall.RawConn, error) {
	return c.Conn.(syscall.Conn).SyscallConn()
}
