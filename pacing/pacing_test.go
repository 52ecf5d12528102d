package pacing

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"
)

const (
	simTime = 20 * time.Second
	// retryInterval is how often a request that may not be sent yet tries again.
	retryInterval = 10 * time.Millisecond
	// clockError bounds each gateway's error of the shared clock. maxTransit bounds the time
	// that a request takes to arrive.
	clockError, maxTransit = 8 * time.Millisecond, 30 * time.Millisecond
)

// coldLimit returns the limit of a cold server with a rate, with the platform's bound for one
// second.
func coldLimit(rate float64) Limit {
	return Limit{Rate: rate, MaxInWindow: 1.5*rate + 5, Window: time.Second}
}

var server = xxhash.Sum64String("server")

// sender decides whether a gateway sends a request, and records it if so.
type sender interface {
	trySend(shared, now time.Duration) bool
}

// unbounded is a sender without pacing.
type unbounded struct{}

func (unbounded) trySend(time.Duration, time.Duration) bool { return true }

// bucket is a token bucket for each process. It refills at an equal part of the rate and holds at
// most one request.
type bucket struct {
	perSecond, tokens float64
	last              time.Duration
}

func (b *bucket) trySend(_, now time.Duration) bool {
	b.tokens = min(1, b.tokens+(now-b.last).Seconds()*b.perSecond)
	b.last = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// pacedSender sends as the package allows.
type pacedSender struct {
	Pacer
	share *Share
	limit Limit
}

func (p *pacedSender) trySend(shared, now time.Duration) bool {
	at := SharedTime{Now: shared, Known: true}
	if !p.CanSend(p.share, p.limit, server, at, now) {
		return false
	}
	p.RecordSent(p.share, p.limit, at, now)
	return true
}

// ticketSender uses tickets also for few gateways, where the package uses equal quotas.
type ticketSender struct{ pacedSender }

func (k *ticketSender) trySend(shared, now time.Duration) bool {
	t, _ := k.share.ticket(k.limit, SharedTime{Now: shared, Known: true}, now)
	if k.hasUsed(t) || !k.share.owns(server, t.number) {
		return false
	}
	k.usedUntil = t.until
	return true
}

func newPacedSender(l Limit) func(int, []string) sender {
	return func(i int, names []string) sender {
		return &pacedSender{share: shareOf(i, names), limit: l}
	}
}

func shareOf(i int, names []string) *Share {
	return NewShare(names[i], slices.Delete(slices.Clone(names), i, i+1))
}

// workload is what the gateways of a simulation have to send.
type workload struct {
	gateways int
	// perSecond is the rate in requests per second at which requests reach all gateways
	// together, 0 if each gateway always has requests waiting.
	perSecond float64
	seed      uint64
}

// result is what a server got: the maximum in any second, and the mean per second.
// sentAtOnce is the fraction of the requests that could be sent as soon as they came.
type result struct {
	maxPerSecond     int
	mean, sentAtOnce float64
}

// maxWithin returns the maximum number of times that lie within any window.
func maxWithin(times []time.Duration, window time.Duration) (maxCount int) {
	slices.Sort(times)
	for i, first := 0, 0; i < len(times); i++ {
		for times[i]-times[first] >= window {
			first++
		}
		maxCount = max(maxCount, i-first+1)
	}
	return maxCount
}

// simulate lets gateways send to one server. newSender returns the sender of the i-th gateway.
func simulate(o workload, newSender func(i int, names []string) sender) (r result) {
	rng := rand.New(rand.NewPCG(o.seed, 1))
	var names []string
	for i := range o.gateways {
		names = append(names, fmt.Sprint("vm-", i))
	}
	var arrivals []time.Duration
	requests := 0
	for i := range o.gateways {
		s := newSender(i, names)
		skew := time.Duration(rng.Int64N(int64(2*clockError))) - clockError
		interval := func() time.Duration {
			if o.perSecond == 0 {
				return retryInterval
			}
			return time.Duration(rng.ExpFloat64() / o.perSecond * float64(o.gateways) * float64(time.Second))
		}
		for now := time.Duration(rng.Int64N(int64(retryInterval))); now < simTime; now += interval() {
			requests++
			if s.trySend(now+skew+time.Second, now) {
				arrivals = append(arrivals, now+time.Duration(rng.Int64N(int64(maxTransit))))
			}
		}
	}
	r.maxPerSecond = maxWithin(arrivals, time.Second)
	r.mean, r.sentAtOnce = float64(len(arrivals))/simTime.Seconds(), float64(len(arrivals))/float64(requests)
	return r
}

// Guards against a cold server being overloaded by the sum of what many gateways send, each of
// which keeps to its own part.
func TestColdServerGetsItsRateFromAnyNumberOfGateways(t *testing.T) {
	for _, rate := range []float64{2, 8, 32, 100} {
		for _, n := range []int{1, 4, 23, 31, 103, 330} {
			for seed := range uint64(5) {
				r := simulate(workload{gateways: n, seed: seed}, newPacedSender(coldLimit(rate)))
				require.LessOrEqual(t, float64(r.maxPerSecond), coldLimit(rate).MaxInWindow, "%d gateways, %v per second", n, rate)
				require.Greater(t, r.mean, 0.45*rate, "%d gateways, %v per second: requests wait although the server accepts more", n, rate)
			}
		}
	}
}

// Guards against requests waiting in front of an idle cold server because the tickets belong to
// other gateways. With few gateways, each may send one request at any time.
func TestFewGatewaysSendAtOnce(t *testing.T) {
	o := workload{gateways: 23, perSecond: 10, seed: 1}
	equal := simulate(o, newPacedSender(coldLimit(32)))
	ticketed := simulate(o, func(i int, names []string) sender {
		return &ticketSender{pacedSender{share: shareOf(i, names), limit: coldLimit(32)}}
	})
	t.Logf("sent as soon as they came: %.2f with equal quotas, %.2f with tickets", equal.sentAtOnce, ticketed.sentAtOnce)
	require.Greater(t, equal.sentAtOnce, 0.6)
	require.Less(t, ticketed.sentAtOnce, 0.2)
}

// Checks that the simulation detects an overload. Two methods must exceed the limit in it: a token
// bucket for each of many processes, whose single requests add up, and no pacing at all.
func TestSimulationDetectsOverload(t *testing.T) {
	parts := func(_ int, names []string) sender {
		return &bucket{perSecond: 32 / float64(len(names)), tokens: 1}
	}
	require.Greater(t, float64(simulate(workload{gateways: 330, seed: 1}, parts).maxPerSecond), coldLimit(32).MaxInWindow)
	none := func(int, []string) sender { return unbounded{} }
	require.Greater(t, float64(simulate(workload{gateways: 23, seed: 1}, none).maxPerSecond), coldLimit(32).MaxInWindow)
}

// Guards against all tickets changing owners, or having none, while one gateway joins or leaves
// and not all others know of it yet.
func TestGatewayThatLeavesGivesUpOnlyItsOwnTickets(t *testing.T) {
	var names []string
	for i := range 30 {
		names = append(names, fmt.Sprint("vm-", i))
	}
	before := NewShare(names[0], names[1:])
	after := NewShare(names[0], names[1:29])
	gained := 0
	for ticket := range int64(3000) {
		was, is := before.owns(server, ticket), after.owns(server, ticket)
		require.False(t, was && !is, "a gateway keeps its tickets")
		if is && !was {
			gained++
		}
	}
	require.Less(t, gained, 3000/30)
}

// A process that doesn't know the shared time uses no tickets.
func TestTicketsNeedTheSharedClock(t *testing.T) {
	var p Pacer
	var names []string
	for i := range 100 {
		names = append(names, fmt.Sprint("vm-", i))
	}
	require.False(t, p.CanSend(NewShare("self", names), coldLimit(2), server, SharedTime{}, 0))
	require.True(t, p.CanSend(nil, coldLimit(2), server, SharedTime{}, 0), "single process")
	require.True(t, p.CanSend(NewShare("self", names), Limit{}, server, SharedTime{}, 0), "no limit")
}

// Guards against tickets being refused for hours after the rate falls or the shared clock goes
// back.
func TestTicketsAreUsedAfterRateOrClockFalls(t *testing.T) {
	var names []string
	for i := range 100 {
		names = append(names, fmt.Sprint("vm-", i))
	}
	share := NewShare("self", names)
	countSent := func(p *Pacer, rate float64, from time.Duration) (n int) {
		l := FromRateLimit(rate)
		for now := from; now < from+100*time.Second; now += retryInterval {
			if p.CanSend(share, l, server, SharedTime{Now: now, Known: true}, now) {
				p.RecordSent(share, l, SharedTime{Now: now, Known: true}, now)
				n++
			}
		}
		return n
	}
	const start = 10 * time.Hour
	var p Pacer
	require.Positive(t, countSent(&p, 20, start))
	require.Positive(t, countSent(&p, 5, start+100*time.Second), "the rate fell")
	require.Positive(t, countSent(&p, 5, start-time.Hour), "the clock went back")
}

// BenchmarkCanSend: a call takes 0.1 us, in a cell of 26 processes and among 330.
func BenchmarkCanSend(b *testing.B) {
	for _, n := range []int{26, 330} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var names []string
			for i := range n {
				names = append(names, fmt.Sprint("vm-", i))
			}
			s := NewShare("self", names)
			var p Pacer
			for now := time.Duration(0); b.Loop(); now += time.Millisecond {
				p.CanSend(s, coldLimit(32), server, SharedTime{Now: now, Known: true}, now)
			}
		})
	}
}
