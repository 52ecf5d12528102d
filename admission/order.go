package admission

import (
	"cmp"
	"time"

	"kingcupplank.example/kingcup/flow"
)

// Waiter is a queued generation. The embedded flow.Waiter orders it where the order of this
// package does not apply; its Level is that of all usage of its team.
type Waiter struct {
	flow.Waiter
	// Light marks a light generation. LightLevel is the level of its team's light usage.
	Light      bool
	LightLevel int
	// MemoryTokens is the expected memory in tokens.
	MemoryTokens int
	// EstimatedWait is the wait that was estimated on arrival.
	EstimatedWait time.Duration
	// memory is the memory of the service's engines on arrival, in tokens.
	memory int
}

const (
	// tierRanks is the number of ranks of a tier. It is the same as in package flow, so that ranks
	// of gateways on which the order of this package does not apply, or that don't know it yet,
	// compare by tier.
	tierRanks = flow.MaxLevel + 1
	// maxTier is the least urgent tier. Its ranks stay below flow.LateRank.
	maxTier = flow.LateRank/tierRanks - 1
)

// place is the place of a queued generation in the order. rank decides first and is what peers are
// told, then sub.
type place struct{ rank, sub int }

func (p place) compare(o place) int {
	return cmp.Or(cmp.Compare(p.rank, o.rank), cmp.Compare(p.sub, o.sub))
}

// The positions within a tier. Light generations that can be on time have those up to MaxLevel, by
// level, then come late light and aged ones, and others that can be on time from subOther on.
const (
	subLateLight = flow.MaxLevel + 1
	subOther     = subLateLight + 1
)

// rankWithin are the ranks within a tier by position. Two levels share a rank: beyond twice an equal
// share a team counts as large at other gateways. Late light generations and aged ones have the rank
// of on-time light ones of large teams.
var rankWithin = [subOther + flow.MaxLevel + 1]int{0, 0, 1, 1, 1, 2, 2, 3, 3}

// placeOf returns the place of a generation.
func placeOf(w *Waiter, now time.Duration) place {
	tier, level := max(0, min(maxTier, w.Priority)), boundLevel(w.Level)
	sub := subOther + level
	switch isLate := now > w.OnTimeDeadline; {
	case w.Light && !isLate:
		sub = boundLevel(w.LightLevel)
	case w.Light:
		sub = subLateLight
	case w.isAged(now):
		sub = subLateLight
	case isLate:
		return place{rank: flow.LateRank + tier*tierRanks + level}
	}
	return place{rank: tier*tierRanks + rankWithin[sub], sub: sub}
}

func boundLevel(level int) int { return max(0, min(flow.MaxLevel, level)) }

// agedShare is the part of the time that a generation can wait after which it is aged. What is left is
// longer than engines take to free memory for one more generation. Half of the time, as for requests
// that can't be late, moved late generations of large teams before those of small ones that were
// still on time.
const agedShare = 0.85

// isAged reports whether a generation has waited most of the time that it can wait. One that is not
// light is then ranked as late light ones are, before others whatever its team has used: it has been
// accepted and must be served.
func (w *Waiter) isAged(now time.Duration) bool {
	return now-w.Arrived > time.Duration(agedShare*float64(w.DispatchDeadline-w.Arrived))
}

// isBefore reports whether a is dispatched before b.
func isBefore(a, b *Waiter, now time.Duration) bool {
	p := placeOf(a, now)
	if c := p.compare(placeOf(b, now)); c != 0 {
		return c < 0
	}
	switch {
	case p.rank >= flow.LateRank:
		return a.Arrived < b.Arrived
	case p.sub == subLateLight:
		return a.DispatchDeadline < b.DispatchDeadline
	}
	return a.OnTimeDeadline < b.OnTimeDeadline
}
