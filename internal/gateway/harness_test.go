package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"kingcupplank.example/kingcup/internal/logging"
	"kingcupplank.example/kingcup/internal/standin"
	"kingcupplank.example/kingcup/internal/standin/fleet"
	"kingcupplank.example/kingcup/platform/settings"
)

// system is a platform with gateways.
type system struct {
	t     testing.TB
	fleet *fleet.Fleet
	// linkMbps is the bandwidth that gateways are told of.
	linkMbps float64
	// peerLinks bounds the links of each gateway, 0 for the default.
	peerLinks int
}

func newSystem(t testing.TB) *system {
	s := &system{t: t, fleet: fleet.New()}
	t.Cleanup(s.fleet.Close)
	return s
}

func (s *system) server(service string, b fleet.Behavior) *fleet.Server {
	s.t.Helper()
	srv, err := s.fleet.Add(service, "zone-1", b)
	require.NoError(s.t, err)
	return srv
}

// node is a gateway with its own way to the store.
type node struct {
	*Gateway
	t       testing.TB
	callers string
	ready   string
	door    *fleet.Endpoint
}

// testBounds are short, so that tests are.
var testBounds = settings.Bounds{
	DrainServer: 2 * time.Second, Shutdown: 4 * time.Second, ApplyConfig: 2 * time.Second, Revoke: 3 * time.Second,
	RetryRatio: 0.2, RetryExtra: 50, RetryWindow: 10 * time.Second,
}

// testMemory is for all gateways of a test and what they are tried on: the limit that the runtime
// keeps to is the process's.
const testMemory = 8 << 30

func (s *system) settings(name string) (*settings.Settings, *fleet.Endpoint) {
	s.t.Helper()
	door, err := s.fleet.Store.AddEndpoint()
	require.NoError(s.t, err)
	ip, port, err := net.SplitHostPort(standin.UniqueAddress())
	require.NoError(s.t, err)
	peers, err := strconv.Atoi(port)
	require.NoError(s.t, err)
	return &settings.Settings{
		VM: name, FailureDomain: "zone-1", IP: ip, Callers: standin.UniqueAddress(), Ready: standin.UniqueAddress(),
		PeerPorts: [2]int{peers, peers}, Store: door.Address, MemoryBytes: testMemory, MaxFiles: 1000, LinkMbps: s.linkMbps,
		ServerHeartbeat: time.Second, Bounds: testBounds,
	}, door
}

// gateway starts a gateway and waits until it is ready.
func (s *system) gateway(name string) *node {
	s.t.Helper()
	set, door := s.settings(name)
	return s.start(set, door)
}

// thin starts a gateway whose way to the store is a link of a rate in Mbit/s.
func (s *system) thin(name string, mbps float64) (*node, *standin.Link) {
	s.t.Helper()
	set, door := s.settings(name)
	link := standin.NewLink(mbps)
	door.SetLink(link)
	set.LinkMbps = mbps
	return s.start(set, door), link
}

func (s *system) start(set *settings.Settings, door *fleet.Endpoint) *node {
	s.t.Helper()
	n := s.launch(set, door)
	n.eventually(n.isReady, "ready")
	return n
}

// launch starts a gateway without waiting until it is ready.
func (s *system) launch(set *settings.Settings, door *fleet.Endpoint) *node {
	s.t.Helper()
	log := logging.New(io.Discard, logrus.InfoLevel)
	opts := DefaultOptions()
	opts.MetricsPort, opts.ShutdownDelay = 0, 500*time.Millisecond
	if s.peerLinks > 0 {
		opts.MaxPeerLinks = s.peerLinks
	}
	g, err := Start(opts, set, log)
	require.NoError(s.t, err)
	n := &node{Gateway: g, t: s.t, callers: set.Callers, ready: set.Ready, door: door}
	s.t.Cleanup(func() { n.Close() })
	return n
}

func (n *node) isReady() bool {
	resp, err := http.Get("http://" + n.ready + "/kingcupplank/readyz")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// eventually polls a condition.
func (n *node) eventually(ok func() bool, what string) {
	n.t.Helper()
	require.Eventually(n.t, ok, 8*time.Second, 10*time.Millisecond, what)
}

// call is a caller's request.
type call struct {
	method, path, body string
	header             map[string]string
}

func plain(path string) call { return call{method: "POST", path: path, body: "b"} }

func generation(path string) call {
	return call{method: "POST", path: path, body: "prompt", header: map[string]string{
		"X-Kingcupplank-Model-Id": "m", "X-Kingcupplank-Token-Usage": "100,400", "X-Kingcupplank-Prompt-Prefix": "5c:60,91:40",
		"X-Kingcupplank-Deadline-Ms": "20000",
	}}
}

func (c call) with(name, value string) call {
	h := map[string]string{name: value}
	for k, v := range c.header {
		if _, ok := h[k]; !ok {
			h[k] = v
		}
	}
	c.header = h
	return c
}

// conn is a caller's connection.
type conn struct {
	net.Conn
	t  testing.TB
	in *bufio.Reader
}

func (n *node) dial() *conn {
	n.t.Helper()
	c, err := net.Dial("tcp", n.callers)
	require.NoError(n.t, err)
	n.t.Cleanup(func() { c.Close() })
	return &conn{Conn: c, t: n.t, in: bufio.NewReader(c)}
}

func (c *conn) send(r call) {
	c.t.Helper()
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.method, r.path, fleet.Host)
	defaults := map[string]string{"X-Api-Key": fleet.Key, "X-Kingcupplank-Attempt-Id": "attempt-1", "X-Kingcupplank-Deadline-Ms": "5000"}
	for k, v := range r.header {
		defaults[k] = v
	}
	for k, v := range defaults {
		if v != "" {
			fmt.Fprintf(&b, "%s: %s\r\n", k, v)
		}
	}
	if r.method != http.MethodGet {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(r.body))
	}
	b.WriteString("\r\n" + r.body)
	_, err := io.WriteString(c, b.String())
	require.NoError(c.t, err)
}

// reply is what a caller got; err tells of an answer that did not come to its end.
type reply struct {
	status int
	header http.Header
	body   string
	// closes says that the connection ends with the answer.
	closes bool
	err    error
}

func (c *conn) read() reply {
	c.SetReadDeadline(time.Now().Add(15 * time.Second))
	resp, err := http.ReadResponse(c.in, nil)
	if err != nil {
		return reply{err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return reply{status: resp.StatusCode, header: resp.Header, body: string(body), closes: resp.Close, err: err}
}

// do makes one request on a connection of its own.
func (n *node) do(r call) reply {
	n.t.Helper()
	c := n.dial()
	defer c.Close()
	c.send(r)
	return c.read()
}

func events(from, to int) string {
	var b strings.Builder
	for i := from; i <= to; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: tok%d\n\n", i, i)
	}
	return b.String()
}
