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
			return r.Over(f).Mean
		}
	}
	return -1
}

// table measures the two work-conserving baselines and the policy.
func table(d Deployment) ([]Row, Options) {
	o := DefaultOptions()
	o.Length, o.Seeds = 120*time.Second, 3
	return Measure(d, append(Baselines()[:2], Forecasting("kingcup", sched.DisabledFeatures{}, nil)), o), o
}

// best is the better baseline's mean.
func best(rows []Row, load float64, f func(*Result) float64, pick func(a, b float64) float64) float64 {
	return pick(mean(rows, "B0 first-come", load, f), mean(rows, "B1 round-robin", load, f))
}

func least(a, b float64) float64 { return min(a, b) }
func most(a, b float64) float64  { return max(a, b) }

func preemptions(r *Result) float64 { return float64(r.Small.Preemptions + r.Large.Preemptions) }

// Large teams surge to ten times their mean on a crowded engine and all teams
// are of one priority. Against the best baseline of the same run, small teams'
// stall time must fall at least twentyfold and preemptions tenfold, goodput must
// stay near, and every request must end.
func TestPolicyAgainstBaselines(t *testing.T) {
	stall := func(r *Result) float64 { return r.Small.Stall.Seconds() }
	for _, d := range []Deployment{Rinpan().EqualLevels(), Cascadia().EqualLevels()} {
		rows, o := table(d)
		for _, load := range o.Loads {
			require.NotZero(t, best(rows, load, stall, least), "the test needs stalls to say anything")
			require.LessOrEqual(t, mean(rows, "kingcup", load, stall), best(rows, load, stall, least)/20, "%s %.1f", d.Name, load)
			require.LessOrEqual(t, mean(rows, "kingcup", load, preemptions), best(rows, load, preemptions, least)/10, "%s %.1f", d.Name, load)
			require.GreaterOrEqual(t, mean(rows, "kingcup", load, (*Result).Goodput), 0.94*best(rows, load, (*Result).Goodput, most), "%s %.1f", d.Name, load)
			require.Zero(t, mean(rows, "kingcup", load, func(r *Result) float64 { return float64(r.Unfinished) }))
		}
	}
}

// The engine honours priorities and small teams have the higher one, so that it
// stalls none of them under any policy. Their wait for the first token must
// still fall fivefold beyond capacity (at capacity the engine is not always
// crowded), and preemptions of the large teams tenfold.
func TestPolicyWithPriorities(t *testing.T) {
	first := func(r *Result) float64 { return milliseconds(r.Small.First(0.95)) }
	for _, d := range []Deployment{Rinpan(), Cascadia()} {
		rows, o := table(d)
		for _, load := range o.Loads {
			if load > 1 {
				require.LessOrEqual(t, mean(rows, "kingcup", load, first), best(rows, load, first, least)/5, "%s %.1f", d.Name, load)
			}
			require.LessOrEqual(t, mean(rows, "kingcup", load, preemptions), best(rows, load, preemptions, least)/10, "%s %.1f", d.Name, load)
			require.Zero(t, mean(rows, "kingcup", load, func(r *Result) float64 { return r.Small.Stall.Seconds() }))
		}
	}
}

// The same seed must give the same figures, or no two rounds can be compared.
func TestRunsRepeat(t *testing.T) {
	o := DefaultOptions()
	o.Length, o.Seeds, o.Loads = 30*time.Second, 1, []float64{1.3}
	c := []Contender{Forecasting("kingcup", sched.DisabledFeatures{}, nil)}
	a, b := Measure(Rinpan(), c, o)[0].Results[0], Measure(Rinpan(), c, o)[0].Results[0]
	require.Equal(t, a.Small, b.Small)
	require.Equal(t, a.Large, b.Large)
}
