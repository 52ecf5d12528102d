package mux

import (
	"encoding/binary"
	"net"
)

// The header of a yamux frame, by its specification.
const (
	muxHeaderLen = 12
	muxType      = 1
	muxLength    = 8
	muxTypeData  = 0
)

// corked joins the header of a data frame with its body. yamux writes them one
// after the other, and on a connection without delay each becomes a segment of
// its own: a heartbeat then costs two system calls and two TCP/IP headers for
// some fifty bytes.
//
// yamux writes from one goroutine, so corked has no lock.
type corked struct {
	net.Conn
	buf []byte
}

// Write implements net.Conn.
func (c *corked) Write(p []byte) (int, error) {
	if len(c.buf) == 0 && len(p) == muxHeaderLen && p[muxType] == muxTypeData && binary.BigEndian.Uint32(p[muxLength:]) > 0 {
		c.buf = append(c.buf, p...)
		return len(p), nil
	}
	if len(c.buf) == 0 {
		return c.Conn.Write(p)
	}
	held := len(c.buf)
	c.buf = append(c.buf, p...)
	n, err := c.Conn.Write(c.buf)
	c.buf = c.buf[:0]
	return max(0, n-held), err
}
