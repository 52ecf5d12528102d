package slopes

import (
	"fmt"
	"io"
	"time"

	"kingcupplank.example/kingcup/claim"
	"kingcupplank.example/kingcup/internal/entry"
)

// Target is the size for which the system is designed.
type Target struct {
	Entries, Servers                        int
	Requests, Tokens                        float64
	Teams, Models                           int
	ChangesPerDay                           float64
	PollInterval, HeartbeatInterval         time.Duration
	AgentLinks, PeersPerEntry, ClaimWriters int
	ClaimedFraction                         float64
}

// DefaultTarget returns the size that the users plan for the next two years. The fraction of
// non-idempotent requests is an assumption.
func DefaultTarget() Target {
	return Target{
		Entries: 330, Servers: 830, Requests: 8300, Tokens: 2.2e6, Teams: 1500, Models: 15,
		ChangesPerDay: 430, PollInterval: 4 * time.Second, HeartbeatInterval: time.Second,
		AgentLinks: 96, PeersPerEntry: 4, ClaimWriters: 8, ClaimedFraction: 0.05,
	}
}

// Report measures every slope and prints the table of docs/CAPACITY.md.
func Report(w io.Writer) error {
	t := DefaultTarget()
	watched, err := MeasureWatchCost()
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
	spreads, err := MeasurePropagation()
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

func reportStreams(w io.Writer) (StreamCost, error) {
	var last StreamCost
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

// startupReads is the number of reads of a starting process: the head, the deltas and the VM list.
const startupReads = 3

// print prints the cost at the target size, computed from the slopes.
func (t Target) print(w io.Writer, watched WatchCost, s StreamCost, c ConfigurationCost) {
	links := float64(t.AgentLinks + t.PeersPerEntry + t.ClaimWriters)
	watchers := float64(t.Entries) * float64(t.AgentLinks) / float64(t.Servers)
	heartbeatsPerSecond := 1 / t.HeartbeatInterval.Seconds()
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
		n := r.links * heartbeatsPerSecond
		fmt.Fprintf(w, "| %s | %.0f | %.0f | %.2f %% | %.1f | %.1f links + %.1f configuration |\n", r.name, r.links, n,
			n*watched.CPU.Slope/1e6*100, (n*watched.Bytes.Slope+r.other)/1024, r.links*watched.Memory.Slope/1024/1024, config)
	}
	fmt.Fprintln(w, "\n## Data at the target size, a node")
	fmt.Fprintln(w, "| role | requests/s | tokens/s | streams | cores | memory MB of streams |")
	fmt.Fprintln(w, "|---|---|---|---|---|---|")
	const secondsPerToken = 0.033
	for _, r := range []struct {
		name      string
		processes int
	}{{"entry", t.Entries}, {"agent", t.Servers}} {
		tokens := t.Tokens / float64(r.processes)
		openStreams := tokens * secondsPerToken
		requests := t.Requests / float64(r.processes)
		cores := (tokens*s.CPU + requests*s.Request) / 1e6
		fmt.Fprintf(w, "| %s | %.0f | %.0f | %.0f | %.2f | %.0f |\n", r.name, requests, tokens, openStreams, cores, openStreams*s.Memory.Slope/1024/1024)
	}
	processes := float64(t.Entries + t.Servers)
	fmt.Fprintln(w, "\n## Platform table at the target size")
	fmt.Fprintf(w, "reads/s: configuration heads %.0f, VM lists %.0f, deltas in the %v after a change %.0f\n",
		processes/t.PollInterval.Seconds(), float64(t.Entries)/list.Seconds(), t.PollInterval, processes/t.PollInterval.Seconds())
	restarting := processes / numDomains
	fmt.Fprintf(w, "a failure domain's %.0f processes back at once: %.0f reads (head, deltas, list) and %.0f snapshots of %d bytes\n",
		restarting, restarting*startupReads, restarting, c.SnapshotBytes)
	rows := 2 * t.ClaimedFraction * t.Requests
	maxTransactions := float64(t.ClaimWriters) / claim.ForwardedWindow.Seconds()
	fmt.Fprintf(w, "writes/s: changes %.4f; at %.0f %% non-idempotent %.0f rows of claims and outcomes in at most %.0f transactions\n",
		t.ChangesPerDay/86400, 100*t.ClaimedFraction, rows, min(rows, maxTransactions))
}
