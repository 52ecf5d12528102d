package slopes

import (
	"context"
	"fmt"
	"runtime"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"kingcupplank.example/kingcup/client"
	"kingcupplank.example/kingcup/conf"
	"kingcupplank.example/kingcup/engine"
	"kingcupplank.example/kingcup/engine/engineclient"
	"kingcupplank.example/kingcup/internal/app"
	platformv1 "kingcupplank.example/kingcup/proto/kingcup/platform/v1"
	kingcupv1 "kingcupplank.example/kingcup/proto/kingcup/v1"
)

// WatchCost is the cost of watching agents, of entry and agents together.
type WatchCost struct {
	// CPU is the CPU time per heartbeat in microseconds, Bytes the bytes per heartbeat on the wire,
	// and Memory the bytes of memory per watched agent.
	CPU, Bytes, Memory Line
	// Points and MemoryPoints are the measurements to which CPU and Memory are fitted.
	Points, MemoryPoints []Point
}

// MeasureWatchCost measures one entry that watches 50 to 200 agents.
func MeasureWatchCost() (WatchCost, error) {
	const period, span = 100 * time.Millisecond, 3 * time.Second
	var cpus, bytes, memories []Point
	for _, n := range []int{50, 100, 150, 200} {
		network := &countingNetwork{}
		sys := newProcesses(network, period, time.Minute)
		for range n {
			if err := sys.addAgent(nil); err != nil {
				return WatchCost{}, err
			}
		}
		before := memoryInUse()
		if err := sys.addEntry(n); err != nil {
			return WatchCost{}, err
		}
		if err := waitUntil("all agents connected", func() bool { return sys.countConnected() == n }); err != nil {
			return WatchCost{}, err
		}
		memories = append(memories, Point{float64(n), memoryInUse() - before})
		startCPU, startBytes := cpuTime(), network.wireBytes()
		time.Sleep(span)
		seconds := span.Seconds()
		cpus = append(cpus, Point{float64(n) / period.Seconds(), float64((cpuTime() - startCPU).Microseconds()) / seconds})
		bytes = append(bytes, Point{float64(n) / period.Seconds(), (network.wireBytes() - startBytes) / seconds})
		sys.close()
	}
	return WatchCost{CPU: Fit(cpus), Bytes: Fit(bytes), Memory: Fit(memories), Points: cpus, MemoryPoints: memories}, nil
}

// StreamCost is the cost of relaying streams.
type StreamCost struct {
	// CPU is the CPU time per token in microseconds through entry and agent, minus that of a
	// direct call of the engine in the same run.
	CPU float64
	// Allocated is the allocated bytes per token, minus those of the direct call.
	Allocated float64
	// Request is the CPU time per request in microseconds.
	Request float64
	// Memory is the bytes of memory per stream, of entry, agent, engine and caller together.
	Memory Line
	// Direct and Path are the latency of tokens, DirectFirst and PathFirst the time to the first
	// token. Direct is a direct call of the engine, Path a call through entry and agent.
	Direct, Path, DirectFirst, PathFirst Quantiles
	Streams                              int
	PerSecond                            float64
}

// Quantiles are quantiles of a duration.
type Quantiles struct{ P50, P95, P99 time.Duration }

func quantiles(d []time.Duration) Quantiles {
	slices.Sort(d)
	at := func(q float64) time.Duration { return d[min(len(d)-1, int(q*float64(len(d))))] }
	return Quantiles{at(0.5), at(0.95), at(0.99)}
}

// tokenSample collects the latencies of tokens from concurrent callers.
type tokenSample struct {
	mu          sync.Mutex
	ages, first []time.Duration
}

func (s *tokenSample) add(ages []time.Duration, first time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ages = append(s.ages, ages...)
	s.first = append(s.first, first)
}

// runCost is the cost of a run of many streams. cpu is in microseconds per token, allocated in bytes
// per token.
type runCost struct {
	cpu, allocated float64
	ages, first    Quantiles
	elapsed        time.Duration
}

// runStreams runs n concurrent streams. Each caller runs startStream.
func runStreams(n, tokens int, startStream func(id int, out *tokenSample)) runCost {
	var out tokenSample
	var wg sync.WaitGroup
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	startCPU, start := cpuTime(), time.Now()
	for i := range n {
		wg.Go(func() { startStream(i, &out) })
	}
	wg.Wait()
	elapsed := time.Since(start)
	total := float64(n * tokens)
	used := float64((cpuTime() - startCPU).Microseconds()) / total
	runtime.ReadMemStats(&after)
	return runCost{used, float64(after.TotalAlloc-before.TotalAlloc) / total, quantiles(out.ages), quantiles(out.first), elapsed}
}

// MeasureStreams compares n concurrent streams through one entry and one agent with n streams directly
// from the engine.
func MeasureStreams(n int) (StreamCost, error) {
	const step, tokens = 40 * time.Millisecond, 150
	epoch := time.Now()
	e := newTimestampEngine(step, tokens, epoch)
	sys := newProcesses(&countingNetwork{}, time.Second, time.Minute)
	defer sys.close()
	address, err := sys.addEngine(e)
	if err != nil {
		return StreamCost{}, err
	}
	if err := sys.addEntryAndWait(); err != nil {
		return StreamCost{}, err
	}
	conn, err := app.DialGRPC(address)
	if err != nil {
		return StreamCost{}, err
	}
	defer conn.Close()
	// The first round warms up connections and pools. The second one is measured.
	var direct, path runCost
	for range 2 {
		direct = runStreams(n, tokens, func(id int, out *tokenSample) { e.callDirect(engineclient.New(conn), id, out) })
		path = runStreams(n, tokens, func(id int, out *tokenSample) {
			e.callPath(client.New(client.Options{}, sys.conns[len(sys.conns)-1]), id, out)
		})
	}
	res := StreamCost{
		CPU: path.cpu - direct.cpu, Allocated: path.allocated - direct.allocated,
		Direct: direct.ages, Path: path.ages, DirectFirst: direct.first, PathFirst: path.first,
		Streams: n, PerSecond: float64(n*tokens) / path.elapsed.Seconds(),
	}
	return res, nil
}

// MeasureRequests returns the CPU time per request with one token through entry and agent, minus that
// of a direct call, in microseconds.
func MeasureRequests() (float64, error) {
	const n, tokens = 2000, 1
	e := newTimestampEngine(time.Millisecond, tokens, time.Now())
	sys := newProcesses(&countingNetwork{}, time.Second, time.Minute)
	defer sys.close()
	address, err := sys.addEngine(e)
	if err != nil {
		return 0, err
	}
	if err := sys.addEntryAndWait(); err != nil {
		return 0, err
	}
	conn, err := app.DialGRPC(address)
	if err != nil {
		return 0, err
	}
	defer conn.Close()
	direct := runStreams(n, tokens, func(id int, out *tokenSample) { e.callDirect(engineclient.New(conn), id, out) })
	path := runStreams(n, tokens, func(id int, out *tokenSample) {
		e.callPath(client.New(client.Options{}, sys.conns[len(sys.conns)-1]), id, out)
	})
	return path.cpu - direct.cpu, nil
}

// addEntryAndWait adds an entry and waits until it is connected to the agents and the base
// configuration is in force.
func (n *processes) addEntryAndWait() error {
	if err := n.addEntry(len(n.agents)); err != nil {
		return err
	}
	if _, err := n.apply("base", baseRows()...); err != nil {
		return err
	}
	return waitUntil("agents connected and base configuration in force", func() bool {
		return n.countConnected() == len(n.agents) && n.countAtVersion(1) == len(n.agents)+1
	})
}

func (e *timestampEngine) callDirect(eng engine.Engine, id int, out *tokenSample) {
	var ages []time.Duration
	start := time.Now()
	var first time.Duration
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	st, err := eng.Generate(ctx, engine.Request{ID: fmt.Sprint(id), Model: model})
	for err == nil {
		var t engine.Token
		if t, err = st.Recv(); err != nil || t.End {
			break
		}
		if t.Index == 0 {
			first = time.Since(start)
		}
		ages = append(ages, e.age(t.Text))
	}
	out.add(ages, first)
}

func (e *timestampEngine) callPath(c *client.Client, id int, out *tokenSample) {
	var ages []time.Duration
	start := time.Now()
	var first time.Duration
	req := &kingcupv1.GenerateRequest{Team: team, RequestId: fmt.Sprint(id), Model: model}
	c.Generate(context.Background(), req, client.Handler{Token: func(t client.Token) {
		if t.Index == 0 {
			first = time.Since(start)
		}
		ages = append(ages, e.age(t.Text))
	}})
	out.add(ages, first)
}

// MeasureStreamMemory measures the memory of idle streams.
func MeasureStreamMemory() (Line, error) {
	var points []Point
	for _, n := range []int{200, 400, 800} {
		sys := newProcesses(&countingNetwork{}, time.Second, time.Minute)
		if _, err := sys.addEngine(newTimestampEngine(time.Hour, 1, time.Now())); err != nil {
			return Line{}, err
		}
		if err := sys.addEntryAndWait(); err != nil {
			return Line{}, err
		}
		before := memoryInUse()
		ctx, cancel := context.WithCancel(context.Background())
		var wg, started sync.WaitGroup
		started.Add(n)
		c := client.New(client.Options{}, sys.conns[len(sys.conns)-1])
		for i := range n {
			wg.Go(func() {
				req := &kingcupv1.GenerateRequest{Team: team, RequestId: fmt.Sprint(i), Model: model}
				c.Generate(ctx, req, client.Handler{Started: func(string, string) { started.Done() }})
			})
		}
		started.Wait()
		points = append(points, Point{float64(n), memoryInUse() - before})
		cancel()
		wg.Wait()
		sys.close()
	}
	return Fit(points), nil
}

// ConfigurationCost is the cost of the configuration at the target size.
type ConfigurationCost struct {
	// Memory is the bytes of memory per row. Apply is the time to apply a change to a configuration
	// of all rows.
	Memory                    Line
	Apply                     time.Duration
	SnapshotBytes, DeltaBytes int
	Rows                      int
}

func teamRow(i int) *kingcupv1.Row {
	t := &kingcupv1.Team{
		Name: fmt.Sprintf("team-%04d", i), Weight: 1, Priority: "interactive", Models: teamModels,
		Objective: &kingcupv1.Objective{FirstTokenMs: 1900, BetweenTokensMs: 33, TargetPpm: 950000},
	}
	return &kingcupv1.Row{Row: &kingcupv1.Row_Team{Team: t}}
}

// MeasureConfiguration measures configurations of up to 1,515 rows, the size of 1,500 teams and 15
// models.
func MeasureConfiguration() (ConfigurationCost, error) {
	const rows = 1515
	var points []Point
	var out ConfigurationCost
	for _, n := range []int{500, 1000, rows} {
		snap := &kingcupv1.Snapshot{Version: 1}
		for i := range n {
			snap.Rows = append(snap.Rows, teamRow(i))
		}
		raw, err := proto.Marshal(snap)
		if err != nil {
			return out, err
		}
		snap = nil
		before := memoryInUse()
		in := &kingcupv1.Snapshot{}
		if err := proto.Unmarshal(raw, in); err != nil {
			return out, err
		}
		state := conf.FromSnapshot(in)
		in = nil
		points = append(points, Point{float64(n), memoryInUse() - before})
		out.SnapshotBytes, out.Rows = len(raw), n
		delta := &kingcupv1.Delta{Version: 2, ChangeId: "change-0001", Puts: []*kingcupv1.Row{teamRow(1)}}
		out.DeltaBytes = proto.Size(delta)
		const rounds = 100
		start := time.Now()
		for range rounds {
			if _, err := state.WithDelta(delta); err != nil {
				return out, err
			}
		}
		out.Apply = time.Since(start) / rounds
		runtime.KeepAlive(state)
	}
	out.Memory = Fit(points)
	return out, nil
}

// Propagation is the time that a change takes to be in force at all processes.
type Propagation struct {
	Processes      int
	Accepted       time.Duration
	WithStore      time.Duration
	WithoutStore   time.Duration
	Reads, Commits float64
}

// MeasurePropagation makes changes in systems of several sizes: with the store, and with a store
// outage from the moment at which the change is accepted.
func MeasurePropagation() ([]Propagation, error) {
	var out []Propagation
	for _, n := range []int{40, 80, 160} {
		sys := newProcesses(&countingNetwork{}, time.Second, 4*time.Second)
		s, err := sys.measurePropagation(n)
		sys.close()
		if err != nil {
			return nil, err
		}
		out = append(out, s)
	}
	return out, nil
}

func (n *processes) measurePropagation(size int) (Propagation, error) {
	const agentLinks = 16
	entries := size * 2 / 7
	s := Propagation{Processes: size}
	for range size - entries {
		if err := n.addAgent(nil); err != nil {
			return s, err
		}
	}
	for range entries {
		if err := n.addEntry(agentLinks); err != nil {
			return s, err
		}
	}
	want := entries * min(agentLinks, size-entries)
	if err := waitUntil("agents connected", func() bool { return n.countConnected() >= want }); err != nil {
		return s, err
	}
	if _, err := n.apply("base", baseRows()...); err != nil {
		return s, err
	}
	if err := waitUntil("base configuration in force", func() bool { return n.countAtVersion(1) == size }); err != nil {
		return s, err
	}
	before, start := n.table.Counts(), time.Now()
	var err error
	if s.Accepted, s.WithStore, err = n.measureChange("with", size, false); err != nil {
		return s, err
	}
	after := n.table.Counts()
	s.Commits = float64(after.Commits - before.Commits)
	s.Reads = float64(after.Reads-before.Reads) / time.Since(start).Seconds()
	_, s.WithoutStore, err = n.measureChange("without", size, true)
	return s, err
}

func (n *processes) measureChange(id string, size int, outage bool) (accepted, countAtVersion time.Duration, err error) {
	start := time.Now()
	resp, err := n.apply(id, teamRow(1))
	if err != nil {
		return 0, 0, err
	}
	n.table.SetOutage(outage)
	accepted = time.Since(start)
	err = waitUntil("change in force", func() bool { return n.countAtVersion(resp.GetVersion()) == size })
	return accepted, time.Since(start), err
}

// listBytes returns the size of the VM list response at the target size.
func (t Target) listBytes() int {
	list := &platformv1.ListVmsResponse{}
	for i := range t.Entries + t.Servers {
		list.Vms = append(list.Vms, &platformv1.Vm{
			Name: fmt.Sprintf("server-%04d", i), Address: fmt.Sprintf("10.%d.%d.%d:7001", i%8, i/250, i%250),
			FailureDomain: fmt.Sprintf("region-a-domain-%d", i%numDomains), Role: "agent", Models: []string{"model-01"},
		})
	}
	return proto.Size(list)
}
