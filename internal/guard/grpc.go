package guard

import (
	"context"
	"net"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/stats"
	"google.golang.org/protobuf/proto"

	"kingcupplank.example/kingcup/failure"
	"kingcupplank.example/kingcup/intake"
	"kingcupplank.example/kingcup/internal/wait"
	kingcupv1 "kingcupplank.example/kingcup/proto/kingcup/v1"
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
// until the message is complete, then the message until its call ends, and an answer until it has been written. A connection
// for which there is no room is closed, an answer for which there is none waits.
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
	return []grpc.ServerOption{
		grpc.StatsHandler(g), grpc.ChainUnaryInterceptor(awaitAnswerRoom),
		grpc.MaxConcurrentStreams(maxCallsPerConnection), grpc.MaxHeaderListSize(maxCallHeaderBytes),
	}
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
		calls := &grpcConn{Conn: conn, grpc: l.grpc, open: make(map[uint32]struct{}), in: frameScanner{skip: prefaceBytes}}
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
	// all of them hold for good, unwritten of which are answers that have not been written. answered are the active ones
	// that have added theirs, waiting those that have no room for theirs.
	incoming, active, answered, waiting int
	kept, unwritten                     int64
	// open has the streams whose answers have not been written to their end, newest is the last that was opened.
	open   map[uint32]struct{}
	newest uint32

	// in and out are used by the transport's reader and writer.
	in, out frameScanner
}

// Read implements net.Conn. While no call waits for its message, what is read needs no memory for long.
func (c *grpcConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	isIncoming := c.incoming > 0
	c.in.scan(p[:n], c.noteReceived)
	c.mu.Unlock()
	if isIncoming && n > 0 && !c.gate.charge(c.client, n, int64(frameOverhead*n)) {
		c.Close()
		return 0, errYielded
	}
	return n, err
}

// Write implements net.Conn.
func (c *grpcConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	written := 0
	c.out.scan(p[:n], func(f frame) {
		if f.kind == frameData {
			written += f.length
		}
		if f.kind == frameReset || f.flags&flagEndStream != 0 && (f.kind == frameData || f.kind == frameHeaders) {
			delete(c.open, f.stream)
		}
	})
	if written > 0 {
		// A client that reads is not slow.
		c.gate.Receive(c.client, written)
		c.dropUnwritten(int64(written))
	}
	c.checkWritten()
	return n, err
}

// noteReceived records a frame from the client; mu is held.
func (c *grpcConn) noteReceived(f frame) {
	switch {
	case f.kind == frameHeaders && f.stream > c.newest:
		c.newest = f.stream
		c.open[f.stream] = struct{}{}
	case f.kind == frameReset:
		delete(c.open, f.stream)
	}
}

// dropUnwritten records that up to n bytes of answers have been written, or will not be; mu is held.
func (c *grpcConn) dropUnwritten(n int64) {
	n = min(n, c.unwritten)
	c.unwritten -= n
	c.kept -= n
	c.gate.Release(c.client, n)
}

// checkWritten forgets the answers of streams that were reset, once no stream is open but those of calls without an answer;
// mu is held.
func (c *grpcConn) checkWritten() {
	if len(c.open) <= c.incoming+c.active-c.answered {
		c.dropUnwritten(c.unwritten)
	}
}

// addAnswer charges the n bytes of a call's answer. It returns false if there is no room.
func (c *grpcConn) addAnswer(of *call, n int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.gate.Charge(c.client, n) {
		return false
	}
	of.hasAnswer = true
	c.answered++
	c.unwritten += n
	c.kept += n
	return true
}

// count changes the numbers of calls with a charged answer and of those whose answers wait for room.
func (c *grpcConn) count(answered, waiting int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answered, c.waiting = c.answered+answered, c.waiting+waiting
	c.updateServing()
}

const (
	// answerRoomPoll is how often an answer that waits looks for room, answerRoomTimeout for how long it does.
	answerRoomPoll, answerRoomTimeout = 20 * time.Millisecond, 10 * time.Second
)

// awaitAnswerRoom holds an answer until there is room for it.
func awaitAnswerRoom(ctx context.Context, req any, _ *grpc.UnaryServerInfo, handler grpc.UnaryHandler) (any, error) {
	answer, err := handler(ctx, req)
	c, _ := ctx.Value(callKey{}).(*call)
	m, isMessage := answer.(proto.Message)
	if err != nil || c == nil || !isMessage {
		return answer, err
	}
	size := int64(proto.Size(m))
	if c.conn.addAnswer(c, size) {
		return answer, nil
	}
	c.conn.count(0, 1)
	defer c.conn.count(0, -1)
	for deadline := time.Now().Add(answerRoomTimeout); !c.conn.addAnswer(c, size); {
		if time.Now().After(deadline) || !wait.For(ctx, answerRoomPoll) {
			return nil, failure.Unknown(kingcupv1.Reason_REASON_OVERLOADED, time.Second, "no memory for the answer")
		}
	}
	return answer, nil
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
	c.updateServing()
	c.checkWritten()
}

// updateServing lets the connection yield if it has no call in progress, or only answers that wait for room behind others
// that are not read; mu is held.
func (c *grpcConn) updateServing() {
	c.gate.SetServing(c.client, c.active > c.waiting || c.active > 0 && c.unwritten == 0)
}

// connKey and callKey are the keys of a connection and of a call in a context.
type (
	connKey struct{}
	callKey struct{}
)

// call is a call on a connection.
type call struct {
	conn *grpcConn
	// bytes are the bytes that it holds, hasMessage is set once its message is complete, hasAnswer once its answer is charged.
	bytes                 int64
	hasMessage, hasAnswer bool
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
		if c.hasAnswer {
			c.conn.count(-1, 0)
		}
		if c.hasMessage {
			c.conn.change(0, -1, -c.bytes)
		} else {
			c.conn.change(-1, 0, -c.bytes)
		}
	}
}
