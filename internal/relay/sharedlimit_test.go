package relay

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	logtest "github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/require"

	"kingcupplank.example/kingcup/backends"
	"kingcupplank.example/kingcup/concurrency"
)

const (
	// sharedAnswerTime is the time of an answer of the server that many gateways share. With six
	// slots it answers 200 requests per second.
	sharedAnswerTime = 30 * time.Millisecond
	// peerDemand is the demand of each of the 21 peers, in requests per second. With it and as much
	// demand here, all gateways ask for 1.5 times the capacity.
	peerDemand = 300.0 / 22
)

// newSharedFixture returns a fixture with one plain server that 22 gateways share.
func newSharedFixture(t *testing.T, peerDemand float64) *fixture {
	f := newFixture(t, Config{})
	f.addServer("a", deskService)
	f.peers.count = 22
	f.peers.demand = concurrency.PeerDemand{Sum: 21 * peerDemand, Heard: 21}
	f.upstream.send = func(context.Context, *Attempt) (*Response, error) {
		time.Sleep(sharedAnswerTime)
		return newResponse(200, "ok"), nil
	}
	return f
}

// sharedResult is what the callers of one gateway got.
type sharedResult struct {
	mu              sync.Mutex
	served, refused int
	// longest is the longest time of an answer, longestRefusal that of a refusal.
	longest, longestRefusal time.Duration
	retryAfter              []time.Duration
}

// play sends requests at random times with a mean rate.
func (f *fixture) play(path string, perSecond float64, duration time.Duration) *sharedResult {
	rng := rand.New(rand.NewPCG(5, 5))
	result := &sharedResult{}
	var wg sync.WaitGroup
	for start := time.Now(); time.Since(start) < duration; {
		time.Sleep(time.Duration(rng.ExpFloat64() / perSecond * float64(time.Second)))
		wg.Go(func() {
			start := time.Now()
			c := f.serve(request(path))
			result.mu.Lock()
			defer result.mu.Unlock()
			if c.refusal == nil {
				result.served++
				result.longest = max(result.longest, time.Since(start))
				return
			}
			result.refused++
			result.longestRefusal = max(result.longestRefusal, time.Since(start))
			result.retryAfter = append(result.retryAfter, c.refusal.RetryAfter)
		})
	}
	wg.Wait()
	return result
}

// Guards against a gateway sending more than its share to a server that has fewer slots than there
// are gateways, and against requests being refused late or told to retry later than callers do.
func TestGatewayAdmitsItsShareOfASmallServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const duration = 20 * time.Second
		f := newSharedFixture(t, peerDemand)
		result := f.play("/once/x", peerDemand, duration)
		admitted := float64(result.served) / duration.Seconds()
		t.Logf("admitted %.1f/s of %.1f/s, longest answer %v", admitted, peerDemand, result.longest)
		require.InDelta(t, 200.0/22, admitted, 0.2*200/22)
		require.LessOrEqual(t, result.longest, 150*time.Millisecond)
		require.LessOrEqual(t, result.longestRefusal, 20*time.Millisecond, "an eighth of the latency target")
		for _, d := range result.retryAfter {
			require.Positive(t, d)
			require.LessOrEqual(t, d, time.Second/concurrency.HonoredDivisor)
		}
		require.InDelta(t, peerDemand, f.peers.reportedDemand, peerDemand, "told to the peers")
	})
}

// Guards against the shared limit delaying or refusing requests below the capacity.
func TestSharedLimitDoesNotBindBelowTheCapacity(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newSharedFixture(t, peerDemand/2)
		result := f.play("/once/x", peerDemand/2, 20*time.Second)
		require.Zero(t, result.refused)
		require.Equal(t, sharedAnswerTime, result.longest)
	})
}

// Guards against the shared limit binding where the servers have a slot for each gateway, or where
// the number of gateways is not known.
func TestSharedLimitNeedsFewerSlotsThanGateways(t *testing.T) {
	for _, gateways := range []int{0, 1, 6} {
		synctest.Test(t, func(t *testing.T) {
			f := newSharedFixture(t, peerDemand)
			f.peers.count = gateways
			result := f.play("/once/x", peerDemand, 5*time.Second)
			require.Zero(t, result.refused)
			require.Equal(t, sharedAnswerTime, result.longest)
		})
	}
}

// Guards against the shared limit raising what a server's own rate limit allows.
func TestServersOwnRateLimitTakesPrecedence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const duration = 20 * time.Second
		f := newSharedFixture(t, peerDemand)
		s := backends.Server{ID: "a"}
		f.relay.HandleSignals(s, backends.Signals{HasRateLimit: true, RateLimit: 4}, 0)
		result := f.play("/once/x", peerDemand, duration)
		require.LessOrEqual(t, float64(result.served), 1.05*4*duration.Seconds()+1)
	})
}

// Guards against callers that return while there is still no server: they retry only once.
func TestRetryAfterWithoutServerIsAsLongAsCallersHonor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, Config{})
		honored := time.Second / concurrency.HonoredDivisor
		shortest, longest := honored, time.Duration(0)
		for range 50 {
			c := f.serve(request("/once/x"))
			require.Equal(t, ReasonNoServer, c.refusal.Reason)
			shortest, longest = min(shortest, c.refusal.RetryAfter), max(longest, c.refusal.RetryAfter)
		}
		require.GreaterOrEqual(t, shortest, honored*2/3)
		require.LessOrEqual(t, longest, honored)
		require.Greater(t, longest-shortest, honored/6, "spread")
	})
}

// limitRecorder records what a shared limit reports.
type limitRecorder struct {
	mu       sync.Mutex
	last     concurrency.Status
	decided  map[string]int
	bindings int
}

func (l *limitRecorder) LimitUpdated(_ string, s concurrency.Status) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s.Limited && !l.last.Limited {
		l.bindings++
	}
	l.last = s
}

func (l *limitRecorder) LimitDecided(_, result string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.decided[result]++
}

// Guards against a limit whose begin and end cannot be seen, or that fills the log when it binds and
// ceases to bind many times.
func TestSharedLimitIsReportedWithoutFillingTheLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const times = 10
		f := newSharedFixture(t, peerDemand)
		log, hook := logtest.NewNullLogger()
		recorder := &limitRecorder{decided: make(map[string]int)}
		f.relay.Log, f.relay.Limits = log, recorder
		result := &sharedResult{}
		for range times {
			f.peers.setDemand(concurrency.PeerDemand{Sum: 21 * peerDemand, Heard: 21})
			r := f.play("/once/x", peerDemand, time.Second)
			result.served, result.refused = result.served+r.served, result.refused+r.refused
			f.peers.setDemand(concurrency.PeerDemand{Heard: 21})
			f.play("/once/x", peerDemand, time.Second)
		}
		require.GreaterOrEqual(t, recorder.bindings, times-1)
		require.Equal(t, result.refused, recorder.decided[LimitRefused])
		require.Positive(t, recorder.decided[LimitAdmitted])
		require.InDelta(t, 200, recorder.last.Capacity, 5)
		require.Equal(t, 6, recorder.last.Slots)
		lines := map[string]int{}
		for _, e := range hook.AllEntries() {
			lines[e.Message]++
		}
		begun := lines["demand exceeds the capacity of the servers, shared limit binds"]
		require.Positive(t, begun)
		require.LessOrEqual(t, begun, int(2*times*time.Second/limitLogInterval)+1)
		require.Equal(t, begun, lines["shared limit no longer binds"])
	})
}

// Guards against second attempts of slow requests being sent beyond the gateway's share.
func TestSecondAttemptsCountAgainstTheShare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const duration = 10 * time.Second
		f := newSharedFixture(t, 1.5*peerDemand)
		f.addServer("b", deskService)
		f.upstream.send = func(_ context.Context, a *Attempt) (*Response, error) {
			time.Sleep(3 * sharedAnswerTime)
			return newResponse(200, "ok"), nil
		}
		f.play("/safe/x", 1.5*peerDemand, duration)
		sent := float64(len(f.upstream.sent)) / duration.Seconds()
		require.LessOrEqual(t, sent, 1.4*12/(3*sharedAnswerTime).Seconds()/22)
	})
}
