package bench

import (
	"fmt"
	"io"
	"time"
)

// Disturbance changes a load in a way that no forecast can predict.
type Disturbance struct {
	Name   string
	Change func(teams []Team, length time.Duration) func([]Arrival) []Arrival
}

// Disturbances returns the disturbances that are measured.
func Disturbances() []Disturbance {
	return []Disturbance{
		{"none", func([]Team, time.Duration) func([]Arrival) []Arrival {
			return func(a []Arrival) []Arrival { return a }
		}},
		{"large teams' outputs 4x longer from half time", scaleLengths(4)},
		{"large teams' outputs 4x shorter from half time", scaleLengths(0.25)},
		{"a lost failure domain's streams at half time, 1.5x arrivals after", loseDomain},
		{"a large team opens and cancels 4x as many", addCancellations},
	}
}

// scaleLengths scales the output lengths of large teams in the second half of the load.
func scaleLengths(factor float64) func([]Team, time.Duration) func([]Arrival) []Arrival {
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

// migratedStreams is the number of streams of lost servers that continue here.
const migratedStreams = 20

// loseDomain simulates the loss of a failure domain in the middle of the load. Streams of which half is
// generated continue here, and from then on there are 1.5 times as many arrivals.
func loseDomain(_ []Team, length time.Duration) func([]Arrival) []Arrival {
	return func(in []Arrival) []Arrival {
		out := append([]Arrival(nil), in...)
		migrated := 0
		for i, a := range in {
			if a.At <= length/2 {
				continue
			}
			if migrated < migratedStreams {
				migrated++
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

// addCancellations makes the last team send four times as many requests and cancel the additional ones
// after 16 tokens.
func addCancellations(teams []Team, _ time.Duration) func([]Arrival) []Arrival {
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

// PrintRobust prints the table of policies at load 1.3 for every disturbance.
func PrintRobust(w io.Writer, deployments []Deployment, contenders []Contender, o Options) {
	o.Loads = []float64{1.3}
	for _, d := range deployments {
		for _, disturbance := range Disturbances() {
			fmt.Fprintf(w, "%s: %s\n", d.Name, disturbance.Name)
			Print(w, MeasureWith(d, contenders, o, disturbance.Change(d.Teams, o.Length)))
		}
	}
}
