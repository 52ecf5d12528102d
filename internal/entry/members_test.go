package entry

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"kingcupplank.example/kingcup/internal/wire"
	"kingcupplank.example/kingcup/vmlist"
)

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

// In a deployment of today's size every entry must watch every server, and at the
// target size no entry may exceed its bound while every server is watched by many.
func TestEveryServerIsWatched(t *testing.T) {
	for _, size := range []struct{ entries, servers, models, least int }{{3, 14, 2, 3}, {330, 830, 15, 12}} {
		listed := vms(size.entries, size.servers, size.models)
		watchers := make(map[string]int)
		for i := range size.entries {
			e := New(Config{
				Identity:   wire.Identity{Name: fmt.Sprint("entry-", i), FailureDomain: fmt.Sprint("d", i%8)},
				AgentLinks: 96, EntryLinks: 4,
			}, Deps{})
			peers := e.choose(listed)
			require.LessOrEqual(t, len(peers), 108)
			for _, p := range peers {
				watchers[p.Name]++
			}
		}
		for name, vm := range listed {
			if vm.Role == vmlist.RoleAgent {
				require.GreaterOrEqual(t, watchers[name], size.least, name)
			}
		}
	}
}
