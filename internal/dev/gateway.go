package dev

import (
	"context"
	"fmt"
	"io"
	"net"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"kingcupplank.example/kingcup/internal/gateway"
	"kingcupplank.example/kingcup/internal/standin"
	"kingcupplank.example/kingcup/internal/standin/fleet"
	"kingcupplank.example/kingcup/platform/settings"
)

const gatewayFailureDomain = "hall-a"

// RunGatewayDemo runs gateways on a stand-in for the users' platform. It demonstrates a call, and
// a generation that is migrated because its engine stops.
func RunGatewayDemo(ctx context.Context, out io.Writer, gateways int, log *logrus.Logger) error {
	f := fleet.New()
	defer f.Close()
	engineBehavior := fleet.Behavior{Events: 40, EventInterval: 30 * time.Millisecond, CopyTime: 50 * time.Millisecond}
	first, err := f.Add(fleet.ModelService, gatewayFailureDomain, engineBehavior)
	if err != nil {
		return err
	}
	if _, err := f.Add(fleet.DeskService, gatewayFailureDomain, fleet.Behavior{}); err != nil {
		return err
	}
	var address string
	for i := range gateways {
		g, callerAddress, err := startGateway(f, fmt.Sprintf("entry-%d", i), log)
		if err != nil {
			return err
		}
		defer g.Close()
		address = callerAddress
	}
	if err := callUntilServed(ctx, out, address); err != nil {
		return err
	}
	if _, err := f.Add(fleet.ModelService, gatewayFailureDomain, engineBehavior); err != nil {
		return err
	}
	return demoMigration(ctx, out, address, first)
}

// callUntilServed repeats a call until it succeeds, because a gateway that starts has neither
// the configuration nor the servers yet.
func callUntilServed(ctx context.Context, out io.Writer, address string) error {
	for ctx.Err() == nil {
		status, body, err := fleet.Call(ctx, address, fleet.OncePath)
		if err == nil && status == 200 {
			fmt.Fprintf(out, "a call that must not be repeated: %d, %q\n", status, body)
			return nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	return ctx.Err()
}

// reclaimAtEvent is the number of the event after which the engine announces that it is leaving.
const reclaimAtEvent = 10

// demoMigration streams a generation whose engine is stopped one second after it announces that
// it is leaving.
func demoMigration(ctx context.Context, out io.Writer, address string, engine *fleet.Server) error {
	received := 0
	err := fleet.Stream(ctx, address, fleet.PlanPath, func(string) {
		received++
		if received == reclaimAtEvent {
			engine.StartDraining(true)
			time.AfterFunc(time.Second, engine.Kill)
		}
	})
	if err != nil {
		return errors.Wrap(err, "generation")
	}
	fmt.Fprintf(out, "a generation whose engine was reclaimed at event %d: %d events, whole\n", reclaimAtEvent, received)
	return nil
}

// startGateway starts a gateway and returns it with its address for callers.
func startGateway(f *fleet.Fleet, name string, log *logrus.Logger) (*gateway.Gateway, string, error) {
	storeEndpoint, err := f.Store.AddEndpoint()
	if err != nil {
		return nil, "", err
	}
	ip, port, err := net.SplitHostPort(standin.UniqueAddress())
	if err != nil {
		return nil, "", err
	}
	peerPort, err := strconv.Atoi(port)
	if err != nil {
		return nil, "", err
	}
	cfg := &settings.Settings{
		VM: name, FailureDomain: gatewayFailureDomain, IP: ip, Callers: standin.UniqueAddress(), Ready: standin.UniqueAddress(),
		PeerPorts: [2]int{peerPort, peerPort}, Store: storeEndpoint.Address, MemoryBytes: 256 << 20, MaxFiles: 1000, FirstStart: true,
		Bounds: settings.Bounds{
			DrainServer: 2 * time.Second, Shutdown: 8 * time.Second, ApplyConfig: 2 * time.Second,
			Revoke: 5 * time.Second, RetryRatio: 0.2, RetryExtra: 50, RetryWindow: 10 * time.Second,
		},
	}
	opts := gateway.DefaultOptions()
	opts.MetricsPort = 0
	g, err := gateway.Start(opts, cfg, log)
	return g, cfg.Callers, err
}
