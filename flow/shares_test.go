package flow

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Usage that others tell of counts like the own; it fades.
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
	s.fade(40 * usageHalfLife)
	require.Empty(t, s.amounts)
}

// team is one of a load: requests a second, and what became of them.
type team struct {
	name          string
	every         time.Duration
	asked, onTime int
}

// surge plays twenty small teams and a large one that asks for as much as all engines
// can read, so that everything together is twice what can be served. It returns the
// share on time of the small ones and of the large one.
func surge(fair bool) (small, large float64) {
	const tick, lasts, read, perSecond = 5 * time.Millisecond, 30 * time.Second, 2800, 28000
	teams := []*team{{name: "large", every: 100 * time.Millisecond}}
	for i := range 20 {
		teams = append(teams, &team{name: fmt.Sprint("small-", i), every: 2500 * time.Millisecond})
	}
	q, shares := NewQueue(perSecond), NewShares()
	owner := make(map[*Waiter]*team)
	free := time.Duration(0)
	for now := time.Duration(0); now < lasts; now += tick {
		for i, t := range teams {
			if (now+time.Duration(i)*90*time.Millisecond)%t.every >= tick {
				continue
			}
			w := &Waiter{Priority: 1, PromptTokens: read, Arrived: now, OnTimeDeadline: now + seconds(1.3), DispatchDeadline: now + seconds(6)}
			if fair {
				w.Level = shares.Level(t.name, nil, now)
			}
			t.asked++
			if !q.ShouldReject(w, now) {
				q.Add(w)
				owner[w] = t
			}
		}
		for free <= now {
			w := q.Next(now)
			if w == nil {
				break
			}
			q.Remove(w, true, now)
			free = max(free, now) + seconds(float64(read)/perSecond)
			shares.Charge(owner[w].name, read, now)
			if now <= w.OnTimeDeadline {
				owner[w].onTime++
			}
		}
	}
	var asked, onTime int
	for _, t := range teams[1:] {
		asked, onTime = asked+t.asked, onTime+t.onTime
	}
	return float64(onTime) / float64(asked), float64(teams[0].onTime) / float64(teams[0].asked)
}

// A large team surges to as much as all engines can do, twenty small ones ask for
// four fifths of it. Without shares all are late alike; with them the small teams do not
// notice the surge, and the large one gets what is left.
func TestSmallTeamsDoNotNoticeALargeOne(t *testing.T) {
	small, large := surge(false)
	require.Less(t, small, 0.75)
	smallFair, largeFair := surge(true)
	require.Greater(t, smallFair, 0.95)
	require.Greater(t, largeFair, 0.02)
	t.Logf("on time without shares: small %.2f large %.2f, with: %.2f %.2f", small, large, smallFair, largeFair)
}
