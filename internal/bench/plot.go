package bench

import (
	"image/color"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// plotLoad is the load in the plot, as a multiple of capacity.
const plotLoad = 1.3

var colors = []color.RGBA{
	{200, 60, 60, 255}, {220, 150, 40, 255}, {120, 120, 120, 255}, {30, 90, 180, 255},
}

// Plot writes a PNG that shows for every contender the fraction of small teams' gaps between tokens
// that are longer than a given time.
func Plot(file string, d Deployment, contenders []Contender, o Options) error {
	o.Loads = []float64{plotLoad}
	p := plot.New()
	p.Title.Text = "small teams of " + d.Name + " at 1.3 of capacity: gaps between tokens"
	p.X.Label.Text = "gap in ms"
	p.Y.Label.Text = "share of gaps that are longer"
	p.X.Scale, p.X.Tick.Marker = plot.LogScale{}, ticks(20, 50, 100, 200, 500, 1000, 2000, 5000)
	p.Y.Scale, p.Y.Tick.Marker = plot.LogScale{}, ticks(1e-6, 1e-5, 1e-4, 1e-3, 1e-2, 1e-1, 1)
	for i, row := range Measure(d, contenders, o) {
		line, err := plotter.NewLine(tailDistribution(row))
		if err != nil {
			return errors.Wrap(err, "plot")
		}
		line.Color, line.Width = colors[i%len(colors)], vg.Points(1.5)
		p.Add(line)
		p.Legend.Add(row.Policy, line)
	}
	p.Legend.Top = true
	return errors.Wrap(p.Save(16*vg.Centimeter, 10*vg.Centimeter, file), "plot")
}

func ticks(values ...float64) plot.ConstantTicks {
	out := make(plot.ConstantTicks, 0, len(values))
	for _, v := range values {
		out = append(out, plot.Tick{Value: v, Label: strconv.FormatFloat(v, 'g', -1, 64)})
	}
	return out
}

// tailDistribution returns the complementary cumulative distribution of small teams' gaps over all
// seeds.
func tailDistribution(row Row) plotter.XYs {
	const minShare = 1e-6
	sum := histogram{}
	for _, r := range row.Results {
		h := &r.Small.between
		for len(sum.count) < len(h.count) {
			sum.count = append(sum.count, 0)
		}
		for i, n := range h.count {
			sum.count[i] += n
		}
		sum.total += h.total
	}
	var out plotter.XYs
	left := sum.total
	for i, n := range sum.count {
		left -= n
		if n == 0 {
			continue
		}
		x := milliseconds(time.Duration(histogramMin * pow(histogramGrowth, i+1)))
		out = append(out, plotter.XY{X: x, Y: max(minShare, float64(left)/float64(sum.total))})
	}
	return out
}

func pow(base float64, n int) float64 {
	x := 1.0
	for range n {
		x *= base
	}
	return x
}
