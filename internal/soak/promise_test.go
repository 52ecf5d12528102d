package soak

import (
	"bufio"
	"context"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"kingcupplank.example/kingcup/internal/standin/fleet"
)

var gatewayBinary = flag.String("soak.binary", "", "gateway's program to run in place of a build of this tree")

// arrival is a request as a scriptedEngine got it, and what became of it there. It is guarded by the engine's mu.
type arrival struct {
	id                string
	conn              int
	at, began, end    time.Time
	status            int
	isRejected, isRun bool
}

func (a arrival) String() string {
	since := func(t time.Time) string {
		if t.IsZero() {
			return "-"
		}
		return fmt.Sprintf("%.3f", t.Sub(a.at).Seconds())
	}
	return fmt.Sprintf("connection %d, ran %s end %s status %d, rejected %t", a.conn, since(a.began), since(a.end), a.status, a.isRejected)
}

// scriptedEngine is a model engine that answers by a script, on raw connections.
type scriptedEngine struct {
	id, address string
	// answer writes the answer to a request, call that to a call; calls counts the calls on the connection.
	answer func(e *engineConn, a *arrival)
	call   func(e *engineConn, path string)

	mu       sync.Mutex
	conns    int
	arrivals []*arrival
}

// engineConn is a connection to a scriptedEngine.
type engineConn struct {
	net.Conn
	engine *scriptedEngine
	// calls is the number of calls on the connection, rejections that of requests rejected on it.
	calls, rejections int
}

func startEngine(t *testing.T, f *fleet.Fleet, id string, e *scriptedEngine) *scriptedEngine {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	e.id, e.address = id, l.Addr().String()
	f.Store.Put("servers", id, map[string]any{
		"service": fleet.ModelService, "address": e.address, "zone": gatewayDomain, "version": fleet.DefaultSoftwareVersion, "slots": 8, "state": "ready",
		"coldRemainingMs": 0, "sequence": 1,
	})
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			e.mu.Lock()
			e.conns++
			n := e.conns
			e.mu.Unlock()
			go e.serve(c, n)
		}
	}()
	return e
}

func (e *scriptedEngine) serve(c net.Conn, n int) {
	defer c.Close()
	in, ec := bufio.NewReader(c), &engineConn{Conn: c, engine: e}
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		io.Copy(io.Discard, r.Body)
		if strings.HasPrefix(r.URL.Path, "/kingcupplank/") {
			ec.calls++
			e.call(ec, r.URL.Path)
			continue
		}
		a := &arrival{id: r.Header.Get("X-Kingcupplank-Attempt-Id"), conn: n, at: time.Now()}
		e.mu.Lock()
		e.arrivals = append(e.arrivals, a)
		e.mu.Unlock()
		e.answer(ec, a)
		e.update(func() { a.end = time.Now() })
	}
}

// update changes an arrival.
func (e *scriptedEngine) update(change func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	change()
}

func (e *scriptedEngine) arrivalsOf(id string) (out []arrival) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, a := range e.arrivals {
		if a.id == id {
			out = append(out, *a)
		}
	}
	return out
}

// countRequests returns the number of requests that have arrived, each counted once.
func (e *scriptedEngine) countRequests() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	ids := make(map[string]bool)
	for _, a := range e.arrivals {
		ids[a.id] = true
	}
	return len(ids)
}

// requestsPerRetry is the number of requests for each of which the retry budget of a new process allows one.
const requestsPerRetry = 1 / fleet.RetryRatio

// head writes the head of an answer without a body.
func (e *engineConn) head(status int, fields string) {
	fmt.Fprintf(e, "HTTP/1.1 %d X\r\n%sContent-Length: 0\r\n\r\n", status, fields)
}

func named(a *arrival) string { return "X-Kingcupplank-Attempt-Id: " + a.id + "\r\n" }

const notRunMark = "X-Kingcupplank-Not-Executed: 1\r\n"

func (e *engineConn) reject(a *arrival, status int) {
	e.engine.update(func() { a.status, a.isRejected = status, true })
	e.rejections++
	e.head(status, named(a)+notRunMark)
}

// firstTokenTime is the time from a request's arrival to its first event.
const firstTokenTime = 150 * time.Millisecond

// run runs a request: it begins with the first event, unless the connection has been closed before.
func (e *engineConn) run(a *arrival, events int) {
	e.engine.update(func() { a.isRun, a.status = true, http.StatusOK })
	e.SetReadDeadline(time.Now().Add(firstTokenTime))
	_, err := e.Read(make([]byte, 1))
	e.SetReadDeadline(time.Time{})
	if err == io.EOF {
		return
	}
	e.engine.update(func() { a.began = time.Now() })
	fmt.Fprintf(e, "HTTP/1.1 200 OK\r\n%sX-Kingcupplank-Response-Seal: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", named(a))
	for n := range events {
		text := fleet.EventText(n+1, "")
		if _, err := fmt.Fprintf(e, "%x\r\n%s\r\n", len(text), text); err != nil {
			return
		}
		time.Sleep(eventInterval)
	}
	io.WriteString(e, "0\r\n\r\n")
}

// promiseCase is a way in which a server's bytes could be taken for "not run".
type promiseCase struct {
	name   string
	engine func(status int) *scriptedEngine
	// streams is the number of streams, one after the begin of the other.
	streams int
	// copies says that a second engine has room for copies of runs.
	copies bool
}

var promiseCases = []promiseCase{
	{"second copy of a rejection", func(status int) *scriptedEngine {
		return &scriptedEngine{answer: func(e *engineConn, a *arrival) {
			if e.engine.countRequests() > requestsPerRetry && len(e.engine.arrivalsOf(a.id)) == 1 {
				e.reject(a, status)
				return
			}
			if e.rejections > 0 {
				e.head(status, named(a)+notRunMark)
			}
			e.run(a, 4)
		}, call: noCall}
	}, requestsPerRetry + 3, false},
	{"second copy of the answer to a call", func(status int) *scriptedEngine {
		return &scriptedEngine{answer: func(e *engineConn, a *arrival) {
			if e.calls > 0 {
				e.head(status, "")
			}
			e.run(a, 160)
		}, call: func(e *engineConn, _ string) { e.head(status, "") }}
	}, 6, true},
	{"servers own status", func(status int) *scriptedEngine {
		return &scriptedEngine{answer: func(e *engineConn, a *arrival) {
			e.engine.update(func() { a.isRun, a.status = true, status })
			e.head(status, named(a)+"X-Kingcupplank-Response-Seal: s\r\n")
		}, call: noCall}
	}, 1, false},
	{"rejection of another request", func(status int) *scriptedEngine {
		return &scriptedEngine{answer: func(e *engineConn, a *arrival) {
			e.head(status, "X-Kingcupplank-Attempt-Id: other\r\n"+notRunMark)
			e.run(a, 4)
		}, call: noCall}
	}, 1, false},
	{"engine that reads late", func(status int) *scriptedEngine {
		return &scriptedEngine{answer: func(e *engineConn, a *arrival) {
			time.Sleep(2 * time.Second)
			e.run(a, 4)
		}, call: noCall}
	}, 1, false},
}

func noCall(e *engineConn, _ string) { e.head(http.StatusNotFound, "") }

// Guards against a status that promises "not run" for a stream that a server has, from whatever bytes of a server.
func TestNoPromiseOfAGatewayForAStreamAtAServer(t *testing.T) {
	for _, c := range promiseCases {
		for _, status := range []int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest} {
			t.Run(fmt.Sprintf("%s/%d", c.name, status), func(t *testing.T) {
				t.Parallel()
				playPromiseCase(t, c, status)
			})
		}
	}
}

func playPromiseCase(t *testing.T, c promiseCase, status int) {
	f := fleet.New()
	t.Cleanup(f.Close)
	engines := []*scriptedEngine{startEngine(t, f, "i-"+fleet.NextID(), c.engine(status))}
	if c.copies {
		engines = append(engines, startEngine(t, f, "i-"+fleet.NextID(), c.engine(status)))
	}
	g := startLoneGateway(t, f)
	var wg sync.WaitGroup
	for range c.streams {
		id := fleet.NextID()
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(t.Context(), 4*time.Second)
			defer cancel()
			got, err := fleet.StreamWith(ctx, g.settings.Callers, fleet.PlanPath, fleet.CallerRequest{ID: id, Key: fleet.Key}, func(string) {})
			for _, e := range engines {
				for _, a := range e.arrivalsOf(id) {
					t.Logf("%s answered %d (%v): %v", id, got, err, a)
					if a.isRun && promises(got) {
						t.Errorf("%s was answered %d and was run: %v", id, got, a)
					}
				}
			}
		})
		time.Sleep(400 * time.Millisecond)
	}
	wg.Wait()
	if t.Failed() {
		log, err := os.ReadFile(g.logFile.Name())
		require.NoError(t, err)
		t.Logf("%s", log)
	}
}

// gatewayPath returns the path of the gateway's program.
func gatewayPath(t *testing.T) string {
	if *gatewayBinary != "" {
		return *gatewayBinary
	}
	path, err := buildGateway()
	require.NoError(t, err)
	return path
}

// startLoneGateway starts a gateway as a process and waits until it is ready.
func startLoneGateway(t *testing.T, f *fleet.Fleet) *gateway {
	endpoint, err := f.Store.AddEndpoint()
	require.NoError(t, err)
	dir := t.TempDir()
	g := &gateway{settings: fleet.NewVMSettings("vm-1", endpoint.Address), settingsPath: filepath.Join(dir, "vm-1.json")}
	g.settings.LostZones = 1
	require.NoError(t, g.settings.WriteFile(g.settingsPath))
	g.logFile, err = os.Create(filepath.Join(dir, "vm-1.log"))
	require.NoError(t, err)
	require.NoError(t, g.start(gatewayPath(t)))
	t.Cleanup(g.close)
	require.Eventually(t, func() bool {
		resp, err := http.Get("http://" + g.settings.Ready + "/kingcupplank/readyz")
		if err != nil {
			return false
		}
		resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	}, 10*time.Second, 20*time.Millisecond)
	return g
}
