// Command kingcup-entry serves callers and operators on an entry VM.
package main

import (
	"fmt"
	"os"
	"time"

	"kingcupplank.example/kingcup/internal/app"
	"kingcupplank.example/kingcup/internal/settings"
	"kingcupplank.example/kingcup/internal/wire"
)

func main() {
	s := settings.New("kingcup-entry", "terminates callers and operators and relays their requests to agents")
	common := app.AddCommonFlags(s)
	s.Group("Callers")
	callerAddress := s.Address("caller-address", "", "address for callers and operators", true)
	defaults := app.DefaultEntryOptions(app.CommonOptions{})
	maxRequests := s.Int("max-requests", defaults.MaxRequests, 1, 1000000, "most requests in progress; more are refused")
	s.Group("Backend servers")
	agentLinks := s.Int("agent-links", defaults.AgentLinks, 2, 10000, "most agents watched, over all models")
	entryLinks := s.Int("peers", defaults.EntryLinks, 0, 100, "other entries watched")
	heartbeat := s.Duration("heartbeat", defaults.HeartbeatInterval, 50*time.Millisecond, time.Minute, "time between heartbeats of an agent")
	listInterval := s.Duration("list-every", defaults.ListInterval, 100*time.Millisecond, 10*time.Minute, "time between looks at the VM list")
	acceptTimeout := s.Duration("accept-timeout", defaults.AcceptTimeout, 10*time.Millisecond, time.Minute, "longest wait for an agent's first answer")
	reattachTimeout := s.Duration("reattach-for", defaults.ReattachTimeout, 0, 10*time.Minute, "how long a lost agent is tried before its streams are moved")
	s.Group("Platform")
	claimWindow := s.Duration("claim-window", defaults.ClaimWindow, 0, time.Second, "time over which claims are grouped into a transaction")
	leaseTTL := s.Duration("lease-ttl", defaults.LeaseTTL, 2*time.Second, 10*time.Minute, "time to live of a lease for engine orders")
	s.MustParse()

	o := app.EntryOptions{
		CommonOptions: common(), CallerAddress: *callerAddress, AgentLinks: *agentLinks, EntryLinks: *entryLinks, HeartbeatInterval: *heartbeat,
		ListInterval: *listInterval, AcceptTimeout: *acceptTimeout, ReattachTimeout: *reattachTimeout, ClaimWindow: *claimWindow, LeaseTTL: *leaseTTL,
		MaxRequests: *maxRequests,
	}
	app.LimitMemory(o.CommonOptions)
	log := app.NewLog(o.CommonOptions)
	p, err := app.DialPlatform(o.CommonOptions)
	if err == nil {
		var e *app.Entry
		if e, err = app.StartEntry(o, p, wire.TCP{}, log); err == nil {
			log.WithField("callers", e.CallerAddress).Info("serving")
			app.WaitAndDrain(log, o.DrainTimeout, e.Shutdown)
			return
		}
	}
	fmt.Fprintln(os.Stderr, "kingcup-entry:", err)
	os.Exit(1)
}
