package guard

import (
	"context"
	"net"
	"sync"

	"google.golang.org/grpc"
	"google.golang.org/grpc/stats"

	"kingcupplank.example/kingcup/intake"
)

const (
	// maxCallsPerConnection bounds the calls in progress on a connection.
	maxCallsPerConnection = 1000
	// callBytes is the memory of a call without its message, in bytes.
	callBytes = 8 << 10
	// frameOverhead is how much memory a byte takes that is read from a connection, as messages come in frames of any
	// length, each with a header that is read too.
	frameOverhead = 2
	// maxCallHeaderBytes bounds the header of a call.
	maxCallHeaderBytes = 16 << 10
)

// GRPC bounds the memory of a gRPC server's connections, calls and messages. What is read is charged to its connection
// until the message is complete, then the message until its call ends. A connection for which there is no room is closed.
type GRPC struct {
	gate *Gate
	// conns has the open connections by their remote address.
	conns sync.Map
}

// NewGRPC returns the bounds for a server that takes messages of up to maxMessage bytes.
func NewGRPC(l intake.Limits, maxMessage int64) *GRPC {
	if l.LargeBytes > 0 {
		l.LoneBytes = frameOverhead*maxMessage + intake.SmallBytes
	}
	return &GRPC{gate: New(l)}
}

// ServerOptions returns the options with which the server must be created.
func (g *GRPC) ServerOptions() []grpc.ServerOption {
	return []grpc.ServerOption{grpc.StatsHandler(g), grpc.MaxConcurrentStreams(maxCallsPerConnection), grpc.MaxHeaderListSize(maxCallHeaderBytes)}
}

// Listener returns the listener on which the server must serve.
func (g *GRPC) Listener(l net.Listener) net.Listener { return &grpcListener{Listener: l, grpc: g} }

type grpcListener struct {
	net.Listener
	grpc *GRPC
}

// Accept implements net.Listener.
func (l *grpcListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		conn := l.grpc.gate.Admit(c)
		if conn == nil {
			continue
		}
		conn.StopCounting()
		calls := &grpcConn{Conn: conn, grpc: l.grpc}
		l.grpc.conns.Store(c.RemoteAddr().String(), calls)
		return calls, nil
	}
}

// grpcConn is a connection with its calls.
type grpcConn struct {
	*Conn
	grpc *GRPC

	mu sync.Mutex
	// incoming is the number of calls whose message is not complete, active that of the others. kept are the bytes that
	// all of them hold for good.
	incoming, active int
	kept             int64
}

// Read implements net.Conn. While no call waits for its message, what is read needs no memory for long.
func (c *grpcConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	isIncoming := c.incoming > 0
	c.mu.Unlock()
	if isIncoming && n > 0 && !c.gate.charge(c.client, n, int64(frameOverhead*n)) {
		c.Close()
		return 0, errYielded
	}
	return n, err
}

// Close implements net.Conn.
func (c *grpcConn) Close() error {
	c.grpc.conns.CompareAndDelete(c.RemoteAddr().String(), c)
	return c.Conn.Close()
}

// change changes the calls of the connection and accounts for it.
func (c *grpcConn) change(incoming, active int, bytes int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.incoming, c.active, c.kept = c.incoming+incoming, c.active+active, c.kept+bytes
	switch {
	case bytes > 0 && !c.gate.Charge(c.client, bytes):
		go c.Close()
	case bytes < 0:
		c.gate.Release(c.client, -bytes)
	}
	if c.incoming == 0 {
		c.gate.SetHeld(c.client, c.kept)
	}
	c.gate.SetServing(c.client, c.active > 0)
}

// connKey and callKey are the keys of a connection and of a call in a context.
type (
	connKey struct{}
	callKey struct{}
)

// call is a call on a connection.
type call struct {
	conn *grpcConn
	// bytes are the bytes that it holds, hasMessage is set once its message is complete.
	bytes      int64
	hasMessage bool
}

// TagConn implements stats.Handler.
func (g *GRPC) TagConn(ctx context.Context, info *stats.ConnTagInfo) context.Context {
	c, _ := g.conns.Load(info.RemoteAddr.String())
	return context.WithValue(ctx, connKey{}, c)
}

// HandleConn implements stats.Handler.
func (g *GRPC) HandleConn(context.Context, stats.ConnStats) {}

// TagRPC implements stats.Handler.
func (g *GRPC) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context {
	conn, _ := ctx.Value(connKey{}).(*grpcConn)
	if conn == nil {
		return ctx
	}
	return context.WithValue(ctx, callKey{}, &call{conn: conn})
}

// HandleRPC implements stats.Handler.
func (g *GRPC) HandleRPC(ctx context.Context, event stats.RPCStats) {
	c, _ := ctx.Value(callKey{}).(*call)
	if c == nil {
		return
	}
	switch e := event.(type) {
	case *stats.Begin:
		c.bytes = callBytes
		c.conn.change(1, 0, callBytes)
	case *stats.InPayload:
		if !c.hasMessage {
			c.hasMessage = true
			// The message was charged with what was read; it stays as it is and decoded.
			c.bytes += int64(e.WireLength)
			c.conn.gate.Release(c.conn.client, int64(frameOverhead*e.WireLength))
			c.conn.change(-1, 1, int64(e.WireLength))
		}
	case *stats.End:
		if c.hasMessage {
			c.conn.change(0, -1, -c.bytes)
		} else {
			c.conn.change(-1, 0, -c.bytes)
		}
	}
}
