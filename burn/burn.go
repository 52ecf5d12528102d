// Package burn computes how fast teams use up the error budgets of their
// service levels. It is pure; a Tracker is for one goroutine at a time.
package burn

import (
	"maps"
	"slices"
	"time"
)

// Objective names what is promised.
type Objective string

// The objectives.
const (
	FirstToken    Objective = "first_token"
	BetweenTokens Objective = "between_tokens"
	StallTime     Objective = "stall_time"
	LostAnswers   Objective = "lost_answers"
)

// Windows are the spans that a report covers.
var Windows = [...]time.Duration{time.Hour, 6 * time.Hour, 72 * time.Hour}

// slotsPerWindow is the resolution of a window. A window slides by one slot, so
// a report covers up to a twelfth less than its name says.
const slotsPerWindow = 12

type counts struct{ good, bad uint64 }

// ring counts events over one window.
type ring struct {
	slots [slotsPerWindow]counts
	last  int64
}

// at is the slot for now; slots that were passed are emptied.
func (r *ring) at(now, window time.Duration) *counts {
	n := int64(now / (window / slotsPerWindow))
	for k := max(r.last+1, n-slotsPerWindow+1); k <= n; k++ {
		r.slots[k%slotsPerWindow] = counts{}
	}
	r.last = max(r.last, n)
	return &r.slots[r.last%slotsPerWindow]
}

func (r *ring) sum(now, window time.Duration) counts {
	r.at(now, window)
	var total counts
	for _, c := range r.slots {
		total.good += c.good
		total.bad += c.bad
	}
	return total
}

// series counts one kind of event over every window.
type series [len(Windows)]ring

type key struct {
	team      string
	objective Objective
}

// Tracker counts good and bad events by team and objective.
type Tracker struct {
	series  map[key]*series
	targets map[string]float64
}

// DefaultTarget is the share of good events promised where a team has none.
const DefaultTarget = 0.95

// NewTracker returns an empty tracker.
func NewTracker() *Tracker {
	return &Tracker{series: make(map[key]*series), targets: make(map[string]float64)}
}

// SetTarget sets the share of good events that a team is promised.
func (t *Tracker) SetTarget(team string, target float64) {
	t.targets[team] = target
}

// Count records events of a team at now.
func (t *Tracker) Count(now time.Duration, team string, o Objective, good bool) {
	k := key{team, o}
	s := t.series[k]
	if s == nil {
		s = &series{}
		t.series[k] = s
	}
	for i, w := range Windows {
		c := s[i].at(now, w)
		if good {
			c.good++
		} else {
			c.bad++
		}
	}
}

// Line is one row of a report.
type Line struct {
	Team      string    `json:"team"`
	Objective Objective `json:"objective"`
	Window    string    `json:"window"`
	Events    uint64    `json:"events"`
	Bad       uint64    `json:"bad"`
	// BurnRate is the share of bad events over the share that is allowed; at 1
	// the budget lasts exactly the window.
	BurnRate float64 `json:"burn_rate"`
	// BudgetLeft is the part of the window's budget that is left; it is
	// negative once the budget is overspent.
	BudgetLeft float64 `json:"budget_left"`
}

// Report lists every team, objective and window, sorted.
func (t *Tracker) Report(now time.Duration) []Line {
	keys := slices.SortedFunc(maps.Keys(t.series), func(a, b key) int {
		if a.team != b.team {
			return compare(a.team, b.team)
		}
		return compare(string(a.objective), string(b.objective))
	})
	var out []Line
	for _, k := range keys {
		for i, w := range Windows {
			out = append(out, t.line(k, w, t.series[k][i].sum(now, w)))
		}
	}
	return out
}

func compare(a, b string) int {
	if a < b {
		return -1
	}
	if a > b {
		return 1
	}
	return 0
}

func (t *Tracker) line(k key, window time.Duration, c counts) Line {
	l := Line{Team: k.team, Objective: k.objective, Window: window.String(), Events: c.good + c.bad, Bad: c.bad, BudgetLeft: 1}
	if l.Events == 0 {
		return l
	}
	target, ok := t.targets[k.team]
	if !ok {
		target = DefaultTarget
	}
	l.BurnRate = float64(c.bad) / float64(l.Events) / (1 - target)
	l.BudgetLeft = 1 - l.BurnRate
	return l
}
