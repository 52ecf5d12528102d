package mux

import (
	"io"
	"net"
	"time"

	"github.com/hashicorp/yamux"
)

const (
	acceptBacklog = 1024
	// A dead peer is noticed by its missing heartbeats before the keepalive;
	// the keepalive closes sessions that nothing watches.
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

// Client makes a session of a connection that this side has dialed.
func Client(conn net.Conn) (*yamux.Session, error) {
	return yamux.Client(&coalescingConn{Conn: conn}, yamuxConfig())
}

// Server makes a session of a connection that this side has accepted.
func Server(conn net.Conn) (*yamux.Session, error) {
	return yamux.Server(&coalescingConn{Conn: conn}, yamuxConfig())
}
