package flow

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// request is a request of a simulated load. target is the latency target of the first
// token, took the latency, and inTime is set if it was dispatched before its deadline.
type request struct {
	Waiter
	target, took time.Duration
	inTime       bool
}

// load returns requests that arrive at an even rate. Every second one is urgent and its
// caller leaves after 5 s; the callers of the others wait for 26 s.
func load(perSecond float64, duration time.Duration) (out []*request) {
	step := time.Duration(float64(time.Second) / perSecond)
	for at := time.Duration(0); at < duration; at += step {
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

// simulate serves a load by engines that read perSecond tokens per second in total. It
// returns the share of requests that were on time, and the share served, by priority. The
// engines are idle from idleAt on.
func simulate(load []*request, perSecond float64, next func(q *Queue, now time.Duration) *Waiter) (onTime, served [2]float64) {
	const tick = 5 * time.Millisecond
	q := NewQueue(perSecond)
	byWaiter := make(map[*Waiter]*request)
	var total [2]float64
	idleAt, i := time.Duration(0), 0
	for now := time.Duration(0); now < seconds(60); now += tick {
		for i < len(load) && load[i].Arrived <= now {
			q.Add(&load[i].Waiter)
			byWaiter[&load[i].Waiter] = load[i]
			i++
		}
		for idleAt <= now {
			w := next(q, now)
			if w == nil {
				break
			}
			r := byWaiter[w]
			readTime := seconds(float64(w.PromptTokens) / perSecond)
			idleAt = max(idleAt, now) + readTime
			q.Remove(w, true, now)
			r.inTime, r.took = now <= w.DispatchDeadline, now-w.Arrived+seconds(0.4)
		}
	}
	for _, r := range load {
		total[r.Priority]++
		if r.inTime {
			served[r.Priority]++
		}
		if r.inTime && r.took <= r.target {
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

// For 14 s the demand is one and a half times what the engines can read. In the order of
// arrival nearly all requests are late after two seconds: 15 % of the urgent and 19 % of
// the others were on time. In the order of Next all urgent requests and 49 % of the others
// are on time, and late requests are served once the engines have free capacity again.
func TestOverloadDelaysLateRequests(t *testing.T) {
	const capacity, demand = 26000, 15
	inOrder, _ := simulate(load(demand, 14*time.Second), capacity, fifo)
	onTime, served := simulate(load(demand, 14*time.Second), capacity, (*Queue).Next)
	t.Logf("on time in the order of arrival: %.2f %.2f; by Next: %.2f %.2f, served %.2f %.2f",
		inOrder[0], inOrder[1], onTime[0], onTime[1], served[0], served[1])
	require.Greater(t, onTime[0], 0.95)
	require.Greater(t, onTime[1], 0.4)
	require.Greater(t, onTime[0]+onTime[1], inOrder[0]+inOrder[1]+0.3)
	require.Greater(t, served[0], 0.95)
	require.Greater(t, served[1], 0.95)
}

// Without overload all requests must be on time.
func TestAllRequestsAreOnTimeWithoutOverload(t *testing.T) {
	onTime, _ := simulate(load(6, 10*time.Second), 26000, (*Queue).Next)
	require.Equal(t, [2]float64{1, 1}, onTime)
}

// A request whose caller would leave before the request is dispatched must be rejected at
// once. A request with a later deadline waits, even if it is already late.
func TestRequestsThatCannotBeServedInTimeAreRejectedAtOnce(t *testing.T) {
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
	require.False(t, q.ShouldReject(late, seconds(1)), "the wait is 6 s, the time to the deadline 6.5 s")
	require.True(t, q.ShouldReject(late, seconds(1.6)))
}

// simulateRejection simulates a load whose requests are rejected by a rule. It returns the
// share of requests that were not rejected and the share that were on time.
func simulateRejection(load []*request, perSecond float64, shouldReject func(q *Queue, w *Waiter, now time.Duration) bool) (served, onTime float64) {
	rejected := 0
	next := func(q *Queue, now time.Duration) *Waiter {
		for _, w := range slices.Clone(q.waiting) {
			if shouldReject(q, w, now) {
				q.Remove(w, false, now)
				rejected++
			}
		}
		return q.Next(now)
	}
	onTimeByPriority, _ := simulate(load, perSecond, next)
	return 1 - float64(rejected)/float64(len(load)), (onTimeByPriority[0] + onTimeByPriority[1]) / 2
}

// rejectLate rejects a late request while another request can still be on time, and every
// request whose caller would leave before it is dispatched.
func rejectLate(q *Queue, w *Waiter, now time.Duration) bool {
	others := slices.ContainsFunc(q.waiting, func(o *Waiter) bool { return o != w && now <= o.OnTimeDeadline })
	return w.isLate(now) && others || now+q.EstimateWait(w, now) > w.DispatchDeadline
}

// For 4 s the demand is one and a half times what the engines can read. Rejecting late
// requests loses 15 % of all requests here, although the engines have enough free capacity
// for them after the burst. With ShouldReject all are served, and as many are on time.
func TestLateRequestsUseRemainingCapacity(t *testing.T) {
	const capacity, demand = 26000, 15
	servedRejecting, onTimeRejecting := simulateRejection(load(demand, 4*time.Second), capacity, rejectLate)
	served, onTime := simulateRejection(load(demand, 4*time.Second), capacity, (*Queue).ShouldReject)
	t.Logf("served %.3f if late requests are rejected, else %.3f; on time %.3f and %.3f", servedRejecting, served, onTimeRejecting, onTime)
	require.Less(t, servedRejecting, 0.95)
	require.Equal(t, 1.0, served)
	require.InDelta(t, onTimeRejecting, onTime, 0.01)
}

// The rate must be measured only while requests wait: with an empty queue the measurement
// would be the demand and not the rate of the engines.
func TestRateIsMeasuredOnlyWhileRequestsWait(t *testing.T) {
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
