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

// casIn and casOut are one change in a history of the configuration's head.
type casIn struct{ expected uint64 }

type casOut struct {
	outcome kingcupv1.Outcome
	version uint64
}

// headRegister is the configuration's head: a change takes effect only on the
// version that it expects.
var headRegister = (&porcupine.NondeterministicModel{
	Init: func() []any { return []any{uint64(1)} },
	Step: func(state, input, output any) []any {
		head, in, out := state.(uint64), input.(casIn), output.(casOut)
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

func (s *system) change(entry int, expected uint64, id string, weight uint32) casOut {
	resp, err := s.operator(entry).Apply(s.t.Context(), &kingcupv1.ApplyRequest{
		ExpectedVersion: expected, ChangeId: id, Puts: []*kingcupv1.Row{teamRow(team, weight)},
	})
	if err != nil {
		return casOut{outcome: failure.FromError(err).Outcome}
	}
	return casOut{kingcupv1.Outcome_OUTCOME_ANSWERED, resp.GetVersion()}
}

// versions samples the version in force at every process until stop, and fails
// if one falls.
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
			note(s.eopts[i].Name, e.Sync.Replica().Version())
		}
		for _, n := range s.nodes {
			note(n.opts.Name, n.agent.Sync.Replica().Version())
		}
		select {
		case <-stop:
			return
		case <-time.After(10 * time.Millisecond):
		}
	}
}

func raceOperators(t *testing.T, o setup) (ops []porcupine.Operation, accepted int, head uint64) {
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
				rec.do(c, casIn{expected}, func() any { return s.change(c%2, expected, id, uint32(1+c)) })
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
		if op.Output.(casOut).outcome == kingcupv1.Outcome_OUTCOME_ANSWERED {
			accepted++
		}
	}
	return rec.ops, accepted, s.entries[0].Sync.Replica().Version()
}

// Six operators race at two entries while commit answers are lost. The history
// must be one of a register with compare-and-swap, every version at every
// process may only rise, and every accepted change is one version.
func TestConfigurationHistory(t *testing.T) {
	for seed := range uint64(5) {
		virtual(t, func(t *testing.T) {
			ops, accepted, head := raceOperators(t, setup{entries: 2, servers: 2, seed: seed})
			require.True(t, porcupine.CheckOperations(headRegister, ops))
			require.NotZero(t, accepted)
			require.GreaterOrEqual(t, head, uint64(1+accepted))
		})
	}
}

// The same race over a table without conditions must be caught.
func TestConfigurationHistoryCatchesBrokenCommits(t *testing.T) {
	caught := false
	for seed := range uint64(5) {
		virtual(t, func(t *testing.T) {
			ops, _, _ := raceOperators(t, setup{
				entries: 2, servers: 2, seed: seed,
				table: func(in *tables.Table) storage.Table { return unconditional{in} },
			})
			caught = caught || !porcupine.CheckOperations(headRegister, ops)
		})
	}
	require.True(t, caught)
}

// An entry accepts a change; at once the store goes down and the entry dies.
// The change must be in force at every other process within seven seconds, by
// the witnesses that held it when it was accepted.
func TestAcceptedSurvivesEntryAndStore(t *testing.T) {
	virtual(t, func(t *testing.T) {
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
		for _, n := range s.nodes {
			require.Equal(t, uint32(9), n.agent.Sync.Replica().State().Team(team).GetWeight())
		}
	})
}

// Entry and agent restart while the store is down. They must come back with
// the version that their peers hold, not an older one, and serve.
func TestRestartInOutageTakesPeersVersion(t *testing.T) {
	virtual(t, func(t *testing.T) {
		s := newSystem(t, setup{entries: 2, servers: 2})
		defer s.close()
		require.Equal(t, kingcupv1.Outcome_OUTCOME_ANSWERED, s.change(0, 0, "x", 5).outcome)
		version := s.entries[0].Sync.Replica().Version()
		time.Sleep(time.Second)
		s.table.SetOutage(true)
		s.killAgent(0)
		s.startAgent(s.nodes[0])
		time.Sleep(7 * time.Second)
		require.Equal(t, version, s.nodes[0].agent.Sync.Replica().Version())
		at, done := s.generate(s.client(once), request("in-outage", 10))
		<-done
		requireWholeRandom(t, at, 10)
	})
}

// requireWholeRandom checks a stream of an engine that does not resume.
func requireWholeRandom(t *testing.T, s *seen, n int) {
	t.Helper()
	require.NoError(t, s.err)
	require.Len(t, s.tokens, n)
}

// An entry is cut off from the store and all peers. It cannot know of newer
// changes, so within the bound it must stop being ready and refuse as not run.
func TestCutOffEntryStopsBeingReady(t *testing.T) {
	virtual(t, func(t *testing.T) {
		s := newSystem(t, setup{entries: 1, servers: 2})
		defer s.close()
		require.True(t, s.entries[0].Entry.Ready())
		s.table.SetOutage(true)
		for _, n := range s.nodes {
			s.net.Disconnect(n.opts.InnerAddress)
		}
		time.Sleep(25 * time.Second)
		require.False(t, s.entries[0].Entry.Ready())
		at, done := s.generate(s.client(once, 0), request("r", 5))
		<-done
		require.True(t, failure.IsNotRun(at.err))
	})
}

// orders sends one order past the entries, as a paused lease holder does when it
// wakes up.
func (s *system) order(node int, term uint64, model string) error {
	sess, err := wire.Dial(s.t.Context(), s.net, s.nodes[node].opts.InnerAddress, wire.Identity{Name: "paused"})
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
		require.GreaterOrEqual(t, orders[i].Term, orders[i-1].Term, "an old order reached the engine")
	}
}

// A lease holder is paused past its lease; another one orders; the agent is
// restarted; then the first one wakes up and sends its order. The order must
// not reach the engine, whether the engine checks terms or ignores them.
func TestStaleOrderIsHarmless(t *testing.T) {
	for _, checks := range []bool{true, false} {
		t.Run(fmt.Sprintf("engine checks %v", checks), func(t *testing.T) {
			virtual(t, func(t *testing.T) {
				s := newSystem(t, setup{entries: 2, servers: 1, checksTerm: checks})
				defer s.close()
				paused, err := lease.NewManager(s.table, "paused", 5*time.Second).Acquire(t.Context(), entry.OrderLeaseName("server-0"))
				require.NoError(t, err)
				time.Sleep(6 * time.Second)
				require.False(t, paused.Valid(time.Now()))
				_, err = s.operator(1).Order(t.Context(), &kingcupv1.OrderRequest{BackendServer: "server-0", Verb: kingcupv1.OrderVerb_ORDER_VERB_LOAD, Model: "new"})
				require.NoError(t, err)
				s.killAgent(0)
				s.startAgent(s.nodes[0])
				err = s.order(0, paused.Term, "old")
				require.Equal(t, kingcupv1.Reason_REASON_FENCED, failure.FromError(err).Reason)
				requireRisingTerms(t, s.nodes[0].engine.get().Orders())
			})
		})
	}
}

// The table applies a change and loses the answer. The operator must be told
// that its own change was accepted, and the change must be one version.
func TestChangeAnswerLost(t *testing.T) {
	for _, lost := range []struct{ before, after int }{{0, 1}, {1, 0}, {1, 2}} {
		virtual(t, func(t *testing.T) {
			s := newSystem(t, setup{entries: 2, servers: 1})
			defer s.close()
			before := s.entries[0].Sync.Replica().Version()
			s.table.LoseCommitResponses(lost.before, lost.after)
			out := s.change(0, before, "lost", 3)
			require.Equal(t, casOut{kingcupv1.Outcome_OUTCOME_ANSWERED, before + 1}, out)
			time.Sleep(7 * time.Second)
			require.Equal(t, before+1, s.entries[1].Sync.Replica().Version())
		})
	}
}

// Every link out of the entry's failure domain is cut when it commits a change.
// It must say that the change is not yet spread; once the links heal it must be
// in force everywhere within seven seconds.
func TestSpreadIsHonest(t *testing.T) {
	virtual(t, func(t *testing.T) {
		s := newSystem(t, setup{entries: 1, servers: 3})
		defer s.close()
		var others []string
		for _, n := range s.nodes {
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
		for _, n := range s.nodes {
			require.Equal(t, resp.GetVersion(), n.agent.Sync.Replica().Version(), n.opts.Name)
		}
	})
}
