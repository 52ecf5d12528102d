package bench

import (
	"fmt"
	"io"
	"time"
)

// Disturbance changes a load in a way that no forecast can see coming.
type Disturbance struct {
	Name   string
	Change func(teams []Team, length time.Duration) func([]Arrival) []Arrival
}

// Disturbances are the ways in which a forecast is made wrong.
func Disturbances() []Disturbance {
	return []Disturbance{
		{"none", func([]Team, time.Duration) func([]Arrival) []Arrival {
			return func(a []Arrival) []Arrival { return a }
		}},
		{"large teams' outputs 4x longer from half time", lengths(4)},
		{"large teams' outputs 4x shorter from half time", lengths(0.25)},
		{"a lost failure domain's streams at half time, 1.5x arrivals after", lostDomain},
		{"a large team opens and cancels 4x as many", cancels},
	}
}

// lengths scales the outputs of large teams in the second half.
func lengths(factor float64) func([]Team, time.Duration) func([]Arrival) []Arrival {
	return func(teams []Team, length time.Duration) func([]Arrival) []Arrival {
		return func(in []Arrival) []Arrival {
			out := append([]Arrival(nil), in...)
			for i := range out {
				if teams[out[i].Team].Large && out[i].At > length/2 {
					out[i].Length = max(1, min(MaxTokens, int(float64(out[i].Length)*factor)))
				}
			}
			return out
		}
	}
}

// movedStreams is how many streams of lost servers continue here.
const movedStreams = 20

// lostDomain moves streams here at half time, half done, and raises arrivals by
// half from then on.
func lostDomain(_ []Team, length time.Duration) func([]Arrival) []Arrival {
	return func(in []Arrival) []Arrival {
		out := append([]Arrival(nil), in...)
		moved := 0
		for i, a := range in {
			if a.At <= length/2 {
				continue
			}
			if moved < movedStreams {
				moved++
				a.At, a.Emitted = length/2, a.Length/2
				out = append(out, a)
			} else if i%2 == 0 {
				out = append(out, a)
			}
		}
		sortArrivals(out)
		return out
	}
}

// cancels has the last team send four times as many requests and cancel the
// extra ones after a few tokens.
func cancels(teams []Team, _ time.Duration) func([]Arrival) []Arrival {
	const extra, after = 3, 16
	return func(in []Arrival) []Arrival {
		out := append([]Arrival(nil), in...)
		for _, a := range in {
			for range extra {
				if a.Team == len(teams)-1 {
					b := a
					b.Cancel = after
					out = append(out, b)
				}
			}
		}
		sortArrivals(out)
		return out
	}
}

// PrintRobust prints the policy table at load 1.3 under every disturbance.
func PrintRobust(w io.Writer, deployments []Deployment, contenders []Contender, o Options) {
	o.Loads = []float64{1.3}
	for _, d := range deployments {
		for _, dis := range Disturbances() {
			fmt.Fprintf(w, "%s: %s\n", d.Name, dis.Name)
			Print(w, MeasureWith(d, contenders, o, dis.Change(d.Teams, o.Length)))
		}
	}
}
