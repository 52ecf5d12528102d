package admission

import (
	"time"

	"kingcupplank.example/kingcup/flow"
)

// Usage adds up what each team has used of a service's engines: by its light generations, and by
// all.
type Usage struct {
	all, light *flow.Shares
}

// NewUsage returns a value without usage.
func NewUsage() *Usage { return &Usage{all: flow.NewShares(), light: flow.NewShares()} }

// Charge adds a generation that has started to its team's usage.
func (u *Usage) Charge(team string, d Demand, light bool, now time.Duration) {
	u.all.Charge(team, d.Product(), now)
	if light {
		u.light.Charge(team, d.Product(), now)
	}
}

// Top returns the n teams with the highest usage, highest first, and what their light generations have
// used of it.
func (u *Usage) Top(n int, now time.Duration) (all, light []flow.Usage) {
	all = u.all.Top(n, now)
	for _, t := range all {
		if amount := u.light.Amount(t.Team, now); amount > 0 {
			light = append(light, flow.Usage{Team: t.Team, Amount: amount})
		}
	}
	return all, light
}

// Level grades how far all usage of a team is above an equal share, see flow.Shares.Level.
// elsewhere is the usage that other gateways have reported.
func (u *Usage) Level(team string, elsewhere []flow.Usage, now time.Duration) int {
	return u.all.Level(team, elsewhere, now)
}

// LightLevel grades a light generation's team: only what its light generations have used counts,
// against an equal share of all usage. elsewhere and lightElsewhere are the usage that other gateways
// have reported. A team that fills the engines with long generations has
// its short ones served as promptly as any other team's.
func (u *Usage) LightLevel(team string, elsewhere, lightElsewhere []flow.Usage, now time.Duration) int {
	total, teams := u.all.Total(elsewhere, now)
	own := u.light.Amount(team, now)
	for _, e := range lightElsewhere {
		if e.Team == team {
			own += e.Amount
		}
	}
	return flow.Grade(own, total, teams)
}

// scale returns the factor by which the service's load is higher than this gateway's part of it,
// judged by usage: 1 if this gateway has all of it.
func (u *Usage) scale(elsewhere []flow.Usage, now time.Duration) float64 {
	own, _ := u.all.Total(nil, now)
	total, _ := u.all.Total(elsewhere, now)
	if own <= 0 || total <= own {
		return 1
	}
	return min(maxScale, total/own)
}

// maxScale bounds the factor by which a gateway's part is scaled up. It is above the number of
// gateways of a cell.
const maxScale = 64
