package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"kingcupplank.example/kingcup/internal/standin/fleet"
)

// unframedHead begins a response that has neither a length nor chunks and ends with its connection.
func unframedHead(r *http.Request, contentType string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Kingcupplank-Attempt-Id: %s\r\nX-Kingcupplank-Response-Seal: s\r\nContent-Type: %s\r\n\r\n", r.Header.Get("X-Kingcupplank-Attempt-Id"), contentType)
}

// Guards against answers that end with their connection being taken for broken, cut short, or their
// connection being used again.
func TestAnswersThatEndWithTheirConnectionAreWhole(t *testing.T) {
	for name, size := range map[string]int{"empty": 0, "short": 100, "long": 300 << 10} {
		t.Run(name, func(t *testing.T) {
			s := newSystem(t)
			body := strings.Repeat("0123456789", size/10)
			s.server(fleet.DeskService, fleet.Behavior{Raw: func(c net.Conn, r *http.Request) { io.WriteString(c, unframedHead(r, "text/plain")+body) }})
			n := s.gateway("vm-1")
			n.eventually(func() bool { return n.registry.CountReady(fleet.DeskService) == 1 }, "listed")
			for range 3 {
				got := n.do(plain(fleet.OncePath))
				require.NoError(t, got.err)
				require.Equal(t, http.StatusOK, got.status)
				require.Equal(t, "s", got.header.Get("X-Kingcupplank-Response-Seal"))
				require.Equal(t, body, got.body)
			}
		})
	}
	t.Run("stream", func(t *testing.T) {
		s := newSystem(t)
		s.server(fleet.ModelService, fleet.Behavior{Raw: func(c net.Conn, r *http.Request) {
			io.WriteString(c, unframedHead(r, "text/event-stream")+eventsText(1, 5))
		}})
		n := s.gateway("vm-1")
		n.eventually(func() bool { return n.registry.CountReady(fleet.ModelService) == 1 }, "listed")
		for _, path := range []string{fleet.PlanPath, fleet.CheckPath} {
			got := n.do(generation(path))
			require.NoError(t, got.err)
			require.Equal(t, eventsText(1, 5), got.body)
		}
	})
}

// breakingServer starts a server that sends a part of an unframed answer, once; what follows ends it. Later
// requests get the rest.
func (s *system) breakingServer(service, contentType, part, rest string, end func(srv *fleet.Server, c net.Conn)) {
	var once sync.Once
	var srv *fleet.Server
	srv = s.server(service, fleet.Behavior{Raw: func(c net.Conn, r *http.Request) {
		isFirst := false
		once.Do(func() { isFirst = true })
		if !isFirst {
			io.WriteString(c, unframedHead(r, contentType)+rest)
			return
		}
		io.WriteString(c, unframedHead(r, contentType)+part)
		time.Sleep(50 * time.Millisecond)
		end(srv, c)
	}})
}

// dyingServer announces a server whose connections are closed with its process in the middle of an answer, and its
// listener a while after them.
func (s *system) dyingServer(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s.fleet.Store.Put("servers", "i-dying", map[string]any{
		"service": fleet.ModelService, "address": l.Addr().String(), "zone": "zone-1", "version": fleet.DefaultSoftwareVersion, "slots": 8, "state": "ready", "coldRemainingMs": 0, "sequence": 1,
	})
	go func() {
		var dead atomic.Bool
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				r, err := http.ReadRequest(bufio.NewReader(c))
				if err != nil || dead.Load() {
					return
				}
				io.WriteString(c, unframedHead(r, "text/event-stream")+eventsText(1, 2))
				time.Sleep(50 * time.Millisecond)
				dead.Store(true)
				time.AfterFunc(100*time.Millisecond, func() { l.Close() })
			}()
		}
	}()
}

// Guards against an answer that ends with its connection being taken for whole although it broke off: inside an
// event, by a reset, or as its server crashed.
func TestAnswersThatBreakOffWithTheirConnectionAreNotWhole(t *testing.T) {
	crash := func(srv *fleet.Server, _ net.Conn) { srv.Kill() }
	for name, c := range map[string]struct {
		part string
		end  func(srv *fleet.Server, c net.Conn)
	}{
		"inside an event":  {eventsText(1, 2) + "id: 3\nda", func(*fleet.Server, net.Conn) {}},
		"reset":            {eventsText(1, 2), func(_ *fleet.Server, c net.Conn) { c.(*net.TCPConn).SetLinger(0) }},
		"crash of servers": {eventsText(1, 2), crash},
		"end of a leaving server": {eventsText(1, 2), func(srv *fleet.Server, _ net.Conn) {
			srv.StartDraining(true)
			time.Sleep(100 * time.Millisecond)
			srv.Kill()
		}},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSystem(t)
			s.breakingServer(fleet.ModelService, "text/event-stream", c.part, eventsText(1, 5), c.end)
			n := s.gateway("vm-1")
			n.eventually(func() bool { return n.registry.CountReady(fleet.ModelService) == 1 }, "listed")
			s.server(fleet.ModelService, fleet.Behavior{Events: 5, Delay: 300 * time.Millisecond})
			n.eventually(func() bool { return n.registry.CountReady(fleet.ModelService) == 2 }, "listed")
			for range 4 {
				got := n.do(generation(fleet.CheckPath))
				require.NoError(t, got.err)
				require.Equal(t, eventsText(1, 5), got.body)
			}
		})
	}
	t.Run("connections close before the listener", func(t *testing.T) {
		s := newSystem(t)
		s.dyingServer(t)
		n := s.gateway("vm-1")
		n.eventually(func() bool { return n.registry.CountReady(fleet.ModelService) == 1 }, "listed")
		got := n.do(generation(fleet.PlanPath))
		require.Error(t, got.err, "two of five events: %q", got.body)
	})
	for name, size := range map[string]int{"short answer": 100, "long answer": 300 << 10} {
		t.Run(name, func(t *testing.T) {
			s := newSystem(t)
			s.breakingServer(fleet.DeskService, "text/plain", strings.Repeat("x", size), "", crash)
			n := s.gateway("vm-1")
			n.eventually(func() bool { return n.registry.CountReady(fleet.DeskService) == 1 }, "listed")
			got := n.do(plain(fleet.OncePath))
			require.True(t, got.err != nil || got.status == http.StatusBadGateway, "%d, %d bytes", got.status, len(got.body))
		})
	}
}
