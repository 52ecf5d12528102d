package main

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"net/url"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
	"google.golang.org/grpc"

	kingcupv1 "kingcupplank.example/kingcup/proto/kingcup/v1"
)

func operatorClient(conns []grpc.ClientConnInterface) kingcupv1.OperatorServiceClient {
	return kingcupv1.NewOperatorServiceClient(conns[0])
}

// applyChange commits a configuration change with a random change id. If req has no expected
// version, the change is based on the latest version.
func applyChange(ctx context.Context, o options, conns []grpc.ClientConnInterface, req *kingcupv1.ApplyRequest) error {
	req.ChangeId = requestIDOrRandom("")
	resp, err := operatorClient(conns).Apply(ctx, req)
	if err != nil {
		return err
	}
	printResult(o, resp, func() {
		spread := "held in more than one failure domain"
		if !resp.GetSpread() {
			spread = "committed, not yet spread"
		}
		fmt.Printf("version %d, %s\n", resp.GetVersion(), spread)
	})
	return nil
}

// rowFlags holds the flags of a command that creates or replaces a row of the configuration.
type rowFlags struct {
	flags           *flag.FlagSet
	expectedVersion *uint64
}

func newRowFlags(name string) rowFlags {
	fs := flag.NewFlagSet(name, flag.ContinueOnError)
	return rowFlags{fs, fs.Uint64("expected", 0, "version the change is based on; 0 for any")}
}

// put parses args and commits the row that newRow returns for the name among them.
func (r rowFlags) put(ctx context.Context, o options, conns []grpc.ClientConnInterface, args []string, newRow func(name string) *kingcupv1.Row) error {
	operands, err := parseArgs(r.flags, args)
	if err != nil {
		return err
	}
	if len(operands) != 1 {
		return usageError("want one name")
	}
	return applyChange(ctx, o, conns, &kingcupv1.ApplyRequest{ExpectedVersion: *r.expectedVersion, Puts: []*kingcupv1.Row{newRow(operands[0])}})
}

func putTeam(ctx context.Context, o options, conns []grpc.ClientConnInterface, args []string) error {
	r := newRowFlags("team")
	weight, priority, models := r.flags.Uint("weight", 1, ""), r.flags.String("priority", "", ""), r.flags.String("models", "", "")
	maxStreams := r.flags.Uint("max-streams", 0, "")
	return r.put(ctx, o, conns, args, func(name string) *kingcupv1.Row {
		t := &kingcupv1.Team{Name: name, Weight: uint32(*weight), Priority: *priority, MaxStreams: uint32(*maxStreams)}
		if *models != "" {
			t.Models = strings.Split(*models, ",")
		}
		return &kingcupv1.Row{Row: &kingcupv1.Row_Team{Team: t}}
	})
}

func putModel(ctx context.Context, o options, conns []grpc.ClientConnInterface, args []string) error {
	r := newRowFlags("model")
	maxTokens, version := r.flags.Uint("max-tokens", 0, ""), r.flags.String("model-version", "1", "")
	kind := kingcupv1.ModelKind_MODEL_KIND_GENERATION
	r.flags.Func("kind", "", func(value string) error {
		kinds := map[string]kingcupv1.ModelKind{"generation": kind, "service": kingcupv1.ModelKind_MODEL_KIND_SERVICE}
		if kinds[value] == 0 {
			return errors.New("must be generation or service")
		}
		kind = kinds[value]
		return nil
	})
	return r.put(ctx, o, conns, args, func(name string) *kingcupv1.Row {
		m := &kingcupv1.Model{Name: name, Version: *version, MaxTokens: uint32(*maxTokens), Kind: kind}
		return &kingcupv1.Row{Row: &kingcupv1.Row_Model{Model: m}}
	})
}

func putAdapter(ctx context.Context, o options, conns []grpc.ClientConnInterface, args []string) error {
	r := newRowFlags("adapter")
	model := r.flags.String("model", "", "")
	return r.put(ctx, o, conns, args, func(name string) *kingcupv1.Row {
		return &kingcupv1.Row{Row: &kingcupv1.Row_Adapter{Adapter: &kingcupv1.Adapter{Name: name, Model: *model}}}
	})
}

func putPriority(ctx context.Context, o options, conns []grpc.ClientConnInterface, args []string) error {
	r := newRowFlags("priority")
	level := r.flags.Uint("level", 0, "")
	return r.put(ctx, o, conns, args, func(name string) *kingcupv1.Row {
		return &kingcupv1.Row{Row: &kingcupv1.Row_Priority{Priority: &kingcupv1.Priority{Name: name, Level: uint32(*level)}}}
	})
}

func rowKind(name string) (kingcupv1.RowKind, error) {
	switch name {
	case "team":
		return kingcupv1.RowKind_ROW_KIND_TEAM, nil
	case "model":
		return kingcupv1.RowKind_ROW_KIND_MODEL, nil
	case "adapter":
		return kingcupv1.RowKind_ROW_KIND_ADAPTER, nil
	case "priority":
		return kingcupv1.RowKind_ROW_KIND_PRIORITY, nil
	}
	return 0, usageError(fmt.Sprintf("unknown kind %q: want team, model, adapter or priority", name))
}

func deleteRow(ctx context.Context, o options, conns []grpc.ClientConnInterface, args []string) error {
	if len(args) != 2 {
		return usageError("want a kind and a name")
	}
	kind, err := rowKind(args[0])
	if err != nil {
		return err
	}
	return applyChange(ctx, o, conns, &kingcupv1.ApplyRequest{Deletes: []*kingcupv1.RowKey{{Kind: kind, Name: args[1]}}})
}

func listRows(ctx context.Context, o options, conns []grpc.ClientConnInterface, args []string) error {
	req := &kingcupv1.ListRequest{}
	if len(args) > 0 {
		kind, err := rowKind(args[0])
		if err != nil {
			return err
		}
		req.Kind = kind
	}
	resp, err := operatorClient(conns).List(ctx, req)
	if err != nil {
		return err
	}
	printResult(o, resp, func() {
		fmt.Println("version", resp.GetVersion())
		for _, row := range resp.GetRows() {
			fmt.Println(row)
		}
	})
	return nil
}

func watchConfig(ctx context.Context, o options, conns []grpc.ClientConnInterface, _ []string) error {
	st, err := operatorClient(conns).Watch(ctx, &kingcupv1.WatchRequest{})
	if err != nil {
		return err
	}
	for {
		m, err := st.Recv()
		if err != nil {
			return err
		}
		printResult(o, m, func() { fmt.Println("version", m.GetVersion(), "rows", len(m.GetSnapshot().GetRows())) })
	}
}

func showServers(ctx context.Context, o options, conns []grpc.ClientConnInterface, _ []string) error {
	resp, err := operatorClient(conns).BackendServers(ctx, &kingcupv1.BackendServersRequest{})
	if err != nil {
		return err
	}
	printResult(o, resp, func() { printServers(resp) })
	return nil
}

func printServers(resp *kingcupv1.BackendServersResponse) {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "SERVER\tFAILURE DOMAIN\tMODELS\tSTATE\tVERSION\tRUNNING\tQUEUED\tMEMORY\tPREEMPTIONS")
	for _, s := range resp.GetServers() {
		state := "not connected"
		if s.GetConnected() {
			state = "serving"
		}
		if s.GetLeaving() {
			state = "leaving"
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%d\t%d\t%d/%d\t%d\n", s.GetName(), s.GetFailureDomain(), strings.Join(s.GetModels(), ","),
			state, s.GetConfigVersion(), s.GetRunning(), s.GetQueued(), s.GetMemoryUsed(), s.GetMemoryCapacity(), s.GetPreemptions())
	}
	w.Flush()
}

func drainServer(ctx context.Context, o options, conns []grpc.ClientConnInterface, args []string) error {
	if len(args) != 1 {
		return usageError("want one backend server")
	}
	resp, err := operatorClient(conns).Drain(ctx, &kingcupv1.DrainRequest{BackendServer: args[0]})
	if err != nil {
		return err
	}
	printResult(o, resp, func() { fmt.Println("leaving, in progress:", resp.GetInProgress()) })
	return nil
}

func orderEngine(ctx context.Context, o options, conns []grpc.ClientConnInterface, args []string) error {
	fs := flag.NewFlagSet("order", flag.ContinueOnError)
	model, adapter := fs.String("model", "", ""), fs.String("adapter", "", "")
	operands, err := parseArgs(fs, args)
	if err != nil {
		return err
	}
	verbs := map[string]kingcupv1.OrderVerb{"load": kingcupv1.OrderVerb_ORDER_VERB_LOAD, "unload": kingcupv1.OrderVerb_ORDER_VERB_UNLOAD}
	if len(operands) != 2 || verbs[operands[1]] == 0 {
		return usageError("want a backend server, then load or unload")
	}
	resp, err := operatorClient(conns).Order(ctx, &kingcupv1.OrderRequest{
		BackendServer: operands[0], Verb: verbs[operands[1]], Model: *model, Adapter: *adapter,
	})
	if err != nil {
		return err
	}
	printResult(o, resp, func() { fmt.Println("done under term", resp.GetTerm()) })
	return nil
}

func burnReport(_ context.Context, o options, _ []grpc.ClientConnInterface, _ []string) error {
	return callAdmin(fasthttp.MethodGet, "http://"+o.adminAddress+"/report/burn?format="+o.outputFormat)
}

func showOrLiftQuarantine(_ context.Context, o options, _ []grpc.ClientConnInterface, args []string) error {
	switch {
	case len(args) == 0:
		return callAdmin(fasthttp.MethodGet, "http://"+o.adminAddress+"/quarantine?format="+o.outputFormat)
	case len(args) == 2 && args[0] == "lift":
		return callAdmin(fasthttp.MethodDelete, "http://"+o.adminAddress+"/quarantine/"+url.PathEscape(args[1]))
	}
	return usageError("want no argument, or lift CONTENT")
}

func showRetries(_ context.Context, o options, _ []grpc.ClientConnInterface, _ []string) error {
	return callAdmin(fasthttp.MethodGet, "http://"+o.adminAddress+"/retries?format="+o.outputFormat)
}

// callAdmin sends a request to an admin address and prints the response body.
func callAdmin(method, requestURL string) error {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(method)
	req.SetRequestURI(requestURL)
	if err := fasthttp.DoTimeout(req, resp, adminTimeout); err != nil {
		return errors.Wrap(err, "admin call")
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return errors.Errorf("admin call: status %d: %s", resp.StatusCode(), bytes.TrimSpace(resp.Body()))
	}
	os.Stdout.Write(resp.Body())
	return nil
}

// adminTimeout bounds a request to an admin address.
const adminTimeout = 5 * time.Second

func showLink(_ context.Context, o options, _ []grpc.ClientConnInterface, _ []string) error {
	return callAdmin(fasthttp.MethodGet, "http://"+o.adminAddress+"/link?format="+o.outputFormat)
}
