package mux

import (
	"io"
	"net"
	"time"

	"github.com/hashicorp/yamux"
)

const (
	acceptBacklog = 1024
	// Missing heartbeats reveal a dead peer before the keepalive does. The
	// keepalive closes sessions without heartbeats.
	keepAliveInterval = 10 * time.Second
	writeTimeout      = 2 * time.Second
)

func yamuxConfig() *yamux.Config {
	cfg := yamux.DefaultConfig()
	cfg.AcceptBacklog = acceptBacklog
	cfg.KeepAliveInterval = keepAliveInterval
	cfg.ConnectionWriteTimeout = writeTimeout
	cfg.LogOutput = io.Discard
	return cfg
}

// Client returns a session over a connection that this process has dialed.
func Client(conn net.Conn) (*yamux.Session, error) {
	return yamux.Client(&coalescingConn{Conn: conn}, yamuxConfig())
}

// Server returns a session over a connection that this process has accepted.
func Server(conn net.Conn) (*yamux.Session, error) {
	return yamux.Server(&coalescingConn{Conn: conn}, yamuxConfig())
}
