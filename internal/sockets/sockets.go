// Package sockets bounds the buffers of TCP sockets. The kernel lets a socket's buffers grow to megabytes while its peer
// does not read, or while this process does not. That memory is the VM's too.
package sockets

import (
	"context"
	"net"
	"syscall"
)

// Buffers bound the buffers of a socket, in bytes; 0 leaves a buffer to the kernel. A send buffer that is smaller than a
// segment waits for delayed acknowledgements.
type Buffers struct{ Receive, Send int }

// Control sets the bounds of a socket. It is a control function for net.Dialer and net.ListenConfig; accepted connections
// have the bounds of their listener.
func (b Buffers) Control(_, _ string, c syscall.RawConn) error {
	return c.Control(func(fd uintptr) {
		// Without the bounds the socket works all the same.
		if b.Receive > 0 {
			syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, b.Receive)
		}
		if b.Send > 0 {
			syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_SNDBUF, b.Send)
		}
	})
}

// Listen listens on a TCP address, whose connections have bounded buffers.
func Listen(address string, b Buffers) (net.Listener, error) {
	cfg := net.ListenConfig{Control: b.Control}
	return cfg.Listen(context.Background(), "tcp", address)
}

// GrowSendBuffer sets the size of a connection's send buffer in bytes if that is more than minGrown. The system may allow
// less.
func GrowSendBuffer(c net.Conn, size int) {
	sc, ok := c.(syscall.Conn)
	if !ok || size < minGrown {
		return
	}
	if raw, err := sc.SyscallConn(); err == nil {
		Buffers{Send: size}.Control("", "", raw)
	}
}

// minGrown is the least size to which a send buffer grows, in bytes.
const minGrown = 64 << 10
