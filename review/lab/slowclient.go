package lab

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// Upload is a plain request whose body the client sends at the rate of its own link.
type Upload struct {
	ID, Path string
	Deadline time.Duration
	// WorkMs is how long its server works on it.
	WorkMs int
	// Pieces of PieceBytes each are sent PieceTime apart.
	Pieces, PieceBytes int
	PieceTime          time.Duration
}

// Conn is a client's connection to a gateway, which it keeps for many requests.
type Conn struct {
	Gateway *Gateway

	conn   net.Conn
	reader *bufio.Reader
	usedAt time.Time
}

// Connect opens a connection.
func Connect(g *Gateway) (*Conn, error) {
	c, err := net.DialTimeout("tcp", g.Callers, time.Second)
	if err != nil {
		return nil, err
	}
	return &Conn{Gateway: g, conn: c, reader: bufio.NewReader(c), usedAt: time.Now()}, nil
}

// Close closes the connection.
func (c *Conn) Close() { c.conn.Close() }

// IdleFor returns for how long the connection has not been used.
func (c *Conn) IdleFor() time.Duration { return time.Since(c.usedAt) }

// Send sends a request and reads its answer. whole says that all bytes of the request were sent, keep that the
// connection can be used again.
func (c *Conn) Send(u Upload) (a Answer, whole, keep bool) {
	defer func() { c.usedAt = time.Now() }()
	first := fmt.Sprintf("work=%d\n", u.WorkMs)
	head := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\nX-Api-Key: %s\r\nX-Kingcupplank-Attempt-Id: %s\r\nX-Kingcupplank-Deadline-Ms: %d\r\nContent-Length: %d\r\n\r\n%s",
		u.Path, Host, Key, u.ID, u.Deadline.Milliseconds(), len(first)+u.Pieces*u.PieceBytes, first)
	if _, err := io.WriteString(c.conn, head); err != nil {
		return Answer{Err: err}, false, false
	}
	piece := strings.Repeat("x", u.PieceBytes)
	for range u.Pieces {
		time.Sleep(u.PieceTime)
		if _, err := io.WriteString(c.conn, piece); err != nil {
			return Answer{Err: err}, false, false
		}
	}
	c.conn.SetReadDeadline(time.Now().Add(u.Deadline))
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: http.MethodPost})
	if err != nil {
		return Answer{Err: err}, true, false
	}
	a = Answer{Status: resp.StatusCode, Seal: resp.Header.Get("X-Kingcupplank-Response-Seal")}
	a.Body, a.Err = io.ReadAll(resp.Body)
	a.Whole = a.Err == nil
	return a, true, a.Whole && !resp.Close
}
