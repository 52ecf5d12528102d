// Package framed makes HTTP clients accept only responses that have a length or chunks. Other responses end with
// their connection, which also ends if the server stops in the middle of one.
package framed

import (
	"io"
	"net"
)

type conn struct{ net.Conn }

// Conn returns a connection whose end is an error. It does not keep framed responses from being read to their end.
func Conn(c net.Conn) net.Conn { return conn{c} }

// Read implements net.Conn.
func (c conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err == io.EOF {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}
