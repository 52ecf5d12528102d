package pacing

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// rateLimitSim simulates gateways that send to a server with a rate limit. Each gateway always
// has many requests waiting, which all try again at the same interval.
type rateLimitSim struct {
	gateways int
	rate     float64
	seed     uint64
	// restarting is the fraction of the gateways that restart once. Every tenth gateway doesn't
	// know of unknownPeers of the others.
	restarting   float64
	unknownPeers int
}

// received is what the server got: the maximum in any window, and the number of requests after
// the first window.
type received struct {
	maxInWindow, afterFirst int
}

// rateLimitSimTime is the simulated time, afterFirst the part of it after the first window.
const (
	rateLimitSimTime = 40 * time.Second
	afterFirst       = rateLimitSimTime - rateLimitWindow
)

func (o rateLimitSim) run() (r received) {
	rng := rand.New(rand.NewPCG(o.seed, 7))
	var names []string
	for i := range o.gateways {
		names = append(names, fmt.Sprint("vm-", i))
	}
	limit := FromRateLimit(o.rate)
	var arrivals []time.Duration
	for i := range o.gateways {
		known := slices.Delete(slices.Clone(names), i, i+1)
		if i%10 == 3 {
			known = known[min(o.unknownPeers, len(known)):]
		}
		p := &pacedSender{share: NewShare(names[i], known), limit: limit}
		skew := time.Duration(rng.Int64N(int64(2*clockError))) - clockError
		restart := rateLimitSimTime
		if rng.Float64() < o.restarting {
			restart = time.Duration(rng.Int64N(int64(rateLimitSimTime)))
		}
		for now := time.Duration(rng.Int64N(int64(retryInterval))); now < rateLimitSimTime; now += retryInterval {
			if now >= restart {
				p.Pacer, restart = Pacer{}, rateLimitSimTime
			}
			for p.trySend(now+skew+time.Second, now) {
				arrivals = append(arrivals, now+time.Duration(rng.Int64N(int64(maxTransit))))
			}
		}
	}
	r.maxInWindow = maxWithin(arrivals, limit.Window)
	for _, at := range arrivals {
		if at >= limit.Window {
			r.afterFirst++
		}
	}
	return r
}

// Guards against many gateways together exceeding a server's rate limit, and against the server
// being idle while requests wait.
func TestRateLimitIsKeptAndUsedByAnyNumberOfGateways(t *testing.T) {
	for _, rate := range []float64{0, 0.2, 2.8, 3.9, 40, 120, 400} {
		for _, n := range []int{1, 6, 23, 103, 330} {
			for seed := range uint64(3) {
				r := rateLimitSim{gateways: n, rate: rate, seed: seed}.run()
				require.LessOrEqual(t, float64(r.maxInWindow), FromRateLimit(rate).MaxInWindow, "%d gateways, %v per second", n, rate)
				allowed := max(rate, minRateLimit) * afterFirst.Seconds()
				require.LessOrEqual(t, float64(r.afterFirst), 1.05*allowed+1, "%d gateways, %v per second: average rate", n, rate)
				require.GreaterOrEqual(t, float64(r.afterFirst), 0.8*allowed-1, "%d gateways, %v per second: requests wait", n, rate)
			}
		}
	}
}

// Guards against a server's rate limit being exceeded by gateways that restart or don't know of
// each other.
func TestRateLimitIsKeptByGatewaysThatDisagree(t *testing.T) {
	for _, rate := range []float64{0, 0.2, 2.8, 3.9, 40, 120, 400} {
		for _, n := range []int{6, 23, 103, 330} {
			for seed := range uint64(3) {
				r := rateLimitSim{gateways: n, rate: rate, seed: seed, restarting: 0.2, unknownPeers: n / 4}.run()
				require.LessOrEqual(t, float64(r.maxInWindow), FromRateLimit(rate).MaxInWindow, "%d gateways, %v per second", n, rate)
			}
		}
	}
}
