// Package sockets bounds the buffers of TCP sockets. The kernel lets a socket's buffers grow to megabytes while its peer
// does not read, or while this process does not. That memory is the VM's too.
package sockets

import (
	"context"
	"net"
	"syscall"
)

// LimitBuffers returns a control function for net.Dialer and net.ListenConfig that bounds each of the two buffers of a
// socket to a number of bytes. Accepted connections have the bounds of their listener.
func LimitBuffers(bytes int) func(network, address string, c syscall.RawConn) error {
	return func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) {
			// Without the bounds the socket works all the same.
			syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, bytes)
			syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_SNDBUF, bytes)
		})
	}
}

// Listen listens on a TCP address. The buffers of its connections are bounded to a number of bytes.
func Listen(address string, bytes int) (net.Listener, error) {
	cfg := net.ListenConfig{Control: LimitBuffers(bytes)}
	return cfg.Listen(context.Background(), "tcp", address)
}
