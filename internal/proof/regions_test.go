package proof

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"kingcupplank.example/kingcup/client"
	"kingcupplank.example/kingcup/failure"
	kingcupv1 "kingcupplank.example/kingcup/proto/kingcup/v1"
)

// The second region is partitioned from the first and from the store for two minutes, with streams
// in progress in both regions. All streams must be complete. The second region must serve
// idempotent requests and refuse calls that need a claim as not run. It must apply a change that
// was made in the first region within seven seconds after the partition ends, and no version may
// decrease.
func TestRegionPartition(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		s := newSystem(t, setup{entries: 3, servers: 6, resumes: true})
		defer s.close()
		stop := make(chan struct{})
		var watch sync.WaitGroup
		watch.Go(func() { s.watchVersions(stop) })
		var streams []*observedStream
		var dones []<-chan struct{}
		for i := range 12 {
			got, done := s.generate(s.client(client.DefaultOptions(), i%2), request(fmt.Sprintf("r%d", i), 400))
			streams, dones = append(streams, got), append(dones, done)
		}
		time.Sleep(2 * time.Second)
		s.partitionRegions(true)
		time.Sleep(time.Second)
		resp, err := s.operator(0).Apply(t.Context(), &kingcupv1.ApplyRequest{ChangeId: "parted", Puts: []*kingcupv1.Row{teamRow(team, 7)}})
		require.NoError(t, err)
		require.True(t, resp.GetSpread())
		_, err = s.callNonIdempotent(1, "far-slot")
		require.True(t, failure.IsNotRun(err), "%v", err)
		require.Zero(t, s.service.RunCount(team, "far-slot"))
		for i, done := range dones {
			<-done
			requireComplete(t, streams[i], 400)
		}
		time.Sleep(2 * time.Minute)
		got, done := s.generate(s.client(noRetries, 1), request("far", 10))
		<-done
		requireComplete(t, got, 10)
		require.Less(t, s.entries[1].Sync.Replica().Version(), resp.GetVersion())
		s.partitionRegions(false)
		time.Sleep(7 * time.Second)
		for i, e := range s.entries {
			require.Equal(t, resp.GetVersion(), e.Sync.Replica().Version(), s.entryOptions[i].Name)
		}
		for _, n := range s.backendServers {
			require.Equal(t, resp.GetVersion(), n.agent.Sync.Replica().Version(), n.opts.Name)
		}
		close(stop)
		watch.Wait()
	})
}

// All VMs of one failure domain crash at once under load: an entry, the agents and their engines.
// Every stream must be completed by servers of the other domains, and the callers of the crashed
// entry must fail over to another entry.
func TestFailureDomainLost(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		s := newSystem(t, setup{entries: 3, servers: 6, resumes: true})
		defer s.close()
		var streams []*observedStream
		var dones []<-chan struct{}
		for i := range 18 {
			got, done := s.generate(s.client(client.DefaultOptions()), request(fmt.Sprintf("r%d", i), 300))
			streams, dones = append(streams, got), append(dones, done)
		}
		time.Sleep(2 * time.Second)
		began := time.Now()
		s.killEntry(1)
		for _, i := range []int{1, 4} {
			require.Equal(t, domains[1], s.backendServers[i].opts.FailureDomain)
			s.killAgent(i)
			s.killEngine(i)
		}
		slowest := time.Duration(0)
		for i, done := range dones {
			<-done
			requireComplete(t, streams[i], 300)
			slowest = max(slowest, time.Since(began))
		}
		t.Logf("all 18 streams complete %v after the crash; without faults it takes 4s", slowest)
		require.Less(t, slowest, 20*time.Second)
	})
}
