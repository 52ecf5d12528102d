package fleetmodel

import (
	"slices"
	"time"
)

// Scenario is something that happens to a fleet.
type Scenario struct {
	Name string
	// lasts is how long the fleet is played.
	lasts time.Duration
	// spareShare is how many gateways may be added, as a share of the fleet.
	spareShare float64
	// play prepares the fleet and schedules what happens to its first count gateways.
	play func(f *Fleet, count int)
}

// startSpread is the time within which gateways that start at once begin.
const startSpread = 130 * time.Millisecond

// Scenarios returns what fleets are played with.
func Scenarios() []Scenario {
	return []Scenario{
		{Name: "first start", lasts: 6 * time.Second, play: func(f *Fleet, count int) {
			for i := range count {
				f.at(f.jitter(startSpread), func() { f.start(i, true) })
			}
		}},
		{Name: "all killed", lasts: 6 * time.Second, play: func(f *Fleet, count int) {
			f.settle(count)
			f.killAndStart(f.pick(count, 1), time.Second, 800*time.Millisecond)
		}},
		{Name: "all killed, 3 in 10 cut", lasts: 8 * time.Second, play: func(f *Fleet, count int) {
			f.settle(count)
			f.cut(f.pick(count, 0.3), 0, 3*time.Second)
			f.killAndStart(f.pick(count, 1), time.Second, 800*time.Millisecond)
		}},
		{Name: "half lose power", lasts: 6 * time.Second, play: func(f *Fleet, count int) {
			f.settle(count)
			f.killAndStart(f.pick(count, 0.5), time.Second, 2*time.Second)
		}},
		{Name: "a third turned away", lasts: 11 * time.Second, play: func(f *Fleet, count int) {
			f.settle(count)
			f.cut(f.pick(count, 1.0/3), time.Second, 9*time.Second)
		}},
		{Name: "store away", lasts: 8 * time.Second, play: func(f *Fleet, count int) {
			f.settle(count)
			f.cut(f.pick(count, 1), time.Second, 5*time.Second)
		}},
		{Name: "three quarters added", lasts: 6 * time.Second, spareShare: 0.75, play: func(f *Fleet, count int) {
			f.settle(count)
			for i := count; i < len(f.nodes); i++ {
				f.at(time.Second+f.jitter(startSpread), func() { f.start(i, false) })
			}
		}},
		{Name: "configurations", lasts: 8 * time.Second, play: func(f *Fleet, count int) {
			f.settle(count)
			for i := range 12 {
				f.at(time.Second+time.Duration(i)*330*time.Millisecond, f.changeConfig)
			}
		}},
		{Name: "servers replaced", lasts: 8 * time.Second, play: func(f *Fleet, count int) {
			f.settle(count)
			for i := range 12 {
				f.at(time.Second+time.Duration(i)*500*time.Millisecond, func() { f.store.versions[serverTable]++ })
			}
		}},
	}
}

// pick draws a share of the first count gateways.
func (f *Fleet) pick(count int, share float64) []int {
	picked := f.rng.Perm(count)[:int(share*float64(count)+0.5)]
	slices.Sort(picked)
	return picked
}

// killAndStart kills gateways and starts them again after a time.
func (f *Fleet) killAndStart(list []int, at, down time.Duration) {
	f.at(at, func() {
		for _, i := range list {
			f.kill(i)
			f.at(f.now+down+f.jitter(startSpread), func() { f.start(i, false) })
		}
	})
}

// cut keeps the store from answering gateways for some time.
func (f *Fleet) cut(list []int, at, lasts time.Duration) {
	set := func(cut bool) func() {
		return func() {
			for _, i := range list {
				f.nodes[i].storeCut = cut
			}
		}
	}
	f.at(at, set(true))
	f.at(at+lasts, set(false))
}

// Result is what a scenario costs a fleet.
type Result struct {
	Scenario string
	Gateways int
	// Calls are the calls to the store by kind, those that it refused or did not answer included.
	Calls map[string]int
	// Total is the number of all calls, Refused that of the calls that the store refused.
	Total, Refused int
	// StoreBytes are the bytes of the store's answers.
	StoreBytes int
	// MeanKBps and BusiestKBps are what a gateway sends to its peers.
	MeanKBps, BusiestKBps float64
	// MostInbound is the largest number of links that peers have dialed to one gateway.
	MostInbound int
	// FailedFetches is the number of fetches that brought nothing, a gateway.
	FailedFetches float64
	// ServingNineTenths and ServingLast are the times from the start of a gateway until it can
	// serve, of nine in ten and of all that were started; Registered is the time until the last row
	// is in the table. They are negative if not all came so far.
	ServingNineTenths, ServingLast, Registered time.Duration
	// KnownLast is the longest time until all gateways had a change of the configuration.
	KnownLast time.Duration
}

// Play plays a scenario with a number of gateways.
func Play(s Scenario, gateways int, seed uint64) Result {
	f := newFleet(gateways, int(s.spareShare*float64(gateways)), seed)
	s.play(f, gateways)
	f.run(s.lasts)
	r := Result{Scenario: s.Name, Gateways: gateways, Calls: f.store.calls, Total: f.store.totalCalls(), Refused: f.store.refused, StoreBytes: f.store.bytes}
	var serving, registered []time.Duration
	alive, failed := 0, 0
	for _, n := range f.nodes {
		if !n.alive {
			continue
		}
		alive++
		kbps := float64(n.sentBytes) / 1000 / s.lasts.Seconds()
		r.MeanKBps += kbps
		r.BusiestKBps = max(r.BusiestKBps, kbps)
		r.MostInbound = max(r.MostInbound, len(n.inbound))
		failed += n.failedFetches
		if n.startAt > 0 {
			serving = append(serving, sinceStart(n, n.servingAt))
			registered = append(registered, sinceStart(n, n.registeredAt))
		}
	}
	r.MeanKBps /= float64(alive)
	r.FailedFetches = float64(failed) / float64(alive)
	r.ServingNineTenths, r.ServingLast = quantile(serving, 0.9), quantile(serving, 1)
	r.Registered = quantile(registered, 1)
	for _, c := range f.changes {
		known := c.knownAt - c.at
		if c.knownAt == 0 {
			known = never
		}
		r.KnownLast = max(r.KnownLast, known)
	}
	return r
}

// never stands for a time that was not reached in a play.
const never = time.Hour

func sinceStart(n *node, t time.Duration) time.Duration {
	if t == 0 {
		return never
	}
	return t - n.startAt
}

// quantile returns a quantile of times, 0 if there are none.
func quantile(times []time.Duration, q float64) time.Duration {
	if len(times) == 0 {
		return 0
	}
	slices.Sort(times)
	return times[min(len(times)-1, int(q*float64(len(times))))]
}
