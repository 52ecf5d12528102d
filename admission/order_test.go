package admission

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"kingcupplank.example/kingcup/flow"
)

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

var (
	longDemand  = Demand{Tokens: 3300, Time: seconds(8), Target: seconds(4)}
	shortDemand = Demand{Tokens: 2208, Time: seconds(0.4), Target: seconds(1.5)}
)

// engineMemory is the memory of the engines in these tests, in tokens.
const engineMemory = 27 * 26880

// newActiveQueue returns a queue that has started enough generations for its order to apply.
func newActiveQueue(t *testing.T) *Queue {
	q := NewQueue(20000)
	for range 20 {
		for _, d := range []Demand{longDemand, shortDemand} {
			w := arrive(q, "team-0", d, View{Memory: engineMemory}, 0)
			q.Start(w, "team-0", d, 0)
		}
	}
	require.True(t, q.IsActive())
	return q
}

// arrive has a generation arrive whose caller waits for ten times its target.
func arrive(q *Queue, team string, d Demand, v View, now time.Duration) *Waiter {
	w := &Waiter{Waiter: flow.Waiter{PromptTokens: d.Tokens, Arrived: now, OnTimeDeadline: now + d.Target - seconds(0.4), DispatchDeadline: now + 7*d.Target}}
	q.Arrive(w, team, d, v, now)
	return w
}

// fill queues long generations of a team until one is refused, and returns their number.
func fill(q *Queue, team string, v View, now time.Duration) (n int) {
	for ; ; n++ {
		w := arrive(q, team, longDemand, v, now)
		if q.ShouldRefuse(w, v, now) {
			return n
		}
		q.Add(w)
	}
}

// Guards against an order that changes where a service's callers gave no reason for it: with the same
// latency target for all, the queue must order, rank and refuse as package flow does.
func TestWithoutTheConditionTheOrderIsThatOfFlow(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	q, present := NewQueue(20000), flow.NewQueue(20000)
	copies := make(map[*Waiter]*flow.Waiter)
	for now := time.Duration(0); now < seconds(20); now += seconds(0.02) {
		d := shortDemand
		if rng.IntN(2) == 0 {
			d = longDemand
		}
		d.Target = seconds(1.5)
		w := arrive(q, "team", d, View{Memory: engineMemory}, now)
		w.Priority = rng.IntN(3)
		c := w.Waiter
		require.Equal(t, present.ShouldReject(&c, now), q.ShouldRefuse(w, View{Memory: engineMemory}, now))
		q.Add(w)
		present.Add(&c)
		copies[w] = &c
		if rng.IntN(3) == 0 {
			next := q.Next(now)
			require.Same(t, present.Next(now), copies[next])
			require.Equal(t, copies[next].Rank(now), q.Rank(next, now))
			require.False(t, q.FitsOverTime(next))
			rank, n := present.HeadRank(now)
			require.Equal(t, []int{rank, n}, []int{q.Contender(now).Rank, q.Contender(now).WaitingAtRank})
			require.Equal(t, present.ShouldReject(copies[next], now), q.ShouldGiveUp(next, View{}, now))
			q.Remove(next, true, now)
			present.Remove(copies[next], true, now)
		}
	}
}

// Guards against an order within a tier or between tiers that differs from the design: tiers first, then
// on-time light, late light, and other on-time generations; others that are late come last.
func TestOrder(t *testing.T) {
	now := seconds(10)
	waiter := func(light bool, tier, level int, late bool) *Waiter {
		w := &Waiter{Light: light, LightLevel: level, Waiter: flow.Waiter{Priority: tier, Level: level, Arrived: now - seconds(1), OnTimeDeadline: now + seconds(1), DispatchDeadline: now + seconds(20)}}
		if late {
			w.OnTimeDeadline = now - seconds(0.1)
		}
		return w
	}
	order := []*Waiter{
		waiter(true, 0, 0, false), waiter(true, 0, 1, false), waiter(true, 0, 3, false), waiter(true, 0, 0, true),
		waiter(false, 0, 0, false), waiter(false, 0, 1, false), waiter(false, 0, 3, false),
		waiter(true, 1, 0, false), waiter(true, 1, 0, true), waiter(false, 1, 0, false),
		waiter(false, 0, 0, true), waiter(false, 0, 3, true), waiter(false, 1, 0, true),
	}
	for i, a := range order {
		for j, b := range order {
			require.Equal(t, i < j, isBefore(a, b, now), "%d before %d", i, j)
			if i < j {
				require.LessOrEqual(t, placeOf(a, now).rank, placeOf(b, now).rank, "ranks of %d and %d", i, j)
			}
		}
	}
	aged := waiter(false, 0, 3, true)
	aged.Arrived = now - seconds(200)
	require.True(t, isBefore(aged, order[4], now), "an aged one must be served")
	require.True(t, isBefore(order[2], aged, now), "light ones don't wait for it")
}

// Guards against ranks that gateways of the previous release misread, also with priorities and levels
// that are out of range: those of a tier are the same four, and late ones of the heavy kind are above
// flow.LateRank.
func TestRanksStaySmall(t *testing.T) {
	for _, tier := range []int{-1 << 40, -1, 0, 1, 7, 249, 250, 1 << 40} {
		for _, level := range []int{-5, 0, 3, 99} {
			for _, light := range []bool{false, true} {
				for _, late := range []time.Duration{-1, 1} {
					w := &Waiter{Light: light, LightLevel: level, Waiter: flow.Waiter{Priority: tier, Level: level, OnTimeDeadline: -late, DispatchDeadline: seconds(10)}}
					rank, bounded := placeOf(w, 0).rank, max(0, min(maxTier, tier))
					if late > 0 && !light {
						require.Equal(t, flow.LateRank+bounded*tierRanks+boundLevel(level), rank)
						continue
					}
					require.GreaterOrEqual(t, rank, bounded*tierRanks)
					require.Less(t, rank, min(flow.LateRank, (bounded+1)*tierRanks))
				}
			}
		}
	}
}

// Guards against a kind that a surge or a wrong length hint redefines: in a surge of short generations
// long ones must stay the usual kind, and one absurd hint must not make all others light.
func TestKindsAreStable(t *testing.T) {
	var k Kinds
	require.False(t, k.IsLight(shortDemand), "nothing is known")
	k.Observe(shortDemand)
	k.Observe(longDemand)
	require.True(t, k.IsLight(shortDemand))
	for range 400 {
		k.Observe(longDemand)
		for range 20 {
			k.Observe(shortDemand)
		}
	}
	require.True(t, k.IsLight(shortDemand))
	require.False(t, k.IsLight(longDemand))
	require.True(t, k.AreSeparate())
	for _, absurd := range []Demand{{Tokens: 1 << 60, Time: time.Duration(1 << 62)}, {Tokens: -1, Time: -1}, {Tokens: 5, Time: -1 << 60, Target: -5}, {}} {
		k.Observe(absurd)
		require.False(t, k.IsLight(longDemand))
		require.False(t, k.IsLight(Demand{}))
		require.True(t, k.AreSeparate())
	}
	for range 200 {
		k.Observe(Demand{Tokens: 3300, Time: seconds(8), Target: seconds(2)})
	}
	require.False(t, k.AreSeparate(), "long generations with a short target")
}

// Guards against long generations that starve because light ones alone ask for the engines' memory: the
// order then is that of package flow until the light load is low again.
func TestLightOverloadEndsTheOrder(t *testing.T) {
	q := newActiveQueue(t)
	v := View{Memory: 26880}
	now := seconds(1)
	for ; q.IsActive() && now < seconds(30); now += seconds(0.01) {
		arrive(q, "team-0", shortDemand, v, now)
	}
	require.Less(t, now, seconds(30))
	for ; !q.IsActive() && now < seconds(60); now += seconds(0.2) {
		arrive(q, "team-0", shortDemand, v, now)
	}
	require.True(t, q.IsActive())
}
