package slopes

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"google.golang.org/grpc"

	"kingcupplank.example/kingcup/engine"
	"kingcupplank.example/kingcup/engine/engineclient"
	"kingcupplank.example/kingcup/internal/app"
	"kingcupplank.example/kingcup/internal/standin"
	"kingcupplank.example/kingcup/internal/standin/services"
	"kingcupplank.example/kingcup/internal/standin/tables"
	"kingcupplank.example/kingcup/internal/wire"
	kingcupv1 "kingcupplank.example/kingcup/proto/kingcup/v1"
	"kingcupplank.example/kingcup/vmlist"
)

// Names in the configuration of the measured system.
const (
	model   = "m"
	service = "s"
	team    = "t"
)

// processes are agents and entries that run in this process and communicate over loopback.
type processes struct {
	table    *tables.Table
	network  wire.Network
	log      logrus.FieldLogger
	agents   []*app.Agent
	entries  []*app.Entry
	conns    []*grpc.ClientConn
	standins standin.Servers
	// heartbeat is the heartbeat interval of the entries, configPoll the poll interval for the
	// configuration of all processes.
	heartbeat, configPoll time.Duration
}

func newProcesses(network wire.Network, heartbeat, configPoll time.Duration) *processes {
	quiet := logrus.New()
	quiet.SetOutput(io.Discard)
	return &processes{table: tables.New(), network: network, log: quiet, heartbeat: heartbeat, configPoll: configPoll}
}

// maxMeasuredStreams is higher than any number of streams that is measured.
const maxMeasuredStreams = 1 << 14

// numDomains is the number of failure domains of the target size.
const numDomains = 8

func (n *processes) commonOptions(role string, i int) (app.CommonOptions, error) {
	inner, err := standin.FreeAddress()
	return app.CommonOptions{
		Name: fmt.Sprintf("%s-%d", role, i), FailureDomain: fmt.Sprintf("d%d", i%numDomains),
		InnerAddress: inner, ConfigPollInterval: n.configPoll, ConfigStaleAfter: time.Minute,
	}, err
}

func (n *processes) platform() app.Platform {
	return app.Platform{Table: n.table, Objects: n.table, VMs: n.table}
}

// addAgent starts an agent for the engine e, or for a service if e is nil.
func (n *processes) addAgent(e engine.Engine) error {
	c, err := n.commonOptions("agent", len(n.agents))
	if err != nil {
		return err
	}
	o := app.DefaultAgentOptions(c)
	// Only the relay is measured, so streams must not queue.
	o.Policy.MaxBatch = maxMeasuredStreams
	b, serves := app.Backend{Service: services.New()}, service
	if e != nil {
		b, serves = app.Backend{Engine: e}, model
	} else {
		o.Services = []string{service}
	}
	// The agent uses a network that does not count, since the dialing side counts all traffic.
	a, err := app.StartAgent(context.Background(), o, b, n.platform(), wire.TCP{}, n.log)
	if err != nil {
		return err
	}
	n.agents = append(n.agents, a)
	n.table.PutVM(vmlist.VM{Name: c.Name, Address: c.InnerAddress, FailureDomain: c.FailureDomain, Role: vmlist.RoleAgent, Models: []string{serves}})
	return nil
}

// addEntry starts an entry that watches at most links agents.
func (n *processes) addEntry(links int) error {
	c, err := n.commonOptions("entry", len(n.entries))
	if err != nil {
		return err
	}
	o := app.DefaultEntryOptions(c)
	o.CallerAddress = "127.0.0.1:0"
	o.AgentLinks, o.HeartbeatInterval, o.ListInterval = links, n.heartbeat, 500*time.Millisecond
	n.table.PutVM(vmlist.VM{Name: c.Name, Address: c.InnerAddress, FailureDomain: c.FailureDomain, Role: vmlist.RoleEntry})
	e, err := app.StartEntry(o, n.platform(), n.network, n.log)
	if err != nil {
		return err
	}
	n.entries = append(n.entries, e)
	conn, err := app.DialGRPC(e.CallerAddress)
	if err != nil {
		return err
	}
	n.conns = append(n.conns, conn)
	return nil
}

// addEngine serves e over gRPC and starts an agent for it. It returns the address of the engine.
func (n *processes) addEngine(e engine.Engine) (string, error) {
	address, err := n.standins.ServeEngine(e, "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	conn, err := app.DialGRPC(address)
	if err != nil {
		return "", err
	}
	n.conns = append(n.conns, conn)
	return address, n.addAgent(engineclient.New(conn))
}

func (n *processes) close() {
	for _, c := range n.conns {
		c.Close()
	}
	for _, e := range n.entries {
		e.Close()
	}
	for _, a := range n.agents {
		a.Close()
	}
	n.standins.Close()
}

// apply commits rows through the first entry.
func (n *processes) apply(id string, rows ...*kingcupv1.Row) (*kingcupv1.ApplyResponse, error) {
	return n.entries[0].Entry.Apply(context.Background(), &kingcupv1.ApplyRequest{ChangeId: id, Puts: rows})
}

// countAtVersion counts the processes whose configuration has at least a version.
func (n *processes) countAtVersion(version uint64) int {
	count := 0
	for _, a := range n.agents {
		if a.Sync.Replica().Version() >= version {
			count++
		}
	}
	for _, e := range n.entries {
		if e.Sync.Replica().Version() >= version {
			count++
		}
	}
	return count
}

// countConnected counts the sessions of all entries to agents.
func (n *processes) countConnected() int {
	count := 0
	for _, e := range n.entries {
		resp, err := e.Entry.BackendServers(context.Background(), nil)
		if err != nil {
			continue
		}
		for _, s := range resp.GetServers() {
			if s.GetConnected() {
				count++
			}
		}
	}
	return count
}

const settleTimeout = time.Minute

// waitUntil polls done until it returns true. It returns an error after settleTimeout.
func waitUntil(what string, done func() bool) error {
	const poll = 2 * time.Millisecond
	deadline := time.Now().Add(settleTimeout)
	for !done() {
		if time.Now().After(deadline) {
			return errors.Errorf("timed out: %s", what)
		}
		time.Sleep(poll)
	}
	return nil
}

// teamModels are the models that each of the measured teams may use.
var teamModels = []string{"model-01", "model-02", "model-03"}

// baseRows returns a configuration in which team may use model and service.
func baseRows() []*kingcupv1.Row {
	rows := []*kingcupv1.Row{
		{Row: &kingcupv1.Row_Priority{Priority: &kingcupv1.Priority{Name: "interactive", Level: 1}}},
		{Row: &kingcupv1.Row_Model{Model: &kingcupv1.Model{Name: service, Kind: kingcupv1.ModelKind_MODEL_KIND_SERVICE}}},
		{Row: &kingcupv1.Row_Team{Team: &kingcupv1.Team{Name: team, Weight: 1, Models: []string{model, service}}}},
	}
	for _, name := range append([]string{model}, teamModels...) {
		m := &kingcupv1.Model{Name: name, Kind: kingcupv1.ModelKind_MODEL_KIND_GENERATION}
		rows = append(rows, &kingcupv1.Row{Row: &kingcupv1.Row_Model{Model: m}})
	}
	return rows
}
