package relay

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// The simulated load: gateways in front of engines that are half full, a quarter of which
	// crash at the same time. Memory, prompts and rates are those of a deployment with short and
	// long responses; simLongOf3 of three generations are long.
	simGateways, simEngines = 23, 43
	simMemory               = 21900
	simArrivalRate          = 70 // generations a second, over all gateways
	simLongOf3              = 1
	simLongRun, simShortRun = 8 * time.Second, 300 * time.Millisecond
	simCrashAt              = 10 * time.Second
	simDuration             = 14 * time.Second
	simPromptTokens         = 2600
	simPeerDelay            = 20 * time.Millisecond
	simReadTime             = 250 * time.Millisecond
)

// crashSimulation simulates gateways that exchange their state and share engines.
type crashSimulation struct {
	t        *testing.T
	gateways []*fixture
	mu       sync.Mutex
	down     map[string]bool
	// refusedAttempts counts the attempts at crashed engines by gateway.
	refusedAttempts    map[int]int
	lastRefusedAttempt time.Duration
}

// reportLoads sends the loads and server statuses of a gateway to the others, as a state message does.
func (sim *crashSimulation) reportLoads(i int) {
	time.Sleep(simPeerDelay)
	f := sim.gateways[i]
	loads, statuses := f.registry.Loads(), f.registry.Statuses(f.now())
	for k, peer := range sim.gateways {
		if k != i {
			peer.registry.SetRemoteLoads(fmt.Sprint("vm-", i), loads)
			peer.registry.SetRemoteStatuses(fmt.Sprint("vm-", i), statuses, peer.now())
		}
	}
}

// notifyingPeers sends the state of a gateway to its peers on each notification.
type notifyingPeers struct {
	*fakePeers
	notify func()
}

func (n *notifyingPeers) Notify()      { go n.notify() }
func (n *notifyingPeers) NotifyLoads() { go n.notify() }

func newCrashSimulation(t *testing.T) *crashSimulation {
	sim := &crashSimulation{t: t, down: make(map[string]bool), refusedAttempts: make(map[int]int)}
	for i := range simGateways {
		f := newFixture(t, Config{RetryRatio: 0.2, RetryExtra: 86})
		f.peers.count = simGateways
		f.relay.Peers = &notifyingPeers{f.peers, func() { sim.reportLoads(i) }}
		f.upstream.send = func(ctx context.Context, a *Attempt) (*Response, error) { return sim.send(ctx, i, a) }
		for k := range simEngines {
			s := f.newEntry(fmt.Sprint("e-", k), modelService)
			s.Slots, s.FailureDomain = 24, fmt.Sprint("zone-", k%4)
			f.registry.Put(s, f.now())
		}
		sim.gateways = append(sim.gateways, f)
	}
	return sim
}

func (sim *crashSimulation) send(ctx context.Context, i int, a *Attempt) (*Response, error) {
	sim.mu.Lock()
	down := sim.down[a.Server.ID]
	if down {
		sim.refusedAttempts[i]++
		sim.lastRefusedAttempt = sim.gateways[i].now()
	}
	sim.mu.Unlock()
	if down {
		return nil, &NotRunError{Reason: NotRunDown, Detail: "connection refused"}
	}
	select {
	case <-time.After(simReadTime):
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	runTime := simShortRun
	if a.Request.Path == "/plan/x" {
		runTime = simLongRun
	}
	body := newFakeBody()
	go func() {
		body.write(event(1))
		time.Sleep(runTime)
		sim.mu.Lock()
		down := sim.down[a.Server.ID]
		sim.mu.Unlock()
		if down {
			body.breakOff()
			return
		}
		body.write(event(2))
		body.writer.Close()
	}()
	return body.response(), nil
}

// crashServers crashes n engines.
func (sim *crashSimulation) crashServers(n int) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	for k := range n {
		sim.down[fmt.Sprint("e-", 4*k)] = true
	}
}

// run returns the number of generations sent after the crash, and how many of them were refused.
func (sim *crashSimulation) run() (sent, refused int) {
	rng := rand.New(rand.NewPCG(3, 4))
	var wg sync.WaitGroup
	var mu sync.Mutex
	time.AfterFunc(simCrashAt, func() { sim.crashServers(simEngines / 4) })
	for start, n := time.Now(), 0; time.Since(start) < simDuration; n++ {
		time.Sleep(time.Duration(rng.ExpFloat64() * float64(time.Second) / simArrivalRate))
		f := sim.gateways[rng.IntN(simGateways)]
		r := request("/check/x")
		r.Generation = &Generation{PromptTokens: simPromptTokens, MaxOutput: 8, EstimatedOutput: 8}
		if rng.IntN(3) < simLongOf3 {
			r = request("/plan/x")
			r.Generation = &Generation{PromptTokens: simPromptTokens, MaxOutput: 750, EstimatedOutput: 750}
		}
		r.ID, r.Body = fmt.Sprint("r", n), []byte(fmt.Sprint(n))
		afterCrash := time.Since(start) >= simCrashAt
		wg.Go(func() {
			c := &caller{}
			f.relay.Serve(sim.t.Context(), r, c)
			mu.Lock()
			defer mu.Unlock()
			if afterCrash {
				sent++
			}
			if afterCrash && c.refusal != nil {
				refused++
			}
		})
	}
	wg.Wait()
	return sent, refused
}

// Guards against generations being refused for lack of capacity, with three quarters of the
// engines half empty, because crashed engines that refuse connections use up the retry budget.
func TestRefusedConnectionsUseNoRetryBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := newCrashSimulation(t)
		sent, refused := sim.run()
		attempts := 0
		for _, n := range sim.refusedAttempts {
			attempts += n
		}
		t.Logf("%d sent after the crash, %d refused, %d attempts at crashed engines by %d gateways, the last %v after the crash", sent, refused, attempts, len(sim.refusedAttempts), sim.lastRefusedAttempt-simCrashAt-time.Second)
		require.Zero(t, refused)
	})
}
