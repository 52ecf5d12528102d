package fleet

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Trouble is how a server misbehaves. Shares are of its requests.
type Trouble struct {
	// RejectShare are rejected. After SecondAnswer, if not 0, a rejection is sent once more.
	RejectShare  float64
	SecondAnswer time.Duration
	// UnmarkedShare are run and answered with status 503, not marked as not run.
	UnmarkedShare float64
	// RejectStatus is the status of rejections, 503 if 0.
	RejectStatus int
	// AnswersAgain says that answers are sent a second time: rejections, answers to calls and whole plain ones.
	AnswersAgain Again
	// ReadsLate is the longest time for which the server waits before it reads what has arrived.
	ReadsLate time.Duration
	// CallsLate is the longest time for which answers to calls are late, half of them after they took effect.
	CallsLate time.Duration
	// NoStandby says that no standby copies arrive at the server.
	NoStandby bool
	// EndlessShare are answered with bytes without end, in a head or a body.
	EndlessShare float64
	// WorksOn says that the server goes on with a stream whose connection has closed.
	WorksOn bool
}

// Again is when the second copy of an answer is sent.
type Again struct {
	// Share is the share of answers that are sent again, at the latest after MaxDelay, and where the next answer on the
	// connection is expected if AtNext is set.
	Share    float64
	MaxDelay time.Duration
	AtNext   bool
	// Unnamed says that the copy names no request.
	Unnamed bool
}

// SetTrouble makes the server misbehave until recovered is called.
func (s *Server) SetTrouble(t Trouble) (recovered func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.behavior.Trouble = t
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.behavior.Trouble = Trouble{}
	}
}

// Ending is why a server stopped its work on a request.
type Ending string

// The endings.
const (
	EndComplete Ending = "complete"
	// EndTold: a call stopped the run.
	EndTold Ending = "told to stop"
	// EndClosed: the gateway closed the connection.
	EndClosed Ending = "connection closed"
	// EndBroken: the server stopped, crashed or hung.
	EndBroken Ending = "server broke off"
)

// Working is a time in which a server worked on a request.
type Working struct {
	ID       string
	From, To time.Time
	IsStream bool
	Ending   Ending
}

// Workings returns the times in which the server has worked on requests that are over there.
func (s *Server) Workings() []Working {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Working(nil), s.workings...)
}

func (s *Server) recordWorking(w *Working) {
	w.To = time.Now()
	if s.stopped.Load() && w.Ending == EndClosed {
		w.Ending = EndBroken
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.workings = append(s.workings, *w)
}

// streamContext returns the context that ends a stream's run.
func (b Behavior) streamContext(r *http.Request) context.Context {
	if b.Trouble.WorksOn {
		return context.WithoutCancel(r.Context())
	}
	return r.Context()
}

// gatewayConn is a connection of a gateway with the copy of an answer that is sent before the next one.
type gatewayConn struct {
	net.Conn
	mu   sync.Mutex
	late string
}

// sendLate sends the copy that is due.
func (c *gatewayConn) sendLate() {
	c.mu.Lock()
	late := c.late
	c.late = ""
	c.mu.Unlock()
	io.WriteString(c, late)
}

// connKey is the key of a request's gatewayConn in its context.
type connKey struct{}

func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, &gatewayConn{Conn: c})
}

func connOf(r *http.Request) *gatewayConn { return r.Context().Value(connKey{}).(*gatewayConn) }

// send sends the copy of an answer to a request, or to a call without an id.
func (a Again) send(r *http.Request, status int, fields, body string) {
	if rand.Float64() >= a.Share {
		return
	}
	if id := r.Header.Get("X-Kingcupplank-Attempt-Id"); id != "" && !a.Unnamed {
		fields = "X-Kingcupplank-Attempt-Id: " + id + "\r\n" + fields
	}
	answer := fmt.Sprintf("HTTP/1.1 %d %s\r\n%sContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), fields, len(body), body)
	c := connOf(r)
	if a.AtNext {
		c.mu.Lock()
		c.late = answer
		c.mu.Unlock()
		return
	}
	time.AfterFunc(time.Duration(rand.Int64N(int64(a.MaxDelay)+1)), func() { io.WriteString(c, answer) })
}

// readLate waits as a server that is late to read what has arrived.
func (t Trouble) readLate() {
	if t.ReadsLate > 0 {
		time.Sleep(time.Duration(rand.Int64N(int64(t.ReadsLate))))
	}
}

// callsLate waits as a server whose answer to a call is late, either before or after the call takes effect.
func (t Trouble) callsLate() (afterEffect func()) {
	if t.CallsLate <= 0 {
		return func() {}
	}
	late := func() { time.Sleep(time.Duration(rand.Int64N(int64(t.CallsLate)))) }
	if rand.IntN(2) == 0 {
		return late
	}
	late()
	return func() {}
}

// reject rejects a request as not executed.
func (b Behavior) reject(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("X-Kingcupplank-Not-Executed", "1")
	status := cmp.Or(b.Trouble.RejectStatus, http.StatusServiceUnavailable)
	w.WriteHeader(status)
	b.Trouble.AnswersAgain.send(r, status, "X-Kingcupplank-Not-Executed: 1\r\n", "")
	if b.Trouble.SecondAnswer > 0 {
		c := connOf(r)
		second := fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\nX-Kingcupplank-Attempt-Id: %s\r\nX-Kingcupplank-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", r.Header.Get("X-Kingcupplank-Attempt-Id"))
		time.AfterFunc(b.Trouble.SecondAnswer, func() { io.WriteString(c, second) })
	}
}

// answerWrongly answers a request that was executed wrongly, if it is one of the drawn ones.
func (t Trouble) answerWrongly(w http.ResponseWriter) bool {
	draw := rand.Float64()
	if draw < t.UnmarkedShare {
		w.WriteHeader(http.StatusServiceUnavailable)
		return true
	}
	if draw >= t.UnmarkedShare+t.EndlessShare {
		return false
	}
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return true
	}
	defer c.Close()
	head, text := "HTTP/1.1 500 Internal Server Error\r\n", "A: b\r\n"
	if rand.IntN(2) == 0 {
		head, text = head+"Transfer-Encoding: chunked\r\n\r\n", "1\r\na\r\n"
	}
	io.WriteString(c, head)
	for err == nil {
		_, err = io.WriteString(c, strings.Repeat(text, 20))
		time.Sleep(time.Millisecond)
	}
	return true
}
