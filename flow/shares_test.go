package flow

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Usage that other gateways report counts like local usage, and all usage decays.
func TestLevelsFollowUsage(t *testing.T) {
	s := NewShares()
	require.Zero(t, s.Level("a", nil, 0))
	for _, team := range []string{"a", "b", "c", "d"} {
		s.Charge(team, 1000, 0)
	}
	require.Zero(t, s.Level("a", nil, 0))
	require.Equal(t, 1, s.Level("a", []Usage{{"a", 2000}}, 0))
	require.Equal(t, 2, s.Level("a", []Usage{{"a", 12000}}, 0))
	require.Zero(t, s.Level("b", []Usage{{"a", 12000}}, 0))
	require.Zero(t, s.Level("new", []Usage{{"a", 12000}}, 0))
	s.Charge("a", 12000, 0)
	require.Equal(t, 2, s.Level("a", nil, 0))
	s.Charge("b", 12000, 4*usageHalfLife)
	require.Zero(t, s.Level("a", nil, 4*usageHalfLife))
	require.Equal(t, []Usage{{"b", 12000 + 1000.0/16}}, s.Top(1, 4*usageHalfLife))
	s.decay(40 * usageHalfLife)
	require.Empty(t, s.amounts)
}

// team is a team of a simulated load: the interval between its requests, the number of
// requests, and the number of those that were on time.
type team struct {
	name             string
	interval         time.Duration
	requests, onTime int
}

// simulateSpike simulates twenty small teams and a large team whose load alone is as much
// as all engines can read, so that the total is nearly twice the capacity. It returns the
// share of requests that were on time, for the small teams and for the large one.
// With useLevels requests are ranked by the usage levels of their teams.
func simulateSpike(useLevels bool) (small, large float64) {
	const tick, duration, promptTokens, perSecond = 5 * time.Millisecond, 30 * time.Second, 2800, 28000
	teams := []*team{{name: "large", interval: 100 * time.Millisecond}}
	for i := range 20 {
		teams = append(teams, &team{name: fmt.Sprint("small-", i), interval: 2500 * time.Millisecond})
	}
	q, usage := NewQueue(perSecond), NewShares()
	owner := make(map[*Waiter]*team)
	idleAt := time.Duration(0)
	for now := time.Duration(0); now < duration; now += tick {
		for i, t := range teams {
			if (now+time.Duration(i)*90*time.Millisecond)%t.interval >= tick {
				continue
			}
			w := &Waiter{Priority: 1, PromptTokens: promptTokens, Arrived: now, OnTimeDeadline: now + seconds(1.3), DispatchDeadline: now + seconds(6)}
			if useLevels {
				w.Level = usage.Level(t.name, nil, now)
			}
			t.requests++
			if !q.ShouldReject(w, now) {
				q.Add(w)
				owner[w] = t
			}
		}
		for idleAt <= now {
			w := q.Next(now)
			if w == nil {
				break
			}
			q.Remove(w, true, now)
			idleAt = max(idleAt, now) + seconds(float64(promptTokens)/perSecond)
			usage.Charge(owner[w].name, promptTokens, now)
			if now <= w.OnTimeDeadline {
				owner[w].onTime++
			}
		}
	}
	var requests, onTime int
	for _, t := range teams[1:] {
		requests, onTime = requests+t.requests, onTime+t.onTime
	}
	return float64(onTime) / float64(requests), float64(teams[0].onTime) / float64(teams[0].requests)
}

// The load of a large team rises to the capacity of all engines, while twenty small teams
// need four fifths of it. Without usage levels requests of all teams are late alike. With
// them the small teams are on time, and the large one gets the remaining capacity.
func TestLargeTeamDoesNotDelaySmallTeams(t *testing.T) {
	small, large := simulateSpike(false)
	require.Less(t, small, 0.75)
	smallWithLevels, largeWithLevels := simulateSpike(true)
	require.Greater(t, smallWithLevels, 0.95)
	require.Greater(t, largeWithLevels, 0.02)
	t.Logf("on time without usage levels: small %.2f large %.2f, with: %.2f %.2f", small, large, smallWithLevels, largeWithLevels)
}
