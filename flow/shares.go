package flow

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Usage is the recent use of a service's engines by one team. Amount is in token seconds
// of engine memory, decayed over time.
type Usage struct {
	Team   string
	Amount float64
}

const (
	// usageHalfLife is the time after which usage counts half. Load spikes of large teams
	// last seconds to tens of seconds; with a longer half-life a team would still be
	// ranked lower for a spike that is over.
	usageHalfLife = 10 * time.Second
	// minUsage is the amount below which a team's usage is deleted: a thousandth of a
	// short request.
	minUsage = 1.0
	// MaxLevel is the level of teams that use more than four times an equal share.
	MaxLevel = 3
)

// Shares adds up the usage of each team and grades teams that use more than an
// equal share. It must not be used by several goroutines at the same time.
type Shares struct {
	amounts   map[string]float64
	decayedAt time.Duration
}

// NewShares returns a value without usage.
func NewShares() *Shares { return &Shares{amounts: make(map[string]float64)} }

// Decay returns what an amount of usage counts after some time.
func Decay(amount float64, age time.Duration) float64 {
	return amount * math.Exp2(-float64(age)/float64(usageHalfLife))
}

// Charge adds to a team's usage.
func (s *Shares) Charge(team string, amount float64, now time.Duration) {
	s.decay(now)
	s.amounts[team] += amount
}

func (s *Shares) decay(now time.Duration) {
	if now <= s.decayedAt {
		return
	}
	age := now - s.decayedAt
	s.decayedAt = now
	for team, amount := range s.amounts {
		if amount = Decay(amount, age); amount < minUsage {
			delete(s.amounts, team)
		} else {
			s.amounts[team] = amount
		}
	}
}

// Top returns the n teams with the highest usage, highest first.
func (s *Shares) Top(n int, now time.Duration) []Usage {
	s.decay(now)
	out := make([]Usage, 0, len(s.amounts))
	for team, amount := range s.amounts {
		out = append(out, Usage{team, amount})
	}
	slices.SortFunc(out, func(a, b Usage) int {
		return cmp.Or(cmp.Compare(b.Amount, a.Amount), cmp.Compare(a.Team, b.Team))
	})
	return out[:min(n, len(out))]
}

// Amount returns a team's usage.
func (s *Shares) Amount(team string, now time.Duration) float64 {
	s.decay(now)
	return s.amounts[team]
}

// Total returns the usage of all teams and their number. elsewhere is the usage that other
// gateways have reported.
func (s *Shares) Total(elsewhere []Usage, now time.Duration) (total float64, teams int) {
	s.decay(now)
	names := make(map[string]struct{}, len(s.amounts)+len(elsewhere))
	for name, amount := range s.amounts {
		total += amount
		names[name] = struct{}{}
	}
	for _, u := range elsewhere {
		total += u.Amount
		names[u.Team] = struct{}{}
	}
	return total, len(names)
}

// Level grades how far a team's usage is above an equal share of the usage of
// all teams: 0 up to the share, then one more for each doubling, up to MaxLevel. elsewhere
// is the usage that other gateways have reported; it is added to the local usage.
//
// Where engines are scarce, requests of teams with the lowest level go first. Overload
// then delays the teams that cause it, and a small team is served as if it were the only
// one. Teams above their share still get all remaining capacity.
func (s *Shares) Level(team string, elsewhere []Usage, now time.Duration) int {
	total, teams := s.Total(elsewhere, now)
	own := s.amounts[team]
	for _, u := range elsewhere {
		if u.Team == team {
			own += u.Amount
		}
	}
	return Grade(own, total, teams)
}

// Grade returns the level of a usage of own, out of a total of a number of teams.
func Grade(own, total float64, teams int) int {
	if total <= 0 || own <= 0 {
		return 0
	}
	ratio := own * float64(teams) / total
	if ratio <= 1 {
		return 0
	}
	return min(MaxLevel, int(math.Ceil(math.Log2(ratio))))
}
