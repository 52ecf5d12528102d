package bench

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"kingcupplank.example/kingcup/sched"
)

func mean(rows []Row, policy string, load float64, f func(*Result) float64) float64 {
	for _, r := range rows {
		if r.Policy == policy && r.Load == load {
			return r.Aggregate(f).Mean
		}
	}
	return -1
}

// measurePolicies measures the two work-conserving baselines and the policy.
func measurePolicies(d Deployment) ([]Row, Options) {
	o := DefaultOptions()
	o.Length, o.Seeds = 120*time.Second, 3
	return Measure(d, append(Baselines()[:2], Forecasting("kingcup", sched.DisabledFeatures{}, nil)), o), o
}

// best returns the better of the two baseline means.
func best(rows []Row, load float64, f func(*Result) float64, pick func(a, b float64) float64) float64 {
	return pick(mean(rows, "B0 first-come", load, f), mean(rows, "B1 round-robin", load, f))
}

func lower(a, b float64) float64  { return min(a, b) }
func higher(a, b float64) float64 { return max(a, b) }

func preemptions(r *Result) float64 { return float64(r.Small.Preemptions + r.Large.Preemptions) }

// The load of the large teams surges to ten times its base rate on a saturated engine, and all teams have
// the same priority. Compared with the best baseline of the same run, the stall time of small teams
// must be at most 1/20 and preemptions at most 1/10, goodput must be at least 94 %, and every
// request must end.
func TestPolicyAgainstBaselines(t *testing.T) {
	stall := func(r *Result) float64 { return r.Small.Stall.Seconds() }
	for _, d := range []Deployment{Rinpan().EqualLevels(), Cascadia().EqualLevels()} {
		rows, o := measurePolicies(d)
		for _, load := range o.Loads {
			require.NotZero(t, best(rows, load, stall, lower), "the baselines have no stalls, so the test checks nothing")
			require.LessOrEqual(t, mean(rows, "kingcup", load, stall), best(rows, load, stall, lower)/20, "%s %.1f", d.Name, load)
			require.LessOrEqual(t, mean(rows, "kingcup", load, preemptions), best(rows, load, preemptions, lower)/10, "%s %.1f", d.Name, load)
			require.GreaterOrEqual(t, mean(rows, "kingcup", load, (*Result).Goodput), 0.94*best(rows, load, (*Result).Goodput, higher), "%s %.1f", d.Name, load)
			require.Zero(t, mean(rows, "kingcup", load, func(r *Result) float64 { return float64(r.Unfinished) }))
		}
	}
}

// Small teams have the higher priority, which the engine honors, so no policy stalls them. Above
// capacity their time to the first token must be at most 1/5 of the best baseline's. At capacity
// the engine is not always saturated. Preemptions must be at most 1/10.
func TestPolicyWithPriorities(t *testing.T) {
	firstToken := func(r *Result) float64 { return milliseconds(r.Small.TimeToFirstToken(0.95)) }
	for _, d := range []Deployment{Rinpan(), Cascadia()} {
		rows, o := measurePolicies(d)
		for _, load := range o.Loads {
			if load > 1 {
				require.LessOrEqual(t, mean(rows, "kingcup", load, firstToken), best(rows, load, firstToken, lower)/5, "%s %.1f", d.Name, load)
			}
			require.LessOrEqual(t, mean(rows, "kingcup", load, preemptions), best(rows, load, preemptions, lower)/10, "%s %.1f", d.Name, load)
			require.Zero(t, mean(rows, "kingcup", load, func(r *Result) float64 { return r.Small.Stall.Seconds() }))
		}
	}
}

// The same seed must give the same results, so that runs can be compared.
func TestRunsAreReproducible(t *testing.T) {
	o := DefaultOptions()
	o.Length, o.Seeds, o.Loads = 30*time.Second, 1, []float64{1.3}
	c := []Contender{Forecasting("kingcup", sched.DisabledFeatures{}, nil)}
	a, b := Measure(Rinpan(), c, o)[0].Results[0], Measure(Rinpan(), c, o)[0].Results[0]
	require.Equal(t, a.Small, b.Small)
	require.Equal(t, a.Large, b.Large)
}
