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
	played = 20 * time.Second
	// wait is how often a request that may not be sent yet asks again.
	wait = 10 * time.Millisecond
	// clockError is how far the shared clocks are apart, arrival how long a request takes.
	clockError, arrival = 8 * time.Millisecond, 30 * time.Millisecond
)

// limit is what a server bears, and the platform's bound for one second.
func limit(rate float64) Limit {
	return Limit{Rate: rate, MaxInWindow: 1.5*rate + 5, Window: time.Second}
}

var server = xxhash.Sum64String("server")

// way decides whether a gateway sends.
type way interface {
	may(shared, now time.Duration) bool
}

// unbounded sends whenever there is something to send.
type unbounded struct{}

func (unbounded) may(time.Duration, time.Duration) bool { return true }

// bucket is an equal part of the rate for each process, of one request at least.
type bucket struct {
	perSecond, tokens float64
	last              time.Duration
}

func (b *bucket) may(_, now time.Duration) bool {
	b.tokens = min(1, b.tokens+(now-b.last).Seconds()*b.perSecond)
	b.last = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// paced is the package's way.
type paced struct {
	Pacer
	share *Share
	limit Limit
}

func (p *paced) may(shared, now time.Duration) bool {
	clock := SharedTime{Now: shared, Known: true}
	if !p.May(p.share, p.limit, server, clock, now) {
		return false
	}
	p.Sent(p.share, p.limit, clock, now)
	return true
}

// tickets is the package's way for many gateways, used for any number.
type tickets struct{ paced }

func (k *tickets) may(shared, now time.Duration) bool {
	t, _ := k.share.ticket(k.limit, SharedTime{Now: shared, Known: true}, now)
	if k.hasUsed(t) || !k.share.mine(server, t.number) {
		return false
	}
	k.used = t.until
	return true
}

func newPaced(l Limit) func(int, []string) way {
	return func(i int, names []string) way {
		return &paced{share: shareOf(i, names), limit: l}
	}
}

func shareOf(i int, names []string) *Share {
	return NewShare(names[i], slices.Delete(slices.Clone(names), i, i+1))
}

// load is what the gateways of a play have to send.
type load struct {
	gateways int
	// perSecond is the requests a second that come to all of them, 0 where each always has
	// some waiting.
	perSecond float64
	seed      uint64
}

// result is what a cold server got: the most in any second, and the mean. taken is the part
// of the requests that could be sent to it when they came.
type result struct {
	most        int
	mean, taken float64
}

// mostWithin is the most of some times in any window.
func mostWithin(times []time.Duration, window time.Duration) (most int) {
	slices.Sort(times)
	for i, first := 0, 0; i < len(times); i++ {
		for times[i]-times[first] >= window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

func play(o load, make func(i int, names []string) way) (r result) {
	rng := rand.New(rand.NewPCG(o.seed, 1))
	var names []string
	for i := range o.gateways {
		names = append(names, fmt.Sprint("vm-", i))
	}
	var arrivals []time.Duration
	came := 0
	for i := range o.gateways {
		w := make(i, names)
		skew := time.Duration(rng.Int64N(int64(2*clockError))) - clockError
		next := func() time.Duration {
			if o.perSecond == 0 {
				return wait
			}
			return time.Duration(rng.ExpFloat64() / o.perSecond * float64(o.gateways) * float64(time.Second))
		}
		for now := time.Duration(rng.Int64N(int64(wait))); now < played; now += next() {
			came++
			if w.may(now+skew+time.Second, now) {
				arrivals = append(arrivals, now+time.Duration(rng.Int64N(int64(arrival))))
			}
		}
	}
	r.most = mostWithin(arrivals, time.Second)
	r.mean, r.taken = float64(len(arrivals))/played.Seconds(), float64(len(arrivals))/float64(came)
	return r
}

// Guards against a server that comes back cold being ended by the sum of what many gateways
// send, each of which keeps to its own part.
func TestColdServerGetsItsRateFromAnyNumberOfGateways(t *testing.T) {
	for _, rate := range []float64{2, 8, 32, 100} {
		for _, n := range []int{1, 4, 23, 31, 103, 330} {
			for seed := range uint64(5) {
				r := play(load{gateways: n, seed: seed}, newPaced(limit(rate)))
				require.LessOrEqual(t, float64(r.most), limit(rate).MaxInWindow, "%d gateways, %v a second", n, rate)
				require.Greater(t, r.mean, 0.45*rate, "%d gateways, %v a second: requests wait although the server takes more", n, rate)
			}
		}
	}
}

// Guards against a cold server standing idle beside requests because others hold the tickets:
// of few gateways each may send one at once.
func TestFewGatewaysSendAtOnce(t *testing.T) {
	o := load{gateways: 23, perSecond: 10, seed: 1}
	equal := play(o, newPaced(limit(32)))
	ticketed := play(o, func(i int, names []string) way {
		return &tickets{paced{share: shareOf(i, names), limit: limit(32)}}
	})
	t.Logf("sent when they came: %.2f by equal parts, %.2f by tickets", equal.taken, ticketed.taken)
	require.Greater(t, equal.taken, 0.6)
	require.Less(t, ticketed.taken, 0.2)
}

// What the other two ways give at the same load: the play tells them apart.
func TestPartsOfTheRateAreTooMuchAtOnce(t *testing.T) {
	parts := func(_ int, names []string) way {
		return &bucket{perSecond: 32 / float64(len(names)), tokens: 1}
	}
	require.Greater(t, float64(play(load{gateways: 330, seed: 1}, parts).most), limit(32).MaxInWindow)
	none := func(int, []string) way { return unbounded{} }
	require.Greater(t, float64(play(load{gateways: 23, seed: 1}, none).most), limit(32).MaxInWindow)
}

// Guards against all tickets changing hands, or being nobody's, when one gateway comes or
// goes and not all have heard of it.
func TestGatewayThatLeavesGivesOnlyItsOwnTickets(t *testing.T) {
	var names []string
	for i := range 30 {
		names = append(names, fmt.Sprint("vm-", i))
	}
	before := NewShare(names[0], names[1:])
	after := NewShare(names[0], names[1:29])
	gained := 0
	for ticket := range int64(3000) {
		was, is := before.mine(server, ticket), after.mine(server, ticket)
		require.False(t, was && !is, "a ticket is kept")
		if is && !was {
			gained++
		}
	}
	require.Less(t, gained, 3000/30)
}

// A process that does not know the time that tickets go by leaves them to the others.
func TestTicketsNeedTheSharedClock(t *testing.T) {
	var p Pacer
	var names []string
	for i := range 100 {
		names = append(names, fmt.Sprint("vm-", i))
	}
	require.False(t, p.May(NewShare("self", names), limit(2), server, SharedTime{}, 0))
	require.True(t, p.May(nil, limit(2), server, SharedTime{}, 0), "alone")
	require.True(t, p.May(NewShare("self", names), Limit{}, server, SharedTime{}, 0), "no bound")
}

// Guards against tickets that are not given out for hours because the rate fell, or the shared
// clock did.
func TestTicketsGoOnWhenRateOrClockFalls(t *testing.T) {
	var names []string
	for i := range 100 {
		names = append(names, fmt.Sprint("vm-", i))
	}
	share := NewShare("self", names)
	sent := func(p *Pacer, rate float64, from time.Duration) (n int) {
		l := Named(rate)
		for now := from; now < from+100*time.Second; now += wait {
			if p.May(share, l, server, SharedTime{Now: now, Known: true}, now) {
				p.Sent(share, l, SharedTime{Now: now, Known: true}, now)
				n++
			}
		}
		return n
	}
	const begun = 10 * time.Hour
	var p Pacer
	require.Positive(t, sent(&p, 20, begun))
	require.Positive(t, sent(&p, 5, begun+100*time.Second), "the rate fell")
	require.Positive(t, sent(&p, 5, begun-time.Hour), "the clock fell")
}

// BenchmarkMay: a look takes 0.1 us, in a cell of 26 and among 330.
func BenchmarkMay(b *testing.B) {
	for _, n := range []int{26, 330} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var names []string
			for i := range n {
				names = append(names, fmt.Sprint("vm-", i))
			}
			s := NewShare("self", names)
			var p Pacer
			for now := time.Duration(0); b.Loop(); now += time.Millisecond {
				p.May(s, limit(32), server, SharedTime{Now: now, Known: true}, now)
			}
		})
	}
}
