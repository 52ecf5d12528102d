// Package wire is the protocol between entries and agents: protobuf frames on
// yamux streams. Each stream begins with an Open frame from the dialing side; the
// accepting side answers with Reply frames.
package wire

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"kingcupplank.example/kingcup/failure"
	"kingcupplank.example/kingcup/internal/mux"
	innerv1 "kingcupplank.example/kingcup/proto/kingcup/inner/v1"
)

// Network is how a process reaches its peers. Tests give one in memory.
type Network interface {
	Listen(address string) (net.Listener, error)
	Dial(ctx context.Context, address string) (net.Conn, error)
}

// TCP is the Network of production.
type TCP struct{}

// Listen implements Network.
func (TCP) Listen(address string) (net.Listener, error) {
	return net.Listen("tcp", address)
}

// Dial implements Network.
func (TCP) Dial(ctx context.Context, address string) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp", address)
}

const openTimeout = 5 * time.Second

// ProtocolVersion is the version in every Open; a peer with another one is refused.
const ProtocolVersion = 1

// ErrProtocolVersion is the refusal of a peer with another version.
var ErrProtocolVersion = errors.New("peer speaks another protocol version")

// Identity is what a process says of itself in every Open.
type Identity struct {
	Name          string
	FailureDomain string
}

// Session is one connection to a peer that carries many streams. It is safe
// for concurrent use.
type Session struct {
	id  Identity
	mux *yamux.Session
}

// Dial connects to the peer at address.
func Dial(ctx context.Context, network Network, address string, id Identity) (*Session, error) {
	conn, err := network.Dial(ctx, address)
	if err != nil {
		return nil, errors.Wrapf(err, "dial %s", address)
	}
	session, err := mux.Client(conn)
	if err != nil {
		conn.Close()
		return nil, errors.Wrap(err, "yamux client")
	}
	return &Session{id: id, mux: session}, nil
}

// Close ends the session and all its streams.
func (s *Session) Close() error {
	return s.mux.Close()
}

// Closed is closed when the session has ended.
func (s *Session) Closed() <-chan struct{} {
	return s.mux.CloseChan()
}

// Open starts a stream with open as its first frame. If sent is false the peer
// got nothing of it.
func (s *Session) Open(open *innerv1.Open) (st *Stream, sent bool, err error) {
	conn, err := s.mux.OpenStream()
	if err != nil {
		return nil, false, errors.Wrap(err, "open stream")
	}
	open.Protocol = ProtocolVersion
	open.Peer = s.id.Name
	open.FailureDomain = s.id.FailureDomain
	st = newStream(conn)
	if err := st.Send(open); err != nil {
		conn.Close()
		return nil, true, errors.Wrap(err, "send open")
	}
	return st, true, nil
}

// Stream is one exchange with a peer. One goroutine may read while others
// write.
type Stream struct {
	conn *yamux.Stream
	in   *mux.FrameReader
	// writing serializes frames.
	writing sync.Mutex

	// silence is how long RecvWithin waits for the next bytes, in nanoseconds; 0 is
	// without end.
	silence atomic.Int64

	mu     sync.Mutex
	closed bool
}

func newStream(conn *yamux.Stream) *Stream {
	st := &Stream{conn: conn}
	st.in = mux.NewFrameReader(watched{st})
	return st
}

// watched moves a stream's read deadline on before each read.
type watched struct{ *Stream }

// Read implements io.Reader.
func (w watched) Read(p []byte) (int, error) {
	if d := time.Duration(w.silence.Load()); d > 0 {
		w.SetReadDeadline(time.Now().Add(d))
	}
	return w.conn.Read(p)
}

// Close ends the stream and unblocks its reader.
func (s *Stream) Close() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return nil
	}
	s.closed = true
	// A yamux stream that only this side has closed still blocks its reader
	// until the peer closes too, which a dead peer does after minutes; the
	// deadline in the past ends the read at once.
	s.conn.SetReadDeadline(time.Unix(1, 0))
	return s.conn.Close()
}

// Send writes one frame.
func (s *Stream) Send(msg proto.Message) error {
	s.writing.Lock()
	defer s.writing.Unlock()
	return mux.WriteFrame(s.conn, msg)
}

// Recv reads one frame into msg.
func (s *Stream) Recv(msg proto.Message) error {
	return s.in.Read(msg)
}

// RecvWithIdleTimeout reads one frame into msg and gives up when nothing has come in for silence.
// A frame may be a whole configuration: a bound on its time would be one on its size, and
// over a thin link each try would be given up midway and begun anew.
func (s *Stream) RecvWithIdleTimeout(msg proto.Message, silence time.Duration) error {
	s.silence.Store(int64(silence))
	defer s.silence.Store(0)
	return s.in.Read(msg)
}

// SendFailure sends err as the stream's answer.
func (s *Stream) SendFailure(err error) error {
	return s.Send(&innerv1.Reply{Kind: &innerv1.Reply_Failure{Failure: failure.FromError(err).Proto()}})
}

// SetReadDeadline bounds reads; the zero time removes the bound. It does
// nothing once the stream is closed.
func (s *Stream) SetReadDeadline(t time.Time) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return nil
	}
	return s.conn.SetReadDeadline(t)
}

// CloseOnDone closes the stream when ctx ends, which unblocks its reader. The
// returned function releases the hook.
func (s *Stream) CloseOnDone(ctx context.Context) (release func() bool) {
	return context.AfterFunc(ctx, func() { s.Close() })
}
