package soak

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"kingcupplank.example/kingcup/internal/standin/fleet"
	"kingcupplank.example/kingcup/internal/wait"
)

const (
	// patience is how long a caller waits for the next bytes before it leaves.
	patience = 9 * time.Second
	// maxPlannedTries is how often a caller sends a request elsewhere after a promise.
	maxPlannedTries = 4
	meanEvents      = 100
	smallBuffer     = 4096
)

// Ways in which callers use connections.
const (
	wayFresh = iota
	wayKept
	waySilent
	waySlowBody
	waySlowReader
	wayCount
)

var wayNames = [wayCount]string{"new connection", "kept connection", "connection silent at first", "slow body", "slow reader"}

// outcome is what a caller saw of a request.
type outcome struct {
	id, path string
	gateway  *gateway
	way      int
	// dialed is when the connection was opened, begun and sent are when the request's first and last byte were
	// sent, ended when the caller saw the end.
	dialed, begun, sent, ended time.Time
	timeout                    time.Duration
	isStream                   bool
	status, bytes, bytesWanted int
	err                        error
	// left says that the caller gave up.
	left bool
	// wrong says how the body differs from the server's, empty if it does not.
	wrong string
}

// callerConn is a caller's connection.
type callerConn struct {
	net.Conn
	reader *bufio.Reader
	dialed time.Time
	// patience is how long a read waits for bytes.
	patience time.Duration
}

// Read implements io.Reader.
func (c *callerConn) Read(p []byte) (int, error) {
	c.SetReadDeadline(time.Now().Add(c.patience))
	return c.Conn.Read(p)
}

// plannedCaller sends one request after the other, elsewhere after a promise.
type plannedCaller struct {
	run     *plannedRun
	rng     *rand.Rand
	isPlain bool
	kept    map[*gateway]*callerConn
}

func (c *plannedCaller) upTo(d time.Duration) time.Duration {
	return time.Duration(c.rng.Int64N(int64(d)))
}

func (c *plannedCaller) play(ctx context.Context) {
	defer func() {
		for _, conn := range c.kept {
			conn.Close()
		}
	}()
	for wait.For(ctx, c.upTo(300*time.Millisecond)) {
		o, body := c.drawRequest()
		for range maxPlannedTries {
			o.id, o.gateway = fleet.NextID(), c.run.gateways[c.rng.IntN(len(c.run.gateways))]
			if c.try(ctx, &o, body) && !promises(o.status) || !wait.For(ctx, c.upTo(200*time.Millisecond)) {
				break
			}
		}
	}
}

// drawRequest draws a request and the body that its response must have; empty for that of a plain one.
func (c *plannedCaller) drawRequest() (o outcome, body string) {
	o = outcome{way: c.rng.IntN(wayCount), timeout: 1500 * time.Millisecond}
	if c.isPlain {
		o.path = shape{delayMs: c.rng.IntN(300)}.path([]string{fleet.OncePath, fleet.SafePath}[c.rng.IntN(2)])
		return o, ""
	}
	o.isStream = true
	h := shape{delayMs: 20 + c.rng.IntN(200), events: 3}
	prefix := fleet.CheckPath
	o.timeout = 6 * time.Second
	if c.rng.IntN(5) > 0 {
		prefix, o.timeout = fleet.PlanPath, 39*time.Second
		h.events = 1 + int(c.rng.ExpFloat64()*meanEvents)
		if c.rng.IntN(3) == 0 {
			h.pauseEvery, h.pauseMs = 20+c.rng.IntN(100), 300+c.rng.IntN(1700)
		}
		interval := plannedInterval
		if h.pauseEvery > 0 {
			interval += time.Duration(h.pauseMs/h.pauseEvery) * time.Millisecond
		}
		h.events = max(1, min(h.events, int(c.run.longest/interval)))
	}
	if o.way == waySlowReader {
		h.padding = 1000 + c.rng.IntN(3000)
	}
	if c.rng.IntN(6) == 0 {
		h.unframed = 1
	}
	o.path = h.path(prefix)
	var text strings.Builder
	for n := range h.events {
		text.WriteString(fleet.EventText(n+1, strings.Repeat("x", h.padding)))
	}
	return o, text.String()
}

// try sends a request and records its outcome. It returns false if the gateway takes no connection.
func (c *plannedCaller) try(ctx context.Context, o *outcome, want string) bool {
	conn := c.connect(o)
	if conn == nil {
		return false
	}
	if o.way == waySilent && !wait.For(ctx, c.upTo(2500*time.Millisecond)) {
		conn.Close()
		return false
	}
	o.status, o.bytes, o.err, o.left, o.wrong = 0, 0, nil, false, ""
	keep := c.exchange(conn, o, want)
	o.ended = time.Now()
	if keep && o.way != waySlowReader {
		if old := c.kept[o.gateway]; old != nil {
			old.Close()
		}
		c.kept[o.gateway] = conn
	} else {
		conn.Close()
	}
	c.run.outcomesMu.Lock()
	defer c.run.outcomesMu.Unlock()
	c.run.outcomes = append(c.run.outcomes, *o)
	return true
}

func (c *plannedCaller) connect(o *outcome) *callerConn {
	if kept := c.kept[o.gateway]; kept != nil && o.way == wayKept {
		delete(c.kept, o.gateway)
		if kept.isOpen() {
			o.dialed = kept.dialed
			return kept
		}
		kept.Close()
	}
	conn, err := net.DialTimeout("tcp", o.gateway.settings.Callers, time.Second)
	if err != nil {
		return nil
	}
	if o.way == waySlowReader {
		conn.(*net.TCPConn).SetReadBuffer(smallBuffer)
	}
	o.dialed = time.Now()
	opened := &callerConn{Conn: conn, dialed: o.dialed}
	opened.reader = bufio.NewReaderSize(opened, smallBuffer)
	return opened
}

// isOpen reports whether the gateway has not closed an idle connection.
func (c *callerConn) isOpen() bool {
	c.patience = time.Millisecond
	_, err := c.reader.Peek(1)
	return errors.Is(err, os.ErrDeadlineExceeded)
}

// exchange sends a request and reads its response. It reports whether the connection may be used again.
func (c *plannedCaller) exchange(conn *callerConn, o *outcome, want string) (keep bool) {
	const body = "a body of some length"
	maxOutput := 4 * (1 + strings.Count(want, "\n\n"))
	head := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\nX-Api-Key: %s\r\nX-Kingcupplank-Attempt-Id: %s\r\nX-Kingcupplank-Deadline-Ms: %d\r\nContent-Length: %d\r\n",
		o.path, fleet.Host, fleet.Key, o.id, o.timeout.Milliseconds(), len(body))
	if o.isStream {
		head += fmt.Sprintf("X-Kingcupplank-Model-Id: m\r\nX-Kingcupplank-Token-Usage: 100,%d\r\nX-Kingcupplank-Length-Hint: %d\r\n", maxOutput+c.rng.IntN(2*maxOutput), maxOutput/2+c.rng.IntN(2*maxOutput))
	}
	o.begun = time.Now()
	first, rest := head+"\r\n"+body, ""
	if o.way == waySlowBody {
		first, rest = head+"\r\n"+body[:5], body[5:]
	}
	io.WriteString(conn, first)
	if rest != "" {
		time.Sleep(c.upTo(2 * time.Second))
		io.WriteString(conn, rest)
	}
	o.sent = time.Now()
	keep, o.err = c.read(conn, o, want)
	o.left = errors.Is(o.err, os.ErrDeadlineExceeded)
	return keep && o.err == nil
}

func (c *plannedCaller) read(conn *callerConn, o *outcome, want string) (keep bool, err error) {
	conn.patience = patience
	resp, err := http.ReadResponse(conn.reader, &http.Request{Method: http.MethodPost})
	if err != nil {
		return false, err
	}
	defer resp.Body.Close()
	o.status, o.bytesWanted = resp.StatusCode, len(want)
	var got bytes.Buffer
	for paused := time.Duration(0); err == nil; {
		if o.way == waySlowReader && paused < c.run.longest && c.rng.IntN(40) == 0 {
			pause := 500*time.Millisecond + c.upTo(2500*time.Millisecond)
			paused += pause
			time.Sleep(pause)
		}
		_, err = io.CopyN(&got, resp.Body, smallBuffer)
	}
	o.bytes = got.Len()
	if err == io.EOF {
		err = nil
	}
	if o.status == http.StatusOK && o.isStream && (!strings.HasPrefix(want, got.String()) || err == nil && got.Len() < len(want)) {
		o.wrong = fmt.Sprintf("%d bytes, %d wanted, ends with %q", got.Len(), len(want), got.String()[max(0, got.Len()-80):])
	}
	return !resp.Close, err
}
