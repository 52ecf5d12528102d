package backends

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"kingcupplank.example/kingcup/cells"
	"kingcupplank.example/kingcup/subset"
)

// The load of the tests: gateways before engines whose memory is full to two thirds. An
// engine reads one prompt after the other, 112 tokens between two steps of those that run,
// 15 ms in all, and a generation that finds no memory waits there.
const (
	gateways, engines = 103, 144
	mostLinks         = 32
	engineMemory      = 33_000
	promptTokens      = 2700
	promptSpeed       = 7_500 // tokens a second
	outputTokens      = 470
	// Three of five generations are long; the others end with their first tokens.
	longLasts = 8 * time.Second
	longOf5   = 3
	arrivals  = 200 // a second, over all gateways
	played    = 20 * time.Second
	// lateAfter is what a target of 1.5 s leaves to wait before a prompt is read.
	lateAfter = 1100 * time.Millisecond
	// heardAfter is how long what a gateway tells takes to its peers.
	heardAfter = 20 * time.Millisecond
	// Every replacedEvery so many engines are reclaimed and empty ones come in their place.
	replacedEvery, replaced = 3300 * time.Millisecond, 24
	// promptWait is the most that a prompt may find before it, by what is known.
	promptWait = 500 * time.Millisecond
)

// engine is a backend server of the play.
type engine struct {
	used   int
	idleAt time.Duration
	// waiting are the generations that find no memory.
	waiting []*generation
}

// generation is one that was sent to an engine.
type generation struct {
	gateway int
	lease   *Reservation
	sent    time.Duration
	memory  int
	lasts   time.Duration
}

// fleet plays gateways that choose engines by what they hear of each other.
type fleet struct {
	rng     *rand.Rand
	regs    []*Registry
	heard   [][]int
	engines map[string]*engine
	events  map[time.Duration][]func()
	servers []Server
	started int
	sent    int
	late    int
}

func newFleet(linked func(self subset.Item, all []subset.Item) (links []subset.Item, place cells.Place)) *fleet {
	f := &fleet{rng: rand.New(rand.NewPCG(5, 9)), engines: make(map[string]*engine), events: make(map[time.Duration][]func())}
	var all []subset.Item
	index := make(map[string]int)
	for i := range gateways {
		it := subset.Item{Name: fmt.Sprintf("vm-%d", i), FailureDomain: fmt.Sprint("z", i%6)}
		index[it.Name] = i
		all = append(all, it)
	}
	for range engines {
		f.start()
	}
	f.heard = make([][]int, gateways)
	for i, self := range all {
		r := New(self.FailureDomain, func(string) ServiceTraits { return ServiceTraits{MemoryTokens: engineMemory} }, func(Server, LeaveReason) {})
		r.ReplaceAll(f.servers, 0, 0)
		others := append(append([]subset.Item{}, all[:i]...), all[i+1:]...)
		links, place := linked(self, others)
		r.SetCell(place)
		for _, l := range links {
			f.heard[i] = append(f.heard[i], index[l.Name])
		}
		f.regs = append(f.regs, r)
	}
	return f
}

// start adds an engine.
func (f *fleet) start() {
	f.servers = append(f.servers, Server{ID: fmt.Sprintf("i-%d", f.started), Service: svc, FailureDomain: fmt.Sprint("z", f.started%6), Slots: 24})
	f.started++
}

// replace reclaims some engines and starts as many.
func (f *fleet) replace(now time.Duration) {
	f.rng.Shuffle(len(f.servers), func(i, j int) { f.servers[i], f.servers[j] = f.servers[j], f.servers[i] })
	f.servers = f.servers[replaced:]
	for range replaced {
		f.start()
	}
	for _, r := range f.regs {
		r.ReplaceAll(f.servers, 0, now)
	}
}

const tick = 10 * time.Millisecond

func (f *fleet) at(when time.Duration, do func()) {
	when = (when + tick - 1).Truncate(tick)
	f.events[when] = append(f.events[when], do)
}

// tell has the peers of a gateway hear of its load.
func (f *fleet) tell(i int, now time.Duration) {
	loads := f.regs[i].Loads()
	f.at(now+heardAfter, func() {
		for _, j := range f.heard[i] {
			f.regs[j].SetRemoteLoads(fmt.Sprint(i), loads)
		}
	})
}

func (f *fleet) send(now time.Duration) {
	f.sent++
	g := &generation{gateway: f.rng.IntN(gateways), sent: now, memory: promptTokens}
	if f.rng.IntN(5) < longOf5 {
		g.memory, g.lasts = promptTokens+outputTokens, longLasts
	}
	f.place(g, now)
}

// place has the gateway choose an engine; one that gets none tries again in a while.
func (f *fleet) place(g *generation, now time.Duration) {
	g.lease = f.regs[g.gateway].Acquire(Query{
		Service: svc, ExpectedTokens: g.memory, PromptTokens: promptTokens, PromptSpeed: promptSpeed, MaxMemoryUse: 0.97,
		MaxPromptPending: int(promptSpeed * promptWait.Seconds()), Spill: now-g.sent >= 150*time.Millisecond, Draw: f.rng.Uint64(),
	}, now)
	if g.lease == nil {
		f.at(now+5*tick, func() { f.place(g, now+5*tick) })
		return
	}
	f.tell(g.gateway, now)
	e := f.engine(g.lease.Server.ID)
	e.waiting = append(e.waiting, g)
	f.admit(e, now)
	if g.lasts > 0 {
		f.cover(g, now)
	}
}

// cover has a long generation's memory kept at a second engine, where half of the memory is
// free by what is known.
func (f *fleet) cover(g *generation, now time.Duration) {
	l := f.regs[g.gateway].Acquire(Query{
		Service: svc, ExpectedTokens: g.memory, Tried: []string{g.lease.Server.ID}, ForCopy: true, CopySpeed: 18_000,
		MaxMemoryUse: 0.5, MaxServiceMemoryUse: 0.5, PreferredDomain: g.lease.Server.FailureDomain, SameDomainOnly: true, Draw: f.rng.Uint64(),
	}, now)
	if l == nil {
		return
	}
	f.tell(g.gateway, now)
	e := f.engine(l.Server.ID)
	e.used += g.memory
	f.at(now+time.Second, l.FinishCopy)
	f.at(now+g.lasts, func() {
		l.Release(ResultInconclusive, now+g.lasts)
		f.tell(g.gateway, now+g.lasts)
		e.used -= g.memory
		f.admit(e, now+g.lasts)
	})
}

func (f *fleet) engine(id string) *engine {
	if f.engines[id] == nil {
		f.engines[id] = &engine{}
	}
	return f.engines[id]
}

// admit begins what the engine has memory for.
func (f *fleet) admit(e *engine, now time.Duration) {
	for len(e.waiting) > 0 && e.used+e.waiting[0].memory <= engineMemory {
		g := e.waiting[0]
		e.waiting = e.waiting[1:]
		e.used += g.memory
		begins := max(now, e.idleAt)
		if begins-g.sent > lateAfter {
			f.late++
		}
		first := begins + time.Duration(promptTokens*int(time.Second)/promptSpeed)
		e.idleAt = first
		f.at(first, func() {
			g.lease.FinishPrompt()
			f.tell(g.gateway, first)
		})
		f.at(first+g.lasts, func() {
			g.lease.Release(ResultOK, first+g.lasts)
			f.tell(g.gateway, first+g.lasts)
			e.used -= g.memory
			f.admit(e, first+g.lasts)
		})
	}
}

// play returns the part of the generations that begin late.
func (f *fleet) play() float64 {
	for now := time.Duration(0); now < played; now += tick {
		for i := 0; i < len(f.events[now]); i++ {
			f.events[now][i]()
		}
		delete(f.events, now)
		if now%replacedEvery == 0 {
			f.replace(now)
		}
		for range f.rng.IntN(2*arrivals/100 + 1) {
			f.send(now)
		}
	}
	return float64(f.late) / float64(f.sent)
}

// Callers wait for their first token although most engines have nothing to read: their
// gateway hears a third of the others, and the engine that looks idle to it was given two
// prompts by gateways unseen. Where all that send to an engine hear each other at most five
// in a hundred may begin late; with the same number of links, drawn from all, it is more
// than twice as many.
func TestGatewaysOfACellDoNotMeetAtEngines(t *testing.T) {
	divided := newFleet(func(self subset.Item, all []subset.Item) ([]subset.Item, cells.Place) {
		return cells.Links(self, all, mostLinks)
	})
	inCells := divided.play()
	partial := newFleet(func(self subset.Item, all []subset.Item) ([]subset.Item, cells.Place) {
		return subset.Pick(self.Name, self.FailureDomain, all, mostLinks+6), cells.Place{Self: self.Name, CellCount: 1}
	})
	drawn := partial.play()
	t.Logf("late: %.3f in cells, %.3f with links drawn from all", inCells, drawn)
	require.LessOrEqual(t, inCells, 0.05)
	require.Greater(t, drawn, 2*inCells)
}

// A cell has no engine with room, others have. Its requests go there rather than wait, but
// only those that have waited: what is sent there by others is not known.
func TestCellWithoutRoomSpills(t *testing.T) {
	r, _ := newRegistry()
	const count = 2
	var all []Server
	for i := range cells.MinServersPerCell * count {
		s := entry(fmt.Sprint("i-", i))
		s.Leaving = cells.IndexOf(cells.Hash(s.ID), count) == 0
		all = append(all, s)
	}
	r.ReplaceAll(all, 0, 0)
	r.SetCell(cells.Place{OwnCell: 0, CellCount: count})
	require.Nil(t, r.Acquire(Query{Service: svc}, 0))
	l := r.Acquire(Query{Service: svc, Spill: true}, 0)
	require.NotNil(t, l)
	require.Equal(t, 1, cells.IndexOf(cells.Hash(l.Server.ID), count))
}
