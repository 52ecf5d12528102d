package pacing

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// namedPlay is gateways before a server that names a limit. Each always has many requests
// waiting, which ask again together.
type namedPlay struct {
	gateways int
	rate     float64
	seed     uint64
	// restarting is the part of the gateways that start again, once each, blind the number
	// of others that a gateway in ten does not know of.
	restarting float64
	blind      int
}

// named is what the server got: the most in a window, and all from the second window on.
type named struct {
	most, later int
}

// playedNamed is how long a server that names a limit is played, later the time of that in which
// what it gets is counted.
const (
	playedNamed = 40 * time.Second
	later       = playedNamed - namedWindow
)

func (o namedPlay) play() (r named) {
	rng := rand.New(rand.NewPCG(o.seed, 7))
	var names []string
	for i := range o.gateways {
		names = append(names, fmt.Sprint("vm-", i))
	}
	limit := Named(o.rate)
	var arrivals []time.Duration
	for i := range o.gateways {
		known := slices.Delete(slices.Clone(names), i, i+1)
		if i%10 == 3 {
			known = known[min(o.blind, len(known)):]
		}
		p := &paced{share: NewShare(names[i], known), limit: limit}
		skew := time.Duration(rng.Int64N(int64(2*clockError))) - clockError
		restart := playedNamed
		if rng.Float64() < o.restarting {
			restart = time.Duration(rng.Int64N(int64(playedNamed)))
		}
		for now := time.Duration(rng.Int64N(int64(wait))); now < playedNamed; now += wait {
			if now >= restart {
				p.Pacer, restart = Pacer{}, playedNamed
			}
			for p.may(now+skew+time.Second, now) {
				arrivals = append(arrivals, now+time.Duration(rng.Int64N(int64(arrival))))
			}
		}
	}
	r.most = mostWithin(arrivals, limit.Window)
	for _, at := range arrivals {
		if at >= limit.Window {
			r.later++
		}
	}
	return r
}

// Guards against a server that names a limit getting more than it takes from the sum of many
// gateways, and against its standing idle while requests wait.
func TestNamedLimitIsKeptAndUsedByAnyNumberOfGateways(t *testing.T) {
	for _, rate := range []float64{0, 0.2, 2.8, 3.9, 40, 120, 400} {
		for _, n := range []int{1, 6, 23, 103, 330} {
			for seed := range uint64(3) {
				r := namedPlay{gateways: n, rate: rate, seed: seed}.play()
				require.LessOrEqual(t, float64(r.most), Named(rate).MaxInWindow, "%d gateways, %v a second", n, rate)
				takes := max(rate, leastNamed) * later.Seconds()
				require.LessOrEqual(t, float64(r.later), 1.05*takes+1, "%d gateways, %v a second: for long", n, rate)
				require.GreaterOrEqual(t, float64(r.later), 0.8*takes-1, "%d gateways, %v a second: requests wait", n, rate)
			}
		}
	}
}

// Guards against gateways that start again, or do not know of each other, adding up to more
// than a server takes.
func TestNamedLimitIsKeptByGatewaysThatDisagree(t *testing.T) {
	for _, rate := range []float64{0, 0.2, 2.8, 3.9, 40, 120, 400} {
		for _, n := range []int{6, 23, 103, 330} {
			for seed := range uint64(3) {
				r := namedPlay{gateways: n, rate: rate, seed: seed, restarting: 0.2, blind: n / 4}.play()
				require.LessOrEqual(t, float64(r.most), Named(rate).MaxInWindow, "%d gateways, %v a second", n, rate)
			}
		}
	}
}
