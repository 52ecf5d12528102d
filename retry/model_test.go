package retry

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var modelSeeds = flag.Int("retry.seeds", 12, "random schedules of each size of TestRetriesStayWithinTheBoundInAnySchedule")

const (
	modelTick   = 10 * time.Millisecond
	statePeriod = 150 * time.Millisecond
	stateAge    = 600 * time.Millisecond
	modelTime   = 45 * time.Second
)

var modelSettings = Settings{Ratio: 0.2, Extra: 52}

// modelGateway is a gateway with its current process, which is down until upAt.
type modelGateway struct {
	name    string
	budget  *Budget
	peers   *Peers
	heardAt map[string]time.Duration
	upAt    time.Duration
	weight  float64
	half    int
}

// model plays gateways in virtual time: their processes die and return, links are cut, messages take time.
type model struct {
	settings  Settings
	rng       *rand.Rand
	gateways  []*modelGateway
	links     int
	cutUntil  time.Duration
	messages  []modelMessage
	requests  []time.Duration
	retries   []time.Duration
	perSecond float64
	rejected  float64
	joined    int
}

type modelMessage struct {
	at     time.Duration
	to     int
	report Report
}

func newModel(count int, seed uint64) *model {
	m := &model{settings: modelSettings, rng: rand.New(rand.NewPCG(seed, uint64(count))), links: min(32, count-1), perSecond: 5 * float64(count), rejected: 0.8, joined: count}
	if count > 20 {
		m.settings.Extra = 2.4 * float64(count)
	}
	for i := range count {
		m.gateways = append(m.gateways, &modelGateway{name: fmt.Sprint("vm-", i), weight: 0.2 + m.rng.Float64(), half: i % 2})
	}
	return m
}

// step plays one tick: gateways that are due start, messages arrive, states are sent, requests are served.
func (m *model) step(now time.Duration) {
	for i, g := range m.gateways {
		if g.budget == nil && now >= g.upAt {
			g.budget, g.heardAt = &Budget{}, make(map[string]time.Duration)
			g.peers = NewPeers(Process{g.name, m.rng.Uint64()}, now == 0, now)
		}
		if g.budget == nil {
			continue
		}
		for name, at := range g.heardAt {
			if now-at >= stateAge {
				g.peers.Silent(name, DefaultWindow, now)
				delete(g.heardAt, name)
			}
		}
		if (now+time.Duration(i)*modelTick)%statePeriod == 0 {
			m.sendState(i, now)
		}
	}
	m.deliver(now)
	total := 0.0
	for _, g := range m.gateways {
		if g.budget != nil {
			total += g.weight
		}
	}
	for _, g := range m.gateways {
		if g.budget != nil && m.rng.Float64() < m.perSecond*modelTick.Seconds()*g.weight/total {
			m.serve(g, now)
		}
	}
}

func (m *model) view(g *modelGateway, now time.Duration) View {
	var known Members
	for _, o := range m.gateways[:m.joined] {
		if o != g {
			known.Others = append(known.Others, o.name)
		}
	}
	return g.peers.View("s", known, DefaultWindow, now)
}

// serve plays a request that servers reject with a probability.
func (m *model) serve(g *modelGateway, now time.Duration) {
	m.requests = append(m.requests, now)
	g.budget.RecordFirst(m.settings, now)
	for kind := Repeat; m.rng.Float64() < m.rejected; kind = FurtherRepeat {
		if g.budget.IsShareDue(now) {
			g.budget.UpdateShare(m.settings, m.view(g, now), now)
		}
		if !g.budget.TryTake(m.settings, kind, now) {
			return
		}
		m.retries = append(m.retries, now)
		if !g.budget.IsTold(m.settings) {
			for i := range m.gateways {
				if m.gateways[i] == g {
					m.sendState(i, now)
				}
			}
		}
	}
}

func (m *model) sendState(i int, now time.Duration) {
	g := m.gateways[i]
	g.budget.UpdateShare(m.settings, m.view(g, now), now)
	report := g.peers.Report(map[string]Use{"s": g.budget.Tell(m.settings, now)}, DefaultWindow, now)
	for n := range m.links {
		to := (i + n + 1) % len(m.gateways)
		if cut := now < m.cutUntil && g.half != m.gateways[to].half; cut {
			continue
		}
		lag := 5*time.Millisecond + time.Duration(m.rng.Int64N(int64(40*time.Millisecond)))
		m.messages = append(m.messages, modelMessage{now + lag, to, report})
	}
}

func (m *model) deliver(now time.Duration) {
	rest := m.messages[:0]
	for _, msg := range m.messages {
		if msg.at > now {
			rest = append(rest, msg)
			continue
		}
		if g := m.gateways[msg.to]; g.budget != nil {
			g.peers.Heard(msg.report, DefaultWindow, now)
			g.heardAt[msg.report.Gateway] = now
		}
	}
	m.messages = rest
}

// kill ends the processes of some gateways; they return after a while.
func (m *model) kill(share float64, now time.Duration) {
	for _, g := range m.gateways {
		if m.rng.Float64() < share {
			g.budget, g.peers, g.upAt = nil, nil, now+time.Duration(100+m.rng.IntN(1500))*time.Millisecond
		}
	}
}

// play plays random faults from 12 s on.
func (m *model) play() {
	next := 12 * time.Second
	for now := time.Duration(0); now < modelTime; now += modelTick {
		if now >= next {
			next = now + time.Duration(300+m.rng.IntN(4000))*time.Millisecond
			switch m.rng.IntN(6) {
			case 0:
				m.kill(1, now)
			case 1:
				m.kill(0.5, now)
			case 2, 3:
				m.kill(1/float64(len(m.gateways)), now)
			case 4:
				m.cutUntil = now + time.Duration(1+m.rng.IntN(12))*time.Second
			case 5:
				for _, g := range m.gateways {
					g.weight = m.rng.Float64() * m.rng.Float64()
				}
			}
		}
		m.step(now)
	}
}

// countIn returns how many of the sorted times are in [from, to).
func countIn(times []time.Duration, from, to time.Duration) int {
	low, _ := slices.BinarySearch(times, from)
	high, _ := slices.BinarySearch(times, to)
	return high - low
}

// requireBound checks each window that begins with a retry against the bound on all gateways. Requests count in
// the window, the one before it or the one half a window before it, whichever has most.
func (m *model) requireBound(t *testing.T, seed uint64) {
	const w = DefaultWindow
	for _, from := range m.retries {
		retries := countIn(m.retries, from, from+w)
		requests := max(countIn(m.requests, from, from+w), countIn(m.requests, from-w, from), countIn(m.requests, from-w/2, from+w/2))
		require.LessOrEqual(t, float64(retries), m.settings.Ratio*float64(requests)+m.settings.Extra, "seed %d, %d gateways, window from %v", seed, len(m.gateways), from)
	}
}

// Whatever dies, returns, is cut off or takes the traffic, all gateways together keep the bound.
func TestRetriesStayWithinTheBoundInAnySchedule(t *testing.T) {
	for _, count := range []int{1, 2, 4, 24} {
		for seed := range uint64(*modelSeeds) {
			m := newModel(count, seed)
			m.play()
			m.requireBound(t, seed)
		}
	}
}

// usedPart plays gateways whose servers reject most requests, with one that has most of the requests if skewed, and
// a restart of some at 30 s. It returns the used part of what is allowed in the window from a time on.
func usedPart(count int, skewed bool, restarted int, from time.Duration) float64 {
	m := newModel(count, 1)
	for i, g := range m.gateways {
		if g.weight = 1; skewed && i == 0 {
			g.weight = 9 * float64(count-1)
		}
	}
	for now := time.Duration(0); now < from+DefaultWindow; now += modelTick {
		for _, g := range m.gateways[:restarted] {
			if now == modelRestart {
				g.budget, g.peers, g.upAt = nil, nil, now+200*time.Millisecond
			}
		}
		m.step(now)
	}
	allowed := m.settings.Ratio*float64(countIn(m.requests, from, from+DefaultWindow)) + m.settings.Extra
	return float64(countIn(m.retries, from, from+DefaultWindow)) / allowed
}

const (
	modelRestart = 30 * time.Second
	// leastUsed is the part of the bound that must be usable.
	leastUsed = 0.8
)

// Retries that the bound allows must not be refused: at equal gateways, at many, where one has most of the
// requests, and within two windows after a restart of all.
func TestMostOfTheBoundIsUsable(t *testing.T) {
	require.GreaterOrEqual(t, usedPart(4, false, 0, 20*time.Second), leastUsed)
	require.GreaterOrEqual(t, usedPart(103, false, 0, 20*time.Second), leastUsed)
	require.GreaterOrEqual(t, usedPart(4, true, 0, 20*time.Second), leastUsed)
	require.GreaterOrEqual(t, usedPart(4, false, 4, modelRestart+2*DefaultWindow), leastUsed)
}

// Retries that the bound allows must not be refused from 1 s after the restart of one gateway of four on.
func TestMostOfTheBoundIsUsableBesideARestart(t *testing.T) {
	require.GreaterOrEqual(t, usedPart(4, false, 1, modelRestart+time.Second), leastUsed)
}
