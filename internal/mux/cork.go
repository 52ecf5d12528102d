package mux

import (
	"encoding/binary"
	"net"
)

// The layout of a yamux frame's header, by the yamux specification: its length
// and the offsets of its fields, in bytes, and the type of a data frame.
const (
	yamuxHeaderLen    = 12
	yamuxTypeOffset   = 1
	yamuxLengthOffset = 8
	yamuxTypeData     = 0
)

// coalescingConn writes the header and the body of a yamux data frame in one
// Write. yamux writes them separately. With TCP_NODELAY each would become a
// segment of its own, and a heartbeat of about fifty bytes would take two system
// calls and two TCP/IP headers.
//
// yamux writes from one goroutine, so coalescingConn has no lock.
type coalescingConn struct {
	net.Conn
	// pendingHeader is a header whose body has not been written yet. It is empty
	// if there is none.
	pendingHeader []byte
}

// Write implements net.Conn. It delays the header of a data frame with a body
// until the next call, which writes the body. It reports the header as written.
func (c *coalescingConn) Write(p []byte) (int, error) {
	if len(c.pendingHeader) == 0 && len(p) == yamuxHeaderLen && p[yamuxTypeOffset] == yamuxTypeData && binary.BigEndian.Uint32(p[yamuxLengthOffset:]) > 0 {
		c.pendingHeader = append(c.pendingHeader, p...)
		return len(p), nil
	}
	if len(c.pendingHeader) == 0 {
		return c.Conn.Write(p)
	}
	headerLen := len(c.pendingHeader)
	c.pendingHeader = append(c.pendingHeader, p...)
	n, err := c.Conn.Write(c.pendingHeader)
	c.pendingHeader = c.pendingHeader[:0]
	return max(0, n-headerLen), err
}
