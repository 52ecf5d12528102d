// Command kingcup-dev runs the whole system in one process on loopback, with stand-ins for the
// platform and the backend servers. It demonstrates a configuration change, a generation and a
// call.
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"kingcupplank.example/kingcup/internal/dev"
	"kingcupplank.example/kingcup/internal/settings"
)

func main() {
	s := settings.New("kingcup-dev", "all roles and stand-ins in one process")
	servers := s.Int("servers", 3, 1, 50, "model backend servers")
	entries := s.Int("entries", 2, 1, 20, "entries")
	tokenInterval := s.Duration("step", 20*time.Millisecond, time.Millisecond, time.Minute, "time between two tokens")
	prompt := s.String("prompt", "tokens=40 Draft the autumn harvest plan", "prompt of the generation that is shown", true)
	stay := s.Bool("stay", false, "keep serving until interrupted")
	verbose := s.Bool("verbose", false, "log what every role does")
	gateways := s.Int("gateways", 0, 0, 20, "show this many gateways on a stand-in of the users' platform instead")
	s.MustParse()
	if *gateways > 0 {
		if err := runGatewayDemo(*gateways, *verbose); err != nil {
			fmt.Fprintln(os.Stderr, "kingcup-dev:", err)
			os.Exit(1)
		}
		return
	}
	if err := run(*servers, *entries, *tokenInterval, *prompt, *stay, *verbose); err != nil {
		fmt.Fprintln(os.Stderr, "kingcup-dev:", err)
		os.Exit(1)
	}
}

func run(servers, entries int, tokenInterval time.Duration, prompt string, stay, verbose bool) error {
	sys, err := dev.Start(dev.Options{Servers: servers, Entries: entries, TokenInterval: tokenInterval, Verbose: verbose})
	if err != nil {
		return err
	}
	defer sys.Close()
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	if err := sys.RunDemo(ctx, os.Stdout, prompt); err != nil {
		return err
	}
	if stay {
		fmt.Printf("\nserving; try: kingcupctl -entries %s -admin %s status\n", sys.CallerAddress(), sys.AdminAddress())
		<-ctx.Done()
	}
	return nil
}

// gatewayDemoTimeout bounds the demonstration of gateways, which takes about two seconds.
const gatewayDemoTimeout = 30 * time.Second

func runGatewayDemo(gateways int, verbose bool) error {
	ctx, cancel := context.WithTimeout(context.Background(), gatewayDemoTimeout)
	defer cancel()
	log := logrus.New()
	if !verbose {
		log.SetOutput(io.Discard)
	}
	return dev.RunGatewayDemo(ctx, os.Stdout, gateways, log)
}
