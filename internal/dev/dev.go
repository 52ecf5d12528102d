// Package dev runs the whole system in one process with embedded stand-ins.
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

// Names that the shown configuration uses.
const (
	Model   = "plan-writer"
	Service = "desk"
	Team    = "small-farm"
)

// Options set a System.
type Options struct {
	Servers, Entries int
	Step             time.Duration
	Verbose          bool
}

// System is the whole system in one process.
type System struct {
	Table   *tables.Table
	entries []*app.Entry
	agents  []*app.Agent
	engines []*engines.Engine
	conns   []grpc.ClientConnInterface
	closers []func() error
	admin   string
}

var domains = []string{"hall-a", "hall-b", "shed-c"}

// Start runs all roles. On an error everything is ended again.
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
			Step: o.Step, Memory: 100000, Resumes: true, ChecksTerm: i%2 == 0,
			Retain: 30 * time.Second, Models: []string{Model},
		})
		s.engines = append(s.engines, e)
		if err := s.agent(o, fmt.Sprintf("server-%d", i), i, app.Backend{Engine: e}, Model); err != nil {
			return err
		}
	}
	if err := s.agent(o, "desk-0", 1, app.Backend{Service: services.New()}, Service); err != nil {
		return err
	}
	for i := range o.Entries {
		if err := s.entry(o, i); err != nil {
			return err
		}
	}
	return nil
}

func (s *System) platform() app.Platform {
	return app.Platform{Table: s.Table, Objects: s.Table, VMs: s.Table}
}

func common(o Options, name string, i int, inner string) app.CommonOptions {
	level := "error"
	if o.Verbose {
		level = "debug"
	}
	return app.CommonOptions{
		Name: name, FailureDomain: domains[i%len(domains)], InnerAddress: inner,
		ConfigPoll: time.Second, ConfigStale: 30 * time.Second, LogLevel: level, LogFormat: "text",
	}
}

func (s *System) agent(o Options, name string, i int, b app.Backend, serves string) error {
	inner, err := standin.FreeAddress()
	if err != nil {
		return err
	}
	opts := app.DefaultAgentOptions(common(o, name, i, inner))
	if b.Service != nil {
		opts.Services = []string{serves}
	}
	a, err := app.StartAgent(context.Background(), opts, b, s.platform(), wire.TCP{}, app.NewLog(opts.CommonOptions))
	if err != nil {
		return err
	}
	s.agents = append(s.agents, a)
	s.Table.PutVM(vmlist.VM{
		Name: name, Address: inner, FailureDomain: opts.FailureDomain, Role: vmlist.RoleAgent, Models: []string{serves},
	})
	return nil
}

func (s *System) entry(o Options, i int) error {
	inner, err := standin.FreeAddress()
	if err != nil {
		return err
	}
	admin, err := standin.FreeAddress()
	if err != nil {
		return err
	}
	opts := app.DefaultEntryOptions(common(o, fmt.Sprintf("entry-%d", i), i, inner))
	opts.CallerAddress = "127.0.0.1:0"
	opts.AdminAddress = admin
	opts.HeartbeatInterval = 200 * time.Millisecond
	opts.ListInterval = time.Second
	var log logrus.FieldLogger = app.NewLog(opts.CommonOptions)
	s.Table.PutVM(vmlist.VM{Name: opts.Name, Address: inner, FailureDomain: opts.FailureDomain, Role: vmlist.RoleEntry})
	e, err := app.StartEntry(opts, s.platform(), wire.TCP{}, log)
	if err != nil {
		return err
	}
	s.entries = append(s.entries, e)
	s.admin = admin
	conn, err := app.DialGRPC(e.CallerAddress)
	if err != nil {
		return err
	}
	s.conns = append(s.conns, conn)
	s.closers = append(s.closers, conn.Close)
	return nil
}

// CallerAddress is where callers and operators connect.
func (s *System) CallerAddress() string { return s.entries[len(s.entries)-1].CallerAddress }

// AdminAddress is where metrics and reports are served.
func (s *System) AdminAddress() string { return s.admin }

// Conns are connections to the entries.
func (s *System) Conns() []grpc.ClientConnInterface { return s.conns }

// Close ends everything.
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

// Configure applies the configuration that the shown requests need.
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

// Settle waits until every entry and agent has the version in force and every
// entry sees a backend server of each kind.
func (s *System) Settle(ctx context.Context, version uint64) error {
	const poll = 10 * time.Millisecond
	for !s.settled(version) {
		select {
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "system did not settle")
		case <-time.After(poll):
		}
	}
	return nil
}

func (s *System) settled(version uint64) bool {
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

// settleBound is the time in which a change must be in force everywhere.
const settleBound = 7 * time.Second

// Show makes one change of configuration, one generation and one call, and
// prints what each hop did.
func (s *System) Show(ctx context.Context, w io.Writer, prompt string) error {
	began := time.Now()
	resp, err := s.Configure(ctx)
	if err != nil {
		return errors.Wrap(err, "apply configuration")
	}
	fmt.Fprintf(w, "operator   configuration version %d accepted, spread %v, witnesses %s\n", resp.GetVersion(), resp.GetSpread(), strings.Join(resp.GetWitnesses(), ", "))
	bounded, cancel := context.WithTimeout(ctx, settleBound)
	defer cancel()
	if err := s.Settle(bounded, resp.GetVersion()); err != nil {
		return err
	}
	fmt.Fprintf(w, "system     in force at %d entries and %d agents after %v\n", len(s.entries), len(s.agents), time.Since(began).Round(time.Millisecond))
	if err := s.showGeneration(ctx, w, prompt); err != nil {
		return err
	}
	return s.showCall(ctx, w)
}

func (s *System) showGeneration(ctx context.Context, w io.Writer, prompt string) error {
	began := time.Now()
	var first time.Duration
	fmt.Fprint(w, "caller    ")
	req := &kingcupv1.GenerateRequest{Team: Team, RequestId: "dev-1", Model: Model, Prompt: []byte(prompt)}
	res, err := client.New(client.DefaultOptions(), s.conns...).Generate(ctx, req, client.Handler{Token: func(t client.Token) {
		if t.Index == 0 {
			first = time.Since(began)
		}
		w.Write(t.Text)
	}})
	if err != nil {
		return errors.Wrap(err, "generate")
	}
	fmt.Fprintf(w, "\nentry      relayed generation %s\n", res.GenerationID)
	fmt.Fprintf(w, "agent      admitted it at %s and numbered %d tokens\n", strings.Join(res.Servers, ", "), res.Tokens)
	fmt.Fprintf(w, "engine     finished it (%s); first token after %v, all after %v\n", res.FinishReason, first.Round(time.Millisecond), time.Since(began).Round(time.Millisecond))
	return nil
}

func (s *System) showCall(ctx context.Context, w io.Writer) error {
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
