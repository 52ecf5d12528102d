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

func limitedRegistry() (*Registry, Server) {
	r := New("z0", func(string) ServiceTraits { return ServiceTraits{} }, func(Server, LeaveReason) {})
	s := Server{ID: "s", Service: svc, StartTime: 1, Slots: 6}
	r.Put(s, 0)
	return r, s
}

// Guards against a limit being forgotten for an answer that was made before the server named it
// and arrives after.
func TestAnswerThatWasOvertakenLiftsNoLimit(t *testing.T) {
	r, s := limitedRegistry()
	require.True(t, r.ApplySignals(s, Signals{HasRateLimit: true, RateLimit: 3}, 1*time.Second, 2*time.Second).RateLimitSet)
	require.Equal(t, News{}, r.ApplySignals(s, Signals{HasRateLimit: true, RateLimit: 2}, 1*time.Second, 3*time.Second), "named before")
	for _, begun := range []time.Duration{0, time.Second, 3 * time.Second} {
		require.Equal(t, News{}, r.ApplySignals(s, Signals{}, begun, 4*time.Second), "asked at %v", begun)
		require.Equal(t, 1, r.CountRateLimited())
	}
	require.Equal(t, News{RateLimitRemoved: true}, r.ApplySignals(s, Signals{}, 3100*time.Millisecond, 4*time.Second))
	require.Zero(t, r.CountRateLimited())
}

// Guards against a limit that outlives the server that named it.
func TestNewLifeKnowsNoLimit(t *testing.T) {
	r, s := limitedRegistry()
	r.ApplySignals(s, Signals{HasRateLimit: true, RateLimit: 3}, 0, time.Second)
	again := s
	again.StartTime = 2
	r.Put(again, 2*time.Second)
	require.Zero(t, r.CountRateLimited())
	require.Equal(t, News{}, r.ApplySignals(s, Signals{HasRateLimit: true}, 0, 3*time.Second), "an answer of the life before")
	require.Zero(t, r.CountRateLimited())
}

// Guards against a line for each answer of a server whose headers mean nothing, and against
// such an answer lifting a limit.
func TestUnreadableAdviceIsToldOnceALife(t *testing.T) {
	r, s := limitedRegistry()
	r.ApplySignals(s, Signals{HasRateLimit: true, RateLimit: 3}, 0, time.Second)
	spoilt := Signals{RateLimitInvalid: true, InvalidHeaders: []string{"a header"}}
	require.Equal(t, News{FirstInvalid: true}, r.ApplySignals(s, spoilt, 2*time.Second, 3*time.Second))
	require.Equal(t, News{}, r.ApplySignals(s, spoilt, 4*time.Second, 5*time.Second))
	require.Equal(t, 1, r.CountRateLimited())
	other := Signals{InvalidHeaders: []string{"another header"}}
	require.Equal(t, News{RateLimitRemoved: true}, r.ApplySignals(s, other, 6*time.Second, 7*time.Second), "it names no limit")
}

// Guards against gateways that disagree for ever on a limit because they hear of it in another
// order, twice, or not at all from some.
func TestGatewaysAgreeOnTheNewestThatAnyKnowsOfALimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const gateways = 4
		var regs []*Registry
		var s Server
		for range gateways {
			r, server := limitedRegistry()
			regs, s = append(regs, r), server
		}
		now := 10 * time.Second
		tell := func(from, to int) {
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
				tell(i, rapid.IntRange(0, gateways-1).Draw(t, "to"))
			}
		}
		for range gateways {
			for from := range regs {
				for to := range regs {
					if from != to {
						tell(from, to)
					}
				}
			}
		}
		for i, r := range regs {
			require.Equal(t, newest.HasRateLimit, r.CountRateLimited() == 1, "gateway %d", i)
		}
	})
}

// Guards against what a peer tells that cannot be meant being taken over.
func TestSpoiltWordsOfPeersChangeNoLimit(t *testing.T) {
	r, s := limitedRegistry()
	for _, l := range []RateLimitReport{
		{Limited: true, PerSecond: 3}, {Known: true, Limited: true, PerSecond: -1}, {Known: true, Limited: true, PerSecond: math.NaN()},
		{Known: true, Limited: true, PerSecond: math.Inf(1)}, {Known: true, Limited: true, PerSecond: 3, Age: -time.Second},
	} {
		require.Empty(t, r.SetRemoteStatuses("vm-2", map[string]ServerStatus{s.ID: {RateLimit: l, StartTime: s.StartTime}}, time.Minute))
		require.Empty(t, r.SetRemoteStatuses("vm-2", map[string]ServerStatus{s.ID: {RateLimit: RateLimitReport{Known: true, Limited: true}, StartTime: s.StartTime + 1}}, time.Minute), "another life")
		require.Zero(t, r.CountRateLimited())
	}
	require.Len(t, r.SetRemoteStatuses("vm-2", map[string]ServerStatus{s.ID: {RateLimit: RateLimitReport{Known: true, Limited: true, PerSecond: 3}, StartTime: s.StartTime}}, time.Minute), 1)
	require.Equal(t, 1, r.CountRateLimited())
}

// mostInWindow is the most of some times within any span.
func mostInWindow(times []time.Duration, window time.Duration) (most int) {
	slices.Sort(times)
	for first, i := 0, 0; i < len(times); i++ {
		for times[i]-times[first] >= window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// Guards against a server that names a limit getting more than that from gateways most of which
// know of it from others only, also while it is cold, and against its standing idle.
func TestLimitedServerGetsItsLimitFromAllGateways(t *testing.T) {
	const from, to, named = time.Second, 21 * time.Second, 2.8
	for _, cold := range []time.Duration{0, time.Minute} {
		for _, gateways := range []int{1, 4, 23, 103} {
			c := newCrowd(gateways)
			s := coldServer(0, "z0", cold)
			c.put(0, s)
			c.regs[0].ApplySignals(s, Signals{HasRateLimit: true, RateLimit: named}, 0, 500*time.Millisecond)
			for i, r := range c.regs[1:] {
				r.SetRemoteStatuses("vm-0", c.regs[i].Statuses(600*time.Millisecond), 600*time.Millisecond)
			}
			c.ask(from, to)
			got := c.got[s.ID]
			require.LessOrEqual(t, float64(mostInWindow(got, 4*time.Second)), 1.5*named*4+5, "%d gateways, cold for %v", gateways, cold)
			require.LessOrEqual(t, most(got, from, to), int(coldMost), "%d gateways, cold for %v", gateways, cold)
			require.InDelta(t, named*(to-from).Seconds(), len(got), 0.2*named*(to-from).Seconds()+float64(min(gateways, 4)), "%d gateways, cold for %v", gateways, cold)
		}
	}
}

// Guards against a server that names a limit being given runs' copies, which lead to requests
// that cannot wait.
func TestLimitedServerGetsNoCopies(t *testing.T) {
	r, s := limitedRegistry()
	q := Query{Service: svc, ForCopy: true}
	lease := r.Acquire(q, time.Second)
	require.NotNil(t, lease)
	r.ApplySignals(s, Signals{HasRateLimit: true, RateLimit: 5}, 0, time.Second)
	require.Nil(t, r.Acquire(q, 2*time.Second))
	require.True(t, r.TryUseRate(lease, pacing.SharedTime{}, 2*time.Second), "a copy of before")
	require.False(t, r.TryUseRate(lease, pacing.SharedTime{}, 2*time.Second), "and no second one at once")
}

// Guards against a server that said it is leaving being used again because its entry went in an
// outage and comes back as it was before, and against another life being taken for that one.
func TestLaggingEntryBringsBackNoLeavingServer(t *testing.T) {
	r, s := limitedRegistry()
	require.Equal(t, News{Leaving: true}, r.ApplySignals(s, Signals{Leaving: true}, 0, time.Second))
	require.Equal(t, News{}, r.ApplySignals(s, Signals{Leaving: true}, 0, time.Second), "once")
	r.Put(s, 2*time.Second)
	require.Zero(t, r.CountReady(svc))
	r.ReplaceAll(nil, 10*time.Second, 12*time.Second)
	r.Put(s, 13*time.Second)
	require.Zero(t, r.CountReady(svc))
	again := s
	again.StartTime = 2
	r.Put(again, 14*time.Second)
	require.Equal(t, 1, r.CountReady(svc))
	r.ApplySignals(s, Signals{Leaving: true}, 0, 15*time.Second)
	require.Equal(t, 1, r.CountReady(svc), "the word of the life before")
}

// Guards against others not being told of a server whose entry had said that it leaves: theirs
// may lag.
func TestOwnWordIsToldThoughTheEntryIsKnown(t *testing.T) {
	r, s := limitedRegistry()
	s.Leaving = true
	r.Put(s, time.Second)
	require.Empty(t, r.Statuses(time.Second))
	r.ApplySignals(s, Signals{Leaving: true}, 0, time.Second)
	require.True(t, r.Statuses(time.Second)[s.ID].Leaving)
}

// Guards against a rest that is cut short by a later, shorter one or by the answer to an earlier
// request, and against the rest of a life that is over.
func TestLongestRestCounts(t *testing.T) {
	r, s := limitedRegistry()
	require.Equal(t, News{BackoffStarted: true}, r.ApplySignals(s, Signals{Backoff: 3 * time.Second}, 0, time.Second))
	require.Equal(t, News{}, r.ApplySignals(s, Signals{Backoff: time.Second}, 0, 2*time.Second))
	require.Equal(t, News{}, r.ApplySignals(s, Signals{}, 500*time.Millisecond, 3*time.Second), "an answer to an earlier request")
	require.Nil(t, r.Acquire(Query{Service: svc}, 3900*time.Millisecond))
	require.Nil(t, r.Acquire(Query{Service: svc, ForCopy: true}, 3900*time.Millisecond))
	lease := r.Acquire(Query{Service: svc}, 4*time.Second)
	require.NotNil(t, lease)
	lease.Release(ResultOK, 4*time.Second)
	r.ApplySignals(s, Signals{Backoff: MaxBackoff}, 0, 5*time.Second)
	again := s
	again.StartTime = 2
	r.Put(again, 6*time.Second)
	require.Zero(t, r.CountBackingOff(6*time.Second))
}

// Guards against each of many gateways finding out by a request of its own that a server rests,
// and against a server being left by all that asks one gateway alone for rest.
func TestServerThatRestsForOthersIsAskedLast(t *testing.T) {
	r := New("z0", func(string) ServiceTraits { return ServiceTraits{} }, func(Server, LeaveReason) {})
	tired, other := Server{ID: "a", Service: svc, Slots: 6}, Server{ID: "b", Service: svc, Slots: 6}
	r.Put(tired, 0)
	r.Put(other, 0)
	picked := func() (n int) {
		for draw := range uint64(100) {
			lease := r.Acquire(Query{Service: svc, Draw: draw}, time.Second)
			if lease.Server.ID == "a" {
				n++
			}
			lease.Release(ResultInconclusive, time.Second)
		}
		return n
	}
	r.SetRemoteStatuses("vm-2", map[string]ServerStatus{"a": {BackingOff: true}}, time.Second)
	require.Greater(t, picked(), 20, "one alone")
	r.SetRemoteStatuses("vm-3", map[string]ServerStatus{"a": {BackingOff: true}}, time.Second)
	require.Zero(t, picked())
	lease := r.Acquire(Query{Service: svc, Tried: []string{"b"}}, time.Second)
	require.NotNil(t, lease, "it wants nothing of the others only")
	lease.Release(ResultInconclusive, time.Second)
	r.SetRemoteStatuses("vm-3", nil, time.Second)
	require.Greater(t, picked(), 20)
}

// Guards against a line and a message to all gateways for each answer of a server that names a
// limit in every other one.
func TestLimitThatComesAndGoesIsNoBurstOfNews(t *testing.T) {
	r, s := limitedRegistry()
	news := 0
	for now := time.Second; now < 3*time.Second; now += 10 * time.Millisecond {
		for _, a := range []Signals{{HasRateLimit: true, RateLimit: 5}, {}} {
			n := r.ApplySignals(s, a, now+time.Millisecond, now)
			if n.RateLimitSet || n.RateLimitRemoved {
				news++
			}
			require.Equal(t, a.HasRateLimit, r.CountRateLimited() == 1, "what is believed follows each answer")
		}
	}
	require.LessOrEqual(t, news, 8, "twice in half a second")
}
