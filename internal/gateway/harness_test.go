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

// system is a simulated platform with gateways under test.
type system struct {
	t     testing.TB
	fleet *fleet.Fleet
	// linkMbps is the bandwidth of the VMs in the gateways' settings.
	linkMbps float64
	// peerLinks bounds the links of each gateway; 0 is the default.
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

// testGateway is a running gateway. endpoint is its own endpoint of the store, where faults
// can be injected for this gateway only.
type testGateway struct {
	*Gateway
	t        testing.TB
	callers  string
	ready    string
	endpoint *fleet.Endpoint
}

// testBounds are short to keep the tests short.
var testBounds = settings.Bounds{
	DrainServer: 2 * time.Second, Shutdown: 4 * time.Second, ApplyConfig: 2 * time.Second, Revoke: 3 * time.Second,
	RetryRatio: 0.2, RetryExtra: 50, RetryWindow: 200 * time.Millisecond,
}

// testMemory is the memory for all gateways and stand-ins of a test together: the Go
// runtime's memory limit is one per process.
const testMemory = 8 << 30

func (s *system) settings(name string) (*settings.Settings, *fleet.Endpoint) {
	s.t.Helper()
	endpoint, err := s.fleet.Store.AddEndpoint()
	require.NoError(s.t, err)
	ip, port, err := net.SplitHostPort(standin.UniqueAddress())
	require.NoError(s.t, err)
	peers, err := strconv.Atoi(port)
	require.NoError(s.t, err)
	return &settings.Settings{
		VM: name, FailureDomain: "zone-1", IP: ip, Callers: standin.UniqueAddress(), Ready: standin.UniqueAddress(),
		PeerPorts: [2]int{peers, peers}, Store: endpoint.Address, MemoryBytes: testMemory, MaxFiles: 1000, LinkMbps: s.linkMbps,
		ServerHeartbeat: time.Second, Bounds: testBounds,
	}, endpoint
}

// gateway starts a gateway and waits until it is ready.
func (s *system) gateway(name string) *testGateway {
	s.t.Helper()
	platform, endpoint := s.settings(name)
	return s.start(platform, endpoint)
}

// gatewayOnLink starts a gateway whose connection to the store has a bandwidth in Mbit/s.
func (s *system) gatewayOnLink(name string, mbps float64) (*testGateway, *standin.Link) {
	s.t.Helper()
	platform, endpoint := s.settings(name)
	link := standin.NewLink(mbps)
	endpoint.SetLink(link)
	platform.LinkMbps = mbps
	return s.start(platform, endpoint), link
}

// gatewayWith starts a gateway with changed options and the bandwidth of its VM in Mbit/s, and waits until it is
// ready.
func (s *system) gatewayWith(name string, change func(*Options), mbps float64) *testGateway {
	s.t.Helper()
	platform, endpoint := s.settings(name)
	platform.LinkMbps = mbps
	n := s.launchWith(platform, endpoint, change)
	n.eventually(n.isReady, "ready")
	return n
}

func (s *system) start(platform *settings.Settings, endpoint *fleet.Endpoint) *testGateway {
	s.t.Helper()
	n := s.launch(platform, endpoint)
	n.eventually(n.isReady, "ready")
	return n
}

// launch starts a gateway without waiting until it is ready.
func (s *system) launch(platform *settings.Settings, endpoint *fleet.Endpoint) *testGateway {
	s.t.Helper()
	return s.launchWith(platform, endpoint, func(*Options) {})
}

func (s *system) launchWith(platform *settings.Settings, endpoint *fleet.Endpoint, change func(*Options)) *testGateway {
	s.t.Helper()
	log := logging.New(io.Discard, logrus.InfoLevel)
	opts := DefaultOptions()
	opts.MetricsPort, opts.ShutdownDelay = 0, 500*time.Millisecond
	if s.peerLinks > 0 {
		opts.MaxPeerLinks = s.peerLinks
	}
	change(&opts)
	g, err := Start(opts, platform, log)
	require.NoError(s.t, err)
	n := &testGateway{Gateway: g, t: s.t, callers: platform.Callers, ready: platform.Ready, endpoint: endpoint}
	s.t.Cleanup(func() { n.Close() })
	return n
}

func (n *testGateway) isReady() bool {
	resp, err := http.Get("http://" + n.ready + "/kingcupplank/readyz")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// eventually waits until a condition holds, and fails the test after 8 s.
func (n *testGateway) eventually(ok func() bool, what string) {
	n.t.Helper()
	require.Eventually(n.t, ok, 8*time.Second, 10*time.Millisecond, what)
}

// callerRequest is a request of a caller.
type callerRequest struct {
	method, path, body string
	header             map[string]string
}

func plain(path string) callerRequest { return callerRequest{method: "POST", path: path, body: "b"} }

func generation(path string) callerRequest {
	return callerRequest{method: "POST", path: path, body: "prompt", header: map[string]string{
		"X-Kingcupplank-Model-Id": "m", "X-Kingcupplank-Token-Usage": "100,400", "X-Kingcupplank-Prompt-Prefix": "5c:60,91:40",
		"X-Kingcupplank-Deadline-Ms": "20000",
	}}
}

func (c callerRequest) with(name, value string) callerRequest {
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

func (n *testGateway) dial() *conn {
	n.t.Helper()
	c, err := net.Dial("tcp", n.callers)
	require.NoError(n.t, err)
	n.t.Cleanup(func() { c.Close() })
	return &conn{Conn: c, t: n.t, in: bufio.NewReader(c)}
}

func (c *conn) send(r callerRequest) {
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

// response is what a caller received. err is set if the response is missing or incomplete.
type response struct {
	status int
	header http.Header
	body   string
	// closes says that the connection is closed after the response.
	closes bool
	err    error
}

func (c *conn) read() response {
	c.SetReadDeadline(time.Now().Add(15 * time.Second))
	resp, err := http.ReadResponse(c.in, nil)
	if err != nil {
		return response{err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return response{status: resp.StatusCode, header: resp.Header, body: string(body), closes: resp.Close, err: err}
}

// do sends a request on a connection of its own.
func (n *testGateway) do(r callerRequest) response {
	n.t.Helper()
	c := n.dial()
	defer c.Close()
	c.send(r)
	return c.read()
}

func eventsText(from, to int) string {
	var b strings.Builder
	for i := from; i <= to; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: tok%d\n\n", i, i)
	}
	return b.String()
}
