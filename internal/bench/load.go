// Package bench measures scheduling policies on one simulated engine in virtual time. The engine gets
// one backend server's share of a deployment's load.
package bench

import (
	"math"
	"math/rand/v2"
	"time"
)

// Team is a source of requests.
type Team struct {
	Name   string
	Weight uint32
	// Level is the team's priority class, which engines honor.
	Level uint32
	Large bool
	// LoadFraction is the fraction of the offered load.
	LoadFraction float64
	// Median and Sigma describe the lognormal output lengths, in tokens.
	Median, Sigma float64
	Prompt        float64
	// SurgeFactor is the factor by which the request rate rises in a surge, 1 for a steady rate.
	SurgeFactor float64
}

// Deployment is a set of teams.
type Deployment struct {
	Name  string
	Teams []Team
}

// Rinpan returns a deployment of seven small teams with short confirmations and three large teams
// with long season plans.
func Rinpan() Deployment {
	return Deployment{"rinpan", teams(7, 3, 110, 420, 1.15)}
}

// Cascadia returns a deployment of eight small teams with notices of medium length and two large
// teams.
func Cascadia() Deployment {
	return Deployment{"cascadia", teams(8, 2, 180, 320, 0.95)}
}

// Deployments returns the two deployments of the users, with all teams in one priority class if equal
// is true.
func Deployments(equal bool) []Deployment {
	out := []Deployment{Rinpan(), Cascadia()}
	for i := range out {
		if equal {
			out[i] = out[i].EqualLevels()
		}
	}
	return out
}

// EqualLevels returns a copy of the deployment with all teams in one priority class.
func (d Deployment) EqualLevels() Deployment {
	out := Deployment{Name: d.Name, Teams: append([]Team(nil), d.Teams...)}
	for i := range out.Teams {
		out.Teams[i].Level = 0
	}
	return out
}

const (
	smallLoad   = 0.02
	smallLevel  = 1
	largeWeight = 3
	surgeFactor = 10
)

func teams(small, large int, smallMedian, largeMedian, largeSigma float64) []Team {
	var out []Team
	for i := range small {
		out = append(out, Team{
			Name: string(rune('a' + i)), Weight: 1, Level: smallLevel, LoadFraction: smallLoad,
			Median: smallMedian, Sigma: 0.8, Prompt: 200, SurgeFactor: 1,
		})
	}
	rest := (1 - smallLoad*float64(small)) / float64(large)
	for i := range large {
		out = append(out, Team{
			Name: string(rune('A' + i)), Weight: largeWeight, Large: true, LoadFraction: rest,
			Median: largeMedian, Sigma: largeSigma, Prompt: 500, SurgeFactor: surgeFactor,
		})
	}
	return out
}

// MaxTokens is the longest output that any request may have.
const MaxTokens = 8192

// Arrival is one request of the load.
type Arrival struct {
	At     time.Duration
	Team   int
	Prompt int
	Length int
	// Cancel is the number of tokens after which the caller cancels, 0 for never.
	Cancel int
	// Emitted is the number of tokens that another server has generated already.
	Emitted int
}

// Surges last meanSurgeLength on average and take surgeFraction of the time.
const (
	meanSurgeLength = 8 * time.Second
	surgeFraction   = 0.07
)

func (t Team) meanTokens() float64 {
	return t.Prompt*prefillCost + t.Median*math.Exp(t.Sigma*t.Sigma/2)
}

// prefillCost is the cost of a prompt token relative to an output token when a load is divided among
// teams.
const prefillCost = 0.1

// Arrivals draws a load of tokensPerSecond that lasts for length.
func (d Deployment) Arrivals(seed uint64, length time.Duration, tokensPerSecond float64) []Arrival {
	var out []Arrival
	for i, t := range d.Teams {
		rnd := rand.New(rand.NewPCG(seed, uint64(i)+1))
		rate := tokensPerSecond * t.LoadFraction / t.meanTokens()
		out = append(out, t.arrivals(rnd, i, length, rate)...)
	}
	sortArrivals(out)
	return out
}

// arrivals draws a Poisson process with a mean rate in requests per second. The rate is SurgeFactor
// times higher in surges.
func (t Team) arrivals(rnd *rand.Rand, index int, length time.Duration, rate float64) []Arrival {
	var out []Arrival
	base := rate / (1 - surgeFraction + surgeFraction*t.SurgeFactor)
	surging := false
	until := drawPhaseLength(rnd, surging)
	for now := time.Duration(0); ; {
		r := base
		if surging {
			r = base * t.SurgeFactor
		}
		next := now + time.Duration(rnd.ExpFloat64()/r*float64(time.Second))
		if next > until {
			now = until
			surging = !surging
			until = now + drawPhaseLength(rnd, surging)
			if now > length {
				return out
			}
			continue
		}
		now = next
		if now > length {
			return out
		}
		out = append(out, Arrival{At: now, Team: index, Prompt: drawLognormal(rnd, t.Prompt, 0.5, 4096), Length: drawLognormal(rnd, t.Median, t.Sigma, MaxTokens)})
	}
}

func drawPhaseLength(rnd *rand.Rand, surging bool) time.Duration {
	mean := float64(meanSurgeLength)
	if !surging {
		mean *= (1 - surgeFraction) / surgeFraction
	}
	return time.Duration(rnd.ExpFloat64() * mean)
}

func drawLognormal(rnd *rand.Rand, median, sigma float64, maxValue int) int {
	n := int(median * math.Exp(sigma*rnd.NormFloat64()))
	return max(1, min(n, maxValue))
}
