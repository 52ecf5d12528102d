package admission

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"kingcupplank.example/kingcup/flow"
)

// Guards against refusals because of requests that are gone: a gateway dies with requests queued, and
// its queue must leave the estimate together with its state.
func TestQueueOfADeadGatewayLeavesTheEstimate(t *testing.T) {
	q := newActiveQueue(t)
	with := View{Memory: engineMemory, Queues: []flow.Contender{{Name: "vm-2", Waiting: 300, WaitingAtRank: 300, Rank: 2, Tokens: 300 * 3300}}}
	w := arrive(q, "team-0", longDemand, with, seconds(1))
	require.True(t, q.ShouldRefuse(w, with, seconds(1)))
	without := View{Memory: engineMemory}
	require.False(t, q.ShouldRefuse(w, without, seconds(1)))
	require.Zero(t, w.EstimatedWait)
}

// Guards against a gateway that stops to decide when it is cut off from its peers: its own queue alone
// counts, and what it has accepted it keeps.
func TestGatewayThatIsCutOffCountsItsOwnQueue(t *testing.T) {
	q := newActiveQueue(t)
	v := View{Memory: engineMemory}
	n := fill(q, "team-0", v, seconds(1))
	require.Greater(t, n, 5)
	require.Less(t, n, 1000)
	for _, w := range q.waiting {
		require.False(t, q.ShouldGiveUp(w, v, w.DispatchDeadline))
		require.True(t, q.ShouldGiveUp(w, v, w.DispatchDeadline+1))
	}
}

// Guards against a large team that is served as a small one by a gateway that has just started: its own
// usage starts at zero, and the peers' reports count.
func TestUsageIsLearnedFromPeersAfterARestart(t *testing.T) {
	q := NewQueue(20000)
	v := View{Memory: engineMemory, Usage: []flow.Usage{{Team: "large", Amount: 1e6}, {Team: "x", Amount: 1e5}, {Team: "y", Amount: 1e5}, {Team: "z", Amount: 1e5}}}
	w := arrive(q, "large", longDemand, v, 0)
	require.Equal(t, 2, w.Level)
	require.Zero(t, w.LightLevel, "its light requests have used nothing")
	v.LightUsage = []flow.Usage{{Team: "large", Amount: 8e5}}
	require.Equal(t, 2, arrive(q, "large", shortDemand, v, 0).LightLevel)
	require.Zero(t, arrive(q, "x", shortDemand, v, 0).LightLevel)
}

// Guards against generations that are refused after they were accepted: only a loss of engines lets a
// queued generation be refused before its caller would leave.
func TestQueuedGenerationIsRefusedOnlyIfEnginesAreLost(t *testing.T) {
	q := newActiveQueue(t)
	v := View{Memory: engineMemory}
	fill(q, "team-0", v, seconds(1))
	last := q.waiting[len(q.waiting)-1]
	more := View{Memory: engineMemory, Queues: []flow.Contender{{Name: "vm-2", Waiting: 9000, WaitingAtRank: 9000, Tokens: 9000 * 3300}}}
	require.False(t, q.ShouldGiveUp(last, more, seconds(3)), "others queue more")
	lost := View{Memory: engineMemory / 40}
	require.True(t, last.HaveEnginesGone(lost.Memory))
	require.True(t, q.ShouldGiveUp(last, lost, seconds(3)))
	require.False(t, q.ShouldGiveUp(q.waiting[0], lost, seconds(3)), "the first one can still be served")
}

// Guards against decisions from reports and settings that are out of range: no engine memory, queues and
// usage of absurd size, a clock that steps back.
func TestReportsOutOfRangeAreHarmless(t *testing.T) {
	q := newActiveQueue(t)
	fill(q, "team-0", View{Memory: engineMemory}, seconds(1))
	for _, v := range []View{
		{}, {Memory: -5}, {Memory: math.MaxInt},
		{Memory: engineMemory, Queues: []flow.Contender{{Waiting: -3, WaitingAtRank: 5, Rank: -7, Tokens: -1 << 60}, {Waiting: 1, WaitingAtRank: 1 << 40, Tokens: math.MaxInt}}},
		{Memory: engineMemory, Usage: []flow.Usage{{Team: "a", Amount: math.MaxFloat64}, {Team: "b", Amount: 1e300}}, LightUsage: []flow.Usage{{Team: "team-0", Amount: 1e308}}},
	} {
		for _, now := range []time.Duration{seconds(2), seconds(0.5), -seconds(100)} {
			w := arrive(q, "team-0", longDemand, v, now)
			q.ShouldRefuse(w, v, now)
			require.GreaterOrEqual(t, w.EstimatedWait, time.Duration(0))
			require.LessOrEqual(t, w.EstimatedWait, maxEstimate)
			require.Contains(t, []int{0, 1, 2, 3}, w.Level)
			for _, honored := range []time.Duration{-seconds(1), 0, seconds(2)} {
				retryAfter := q.RetryAfter(w, honored, 0.999)
				require.LessOrEqual(t, retryAfter, max(0, honored))
			}
			require.NotNil(t, q.Next(now))
		}
	}
	require.True(t, q.IsActive())
}

// Guards against refusals where engines are idle: a target that is shorter than the prompt takes to read
// leaves no time to wait, and the generation is still tried.
func TestUnreachableTargetIsNoReasonToRefuse(t *testing.T) {
	q := newActiveQueue(t)
	v := View{Memory: engineMemory}
	w := arrive(q, "team-0", Demand{Tokens: 3300, Time: seconds(8), Target: time.Millisecond}, v, seconds(1))
	w.DispatchDeadline = seconds(20)
	require.False(t, q.ShouldRefuse(w, v, seconds(1)))
}

// Guards against small teams that pay for a large one: a large team has filled the queue, and a small
// team's generation is accepted as if the team were alone. The large team's short ones are, too.
func TestLargeTeamsQueueRefusesNobodyElse(t *testing.T) {
	q := newActiveQueue(t)
	now := seconds(1)
	for i, team := range []string{"a", "b", "c", "d", "large", "large", "large", "large"} {
		q.Charge(team, Demand{Tokens: 3300 * (1 + i*i), Time: seconds(8)}, false, now)
	}
	v := View{Memory: engineMemory}
	fill(q, "large", v, now)
	w := arrive(q, "a", longDemand, v, now)
	require.False(t, q.ShouldRefuse(w, v, now))
	q.Add(w)
	require.Same(t, w, q.Next(now))
	short := arrive(q, "large", shortDemand, v, now)
	require.False(t, q.ShouldRefuse(short, v, now))
	q.Add(short)
	require.Same(t, short, q.Next(now))
}

// Guards against retries that all come at the same time, or later than callers wait.
func TestRetriesAreSpread(t *testing.T) {
	q := NewQueue(20000)
	w := &Waiter{EstimatedWait: seconds(2)}
	first, last := q.RetryAfter(w, seconds(10), 0), q.RetryAfter(w, seconds(10), 0.999)
	require.Equal(t, seconds(2), first)
	require.InDelta(t, seconds(4), last, float64(seconds(0.1)))
	w.EstimatedWait = maxEstimate
	first, last = q.RetryAfter(w, seconds(10), 0), q.RetryAfter(w, seconds(10), 0.999)
	require.Equal(t, seconds(8), first)
	require.Less(t, last, seconds(10))
}
