// Package dev runs the whole system in one process, with stand-ins for the platform, the model
// engines and the plain services, and demonstrates requests on it.
package dev

import (
	"context"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"google.golang.org/grpc"

	"kingcupplank.example/kingcup/client"
	"kingcupplank.example/kingcup/internal/app"
	"kingcupplank.example/kingcup/internal/standin"
	"kingcupplank.example/kingcup/internal/standin/engines"
	"kingcupplank.example/kingcup/internal/standin/services"
	"kingcupplank.example/kingcup/internal/standin/tables"
	"kingcupplank.example/kingcup/internal/wire"
	kingcupv1 "kingcupplank.example/kingcup/proto/kingcup/v1"
	"kingcupplank.example/kingcup/vmlist"
)

// Names in the configuration that System.Configure applies.
const (
	Model   = "plan-writer"
	Service = "desk"
	Team    = "small-farm"
)

// Options configures a System.
type Options struct {
	// Servers is the number of model backend servers, Entries that of entries.
	Servers, Entries int
	// TokenInterval is the time between two tokens of an engine.
	TokenInterval time.Duration
	// Verbose sets the log level to debug instead of error.
	Verbose bool
}

// System is the whole system in one process.
type System struct {
	Table   *tables.Table
	entries []*app.Entry
	agents  []*app.Agent
	engines []*engines.Engine
	// conns has one connection to each entry.
	conns   []grpc.ClientConnInterface
	closers []func() error
	// adminAddress is the admin address of the last entry.
	adminAddress string
}

var failureDomains = []string{"hall-a", "hall-b", "shed-c"}

// Start starts all entries and backend servers. If one fails, it stops them all again.
func Start(o Options) (*System, error) {
	sys := &System{Table: tables.New()}
	if err := sys.start(o); err != nil {
		sys.Close()
		return nil, err
	}
	return sys, nil
}

func (s *System) start(o Options) error {
	for i := range o.Servers {
		e := engines.New(engines.Config{
			Step: o.TokenInterval, Memory: 100000, Resumes: true, ChecksTerm: i%2 == 0,
			Retain: 30 * time.Second, Models: []string{Model},
		})
		s.engines = append(s.engines, e)
		if err := s.startAgent(o, fmt.Sprintf("server-%d", i), i, app.Backend{Engine: e}, Model); err != nil {
			return err
		}
	}
	if err := s.startAgent(o, "desk-0", 1, app.Backend{Service: services.New()}, Service); err != nil {
		return err
	}
	for i := range o.Entries {
		if err := s.startEntry(o, i); err != nil {
			return err
		}
	}
	return nil
}

func (s *System) platform() app.Platform {
	return app.Platform{Table: s.Table, Objects: s.Table, VMs: s.Table}
}

func commonOptions(o Options, name string, i int, innerAddress string) app.CommonOptions {
	level := "error"
	if o.Verbose {
		level = "debug"
	}
	return app.CommonOptions{
		Name: name, FailureDomain: failureDomains[i%len(failureDomains)], InnerAddress: innerAddress,
		ConfigPollInterval: time.Second, ConfigStaleAfter: 30 * time.Second, LogLevel: level, LogFormat: "text",
	}
}

// startAgent starts an agent for a backend server of one model or plain service, and adds it to
// the VM list.
func (s *System) startAgent(o Options, name string, i int, b app.Backend, served string) error {
	innerAddress, err := standin.FreeAddress()
	if err != nil {
		return err
	}
	opts := app.DefaultAgentOptions(commonOptions(o, name, i, innerAddress))
	if b.Service != nil {
		opts.Services = []string{served}
	}
	a, err := app.StartAgent(context.Background(), opts, b, s.platform(), wire.TCP{}, app.NewLog(opts.CommonOptions))
	if err != nil {
		return err
	}
	s.agents = append(s.agents, a)
	s.Table.PutVM(vmlist.VM{
		Name: name, Address: innerAddress, FailureDomain: opts.FailureDomain, Role: vmlist.RoleAgent, Models: []string{served},
	})
	return nil
}

func (s *System) startEntry(o Options, i int) error {
	innerAddress, err := standin.FreeAddress()
	if err != nil {
		return err
	}
	adminAddress, err := standin.FreeAddress()
	if err != nil {
		return err
	}
	opts := app.DefaultEntryOptions(commonOptions(o, fmt.Sprintf("entry-%d", i), i, innerAddress))
	opts.CallerAddress = "127.0.0.1:0"
	opts.AdminAddress = adminAddress
	opts.HeartbeatInterval = 200 * time.Millisecond
	opts.ListInterval = time.Second
	var log logrus.FieldLogger = app.NewLog(opts.CommonOptions)
	s.Table.PutVM(vmlist.VM{Name: opts.Name, Address: innerAddress, FailureDomain: opts.FailureDomain, Role: vmlist.RoleEntry})
	e, err := app.StartEntry(opts, s.platform(), wire.TCP{}, log)
	if err != nil {
		return err
	}
	s.entries = append(s.entries, e)
	s.adminAddress = adminAddress
	conn, err := app.DialGRPC(e.CallerAddress)
	if err != nil {
		return err
	}
	s.conns = append(s.conns, conn)
	s.closers = append(s.closers, conn.Close)
	return nil
}

// CallerAddress returns the address of an entry for callers and operators.
func (s *System) CallerAddress() string { return s.entries[len(s.entries)-1].CallerAddress }

// AdminAddress returns the address of the same entry for metrics and reports.
func (s *System) AdminAddress() string { return s.adminAddress }

// Conns returns a connection to each entry.
func (s *System) Conns() []grpc.ClientConnInterface { return s.conns }

// Close closes the connections and stops all entries, agents and engines.
func (s *System) Close() {
	for _, c := range s.closers {
		c()
	}
	for _, e := range s.entries {
		e.Close()
	}
	for _, a := range s.agents {
		a.Close()
	}
	for _, e := range s.engines {
		e.Kill()
	}
}

// Configure applies the configuration for the requests of RunDemo.
func (s *System) Configure(ctx context.Context) (*kingcupv1.ApplyResponse, error) {
	rows := []*kingcupv1.Row{
		{Row: &kingcupv1.Row_Priority{Priority: &kingcupv1.Priority{Name: "interactive", Level: 10}}},
		{Row: &kingcupv1.Row_Model{Model: &kingcupv1.Model{Name: Model, Version: "1", Kind: kingcupv1.ModelKind_MODEL_KIND_GENERATION, MaxTokens: 20000}}},
		{Row: &kingcupv1.Row_Model{Model: &kingcupv1.Model{Name: Service, Version: "1", Kind: kingcupv1.ModelKind_MODEL_KIND_SERVICE}}},
		{Row: &kingcupv1.Row_Adapter{Adapter: &kingcupv1.Adapter{Name: "harvest", Model: Model}}},
		{Row: &kingcupv1.Row_Team{Team: &kingcupv1.Team{Name: Team, Weight: 1, Priority: "interactive", Models: []string{Model, Service}}}},
		{Row: &kingcupv1.Row_Team{Team: &kingcupv1.Team{Name: "large-ring", Weight: 1, Models: []string{Model, Service}}}},
	}
	return kingcupv1.NewOperatorServiceClient(s.conns[0]).Apply(ctx, &kingcupv1.ApplyRequest{ChangeId: "dev", Puts: rows})
}

// WaitForConfig waits until all entries and agents use at least the given configuration version
// and every entry is connected to all agents.
func (s *System) WaitForConfig(ctx context.Context, version uint64) error {
	const pollInterval = 10 * time.Millisecond
	for !s.isConfigInForce(version) {
		select {
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "configuration is not in force everywhere")
		case <-time.After(pollInterval):
		}
	}
	return nil
}

func (s *System) isConfigInForce(version uint64) bool {
	for _, a := range s.agents {
		if a.Sync.Replica().Version() < version {
			return false
		}
	}
	for _, e := range s.entries {
		resp, err := e.Entry.BackendServers(context.Background(), nil)
		if err != nil || resp.GetConfigVersion() < version || len(resp.GetServers()) < len(s.agents) {
			return false
		}
		for _, b := range resp.GetServers() {
			if !b.GetConnected() {
				return false
			}
		}
	}
	return true
}

// configTimeout is the time within which a change must be in force everywhere.
const configTimeout = 7 * time.Second

// RunDemo makes a configuration change, a generation with prompt and a call that it repeats. It
// writes the result of each step to w.
func (s *System) RunDemo(ctx context.Context, w io.Writer, prompt string) error {
	start := time.Now()
	resp, err := s.Configure(ctx)
	if err != nil {
		return errors.Wrap(err, "apply configuration")
	}
	fmt.Fprintf(w, "operator   configuration version %d accepted, spread %v, witnesses %s\n", resp.GetVersion(), resp.GetSpread(), strings.Join(resp.GetWitnesses(), ", "))
	waitCtx, cancel := context.WithTimeout(ctx, configTimeout)
	defer cancel()
	if err := s.WaitForConfig(waitCtx, resp.GetVersion()); err != nil {
		return err
	}
	fmt.Fprintf(w, "system     in force at %d entries and %d agents after %v\n", len(s.entries), len(s.agents), time.Since(start).Round(time.Millisecond))
	if err := s.demoGeneration(ctx, w, prompt); err != nil {
		return err
	}
	return s.demoCall(ctx, w)
}

func (s *System) demoGeneration(ctx context.Context, w io.Writer, prompt string) error {
	start := time.Now()
	var firstToken time.Duration
	fmt.Fprint(w, "caller    ")
	req := &kingcupv1.GenerateRequest{Team: Team, RequestId: "dev-1", Model: Model, Prompt: []byte(prompt)}
	res, err := client.New(client.DefaultOptions(), s.conns...).Generate(ctx, req, client.Handler{Token: func(t client.Token) {
		if t.Index == 0 {
			firstToken = time.Since(start)
		}
		w.Write(t.Text)
	}})
	if err != nil {
		return errors.Wrap(err, "generate")
	}
	fmt.Fprintf(w, "\nentry      relayed generation %s\n", res.GenerationID)
	fmt.Fprintf(w, "agent      admitted it at %s and numbered %d tokens\n", strings.Join(res.Servers, ", "), res.Tokens)
	fmt.Fprintf(w, "engine     finished it (%s); first token after %v, all after %v\n", res.FinishReason, firstToken.Round(time.Millisecond), time.Since(start).Round(time.Millisecond))
	return nil
}

// demoCall sends the same non-idempotent request twice; the second response is a replay.
func (s *System) demoCall(ctx context.Context, w io.Writer) error {
	req := &kingcupv1.CallRequest{Team: Team, RequestId: "slot-7", Service: Service, NonIdempotent: true, Body: []byte("confirm baler, Tuesday")}
	c := client.New(client.DefaultOptions(), s.conns...)
	for range 2 {
		resp, err := c.Call(ctx, req)
		if err != nil {
			return errors.Wrap(err, "call")
		}
		fmt.Fprintf(w, "service    %s (replayed: %v)\n", resp.GetBody(), resp.GetReplayed())
	}
	return nil
}
