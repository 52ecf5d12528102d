package entry

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"kingcupplank.example/kingcup/internal/link"
	"kingcupplank.example/kingcup/internal/wait"
	"kingcupplank.example/kingcup/placement"
	"kingcupplank.example/kingcup/subset"
	"kingcupplank.example/kingcup/vmlist"
)

// Run reads the platform's VM list periodically until ctx ends. While the list
// is unavailable, the watched peers stay the same.
func (e *Entry) Run(ctx context.Context) {
	for {
		e.Refresh(ctx)
		pause := e.listInterval()/2 + rand.N(e.listInterval())
		if !wait.For(ctx, pause) {
			return
		}
	}
}

// ListIntervalPerVM makes the mean interval between two reads of the VM list
// grow with the length of the list. At the target size the list has about 80 KB;
// reading it every 5 s would use a VM's whole bandwidth limit for control
// traffic. Heartbeats report leaving servers in the meantime, so only the
// discovery of new servers slows down, to half a minute.
const ListIntervalPerVM = 25 * time.Millisecond

// listInterval returns the mean interval between two reads of the VM list.
func (e *Entry) listInterval() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return max(e.cfg.ListInterval, time.Duration(len(e.vmsByName))*ListIntervalPerVM)
}

// Refresh reads the VM list once and updates the watched peers from it.
func (e *Entry) Refresh(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, e.cfg.ListInterval)
	defer cancel()
	vms, err := e.vms.ListVMs(ctx)
	if err != nil {
		e.log.WithError(err).Debug("failed to read the VM list")
		return
	}
	vmsByName := make(map[string]vmlist.VM, len(vms))
	for _, vm := range vms {
		vmsByName[vm.Name] = vm
	}
	e.mu.Lock()
	e.vmsByName = vmsByName
	e.claimWriters = chooseClaimWriters(vmsByName)
	e.mu.Unlock()
	e.links.SetPeers(e.choosePeers(vmsByName))
}

// choosePeers returns the peers to watch: a bounded subset of the agents of each
// model, some other entries, and all entries that write claims.
func (e *Entry) choosePeers(vmsByName map[string]vmlist.VM) []link.Peer {
	byModel := make(map[string][]subset.Item)
	var entries []subset.Item
	for _, vm := range vmsByName {
		item := subset.Item{Name: vm.Name, FailureDomain: vm.FailureDomain}
		if vm.Role == vmlist.RoleEntry && vm.Name != e.cfg.Identity.Name {
			entries = append(entries, item)
		}
		if vm.Role == vmlist.RoleAgent {
			for _, m := range vm.Models {
				byModel[m] = append(byModel[m], item)
			}
		}
	}
	names := make(map[string]bool)
	add := func(items []subset.Item, n int) {
		for _, it := range subset.Pick(e.cfg.Identity.Name, e.cfg.Identity.FailureDomain, items, n) {
			names[it.Name] = true
		}
	}
	add(entries, e.cfg.EntryLinks)
	for _, name := range chooseClaimWriters(vmsByName) {
		if name != e.cfg.Identity.Name {
			names[name] = true
		}
	}
	for _, m := range slices.Sorted(maps.Keys(byModel)) {
		add(byModel[m], e.agentsPerModel(len(byModel)))
	}
	peers := make([]link.Peer, 0, len(names))
	for _, name := range slices.Sorted(maps.Keys(names)) {
		vm := vmsByName[name]
		peers = append(peers, link.Peer{Name: vm.Name, Address: vm.Address, FailureDomain: vm.FailureDomain})
	}
	return peers
}

// minAgentsPerModel leaves placement a choice for every model, even with many
// models.
const minAgentsPerModel = 2

// agentsPerModel divides Config.AgentLinks over the models. With few models an
// entry watches every agent. If a small system used a fixed small number, some
// agents would be watched by no entry: they would get no requests and, while the
// store is unavailable, no configuration changes.
func (e *Entry) agentsPerModel(models int) int {
	return max(minAgentsPerModel, e.cfg.AgentLinks/models)
}

// placementServers returns the watched backend servers as placement needs them.
func (e *Entry) placementServers() []placement.Server {
	links := e.links.All()
	e.mu.Lock()
	vmsByName := e.vmsByName
	e.mu.Unlock()
	out := make([]placement.Server, 0, len(links))
	for _, l := range links {
		if s, ok := e.placementServer(l.Status(), vmsByName); ok {
			out = append(out, s)
		}
	}
	return out
}

// staleHeartbeatAge is the age of the last heartbeat from which a server counts
// as disconnected.
const staleHeartbeatAge = 3 * time.Second

// placementServer describes a watched peer for placement. It returns false if
// the peer is no agent or has sent no heartbeat yet.
func (e *Entry) placementServer(st link.Status, vmsByName map[string]vmlist.VM) (placement.Server, bool) {
	vm := vmsByName[st.Peer.Name]
	if vm.Role != vmlist.RoleAgent || st.Heartbeat == nil {
		return placement.Server{}, false
	}
	hb := st.Heartbeat
	return placement.Server{
		Name:            st.Peer.Name,
		FailureDomain:   st.Peer.FailureDomain,
		Models:          hb.GetModels(),
		Adapters:        hb.GetAdapters(),
		Leaving:         hb.GetLeaving() || vm.Leaving,
		Connected:       st.Connected && st.HeartbeatAge < staleHeartbeatAge,
		Age:             st.HeartbeatAge,
		Running:         int(hb.GetLoad().GetRunning()),
		Queued:          int(hb.GetLoad().GetQueued()),
		MemoryForecast:  hb.GetLoad().GetMemoryForecast(),
		MemoryTotal:     hb.GetLoad().GetMemoryCapacity(),
		SentSinceReport: st.SentSinceHeartbeat,
	}, true
}

// addressOf returns the address of a VM in the VM list.
func (e *Entry) addressOf(name string) (string, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	vm, ok := e.vmsByName[name]
	return vm.Address, ok
}
