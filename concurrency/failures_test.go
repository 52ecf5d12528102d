package concurrency

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// failAt is when a failure happens in a load. It must not be felt failTime later.
const (
	failAt     = 4 * time.Second
	failTime   = time.Second
	failsUntil = 8 * time.Second
)

// failure plays a load of a multiple of the capacity, with a failure at failAt.
func failure(f fleet, load float64, seed uint64, fail func(s *sim)) *sim {
	s := newSim(f.gateways, f.servers, f.slots, seed, newShared)
	s.retry = true
	s.rate = func(time.Duration) float64 { return load * f.perSecond() }
	s.events[failAt] = func() { fail(s) }
	s.run(failsUntil)
	return s
}

// requireFilled requires that servers with a number of slots, which answer perSecond requests, are
// busy without a queue from failTime after the failure on.
func requireFilled(t *testing.T, s *sim, slots, perSecond float64) {
	t.Helper()
	from := failAt + failTime
	inFlight, used := meanOf(s.inFlight, from, failsUntil), meanOf(s.answers, from, failsUntil)/simTick.Seconds()/perSecond
	t.Logf("%.1f in flight at %.0f slots, used %.2f", inFlight, slots, used)
	require.LessOrEqual(t, inFlight, 1.5*slots, "in flight")
	require.GreaterOrEqual(t, used, 0.8, "used part of the capacity")
	require.LessOrEqual(t, longestAbove(s.inFlight, 1.5*slots, failAt), maxQueueTime, "standing queue")
}

// Guards against the share of gateways that have died being lost.
func TestDeadGatewaysShareIsGivenToOthers(t *testing.T) {
	f := fleet{22, 1, 6}
	s := failure(f, 1.5, 1, func(s *sim) {
		for i := range 11 {
			s.gateways[i].dead = true
		}
	})
	requireFilled(t, s, 6, f.perSecond())
}

// Guards against two halves of the gateways, cut off from each other, each taking the whole capacity.
func TestHalvesThatAreCutOffStayWithinTheCapacity(t *testing.T) {
	for seed := range uint64(3) {
		f := fleet{22, 1, 6}
		s := failure(f, 1.5, seed, func(s *sim) {
			s.cut = func(from, to int) bool { return from%2 != to%2 }
		})
		requireFilled(t, s, 6, f.perSecond())
	}
}

// Guards against a gateway that hears no peer at all overloading the servers together with others
// like it.
func TestGatewaysWithoutLinksStayWithinTheCapacity(t *testing.T) {
	f := fleet{22, 1, 6}
	s := failure(f, 1.5, 1, func(s *sim) { s.cut = func(int, int) bool { return true } })
	requireFilled(t, s, 6, f.perSecond())
}

// Guards against a capacity that does not follow the slots in the directory.
func TestCapacityFollowsTheSlots(t *testing.T) {
	for _, slots := range []int{3, 9} {
		f := fleet{22, 1, 6}
		s := failure(f, 3, 1, func(s *sim) { s.servers[0].slots = slots })
		requireFilled(t, s, float64(slots), fleet{22, 1, slots}.perSecond())
	}
}

// Guards against any use of times of other gateways' clocks.
func TestClocksOfGatewaysMayDiffer(t *testing.T) {
	f := fleet{22, 1, 6}
	s := newSim(f.gateways, f.servers, f.slots, 1, newShared)
	s.clockStep = 7 * time.Hour
	for i, g := range s.gateways {
		s.reset(g, i)
	}
	s.rate = func(time.Duration) float64 { return 1.5 * f.perSecond() }
	s.run(failsUntil)
	requireFilled(t, s, 6, f.perSecond())
}

// Guards against a standing queue at a server that has become slower.
func TestCapacityFollowsASlowerServer(t *testing.T) {
	f := fleet{22, 1, 6}
	s := failure(f, 1.5, 1, func(s *sim) { s.servers[0].service = 2 * simService })
	// The usual time is learned anew within some seconds; until then the delay counts.
	inFlight := meanOf(s.inFlight, failAt+2*failTime, failsUntil)
	t.Logf("%.1f in flight", inFlight)
	require.LessOrEqual(t, inFlight, 15.0)
	require.GreaterOrEqual(t, meanOf(s.answers, failAt+2*failTime, failsUntil)/simTick.Seconds(), 0.8*f.perSecond()/2)
}

// All gateways and servers restart at the same time, without any knowledge, and the callers that were
// refused return. Guards against a standing queue, and against capacity that stays unused.
func TestReturnOfEverythingReachesTheUsualRate(t *testing.T) {
	for _, f := range []fleet{{22, 1, 6}, {22, 3, 6}, {100, 3, 6}, {500, 12, 6}} {
		t.Run(f.String(), func(t *testing.T) {
			t.Parallel()
			s := newSim(f.gateways, f.servers, f.slots, 3, newShared)
			s.retry = true
			s.rate = func(time.Duration) float64 { return 0.65 * f.perSecond() }
			s.events[failAt] = func() {
				for i, g := range s.gateways {
					s.reset(g, i)
				}
				for _, v := range s.servers {
					v.upFrom, v.running, v.queue = failAt+2*failTime, nil, nil
				}
			}
			back := failAt + 2*failTime
			before := s.run(back)
			r := s.run(back + 4*time.Second).since(before)
			usual := 0.65 * f.perSecond()
			t.Logf("answered from 1 s after the return on %.2f of the usual rate, queue for %v, on time %.2f of %d answers, refused %d", meanOf(s.answers, back+failTime, s.now)/simTick.Seconds()/usual, longestAbove(s.inFlight, 1.5*float64(f.servers*f.slots), back), float64(r.onTime)/float64(r.answered), r.answered, r.refused)
			require.GreaterOrEqual(t, meanOf(s.answers, back+failTime, s.now)/simTick.Seconds(), 0.9*usual)
			require.LessOrEqual(t, longestAbove(s.inFlight, 1.5*float64(f.servers*f.slots), back), maxQueueTime)
			require.GreaterOrEqual(t, float64(r.onTime)/float64(r.answered), 0.9)
		})
	}
}

// outage plays a service of three servers, with little load, that has no server for 2 s and then one,
// while all gateways restart. It returns what happened from its begin on.
func outage(seed uint64, newAdmit func(time.Duration) simAdmission) simResult {
	f := fleet{22, 3, 6}
	s := newSim(f.gateways, f.servers, f.slots, seed, newAdmit)
	s.retry = true
	s.rate = func(time.Duration) float64 { return 131 }
	s.events[failAt] = func() {
		for i, g := range s.gateways {
			s.reset(g, i)
		}
		for i, v := range s.servers {
			v.upFrom, v.running, v.queue = failAt+2*time.Second+time.Duration(i)*4*time.Second, nil, nil
		}
	}
	before := s.run(failAt)
	return s.run(failAt + 8*time.Second).since(before)
}

// Guards against late answers at the first server that returns after an outage, and against callers
// that are told to retry while there is still no server.
func TestOutageOfAllServersCostsFewCallers(t *testing.T) {
	for seed := range uint64(3) {
		now, old := outage(seed, newShared), outage(seed, newUnlimited)
		t.Logf("late %d, lost %d; without the limit late %d, lost %d", now.late, now.lost, old.late, old.lost)
		require.LessOrEqual(t, now.late, now.answered/100)
		require.Less(t, now.late+now.lost, old.late+old.lost)
	}
}

// Guards against a server that answers slowly or is full keeping its capacity, and against one that
// has recovered not getting it back.
func TestSlowAndFullAnswersLowerTheCapacity(t *testing.T) {
	answer := func(a *Answers, took time.Duration, seconds int, now *time.Duration) {
		for range seconds * 10 {
			*now += 100 * time.Millisecond
			a.Observe(took, *now)
		}
	}
	var a Answers
	now := time.Second
	answer(&a, simService, 4, &now)
	require.Equal(t, simService, a.Usual())
	require.InDelta(t, 1, a.Fraction(now), 1e-9)
	last, lowered := 1.0, 0
	for range 3 {
		answer(&a, 2*simService, 1, &now)
		if f := a.Fraction(now); f < last {
			require.InDelta(t, last-penaltyStep, f, 1e-9, "by a tenth a second")
			last, lowered = f, lowered+1
		}
	}
	require.GreaterOrEqual(t, lowered, 2)
	answer(&a, simService, 1, &now)
	for last = a.Fraction(now); last < 1-1e-9; last = a.Fraction(now) {
		answer(&a, simService, 1, &now)
		require.InDelta(t, last+recoveryStep, a.Fraction(now), 1e-9, "by a twentieth a second")
	}
	require.InDelta(t, 1, a.Fraction(now), 1e-9)
	for range 3 {
		now += time.Second
		a.ObserveFull(now)
	}
	require.InDelta(t, 0.8, a.Fraction(now+time.Second), 0.101, "full")
	require.InDelta(t, 1, a.Fraction(now+time.Minute), 1e-9, "without answers")
}

// Guards against the answers of a cold server keeping its capacity low once it is warm.
func TestCapacityFollowsAServerThatGetsWarm(t *testing.T) {
	var a Answers
	now := time.Second
	for range 2 * usualWindow {
		now += usualSpacing
		a.Observe(4*simService, now)
	}
	require.Equal(t, 4*simService, a.Usual())
	for range fasterAnswers + 1 {
		now += 10 * time.Millisecond
		a.Observe(simService, now)
	}
	require.Equal(t, simService, a.Usual())
}

// Guards against returning servers counting fully before they have answered, and against servers that
// a gateway does not measure counting with nothing.
func TestReturningServersCountHalf(t *testing.T) {
	var service, own Answers
	for i := range 5 {
		service.Observe(simService, time.Duration(i)*100*time.Millisecond)
		own.Observe(2*simService, time.Duration(i)*100*time.Millisecond)
	}
	now := time.Second
	full := fleet{22, 1, 6}.perSecond()
	of := func(s Server) float64 { return NewCapacity([]Server{s}, &service, now).PerSecond }
	require.InDelta(t, full/2, of(Server{Slots: 6, Answers: &Answers{}, Age: time.Second}), 1)
	require.InDelta(t, full, of(Server{Slots: 6, Answers: &Answers{}, Age: newServerTime}), 1)
	require.InDelta(t, full/2, of(Server{Slots: 6, Answers: &own}), 1, "its own answers are twice as slow")
	require.InDelta(t, 20, of(Server{Slots: 6, Answers: &own, RateLimit: 20}), 1e-9, "its own rate limit")
	require.Zero(t, NewCapacity([]Server{{Slots: 6}}, &Answers{}, now).PerSecond, "nothing is known")
}

// Guards against wrong input: rates, slots, times and counts that are out of range or not finite, and
// clocks that step. Requests must still be admitted, and none may be told to wait for ever.
func TestWrongInputIsBounded(t *testing.T) {
	var p PeerDemand
	for _, rate := range []float64{math.NaN(), math.Inf(1), math.Inf(-1), -1, 2 * MaxDemand} {
		require.False(t, p.Add(rate))
	}
	require.Zero(t, p.Heard)
	require.True(t, p.Add(10))
	require.InDelta(t, 220, p.Total(10, 22), 1e-9, "those not heard count with the mean")
	require.InDelta(t, 20, p.Total(10, -5), 1e-9)

	var a Answers
	a.Observe(-time.Second, time.Second)
	a.Observe(time.Hour, time.Second)
	require.Zero(t, a.Usual())
	a.Observe(simService, time.Second)
	a.Observe(simService, time.Second)
	l := NewLimiter(0)
	for i, slots := range []int{-1, 0, 6, math.MaxInt} {
		for _, gateways := range []int{-1, 0, 22, math.MaxInt32} {
			for _, step := range []time.Duration{time.Second, -time.Hour, 24 * time.Hour} {
				now := time.Duration(i+1)*time.Hour + step
				for range 20 {
					l.Arrived(now)
					l.Update(Inputs{NewCapacity([]Server{{Slots: slots, Answers: &a, RateLimit: math.NaN()}}, &a, now), p, gateways}, now)
					l.TryTake(now)
					wait, retry := l.Wait(3, now), l.RetryAfter(3*time.Second, math.NaN(), now)
					require.GreaterOrEqual(t, wait, time.Duration(0))
					require.LessOrEqual(t, wait, MaxWait)
					require.GreaterOrEqual(t, retry, time.Duration(0))
					require.LessOrEqual(t, retry, time.Second)
					require.False(t, math.IsNaN(l.Status(now).Share))
					now += 10 * time.Millisecond
				}
			}
		}
	}
}

// Guards against callers that retry all at the same time or after they have left.
func TestRetryTimesAreSpread(t *testing.T) {
	require.Equal(t, time.Second, OutageRetryAfter(3*time.Second, 0))
	require.InDelta(t, 2.0/3, OutageRetryAfter(3*time.Second, 1).Seconds(), 1e-6)
	require.LessOrEqual(t, OutageRetryAfter(time.Hour, 0.5), maxOutageRetry)
	require.Zero(t, OutageRetryAfter(-time.Second, 0.5))
	l := NewLimiter(0)
	var a Answers
	now := time.Second
	for range 10 {
		a.Observe(simService, now)
	}
	for range 50 {
		l.Arrived(now)
		now += 20 * time.Millisecond
	}
	var p PeerDemand
	for range 21 {
		p.Add(50)
	}
	l.Update(Inputs{NewCapacity([]Server{{Slots: 6, Answers: &a}}, &a, now), p, 22}, now)
	require.True(t, l.Limited())
	last := time.Duration(0)
	for i := range 5 {
		d := l.RetryAfter(3*time.Second, 0.5, now)
		require.Greater(t, d, last, "each after those before, request %d", i)
		last = d
	}
}

// Guards against callers that are refused below the capacity because the gateways that are left take the dead ones
// for as crowded as themselves.
func TestSurvivorsServeTheCallersOfDeadGateways(t *testing.T) {
	for _, f := range []fleet{{29, 4, 6}, {103, 4, 6}} {
		for _, left := range []int{1, 3} {
			s := newSim(f.gateways, f.servers, f.slots, 1, newShared)
			s.retry, s.longRuns = true, 0.02
			s.rate = func(time.Duration) float64 { return 0.4 * f.perSecond() }
			s.events[failAt] = func() {
				for _, g := range s.gateways[left:] {
					g.dead = true
				}
			}
			// Until then the survivors learn that the others are silent.
			s.run(failAt + 2*failTime)
			arrived, refused := s.arrived, s.refused
			s.run(failsUntil)
			arrived, refused = s.arrived-arrived, s.refused-refused
			t.Logf("%d of %d gateways left: %d of %d requests are refused", left, f.gateways, refused, arrived)
			require.LessOrEqual(t, refused, arrived/100)
		}
	}
}
