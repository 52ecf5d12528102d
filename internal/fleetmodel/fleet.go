// Package fleetmodel plays the control decisions of hundreds of gateways in virtual time: how they
// start and find each other, who reads the platform's store and who fetches from whom. It uses the
// decision packages as they ship (cells, subset, readers, membership, retry) and models the rest by
// arithmetic: the store's rates, and delays of links. Callers, servers and their loads are left out.
//
// One seed gives one result.
package fleetmodel

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"kingcupplank.example/kingcup/membership"
	"kingcupplank.example/kingcup/readers"
)

// step is the time between two rounds of the model.
const step = 10 * time.Millisecond

// Fleet is a number of gateways before one store.
type Fleet struct {
	rng    *rand.Rand
	now    time.Duration
	store  *store
	nodes  []*node
	byName map[string]int
	keys   []string
	// due are events at later times, in the order of their times.
	due []event
	// changes are the times of the changes of the configuration that are measured.
	changes []change
}

type event struct {
	at  time.Duration
	run func()
}

// change is a change of the configuration and when the last gateway had it.
type change struct {
	version     int
	at, knownAt time.Duration
}

func vmName(i int) string     { return fmt.Sprintf("edge-%s-%d", domainName(i%6), i/6+1) }
func domainName(i int) string { return fmt.Sprintf("domain-%d", i) }

// newFleet returns a fleet whose gateways have not started. spare more may be added later.
func newFleet(count, spare int, seed uint64) *Fleet {
	f := &Fleet{rng: rand.New(rand.NewPCG(seed, uint64(count))), store: newStore(), byName: make(map[string]int)}
	for i := range count + spare {
		n := newNode(i)
		f.nodes = append(f.nodes, n)
		f.byName[n.self.Name] = i
		f.keys = append(f.keys, membership.Key(n.self.Name))
	}
	f.store.versions[configTable], f.store.versions[serverTable] = 1, 1
	return f
}

// settle makes the first count gateways run with all tables, two of them reading the store.
func (f *Fleet) settle(count int) {
	var candidates []readers.Reader
	for i := range count {
		f.store.addMembers([]int{i})
		candidates = append(candidates, f.readerOf(i))
	}
	chosen := readers.Choose(candidates)
	for i := range count {
		n := f.nodes[i]
		n.alive, n.joined, n.whole = true, true, true
		n.registration = membership.NewRegistration(n.self.Name, f.rng.Float64())
		n.linkedAt = -relinkInterval
		for k := range n.tables {
			n.tables[k] = table{has: true, version: f.store.versions[k]}
		}
		n.nextState = f.jitter(minStatePeriod)
		n.checkAt = f.jitter(checkInterval)
	}
	for i := range count {
		n := f.nodes[i]
		f.relink(n)
		for _, l := range n.links {
			n.linkUp[l] = 0
			f.nodes[l].inbound[i] = true
		}
		n.role.AddReports(chosen, 0)
	}
	for _, r := range chosen {
		n := f.nodes[f.byName[r.Name]]
		n.role.MayTryStore(readers.Inputs{IsStarting: true, StoreReached: true, ProcessCount: 1})
	}
}

func (f *Fleet) jitter(d time.Duration) time.Duration {
	return time.Duration(f.rng.Float64() * float64(d))
}

// at schedules an event.
func (f *Fleet) at(t time.Duration, run func()) {
	i, _ := slices.BinarySearchFunc(f.due, t, func(e event, t time.Duration) int {
		if e.at <= t {
			return -1
		}
		return 1
	})
	f.due = slices.Insert(f.due, i, event{t, run})
}

// run plays the fleet for some time.
func (f *Fleet) run(d time.Duration) {
	for end := f.now + d; f.now < end; f.now += step {
		f.store.now = f.now
		for len(f.due) > 0 && f.due[0].at <= f.now {
			e := f.due[0]
			f.due = f.due[1:]
			e.run()
		}
		for _, n := range f.nodes {
			if n.alive {
				f.stepNode(n)
			}
		}
		f.noteChanges()
	}
}

// start starts a gateway.
func (f *Fleet) start(i int, isFirst bool) {
	n := f.nodes[i]
	n.reset()
	n.alive, n.startAt = true, f.now
	n.registration = membership.NewRegistration(n.self.Name, f.rng.Float64())
	n.joinAt = f.now
	n.isFirstStart = isFirst
	if isFirst {
		n.joinAt += f.jitter(firstStartSpread)
	}
	n.checkAt = f.now + f.jitter(checkInterval)
	n.linkedAt = -relinkInterval
}

// kill ends a gateway. Its peers close their links to it and dial again.
func (f *Fleet) kill(i int) {
	n := f.nodes[i]
	n.alive = false
	for _, l := range n.links {
		delete(f.nodes[l].inbound, i)
	}
	for _, o := range f.nodes {
		if _, ok := o.linkUp[i]; ok {
			o.linkUp[i] = f.now + 200*time.Millisecond
		}
	}
}

func (f *Fleet) stepNode(n *node) {
	if !n.joined {
		f.join(n)
	}
	f.relink(n)
	f.register(n)
	if f.now >= n.nextState {
		f.sendState(n)
	}
	if f.now >= n.checkAt {
		n.checkAt = f.now + checkInterval
		for k := range n.tables {
			f.follow(n, k)
		}
	}
	for k := range n.tables {
		f.finishPoll(n, k)
	}
	if n.servingAt == 0 && n.serves() {
		n.servingAt = f.now
	}
}

// changeConfig changes the configuration and measures when all gateways know it.
func (f *Fleet) changeConfig() {
	f.store.versions[configTable]++
	f.changes = append(f.changes, change{version: f.store.versions[configTable], at: f.now})
}

// noteChanges notes the changes that all gateways have by now.
func (f *Fleet) noteChanges() {
	for i := range f.changes {
		c := &f.changes[i]
		if c.knownAt > 0 {
			continue
		}
		lacking := slices.ContainsFunc(f.nodes, func(n *node) bool {
			return n.alive && n.tables[configTable].version < c.version
		})
		if !lacking {
			c.knownAt = f.now
		}
	}
}
