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

// raceVariable, when set, builds the programs with the race detector. A program
// that finds a race ends at once, and so fails its test.
const raceVariable = "KINGCUP_PROOF_RACE"

// binaries builds the programs once for all tests of this package.
var binaries = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "kingcup-bin")
	if err != nil {
		return "", err
	}
	args := []string{"build", "-o", dir + "/"}
	if os.Getenv(raceVariable) != "" {
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

// processes runs the system as separate processes on loopback.
type processes struct {
	t     *testing.T
	dir   string
	table string
	objs  string
	procs map[string]*exec.Cmd
	args  map[string][]string
	conns []grpc.ClientConnInterface
}

func freePort(*testing.T) string { return standin.UniqueAddress() }

func newProcesses(t *testing.T) *processes {
	dir, err := binaries()
	require.NoError(t, err)
	p := &processes{t: t, dir: dir, table: freePort(t), objs: freePort(t), procs: map[string]*exec.Cmd{}, args: map[string][]string{}}
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
	cmd.Env = append(os.Environ(), "KINGCUP_TABLE_ADDRESS="+p.table, "KINGCUP_OBJECT_ADDRESS="+p.objs, "KINGCUP_CONFIG_POLL=500ms", "KINGCUP_LOG_LEVEL=error", "GORACE=halt_on_error=1")
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

// startAll runs two servers of one model and two entries, configures the team
// and waits until the entries serve it.
func (p *processes) startAll() *client.Client {
	var vms []string
	type role struct{ name, inner, extra string }
	var servers, entries []role
	for i := range 2 {
		servers = append(servers, role{fmt.Sprintf("server-%d", i), freePort(p.t), freePort(p.t)})
		entries = append(entries, role{fmt.Sprintf("entry-%d", i), freePort(p.t), freePort(p.t)})
		vms = append(vms, fmt.Sprintf("%s=agent:%s:d%d:%s", servers[i].name, servers[i].inner, i, model))
		vms = append(vms, fmt.Sprintf("%s=entry:%s:d%d", entries[i].name, entries[i].inner, i))
	}
	p.start("table", "kingcup-standin", "-kind", "table", "-address", p.table, "-object-address", p.objs, "-vms", strings.Join(vms, ","))
	for i, s := range servers {
		p.start(fmt.Sprintf("engine-%d", i), "kingcup-standin", "-kind", "engine", "-address", s.extra, "-models", model, "-step", "10ms", "-checks-term=false")
		p.start(s.name, "kingcup-agent", "-name", s.name, "-failure-domain", fmt.Sprintf("d%d", i), "-inner-address", s.inner, "-engine-address", s.extra)
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

// until repeats f until it succeeds; the bound only ends a broken run.
func until(t *testing.T, what string, f func() bool) {
	t.Helper()
	deadline := time.Now().Add(time.Minute)
	for !f() {
		require.True(t, time.Now().Before(deadline), "never: %s", what)
		time.Sleep(20 * time.Millisecond)
	}
}

func (p *processes) configure(conns []grpc.ClientConnInterface) {
	rows := []*kingcupv1.Row{
		{Row: &kingcupv1.Row_Model{Model: &kingcupv1.Model{Name: model, Kind: kingcupv1.ModelKind_MODEL_KIND_GENERATION}}},
		{Row: &kingcupv1.Row_Team{Team: &kingcupv1.Team{Name: team, Weight: 1, Models: []string{model}}}},
	}
	until(p.t, "configuration accepted", func() bool {
		_, err := kingcupv1.NewOperatorServiceClient(conns[0]).Apply(p.t.Context(), &kingcupv1.ApplyRequest{ChangeId: "setup", Puts: rows})
		return err == nil
	})
	for _, c := range conns {
		until(p.t, "both servers connected", func() bool {
			resp, err := kingcupv1.NewOperatorServiceClient(c).BackendServers(p.t.Context(), &kingcupv1.BackendServersRequest{})
			return err == nil && resp.GetConfigVersion() > 0 && len(resp.GetServers()) == 2 &&
				resp.GetServers()[0].GetConnected() && resp.GetServers()[1].GetConnected()
		})
	}
}

// stream runs one generation in the background.
func stream(t *testing.T, c *client.Client, id string, tokens int) (*seen, <-chan struct{}) {
	s := &system{t: t}
	return s.generate(c, request(id, tokens))
}

func requireWholeSoon(t *testing.T, at *seen, done <-chan struct{}, tokens int) {
	t.Helper()
	select {
	case <-done:
	case <-time.After(time.Minute):
		t.Fatalf("stuck after %d tokens", at.count())
	}
	requireWhole(t, at, tokens)
}

// Real processes: in mid-stream the serving agent is killed with SIGKILL and
// replaced, then its engine is, then an entry. The caller must see all tokens
// once, in order, from one generation.
func TestProcessesKilled(t *testing.T) {
	p := newProcesses(t)
	c := p.startAll()
	at, done := stream(t, c, "killed", 400)
	until(t, "first tokens", func() bool { return at.count() > 50 })
	server := at.server()
	p.kill(server)
	p.restart(server)
	until(t, "tokens after the agent", func() bool { return at.count() > 150 })
	engineName := strings.Replace(at.server(), "server", "engine", 1)
	p.kill(engineName)
	p.restart(engineName)
	until(t, "tokens after the engine", func() bool { return at.count() > 250 })
	p.kill("entry-0")
	p.restart("entry-0")
	requireWholeSoon(t, at, done, 400)
}

// Real processes: the agent is frozen with SIGSTOP in mid-stream for longer than
// the entry waits, so the stream moves; then it thaws and sends its late tokens.
// The caller must see each token once.
func TestProcessFrozenAndThawed(t *testing.T) {
	p := newProcesses(t)
	c := p.startAll()
	at, done := stream(t, c, "frozen", 600)
	until(t, "first tokens", func() bool { return at.count() > 50 })
	frozen := at.server()
	p.signal(frozen, syscall.SIGSTOP)
	until(t, "move to the other server", func() bool { return at.server() != frozen })
	p.signal(frozen, syscall.SIGCONT)
	requireWholeSoon(t, at, done, 600)
}

// Real processes: an entry takes the lease for orders and is frozen with SIGSTOP
// before it hears so. Its lease lapses, another entry orders under a higher term,
// the first thaws. Its order must be refused and must not reach the engine, which
// ignores terms.
func TestProcessFrozenLeaseHolder(t *testing.T) {
	p := newProcesses(t)
	p.startAll()
	order := func(entry int, model string) error {
		_, err := kingcupv1.NewOperatorServiceClient(p.conns[entry]).Order(t.Context(), &kingcupv1.OrderRequest{
			BackendServer: "server-0", Verb: kingcupv1.OrderVerb_ORDER_VERB_LOAD, Model: model,
		})
		return err
	}
	p.faults("delay_ms=5000")
	frozen := make(chan error, 1)
	go func() { frozen <- order(0, "old") }()
	until(t, "lease taken", func() bool {
		term, err := lease.ReadTerm(t.Context(), p.tableClient(), entry.OrderLeaseName("server-0"))
		return err == nil && term == 1
	})
	p.signal("entry-0", syscall.SIGSTOP)
	p.faults("")
	until(t, "order under the next lease", func() bool { return order(1, "new") == nil })
	p.signal("entry-0", syscall.SIGCONT)
	err := <-frozen
	require.True(t, failure.IsNotRun(err), "%v", err)
	until(t, "new model loaded", func() bool { return slices.Contains(p.models("server-0"), "new") })
	require.NotContains(t, p.models("server-0"), "old")
}

// faults sets the fault switches of the table's stand-in.
func (p *processes) faults(query string) {
	status, _, err := fasthttp.Post(nil, "http://"+p.objs+"/faults?"+query, nil)
	require.NoError(p.t, err)
	require.Equal(p.t, fasthttp.StatusOK, status)
}

func (p *processes) tableClient() *tableclient.Client {
	conn, err := app.DialGRPC(p.table)
	require.NoError(p.t, err)
	p.t.Cleanup(func() { conn.Close() })
	return tableclient.New(conn)
}

// models are the models that a server has loaded, as entry 1 knows.
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

// Real processes: entries and agents get SIGTERM twice under load. Each process
// must end by itself with code 0 and every stream must be whole.
func TestProcessesTerminatedUnderLoad(t *testing.T) {
	p := newProcesses(t)
	c := p.startAll()
	var all []*seen
	var waits []<-chan struct{}
	for i := range 8 {
		at, done := stream(t, c, fmt.Sprintf("t%d", i), 150)
		all, waits = append(all, at), append(waits, done)
	}
	until(t, "all streaming", func() bool {
		for _, at := range all {
			if at.count() == 0 {
				return false
			}
		}
		return true
	})
	for _, name := range []string{"entry-0", "server-0"} {
		p.signal(name, syscall.SIGTERM)
		p.signal(name, syscall.SIGTERM)
	}
	for i, done := range waits {
		requireWholeSoon(t, all[i], done, 150)
		require.Zero(t, all[i].res.Resumes, "a stream was cut off")
	}
	for _, name := range []string{"entry-0", "server-0"} {
		require.NoError(t, p.procs[name].Wait(), name)
		p.procs[name] = nil
	}
}

// A bad setting must end the program with code 2 and one line that names the
// flag and the value, before anything starts; help and version end with 0.
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
