package flow

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Usage is what a team has used of a service's engines of late, in token seconds of
// memory.
type Usage struct {
	Team   string
	Amount float64
}

const (
	// usageHalfLife is the time in which usage counts half. Surges of large teams last
	// seconds to tens of seconds; a longer memory would punish a team for the last one.
	usageHalfLife = 10 * time.Second
	// forgetBelow is the amount below which a team's usage is forgotten: a thousandth
	// of a short request.
	forgetBelow = 1.0
	// MaxLevel is the level of teams that use more than four times an equal share.
	MaxLevel = 3
)

// Shares counts what teams use and tells which of them take more than an equal share.
// A Shares is for one goroutine at a time.
type Shares struct {
	amounts map[string]float64
	at      time.Duration
}

// NewShares returns an empty count.
func NewShares() *Shares { return &Shares{amounts: make(map[string]float64)} }

// Decay is what usage counts after some time.
func Decay(amount float64, age time.Duration) float64 {
	return amount * math.Exp2(-float64(age)/float64(usageHalfLife))
}

// Charge adds to a team's usage.
func (s *Shares) Charge(team string, amount float64, now time.Duration) {
	s.fade(now)
	s.amounts[team] += amount
}

func (s *Shares) fade(now time.Duration) {
	if now <= s.at {
		return
	}
	age := now - s.at
	s.at = now
	for team, amount := range s.amounts {
		if amount = Decay(amount, age); amount < forgetBelow {
			delete(s.amounts, team)
		} else {
			s.amounts[team] = amount
		}
	}
}

// Top lists the n teams with the most usage.
func (s *Shares) Top(n int, now time.Duration) []Usage {
	s.fade(now)
	out := make([]Usage, 0, len(s.amounts))
	for team, amount := range s.amounts {
		out = append(out, Usage{team, amount})
	}
	slices.SortFunc(out, func(a, b Usage) int {
		return cmp.Or(cmp.Compare(b.Amount, a.Amount), cmp.Compare(a.Team, b.Team))
	})
	return out[:min(n, len(out))]
}

// Level says how far a team is above an equal share of what all teams have used,
// here and, as others tell, elsewhere: 0 up to the share, then one for each doubling.
//
// Where engines are scarce, those of the lowest level go first. The overload then
// falls on the teams that make it, and a small team is served as if it were alone;
// teams above their share still get all that is left.
func (s *Shares) Level(team string, elsewhere []Usage, now time.Duration) int {
	s.fade(now)
	own, total := s.amounts[team], 0.0
	teams := make(map[string]struct{}, len(s.amounts)+len(elsewhere))
	for name, amount := range s.amounts {
		total += amount
		teams[name] = struct{}{}
	}
	for _, u := range elsewhere {
		total += u.Amount
		teams[u.Team] = struct{}{}
		if u.Team == team {
			own += u.Amount
		}
	}
	if total <= 0 || own <= 0 {
		return 0
	}
	ratio := own * float64(len(teams)) / total
	if ratio <= 1 {
		return 0
	}
	return min(MaxLevel, int(math.Ceil(math.Log2(ratio))))
}
