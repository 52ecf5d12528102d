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
	keepAlive    = 10 * time.Second
	writeTimeout = 2 * time.Second
)

func config() *yamux.Config {
	cfg := yamux.DefaultConfig()
	cfg.AcceptBacklog = acceptBacklog
	cfg.KeepAliveInterval = keepAlive
	cfg.ConnectionWriteTimeout = writeTimeout
	cfg.LogOutput = io.Discard
	return cfg
}

// Client makes a session of a connection that this side has dialed.
func Client(conn net.Conn) (*yamux.Session, error) {
	return yamux.Client(&corked{Conn: conn}, config())
}

// Server makes a session of a connection that this side has accepted.
func Server(conn net.Conn) (*yamux.Session, error) {
	return yamux.Server(&corked{Conn: conn}, config())
}
