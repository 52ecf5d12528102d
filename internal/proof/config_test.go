package proof

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/require"

	"kingcupplank.example/kingcup/engine"
	"kingcupplank.example/kingcup/failure"
	"kingcupplank.example/kingcup/internal/entry"
	"kingcupplank.example/kingcup/internal/standin/tables"
	"kingcupplank.example/kingcup/internal/wire"
	"kingcupplank.example/kingcup/lease"
	innerv1 "kingcupplank.example/kingcup/proto/kingcup/inner/v1"
	kingcupv1 "kingcupplank.example/kingcup/proto/kingcup/v1"
	"kingcupplank.example/kingcup/storage"
)

// changeInput and changeOutput are one configuration change in a history of the head version.
type changeInput struct{ expected uint64 }

type changeOutput struct {
	outcome kingcupv1.Outcome
	version uint64
}

// headRegister models the head version of the configuration. A change is applied only if the head
// is the version that the change expects.
var headRegister = (&porcupine.NondeterministicModel{
	Init: func() []any { return []any{uint64(1)} },
	Step: func(state, input, output any) []any {
		head, in, out := state.(uint64), input.(changeInput), output.(changeOutput)
		applied := in.expected == head
		switch {
		case out.outcome == kingcupv1.Outcome_OUTCOME_ANSWERED && applied && out.version == head+1:
			return []any{head + 1}
		case out.outcome == kingcupv1.Outcome_OUTCOME_NOT_RUN:
			return []any{head}
		case out.outcome == kingcupv1.Outcome_OUTCOME_UNKNOWN && applied:
			return []any{head, head + 1}
		case out.outcome == kingcupv1.Outcome_OUTCOME_UNKNOWN:
			return []any{head}
		}
		return nil
	},
}).ToModel()

func (s *system) change(entry int, expected uint64, id string, weight uint32) changeOutput {
	resp, err := s.operator(entry).Apply(s.t.Context(), &kingcupv1.ApplyRequest{
		ExpectedVersion: expected, ChangeId: id, Puts: []*kingcupv1.Row{teamRow(team, weight)},
	})
	if err != nil {
		return changeOutput{outcome: failure.FromError(err).Outcome}
	}
	return changeOutput{kingcupv1.Outcome_OUTCOME_ANSWERED, resp.GetVersion()}
}

// watchVersions polls the configuration version of every process until stop is closed. It fails
// the test if a version decreases.
func (s *system) watchVersions(stop <-chan struct{}) {
	last := make(map[string]uint64)
	note := func(name string, v uint64) {
		if v < last[name] {
			s.t.Errorf("%s went from version %d back to %d", name, last[name], v)
		}
		last[name] = v
	}
	for {
		for i, e := range s.entries {
			note(s.entryOptions[i].Name, e.Sync.Replica().Version())
		}
		for _, n := range s.backendServers {
			note(n.opts.Name, n.agent.Sync.Replica().Version())
		}
		select {
		case <-stop:
			return
		case <-time.After(10 * time.Millisecond):
		}
	}
}

func raceChanges(t *testing.T, o setup) (ops []porcupine.Operation, accepted int, head uint64) {
	s := newSystem(t, o)
	defer s.close()
	stop := make(chan struct{})
	var watch sync.WaitGroup
	watch.Go(func() { s.watchVersions(stop) })
	rec := &recorder{began: time.Now()}
	var wg sync.WaitGroup
	for c := range 6 {
		wg.Go(func() {
			for r := range 6 {
				expected := s.entries[c%2].Sync.Replica().Version()
				id := fmt.Sprintf("c%d-%d", c, r)
				rec.record(c, changeInput{expected}, func() any { return s.change(c%2, expected, id, uint32(1+c)) })
				time.Sleep(time.Duration(s.random.Uint64()%uint64(30)) * time.Millisecond)
			}
		})
	}
	s.table.LoseCommitResponses(1, 2)
	wg.Wait()
	time.Sleep(7 * time.Second)
	close(stop)
	watch.Wait()
	for _, op := range rec.ops {
		if op.Output.(changeOutput).outcome == kingcupv1.Outcome_OUTCOME_ANSWERED {
			accepted++
		}
	}
	return rec.ops, accepted, s.entries[0].Sync.Replica().Version()
}

// Six operators change the configuration concurrently at two entries while responses to commits
// are lost. The history must be linearizable as a compare-and-swap register, the version of each
// process must never decrease, and each accepted change must be one version.
func TestConfigurationHistory(t *testing.T) {
	for seed := range uint64(5) {
		inVirtualTime(t, func(t *testing.T) {
			ops, accepted, head := raceChanges(t, setup{entries: 2, servers: 2, seed: seed})
			require.True(t, porcupine.CheckOperations(headRegister, ops))
			require.NotZero(t, accepted)
			require.GreaterOrEqual(t, head, uint64(1+accepted))
		})
	}
}

// The check above must detect a table that ignores the conditions of commits.
func TestConfigurationHistoryCatchesBrokenCommits(t *testing.T) {
	caught := false
	for seed := range uint64(5) {
		inVirtualTime(t, func(t *testing.T) {
			ops, _, _ := raceChanges(t, setup{
				entries: 2, servers: 2, seed: seed,
				table: func(in *tables.Table) storage.Table { return unconditionalTable{in} },
			})
			caught = caught || !porcupine.CheckOperations(headRegister, ops)
		})
	}
	require.True(t, caught)
}

// An entry accepts a change and is killed, and the store goes down at the same moment. All other
// processes must apply the change within seven seconds. They get it from the processes that had
// confirmed it before it was accepted.
func TestAcceptedSurvivesEntryAndStore(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		s := newSystem(t, setup{entries: 3, servers: 3})
		defer s.close()
		resp, err := s.operator(0).Apply(t.Context(), &kingcupv1.ApplyRequest{ChangeId: "x", Puts: []*kingcupv1.Row{teamRow(team, 9)}})
		require.NoError(t, err)
		require.True(t, resp.GetSpread())
		s.table.SetOutage(true)
		s.killEntry(0)
		time.Sleep(7 * time.Second)
		for _, e := range s.entries[1:] {
			require.Equal(t, uint32(9), e.Sync.Replica().State().Team(team).GetWeight())
		}
		for _, n := range s.backendServers {
			require.Equal(t, uint32(9), n.agent.Sync.Replica().State().Team(team).GetWeight())
		}
	})
}

// An agent restarts while the store is down. It must apply the version that its peers have, not an
// older one, and serve requests.
func TestRestartInOutageTakesPeersVersion(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		s := newSystem(t, setup{entries: 2, servers: 2})
		defer s.close()
		require.Equal(t, kingcupv1.Outcome_OUTCOME_ANSWERED, s.change(0, 0, "x", 5).outcome)
		version := s.entries[0].Sync.Replica().Version()
		time.Sleep(time.Second)
		s.table.SetOutage(true)
		s.killAgent(0)
		s.startAgent(s.backendServers[0])
		time.Sleep(7 * time.Second)
		require.Equal(t, version, s.backendServers[0].agent.Sync.Replica().Version())
		got, done := s.generate(s.client(noRetries), request("in-outage", 10))
		<-done
		requireTokenCount(t, got, 10)
	})
}

// requireTokenCount checks a stream of an engine that does not resume. Only the number of its tokens
// is known.
func requireTokenCount(t *testing.T, s *observedStream, n int) {
	t.Helper()
	require.NoError(t, s.err)
	require.Len(t, s.tokens, n)
}

// An entry is disconnected from the store and all peers and may miss changes. It must become
// unready within ConfigStale and refuse requests as not run.
func TestCutOffEntryStopsBeingReady(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		s := newSystem(t, setup{entries: 1, servers: 2})
		defer s.close()
		require.True(t, s.entries[0].Entry.Ready())
		s.table.SetOutage(true)
		for _, n := range s.backendServers {
			s.net.Disconnect(n.opts.InnerAddress)
		}
		time.Sleep(25 * time.Second)
		require.False(t, s.entries[0].Entry.Ready())
		got, done := s.generate(s.client(noRetries, 0), request("r", 5))
		<-done
		require.True(t, failure.IsNotRun(got.err))
	})
}

// order sends an order directly to an agent, as a lease holder does that was paused and continues.
func (s *system) order(server int, term uint64, model string) error {
	sess, err := wire.Dial(s.t.Context(), s.net, s.backendServers[server].opts.InnerAddress, wire.Identity{Name: "paused"})
	require.NoError(s.t, err)
	defer sess.Close()
	st, _, err := sess.Open(&innerv1.Open{Kind: &innerv1.Open_Order{Order: &innerv1.Order{
		Term: term, DeadlineMs: 5000,
		Request: &kingcupv1.OrderRequest{Verb: kingcupv1.OrderVerb_ORDER_VERB_LOAD, Model: model},
	}}})
	require.NoError(s.t, err)
	defer st.Close()
	reply := &innerv1.Reply{}
	require.NoError(s.t, st.Recv(reply))
	if f := reply.GetFailure(); f != nil {
		return failure.FromProto(f)
	}
	return nil
}

func requireRisingTerms(t *testing.T, orders []engine.Order) {
	t.Helper()
	for i := 1; i < len(orders); i++ {
		require.GreaterOrEqual(t, orders[i].Term, orders[i-1].Term, "an order with an old term reached the engine")
	}
}

// A lease holder is paused until its lease has expired. Another one sends an order, and the agent
// restarts. Then the first one continues and sends its order, which must not reach the engine,
// whether the engine checks terms or not.
func TestStaleOrderIsRejected(t *testing.T) {
	for _, checks := range []bool{true, false} {
		t.Run(fmt.Sprintf("engine checks %v", checks), func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T) {
				s := newSystem(t, setup{entries: 2, servers: 1, checksTerm: checks})
				defer s.close()
				paused, err := lease.NewManager(s.table, "paused", 5*time.Second).Acquire(t.Context(), entry.OrderLeaseName("server-0"))
				require.NoError(t, err)
				time.Sleep(6 * time.Second)
				require.False(t, paused.Valid(time.Now()))
				_, err = s.operator(1).Order(t.Context(), &kingcupv1.OrderRequest{BackendServer: "server-0", Verb: kingcupv1.OrderVerb_ORDER_VERB_LOAD, Model: "new"})
				require.NoError(t, err)
				s.killAgent(0)
				s.startAgent(s.backendServers[0])
				err = s.order(0, paused.Term, "old")
				require.Equal(t, kingcupv1.Reason_REASON_FENCED, failure.FromError(err).Reason)
				requireRisingTerms(t, s.backendServers[0].engine.current().Orders())
			})
		})
	}
}

// The table applies a change and the response is lost. The operator must get the response that
// its change was accepted, and the change must be exactly one version.
func TestLostChangeResponse(t *testing.T) {
	for _, lost := range []struct{ before, after int }{{0, 1}, {1, 0}, {1, 2}} {
		inVirtualTime(t, func(t *testing.T) {
			s := newSystem(t, setup{entries: 2, servers: 1})
			defer s.close()
			before := s.entries[0].Sync.Replica().Version()
			s.table.LoseCommitResponses(lost.before, lost.after)
			out := s.change(0, before, "lost", 3)
			require.Equal(t, changeOutput{kingcupv1.Outcome_OUTCOME_ANSWERED, before + 1}, out)
			time.Sleep(7 * time.Second)
			require.Equal(t, before+1, s.entries[1].Sync.Replica().Version())
		})
	}
}

// An entry commits a change while all links to other failure domains are down. It must report the
// change as not yet spread. Once the links are restored, all processes must apply the change
// within seven seconds.
func TestSpreadIsReportedCorrectly(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		s := newSystem(t, setup{entries: 1, servers: 3})
		defer s.close()
		var others []string
		for _, n := range s.backendServers {
			if n.opts.FailureDomain != domains[0] {
				others = append(others, n.opts.InnerAddress)
				s.net.Disconnect(n.opts.InnerAddress)
			}
		}
		resp, err := s.operator(0).Apply(t.Context(), &kingcupv1.ApplyRequest{ChangeId: "x", Puts: []*kingcupv1.Row{teamRow(team, 9)}})
		require.NoError(t, err)
		require.False(t, resp.GetSpread())
		for _, address := range others {
			s.net.Restore(address)
		}
		time.Sleep(7 * time.Second)
		for _, n := range s.backendServers {
			require.Equal(t, resp.GetVersion(), n.agent.Sync.Replica().Version(), n.opts.Name)
		}
	})
}
