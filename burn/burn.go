// Package burn computes the burn rates of the error budgets of teams' service level
// objectives. It does no I/O and reads no clock. A Tracker must not be used by several
// goroutines at the same time.
package burn

import (
	"maps"
	"slices"
	"time"
)

// Objective is the name of a service level objective.
type Objective string

// The objectives.
const (
	FirstToken    Objective = "first_token"
	BetweenTokens Objective = "between_tokens"
	StallTime     Objective = "stall_time"
	LostAnswers   Objective = "lost_answers"
)

// Windows are the time windows of a report.
var Windows = [...]time.Duration{time.Hour, 6 * time.Hour, 72 * time.Hour}

// slotsPerWindow is the number of slots into which a window is divided. A window slides by
// one slot at a time, so a report covers up to a twelfth less than the length of the
// window.
const slotsPerWindow = 12

type counts struct{ good, bad uint64 }

// ring counts events over one sliding window. current is the number of its newest slot,
// counted from time 0.
type ring struct {
	slots   [slotsPerWindow]counts
	current int64
}

// slotAt returns the slot for now and empties the slots that have left the window.
func (r *ring) slotAt(now, window time.Duration) *counts {
	n := int64(now / (window / slotsPerWindow))
	for k := max(r.current+1, n-slotsPerWindow+1); k <= n; k++ {
		r.slots[k%slotsPerWindow] = counts{}
	}
	r.current = max(r.current, n)
	return &r.slots[r.current%slotsPerWindow]
}

func (r *ring) sum(now, window time.Duration) counts {
	r.slotAt(now, window)
	var total counts
	for _, c := range r.slots {
		total.good += c.good
		total.bad += c.bad
	}
	return total
}

// series contains one ring for each window.
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

// DefaultTarget is the target share of good events of a team without a target of its own.
const DefaultTarget = 0.95

// NewTracker returns an empty tracker.
func NewTracker() *Tracker {
	return &Tracker{series: make(map[key]*series), targets: make(map[string]float64)}
}

// SetTarget sets the target share of good events of a team.
func (t *Tracker) SetTarget(team string, target float64) {
	t.targets[team] = target
}

// Count records one event of a team at now.
func (t *Tracker) Count(now time.Duration, team string, o Objective, good bool) {
	k := key{team, o}
	s := t.series[k]
	if s == nil {
		s = &series{}
		t.series[k] = s
	}
	for i, w := range Windows {
		c := s[i].slotAt(now, w)
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
	// BurnRate is the share of bad events divided by the allowed share. At 1 the budget
	// lasts exactly for the window.
	BurnRate float64 `json:"burn_rate"`
	// BudgetLeft is the remaining share of the window's budget. It is negative if the
	// budget is overspent.
	BudgetLeft float64 `json:"budget_left"`
}

// Report returns one line for each team, objective and window, in this order.
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
