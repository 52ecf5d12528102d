// Command kingcupctl sends requests of callers and operators to the system from a shell.
package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"google.golang.org/grpc"

	"kingcupplank.example/kingcup/failure"
	"kingcupplank.example/kingcup/internal/app"
	"kingcupplank.example/kingcup/internal/settings"
)

// options are the flags that all commands share.
type options struct {
	entryAddresses []string
	adminAddress   string
	outputFormat   string
	timeout        time.Duration
}

// command is a subcommand of kingcupctl. usage describes its arguments and effect.
type command struct {
	name  string
	usage string
	run   func(ctx context.Context, o options, conns []grpc.ClientConnInterface, args []string) error
}

func commands() []command {
	return []command{
		{"generate", "-team T -model M [-adapter A] [-max-tokens N] [-id ID] [-once] PROMPT: stream one generation", generate},
		{"call", "-team T -service S [-id ID] [-once] BODY: call a plain service", call},
		{"cancel", "-team T GENERATION: end a generation", cancelGeneration},
		{"team", "NAME [-weight N] [-priority P] [-models a,b] [-max-streams N]: create or replace a team", putTeam},
		{"model", "NAME [-kind generation|service] [-max-tokens N] [-model-version V]: create or replace a model", putModel},
		{"adapter", "NAME -model M: create or replace an adapter", putAdapter},
		{"priority", "NAME -level N: create or replace a priority class", putPriority},
		{"delete", "team|model|adapter|priority NAME: delete a row", deleteRow},
		{"list", "[team|model|adapter|priority]: show the configuration", listRows},
		{"watch", "follow the version in force", watchConfig},
		{"status", "show the backend servers", showServers},
		{"drain", "SERVER: tell a backend server's agent to leave", drainServer},
		{"order", "SERVER load|unload -model M [-adapter A]: order an engine", orderEngine},
		{"retries", "show the retry budgets of services (-admin of a gateway)", showRetries},
		{"link", "show the load on the VM's link (-admin of a gateway)", showLink},
		{"quarantine", "[lift CONTENT]: show the requests under which servers end, or lift a verdict (-admin of a gateway)", showOrLiftQuarantine},
		{"burn", "show the service-level burn of an entry (-admin)", burnReport},
	}
}

func main() {
	s := settings.New("kingcupctl", "operates kingcupplank; usage: kingcupctl [flags] COMMAND [arguments]")
	entryAddresses := s.List("entries", "127.0.0.1:7000", "caller addresses of entries, separated by commas")
	adminAddress := s.Address("admin", "127.0.0.1:7002", "admin address of an entry", false)
	outputFormat := s.Choice("o", "table", []string{"table", "json"}, "output form")
	timeout := s.Duration("timeout", 10*time.Minute, time.Millisecond, 24*time.Hour, "longest time for a command")
	s.AllowArgs()
	s.MustParse()
	args := s.Args()
	if len(args) == 0 {
		printUsage(s)
		os.Exit(settings.ExitUsage)
	}
	o := options{entryAddresses: entryAddresses(), adminAddress: *adminAddress, outputFormat: *outputFormat, timeout: *timeout}
	os.Exit(runCommand(o, args))
}

func printUsage(s *settings.Set) {
	s.Help(os.Stderr)
	fmt.Fprintln(os.Stderr, "\nCommands:")
	for _, c := range commands() {
		fmt.Fprintf(os.Stderr, "  %-10s %s\n", c.name, c.usage)
	}
}

// runCommand runs the command that args name and returns the exit code.
func runCommand(o options, args []string) int {
	for _, c := range commands() {
		if c.name == args[0] {
			return connectAndRun(o, c, args[1:])
		}
	}
	fmt.Fprintf(os.Stderr, "kingcupctl: unknown command %q\n", args[0])
	return settings.ExitUsage
}

// connectAndRun connects to the entries, runs c and returns the exit code.
func connectAndRun(o options, c command, args []string) int {
	var conns []grpc.ClientConnInterface
	for _, address := range o.entryAddresses {
		conn, err := app.DialGRPC(address)
		if err != nil {
			fmt.Fprintln(os.Stderr, "kingcupctl:", err)
			return settings.ExitUsage
		}
		defer conn.Close()
		conns = append(conns, conn)
	}
	ctx, cancel := context.WithTimeout(context.Background(), o.timeout)
	defer cancel()
	err := c.run(ctx, o, conns, args)
	if err == nil {
		return 0
	}
	if usage, ok := err.(usageError); ok {
		fmt.Fprintf(os.Stderr, "kingcupctl %s: %v\n", c.name, usage)
		return settings.ExitUsage
	}
	f := failure.FromError(err)
	fmt.Fprintf(os.Stderr, "kingcupctl %s: %s, %s: %s\n", c.name, f.Outcome, f.Reason, f.Detail)
	if f.RetryAfter > 0 {
		fmt.Fprintf(os.Stderr, "come back in %v\n", f.RetryAfter)
	}
	return 1
}

// usageError describes an invalid command line.
type usageError string

// Error implements error.
func (e usageError) Error() string { return string(e) }
