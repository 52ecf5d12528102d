// Command kingcup-bench compares the scheduling policy with baselines. It also measures the
// resource use per unit of load, from which docs/CAPACITY.md is computed.
package main

import (
	"fmt"
	"os"
	"slices"
	"time"

	"kingcupplank.example/kingcup/internal/bench"
	"kingcupplank.example/kingcup/internal/fleetmodel"
	"kingcupplank.example/kingcup/internal/settings"
	"kingcupplank.example/kingcup/internal/slopes"
	"kingcupplank.example/kingcup/sched"
)

func main() {
	s := settings.New("kingcup-bench", "measures policies on one fake engine in virtual time")
	table := s.Choice("table", "policy", []string{"policy", "ablation", "robust", "placement", "capacity", "fleet"}, "table to print")
	seeds := s.Int("seeds", 5, 1, 100, "seeds for each row")
	length := s.Duration("length", 240*time.Second, time.Second, time.Hour, "virtual time of each run")
	prefillBudget := s.Int("prefill-budget", 512, 16, 8192, "prompt tokens that the engine takes in one step")
	sigmasPercent := s.Int("sigmas-percent", 0, 0, 1000, "margin of the forecast in hundredths of a standard deviation; 0 is the default")
	reservePercent := s.Int("reserve-percent", 0, 0, 90, "memory kept from borrowers, percent; 0 is the default")
	equalLevels := s.Bool("equal-levels", false, "put all teams in one priority class")
	plotFile := s.String("plot", "", "PNG file for a plot of the policy or the fleet table; empty for none", false)
	csvFile := s.String("csv", "", "CSV file for the fleet table; empty for none", false)
	seed := s.Int("seed", 1, 1, 1<<30, "seed of the fleet table")
	largest := s.Int("largest", 2000, 100, 2000, "largest number of gateways in the fleet table; 2000 takes minutes")
	s.MustParse()
	switch *table {
	case "capacity":
		exitOnError(slopes.Report(os.Stdout))
		return
	case "fleet":
		exitOnError(printFleet(*largest, uint64(*seed), *csvFile, *plotFile))
		return
	}
	setConfig := func(c *sched.Config) {
		c.Sigmas, c.ReserveFraction = float64(*sigmasPercent)/100, float64(*reservePercent)/100
	}
	o := bench.DefaultOptions()
	o.Seeds, o.Length = *seeds, *length
	o.Engine.PrefillBudget = *prefillBudget
	start := time.Now()
	if *table == "placement" {
		bench.PrintPlacement(os.Stdout, o)
		return
	}
	if *plotFile != "" {
		exitOnError(bench.Plot(*plotFile, bench.Deployments(*equalLevels)[1], policyContenders("policy", setConfig), o))
	}
	if *table == "robust" {
		bench.PrintRobust(os.Stdout, bench.Deployments(*equalLevels), append(bench.Baselines()[:2], bench.Forecasting("kingcup", sched.DisabledFeatures{}, setConfig)), o)
		return
	}
	for _, d := range bench.Deployments(*equalLevels) {
		bench.Print(os.Stdout, append([]bench.Row{bench.Alone(d, o)}, bench.Measure(d, policyContenders(*table, setConfig), o)...))
	}
	fmt.Printf("took %v\n", time.Since(start).Round(time.Millisecond))
}

// printFleet plays the control of fleets of up to largest gateways and prints the table. It writes the
// table and a plot into files whose names are not empty.
func printFleet(largest int, seed uint64, csvFile, plotFile string) error {
	sizes := slices.DeleteFunc(fleetmodel.Sizes(), func(size int) bool { return size > largest })
	results := fleetmodel.Table(sizes, seed, os.Stderr)
	fleetmodel.Print(os.Stdout, results)
	if csvFile != "" {
		if err := fleetmodel.WriteCSV(csvFile, results); err != nil {
			return err
		}
	}
	if plotFile != "" {
		return fleetmodel.Plot(plotFile, results)
	}
	return nil
}

func exitOnError(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, "kingcup-bench:", err)
		os.Exit(1)
	}
}

// policyContenders returns the policies to compare: the baselines and the full policy for the
// table "policy", otherwise the full policy and variants that each lack one feature.
func policyContenders(table string, setConfig func(*sched.Config)) []bench.Contender {
	fullPolicy := bench.Forecasting("kingcup", sched.DisabledFeatures{}, setConfig)
	if table == "policy" {
		return append(bench.Baselines(), fullPolicy)
	}
	return []bench.Contender{
		fullPolicy,
		bench.Forecasting("without forecast", sched.DisabledFeatures{Forecast: true}, nil),
		bench.Forecasting("without shares", sched.DisabledFeatures{Shares: true}, nil),
		bench.Forecasting("without victims", sched.DisabledFeatures{Preemption: true}, nil),
		bench.Forecasting("without refusal", sched.DisabledFeatures{Refusal: true}, nil),
		bench.Forecasting("without reserve", sched.DisabledFeatures{Reserve: true}, nil),
	}
}
