package bench

import (
	"fmt"
	"io"
	"math"
	"sync"
	"text/tabwriter"
	"time"

	"kingcupplank.example/kingcup/sched"
)

// Contender is a policy to measure.
type Contender struct {
	Name string
	New  func(e Engine) sched.Policy
	// Engine changes the engine for this contender. It may be nil.
	Engine func(e *Engine)
}

const (
	maxBatch = 256
	maxWait  = 10 * time.Second
)

// Baselines returns the three simple policies.
func Baselines() []Contender {
	return []Contender{
		{Name: "B0 first-come", New: func(e Engine) sched.Policy { return sched.NewFIFO(e.Memory, maxBatch, maxWait) }},
		{Name: "B1 round-robin", New: func(e Engine) sched.Policy { return sched.NewRoundRobin(e.Memory, maxBatch, maxWait) }},
		{Name: "B2 reserve-max", New: func(e Engine) sched.Policy { return sched.NewReserveMaxOutput(e.Memory, maxBatch, maxWait, MaxTokens) }},
	}
}

// Forecasting returns the system's policy with some features disabled.
func Forecasting(name string, disabled sched.DisabledFeatures, change func(*sched.Config)) Contender {
	return Contender{Name: name, New: func(e Engine) sched.Policy {
		cfg := sched.Config{Capacity: e.Memory, MaxBatch: maxBatch, MaxWait: maxWait, Disabled: disabled}
		if change != nil {
			change(&cfg)
		}
		return sched.NewForecasting(cfg)
	}}
}

// Options are the parameters of a table.
type Options struct {
	Length time.Duration
	Seeds  int
	Loads  []float64
	Engine Engine
}

// DefaultOptions take well under a minute on eight cores.
func DefaultOptions() Options {
	return Options{Length: 240 * time.Second, Seeds: 5, Loads: []float64{1.0, 1.3, 2.0}, Engine: DefaultEngine()}
}

// Capacity returns the goodput of the first-come policy at three times an estimate of the engine's
// capacity. A load of 1.0 offers as many tokens per second.
func Capacity(d Deployment, e Engine, length time.Duration) float64 {
	const estimate, overload = 1500, 3
	load := d.Arrivals(99, length, overload*estimate)
	return Run(e, sched.NewFIFO(e.Memory, maxBatch, maxWait), d.Teams, load, length).Goodput()
}

// Row is one policy at one load, with one result for each seed.
type Row struct {
	Deployment, Policy string
	Load               float64
	Results            []*Result
}

// Measure runs every contender at every load and seed, on all processors.
func Measure(d Deployment, contenders []Contender, o Options) []Row {
	return MeasureWith(d, contenders, o, func(a []Arrival) []Arrival { return a })
}

// MeasureWith is like Measure but applies change to every load.
func MeasureWith(d Deployment, contenders []Contender, o Options, change func([]Arrival) []Arrival) []Row {
	capacity := Capacity(d, o.Engine, o.Length)
	var rows []Row
	for _, load := range o.Loads {
		for _, c := range contenders {
			rows = append(rows, Row{Deployment: d.Name, Policy: c.Name, Load: load, Results: make([]*Result, o.Seeds)})
		}
	}
	var wg sync.WaitGroup
	for i := range rows {
		c := contenders[i%len(contenders)]
		for seed := range o.Seeds {
			wg.Go(func() {
				e := o.Engine
				if c.Engine != nil {
					c.Engine(&e)
				}
				arrivals := change(d.Arrivals(uint64(seed)+1, o.Length, capacity*rows[i].Load))
				rows[i].Results[seed] = Run(e, c.New(e), d.Teams, arrivals, o.Length)
			})
		}
	}
	wg.Wait()
	return rows
}

// Alone measures one small team alone on the engine, with the load that it has among the others.
func Alone(d Deployment, o Options) Row {
	capacity := Capacity(d, o.Engine, o.Length)
	row := Row{Deployment: d.Name, Policy: "a small team alone", Load: 1}
	for seed := range o.Seeds {
		only := Deployment{Name: d.Name, Teams: d.Teams[:1]}
		arrivals := only.Arrivals(uint64(seed)+1, o.Length, capacity)
		row.Results = append(row.Results, Run(o.Engine, sched.NewFIFO(o.Engine.Memory, maxBatch, maxWait), only.Teams, arrivals, o.Length))
	}
	return row
}

// Stat is a mean over seeds, and half their range.
type Stat struct{ Mean, Spread float64 }

// Aggregate returns the statistic of f over the results of a row.
func (r Row) Aggregate(f func(*Result) float64) Stat {
	sum, lowest, highest := 0.0, math.Inf(1), math.Inf(-1)
	for _, res := range r.Results {
		x := f(res)
		sum += x
		lowest, highest = min(lowest, x), max(highest, x)
	}
	return Stat{sum / float64(len(r.Results)), (highest - lowest) / 2}
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// measure is one column of the table.
type measure struct {
	name  string
	value func(*Result) float64
}

func measures() []measure {
	var out []measure
	for _, c := range []struct {
		name        string
		selectClass func(*Result) *Class
	}{{"small", func(r *Result) *Class { return &r.Small }}, {"large", func(r *Result) *Class { return &r.Large }}} {
		out = append(out,
			measure{c.name + " stall s", func(r *Result) float64 { return c.selectClass(r).Stall.Seconds() }},
			measure{"stall p99 ms", func(r *Result) float64 { return milliseconds(c.selectClass(r).StallP99()) }},
			measure{"preempt", func(r *Result) float64 { return float64(c.selectClass(r).Preemptions) }},
			measure{"lost ktok", func(r *Result) float64 { return float64(c.selectClass(r).TokensLost) / 1000 }},
			measure{"tbt p50", func(r *Result) float64 { return milliseconds(c.selectClass(r).TimeBetweenTokens(0.5)) }},
			measure{"p95", func(r *Result) float64 { return milliseconds(c.selectClass(r).TimeBetweenTokens(0.95)) }},
			measure{"p99", func(r *Result) float64 { return milliseconds(c.selectClass(r).TimeBetweenTokens(0.99)) }},
			measure{"p99.9", func(r *Result) float64 { return milliseconds(c.selectClass(r).TimeBetweenTokens(0.999)) }},
			measure{"first p95 ms", func(r *Result) float64 { return milliseconds(c.selectClass(r).TimeToFirstToken(0.95)) }},
			measure{"refused %", func(r *Result) float64 {
				return 100 * float64(c.selectClass(r).Refused) / float64(max(1, c.selectClass(r).Offered))
			}},
			measure{"tok/s", func(r *Result) float64 { return float64(c.selectClass(r).Tokens) / r.length.Seconds() }})
	}
	return append(out,
		measure{"goodput", (*Result).Goodput},
		measure{"jain", (*Result).JainIndex},
		measure{"unfinished", func(r *Result) float64 { return float64(r.Unfinished) }})
}

// Print prints rows as a table of means over seeds ± half the range.
func Print(w io.Writer, rows []Row) {
	tw := tabwriter.NewWriter(w, 0, 0, 1, ' ', tabwriter.AlignRight)
	fmt.Fprint(tw, "deployment\tload\tpolicy\t")
	for _, m := range measures() {
		fmt.Fprint(tw, m.name, "\t")
	}
	fmt.Fprintln(tw)
	for _, r := range rows {
		fmt.Fprintf(tw, "%s\t%.1f\t%s\t", r.Deployment, r.Load, r.Policy)
		for _, m := range measures() {
			s := r.Aggregate(m.value)
			fmt.Fprintf(tw, "%s±%s\t", formatShort(s.Mean), formatShort(s.Spread))
		}
		fmt.Fprintln(tw)
	}
	tw.Flush()
}

// formatShort formats a number with two significant digits below 9.95, and without decimals above.
func formatShort(x float64) string {
	if x != 0 && math.Abs(x) < 9.95 {
		return fmt.Sprintf("%.2g", x)
	}
	return fmt.Sprintf("%.0f", x)
}
