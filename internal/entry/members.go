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

// Run reads the platform's VM list until ctx ends. While the list is away the
// peers stay as they are.
func (e *Entry) Run(ctx context.Context) {
	for {
		e.Refresh(ctx)
		pause := e.listPause()/2 + rand.N(e.listPause())
		if !wait.For(ctx, pause) {
			return
		}
	}
}

// ListIntervalPerVM stretches the time between two looks at the list with its length.
// The list of the target size has some 80 KB; read every 5 s, it would take the
// whole of a node's bound for control. Heartbeats tell of leaving servers
// meanwhile, so only the discovery of new ones slows down, to half a minute.
const ListIntervalPerVM = 25 * time.Millisecond

func (e *Entry) listPause() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return max(e.cfg.ListInterval, time.Duration(len(e.listed))*ListIntervalPerVM)
}

// Refresh reads the VM list once and watches the peers it gives.
func (e *Entry) Refresh(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, e.cfg.ListInterval)
	defer cancel()
	vms, err := e.vms.ListVMs(ctx)
	if err != nil {
		e.log.WithError(err).Debug("VM list not read")
		return
	}
	listed := make(map[string]vmlist.VM, len(vms))
	for _, vm := range vms {
		listed[vm.Name] = vm
	}
	e.mu.Lock()
	e.listed = listed
	e.writers = chooseWriters(listed)
	e.mu.Unlock()
	e.links.SetPeers(e.choose(listed))
}

// choose picks the peers to watch: for each model a bounded subset of the
// agents that serve it, and some other entries.
func (e *Entry) choose(listed map[string]vmlist.VM) []link.Peer {
	byModel := make(map[string][]subset.Item)
	var entries []subset.Item
	for _, vm := range listed {
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
	for _, name := range chooseWriters(listed) {
		if name != e.cfg.Identity.Name {
			names[name] = true
		}
	}
	for _, m := range slices.Sorted(maps.Keys(byModel)) {
		add(byModel[m], e.perModel(len(byModel)))
	}
	peers := make([]link.Peer, 0, len(names))
	for _, name := range slices.Sorted(maps.Keys(names)) {
		vm := listed[name]
		peers = append(peers, link.Peer{Name: vm.Name, Address: vm.Address, FailureDomain: vm.FailureDomain})
	}
	return peers
}

// leastPerModel leaves a choice however many models there are.
const leastPerModel = 2

// perModel divides the bound on links over the models. With few models an entry
// watches every agent: a fixed small number would leave some agent unwatched
// where there are few entries, with no work and, in an outage of the store, no
// changes of configuration.
func (e *Entry) perModel(models int) int {
	return max(leastPerModel, e.cfg.AgentLinks/models)
}

// servers is the view that placement decides on.
func (e *Entry) servers() []placement.Server {
	links := e.links.All()
	e.mu.Lock()
	listed := e.listed
	e.mu.Unlock()
	out := make([]placement.Server, 0, len(links))
	for _, l := range links {
		if s, ok := e.server(l.Status(), listed); ok {
			out = append(out, s)
		}
	}
	return out
}

// staleBeat is the age of a heartbeat from which its sender is not asked.
const staleBeat = 3 * time.Second

func (e *Entry) server(st link.Status, listed map[string]vmlist.VM) (placement.Server, bool) {
	vm := listed[st.Peer.Name]
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
		Connected:       st.Connected && st.HeartbeatAge < staleBeat,
		Age:             st.HeartbeatAge,
		Running:         int(hb.GetLoad().GetRunning()),
		Queued:          int(hb.GetLoad().GetQueued()),
		MemoryForecast:  hb.GetLoad().GetMemoryForecast(),
		MemoryTotal:     hb.GetLoad().GetMemoryCapacity(),
		SentSinceReport: st.SentSinceHeartbeat,
	}, true
}

// address finds an agent that is not watched in the VM list.
func (e *Entry) address(name string) (string, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	vm, ok := e.listed[name]
	return vm.Address, ok
}
