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

// The far region loses the other one and the store for two minutes, with streams
// under way on both sides. Streams must end whole, the far side must go on with
// idempotent work and refuse claims as not run, a change made on the near side
// must come into force on the far side within seven seconds of the healing, and
// no version may fall.
func TestRegionsPartForMinutes(t *testing.T) {
	virtual(t, func(t *testing.T) {
		s := newSystem(t, setup{entries: 3, servers: 6, resumes: true})
		defer s.close()
		stop := make(chan struct{})
		var watch sync.WaitGroup
		watch.Go(func() { s.watchVersions(stop) })
		var all []*seen
		var waits []<-chan struct{}
		for i := range 12 {
			at, done := s.generate(s.client(client.DefaultOptions(), i%2), request(fmt.Sprintf("r%d", i), 400))
			all, waits = append(all, at), append(waits, done)
		}
		time.Sleep(2 * time.Second)
		s.part(true)
		time.Sleep(time.Second)
		resp, err := s.operator(0).Apply(t.Context(), &kingcupv1.ApplyRequest{ChangeId: "parted", Puts: []*kingcupv1.Row{teamRow(team, 7)}})
		require.NoError(t, err)
		require.True(t, resp.GetSpread())
		_, err = s.book(1, "far-slot")
		require.True(t, failure.IsNotRun(err), "%v", err)
		require.Zero(t, s.service.RunCount(team, "far-slot"))
		for i, done := range waits {
			<-done
			requireWhole(t, all[i], 400)
		}
		time.Sleep(2 * time.Minute)
		at, done := s.generate(s.client(once, 1), request("far", 10))
		<-done
		requireWhole(t, at, 10)
		require.Less(t, s.entries[1].Sync.Replica().Version(), resp.GetVersion())
		s.part(false)
		time.Sleep(7 * time.Second)
		for i, e := range s.entries {
			require.Equal(t, resp.GetVersion(), e.Sync.Replica().Version(), s.eopts[i].Name)
		}
		for _, n := range s.nodes {
			require.Equal(t, resp.GetVersion(), n.agent.Sync.Replica().Version(), n.opts.Name)
		}
		close(stop)
		watch.Wait()
	})
}

// All VMs of one failure domain die at once under load: an entry, its agents and
// their engines. Every stream must end whole, at servers of the other domains,
// and the callers of the lost entry must find another one by themselves.
func TestFailureDomainLost(t *testing.T) {
	virtual(t, func(t *testing.T) {
		s := newSystem(t, setup{entries: 3, servers: 6, resumes: true})
		defer s.close()
		var all []*seen
		var waits []<-chan struct{}
		for i := range 18 {
			at, done := s.generate(s.client(client.DefaultOptions()), request(fmt.Sprintf("r%d", i), 300))
			all, waits = append(all, at), append(waits, done)
		}
		time.Sleep(2 * time.Second)
		began := time.Now()
		s.killEntry(1)
		for _, i := range []int{1, 4} {
			require.Equal(t, domains[1], s.nodes[i].opts.FailureDomain)
			s.killAgent(i)
			s.killEngine(i)
		}
		slowest := time.Duration(0)
		for i, done := range waits {
			<-done
			requireWhole(t, all[i], 300)
			slowest = max(slowest, time.Since(began))
		}
		t.Logf("all 18 streams whole %v after the loss; undisturbed they take 4s more", slowest)
		require.Less(t, slowest, 20*time.Second)
	})
}
