// Command kingcup-agent schedules the requests of one backend server: it decides on admission,
// order and preemption.
package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/sirupsen/logrus"

	"kingcupplank.example/kingcup/engine/engineclient"
	"kingcupplank.example/kingcup/engine/serviceclient"
	"kingcupplank.example/kingcup/internal/app"
	"kingcupplank.example/kingcup/internal/settings"
	"kingcupplank.example/kingcup/internal/wire"
	"kingcupplank.example/kingcup/sched"
)

func main() {
	s := settings.New("kingcup-agent", "decides admission, order and preemption for one backend server")
	common := app.AddCommonFlags(s)
	s.Group("Backend server")
	defaults := app.DefaultAgentOptions(app.CommonOptions{})
	engineAddr := s.Address("engine-address", "", "model engine of this backend server; empty for none", false)
	serviceAddr := s.Address("service-address", "", "plain service of this backend server; empty for none", false)
	services := s.List("services", "", "names of the plain services, separated by commas")
	bytesPerToken := s.Int("bytes-per-token", defaults.BytesPerToken, 1, 64, "prompt bytes that count as one token of memory")
	bufferBytes := s.Int("buffer-bytes", defaults.BufferBytes, 1<<10, 64<<20, "token text kept per generation")
	orphanGracePeriod := s.Duration("orphan-grace", defaults.OrphanGracePeriod, time.Second, time.Hour, "how long a generation runs on without a reader")
	retentionPeriod := s.Duration("retain", defaults.RetentionPeriod, time.Second, time.Hour, "how long a finished generation can be read again")
	engineGracePeriod := s.Duration("engine-grace", defaults.EngineGracePeriod, 0, time.Hour, "how long a lost engine is waited for")
	s.Group("Policy")
	capacity := s.Int("capacity", 0, 0, 1<<30, "engine memory in tokens; 0 asks the engine")
	maxBatch := s.Int("max-batch", sched.DefaultMaxBatch, 1, 1<<16, "streams that run at once")
	maxWait := s.Duration("max-wait", sched.DefaultMaxWait, 100*time.Millisecond, time.Hour, "longest wait for a start before a request is refused")
	s.MustParse()

	o := app.AgentOptions{
		CommonOptions: common(), Services: services(), BytesPerToken: *bytesPerToken, BufferBytes: *bufferBytes,
		OrphanGracePeriod: *orphanGracePeriod, RetentionPeriod: *retentionPeriod, EngineGracePeriod: *engineGracePeriod,
		Policy: sched.Config{Capacity: *capacity, MaxBatch: *maxBatch, MaxWait: *maxWait},
	}
	app.LimitMemory(o.CommonOptions)
	log := app.NewLog(o.CommonOptions)
	if err := run(o, *engineAddr, *serviceAddr, log); err != nil {
		fmt.Fprintln(os.Stderr, "kingcup-agent:", err)
		os.Exit(1)
	}
}

// startTimeout bounds the wait for the engine's first answer.
const startTimeout = time.Minute

func run(o app.AgentOptions, engineAddr, serviceAddr string, log logrus.FieldLogger) error {
	var b app.Backend
	if engineAddr != "" {
		conn, err := app.DialGRPC(engineAddr)
		if err != nil {
			return err
		}
		b.Engine = engineclient.New(conn)
	}
	if serviceAddr != "" {
		b.Service = serviceclient.New(serviceAddr)
	}
	p, err := app.DialPlatform(o.CommonOptions)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	a, err := app.StartAgent(ctx, o, b, p, wire.TCP{}, log)
	if err != nil {
		return err
	}
	log.Info("serving")
	app.WaitAndDrain(log, o.DrainTimeout, a.Shutdown)
	return nil
}
