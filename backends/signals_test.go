package backends

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"kingcupplank.example/kingcup/pacing"
)

func newRegistryWithServer() (*Registry, Server) {
	r := New("z0", func(string) ServiceTraits { return ServiceTraits{} }, func(Server, LeaveReason) {})
	s := Server{ID: "s", Service: svc, StartTime: 1, Slots: 6}
	r.Put(s, 0)
	return r, s
}

// Guards against a rate limit being removed because of a response that the server made before
// it set the limit and that arrives later.
func TestOvertakenResponseRemovesNoRateLimit(t *testing.T) {
	r, s := newRegistryWithServer()
	require.True(t, r.ApplySignals(s, Signals{HasRateLimit: true, RateLimit: 3}, 1*time.Second, 2*time.Second).RateLimitSet)
	require.Equal(t, SignalChanges{}, r.ApplySignals(s, Signals{HasRateLimit: true, RateLimit: 2}, 1*time.Second, 3*time.Second), "set before")
	for _, sent := range []time.Duration{0, time.Second, 3 * time.Second} {
		require.Equal(t, SignalChanges{}, r.ApplySignals(s, Signals{}, sent, 4*time.Second), "sent at %v", sent)
		require.Equal(t, 1, r.CountRateLimited())
	}
	require.Equal(t, SignalChanges{RateLimitRemoved: true}, r.ApplySignals(s, Signals{}, 3100*time.Millisecond, 4*time.Second))
	require.Zero(t, r.CountRateLimited())
}

// Guards against a rate limit staying in force after the incarnation of the server that set it.
func TestNewIncarnationHasNoRateLimit(t *testing.T) {
	r, s := newRegistryWithServer()
	r.ApplySignals(s, Signals{HasRateLimit: true, RateLimit: 3}, 0, time.Second)
	restarted := s
	restarted.StartTime = 2
	r.Put(restarted, 2*time.Second)
	require.Zero(t, r.CountRateLimited())
	require.Equal(t, SignalChanges{}, r.ApplySignals(s, Signals{HasRateLimit: true}, 0, 3*time.Second), "a response of the earlier incarnation")
	require.Zero(t, r.CountRateLimited())
}

// Guards against each response with invalid headers being reported anew, and against such a
// response removing a rate limit.
func TestInvalidSignalsAreReportedOncePerIncarnation(t *testing.T) {
	r, s := newRegistryWithServer()
	r.ApplySignals(s, Signals{HasRateLimit: true, RateLimit: 3}, 0, time.Second)
	invalid := Signals{RateLimitInvalid: true, InvalidHeaders: []string{"a header"}}
	require.Equal(t, SignalChanges{FirstInvalid: true}, r.ApplySignals(s, invalid, 2*time.Second, 3*time.Second))
	require.Equal(t, SignalChanges{}, r.ApplySignals(s, invalid, 4*time.Second, 5*time.Second))
	require.Equal(t, 1, r.CountRateLimited())
	other := Signals{InvalidHeaders: []string{"another header"}}
	require.Equal(t, SignalChanges{RateLimitRemoved: true}, r.ApplySignals(s, other, 6*time.Second, 7*time.Second), "it has no rate limit")
}

// Guards against gateways disagreeing forever on a rate limit because they receive reports of it
// in different orders, twice, or not at all from some peers.
func TestGatewaysAgreeOnTheNewestStateOfARateLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const gateways = 4
		var regs []*Registry
		var s Server
		for range gateways {
			r, server := newRegistryWithServer()
			regs, s = append(regs, r), server
		}
		now := 10 * time.Second
		report := func(from, to int) {
			regs[to].SetRemoteStatuses(fmt.Sprint("vm-", from), regs[from].Statuses(now), now+time.Millisecond)
		}
		var newest Signals
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(20, 400).Draw(t, "passes")) * time.Millisecond
			i := rapid.IntRange(0, gateways-1).Draw(t, "gateway")
			switch rapid.IntRange(0, 2).Draw(t, "step") {
			case 0:
				newest = Signals{HasRateLimit: true, RateLimit: float64(rapid.IntRange(0, 1).Draw(t, "limit"))}
				regs[i].ApplySignals(s, newest, now, now)
			case 1:
				newest = Signals{}
				regs[i].ApplySignals(s, newest, now, now)
			case 2:
				report(i, rapid.IntRange(0, gateways-1).Draw(t, "to"))
			}
		}
		for range gateways {
			for from := range regs {
				for to := range regs {
					if from != to {
						report(from, to)
					}
				}
			}
		}
		for i, r := range regs {
			require.Equal(t, newest.HasRateLimit, r.CountRateLimited() == 1, "gateway %d", i)
		}
	})
}

// Guards against invalid reports of peers changing a rate limit.
func TestInvalidReportsOfPeersChangeNoRateLimit(t *testing.T) {
	r, s := newRegistryWithServer()
	for _, l := range []RateLimitReport{
		{Limited: true, PerSecond: 3}, {Known: true, Limited: true, PerSecond: -1}, {Known: true, Limited: true, PerSecond: math.NaN()},
		{Known: true, Limited: true, PerSecond: math.Inf(1)}, {Known: true, Limited: true, PerSecond: 3, Age: -time.Second},
	} {
		require.Empty(t, r.SetRemoteStatuses("vm-2", map[string]ServerStatus{s.ID: {RateLimit: l, StartTime: s.StartTime}}, time.Minute))
		require.Empty(t, r.SetRemoteStatuses("vm-2", map[string]ServerStatus{s.ID: {RateLimit: RateLimitReport{Known: true, Limited: true}, StartTime: s.StartTime + 1}}, time.Minute), "another incarnation")
		require.Zero(t, r.CountRateLimited())
	}
	require.Len(t, r.SetRemoteStatuses("vm-2", map[string]ServerStatus{s.ID: {RateLimit: RateLimitReport{Known: true, Limited: true, PerSecond: 3}, StartTime: s.StartTime}}, time.Minute), 1)
	require.Equal(t, 1, r.CountRateLimited())
}

// maxInWindow returns the maximum number of times that lie within any window.
func maxInWindow(times []time.Duration, window time.Duration) (maxCount int) {
	slices.Sort(times)
	for first, i := 0, 0; i < len(times); i++ {
		for times[i]-times[first] >= window {
			first++
		}
		maxCount = max(maxCount, i-first+1)
	}
	return maxCount
}

// Guards against many gateways together exceeding a server's rate limit, most of which know it
// only from peers, also while the server is cold. Guards against the server being idle too.
func TestRateLimitedServerGetsItsRateFromAllGateways(t *testing.T) {
	const from, to, rate = time.Second, 21 * time.Second, 2.8
	for _, coldFor := range []time.Duration{0, time.Minute} {
		for _, gateways := range []int{1, 4, 23, 103} {
			c := newGatewayGroup(gateways)
			s := coldServer(0, "z0", coldFor)
			c.put(0, s)
			c.regs[0].ApplySignals(s, Signals{HasRateLimit: true, RateLimit: rate}, 0, 500*time.Millisecond)
			for i, r := range c.regs[1:] {
				r.SetRemoteStatuses("vm-0", c.regs[i].Statuses(600*time.Millisecond), 600*time.Millisecond)
			}
			c.sendAll(from, to)
			received := c.received[s.ID]
			require.LessOrEqual(t, float64(maxInWindow(received, 4*time.Second)), 1.5*rate*4+5, "%d gateways, cold for %v", gateways, coldFor)
			require.LessOrEqual(t, maxPerSecond(received, from, to), int(coldMaxPerSecond), "%d gateways, cold for %v", gateways, coldFor)
			require.InDelta(t, rate*(to-from).Seconds(), len(received), 0.2*rate*(to-from).Seconds()+float64(min(gateways, 4)), "%d gateways, cold for %v", gateways, coldFor)
		}
	}
}

// Guards against a rate-limited server getting copies of runs: a run that is resumed from its
// copy can't wait.
func TestRateLimitedServerGetsNoCopies(t *testing.T) {
	r, s := newRegistryWithServer()
	q := Query{Service: svc, ForCopy: true}
	reservation := r.Acquire(q, time.Second)
	require.NotNil(t, reservation)
	r.ApplySignals(s, Signals{HasRateLimit: true, RateLimit: 5}, 0, time.Second)
	require.Nil(t, r.Acquire(q, 2*time.Second))
	require.True(t, r.TryUseRate(reservation, pacing.SharedTime{}, 2*time.Second), "a copy made before")
	require.False(t, r.TryUseRate(reservation, pacing.SharedTime{}, 2*time.Second), "no second request at once")
}

// Guards against a server that reported that it is leaving being used again because its entry
// vanished in an outage and comes back as it was before. Guards against another incarnation being
// mistaken for that one.
func TestStaleEntryBringsBackNoLeavingServer(t *testing.T) {
	r, s := newRegistryWithServer()
	require.Equal(t, SignalChanges{Leaving: true}, r.ApplySignals(s, Signals{Leaving: true}, 0, time.Second))
	require.Equal(t, SignalChanges{}, r.ApplySignals(s, Signals{Leaving: true}, 0, time.Second), "reported once")
	r.Put(s, 2*time.Second)
	require.Zero(t, r.CountReady(svc))
	r.ReplaceAll(nil, 10*time.Second, 12*time.Second)
	r.Put(s, 13*time.Second)
	require.Zero(t, r.CountReady(svc))
	restarted := s
	restarted.StartTime = 2
	r.Put(restarted, 14*time.Second)
	require.Equal(t, 1, r.CountReady(svc))
	r.ApplySignals(s, Signals{Leaving: true}, 0, 15*time.Second)
	require.Equal(t, 1, r.CountReady(svc), "a response of the earlier incarnation")
}

// Guards against a server's own report that it is leaving not being forwarded to peers because the
// entry here says so already: the peers' entries may be stale.
func TestLeavingIsReportedToPeersThoughTheEntrySaysSo(t *testing.T) {
	r, s := newRegistryWithServer()
	s.Leaving = true
	r.Put(s, time.Second)
	require.Empty(t, r.Statuses(time.Second))
	r.ApplySignals(s, Signals{Leaving: true}, 0, time.Second)
	require.True(t, r.Statuses(time.Second)[s.ID].Leaving)
}

// Guards against a backoff being cut short by a later, shorter one or by the response to an
// earlier request, and against a backoff outliving the incarnation that asked for it.
func TestLongestBackoffCounts(t *testing.T) {
	r, s := newRegistryWithServer()
	require.Equal(t, SignalChanges{BackoffStarted: true}, r.ApplySignals(s, Signals{Backoff: 3 * time.Second}, 0, time.Second))
	require.Equal(t, SignalChanges{}, r.ApplySignals(s, Signals{Backoff: time.Second}, 0, 2*time.Second))
	require.Equal(t, SignalChanges{}, r.ApplySignals(s, Signals{}, 500*time.Millisecond, 3*time.Second), "a response to an earlier request")
	require.Nil(t, r.Acquire(Query{Service: svc}, 3900*time.Millisecond))
	require.Nil(t, r.Acquire(Query{Service: svc, ForCopy: true}, 3900*time.Millisecond))
	reservation := r.Acquire(Query{Service: svc}, 4*time.Second)
	require.NotNil(t, reservation)
	reservation.Release(ResultOK, 4*time.Second)
	r.ApplySignals(s, Signals{Backoff: MaxBackoff}, 0, 5*time.Second)
	restarted := s
	restarted.StartTime = 2
	r.Put(restarted, 6*time.Second)
	require.Zero(t, r.CountBackingOff(6*time.Second))
}

// Guards against each of many gateways needing a request of its own to detect that a server is
// backing off, and against all gateways avoiding a server that asked a single one to back off.
func TestServerThatBacksOffElsewhereIsRankedLast(t *testing.T) {
	r := New("z0", func(string) ServiceTraits { return ServiceTraits{} }, func(Server, LeaveReason) {})
	backingOff, other := Server{ID: "a", Service: svc, Slots: 6}, Server{ID: "b", Service: svc, Slots: 6}
	r.Put(backingOff, 0)
	r.Put(other, 0)
	countPicked := func() (n int) {
		for draw := range uint64(100) {
			reservation := r.Acquire(Query{Service: svc, Draw: draw}, time.Second)
			if reservation.Server.ID == "a" {
				n++
			}
			reservation.Release(ResultInconclusive, time.Second)
		}
		return n
	}
	r.SetRemoteStatuses("vm-2", map[string]ServerStatus{"a": {BackingOff: true}}, time.Second)
	require.Greater(t, countPicked(), 20, "one peer alone")
	r.SetRemoteStatuses("vm-3", map[string]ServerStatus{"a": {BackingOff: true}}, time.Second)
	require.Zero(t, countPicked())
	reservation := r.Acquire(Query{Service: svc, Tried: []string{"b"}}, time.Second)
	require.NotNil(t, reservation, "it asked only the others")
	reservation.Release(ResultInconclusive, time.Second)
	r.SetRemoteStatuses("vm-3", nil, time.Second)
	require.Greater(t, countPicked(), 20)
}

// Guards against a log line and a message to all gateways for each response of a server that
// sends a rate limit in every other one.
func TestRateLimitThatComesAndGoesIsAnnouncedRarely(t *testing.T) {
	r, s := newRegistryWithServer()
	announced := 0
	for now := time.Second; now < 3*time.Second; now += 10 * time.Millisecond {
		for _, signals := range []Signals{{HasRateLimit: true, RateLimit: 5}, {}} {
			changes := r.ApplySignals(s, signals, now+time.Millisecond, now)
			if changes.RateLimitSet || changes.RateLimitRemoved {
				announced++
			}
			require.Equal(t, signals.HasRateLimit, r.CountRateLimited() == 1, "the state follows each response")
		}
	}
	require.LessOrEqual(t, announced, 8, "twice in half a second")
}
