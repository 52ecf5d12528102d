package bench

import (
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"time"

	"kingcupplank.example/kingcup/placement"
	"kingcupplank.example/kingcup/sched"
)

// record is one server's memory over time, as its agent would report it.
type record struct {
	every    time.Duration
	used     []int
	forecast []int
	queued   []int
	total    int
}

// recorder notes a policy's gauges while it runs.
type recorder struct {
	sched.Policy
	rec  *record
	last time.Duration
}

// Tick implements sched.Policy.
func (r *recorder) Tick(now time.Duration, acts []sched.Action) []sched.Action {
	for r.last <= now {
		s := r.Stats()
		r.rec.used = append(r.rec.used, s.MemoryUsed)
		r.rec.forecast = append(r.rec.forecast, s.MemoryForecast)
		r.rec.queued = append(r.rec.queued, s.Queued)
		r.last += r.rec.every
	}
	return r.Policy.Tick(now, acts)
}

const (
	recordedServers = 56
	recordEvery     = 250 * time.Millisecond
)

// recordServers runs one server after the other, each with its own load between
// 0.5 and 1.3 of capacity, and keeps what each would have reported.
func recordServers(o Options) []record {
	d := Cascadia()
	capacity := Capacity(d, o.Engine, o.Length)
	out := make([]record, recordedServers)
	var wg sync.WaitGroup
	for i := range out {
		wg.Go(func() {
			load := 0.5 + 0.8*float64(i)/recordedServers
			out[i] = record{every: recordEvery, total: o.Engine.Memory}
			p := &recorder{Policy: sched.NewForecasting(sched.Config{Capacity: o.Engine.Memory, MaxWait: maxWait}), rec: &out[i]}
			arrivals := d.Arrivals(uint64(1000+i), o.Length, capacity*load)
			Run(o.Engine, p, d.Teams, arrivals, o.Length)
		})
	}
	wg.Wait()
	return out
}

// Quality of placement over recorded views.
type Quality struct {
	// Queued is the share of choices that met a queue, Used the mean share of
	// memory in use at the chosen server, both at the moment of the choice.
	Queued, Used float64
}

// place draws choices among a subset of servers whose reports are lag old.
func place(records []record, p placement.Policy, subset int, lag time.Duration, length time.Duration, random *rand.Rand) Quality {
	const choices = 20000
	var q Quality
	first, last := int(30*time.Second/recordEvery), int(length/recordEvery)
	for range choices {
		at := first + random.IntN(last-first)
		from := random.IntN(len(records))
		servers := make([]placement.Server, subset)
		for k := range servers {
			r := &records[(from+k*7)%len(records)]
			seen := at - int(lag/recordEvery)
			servers[k] = placement.Server{
				Models: []string{"m"}, Connected: true, Queued: r.queued[seen],
				MemoryForecast: uint64(r.forecast[seen]), MemoryTotal: uint64(r.total),
			}
		}
		i := p.Pick(&placement.Request{Model: "m", FailureDomain: "d"}, servers, random.Uint64())
		r := &records[(from+i*7)%len(records)]
		if r.queued[at] > 0 {
			q.Queued += 1.0 / choices
		}
		q.Used += float64(r.used[at]) / float64(r.total) / choices
	}
	return q
}

// PrintPlacement prints the quality of placement against the size of the subset
// and the lag of its reports.
func PrintPlacement(w io.Writer, o Options) {
	records := recordServers(o)
	blind := placement.Policy{Filters: placement.Default().Filters}
	for _, c := range []struct {
		name   string
		policy placement.Policy
	}{{"random", blind}, {"default", placement.Default()}} {
		for _, subset := range []int{2, 6, 12, 24, recordedServers} {
			for _, lag := range []time.Duration{0, time.Second, 5 * time.Second, 10 * time.Second} {
				q := place(records, c.policy, subset, lag, o.Length, rand.New(rand.NewPCG(7, 7)))
				fmt.Fprintf(w, "%-8s subset %2d lag %4v: met a queue %4.1f %%, memory in use %4.1f %%\n", c.name, subset, lag, 100*q.Queued, 100*q.Used)
			}
		}
	}
}
