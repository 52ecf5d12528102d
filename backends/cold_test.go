package backends

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"kingcupplank.example/kingcup/cells"
	"kingcupplank.example/kingcup/pacing"
	"kingcupplank.example/kingcup/routing"
	"kingcupplank.example/kingcup/subset"
)

const (
	coldRate = 8.0
	coldTime = time.Second
	// coldMost is the platform's bound for one second: 1.5 times the rate and 5.
	coldMost = 1.5*coldRate + 5
)

// crowd is gateways before the servers of a failure domain that come back cold together.
type crowd struct {
	regs []*Registry
	// got are the times at which requests reached each server.
	got map[string][]time.Duration
}

func newCrowd(gateways int) *crowd {
	c := &crowd{got: make(map[string][]time.Duration)}
	var all []subset.Item
	for i := range gateways {
		all = append(all, subset.Item{Name: fmt.Sprint("vm-", i), FailureDomain: fmt.Sprint("z", i%2)})
	}
	for i, self := range all {
		r := New(self.FailureDomain, func(string) ServiceTraits {
			return ServiceTraits{ColdTime: coldTime, ColdLimit: pacing.Limit{Rate: coldRate, MaxInWindow: coldMost, Window: time.Second}}
		}, func(Server, LeaveReason) {})
		_, place := cells.Links(self, slices.Delete(slices.Clone(all), i, i+1), 32)
		r.SetCell(place)
		c.regs = append(c.regs, r)
	}
	return c
}

func (c *crowd) put(now time.Duration, servers ...Server) {
	for _, r := range c.regs {
		for _, s := range servers {
			r.Put(s, now)
		}
	}
}

// ask has every gateway ask once each 10 ms; a request that gets no server waits.
func (c *crowd) ask(from, to time.Duration) (served int) {
	rng := rand.New(rand.NewPCG(1, 2))
	for now := from; now < to; now += 10 * time.Millisecond {
		for _, r := range c.regs {
			q := Query{Service: svc, Draw: rng.Uint64(), SharedTime: pacing.SharedTime{Now: now, Known: true}, Spill: true}
			lease := r.Acquire(q, now)
			if lease == nil {
				continue
			}
			served++
			c.got[lease.Server.ID] = append(c.got[lease.Server.ID], now)
			lease.Release(ResultOK, now)
		}
	}
	return served
}

// most is the most that a server got in any second of a span.
func most(times []time.Duration, from, to time.Duration) (most int) {
	times = slices.DeleteFunc(slices.Clone(times), func(t time.Duration) bool { return t < from || t >= to })
	for i := range times {
		n := 0
		for _, t := range times[i:] {
			if t-times[i] < time.Second {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

func coldServer(i int, domain string, cold time.Duration) Server {
	return Server{ID: fmt.Sprint("s-", domain, "-", i), Service: svc, Address: "a", FailureDomain: domain, Slots: 6, ColdFor: cold}
}

// Guards against servers that come back cold being ended by a herd: every gateway looks for
// servers at once, and these are idle.
func TestColdServersGetTheirRate(t *testing.T) {
	for _, gateways := range []int{1, 4, 23, 103} {
		c := newCrowd(gateways)
		var servers []Server
		for i := range 4 {
			servers = append(servers, coldServer(i, "z0", coldTime))
		}
		c.put(time.Second, servers...)
		served := c.ask(time.Second, 2*time.Second)
		for id, times := range c.got {
			require.LessOrEqual(t, most(times, time.Second, 2*time.Second), int(coldMost), "%d gateways, %s", gateways, id)
		}
		require.Greater(t, float64(served), 0.7*float64(len(servers))*coldRate, "%d gateways: callers wait although the servers take more", gateways)
		c.got = make(map[string][]time.Duration)
		require.Greater(t, c.ask(2*time.Second, 2100*time.Millisecond), gateways, "they take all once they are warm")
	}
}

// Guards against a herd at the servers of a domain that gets requests again: they have lost
// their caches and have not said so yet.
func TestDomainThatIsTakenBackCountsAsCold(t *testing.T) {
	c := newCrowd(23)
	c.put(0, coldServer(0, "z0", 0))
	for _, r := range c.regs {
		require.Empty(t, r.SetCordoned([]string{"z0"}, 0))
	}
	c.ask(time.Second, 1100*time.Millisecond)
	require.Empty(t, c.got["s-z0-0"], "cordoned")
	for _, r := range c.regs {
		require.Equal(t, []string{"z0"}, r.SetCordoned(nil, 2*time.Second))
	}
	c.ask(2*time.Second, 3*time.Second)
	require.NotEmpty(t, c.got["s-z0-0"], "used again at once")
	require.LessOrEqual(t, most(c.got["s-z0-0"], 2*time.Second, 3*time.Second), int(coldMost))
}

// Guards against a server that becomes cold long after its start being taken for warm.
func TestServerThatBecomesColdAgain(t *testing.T) {
	c := newCrowd(23)
	c.put(0, coldServer(0, "z0", 0))
	c.put(5*time.Second, coldServer(0, "z0", coldTime))
	c.ask(5*time.Second, 6*time.Second)
	require.LessOrEqual(t, most(c.got["s-z0-0"], 5*time.Second, 6*time.Second), int(coldMost))
	for _, r := range c.regs {
		r.ApplySignals(coldServer(0, "z0", 0), Signals{HasColdFor: true, ColdFor: coldTime}, 0, 8*time.Second)
	}
	c.ask(8*time.Second, 9*time.Second)
	require.LessOrEqual(t, most(c.got["s-z0-0"], 8*time.Second, 9*time.Second), int(coldMost), "by its own report")
}

// Guards against gateways of other cells, which spill, sending to a cold server beside those
// that share what it bears.
func TestColdServersAreLeftToTheirCell(t *testing.T) {
	const many, perCell = 103, 18
	c := newCrowd(many)
	var servers []Server
	for i := range perCell * cells.Count(many) {
		servers = append(servers, coldServer(i, "z0", coldTime))
	}
	c.put(time.Second, servers...)
	c.ask(time.Second, 2*time.Second)
	for id, times := range c.got {
		require.LessOrEqual(t, most(times, time.Second, 2*time.Second), int(coldMost), id)
	}
}

// A gateway that does not know the shared time leaves cold servers to the others, where these
// are so many that they take turns.
func TestColdServersNeedTheSharedClock(t *testing.T) {
	for gateways, served := range map[int]bool{1: true, 4: true, 103: false} {
		c := newCrowd(gateways)
		c.put(0, coldServer(0, "z0", coldTime))
		require.Equal(t, served, c.regs[0].Acquire(Query{Service: svc}, 0) != nil)
	}
}

// Guards against requests leaving the regions of their route or team, also where servers
// there are the only ones, or cordoned.
func TestRequestsStayInTheirRegions(t *testing.T) {
	r := New("z0", func(string) ServiceTraits { return ServiceTraits{} }, func(Server, LeaveReason) {})
	r.SetDomainRegions(map[string]string{"z0": "north", "z1": "south"})
	for _, s := range []Server{coldServer(0, "z0", 0), coldServer(1, "z1", 0), coldServer(2, "nowhere", 0)} {
		r.Put(s, 0)
	}
	picked := func(within routing.Regions, tried ...string) string {
		lease := r.Acquire(Query{Service: svc, Regions: within, Tried: tried, Spill: true, Draw: 3}, 0)
		if lease == nil {
			return ""
		}
		lease.Release(ResultInconclusive, 0)
		return lease.Server.FailureDomain
	}
	for range 20 {
		require.Equal(t, "z1", picked(routing.Regions{"south"}))
	}
	require.Empty(t, picked(routing.Regions{"south"}, "s-z1-1"))
	require.Empty(t, picked(routing.Regions{}))
	require.Empty(t, picked(routing.Regions{"east"}))
	require.NotEmpty(t, picked(nil))
	ready, cordoned := r.CountReadyWithin(svc, routing.Regions{"south"})
	require.Equal(t, []int{1, 0}, []int{ready, cordoned})
	r.SetCordoned([]string{"z1"}, 0)
	require.Empty(t, picked(routing.Regions{"south"}))
	ready, cordoned = r.CountReadyWithin(svc, routing.Regions{"south"})
	require.Equal(t, []int{0, 1}, []int{ready, cordoned})
	require.True(t, r.IsIneligible(coldServer(1, "z1", 0), nil))
	require.True(t, r.IsIneligible(coldServer(0, "z0", 0), routing.Regions{"south"}))
	require.False(t, r.IsIneligible(coldServer(0, "z0", 0), nil))
}

// BenchmarkAcquireCold: a choice among 40 cold servers takes 4.4 us, at 23 gateways and at
// 330; among warm ones, of which it scores more, 6.
func BenchmarkAcquireCold(b *testing.B) {
	for _, gateways := range []int{23, 330} {
		for name, cold := range map[string]time.Duration{"warm": 0, "cold": time.Hour} {
			b.Run(fmt.Sprint(gateways, name), func(b *testing.B) {
				c := newCrowd(gateways)
				for i := range 40 {
					c.regs[0].Put(coldServer(i, "z0", cold), 0)
				}
				now := time.Duration(0)
				for b.Loop() {
					now += time.Millisecond
					if l := c.regs[0].Acquire(Query{Service: svc, Draw: uint64(now), SharedTime: pacing.SharedTime{Now: now, Known: true}}, now); l != nil {
						l.Release(ResultOK, now)
					}
				}
			})
		}
	}
}
