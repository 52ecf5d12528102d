package mux

import (
	"encoding/binary"
	"net"
)

// The header of a yamux frame, by its specification.
const (
	yamuxHeaderLen    = 12
	yamuxTypeOffset   = 1
	yamuxLengthOffset = 8
	yamuxTypeData     = 0
)

// coalescingConn joins the header of a data frame with its body. yamux writes them one
// after the other, and on a connection without delay each becomes a segment of
// its own: a heartbeat then costs two system calls and two TCP/IP headers for
// some fifty bytes.
//
// yamux writes from one goroutine, so coalescingConn has no lock.
type coalescingConn struct {
	net.Conn
	pendingHeader []byte
}

// Write implements net.Conn.
func (c *coalescingConn) Write(p []byte) (int, error) {
	if len(c.pendingHeader) == 0 && len(p) == yamuxHeaderLen && p[yamuxTypeOffset] == yamuxTypeData && binary.BigEndian.Uint32(p[yamuxLengthOffset:]) > 0 {
		c.pendingHeader = append(c.pendingHeader, p...)
		return len(p), nil
	}
	if len(c.pendingHeader) == 0 {
		return c.Conn.Write(p)
	}
	held := len(c.pendingHeader)
	c.pendingHeader = append(c.pendingHeader, p...)
	n, err := c.Conn.Write(c.pendingHeader)
	c.pendingHeader = c.pendingHeader[:0]
	return max(0, n-held), err
}
