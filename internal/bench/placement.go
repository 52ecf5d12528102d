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

// serverRecord is the memory use of one server over time, as its agent would report it.
type serverRecord struct {
	interval time.Duration
	used     []int
	forecast []int
	queued   []int
	total    int
}

// recorder records the statistics of a policy while it runs.
type recorder struct {
	sched.Policy
	record *serverRecord
	nextAt time.Duration
}

// Tick implements sched.Policy.
func (r *recorder) Tick(now time.Duration, actions []sched.Action) []sched.Action {
	for r.nextAt <= now {
		s := r.Stats()
		r.record.used = append(r.record.used, s.MemoryUsed)
		r.record.forecast = append(r.record.forecast, s.MemoryForecast)
		r.record.queued = append(r.record.queued, s.Queued)
		r.nextAt += r.record.interval
	}
	return r.Policy.Tick(now, actions)
}

const (
	recordedServers = 56
	recordInterval  = 250 * time.Millisecond
)

// recordServers simulates servers with loads between 0.5 and 1.3 of capacity and returns what each
// would have reported.
func recordServers(o Options) []serverRecord {
	d := Cascadia()
	capacity := Capacity(d, o.Engine, o.Length)
	out := make([]serverRecord, recordedServers)
	var wg sync.WaitGroup
	for i := range out {
		wg.Go(func() {
			load := 0.5 + 0.8*float64(i)/recordedServers
			out[i] = serverRecord{interval: recordInterval, total: o.Engine.Memory}
			p := &recorder{Policy: sched.NewForecasting(sched.Config{Capacity: o.Engine.Memory, MaxWait: maxWait}), record: &out[i]}
			arrivals := d.Arrivals(uint64(1000+i), o.Length, capacity*load)
			Run(o.Engine, p, d.Teams, arrivals, o.Length)
		})
	}
	wg.Wait()
	return out
}

// PlacementQuality is the quality of placement decisions on recorded servers.
type PlacementQuality struct {
	// Queued is the fraction of decisions for a server with a queue. Used is the mean fraction of
	// memory in use at the chosen server. Both are at the time of the decision.
	Queued, Used float64
}

// measurePlacement makes placement decisions among random subsets of servers whose reports are lag
// old.
func measurePlacement(records []serverRecord, p placement.Policy, subset int, lag time.Duration, length time.Duration, random *rand.Rand) PlacementQuality {
	const choices = 20000
	var q PlacementQuality
	first, last := int(30*time.Second/recordInterval), int(length/recordInterval)
	for range choices {
		at := first + random.IntN(last-first)
		from := random.IntN(len(records))
		servers := make([]placement.Server, subset)
		for k := range servers {
			r := &records[(from+k*7)%len(records)]
			reported := at - int(lag/recordInterval)
			servers[k] = placement.Server{
				Models: []string{"m"}, Connected: true, Queued: r.queued[reported],
				MemoryForecast: uint64(r.forecast[reported]), MemoryTotal: uint64(r.total),
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

// PrintPlacement prints the quality of placement by the size of the subset and the age of its reports.
func PrintPlacement(w io.Writer, o Options) {
	records := recordServers(o)
	randomPolicy := placement.Policy{Filters: placement.Default().Filters}
	for _, c := range []struct {
		name   string
		policy placement.Policy
	}{{"random", randomPolicy}, {"default", placement.Default()}} {
		for _, subset := range []int{2, 6, 12, 24, recordedServers} {
			for _, lag := range []time.Duration{0, time.Second, 5 * time.Second, 10 * time.Second} {
				q := measurePlacement(records, c.policy, subset, lag, o.Length, rand.New(rand.NewPCG(7, 7)))
				fmt.Fprintf(w, "%-8s subset %2d lag %4v: met a queue %4.1f %%, memory in use %4.1f %%\n", c.name, subset, lag, 100*q.Queued, 100*q.Used)
			}
		}
	}
}
