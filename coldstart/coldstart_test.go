package coldstart

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
	rate = 32.0
	// The platform's bound on what a cold server gets in any second.
	overage, tolerance = 1.5, 5
	played             = 20 * time.Second
	// wait is how often a request that found no ticket asks again.
	wait = 10 * time.Millisecond
	// clockError is how far the shared clocks are apart, arrival how long a request takes.
	clockError, arrival = 8 * time.Millisecond, 30 * time.Millisecond
)

// rule is a way to bound what a process sends.
type rule interface {
	// may reports whether the process may send at a time of its own clock.
	may(now time.Duration) bool
}

// unbounded sends whenever there is something to send.
type unbounded struct{}

func (unbounded) may(time.Duration) bool { return true }

// bucket is an equal part of the rate for each process, of one request at least.
type bucket struct {
	perSecond, tokens float64
	last              time.Duration
}

func (b *bucket) may(now time.Duration) bool {
	b.tokens = min(1, b.tokens+(now-b.last).Seconds()*b.perSecond)
	b.last = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// ticketed is the package's way.
type ticketed struct {
	share *Share
	used  int64
}

func (k *ticketed) may(now time.Duration) bool {
	ticket := Ticket(rate, now)
	if ticket == k.used || !k.share.Mine(server, ticket) {
		return false
	}
	k.used = ticket
	return true
}

var server = xxhash.Sum64String("server")

// play has gateways that always have requests waiting send to one cold server, and returns
// the most that reached it in any second, and the mean.
func play(gateways int, seed uint64, make func(i int, names []string) rule) (most int, mean float64) {
	rng := rand.New(rand.NewPCG(seed, 1))
	var names []string
	for i := range gateways {
		names = append(names, fmt.Sprint("vm-", i))
	}
	var arrivals []time.Duration
	for i := range gateways {
		r := make(i, names)
		skew := time.Duration(rng.Int64N(int64(2*clockError))) - clockError
		for now := time.Duration(rng.Int64N(int64(wait))); now < played; now += wait {
			if r.may(now + skew + time.Second) {
				arrivals = append(arrivals, now+time.Duration(rng.Int64N(int64(arrival))))
			}
		}
	}
	slices.Sort(arrivals)
	for i, first := 0, 0; i < len(arrivals); i++ {
		for arrivals[i]-arrivals[first] >= time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most, float64(len(arrivals)) / played.Seconds()
}

func newTicketed(i int, names []string) rule {
	others := slices.Delete(slices.Clone(names), i, i+1)
	return &ticketed{share: NewShare(names[i], others), used: -1}
}

// Guards against a server that comes back cold being ended by the sum of what many gateways
// send, each of which keeps to its own part.
func TestColdServerGetsItsRateFromAnyNumberOfGateways(t *testing.T) {
	for _, n := range []int{1, 4, 23, 103, 330} {
		for seed := range uint64(5) {
			most, mean := play(n, seed, newTicketed)
			require.LessOrEqual(t, most, int(rate*overage+tolerance), "%d gateways", n)
			require.Greater(t, mean, 0.8*rate, "%d gateways: requests wait although the server takes more", n)
		}
	}
}

// What the other two ways give at the same load: the play tells them apart.
func TestPartsOfTheRateAreTooMuchAtOnce(t *testing.T) {
	parts := func(_ int, names []string) rule {
		return &bucket{perSecond: rate / float64(len(names)), tokens: 1}
	}
	most, _ := play(330, 1, parts)
	require.Greater(t, most, int(rate*overage+tolerance))
	most, _ = play(23, 1, func(int, []string) rule { return unbounded{} })
	require.Greater(t, most, int(rate*overage+tolerance))
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
		was, is := before.Mine(server, ticket), after.Mine(server, ticket)
		require.False(t, was && !is, "a ticket is kept")
		if is && !was {
			gained++
		}
	}
	require.Less(t, gained, 3000/30)
}

func TestTicketsOfOneProcessAreItsOwn(t *testing.T) {
	require.True(t, (*Share)(nil).Mine(server, 7))
	require.True(t, NewShare("vm-0", nil).Mine(server, 7))
}

// BenchmarkMine: a look at a ticket takes 0.1 us, in a cell of 26 and among 330.
func BenchmarkMine(b *testing.B) {
	for _, n := range []int{26, 330} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var names []string
			for i := range n {
				names = append(names, fmt.Sprint("vm-", i))
			}
			s := NewShare("self", names)
			for i := int64(0); b.Loop(); i++ {
				s.Mine(server, i)
			}
		})
	}
}
