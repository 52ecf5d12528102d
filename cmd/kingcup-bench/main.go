// Command kingcup-bench measures the scheduling policy against baselines, and
// the slopes from which docs/CAPACITY.md is worked out.
package main

import (
	"fmt"
	"os"
	"time"

	"kingcupplank.example/kingcup/internal/bench"
	"kingcupplank.example/kingcup/internal/settings"
	"kingcupplank.example/kingcup/internal/slopes"
	"kingcupplank.example/kingcup/sched"
)

func main() {
	s := settings.New("kingcup-bench", "measures policies on one fake engine in virtual time")
	what := s.Choice("table", "policy", []string{"policy", "ablation", "robust", "placement", "capacity"}, "table to print")
	seeds := s.Int("seeds", 5, 1, 100, "seeds for each row")
	length := s.Duration("length", 240*time.Second, time.Second, time.Hour, "virtual time of each run")
	budget := s.Int("prefill-budget", 512, 16, 8192, "prompt tokens that the engine takes in one step")
	sigmas := s.Int("sigmas-percent", 0, 0, 1000, "margin of the forecast in hundredths of a standard deviation; 0 is the default")
	reserve := s.Int("reserve-percent", 0, 0, 90, "memory kept from borrowers, percent; 0 is the default")
	equal := s.Bool("equal-levels", false, "put all teams in one priority class")
	plot := s.String("plot", "", "PNG file for a plot of the policy table; empty for none", false)
	s.MustParse()
	if *what == "capacity" {
		if err := slopes.Report(os.Stdout); err != nil {
			fmt.Fprintln(os.Stderr, "kingcup-bench:", err)
			os.Exit(1)
		}
		return
	}
	change := func(c *sched.Config) {
		c.Sigmas, c.ReserveFraction = float64(*sigmas)/100, float64(*reserve)/100
	}
	o := bench.DefaultOptions()
	o.Seeds, o.Length = *seeds, *length
	o.Engine.PrefillBudget = *budget
	began := time.Now()
	if *what == "placement" {
		bench.PrintPlacement(os.Stdout, o)
		return
	}
	if *plot != "" {
		if err := bench.Plot(*plot, bench.Deployments(*equal)[1], contenders("policy", change), o); err != nil {
			fmt.Fprintln(os.Stderr, "kingcup-bench:", err)
			os.Exit(1)
		}
	}
	if *what == "robust" {
		bench.PrintRobust(os.Stdout, bench.Deployments(*equal), append(bench.Baselines()[:2], bench.Forecasting("kingcup", sched.DisabledFeatures{}, change)), o)
		return
	}
	for _, d := range bench.Deployments(*equal) {
		bench.Print(os.Stdout, append([]bench.Row{bench.Alone(d, o)}, bench.Measure(d, contenders(*what, change), o)...))
	}
	fmt.Printf("took %v\n", time.Since(began).Round(time.Millisecond))
}

func contenders(what string, change func(*sched.Config)) []bench.Contender {
	whole := bench.Forecasting("kingcup", sched.DisabledFeatures{}, change)
	if what == "policy" {
		return append(bench.Baselines(), whole)
	}
	return []bench.Contender{
		whole,
		bench.Forecasting("without forecast", sched.DisabledFeatures{Forecast: true}, nil),
		bench.Forecasting("without shares", sched.DisabledFeatures{Shares: true}, nil),
		bench.Forecasting("without victims", sched.DisabledFeatures{Preemption: true}, nil),
		bench.Forecasting("without refusal", sched.DisabledFeatures{Refusal: true}, nil),
		bench.Forecasting("without reserve", sched.DisabledFeatures{Reserve: true}, nil),
	}
}
