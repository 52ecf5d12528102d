package proof

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"kingcupplank.example/kingcup/internal/standin/fleet"
)

// gatewayProcess is a running kingcup-gateway program that uses a stand-in of the users' platform.
type gatewayProcess struct {
	cmd           *exec.Cmd
	callerAddress string
	settings      string
	out           *bytes.Buffer
}

func startGatewayProcess(t *testing.T, f *fleet.Fleet) *gatewayProcess {
	t.Helper()
	dir, err := binaries()
	require.NoError(t, err)
	return startGatewayCommand(t, f, exec.Command(filepath.Join(dir, "kingcup-gateway"), gatewayFlags...))
}

var gatewayFlags = []string{"-metrics-port", "0", "-leave", "500ms"}

// startGatewayCommand starts a command that runs the program.
func startGatewayCommand(t *testing.T, f *fleet.Fleet, cmd *exec.Cmd) *gatewayProcess {
	t.Helper()
	return startGatewayOnVM(t, f, cmd, fleet.NewVMSettings("vm-1", ""))
}

// startGatewayOnVM does the same with the settings of a VM.
func startGatewayOnVM(t *testing.T, f *fleet.Fleet, cmd *exec.Cmd, vm fleet.VMSettings) *gatewayProcess {
	t.Helper()
	endpoint, err := f.Store.AddEndpoint()
	require.NoError(t, err)
	vm.Store = endpoint.Address
	g := &gatewayProcess{callerAddress: vm.Callers, settings: filepath.Join(t.TempDir(), "settings.json"), out: &bytes.Buffer{}}
	require.NoError(t, vm.WriteFile(g.settings))
	g.cmd = cmd
	g.cmd.Env = append(os.Environ(), fleet.SettingsVariable+"="+g.settings, "GORACE=halt_on_error=1")
	g.cmd.Stdout, g.cmd.Stderr = g.out, os.Stderr
	require.NoError(t, g.cmd.Start())
	t.Cleanup(func() { g.cmd.Process.Kill() })
	return g
}

func (g *gatewayProcess) servesCalls(ctx context.Context) bool {
	status, _, err := fleet.Call(ctx, g.callerAddress, fleet.OncePath)
	return err == nil && status == 200
}

// During a stream the process gets SIGHUP twice, the second time with an invalid settings file,
// and then SIGTERM twice. The stream must be complete, the exit code 0, and the log must contain
// a line for each step.
func TestProcessGatewaySignals(t *testing.T) {
	f := fleet.New()
	defer f.Close()
	_, err := f.Add(fleet.DeskService, "zone-1", fleet.Behavior{})
	require.NoError(t, err)
	const count = 50
	_, err = f.Add(fleet.ModelService, "zone-1", fleet.Behavior{Events: count, EventInterval: 20 * time.Millisecond})
	require.NoError(t, err)
	g := startGatewayProcess(t, f)
	require.Eventually(t, func() bool { return g.servesCalls(t.Context()) }, 10*time.Second, 20*time.Millisecond)
	got := 0
	err = fleet.Stream(t.Context(), g.callerAddress, fleet.PlanPath, func(string) {
		got++
		switch got {
		case 5:
			g.cmd.Process.Signal(syscall.SIGHUP)
		case 10:
			os.WriteFile(g.settings, []byte("{"), 0o600)
			g.cmd.Process.Signal(syscall.SIGHUP)
		case 20, 25:
			g.cmd.Process.Signal(syscall.SIGTERM)
		}
	})
	require.NoError(t, err)
	require.Equal(t, count, got)
	require.NoError(t, g.cmd.Wait())
	for _, line := range []string{`"msg":"started"`, `"msg":"settings reloaded"`, "cannot reload the settings, keeping the old ones", `"msg":"stopping"`, `"msg":"stopped"`} {
		require.Contains(t, g.out.String(), line)
	}
	for line := range strings.Lines(g.out.String()) {
		require.True(t, json.Valid([]byte(line)), line)
	}
}

// Guards against a crowd of new connections that uses up the file descriptors, so that requests that were read
// reach no server, and further callers wait unread.
func TestProcessGatewayKeepsDescriptorsForServers(t *testing.T) {
	const descriptors, crowd = 200, 300
	f := fleet.New()
	defer f.Close()
	_, err := f.Add(fleet.DeskService, "zone-1", fleet.Behavior{})
	require.NoError(t, err)
	dir, err := binaries()
	require.NoError(t, err)
	command := fmt.Sprintf("ulimit -n %d; exec %s %s", descriptors, filepath.Join(dir, "kingcup-gateway"), strings.Join(gatewayFlags, " "))
	g := startGatewayCommand(t, f, exec.Command("sh", "-c", command))
	require.Eventually(t, func() bool { return g.servesCalls(t.Context()) }, 10*time.Second, 20*time.Millisecond)
	var conns []net.Conn
	for range crowd {
		c, err := net.DialTimeout("tcp", g.callerAddress, time.Second)
		require.NoError(t, err)
		defer c.Close()
		conns = append(conns, c)
	}
	_, err = f.Add(fleet.ModelService, "zone-1", fleet.Behavior{Events: 3})
	require.NoError(t, err)
	served := func() bool {
		// Each of the connections that were accepted first carries one request.
		c := conns[0]
		conns = conns[1:]
		fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: %s\r\nX-Api-Key: %s\r\nX-Kingcupplank-Attempt-Id: %s\r\nX-Kingcupplank-Token-Usage: 100,400\r\nContent-Length: 0\r\n\r\n", fleet.PlanPath, fleet.Host, fleet.Key, fleet.NextID())
		c.SetReadDeadline(time.Now().Add(time.Second))
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		return err == nil && resp.StatusCode == http.StatusOK
	}
	require.Eventually(t, served, time.Second, 50*time.Millisecond, "connections to servers")
	unread := 0
	for _, c := range conns {
		c.SetReadDeadline(time.Now().Add(time.Millisecond))
		if _, err := c.Read(make([]byte, 1)); err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			unread++
		}
	}
	require.GreaterOrEqual(t, unread, crowd-descriptors, "closed, so that their callers try another gateway")
}

// With invalid settings the gateway must print one line that lists all errors and exit with code 2.
func TestProcessGatewayBadSettings(t *testing.T) {
	dir, err := binaries()
	require.NoError(t, err)
	path := filepath.Join(t.TempDir(), "settings.json")
	require.NoError(t, os.WriteFile(path, []byte(`{"nodeName":"","zone":"z","ip":"x"}`), 0o600))
	for _, settingsPath := range []string{path, "", path + ".none"} {
		cmd := exec.Command(filepath.Join(dir, "kingcup-gateway"))
		cmd.Env = append(os.Environ(), fleet.SettingsVariable+"="+settingsPath)
		out, err := cmd.CombinedOutput()
		var exit *exec.ExitError
		require.ErrorAs(t, err, &exit)
		require.Equal(t, 2, exit.ExitCode())
		require.Equal(t, 1, strings.Count(string(out), "\n"), string(out))
	}
	cmd := exec.Command(filepath.Join(dir, "kingcup-gateway"), "-feed-wait", "1h", "-metrics-port", "x")
	out, err := cmd.CombinedOutput()
	require.Error(t, err)
	require.Contains(t, string(out), "-feed-wait")
	require.Contains(t, string(out), "metrics-port")
}

// Guards against a response that is ready and cut off at the end of the process, as its caller reads slowly.
func TestProcessGatewayLeavesReadyResponsesToSlowReaders(t *testing.T) {
	const length = 320 << 10
	f := fleet.New()
	defer f.Close()
	_, err := f.Add(fleet.DeskService, "zone-1", fleet.Behavior{ForRequest: func(b fleet.Behavior, r *http.Request) fleet.Behavior {
		if r.Header.Get("X-Large") != "" {
			b.Raw = func(c net.Conn, r *http.Request) { answerWith(c, r, length) }
		}
		return b
	}})
	require.NoError(t, err)
	dir, err := binaries()
	require.NoError(t, err)
	g := startGatewayCommand(t, f, exec.Command(filepath.Join(dir, "kingcup-gateway"), "-metrics-port", "0", "-leave", "3s"))
	waitUntil(t, "an ordinary request is answered", func() bool { return g.servesCalls(t.Context()) })
	var conns []net.Conn
	for range 2 {
		c, err := net.Dial("tcp", g.callerAddress)
		require.NoError(t, err)
		defer c.Close()
		conns = append(conns, c)
	}
	request := func(c net.Conn) {
		_, err := io.WriteString(c, head(fleet.Key, "X-Large: 1", "Content-Length: 0"))
		require.NoError(t, err)
		require.NoError(t, c.SetReadDeadline(time.Now().Add(10*time.Second)))
		_, err = c.Read(make([]byte, 1))
		require.NoError(t, err, "the response has begun")
	}
	request(conns[0])
	require.NoError(t, g.cmd.Process.Signal(syscall.SIGTERM))
	waitUntil(t, "connections are closed after a response", func() bool { return g.closesConnections(t) })
	request(conns[1])
	require.NoError(t, g.cmd.Wait())
	for _, c := range conns {
		require.NoError(t, c.SetReadDeadline(time.Now().Add(time.Minute)))
		body, err := io.ReadAll(c)
		require.NoError(t, err)
		require.Greater(t, len(body), length)
	}
}

// closesConnections reports whether the gateway closes connections after their next response.
func (g *gatewayProcess) closesConnections(t *testing.T) bool {
	c, err := net.Dial("tcp", g.callerAddress)
	require.NoError(t, err)
	defer c.Close()
	_, err = io.WriteString(c, head(fleet.Key, "Content-Length: 0"))
	require.NoError(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	require.NoError(t, err)
	return resp.Close
}
