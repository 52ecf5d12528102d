package admission

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// simOutcome counts what the callers of some requests got. A caller is served late if its first event
// comes later than the latency target after its first attempt.
type simOutcome struct {
	all, onTime, late, refused, lost, lateRefusals int
}

func (o simOutcome) String() string {
	return fmt.Sprintf("%4d: %4d on time, %3d late, %3d refused at least once, %3d lost, %3d refused after a long wait", o.all, o.onTime, o.late, o.refused, o.lost, o.lateRefusals)
}

// bad is the part of the requests that were refused or late.
func (o simOutcome) bad() float64 { return 1 - float64(o.onTime)/float64(max(1, o.all)) }

// served is the part of the requests that were served.
func (o simOutcome) served() float64 { return 1 - float64(o.lost)/float64(max(1, o.all)) }

// outcome counts the requests that arrived in a time span and match.
func (s *simulation) outcome(from, to time.Duration, match func(r *simRequest) bool) (o simOutcome) {
	for _, r := range s.done {
		if r.first < from || r.first >= to || !match(r) {
			continue
		}
		o.all++
		if r.refusals > 0 {
			o.refused++
		}
		o.lateRefusals += r.lateRefusals
		switch {
		case r.firstEvent == 0:
			o.lost++
		case r.firstEvent-r.first > r.kind.target:
			o.late++
		default:
			o.onTime++
		}
	}
	return o
}

const largeTeam = "large"

// teamDraw draws the team of a request: a quarter of all are of the large team.
func (s *simulation) teamDraw() string {
	if s.rng.Float64() < 0.25 {
		return largeTeam
	}
	return fmt.Sprint("team-", s.rng.IntN(23))
}

const (
	surgeFrom = 20 * time.Second
	surgeTo   = 26500 * time.Millisecond
	loadEnd   = 65 * time.Second
	simEnd    = 100 * time.Second
)

// surge runs the load of a surge of long generations at 2.5 times the rate while a failure domain of
// three is cordoned: its engines are nearly full before.
func surge(seed uint64, order func() simOrder) *simulation {
	s := newSimulation(seed, 21, 27, order)
	long, short := simLong.learned(s.rng), simShort.learned(s.rng)
	s.addLoad(long, 17, 0, loadEnd, s.teamDraw)
	s.addLoad(long, 1.5*17, surgeFrom, surgeTo, s.teamDraw)
	s.addLoad(short, 33, 0, loadEnd, s.teamDraw)
	s.run(simEnd)
	return s
}

// surgeOutcome counts what callers got that arrived from the surge on until its queue was served.
type surgeOutcome struct{ long, short, smallLong, smallShort, small, large, all simOutcome }

func (s *simulation) surgeOutcome(t *testing.T) surgeOutcome {
	count := func(match func(r *simRequest) bool) simOutcome { return s.outcome(surgeFrom, 45*time.Second, match) }
	isLong := func(r *simRequest) bool { return r.kind.name == simLong.name }
	isLarge := func(r *simRequest) bool { return r.team == largeTeam }
	o := surgeOutcome{
		long:       count(isLong),
		short:      count(func(r *simRequest) bool { return !isLong(r) }),
		smallLong:  count(func(r *simRequest) bool { return isLong(r) && !isLarge(r) }),
		smallShort: count(func(r *simRequest) bool { return !isLong(r) && !isLarge(r) }),
		small:      count(func(r *simRequest) bool { return !isLarge(r) }),
		large:      count(isLarge),
		all:        count(func(*simRequest) bool { return true }),
	}
	t.Log("long              ", o.long)
	t.Log("long, small teams ", o.smallLong)
	t.Log("short             ", o.short)
	t.Log("short, small teams", o.smallShort)
	t.Log("small teams       ", o.small)
	t.Log("large team        ", o.large)
	t.Log("runs that engines stopped for lack of memory:", s.preempted)
	return o
}

// starvationShare is the part of the rate at which all requests are served that each kind and team
// must be served at.
const starvationShare = 0.25

// Guards against short generations that wait behind long ones in a surge of these: with the order of
// package flow a third of them are refused or late, and most of the large team's are refused after
// seconds in the queue. Small teams must not pay for it, long generations must not starve, and what is
// queued must be served.
func TestShortGenerationsInASurgeOfLongOnes(t *testing.T) {
	for seed := range uint64(2) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			present := surge(seed, newPresentOrder).surgeOutcome(t)
			s := surge(seed, newKindOrder)
			o := s.surgeOutcome(t)
			require.Greater(t, present.short.bad(), 0.1, "the load is one that needs the order")
			require.Less(t, o.short.bad(), 0.02)
			require.Zero(t, o.all.lateRefusals)
			require.GreaterOrEqual(t, o.small.onTime, present.small.onTime)
			require.GreaterOrEqual(t, o.smallLong.served(), 0.98*present.smallLong.served())
			require.Greater(t, o.long.served(), starvationShare*o.all.served())
			require.Greater(t, o.large.served(), starvationShare*o.all.served())
			require.LessOrEqual(t, s.preempted[simShort.name], 3)
		})
	}
}
