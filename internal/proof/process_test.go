package proof

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
	"google.golang.org/grpc"

	"kingcupplank.example/kingcup/client"
	"kingcupplank.example/kingcup/failure"
	"kingcupplank.example/kingcup/internal/app"
	"kingcupplank.example/kingcup/internal/entry"
	"kingcupplank.example/kingcup/internal/settings"
	"kingcupplank.example/kingcup/internal/standin"
	"kingcupplank.example/kingcup/lease"
	kingcupv1 "kingcupplank.example/kingcup/proto/kingcup/v1"
	"kingcupplank.example/kingcup/storage/tableclient"
)

// raceEnvVar is the environment variable that, if set, makes the tests build the programs with the
// race detector. A program that detects a race exits at once, so that its test fails.
const raceEnvVar = "KINGCUP_PROOF_RACE"

// binaries builds the programs once for all tests of this package.
var binaries = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "kingcup-bin")
	if err != nil {
		return "", err
	}
	args := []string{"build", "-o", dir + "/"}
	if os.Getenv(raceEnvVar) != "" {
		args = append(args, "-race")
	}
	build := exec.Command("go", append(args, "kingcupplank.example/kingcup/cmd/...")...)
	out, err := build.CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("build: %w: %s", err, out)
	}
	return dir, nil
})

func TestMain(m *testing.M) {
	code := m.Run()
	if dir, err := binaries(); err == nil {
		os.RemoveAll(dir)
	}
	os.Exit(code)
}

// processes is a system of separate processes that communicate over loopback.
type processes struct {
	t             *testing.T
	dir           string
	tableAddress  string
	objectAddress string
	procs         map[string]*exec.Cmd
	args          map[string][]string
	conns         []grpc.ClientConnInterface
	// hasService makes startAll start a third server with a plain service.
	hasService bool
}

func freeAddress(*testing.T) string { return standin.UniqueAddress() }

func newProcesses(t *testing.T) *processes {
	dir, err := binaries()
	require.NoError(t, err)
	p := &processes{t: t, dir: dir, tableAddress: freeAddress(t), objectAddress: freeAddress(t), procs: map[string]*exec.Cmd{}, args: map[string][]string{}}
	t.Cleanup(func() {
		for name := range p.procs {
			p.signal(name, syscall.SIGCONT)
			p.kill(name)
		}
	})
	return p
}

func (p *processes) start(name, binary string, args ...string) {
	p.args[name] = append([]string{binary}, args...)
	p.restart(name)
}

func (p *processes) restart(name string) {
	args := p.args[name]
	cmd := exec.Command(filepath.Join(p.dir, args[0]), args[1:]...)
	cmd.Env = append(os.Environ(), "KINGCUP_TABLE_ADDRESS="+p.tableAddress, "KINGCUP_OBJECT_ADDRESS="+p.objectAddress, "KINGCUP_CONFIG_POLL=500ms", "KINGCUP_LOG_LEVEL=error", "GORACE=halt_on_error=1")
	cmd.Stderr = os.Stderr
	require.NoError(p.t, cmd.Start())
	p.procs[name] = cmd
}

func (p *processes) signal(name string, sig syscall.Signal) {
	if cmd := p.procs[name]; cmd != nil {
		cmd.Process.Signal(sig)
	}
}

func (p *processes) kill(name string) {
	if cmd := p.procs[name]; cmd != nil {
		cmd.Process.Kill()
		cmd.Wait()
		p.procs[name] = nil
	}
}

// startAll starts two servers of one model and two entries, configures the team and waits until both
// entries are connected to both servers.
func (p *processes) startAll() *client.Client {
	var vms []string
	type role struct{ name, inner, extra string }
	var servers, entries []role
	for i := range 2 {
		servers = append(servers, role{fmt.Sprintf("server-%d", i), freeAddress(p.t), freeAddress(p.t)})
		entries = append(entries, role{fmt.Sprintf("entry-%d", i), freeAddress(p.t), freeAddress(p.t)})
		vms = append(vms, fmt.Sprintf("%s=agent:%s:d%d:%s", servers[i].name, servers[i].inner, i, model))
		vms = append(vms, fmt.Sprintf("%s=entry:%s:d%d", entries[i].name, entries[i].inner, i))
	}
	var desk role
	if p.hasService {
		desk = role{"desk-0", freeAddress(p.t), freeAddress(p.t)}
		vms = append(vms, fmt.Sprintf("%s=agent:%s:d0:%s", desk.name, desk.inner, service))
	}
	p.start("table", "kingcup-standin", "-kind", "table", "-address", p.tableAddress, "-object-address", p.objectAddress, "-vms", strings.Join(vms, ","))
	for i, s := range servers {
		p.start(fmt.Sprintf("engine-%d", i), "kingcup-standin", "-kind", "engine", "-address", s.extra, "-models", model, "-step", "10ms", "-checks-term=false")
		p.start(s.name, "kingcup-agent", "-name", s.name, "-failure-domain", fmt.Sprintf("d%d", i), "-inner-address", s.inner, "-engine-address", s.extra)
	}
	if p.hasService {
		p.start("service", "kingcup-standin", "-kind", "service", "-address", desk.extra)
		p.start(desk.name, "kingcup-agent", "-name", desk.name, "-failure-domain", "d0", "-inner-address", desk.inner, "-service-address", desk.extra, "-services", service)
	}
	var conns []grpc.ClientConnInterface
	for i, e := range entries {
		p.start(e.name, "kingcup-entry", "-name", e.name, "-failure-domain", fmt.Sprintf("d%d", i), "-inner-address", e.inner,
			"-caller-address", e.extra, "-list-every", "200ms", "-heartbeat", "100ms", "-lease-ttl", "2s")
		conn, err := app.DialGRPC(e.extra)
		require.NoError(p.t, err)
		p.t.Cleanup(func() { conn.Close() })
		conns = append(conns, conn)
	}
	p.configure(conns)
	p.conns = conns
	return client.New(client.Options{MaxRetries: 100, MaxResumes: 200, ResumeInterval: 50 * time.Millisecond}, conns...)
}

// served returns the names of what the servers serve: two serve the model.
func (p *processes) served() []string {
	if p.hasService {
		return []string{model, service}
	}
	return []string{model}
}

// waitUntil polls f until it returns true, and fails the test after a minute.
func waitUntil(t *testing.T, what string, f func() bool) {
	t.Helper()
	deadline := time.Now().Add(time.Minute)
	for !f() {
		require.True(t, time.Now().Before(deadline), "timed out: %s", what)
		time.Sleep(20 * time.Millisecond)
	}
}

func (p *processes) configure(conns []grpc.ClientConnInterface) {
	rows := []*kingcupv1.Row{
		{Row: &kingcupv1.Row_Model{Model: &kingcupv1.Model{Name: model, Kind: kingcupv1.ModelKind_MODEL_KIND_GENERATION}}},
		{Row: &kingcupv1.Row_Team{Team: &kingcupv1.Team{Name: team, Weight: 1, Models: p.served()}}},
	}
	if p.hasService {
		rows = append(rows, &kingcupv1.Row{Row: &kingcupv1.Row_Model{Model: &kingcupv1.Model{Name: service, Kind: kingcupv1.ModelKind_MODEL_KIND_SERVICE}}})
	}
	waitUntil(p.t, "configuration accepted", func() bool {
		_, err := kingcupv1.NewOperatorServiceClient(conns[0]).Apply(p.t.Context(), &kingcupv1.ApplyRequest{ChangeId: "setup", Puts: rows})
		return err == nil
	})
	for _, c := range conns {
		waitUntil(p.t, "all servers connected", func() bool {
			resp, err := kingcupv1.NewOperatorServiceClient(c).BackendServers(p.t.Context(), &kingcupv1.BackendServersRequest{})
			return err == nil && resp.GetConfigVersion() > 0 && len(resp.GetServers()) == len(p.served())+1 &&
				!slices.ContainsFunc(resp.GetServers(), func(s *kingcupv1.BackendServer) bool { return !s.GetConnected() })
		})
	}
}

// stream starts a generation in the background.
func stream(t *testing.T, c *client.Client, id string, tokens int) (*observedStream, <-chan struct{}) {
	s := &system{t: t}
	return s.generate(c, request(id, tokens))
}

func requireCompleteSoon(t *testing.T, got *observedStream, done <-chan struct{}, tokens int) {
	t.Helper()
	select {
	case <-done:
	case <-time.After(time.Minute):
		t.Fatalf("timed out after %d tokens", got.count())
	}
	requireComplete(t, got, tokens)
}

// During a stream through separate processes, its agent, then its engine and then an entry is killed
// with SIGKILL and restarted. The caller must get each token once, in order and from one generation.
func TestProcessesKilled(t *testing.T) {
	p := newProcesses(t)
	c := p.startAll()
	got, done := stream(t, c, "killed", 400)
	waitUntil(t, "first tokens", func() bool { return got.count() > 50 })
	server := got.server()
	p.kill(server)
	p.restart(server)
	waitUntil(t, "tokens after the agent", func() bool { return got.count() > 150 })
	engineName := strings.Replace(got.server(), "server", "engine", 1)
	p.kill(engineName)
	p.restart(engineName)
	waitUntil(t, "tokens after the engine", func() bool { return got.count() > 250 })
	p.kill("entry-0")
	p.restart("entry-0")
	requireCompleteSoon(t, got, done, 400)
}

// During a stream through separate processes, its agent is stopped with SIGSTOP for longer than the
// entry's timeout, so that the stream continues at another server. Then the agent continues and
// sends its late tokens. The caller must get each token once.
func TestProcessFrozenAndThawed(t *testing.T) {
	p := newProcesses(t)
	c := p.startAll()
	got, done := stream(t, c, "frozen", 600)
	waitUntil(t, "first tokens", func() bool { return got.count() > 50 })
	frozen := got.server()
	p.signal(frozen, syscall.SIGSTOP)
	waitUntil(t, "migration to the other server", func() bool { return got.server() != frozen })
	p.signal(frozen, syscall.SIGCONT)
	requireCompleteSoon(t, got, done, 600)
}

// With separate processes, an entry acquires the lease for orders and is stopped with SIGSTOP before
// it gets the response. Its lease expires, another entry sends an order with a higher term, and the
// first continues. Its order must be refused and must not reach the engine, which ignores terms.
func TestProcessFrozenLeaseHolder(t *testing.T) {
	p := newProcesses(t)
	p.startAll()
	order := func(entry int, model string) error {
		_, err := kingcupv1.NewOperatorServiceClient(p.conns[entry]).Order(t.Context(), &kingcupv1.OrderRequest{
			BackendServer: "server-0", Verb: kingcupv1.OrderVerb_ORDER_VERB_LOAD, Model: model,
		})
		return err
	}
	p.setFaults("delay_ms=5000")
	frozen := make(chan error, 1)
	go func() { frozen <- order(0, "old") }()
	waitUntil(t, "lease acquired", func() bool {
		term, err := lease.ReadTerm(t.Context(), p.tableClient(), entry.OrderLeaseName("server-0"))
		return err == nil && term == 1
	})
	p.signal("entry-0", syscall.SIGSTOP)
	p.setFaults("")
	waitUntil(t, "order under the next lease", func() bool { return order(1, "new") == nil })
	p.signal("entry-0", syscall.SIGCONT)
	err := <-frozen
	require.True(t, failure.IsNotRun(err), "%v", err)
	waitUntil(t, "new model loaded", func() bool { return slices.Contains(p.models("server-0"), "new") })
	require.NotContains(t, p.models("server-0"), "old")
}

// setFaults sets the faults that the stand-in of the table injects.
func (p *processes) setFaults(query string) {
	status, _, err := fasthttp.Post(nil, "http://"+p.objectAddress+"/faults?"+query, nil)
	require.NoError(p.t, err)
	require.Equal(p.t, fasthttp.StatusOK, status)
}

func (p *processes) tableClient() *tableclient.Client {
	conn, err := app.DialGRPC(p.tableAddress)
	require.NoError(p.t, err)
	p.t.Cleanup(func() { conn.Close() })
	return tableclient.New(conn)
}

// models returns the models that a server has loaded according to entry 1.
func (p *processes) models(server string) []string {
	resp, err := kingcupv1.NewOperatorServiceClient(p.conns[1]).BackendServers(p.t.Context(), &kingcupv1.BackendServersRequest{})
	require.NoError(p.t, err)
	for _, b := range resp.GetServers() {
		if b.GetName() == server {
			return b.GetModels()
		}
	}
	return nil
}

// With separate processes under load, an entry and an agent get SIGTERM twice. Both must exit with
// code 0 and every stream must be complete.
func TestProcessesTerminatedUnderLoad(t *testing.T) {
	p := newProcesses(t)
	c := p.startAll()
	var streams []*observedStream
	var dones []<-chan struct{}
	for i := range 8 {
		got, done := stream(t, c, fmt.Sprintf("t%d", i), 150)
		streams, dones = append(streams, got), append(dones, done)
	}
	waitUntil(t, "all streaming", func() bool {
		for _, got := range streams {
			if got.count() == 0 {
				return false
			}
		}
		return true
	})
	for _, name := range []string{"entry-0", "server-0"} {
		p.signal(name, syscall.SIGTERM)
		p.signal(name, syscall.SIGTERM)
	}
	for i, done := range dones {
		requireCompleteSoon(t, streams[i], done, 150)
		require.Zero(t, streams[i].res.Resumes, "a stream was resumed")
	}
	for _, name := range []string{"entry-0", "server-0"} {
		require.NoError(t, p.procs[name].Wait(), name)
		p.procs[name] = nil
	}
}

// With an invalid setting a program must exit with code 2 before it starts anything, and its output
// must name the flag and the value. With -help and -version it must exit with code 0.
func TestBadSettings(t *testing.T) {
	dir, err := binaries()
	require.NoError(t, err)
	good := []string{"-name", "e", "-failure-domain", "d", "-inner-address", "127.0.0.1:0", "-table-address", "127.0.0.1:1", "-object-address", "127.0.0.1:1"}
	for _, c := range []struct {
		binary string
		args   []string
		want   []string
	}{
		{"kingcup-entry", append(good, "-caller-address", "nowhere"), []string{"-caller-address", `"nowhere"`}},
		{"kingcup-entry", append(good, "-caller-address", "127.0.0.1:0", "-peers", "-3"), []string{"-peers", `"-3"`}},
		{"kingcup-entry", append(good, "-caller-address", "127.0.0.1:0", "-heartbeat", "soon"), []string{"heartbeat", "soon"}},
		{"kingcup-entry", append(good, "-caller-address", "127.0.0.1:0", "-colour", "red"), []string{"colour"}},
		{"kingcup-agent", append(good, "-max-batch", "0", "-log-level", "loud"), []string{"-max-batch", `"0"`, "-log-level", `"loud"`}},
		{"kingcup-standin", []string{"-kind", "moon", "-address", "127.0.0.1:0"}, []string{"-kind", `"moon"`}},
		{"kingcupctl", []string{"-o", "xml", "status"}, []string{"-o", `"xml"`}},
	} {
		out, err := exec.Command(filepath.Join(dir, c.binary), c.args...).CombinedOutput()
		var exit *exec.ExitError
		require.ErrorAs(t, err, &exit, "%s %v", c.binary, c.args)
		require.Equal(t, settings.ExitUsage, exit.ExitCode())
		for _, w := range c.want {
			require.Contains(t, string(out), w)
		}
	}
	for _, ask := range []string{"-help", "-version"} {
		require.NoError(t, exec.Command(filepath.Join(dir, "kingcup-agent"), ask).Run())
	}
}
