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

// Handler answers one stream; the stream is closed when it returns. ctx ends
// with the session.
type Handler func(ctx context.Context, open *innerv1.Open, st *Stream)

// Server accepts sessions and hands their streams to a Handler.
type Server struct {
	listener net.Listener
	handle   Handler

	mu       sync.Mutex
	closed   bool
	sessions map[*yamux.Session]struct{}
	wg       sync.WaitGroup
}

// NewServer serves l with h until Close.
func NewServer(l net.Listener, h Handler) *Server {
	return &Server{listener: l, handle: h, sessions: make(map[*yamux.Session]struct{})}
}

// Serve accepts until the listener closes.
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
		if !s.add(session) {
			session.Close()
			return
		}
		go s.session(session)
	}
}

func (s *Server) add(session *yamux.Session) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.sessions[session] = struct{}{}
	s.wg.Add(1)
	return true
}

func (s *Server) session(session *yamux.Session) {
	defer s.wg.Done()
	ctx, cancel := context.WithCancel(context.Background())
	var streams sync.WaitGroup
	for {
		conn, err := session.AcceptStream()
		if err != nil {
			break
		}
		streams.Go(func() { s.stream(ctx, newStream(conn)) })
	}
	cancel()
	session.Close()
	streams.Wait()
	s.mu.Lock()
	delete(s.sessions, session)
	s.mu.Unlock()
}

func (s *Server) stream(ctx context.Context, st *Stream) {
	defer st.Close()
	// A peer that opens streams and sends nothing would hold a goroutine each.
	st.SetReadDeadline(time.Now().Add(openTimeout))
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
	s.handle(ctx, open, st)
}

// Close stops accepting, ends all sessions and waits for their handlers.
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
