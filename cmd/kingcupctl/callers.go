package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"strings"

	"google.golang.org/grpc"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"kingcupplank.example/kingcup/client"
	kingcupv1 "kingcupplank.example/kingcup/proto/kingcup/v1"
)

// parseArgs parses the flags of a command and returns the other arguments, which may stand
// before, between and after the flags.
func parseArgs(fs *flag.FlagSet, args []string) ([]string, error) {
	fs.SetOutput(io.Discard)
	var operands []string
	for len(args) > 0 {
		if err := fs.Parse(args); err != nil {
			return nil, usageError(err.Error())
		}
		args = fs.Args()
		if len(args) > 0 {
			operands = append(operands, args[0])
			args = args[1:]
		}
	}
	return operands, nil
}

// requestIDOrRandom returns id, or a random request id if id is empty.
func requestIDOrRandom(id string) string {
	if id != "" {
		return id
	}
	return fmt.Sprintf("ctl-%x", rand.Uint64())
}

func generate(ctx context.Context, o options, conns []grpc.ClientConnInterface, args []string) error {
	fs := flag.NewFlagSet("generate", flag.ContinueOnError)
	team, model, adapter := fs.String("team", "", ""), fs.String("model", "", ""), fs.String("adapter", "", "")
	maxTokens, id, once := fs.Uint("max-tokens", 0, ""), fs.String("id", "", ""), fs.Bool("once", false, "")
	operands, err := parseArgs(fs, args)
	if err != nil {
		return err
	}
	req := &kingcupv1.GenerateRequest{
		Team: *team, Model: *model, Adapter: *adapter, MaxTokens: uint32(*maxTokens),
		RequestId: requestIDOrRandom(*id), NonIdempotent: *once, Prompt: []byte(strings.Join(operands, " ")),
	}
	res, err := client.New(client.DefaultOptions(), conns...).Generate(ctx, req, client.Handler{Token: func(t client.Token) { os.Stdout.Write(t.Text) }})
	fmt.Println()
	if err == nil {
		fmt.Fprintf(os.Stderr, "%d tokens, generation %s, by %s, %d resumes, finish %s\n",
			res.Tokens, res.GenerationID, strings.Join(res.Servers, ", "), res.Resumes, res.FinishReason)
	}
	return err
}

func call(ctx context.Context, o options, conns []grpc.ClientConnInterface, args []string) error {
	fs := flag.NewFlagSet("call", flag.ContinueOnError)
	team, service := fs.String("team", "", ""), fs.String("service", "", "")
	id, once := fs.String("id", "", ""), fs.Bool("once", false, "")
	operands, err := parseArgs(fs, args)
	if err != nil {
		return err
	}
	resp, err := client.New(client.DefaultOptions(), conns...).Call(ctx, &kingcupv1.CallRequest{
		Team: *team, Service: *service, RequestId: requestIDOrRandom(*id), NonIdempotent: *once,
		Body: []byte(strings.Join(operands, " ")),
	})
	if err != nil {
		return err
	}
	fmt.Println(string(resp.GetBody()))
	if resp.GetReplayed() {
		fmt.Fprintln(os.Stderr, "answer of an earlier run with the same id")
	}
	return nil
}

func cancelGeneration(ctx context.Context, o options, conns []grpc.ClientConnInterface, args []string) error {
	fs := flag.NewFlagSet("cancel", flag.ContinueOnError)
	team := fs.String("team", "", "")
	operands, err := parseArgs(fs, args)
	if err != nil {
		return err
	}
	if len(operands) != 1 {
		return usageError("want one generation id")
	}
	resp, err := kingcupv1.NewCallerServiceClient(conns[0]).Cancel(ctx, &kingcupv1.CancelRequest{Team: *team, GenerationId: operands[0]})
	if err != nil {
		return err
	}
	fmt.Println("found:", resp.GetFound())
	return nil
}

// printResult prints m as JSON if the options ask for it; otherwise it calls printTable.
func printResult(o options, m proto.Message, printTable func()) {
	if o.outputFormat == "json" {
		fmt.Println(protojson.Format(m))
		return
	}
	printTable()
}
