package wire

import (
	"context"
	"io"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/pkg/errors"

	"kingcupplank.example/kingcup/failure"
	"kingcupplank.example/kingcup/intake"
	"kingcupplank.example/kingcup/internal/guard"
	"kingcupplank.example/kingcup/internal/mux"
	innerv1 "kingcupplank.example/kingcup/proto/kingcup/inner/v1"
	kingcupv1 "kingcupplank.example/kingcup/proto/kingcup/v1"
)

// Handler serves one stream, whose first frame is open. The stream is closed
// when the handler returns. ctx ends with the session.
type Handler func(ctx context.Context, open *innerv1.Open, st *Stream)

// Server accepts sessions and runs a Handler for each of their streams. It is
// safe for concurrent use.
type Server struct {
	listener net.Listener
	handler  Handler
	// conns holds the connections, streams the memory of their streams.
	conns, streams *guard.Gate

	mu       sync.Mutex
	closed   bool
	sessions map[*yamux.Session]struct{}
	wg       sync.WaitGroup
}

// NewServer returns a server that accepts connections from l, whose streams use memory within limits. Serve runs it.
func NewServer(l net.Listener, h Handler, limits intake.Limits) *Server {
	return &Server{
		listener: l, handler: h, sessions: make(map[*yamux.Session]struct{}),
		conns: guard.New(intake.Limits{Connections: limits.Connections}), streams: guard.New(intake.Limits{Bytes: limits.Bytes, LargeBytes: limits.LargeBytes}),
	}
}

// Serve accepts connections until the listener is closed.
func (s *Server) Serve() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		c := s.conns.Admit(conn)
		if c == nil {
			continue
		}
		c.StopCounting()
		session, err := mux.Server(c)
		if err != nil {
			c.Close()
			continue
		}
		if !s.addSession(session) {
			session.Close()
			return
		}
		go s.serveSession(session, c)
	}
}

// addSession registers a session. It returns false if the server is closed.
func (s *Server) addSession(session *yamux.Session) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.sessions[session] = struct{}{}
	s.wg.Add(1)
	return true
}

// serveSession runs the handlers of a session's streams until the session ends,
// and waits for them.
func (s *Server) serveSession(session *yamux.Session, c *guard.Conn) {
	defer s.wg.Done()
	ctx, cancel := context.WithCancel(context.Background())
	var streams sync.WaitGroup
	for {
		conn, err := session.AcceptStream()
		if err != nil {
			break
		}
		st := newStream(conn)
		client := s.streams.Open(func() { st.Close() })
		if client == nil {
			refuseStream(st)
			continue
		}
		streams.Go(func() {
			defer s.streams.Close(client)
			s.serveStream(ctx, session, st, c, client)
		})
	}
	cancel()
	session.Close()
	streams.Wait()
	s.mu.Lock()
	delete(s.sessions, session)
	s.mu.Unlock()
}

// refuseStream refuses a stream for which there is no memory.
func refuseStream(st *Stream) {
	st.SetWriteDeadline(time.Now().Add(firstFrameTimeout))
	st.SendFailure(noMemory())
	st.Close()
}

func noMemory() error {
	return failure.NotRun(kingcupv1.Reason_REASON_OVERLOADED, noMemoryRetryAfter, "no memory for the request")
}

const (
	// noMemoryRetryAfter is the retry time of a request for which there is no memory.
	noMemoryRetryAfter = time.Second
	// sessionLinger is how long a session stays open after a violation of the protocol, so that its peer gets the reason.
	sessionLinger = 100 * time.Millisecond
	// maxControlBytes bounds the frames that follow the first one of a stream.
	maxControlBytes = 4 << 10
	// decodedCopies is how many times a frame is in memory while its stream is served: as read and as decoded.
	decodedCopies = 2
)

// serveStream reads and checks the first frame of a stream and runs the handler. It closes the session of a peer whose
// further bytes would stay in the session's memory.
func (s *Server) serveStream(ctx context.Context, session *yamux.Session, st *Stream, c *guard.Conn, client *intake.Client) {
	defer st.Close()
	// Without this deadline, a peer that opens streams and sends nothing would
	// block one goroutine per stream.
	st.SetReadDeadline(time.Now().Add(firstFrameTimeout))
	hasRoom := true
	st.maxFrameBytes = mux.MaxFrameBytes
	st.charge = func(bytes int64) error {
		if hasRoom = s.streams.Charge(client, decodedCopies*bytes); hasRoom {
			return nil
		}
		if c.IsServing() {
			// The rest of the frame would stay in the session's memory.
			io.CopyN(io.Discard, st.conn, bytes)
		}
		return noMemory()
	}
	open := &innerv1.Open{}
	if err := st.Recv(open); err != nil {
		isViolation := errors.Is(err, mux.ErrFrameTooLarge) || errors.Is(err, mux.ErrMalformed)
		if hasRoom {
			err = failure.NotRun(kingcupv1.Reason_REASON_PROTOCOL, 0, "first frame: %v", err)
		}
		st.SendFailure(err)
		switch {
		case isViolation:
			time.AfterFunc(sessionLinger, func() { session.Close() })
		case !c.IsServing():
			session.Close()
		}
		return
	}
	st.SetReadDeadline(time.Time{})
	st.maxFrameBytes, st.charge = maxControlBytes, nil
	if open.GetProtocol() != ProtocolVersion {
		st.SendFailure(failure.NotRun(kingcupv1.Reason_REASON_PROTOCOL, 0, "%v: got %d, want %d", ErrProtocolVersion, open.GetProtocol(), ProtocolVersion))
		return
	}
	if !c.Complete() || !s.streams.Complete(client) {
		st.SendFailure(noMemory())
		return
	}
	if !hasControls(open) {
		go st.expectEnd(session)
	}
	s.handler(ctx, open, st)
}

// hasControls reports whether the peer may send Control frames on a stream, which its handler reads.
func hasControls(open *innerv1.Open) bool { return open.GetStart() != nil || open.GetAttach() != nil }

// expectEnd closes the session if the peer sends anything more on the stream, which would stay in the session's memory.
func (s *Stream) expectEnd(session *yamux.Session) {
	if n, _ := s.conn.Read(make([]byte, 1)); n > 0 {
		session.Close()
	}
}

// Close stops accepting connections, closes all sessions and waits for their
// handlers.
func (s *Server) Close() {
	s.listener.Close()
	s.mu.Lock()
	s.closed = true
	for session := range s.sessions {
		session.Close()
	}
	s.mu.Unlock()
	s.wg.Wait()
}
