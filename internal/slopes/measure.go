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

// Watched is what watching agents costs, both ends together.
type Watched struct {
	// CPU is processor time a heartbeat in microseconds, Bytes what a
	// heartbeat takes on the wire, Memory bytes a watched agent.
	CPU, Bytes, Memory Line
	// Points and MemoryPoints are what CPU and Memory were fitted to.
	Points, MemoryPoints []Point
}

// MeasureWatched watches 50 to 200 agents with one entry.
func MeasureWatched() (Watched, error) {
	const period, span = 100 * time.Millisecond, 3 * time.Second
	var cpus, bytes, mems []Point
	for _, n := range []int{50, 100, 150, 200} {
		network := &counted{}
		sys := newNodes(network, period, time.Minute)
		for range n {
			if err := sys.addAgent(nil); err != nil {
				return Watched{}, err
			}
		}
		before := memory()
		if err := sys.addEntry(n); err != nil {
			return Watched{}, err
		}
		if err := until("all agents watched", func() bool { return sys.connected() == n }); err != nil {
			return Watched{}, err
		}
		mems = append(mems, Point{float64(n), memory() - before})
		startCPU, startBytes := cpu(), network.onWire()
		time.Sleep(span)
		seconds := span.Seconds()
		cpus = append(cpus, Point{float64(n) / period.Seconds(), float64((cpu() - startCPU).Microseconds()) / seconds})
		bytes = append(bytes, Point{float64(n) / period.Seconds(), (network.onWire() - startBytes) / seconds})
		sys.close()
	}
	return Watched{CPU: Fit(cpus), Bytes: Fit(bytes), Memory: Fit(mems), Points: cpus, MemoryPoints: mems}, nil
}

// Streams is what relaying costs.
type Streams struct {
	// CPU is processor time a token in microseconds through entry and agent,
	// beyond a direct call of the engine in the same run.
	CPU float64
	// Allocated is bytes a token, beyond the direct call.
	Allocated float64
	// Request is processor time of a request in microseconds.
	Request float64
	// Memory is bytes a stream in entry, agent, engine and caller together.
	Memory Line
	// Direct and Path are quantiles of a token's time on its way, First of
	// the time to the first token beyond the engine's own step.
	Direct, Path, DirectFirst, PathFirst Quantiles
	Streams                              int
	PerSecond                            float64
}

// Quantiles of a duration.
type Quantiles struct{ P50, P95, P99 time.Duration }

func quantiles(d []time.Duration) Quantiles {
	slices.Sort(d)
	at := func(q float64) time.Duration { return d[min(len(d)-1, int(q*float64(len(d))))] }
	return Quantiles{at(0.5), at(0.95), at(0.99)}
}

// sample gathers the ages of tokens from many callers.
type sample struct {
	mu          sync.Mutex
	ages, first []time.Duration
}

func (s *sample) add(ages []time.Duration, first time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ages = append(s.ages, ages...)
	s.first = append(s.first, first)
}

// cost is what a run of many streams took.
type cost struct {
	cpu, allocated float64
	ages, first    Quantiles
	elapsed        time.Duration
}

// runStreams has n callers stream at once, each by one.
func runStreams(n, tokens int, one func(id int, out *sample)) cost {
	var out sample
	var wg sync.WaitGroup
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	startCPU, began := cpu(), time.Now()
	for i := range n {
		wg.Go(func() { one(i, &out) })
	}
	wg.Wait()
	elapsed := time.Since(began)
	total := float64(n * tokens)
	used := float64((cpu() - startCPU).Microseconds()) / total
	runtime.ReadMemStats(&after)
	return cost{used, float64(after.TotalAlloc-before.TotalAlloc) / total, quantiles(out.ages), quantiles(out.first), elapsed}
}

// MeasureStreams relays n streams at once through one entry and one agent, and
// the same from the engine directly.
func MeasureStreams(n int) (Streams, error) {
	const step, tokens = 40 * time.Millisecond, 150
	epoch := time.Now()
	e := newClockEngine(step, tokens, epoch)
	sys := newNodes(&counted{}, time.Second, time.Minute)
	defer sys.close()
	address, err := sys.addEngine(e)
	if err != nil {
		return Streams{}, err
	}
	if err := sys.serve(); err != nil {
		return Streams{}, err
	}
	conn, err := app.DialGRPC(address)
	if err != nil {
		return Streams{}, err
	}
	defer conn.Close()
	// One round of each warms connections and pools; the second is measured.
	var direct, path cost
	for range 2 {
		direct = runStreams(n, tokens, func(id int, out *sample) { e.callDirect(engineclient.New(conn), id, out) })
		path = runStreams(n, tokens, func(id int, out *sample) {
			e.callPath(client.New(client.Options{}, sys.conns[len(sys.conns)-1]), id, out)
		})
	}
	res := Streams{
		CPU: path.cpu - direct.cpu, Allocated: path.allocated - direct.allocated,
		Direct: direct.ages, Path: path.ages, DirectFirst: direct.first, PathFirst: path.first,
		Streams: n, PerSecond: float64(n*tokens) / path.elapsed.Seconds(),
	}
	return res, nil
}

// MeasureRequests is the processor time of a request in microseconds through
// entry and agent, beyond a direct call, with its first token.
func MeasureRequests() (float64, error) {
	const n, tokens = 2000, 1
	e := newClockEngine(time.Millisecond, tokens, time.Now())
	sys := newNodes(&counted{}, time.Second, time.Minute)
	defer sys.close()
	address, err := sys.addEngine(e)
	if err != nil {
		return 0, err
	}
	if err := sys.serve(); err != nil {
		return 0, err
	}
	conn, err := app.DialGRPC(address)
	if err != nil {
		return 0, err
	}
	defer conn.Close()
	direct := runStreams(n, tokens, func(id int, out *sample) { e.callDirect(engineclient.New(conn), id, out) })
	path := runStreams(n, tokens, func(id int, out *sample) {
		e.callPath(client.New(client.Options{}, sys.conns[len(sys.conns)-1]), id, out)
	})
	return path.cpu - direct.cpu, nil
}

// serve adds an entry and waits until it sees the agent and serves the team.
func (n *nodes) serve() error {
	if err := n.addEntry(len(n.agents)); err != nil {
		return err
	}
	if _, err := n.apply("base", baseRows()...); err != nil {
		return err
	}
	return until("agent seen", func() bool {
		return n.connected() == len(n.agents) && n.inForce(1) == len(n.agents)+1
	})
}

func (e *clockEngine) callDirect(eng engine.Engine, id int, out *sample) {
	var ages []time.Duration
	began := time.Now()
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
			first = time.Since(began)
		}
		ages = append(ages, e.age(t.Text))
	}
	out.add(ages, first)
}

func (e *clockEngine) callPath(c *client.Client, id int, out *sample) {
	var ages []time.Duration
	began := time.Now()
	var first time.Duration
	req := &kingcupv1.GenerateRequest{Team: team, RequestId: fmt.Sprint(id), Model: model}
	c.Generate(context.Background(), req, client.Handler{Token: func(t client.Token) {
		if t.Index == 0 {
			first = time.Since(began)
		}
		ages = append(ages, e.age(t.Text))
	}})
	out.add(ages, first)
}

// MeasureStreamMemory opens idle streams and weighs them.
func MeasureStreamMemory() (Line, error) {
	var points []Point
	for _, n := range []int{200, 400, 800} {
		sys := newNodes(&counted{}, time.Second, time.Minute)
		if _, err := sys.addEngine(newClockEngine(time.Hour, 1, time.Now())); err != nil {
			return Line{}, err
		}
		if err := sys.serve(); err != nil {
			return Line{}, err
		}
		before := memory()
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
		points = append(points, Point{float64(n), memory() - before})
		cancel()
		wg.Wait()
		sys.close()
	}
	return Fit(points), nil
}

// Configuration is what the configuration costs at the target size.
type Configuration struct {
	// Memory is bytes a row, Apply microseconds a change at all rows.
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

// MeasureConfiguration weighs states of up to 1,500 teams and 15 models.
func MeasureConfiguration() (Configuration, error) {
	const rows = 1515
	var points []Point
	var out Configuration
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
		before := memory()
		in := &kingcupv1.Snapshot{}
		if err := proto.Unmarshal(raw, in); err != nil {
			return out, err
		}
		state := conf.FromSnapshot(in)
		in = nil
		points = append(points, Point{float64(n), memory() - before})
		out.SnapshotBytes, out.Rows = len(raw), n
		delta := &kingcupv1.Delta{Version: 2, ChangeId: "change-0001", Puts: []*kingcupv1.Row{teamRow(1)}}
		out.DeltaBytes = proto.Size(delta)
		const rounds = 100
		began := time.Now()
		for range rounds {
			if _, err := state.WithDelta(delta); err != nil {
				return out, err
			}
		}
		out.Apply = time.Since(began) / rounds
		runtime.KeepAlive(state)
	}
	out.Memory = Fit(points)
	return out, nil
}

// Spread is how long a change takes to be in force at all processes.
type Spread struct {
	Processes      int
	Accepted       time.Duration
	WithStore      time.Duration
	WithoutStore   time.Duration
	Reads, Commits float64
}

// MeasureSpread makes changes at systems of several sizes, with the store and
// with the store gone as soon as the change is accepted.
func MeasureSpread() ([]Spread, error) {
	var out []Spread
	for _, n := range []int{40, 80, 160} {
		sys := newNodes(&counted{}, time.Second, 4*time.Second)
		s, err := sys.spread(n)
		sys.close()
		if err != nil {
			return nil, err
		}
		out = append(out, s)
	}
	return out, nil
}

func (n *nodes) spread(size int) (Spread, error) {
	const agentLinks = 16
	entries := size * 2 / 7
	s := Spread{Processes: size}
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
	if err := until("agents watched", func() bool { return n.connected() >= want }); err != nil {
		return s, err
	}
	if _, err := n.apply("base", baseRows()...); err != nil {
		return s, err
	}
	if err := until("base in force", func() bool { return n.inForce(1) == size }); err != nil {
		return s, err
	}
	before, began := n.table.Counts(), time.Now()
	var err error
	if s.Accepted, s.WithStore, err = n.change("with", size, false); err != nil {
		return s, err
	}
	after := n.table.Counts()
	s.Commits = float64(after.Commits - before.Commits)
	s.Reads = float64(after.Reads-before.Reads) / time.Since(began).Seconds()
	_, s.WithoutStore, err = n.change("without", size, true)
	return s, err
}

func (n *nodes) change(id string, size int, outage bool) (accepted, inForce time.Duration, err error) {
	began := time.Now()
	resp, err := n.apply(id, teamRow(1))
	if err != nil {
		return 0, 0, err
	}
	n.table.SetOutage(outage)
	accepted = time.Since(began)
	err = until("change in force", func() bool { return n.inForce(resp.GetVersion()) == size })
	return accepted, time.Since(began), err
}

// listBytes is the size of the VM list's answer at the target size.
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
