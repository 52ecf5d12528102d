package entry

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"kingcupplank.example/kingcup/internal/wire"
	"kingcupplank.example/kingcup/vmlist"
)

// vms returns a VM list by name, with 8 failure domains and one model per server.
func vms(entries, servers, models int) map[string]vmlist.VM {
	out := make(map[string]vmlist.VM)
	for i := range entries {
		name := fmt.Sprint("entry-", i)
		out[name] = vmlist.VM{Name: name, Role: vmlist.RoleEntry, FailureDomain: fmt.Sprint("d", i%8)}
	}
	for i := range servers {
		name := fmt.Sprint("server-", i)
		out[name] = vmlist.VM{
			Name: name, Role: vmlist.RoleAgent, FailureDomain: fmt.Sprint("d", i/models%8),
			Models: []string{fmt.Sprint("m", i%models)},
		}
	}
	return out
}

// Every entry must watch every server in a small deployment. At the target size
// no entry may exceed its number of links, and many entries must still watch
// each server.
func TestEveryServerIsWatched(t *testing.T) {
	for _, size := range []struct{ entries, servers, models, minWatchers int }{{3, 14, 2, 3}, {330, 830, 15, 12}} {
		vmsByName := vms(size.entries, size.servers, size.models)
		watchers := make(map[string]int)
		for i := range size.entries {
			e := New(Config{
				Identity:   wire.Identity{Name: fmt.Sprint("entry-", i), FailureDomain: fmt.Sprint("d", i%8)},
				AgentLinks: 96, EntryLinks: 4,
			}, Deps{})
			peers := e.choosePeers(vmsByName)
			// 108 is the sum of AgentLinks, EntryLinks and claimWriterCount.
			require.LessOrEqual(t, len(peers), 108)
			for _, p := range peers {
				watchers[p.Name]++
			}
		}
		for name, vm := range vmsByName {
			if vm.Role == vmlist.RoleAgent {
				require.GreaterOrEqual(t, watchers[name], size.minWatchers, name)
			}
		}
	}
}
