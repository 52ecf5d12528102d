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

const gatewayDomain = "hall-a"

// ShowGateway runs gateways on a stand-in of the users' platform, and shows a call,
// and a generation that outlives the engine it began on.
func ShowGateway(ctx context.Context, out io.Writer, gateways int, log *logrus.Logger) error {
	f := fleet.New()
	defer f.Close()
	engines := fleet.Behavior{Events: 40, EventInterval: 30 * time.Millisecond, CopyTime: 50 * time.Millisecond}
	first, err := f.Add(fleet.ModelService, gatewayDomain, engines)
	if err != nil {
		return err
	}
	if _, err := f.Add(fleet.DeskService, gatewayDomain, fleet.Behavior{}); err != nil {
		return err
	}
	var address string
	for i := range gateways {
		g, callers, err := startGateway(f, fmt.Sprintf("entry-%d", i), log)
		if err != nil {
			return err
		}
		defer g.Close()
		address = callers
	}
	if err := showCall(ctx, out, address); err != nil {
		return err
	}
	if _, err := f.Add(fleet.ModelService, gatewayDomain, engines); err != nil {
		return err
	}
	return showReclaim(ctx, out, address, first)
}

// showCall repeats a call until the gateway knows configuration and servers.
func showCall(ctx context.Context, out io.Writer, address string) error {
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

// reclaimAt is the event at which the engine says that it will leave.
const reclaimAt = 10

func showReclaim(ctx context.Context, out io.Writer, address string, engine *fleet.Server) error {
	got := 0
	err := fleet.Stream(ctx, address, fleet.PlanPath, func(string) {
		got++
		if got == reclaimAt {
			engine.StartDraining(true)
			time.AfterFunc(time.Second, engine.Kill)
		}
	})
	if err != nil {
		return errors.Wrap(err, "generation")
	}
	fmt.Fprintf(out, "a generation whose engine was reclaimed at event %d: %d events, whole\n", reclaimAt, got)
	return nil
}

func startGateway(f *fleet.Fleet, name string, log *logrus.Logger) (*gateway.Gateway, string, error) {
	door, err := f.Store.AddEndpoint()
	if err != nil {
		return nil, "", err
	}
	ip, port, err := net.SplitHostPort(standin.UniqueAddress())
	if err != nil {
		return nil, "", err
	}
	peers, err := strconv.Atoi(port)
	if err != nil {
		return nil, "", err
	}
	set := &settings.Settings{
		VM: name, FailureDomain: gatewayDomain, IP: ip, Callers: standin.UniqueAddress(), Ready: standin.UniqueAddress(),
		PeerPorts: [2]int{peers, peers}, Store: door.Address, MemoryBytes: 256 << 20, MaxFiles: 1000,
		Bounds: settings.Bounds{
			DrainServer: 2 * time.Second, Shutdown: 8 * time.Second, ApplyConfig: 2 * time.Second,
			Revoke: 5 * time.Second, RetryRatio: 0.2, RetryExtra: 50, RetryWindow: 10 * time.Second,
		},
	}
	opts := gateway.DefaultOptions()
	opts.MetricsPort = 0
	g, err := gateway.Start(opts, set, log)
	return g, set.Callers, err
}
