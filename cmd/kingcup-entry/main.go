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
	callers := s.Address("caller-address", "", "address for callers and operators", true)
	def := app.DefaultEntryOptions(app.CommonOptions{})
	most := s.Int("max-requests", def.MaxRequests, 1, 1000000, "most requests in progress; more are refused")
	s.Group("Backend servers")
	links := s.Int("agent-links", def.AgentLinks, 2, 10000, "most agents watched, over all models")
	peers := s.Int("peers", def.EntryLinks, 0, 100, "other entries watched")
	beat := s.Duration("heartbeat", def.HeartbeatInterval, 50*time.Millisecond, time.Minute, "time between heartbeats of an agent")
	list := s.Duration("list-every", def.ListInterval, 100*time.Millisecond, 10*time.Minute, "time between looks at the VM list")
	accept := s.Duration("accept-timeout", def.AcceptTimeout, 10*time.Millisecond, time.Minute, "longest wait for an agent's first answer")
	reattach := s.Duration("reattach-for", def.ReattachTimeout, 0, 10*time.Minute, "how long a lost agent is tried before its streams are moved")
	s.Group("Platform")
	window := s.Duration("claim-window", def.ClaimWindow, 0, time.Second, "time over which claims are grouped into a transaction")
	ttl := s.Duration("lease-ttl", def.LeaseTTL, 2*time.Second, 10*time.Minute, "time to live of a lease for engine orders")
	s.MustParse()

	o := app.EntryOptions{
		CommonOptions: common(), CallerAddress: *callers, AgentLinks: *links, EntryLinks: *peers, HeartbeatInterval: *beat,
		ListInterval: *list, AcceptTimeout: *accept, ReattachTimeout: *reattach, ClaimWindow: *window, LeaseTTL: *ttl,
		MaxRequests: *most,
	}
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
