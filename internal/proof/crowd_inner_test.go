package proof

import (
	"bytes"
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/hashicorp/yamux"
	"github.com/stretchr/testify/require"
	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"kingcupplank.example/kingcup/client"
	"kingcupplank.example/kingcup/internal/mux"
	"kingcupplank.example/kingcup/internal/standin/fleet"
	"kingcupplank.example/kingcup/internal/wire"
	innerv1 "kingcupplank.example/kingcup/proto/kingcup/inner/v1"
	peerv1 "kingcupplank.example/kingcup/proto/kingcup/peer/v1"
	kingcupv1 "kingcupplank.example/kingcup/proto/kingcup/v1"
)

// crowdInnerMB is the memory of the VMs on which crowds call an entry or an agent.
const crowdInnerMB = 128

// startSmallVMs starts a system whose processes have little memory, and returns a client of its first entry.
func startSmallVMs(t *testing.T) (*processes, *client.Client) {
	t.Setenv("KINGCUP_MEMORY_MB", strconv.Itoa(crowdInnerMB))
	p := newProcesses(t)
	p.startAll()
	return p, client.New(client.Options{MaxRetries: 100, MaxResumes: 200}, p.conns[0])
}

// address returns the value of an address flag of a process.
func (p *processes) address(name, flag string) string {
	args := p.args[name]
	for i, a := range args {
		if a == flag {
			return args[i+1]
		}
	}
	return ""
}

// requireGeneration fails the test unless an ordinary generation is answered.
func requireGeneration(t *testing.T, c *client.Client, id string) {
	t.Helper()
	const tokens = 20
	got, done := stream(t, c, id, tokens)
	requireCompleteSoon(t, got, done, tokens)
}

// callPath is the path of a call to a plain service.
const callPath = "/kingcup.v1.CallerService/Call"

// maxHTTP2Frame is the length of the longest frame that a server takes, by the HTTP/2 specification.
const maxHTTP2Frame = 16384

// streamsPerConn is how many calls a client of a crowd opens on a connection.
const streamsPerConn = 20

// grpcCrowdClient opens calls on an HTTP/2 connection and sends a message on each, one byte short of the announced
// length, in frames of frameBytes bytes, as far as the server lets it.
func grpcCrowdClient(conn net.Conn, messageBytes, frameBytes int) {
	io.WriteString(conn, http2.ClientPreface)
	framer := http2.NewFramer(conn, conn)
	framer.WriteSettings()
	windows := newWindows()
	conn.SetReadDeadline(sendDeadline())
	go func() {
		defer windows.close()
		for {
			f, err := framer.ReadFrame()
			if err != nil {
				return
			}
			switch f := f.(type) {
			case *http2.WindowUpdateFrame:
				windows.add(f.StreamID, int(f.Increment))
			case *http2.RSTStreamFrame:
				windows.end(f.StreamID)
			case *http2.HeadersFrame:
				if f.StreamEnded() {
					windows.end(f.StreamID)
				}
			}
		}
	}()
	var writeMu sync.Mutex
	var sending sync.WaitGroup
	for i := range streamsPerConn {
		id := uint32(2*i + 1)
		var block bytes.Buffer
		enc := hpack.NewEncoder(&block)
		for _, f := range [][2]string{{":method", "POST"}, {":scheme", "http"}, {":path", callPath}, {":authority", "x"}, {"content-type", "application/grpc"}, {"te", "trailers"}} {
			enc.WriteField(hpack.HeaderField{Name: f[0], Value: f[1]})
		}
		writeMu.Lock()
		framer.WriteHeaders(http2.HeadersFrameParam{StreamID: id, BlockFragment: block.Bytes(), EndHeaders: true})
		writeMu.Unlock()
		sending.Go(func() {
			prefix := binary.BigEndian.AppendUint32([]byte{0}, uint32(messageBytes))
			piece := append(prefix, make([]byte, frameBytes)...)
			piece = piece[:min(len(piece), maxHTTP2Frame)]
			for left := messageBytes - 1; left > 0; piece = piece[:frameBytes] {
				n := windows.take(id, min(len(piece), len(prefix)+left))
				if n == 0 {
					return
				}
				writeMu.Lock()
				err := framer.WriteData(id, false, piece[:n])
				writeMu.Unlock()
				if err != nil {
					return
				}
				left -= n
			}
		})
	}
	sending.Wait()
}

// windows are the flow control windows of an HTTP/2 connection, that of the connection as stream 0.
type windows struct {
	mu      sync.Mutex
	changed *sync.Cond
	left    map[uint32]int
	ended   map[uint32]bool
	closed  bool
}

// initialWindow is the window of each stream and of the connection at first, by the HTTP/2 specification.
const initialWindow = 65535

func newWindows() *windows {
	w := &windows{left: make(map[uint32]int), ended: make(map[uint32]bool)}
	w.changed = sync.NewCond(&w.mu)
	return w
}

func (w *windows) update(change func()) {
	w.mu.Lock()
	change()
	w.mu.Unlock()
	w.changed.Broadcast()
}

func (w *windows) add(id uint32, n int) { w.update(func() { w.left[id] += n }) }

func (w *windows) end(id uint32) { w.update(func() { w.ended[id] = true }) }

func (w *windows) close() { w.update(func() { w.closed = true }) }

// take takes up to n bytes of a stream's window. It returns 0 once the stream has ended.
func (w *windows) take(id uint32, n int) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	for !w.closed && !w.ended[id] {
		if n := min(n, initialWindow+w.left[id], initialWindow+w.left[0]); n > 0 {
			w.left[id] -= n
			w.left[0] -= n
			return n
		}
		w.changed.Wait()
	}
	return 0
}

// Guards against a crowd of callers that uses up the memory of an entry's VM with requests that do not end.
func TestCrowdAtEntry(t *testing.T) {
	for name, kind := range map[string]struct{ conns, messageBytes, frameBytes int }{
		"large messages one byte short":            {10, 8 << 20, maxHTTP2Frame},
		"messages in frames of a byte":             {10, 256 << 10, 1},
		"messages of the callers' usual size":      {40, 16 << 10, 16 << 10},
		"messages announced as far over the limit": {10, 1 << 30, 16 << 10},
	} {
		t.Run(name, func(t *testing.T) {
			p, caller := startSmallVMs(t)
			u := watchUsage(t, p.procs["entry-0"].Process.Pid)
			c := newCrowd(t, p.address("entry-0", "-caller-address"))
			c.reads = false
			c.sendOn(kind.conns, func(conn net.Conn) { grpcCrowdClient(conn, kind.messageBytes, kind.frameBytes) })
			requireGeneration(t, caller, "beside")
			u.requireWithin(crowdInnerMB<<20, 1000)
		})
	}
}

// Guards against callers that do not read the answers to their calls, which then use up the memory of an entry's VM.
func TestCrowdAtEntryThatReadsNoAnswers(t *testing.T) {
	const conns, callsPerConn, bodyBytes = 10, 20, 1 << 20
	t.Setenv("KINGCUP_MEMORY_MB", strconv.Itoa(crowdInnerMB))
	p := newProcesses(t)
	p.hasService = true
	caller := p.startAll()
	u := watchUsage(t, p.procs["entry-0"].Process.Pid)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var calls sync.WaitGroup
	var answers atomic.Int64
	for i := range conns {
		// Windows of a fixed size don't grow with the answers.
		conn, err := grpc.NewClient(p.address("entry-0", "-caller-address"), grpc.WithTransportCredentials(insecure.NewCredentials()),
			grpc.WithInitialWindowSize(initialWindow), grpc.WithInitialConnWindowSize(initialWindow))
		require.NoError(t, err)
		defer conn.Close()
		calls.Go(func() {
			for k := range callsPerConn {
				st, err := conn.NewStream(ctx, &grpc.StreamDesc{ServerStreams: true}, callPath)
				if err != nil {
					return
				}
				// The answer, which is as long as the request, is not read.
				st.SendMsg(&kingcupv1.CallRequest{Team: team, RequestId: fmt.Sprintf("unread-%d-%d", i, k), Service: service, Body: make([]byte, bodyBytes)})
				st.CloseSend()
				if h, err := st.Header(); err == nil && len(h) > 0 {
					answers.Add(1)
				}
			}
		})
	}
	calls.Wait()
	require.Positive(t, answers.Load())
	requireGeneration(t, caller, "beside")
	waitUntil(t, "an ordinary call is answered", func() bool {
		resp, err := kingcupv1.NewCallerServiceClient(p.conns[0]).Call(t.Context(), &kingcupv1.CallRequest{Team: team, RequestId: "read-beside", Service: service, Body: make([]byte, bodyBytes)})
		return err == nil && len(resp.GetBody()) > bodyBytes
	})
	u.requireWithin(crowdInnerMB<<20, 1000)
}

// innerCrowdClient opens streams of the inner protocol on a connection. Each sends what write writes.
func innerCrowdClient(conn net.Conn, streams int, write func(w io.Writer)) {
	cfg := yamux.DefaultConfig()
	cfg.LogOutput = io.Discard
	session, err := yamux.Client(conn, cfg)
	if err != nil {
		return
	}
	var sending sync.WaitGroup
	for range streams {
		sending.Go(func() {
			st, err := session.OpenStream()
			if err != nil {
				return
			}
			st.SetWriteDeadline(sendDeadline())
			write(st)
		})
	}
	sending.Wait()
}

// writeShortFrame writes a frame without its last byte.
func writeShortFrame(w io.Writer, bytes int) {
	var header [4]byte
	binary.BigEndian.PutUint32(header[:], uint32(bytes))
	w.Write(header[:])
	writePieces(w, bytes-1, 64<<10)
}

// Guards against a crowd that uses up the memory of the VM of an agent or an entry by the inner protocol.
func TestCrowdAtInnerAddress(t *testing.T) {
	for name, kind := range map[string]struct {
		streams int
		write   func(w io.Writer)
	}{
		"frames one byte short":               {20, func(w io.Writer) { writeShortFrame(w, mux.MaxFrameBytes) }},
		"small frames on more streams, short": {900, func(w io.Writer) { writeShortFrame(w, 200<<10) }},
		"bytes behind the first frame": {100, func(w io.Writer) {
			mux.WriteFrame(w, &innerv1.Open{Protocol: wire.ProtocolVersion, Peer: "x", Kind: &innerv1.Open_Watch{Watch: &innerv1.Watch{PeriodMs: 60000}}})
			writePieces(w, 200<<10, 16<<10)
		}},
		"streams without a frame": {900, func(io.Writer) {}},
	} {
		for _, process := range []string{"server-0", "entry-0"} {
			t.Run(process+" "+name, func(t *testing.T) {
				p, caller := startSmallVMs(t)
				u := watchUsage(t, p.procs[process].Process.Pid)
				c := newCrowd(t, p.address(process, "-inner-address"))
				c.reads = false
				c.sendOn(10, func(conn net.Conn) { innerCrowdClient(conn, kind.streams, kind.write) })
				requireGeneration(t, caller, "beside")
				u.requireWithin(crowdInnerMB<<20, 1000)
			})
		}
	}
}

// Guards against a crowd that uses up the memory or the descriptors of a gateway's VM by the protocol between gateways.
func TestCrowdAtPeersAddress(t *testing.T) {
	for name, kind := range map[string]struct {
		conns, streams int
		write          func(w io.Writer)
	}{
		"connections without a stream":        {500, 0, nil},
		"frames one byte short":               {10, 20, func(w io.Writer) { writeShortFrame(w, mux.MaxFrameBytes) }},
		"small frames on more streams, short": {10, 900, func(w io.Writer) { writeShortFrame(w, 200<<10) }},
		"streams without a frame":             {10, 900, func(io.Writer) {}},
		"bytes behind the first frame": {10, 100, func(w io.Writer) {
			mux.WriteFrame(w, &peerv1.Fetch{Version: 1})
			writePieces(w, 200<<10, 16<<10)
		}},
	} {
		t.Run(name, func(t *testing.T) {
			g := startCrowdGateway(t, fleet.Behavior{})
			u := watchUsage(t, g.cmd.Process.Pid)
			c := newCrowd(t, g.peers)
			c.reads = false
			c.sendOn(kind.conns, func(conn net.Conn) { innerCrowdClient(conn, kind.streams, kind.write) })
			g.requireAnswer(t)
			u.requireWithin(crowdMemoryMB<<20, crowdFiles)
			g.requireStops(t)
		})
	}
}

// Guards against a crowd that connects to an entry or an agent, sends nothing and uses up its descriptors.
func TestCrowdWithoutRequests(t *testing.T) {
	const clients, descriptors = 1200, 1000
	for _, target := range [][2]string{{"entry-0", "-caller-address"}, {"entry-0", "-inner-address"}, {"server-0", "-inner-address"}} {
		t.Run(target[0]+target[1], func(t *testing.T) {
			t.Setenv("KINGCUP_MAX_FILES", strconv.Itoa(descriptors))
			p, caller := startSmallVMs(t)
			u := watchUsage(t, p.procs[target[0]].Process.Pid)
			newCrowd(t, p.address(target[0], target[1])).send(clients, func(io.Writer) {})
			requireGeneration(t, caller, "beside")
			u.requireWithin(crowdInnerMB<<20, descriptors)
		})
	}
}
