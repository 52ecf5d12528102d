package slopes

import (
	"fmt"
	"io"
	"time"

	"kingcupplank.example/kingcup/claim"
	"kingcupplank.example/kingcup/internal/entry"
)

// Target is the size that the system is designed for.
type Target struct {
	Entries, Servers                        int
	Requests, Tokens                        float64
	Teams, Models                           int
	ChangesPerDay                           float64
	Poll, Heartbeat                         time.Duration
	AgentLinks, PeersPerEntry, ClaimWriters int
	Claimed                                 float64
}

// DefaultTarget is the plan of the users for the next two years. The share of
// non-idempotent requests is assumed.
func DefaultTarget() Target {
	return Target{
		Entries: 330, Servers: 830, Requests: 8300, Tokens: 2.2e6, Teams: 1500, Models: 15,
		ChangesPerDay: 430, Poll: 4 * time.Second, Heartbeat: time.Second,
		AgentLinks: 96, PeersPerEntry: 4, ClaimWriters: 8, Claimed: 0.05,
	}
}

// Report measures every slope and prints the table of docs/CAPACITY.md.
func Report(w io.Writer) error {
	t := DefaultTarget()
	watched, err := MeasureWatched()
	if err != nil {
		return err
	}
	fmt.Fprintln(w, "## Measured slopes")
	fmt.Fprintf(w, "heartbeat, both ends: %.1f us cpu (residual %.1f %%), %.0f bytes on the wire (residual %.1f %%)\n",
		watched.CPU.Slope, 100*watched.CPU.Residual, watched.Bytes.Slope, 100*watched.Bytes.Residual)
	for _, p := range watched.Points {
		fmt.Fprintf(w, "  %5.0f heartbeats/s: %6.0f us cpu/s, fit %6.0f\n", p.Size, p.Cost, watched.CPU.Intercept+watched.CPU.Slope*p.Size)
	}
	fmt.Fprintf(w, "watched agent, both ends: %.1f KB memory (residual %.1f %%)\n", watched.Memory.Slope/1024, 100*watched.Memory.Residual)
	for _, p := range watched.MemoryPoints {
		fmt.Fprintf(w, "  %4.0f agents: %6.0f KB, fit %6.0f\n", p.Size, p.Cost/1024, (watched.Memory.Intercept+watched.Memory.Slope*p.Size)/1024)
	}
	streams, err := reportStreams(w)
	if err != nil {
		return err
	}
	c, err := MeasureConfiguration()
	if err != nil {
		return err
	}
	fmt.Fprintf(w, "configuration: %.0f bytes memory a row (residual %.1f %%); %d rows: snapshot %d bytes, delta %d bytes, %v to apply a change\n",
		c.Memory.Slope, 100*c.Memory.Residual, c.Rows, c.SnapshotBytes, c.DeltaBytes, c.Apply)
	for _, cl := range MeasureClaims(3 * time.Millisecond) {
		fmt.Fprintf(w, "claims at %.0f/s at one entry: %.2f commits, %.2f reads a claim with its outcome\n", cl.PerSecond, cl.Commits, cl.Reads)
	}
	spreads, err := MeasureSpread()
	if err != nil {
		return err
	}
	for _, s := range spreads {
		fmt.Fprintf(w, "change at %d processes: accepted %v, in force at all %v, with the store gone at once %v; %.0f commits, %.0f table reads/s meanwhile\n",
			s.Processes, s.Accepted.Round(time.Millisecond), s.WithStore.Round(time.Millisecond), s.WithoutStore.Round(time.Millisecond), s.Commits, s.Reads)
	}
	t.print(w, watched, streams, c)
	return nil
}

func reportStreams(w io.Writer) (Streams, error) {
	var last Streams
	var err error
	for _, n := range []int{100, 1000} {
		s, err := MeasureStreams(n)
		if err != nil {
			return last, err
		}
		fmt.Fprintf(w, "%d streams, %.0f tokens/s: %.1f us cpu and %.0f bytes allocated a token beyond a direct call\n", n, s.PerSecond, s.CPU, s.Allocated)
		fmt.Fprintf(w, "  token on its way, direct p50 %v p99 %v, through entry and agent p50 %v p99 %v, added p50 %v p99 %v\n",
			s.Direct.P50, s.Direct.P99, s.Path.P50, s.Path.P99, s.Path.P50-s.Direct.P50, s.Path.P99-s.Direct.P99)
		fmt.Fprintf(w, "  first token, direct p50 %v p99 %v, through entry and agent p50 %v p99 %v\n",
			s.DirectFirst.P50, s.DirectFirst.P99, s.PathFirst.P50, s.PathFirst.P99)
		last = s
	}
	if last.Request, err = MeasureRequests(); err != nil {
		return last, err
	}
	fmt.Fprintf(w, "request with one token: %.0f us cpu beyond a direct call\n", last.Request)
	memory, err := MeasureStreamMemory()
	if err != nil {
		return last, err
	}
	last.Memory = memory
	fmt.Fprintf(w, "idle stream in caller, entry, agent and engine together: %.1f KB memory (residual %.1f %%)\n", memory.Slope/1024, 100*memory.Residual)
	return last, nil
}

// readsAtStart are a process's first looks at the head, the deltas and the list.
const readsAtStart = 3

// print works the target out from the slopes.
func (t Target) print(w io.Writer, watched Watched, s Streams, c Configuration) {
	links := float64(t.AgentLinks + t.PeersPerEntry + t.ClaimWriters)
	watchers := float64(t.Entries) * float64(t.AgentLinks) / float64(t.Servers)
	beats := 1 / t.Heartbeat.Seconds()
	config := c.Memory.Slope * float64(t.Teams+t.Models) / 1024 / 1024
	list := time.Duration(t.Entries+t.Servers) * entry.ListIntervalPerVM
	listRate := float64(t.listBytes()) / list.Seconds()
	fmt.Fprintf(w, "\nVM list: %d bytes, read by an entry every %v: %.1f KB/s\n", t.listBytes(), list, listRate/1024)
	fmt.Fprintln(w, "\n## Control at the target size, a node")
	fmt.Fprintln(w, "| role | links | heartbeats/s | cpu of one core | KB/s | memory MB |")
	fmt.Fprintln(w, "|---|---|---|---|---|---|")
	for _, r := range []struct {
		name  string
		links float64
		other float64
	}{{"entry", links, listRate}, {"agent", watchers, 0}} {
		n := r.links * beats
		fmt.Fprintf(w, "| %s | %.0f | %.0f | %.2f %% | %.1f | %.1f links + %.1f configuration |\n", r.name, r.links, n,
			n*watched.CPU.Slope/1e6*100, (n*watched.Bytes.Slope+r.other)/1024, r.links*watched.Memory.Slope/1024/1024, config)
	}
	fmt.Fprintln(w, "\n## Data at the target size, a node")
	fmt.Fprintln(w, "| role | requests/s | tokens/s | streams | cores | memory MB of streams |")
	fmt.Fprintln(w, "|---|---|---|---|---|---|")
	const between = 0.033
	for _, r := range []struct {
		name  string
		nodes int
	}{{"entry", t.Entries}, {"agent", t.Servers}} {
		tokens := t.Tokens / float64(r.nodes)
		open := tokens * between
		requests := t.Requests / float64(r.nodes)
		cores := (tokens*s.CPU + requests*s.Request) / 1e6
		fmt.Fprintf(w, "| %s | %.0f | %.0f | %.0f | %.2f | %.0f |\n", r.name, requests, tokens, open, cores, open*s.Memory.Slope/1024/1024)
	}
	processes := float64(t.Entries + t.Servers)
	fmt.Fprintln(w, "\n## Platform table at the target size")
	fmt.Fprintf(w, "reads/s: configuration heads %.0f, VM lists %.0f, deltas in the %v after a change %.0f\n",
		processes/t.Poll.Seconds(), float64(t.Entries)/list.Seconds(), t.Poll, processes/t.Poll.Seconds())
	wave := processes / numDomains
	fmt.Fprintf(w, "a failure domain's %.0f processes back at once: %.0f reads (head, deltas, list) and %.0f snapshots of %d bytes\n",
		wave, wave*readsAtStart, wave, c.SnapshotBytes)
	rows := 2 * t.Claimed * t.Requests
	most := float64(t.ClaimWriters) / claim.ForwardedWindow.Seconds()
	fmt.Fprintf(w, "writes/s: changes %.4f; at %.0f %% non-idempotent %.0f rows of claims and outcomes in at most %.0f transactions\n",
		t.ChangesPerDay/86400, 100*t.Claimed, rows, min(rows, most))
}
