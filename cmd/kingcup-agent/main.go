// Command kingcup-agent guards one backend server.
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
	def := app.DefaultAgentOptions(app.CommonOptions{})
	engineAddr := s.Address("engine-address", "", "model engine of this backend server; empty for none", false)
	serviceAddr := s.Address("service-address", "", "plain service of this backend server; empty for none", false)
	services := s.List("services", "", "names of the plain services, separated by commas")
	perToken := s.Int("bytes-per-token", def.BytesPerToken, 1, 64, "prompt bytes that count as one token of memory")
	buffer := s.Int("buffer-bytes", def.BufferBytes, 1<<10, 64<<20, "token text kept per generation")
	orphan := s.Duration("orphan-grace", def.OrphanGracePeriod, time.Second, time.Hour, "how long a generation runs on without a reader")
	retain := s.Duration("retain", def.RetentionPeriod, time.Second, time.Hour, "how long a finished generation can be read again")
	grace := s.Duration("engine-grace", def.EngineGracePeriod, 0, time.Hour, "how long a lost engine is waited for")
	s.Group("Policy")
	capacity := s.Int("capacity", 0, 0, 1<<30, "engine memory in tokens; 0 asks the engine")
	batch := s.Int("max-batch", sched.DefaultMaxBatch, 1, 1<<16, "streams that run at once")
	wait := s.Duration("max-wait", sched.DefaultMaxWait, 100*time.Millisecond, time.Hour, "longest wait for a start before a request is refused")
	s.MustParse()

	o := app.AgentOptions{
		CommonOptions: common(), Services: services(), BytesPerToken: *perToken, BufferBytes: *buffer,
		OrphanGracePeriod: *orphan, RetentionPeriod: *retain, EngineGracePeriod: *grace,
		Policy: sched.Config{Capacity: *capacity, MaxBatch: *batch, MaxWait: *wait},
	}
	log := app.NewLog(o.CommonOptions)
	if err := run(o, *engineAddr, *serviceAddr, log); err != nil {
		fmt.Fprintln(os.Stderr, "kingcup-agent:", err)
		os.Exit(1)
	}
}

// engineWait bounds the first answer of the engine.
const engineWait = time.Minute

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
	ctx, cancel := context.WithTimeout(context.Background(), engineWait)
	defer cancel()
	a, err := app.StartAgent(ctx, o, b, p, wire.TCP{}, log)
	if err != nil {
		return err
	}
	log.Info("serving")
	app.WaitAndDrain(log, o.DrainTimeout, a.Shutdown)
	return nil
}
