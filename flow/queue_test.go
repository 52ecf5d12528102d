package flow

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// request is one of a load that a test plays.
type request struct {
	Waiter
	target, took time.Duration
	sent         bool
}

// load gives n requests a second for a while: half of them urgent and short-lived,
// half with time.
func load(perSecond float64, lasts time.Duration) (out []*request) {
	step := time.Duration(float64(time.Second) / perSecond)
	for at := time.Duration(0); at < lasts; at += step {
		r := &request{target: seconds(1.8)}
		r.Arrived, r.Priority, r.PromptTokens = at, 1, 3000
		r.OnTimeDeadline, r.DispatchDeadline = at+seconds(1.3), at+seconds(26)
		if len(out)%2 == 0 {
			r.Priority, r.PromptTokens, r.target = 0, 2200, seconds(1.5)
			r.OnTimeDeadline, r.DispatchDeadline = at+seconds(1.1), at+seconds(5)
		}
		out = append(out, r)
	}
	return out
}

// play serves a load by engines that read so many tokens a second in all, and
// returns the share on time, and the share served, of each priority.
func play(load []*request, perSecond float64, next func(q *Queue, now time.Duration) *Waiter) (onTime, served [2]float64) {
	const tick = 5 * time.Millisecond
	q := NewQueue(perSecond)
	byWaiter := make(map[*Waiter]*request)
	var total [2]float64
	free, i := time.Duration(0), 0
	for now := time.Duration(0); now < seconds(60); now += tick {
		for i < len(load) && load[i].Arrived <= now {
			q.Add(&load[i].Waiter)
			byWaiter[&load[i].Waiter] = load[i]
			i++
		}
		for free <= now {
			w := next(q, now)
			if w == nil {
				break
			}
			r := byWaiter[w]
			read := seconds(float64(w.PromptTokens) / perSecond)
			free = max(free, now) + read
			q.Remove(w, true, now)
			r.sent, r.took = now <= w.DispatchDeadline, now-w.Arrived+seconds(0.4)
		}
	}
	for _, r := range load {
		total[r.Priority]++
		if r.sent {
			served[r.Priority]++
		}
		if r.sent && r.took <= r.target {
			onTime[r.Priority]++
		}
	}
	for p := range total {
		onTime[p] /= total[p]
		served[p] /= total[p]
	}
	return onTime, served
}

func fifo(q *Queue, _ time.Duration) *Waiter {
	if len(q.waiting) == 0 {
		return nil
	}
	return q.waiting[0]
}

// Half as many requests again come as the engines can read, for 14 s. In the order
// of arrival nearly all are late after two seconds: 15 % of the urgent and 19 % of
// the others were on time. With the order of Next it is all and 49 %, and whoever
// cannot be on time is served once there is room again.
func TestOverloadFallsOnThoseThatAreLate(t *testing.T) {
	const capacity, demand = 26000, 15
	first, _ := play(load(demand, 14*time.Second), capacity, fifo)
	onTime, served := play(load(demand, 14*time.Second), capacity, (*Queue).Next)
	t.Logf("in the order of arrival on time: %.2f %.2f; by Next: %.2f %.2f, served %.2f %.2f",
		first[0], first[1], onTime[0], onTime[1], served[0], served[1])
	require.Greater(t, onTime[0], 0.95)
	require.Greater(t, onTime[1], 0.4)
	require.Greater(t, onTime[0]+onTime[1], first[0]+first[1]+0.3)
	require.Greater(t, served[0], 0.95)
	require.Greater(t, served[1], 0.95)
}

// Without overload the order must not matter: all are on time.
func TestNoLoadNoWait(t *testing.T) {
	onTime, _ := play(load(6, 10*time.Second), 26000, (*Queue).Next)
	require.Equal(t, [2]float64{1, 1}, onTime)
}

// The queue is so long that a caller would be gone before its turn: it is told at
// once. One with more time waits, also when it cannot be on time any more.
func TestRequestsWithoutAChanceAreRefusedAtOnce(t *testing.T) {
	q := NewQueue(10000)
	const ahead = 20
	for range ahead {
		q.Add(&Waiter{PromptTokens: 3000, OnTimeDeadline: seconds(5), DispatchDeadline: time.Minute})
	}
	require.True(t, q.ShouldReject(&Waiter{OnTimeDeadline: seconds(6), DispatchDeadline: seconds(5)}, 0))
	require.False(t, q.ShouldReject(&Waiter{OnTimeDeadline: seconds(6), DispatchDeadline: seconds(7)}, 0))
	urgent := &Waiter{Priority: -1, OnTimeDeadline: seconds(1), DispatchDeadline: seconds(5)}
	require.False(t, q.ShouldReject(urgent, 0))

	late := &Waiter{OnTimeDeadline: seconds(0.5), DispatchDeadline: seconds(7.5)}
	q.Add(late)
	require.False(t, q.ShouldReject(late, seconds(1)), "6 s of others' prompts go first, and it has 6.5")
	require.True(t, q.ShouldReject(late, seconds(1.6)))
}

// turnedAway plays a load whose late requests are sent away by a rule, and returns the
// share that was served and the share that was on time.
func turnedAway(load []*request, perSecond float64, refuse func(q *Queue, w *Waiter, now time.Duration) bool) (served, onTime float64) {
	away := 0
	next := func(q *Queue, now time.Duration) *Waiter {
		for _, w := range slices.Clone(q.waiting) {
			if refuse(q, w, now) {
				q.Remove(w, false, now)
				away++
			}
		}
		return q.Next(now)
	}
	on, _ := play(load, perSecond, next)
	return 1 - float64(away)/float64(len(load)), (on[0] + on[1]) / 2
}

// whileOthersAreOnTime sends a late request away as long as another can be on time.
func whileOthersAreOnTime(q *Queue, w *Waiter, now time.Duration) bool {
	others := slices.ContainsFunc(q.waiting, func(o *Waiter) bool { return o != w && now <= o.OnTimeDeadline })
	return w.late(now) && others || now+q.EstimateWait(w, now) > w.DispatchDeadline
}

// Half as many requests again come for 4 s as the engines can read. Callers that cannot
// be on time any more were sent away, 15 % of all here, though the room that the others
// leave after the burst is enough for each; now all are served, and as many on time.
func TestLateRequestsTakeTheRoomThatOthersLeave(t *testing.T) {
	const capacity, demand = 26000, 15
	before, onTimeBefore := turnedAway(load(demand, 4*time.Second), capacity, whileOthersAreOnTime)
	served, onTime := turnedAway(load(demand, 4*time.Second), capacity, (*Queue).ShouldReject)
	t.Logf("served %.3f before, %.3f now; on time %.3f and %.3f", before, served, onTimeBefore, onTime)
	require.Less(t, before, 0.95)
	require.Equal(t, 1.0, served)
	require.InDelta(t, onTimeBefore, onTime, 0.01)
}

// The rate is measured while requests wait, not when the queue is empty: then it
// would be the demand.
func TestRateIsThatOfTheEngines(t *testing.T) {
	q := NewQueue(10000)
	at := time.Duration(0)
	for range 20 {
		w := &Waiter{PromptTokens: 100}
		q.Add(w)
		q.Remove(w, true, at)
		at += seconds(1)
	}
	require.InDelta(t, 10000, q.rate.perSecond, 1)
	for range 40 {
		q.Add(&Waiter{PromptTokens: 1000})
	}
	for range 30 {
		w := q.Next(at)
		q.Remove(w, true, at)
		at += seconds(0.2)
	}
	require.InDelta(t, 5000, q.rate.perSecond, 800)
}
