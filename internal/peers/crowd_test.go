package peers

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"kingcupplank.example/kingcup/internal/netmeter"
	peerv1 "kingcupplank.example/kingcup/proto/kingcup/peer/v1"
)

const (
	// thinLinkMbps is the bandwidth of the smallest VMs in Mbit/s.
	thinLinkMbps = 10
	// maxControlShare is the share of a VM's link that gateways may use to talk to each other.
	maxControlShare = 0.05
	// crowdPeers and crowdServers are the peers of a gateway and its backend servers.
	crowdPeers, crowdServers = 28, 53
)

// changingLoads is a state whose loads change as those of a gateway with most of the requests.
type changingLoads struct {
	mu    sync.Mutex
	loads map[string]*peerv1.Load
	lost  map[string]*peerv1.Loss
}

func newChangingLoads() *changingLoads {
	c := &changingLoads{loads: make(map[string]*peerv1.Load), lost: make(map[string]*peerv1.Loss)}
	for i := range crowdServers {
		c.change(i)
	}
	return c
}

// change changes the load on a server.
func (c *changingLoads) change(i int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	id := fmt.Sprintf("i-%010d", i)
	c.loads[id] = &peerv1.Load{
		Server: id, Running: 1 + rand.Uint32N(20), Tokens: rand.Uint64N(20000), Prompt: rand.Uint64N(3000), Born: 1_700_000_000_000 + int64(i),
		PauseUs: 9000 + rand.Uint32N(4000), Held: rand.Uint64N(9000),
	}
}

func (c *changingLoads) lose(i int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	id := fmt.Sprintf("i-%010d", i)
	c.lost[id] = &peerv1.Loss{Server: id, Ended: true, Born: 1_700_000_000_000 + int64(i)}
}

// state returns the loads as the state of a member.
func (c *changingLoads) state(from Member) *peerv1.State {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := &peerv1.State{From: &peerv1.Member{Name: from.Name, Address: from.Address, FailureDomain: from.FailureDomain}, LinkMbps: from.LinkMbps, ConfigVersion: 7}
	for _, l := range c.loads {
		s.Loads = append(s.Loads, l)
	}
	for _, l := range c.lost {
		s.Losses = append(s.Losses, l)
	}
	return s
}

// crowdedManager returns a manager on a thin link with the state of loads, linked to peers, and a meter of its
// connections.
func crowdedManager(t *testing.T, loads *changingLoads) (*Manager, []*recordingReceiver, *netmeter.Meter) {
	meter := netmeter.New(nil)
	m, _, _ := startManagerWith(t, "crowded", func(self *Member, deps *Deps) {
		self.LinkMbps = thinLinkMbps
		dial := meter.Dial(netDial, netmeter.Peers)
		deps.Dial = dialTCP(dial)
		deps.State = func() *peerv1.State { return loads.state(*self) }
	})
	var receivers []*recordingReceiver
	var members []Member
	for i := range crowdPeers {
		p, r, _ := startManagerWith(t, fmt.Sprintf("peer-%d", i), func(self *Member, _ *Deps) { self.LinkMbps = thinLinkMbps })
		receivers, members = append(receivers, r), append(members, p.self)
	}
	m.AddMembers(members)
	for _, r := range receivers {
		require.Eventually(t, func() bool { return r.hasState("crowded") }, soon, time.Millisecond)
	}
	return m, receivers, meter
}

// Guards against the states of a gateway with most requests taking the link that its callers need.
func TestStatesOfACrowdedGatewayLeaveTheLinkToCallers(t *testing.T) {
	loads := newChangingLoads()
	m, receivers, meter := crowdedManager(t, loads)
	stop := time.Now().Add(3 * time.Second)
	sentBefore, begun := meter.Bytes(netmeter.Peers).Sent, time.Now()
	var lostAt time.Time
	for i := 0; time.Now().Before(stop); i++ {
		loads.change(rand.IntN(crowdServers))
		if i == 100 {
			loads.lose(3)
			lostAt = time.Now()
			go m.requireAllKnow(t, receivers, lostAt)
		}
		m.SendStateNow()
		time.Sleep(8 * time.Millisecond)
	}
	rate := float64(meter.Bytes(netmeter.Peers).Sent-sentBefore) / time.Since(begun).Seconds()
	t.Logf("%.0f bytes a second to %d peers", rate, crowdPeers)
	require.Less(t, rate, maxControlShare*thinLinkMbps*1e6/8)
	for _, r := range receivers {
		require.Eventually(t, func() bool { return r.hasLoads("crowded", loads.state(m.self).GetLoads()) }, soon, 10*time.Millisecond, "loads when the crowd is over")
	}
}

// requireAllKnow checks that all receivers learn at once that a server has ended.
func (m *Manager) requireAllKnow(t *testing.T, receivers []*recordingReceiver, since time.Time) {
	for _, r := range receivers {
		for !r.hasLoss(m.self.Name) {
			if time.Since(since) > time.Second {
				t.Error("a peer did not learn within a second that a server has ended")
				return
			}
			time.Sleep(time.Millisecond)
		}
	}
}

func (e *recordingReceiver) hasLoss(peer string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.states[peer].GetLosses()) > 0
}

// hasLoads reports whether the peer's last state has about these loads.
func (e *recordingReceiver) hasLoads(peer string, want []*peerv1.Load) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	got := make(map[string]*peerv1.Load)
	for _, l := range e.states[peer].GetLoads() {
		got[l.GetServer()] = l
	}
	if len(got) != len(want) {
		return false
	}
	for _, l := range want {
		g := got[l.GetServer()]
		if g.GetRunning() != l.GetRunning() || g.GetBorn() != l.GetBorn() || absDiff(g.GetTokens(), l.GetTokens()) > max(300, l.GetTokens()/6) {
			return false
		}
	}
	return true
}

func absDiff(a, b uint64) uint64 { return max(a, b) - min(a, b) }

// Guards against gateways that all start at once filling the link of one that is crowded.
func TestStartOfAllPeersLeavesTheLinkToCallers(t *testing.T) {
	loads := newChangingLoads()
	meter := netmeter.New(nil)
	m, _, _ := startManagerWith(t, "crowded", func(self *Member, deps *Deps) {
		self.LinkMbps = thinLinkMbps
		deps.Dial = dialTCP(meter.Dial(netDial, netmeter.Peers))
		deps.State = func() *peerv1.State { return loads.state(*self) }
	})
	begun := time.Now()
	for round := range 3 {
		ctx, cancel := context.WithCancel(t.Context())
		for i := range crowdPeers {
			p, _, stop := startManagerWith(t, fmt.Sprintf("peer-%d-%d", round, i), func(self *Member, _ *Deps) { self.LinkMbps = thinLinkMbps })
			p.AddMembers([]Member{m.self})
			context.AfterFunc(ctx, stop)
		}
		for range 100 {
			loads.change(rand.IntN(crowdServers))
			m.SendStateNow()
			time.Sleep(10 * time.Millisecond)
		}
		cancel()
	}
	rate := float64(meter.Bytes(netmeter.Peers).Sent) / time.Since(begun).Seconds()
	t.Logf("%.0f bytes a second", rate)
	require.Less(t, rate, maxControlShare*thinLinkMbps*1e6/8)
}
