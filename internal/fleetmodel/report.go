package fleetmodel

import (
	"encoding/csv"
	"fmt"
	"image/color"
	"io"
	"os"
	"slices"
	"strconv"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// Sizes returns the numbers of gateways that the table is made for.
func Sizes() []int { return []int{100, 206, 412, 824, 2000} }

// Table plays all scenarios with all sizes, in parallel, and returns the results in a fixed order.
// progress gets a line for each play that has ended.
func Table(sizes []int, seed uint64, progress io.Writer) []Result {
	scenarios := Scenarios()
	results := make([]Result, len(scenarios)*len(sizes))
	var group sync.WaitGroup
	for i, s := range scenarios {
		for k, size := range sizes {
			group.Go(func() {
				begun := time.Now()
				results[i*len(sizes)+k] = Play(s, size, seed)
				fmt.Fprintf(progress, "%s, %d gateways: %v\n", s.Name, size, time.Since(begun).Round(time.Millisecond))
			})
		}
	}
	group.Wait()
	return results
}

var columns = []string{
	"scenario", "gateways", "calls", "calls_a_gateway", "refused", "store_kb", "store_kb_a_gateway", "peer_kbps_mean", "peer_kbps_busiest",
	"most_inbound", "failed_fetches", "serving_90_ms", "serving_last_ms", "registered_ms", "known_last_ms",
}

// row returns the values of the columns.
func (r Result) row() []string {
	number := func(x float64) string { return strconv.FormatFloat(x, 'f', 2, 64) }
	n := float64(r.Gateways)
	return []string{
		r.Scenario, strconv.Itoa(r.Gateways), strconv.Itoa(r.Total), number(float64(r.Total) / n), strconv.Itoa(r.Refused),
		number(float64(r.StoreBytes) / 1000), number(float64(r.StoreBytes) / 1000 / n), number(r.MeanKBps), number(r.BusiestKBps),
		strconv.Itoa(r.MostInbound), number(r.FailedFetches), millis(r.ServingNineTenths), millis(r.ServingLast), millis(r.Registered), millis(r.KnownLast),
	}
}

func millis(d time.Duration) string {
	if d >= never {
		return "never"
	}
	return strconv.FormatInt(d.Milliseconds(), 10)
}

// Print writes the results as a table.
func Print(w io.Writer, results []Result) {
	out := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	printRow := func(cells []string) {
		for _, c := range cells {
			fmt.Fprint(out, c, "\t")
		}
		fmt.Fprintln(out)
	}
	printRow(columns)
	for _, r := range results {
		printRow(r.row())
	}
	out.Flush()
}

// WriteCSV writes the results into a file.
func WriteCSV(path string, results []Result) error {
	file, err := os.Create(path)
	if err != nil {
		return errors.Wrap(err, "write table")
	}
	defer file.Close()
	out := csv.NewWriter(file)
	rows := [][]string{columns}
	for _, r := range results {
		rows = append(rows, r.row())
	}
	if err := out.WriteAll(rows); err != nil {
		return errors.Wrap(err, "write table")
	}
	return errors.Wrap(file.Close(), "write table")
}

// Plot writes a PNG with the calls to the store a gateway over the number of gateways, a line for
// each scenario.
func Plot(path string, results []Result) error {
	p := plot.New()
	p.Title.Text = "calls to the store a gateway"
	p.X.Label.Text, p.Y.Label.Text = "gateways", "calls a gateway"
	p.X.Scale, p.X.Tick.Marker = plot.LogScale{}, sizeTicks(results)
	var names []string
	for _, r := range results {
		if !slices.Contains(names, r.Scenario) {
			names = append(names, r.Scenario)
		}
	}
	for i, name := range names {
		var points plotter.XYs
		for _, r := range results {
			if r.Scenario == name {
				points = append(points, plotter.XY{X: float64(r.Gateways), Y: float64(r.Total) / float64(r.Gateways)})
			}
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return errors.Wrap(err, "plot")
		}
		shade := uint8(25 * i)
		line.Color, line.Width = color.RGBA{R: 220 - shade, G: shade, B: uint8(40 * i % 256), A: 255}, vg.Points(1.5)
		p.Add(line)
		p.Legend.Add(name, line)
	}
	p.Legend.Top = true
	return errors.Wrap(p.Save(18*vg.Centimeter, 12*vg.Centimeter, path), "plot")
}

func sizeTicks(results []Result) plot.ConstantTicks {
	var ticks plot.ConstantTicks
	for _, r := range results {
		ticks = append(ticks, plot.Tick{Value: float64(r.Gateways), Label: strconv.Itoa(r.Gateways)})
	}
	return ticks
}
