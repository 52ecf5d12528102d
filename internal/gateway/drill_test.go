package gateway

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"kingcupplank.example/kingcup/internal/standin/fleet"
)

var (
	drilled   = flag.Int("drill.gateways", many, "gateways in the test of a drill's calls")
	drillKept = flag.Int("drill.kept", 66, "percent of their rows that the store's copy has")
)

const (
	// drillAway is how long the store is away, drillWatched how long the calls behind it are
	// counted.
	drillAway, drillWatched = time.Second, 5 * time.Second
)

// callsOf counts the calls of gateways to the store within drillWatched behind something.
func callsOf(nodes []*node, happens func()) (calls int) {
	happens()
	before := 0
	for _, n := range nodes {
		before += n.door.Calls()
	}
	time.Sleep(drillWatched)
	for _, n := range nodes {
		calls += n.door.Calls()
	}
	return calls - before
}

// Guards against a burst of calls when the store has come back older: a third of the gateways
// find their rows missing in it and write them again, one call each, and all read it anew.
func TestLostRowsCostOneCallEach(t *testing.T) {
	t.Parallel()
	s := newSystem(t)
	if *drilled == many {
		s.peerLinks = fewLinks
	}
	s.server(fleet.DeskService, fleet.Behavior{})
	var nodes []*node
	var copied *fleet.Backup
	kept := *drilled * *drillKept / 100
	for i := range *drilled {
		if i == kept {
			copied = s.fleet.Store.Backup()
		}
		nodes = append(nodes, s.gateway(fmt.Sprintf("vm-%03d", i)))
	}
	if copied == nil {
		copied = s.fleet.Store.Backup()
	}
	s.fleet.Configure("second")
	time.Sleep(settle)
	outage := callsOf(nodes, func() {
		s.fleet.Store.SetFault(fleet.Reset)
		time.Sleep(drillAway)
		s.fleet.Store.SetFault(fleet.NoFault)
	})
	drill := callsOf(nodes, func() {
		s.fleet.Store.SetFault(fleet.Reset)
		time.Sleep(drillAway)
		s.fleet.Store.Restore(copied)
		s.fleet.Store.SetFault(fleet.NoFault)
	})
	t.Logf("%d gateways: %d calls behind an outage, %d behind a drill that lost %d rows", len(nodes), outage, drill, len(nodes)-kept)
	require.LessOrEqual(t, drill, 2*outage+len(nodes)-kept)
	for _, n := range nodes {
		require.Equal(t, http.StatusOK, n.status("second"))
		require.Equal(t, http.StatusUnauthorized, n.status(fleet.Key))
		require.NotNil(t, s.fleet.Store.Row(membersTable, n.group.self.Name))
	}
}

// streamSilence is a pause that no drill may cause: a quarter of the least silence after which
// callers leave.
const streamSilence = 500 * time.Millisecond

// noticed is what callers notice of something.
type noticed struct {
	requests, refused int
	// pause is the longest time between two events of a stream.
	pause time.Duration
}

// callersNotice has callers ask all gateways, and read a stream through each, while something
// happens and for drillWatched behind it.
func callersNotice(t *testing.T, nodes []*node, happens func()) (seen noticed) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	ctx, cancel := context.WithTimeout(t.Context(), drillAway+drillWatched)
	defer cancel()
	for _, n := range nodes {
		wg.Go(func() {
			for ctx.Err() == nil {
				status, _, err := fleet.CallWith(ctx, n.callers, fleet.OncePath, fleet.CallerRequest{ID: fleet.NextID(), Key: "second"})
				if ctx.Err() != nil {
					return
				}
				mu.Lock()
				seen.requests++
				if err != nil || status != http.StatusOK {
					seen.refused++
				}
				mu.Unlock()
				time.Sleep(10 * time.Millisecond)
			}
		})
		wg.Go(func() {
			last := time.Time{}
			fleet.StreamWith(ctx, n.callers, fleet.PlanPath, fleet.CallerRequest{ID: fleet.NextID(), Key: "second"}, func(string) {
				mu.Lock()
				defer mu.Unlock()
				if now := time.Now(); !last.IsZero() {
					seen.pause = max(seen.pause, now.Sub(last))
				}
				last = time.Now()
			})
		})
	}
	happens()
	wg.Wait()
	return seen
}

// Guards against callers being refused, or their streams being late, for a store that has come
// back older, where a plain outage of the same length would not have done it.
func TestCallersNoticeADrillNoMoreThanAnOutage(t *testing.T) {
	t.Parallel()
	s := newSystem(t)
	s.server(fleet.DeskService, fleet.Behavior{})
	s.server(fleet.ModelService, fleet.Behavior{Events: 1000, EventInterval: 20 * time.Millisecond})
	var nodes []*node
	for i := range 4 {
		nodes = append(nodes, s.gateway(fmt.Sprint("vm-", i)))
	}
	copied := s.fleet.Store.Backup()
	desk := s.server(fleet.DeskService, fleet.Behavior{})
	engine := s.server(fleet.ModelService, fleet.Behavior{Events: 1000, EventInterval: 20 * time.Millisecond})
	s.fleet.Configure("second")
	for _, n := range nodes {
		n.eventually(func() bool {
			return n.status("second") == http.StatusOK && n.registry.CountReady(fleet.ModelService) == 2
		}, "all is known")
	}
	outage := callersNotice(t, nodes, func() {
		s.fleet.Store.SetFault(fleet.Reset)
		time.Sleep(drillAway)
		s.fleet.Store.SetFault(fleet.NoFault)
	})
	drill := callersNotice(t, nodes, func() {
		s.fleet.Store.SetFault(fleet.Reset)
		time.Sleep(drillAway)
		s.fleet.Store.Restore(copied)
		s.fleet.Store.SetFault(fleet.NoFault)
		time.Sleep(drillAway)
		desk.Heartbeat()
		engine.Heartbeat()
	})
	t.Logf("outage %+v, drill %+v", outage, drill)
	require.LessOrEqual(t, drill.refused, outage.refused+drill.requests/100, "0.06 s of refusals")
	require.Less(t, drill.pause, streamSilence)
}
