package wire

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/yamux"

	"kingcupplank.example/kingcup/failure"
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

	mu       sync.Mutex
	closed   bool
	sessions map[*yamux.Session]struct{}
	wg       sync.WaitGroup
}

// NewServer returns a server that accepts connections from l. Serve runs it.
func NewServer(l net.Listener, h Handler) *Server {
	return &Server{listener: l, handler: h, sessions: make(map[*yamux.Session]struct{})}
}

// Serve accepts connections until the listener is closed.
func (s *Server) Serve() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		session, err := mux.Server(conn)
		if err != nil {
			conn.Close()
			continue
		}
		if !s.addSession(session) {
			session.Close()
			return
		}
		go s.serveSession(session)
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
func (s *Server) serveSession(session *yamux.Session) {
	defer s.wg.Done()
	ctx, cancel := context.WithCancel(context.Background())
	var streams sync.WaitGroup
	for {
		conn, err := session.AcceptStream()
		if err != nil {
			break
		}
		streams.Go(func() { s.serveStream(ctx, newStream(conn)) })
	}
	cancel()
	session.Close()
	streams.Wait()
	s.mu.Lock()
	delete(s.sessions, session)
	s.mu.Unlock()
}

// serveStream reads and checks the first frame of a stream and runs the handler.
func (s *Server) serveStream(ctx context.Context, st *Stream) {
	defer st.Close()
	// Without this deadline, a peer that opens streams and sends nothing would
	// block one goroutine per stream.
	st.SetReadDeadline(time.Now().Add(firstFrameTimeout))
	open := &innerv1.Open{}
	if err := st.Recv(open); err != nil {
		st.SendFailure(failure.NotRun(kingcupv1.Reason_REASON_PROTOCOL, 0, "first frame: %v", err))
		return
	}
	st.SetReadDeadline(time.Time{})
	if open.GetProtocol() != ProtocolVersion {
		st.SendFailure(failure.NotRun(kingcupv1.Reason_REASON_PROTOCOL, 0, "%v: got %d, want %d", ErrProtocolVersion, open.GetProtocol(), ProtocolVersion))
		return
	}
	s.handler(ctx, open, st)
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
