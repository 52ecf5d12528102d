package proof

import (
	"bufio"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"kingcupplank.example/kingcup/internal/standin/fleet"
)

// The limits of the gateways that crowds call.
const (
	crowdMemoryMB = 64
	crowdFiles    = 400
	crowdBody     = 1 << 20
	crowdHeader   = 16 << 10

	// smallestMemoryMB is the memory of the smallest VM, usersBody the longest body on the users' platform.
	smallestMemoryMB = 112
	usersBody        = 4 << 20
)

// crowdGateway is a gateway on a small VM in front of one plain server.
type crowdGateway struct {
	*gatewayProcess
	fleet   *fleet.Fleet
	server  *fleet.Server
	ready   string
	metrics string
	peers   string
}

func startCrowdGateway(t *testing.T, b fleet.Behavior) *crowdGateway {
	return startLimitedGateway(t, b, crowdMemoryMB, crowdBody)
}

// startLimitedGateway does the same with another memory and bodies of up to bodyBytes.
func startLimitedGateway(t *testing.T, b fleet.Behavior, memoryMB, bodyBytes int) *crowdGateway {
	f := fleet.New()
	t.Cleanup(f.Close)
	f.SetLoad(fleet.Load{BodyBytes: bodyBytes, HeaderBytes: crowdHeader})
	server, err := f.Add(fleet.DeskService, "zone-1", b)
	require.NoError(t, err)
	dir, err := binaries()
	require.NoError(t, err)
	vm := fleet.NewVMSettings("vm-1", "")
	// The link is no bottleneck, which would refuse the crowd's connections.
	vm.MemoryMB, vm.MaxFiles, vm.LinkMbps = memoryMB, crowdFiles, 1e6
	metrics := freeAddress(t)
	_, port, err := net.SplitHostPort(metrics)
	require.NoError(t, err)
	g := startGatewayOnVM(t, f, exec.Command(filepath.Join(dir, "kingcup-gateway"), "-metrics-port", port, "-leave", "500ms", "-log-level", "error"), vm)
	c := &crowdGateway{gatewayProcess: g, fleet: f, server: server, ready: vm.Ready, metrics: metrics, peers: vm.Peers}
	c.requireAnswer(t)
	return c
}

// requireAnswer fails the test unless an ordinary request is answered, after a refusal at a later try.
func (g *crowdGateway) requireAnswer(t *testing.T) {
	t.Helper()
	waitUntil(t, "an ordinary request is answered", func() bool { return g.servesCalls(t.Context()) })
}

// head returns the head of a request with the given key and header lines.
func head(key string, lines ...string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\nX-Api-Key: %s\r\nX-Kingcupplank-Attempt-Id: %s\r\nX-Kingcupplank-Deadline-Ms: 30000\r\n%s\r\n\r\n",
		fleet.SafePath, fleet.Host, key, fleet.NextID(), strings.Join(lines, "\r\n"))
}

func lengthHead(key string, n int) string { return head(key, fmt.Sprintf("Content-Length: %d", n)) }

func chunkedHead(key string) string { return head(key, "Transfer-Encoding: chunked") }

// A client of a crowd writes to its connection until an error.
var crowdClients = map[string]struct {
	count int
	write func(w io.Writer)
}{
	"body with a length in pieces, one byte short": {100, func(w io.Writer) {
		io.WriteString(w, lengthHead(fleet.Key, crowdBody))
		writePieces(w, crowdBody-1, 16<<10)
	}},
	"body with a length at once, one byte short": {100, func(w io.Writer) {
		io.WriteString(w, lengthHead(fleet.Key, crowdBody))
		writePieces(w, crowdBody-1, crowdBody)
	}},
	"whole body": {100, func(w io.Writer) {
		io.WriteString(w, lengthHead(fleet.Key, crowdBody))
		writePieces(w, crowdBody, crowdBody)
	}},
	"body in large chunks without the last": {100, func(w io.Writer) {
		io.WriteString(w, chunkedHead(fleet.Key))
		writeChunks(w, crowdBody, 64<<10)
	}},
	"body in chunks of a byte without the last": {60, func(w io.Writer) {
		io.WriteString(w, chunkedHead(fleet.Key))
		writeChunks(w, crowdBody, 1)
	}},
	"body without a valid key, one byte short": {100, func(w io.Writer) {
		io.WriteString(w, lengthHead("no-key", crowdBody))
		writePieces(w, crowdBody-1, 16<<10)
	}},
	"chunked body without a valid key": {100, func(w io.Writer) {
		io.WriteString(w, chunkedHead("no-key"))
		writeChunks(w, crowdBody, 64<<10)
	}},
	"body announced far too long": {100, func(w io.Writer) {
		io.WriteString(w, lengthHead(fleet.Key, 1<<30))
		writePieces(w, 4*crowdBody, 64<<10)
	}},
	"body announced a byte too long": {100, func(w io.Writer) {
		io.WriteString(w, lengthHead(fleet.Key, crowdBody+1))
		writePieces(w, crowdBody+1, 64<<10)
	}},
	"chunked body a byte too long": {100, func(w io.Writer) {
		io.WriteString(w, chunkedHead(fleet.Key))
		writeChunks(w, crowdBody+1, 64<<10)
	}},
	"chunked body far too long": {100, func(w io.Writer) {
		io.WriteString(w, chunkedHead(fleet.Key))
		writeChunks(w, 16*crowdBody, 64<<10)
	}},
	"head without its end": {300, func(w io.Writer) {
		io.WriteString(w, "POST / HTTP/1.1\r\nX-Long: ")
		writePieces(w, crowdHeader-1<<10, 1<<10)
	}},
	"nothing": {300, func(io.Writer) {}},
}

// Guards against a crowd of clients, each with a request inside the limits or too long, that uses up the memory of a
// VM, ends the gateway or keeps it from answering others.
func TestCrowdAtGateway(t *testing.T) {
	for name, kind := range crowdClients {
		t.Run(name, func(t *testing.T) {
			g := startCrowdGateway(t, fleet.Behavior{Delay: 500 * time.Millisecond})
			u := watchUsage(t, g.cmd.Process.Pid)
			c := newCrowd(t, g.callerAddress)
			c.send(kind.count, kind.write)
			g.requireAnswer(t)
			u.requireWithin(crowdMemoryMB<<20, crowdFiles)
			g.requireStops(t)
		})
	}
}

// requireStops fails the test unless the gateway exits without an error on SIGTERM.
func (g *crowdGateway) requireStops(t *testing.T) {
	t.Helper()
	require.NoError(t, g.cmd.Process.Signal(syscall.SIGTERM))
	require.NoError(t, g.cmd.Wait())
}

// Guards against crowds of all kinds that come side by side and again, each before the last has left.
func TestCrowdsInWaves(t *testing.T) {
	const waves, share = 3, 5
	g := startCrowdGateway(t, fleet.Behavior{Delay: 500 * time.Millisecond})
	u := watchUsage(t, g.cmd.Process.Pid)
	for range waves {
		done := make(chan struct{})
		for _, kind := range crowdClients {
			go func() {
				newCrowd(t, g.callerAddress).send(kind.count/share, kind.write)
				done <- struct{}{}
			}()
		}
		for range crowdClients {
			<-done
		}
		g.requireAnswer(t)
	}
	u.requireWithin(crowdMemoryMB<<20, crowdFiles)
	g.requireStops(t)
}

// largeAnswer is the length of an answer that fits into no socket's buffers.
const largeAnswer = 8 << 20

// answerLargely answers a request with largeAnswer bytes.
func answerLargely(c net.Conn, r *http.Request) { answerWith(c, r, largeAnswer) }

// answerWith answers a request with a number of bytes.
func answerWith(c net.Conn, r *http.Request, bytes int) {
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Kingcupplank-Response-Seal: seal\r\nX-Kingcupplank-Attempt-Id: %s\r\nContent-Length: %d\r\n\r\n", r.Header.Get("X-Kingcupplank-Attempt-Id"), bytes)
	writePieces(c, bytes, 64<<10)
}

// Guards against clients that do not read their answers, which wait in the gateway and in its sockets, or send one
// request after the other meanwhile.
func TestCrowdThatReadsNoAnswers(t *testing.T) {
	large := func(b fleet.Behavior, r *http.Request) fleet.Behavior {
		if r.Header.Get("X-Large") != "" {
			b.Raw = answerLargely
		}
		return b
	}
	for name, write := range map[string]func(w io.Writer){
		"large answers": func(w io.Writer) { io.WriteString(w, head(fleet.Key, "X-Large: 1", "Content-Length: 0")) },
		"large answers and bytes behind the request": func(w io.Writer) {
			io.WriteString(w, head(fleet.Key, "X-Large: 1", "Content-Length: 0"))
			writePieces(w, 4*crowdBody, 64<<10)
		},
		"many requests on a connection": func(w io.Writer) {
			for range 500 {
				if _, err := io.WriteString(w, head(fleet.Key, "Content-Length: 0")); err != nil {
					return
				}
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			g := startCrowdGateway(t, fleet.Behavior{ForRequest: large})
			u := watchUsage(t, g.cmd.Process.Pid)
			c := newCrowd(t, g.callerAddress)
			c.reads = false
			c.send(100, write)
			g.requireAnswer(t)
			u.requireWithin(crowdMemoryMB<<20, crowdFiles)
			g.requireStops(t)
		})
	}
}

// Guards against limits that a single client inside the configured limits meets.
func TestLongestBodyIsServed(t *testing.T) {
	for _, size := range []struct{ memoryMB, bodyBytes int }{{crowdMemoryMB, crowdBody}, {smallestMemoryMB, usersBody}} {
		for name, write := range map[string]func(w io.Writer, n int){
			"with a length": func(w io.Writer, n int) {
				io.WriteString(w, lengthHead(fleet.Key, n))
				writePieces(w, n, 64<<10)
			},
			"in large chunks": func(w io.Writer, n int) {
				io.WriteString(w, chunkedHead(fleet.Key))
				writeChunks(w, n, 64<<10)
				io.WriteString(w, "0\r\n\r\n")
			},
			"in chunks of a byte": func(w io.Writer, n int) {
				io.WriteString(w, chunkedHead(fleet.Key))
				writeChunks(w, n, 1)
				io.WriteString(w, "0\r\n\r\n")
			},
		} {
			t.Run(fmt.Sprintf("%d bytes %s", size.bodyBytes, name), func(t *testing.T) {
				g := startLimitedGateway(t, fleet.Behavior{}, size.memoryMB, size.bodyBytes)
				u := watchUsage(t, g.cmd.Process.Pid)
				conn, err := net.Dial("tcp", g.callerAddress)
				require.NoError(t, err)
				defer conn.Close()
				w := bufio.NewWriter(conn)
				write(w, size.bodyBytes)
				require.NoError(t, w.Flush())
				resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
				require.NoError(t, err)
				require.Equal(t, http.StatusOK, resp.StatusCode)
				executions := g.server.Executions()
				require.Len(t, executions[len(executions)-1].Body, size.bodyBytes)
				u.requireWithin(int64(size.memoryMB)<<20, crowdFiles)
			})
		}
	}
}

// Guards against a refusal that its caller cannot read, as bytes of the request were left unread, and against the
// execution of a request that was refused as not run.
func TestRefusedBodyLeavesAReadableStatus(t *testing.T) {
	const clients = 60
	g := startCrowdGateway(t, fleet.Behavior{Delay: time.Second})
	type result struct {
		id     string
		status int
	}
	results := make(chan result, clients)
	for range clients {
		conn, err := net.Dial("tcp", g.callerAddress)
		require.NoError(t, err)
		defer conn.Close()
		request := lengthHead(fleet.Key, crowdBody)
		_, rest, _ := strings.Cut(request, "X-Kingcupplank-Attempt-Id: ")
		id, _, _ := strings.Cut(rest, "\r\n")
		io.WriteString(conn, request)
		writePieces(conn, crowdBody, 16<<10)
		go func() {
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				t.Log(err)
				results <- result{id, 0}
				return
			}
			results <- result{id, resp.StatusCode}
		}()
	}
	refused := make(map[string]bool)
	for range clients {
		r := <-results
		require.Contains(t, []int{http.StatusOK, http.StatusServiceUnavailable}, r.status)
		refused[r.id] = r.status == http.StatusServiceUnavailable
	}
	require.Contains(t, slices.Collect(maps.Values(refused)), true, "bodies beyond the memory are refused")
	for _, e := range g.server.Executions() {
		require.False(t, refused[e.ID], "request %s was refused as not run", e.ID)
	}
}

// Guards against a crowd at the addresses of readiness and metrics that uses up the memory of the VM, or hides from the
// load balancer that the gateway is ready.
func TestCrowdAtReadinessAndMetrics(t *testing.T) {
	const body = 4<<20 - 1
	for name, write := range map[string]func(w io.Writer){
		"body one byte short": func(w io.Writer) {
			io.WriteString(w, lengthHead(fleet.Key, body+1))
			writePieces(w, body, 64<<10)
		},
		"body in large chunks without the last": func(w io.Writer) {
			io.WriteString(w, chunkedHead(fleet.Key))
			writeChunks(w, body, 64<<10)
		},
		"head without its end": func(w io.Writer) { io.WriteString(w, "GET /metrics HTTP/1.1\r\nX-Long: 1") },
		"many requests on a connection": func(w io.Writer) {
			for range 2000 {
				if _, err := io.WriteString(w, "GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n"); err != nil {
					return
				}
			}
		},
		"nothing": func(io.Writer) {},
	} {
		t.Run(name, func(t *testing.T) {
			g := startCrowdGateway(t, fleet.Behavior{})
			u := watchUsage(t, g.cmd.Process.Pid)
			for address, path := range map[string]string{g.ready: "/kingcupplank/readyz", g.metrics: "/metrics"} {
				c := newCrowd(t, address)
				c.reads = !strings.HasPrefix(name, "many")
				c.send(200, write)
				waitUntil(t, address+" answers", func() bool { return get(address, path) == http.StatusOK })
			}
			g.requireAnswer(t)
			u.requireWithin(crowdMemoryMB<<20, crowdFiles)
			g.requireStops(t)
		})
	}
}

// get returns the status of a GET on a new connection, 0 if there is none.
func get(address, path string) int {
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: sendTimeout}
	resp, err := client.Get("http://" + address + path)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}
