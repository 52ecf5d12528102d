// Package wire implements the inner protocol between entries and agents:
// protobuf frames on yamux streams. The dialing side starts each stream with an
// Open frame, and the accepting side sends Reply frames.
package wire

import (
	"context"
	"encoding/binary"
	"io"
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

// Network connects a process with its peers. Tests use an in-memory network.
type Network interface {
	Listen(address string) (net.Listener, error)
	Dial(ctx context.Context, address string) (net.Conn, error)
}

// TCP is the Network used in production.
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

// firstFrameTimeout bounds the wait for the Open frame of a new stream.
const firstFrameTimeout = 5 * time.Second

// ProtocolVersion is sent in every Open frame. Streams of another version are
// refused.
const ProtocolVersion = 1

// ErrProtocolVersion reports that a peer uses another protocol version.
var ErrProtocolVersion = errors.New("peer speaks another protocol version")

// Identity names a process. It is sent in every Open frame.
type Identity struct {
	Name          string
	FailureDomain string
}

// Session is a connection to a peer that carries many streams. It is safe for
// concurrent use.
type Session struct {
	identity Identity
	mux      *yamux.Session
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
	return &Session{identity: id, mux: session}, nil
}

// Close ends the session and all its streams.
func (s *Session) Close() error {
	return s.mux.Close()
}

// Closed returns a channel that is closed when the session ends.
func (s *Session) Closed() <-chan struct{} {
	return s.mux.CloseChan()
}

// Open opens a stream and sends open as its first frame. If sent is false, the
// peer certainly received no part of open.
func (s *Session) Open(open *innerv1.Open) (st *Stream, sent bool, err error) {
	conn, err := s.mux.OpenStream()
	if err != nil {
		return nil, false, errors.Wrap(err, "open stream")
	}
	open.Protocol = ProtocolVersion
	open.Peer = s.identity.Name
	open.FailureDomain = s.identity.FailureDomain
	st = newStream(conn)
	if err := st.Send(open); err != nil {
		conn.Close()
		return nil, true, errors.Wrap(err, "send open")
	}
	return st, true, nil
}

// Stream is one exchange of frames with a peer. One goroutine may read while
// others write.
type Stream struct {
	conn   *yamux.Stream
	reader *mux.FrameReader
	// writeMu serializes the writing of frames.
	writeMu sync.Mutex

	// maxFrameBytes bounds the frames that Recv reads, 0 for mux.MaxFrameBytes. charge, if not nil, is called with the
	// length of a frame before memory is allocated for it.
	maxFrameBytes uint32
	charge        func(bytes int64) error
	// header is the part of a frame's length that the reader has not read again, frameLeft the number of bytes behind it.
	header    []byte
	frameLeft int

	// idleTimeout bounds the time without received data, in nanoseconds, while
	// RecvWithIdleTimeout runs; 0 means no bound.
	idleTimeout atomic.Int64

	mu     sync.Mutex
	closed bool
}

func newStream(conn *yamux.Stream) *Stream {
	st := &Stream{conn: conn}
	st.reader = mux.NewFrameReader(idleTimeoutReader{st})
	return st
}

// idleTimeoutReader reads a stream's data. If the stream has an idle timeout, it
// extends the read deadline by it before each read.
type idleTimeoutReader struct{ *Stream }

// Read implements io.Reader.
func (r idleTimeoutReader) Read(p []byte) (int, error) {
	if len(r.header) > 0 {
		n := copy(p, r.header)
		r.Stream.header = r.header[n:]
		return n, nil
	}
	if timeout := time.Duration(r.idleTimeout.Load()); timeout > 0 {
		r.SetReadDeadline(time.Now().Add(timeout))
	}
	if r.maxFrameBytes > 0 {
		// Nothing is read ahead of the next checkFrame.
		p = p[:min(len(p), r.frameLeft)]
	}
	n, err := r.conn.Read(p)
	r.frameLeft -= n
	return n, err
}

// Close ends the stream and unblocks its reader.
func (s *Stream) Close() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return nil
	}
	s.closed = true
	// If only this side has closed a yamux stream, reads still block until the
	// peer closes it too, which takes minutes if the peer is dead. A deadline in
	// the past unblocks the reader at once.
	s.conn.SetReadDeadline(time.Unix(1, 0))
	return s.conn.Close()
}

// Send writes one frame.
func (s *Stream) Send(msg proto.Message) error {
	s.writeMu.Lock()
	defer s.writeMu.Unlock()
	return mux.WriteFrame(s.conn, msg)
}

// Recv reads one frame into msg. Errors: those of mux.FrameReader.
func (s *Stream) Recv(msg proto.Message) error {
	if s.maxFrameBytes > 0 {
		if err := s.checkFrame(); err != nil {
			return err
		}
	}
	return s.reader.Read(msg)
}

// checkFrame reads the length of the next frame and returns an error if there is no room for the frame.
func (s *Stream) checkFrame() error {
	header := make([]byte, frameLengthBytes)
	if _, err := io.ReadFull(s.conn, header); err != nil {
		return err
	}
	size := binary.BigEndian.Uint32(header)
	if size > s.maxFrameBytes {
		return errors.Wrapf(mux.ErrFrameTooLarge, "%d bytes announced", size)
	}
	if s.charge != nil {
		if err := s.charge(int64(size)); err != nil {
			return err
		}
	}
	s.header, s.frameLeft = header, int(size)
	return nil
}

// frameLengthBytes is the length of the length that precedes a frame.
const frameLengthBytes = 4

// RecvWithIdleTimeout reads one frame into msg. It fails with a timeout if no data
// arrives for idleTimeout. The total time is not bounded: a frame may contain a
// whole configuration, and over a link of low bandwidth every attempt would time
// out before the end and start again.
func (s *Stream) RecvWithIdleTimeout(msg proto.Message, idleTimeout time.Duration) error {
	s.idleTimeout.Store(int64(idleTimeout))
	defer s.idleTimeout.Store(0)
	return s.reader.Read(msg)
}

// SendFailure sends err to the peer as a Reply frame.
func (s *Stream) SendFailure(err error) error {
	return s.Send(&innerv1.Reply{Kind: &innerv1.Reply_Failure{Failure: failure.FromError(err).Proto()}})
}

// SetReadDeadline sets the deadline of reads; the zero time removes it. It does
// nothing if the stream is closed.
func (s *Stream) SetReadDeadline(t time.Time) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return nil
	}
	return s.conn.SetReadDeadline(t)
}

// SetWriteDeadline sets the deadline of writes.
func (s *Stream) SetWriteDeadline(t time.Time) error { return s.conn.SetWriteDeadline(t) }

// CloseOnDone closes the stream when ctx ends, which unblocks its reader. The
// returned function unregisters this, like that of context.AfterFunc.
func (s *Stream) CloseOnDone(ctx context.Context) (stop func() bool) {
	return context.AfterFunc(ctx, func() { s.Close() })
}
