package proof

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/require"

	"kingcupplank.example/kingcup/client"
	"kingcupplank.example/kingcup/failure"
	"kingcupplank.example/kingcup/internal/standin/tables"
	"kingcupplank.example/kingcup/internal/wire"
	innerv1 "kingcupplank.example/kingcup/proto/kingcup/inner/v1"
	kingcupv1 "kingcupplank.example/kingcup/proto/kingcup/v1"
	"kingcupplank.example/kingcup/storage"
)

func (s *system) book(entry int, id string) (*kingcupv1.CallResponse, error) {
	return s.client(once, entry).Call(s.t.Context(), &kingcupv1.CallRequest{
		Team: team, RequestId: id, Service: service, NonIdempotent: true, Body: []byte("baler " + id),
	})
}

// The table applies a claim and loses the answer. The caller must still get the
// answer of its one run: the entry reads its own nonce back.
func TestClaimAnswerLost(t *testing.T) {
	for _, lost := range []struct{ before, after int }{{0, 1}, {1, 0}, {2, 2}} {
		t.Run(fmt.Sprint(lost), func(t *testing.T) {
			virtual(t, func(t *testing.T) {
				s := newSystem(t, setup{entries: 2, servers: 1})
				defer s.close()
				s.table.LoseCommitResponses(lost.before, lost.after)
				resp, err := s.book(0, "slot")
				require.NoError(t, err)
				require.False(t, resp.GetReplayed())
				require.Equal(t, 1, s.service.RunCount(team, "slot"))
			})
		})
	}
}

// The service runs the call and its answer is lost. The caller is told
// "unknown", repeats at another entry, and the call must not run again.
func TestServiceAnswerLost(t *testing.T) {
	virtual(t, func(t *testing.T) {
		s := newSystem(t, setup{entries: 2, servers: 1})
		defer s.close()
		s.service.LoseResponses(1)
		for entry := range 2 {
			_, err := s.book(entry, "slot")
			require.Equal(t, kingcupv1.Outcome_OUTCOME_UNKNOWN, failure.FromError(err).Outcome)
		}
		require.Equal(t, 1, s.service.RunCount(team, "slot"))
	})
}

// A call is under way at one entry, which is killed after the dispatch. The
// caller repeats at the other entry. The call must have run once at most and
// the repeat must not be told that it was not run.
func TestEntryKilledAfterDispatch(t *testing.T) {
	virtual(t, func(t *testing.T) {
		s := newSystem(t, setup{entries: 2, servers: 1})
		defer s.close()
		inside, proceed := make(chan struct{}), make(chan struct{})
		var first sync.Once
		s.service.SetBeforeCall(func() { first.Do(func() { close(inside) }); <-proceed })
		done := make(chan error, 1)
		go func() { _, err := s.book(0, "slot"); done <- err }()
		<-inside
		var killed sync.WaitGroup
		killed.Go(func() { s.killEntry(0) })
		time.Sleep(time.Second)
		_, err := s.book(1, "slot")
		require.Equal(t, kingcupv1.Outcome_OUTCOME_UNKNOWN, failure.FromError(err).Outcome)
		close(proceed)
		require.Equal(t, kingcupv1.Outcome_OUTCOME_UNKNOWN, failure.FromError(<-done).Outcome)
		killed.Wait()
		time.Sleep(time.Second)
		require.Equal(t, 1, s.service.RunCount(team, "slot"))
	})
}

// The store is down. A non-idempotent call must be refused as not run, at once
// and with a time to come back, and must not have run.
func TestStoreOutageRefusesClaims(t *testing.T) {
	virtual(t, func(t *testing.T) {
		s := newSystem(t, setup{entries: 2, servers: 1})
		defer s.close()
		s.table.SetOutage(true)
		began := time.Now()
		_, err := s.book(0, "slot")
		require.True(t, failure.IsNotRun(err))
		require.NotZero(t, failure.FromError(err).RetryAfter)
		require.Less(t, time.Since(began), 100*time.Millisecond)
		require.Zero(t, s.service.RunCount(team, "slot"))
		s.table.SetOutage(false)
		_, err = s.book(0, "slot")
		require.NoError(t, err)
	})
}

// fake serves in place of an agent: it sends heartbeats and answers every other
// stream by f.
func (s *system) fake(node int, f func(open *innerv1.Open, st *wire.Stream)) {
	n := s.nodes[node]
	s.killAgent(node)
	l, err := s.net.Listen(n.opts.InnerAddress)
	require.NoError(s.t, err)
	srv := wire.NewServer(l, func(ctx context.Context, open *innerv1.Open, st *wire.Stream) {
		if open.GetWatch() == nil {
			f(open, st)
			return
		}
		for ctx.Err() == nil {
			beat := &innerv1.Heartbeat{ConfigVersion: s.entries[0].Sync.Replica().Version(), Models: []string{model, service}}
			if st.Send(&innerv1.Reply{Kind: &innerv1.Reply_Heartbeat{Heartbeat: beat}}) != nil {
				return
			}
			time.Sleep(time.Second)
		}
	})
	go srv.Serve()
	s.fakes = append(s.fakes, srv)
}

// An agent takes a request and falls silent. The entry cannot know whether it
// ran, so a non-idempotent caller must be told "unknown", not "not run", and
// the request must not be sent a second time.
func TestSilentAgentIsUnknown(t *testing.T) {
	virtual(t, func(t *testing.T) {
		s := newSystem(t, setup{entries: 1, servers: 1})
		defer s.close()
		var received atomic.Int64
		s.fake(0, func(_ *innerv1.Open, st *wire.Stream) {
			received.Add(1)
			st.Recv(&innerv1.Control{})
		})
		time.Sleep(10 * time.Second)
		req := request("silent", 5)
		req.NonIdempotent = true
		at, done := s.generate(s.client(once, 0), req)
		<-done
		require.Equal(t, kingcupv1.Outcome_OUTCOME_UNKNOWN, failure.FromError(at.err).Outcome, "%v", at.err)
		require.EqualValues(t, 1, received.Load())
	})
}

// The link to an agent stalls, with requests on their way. Whatever the entry
// answers while it cannot know, "not run" must stay true once the link heals.
func TestStalledLinkNeverLiesAboutNotRun(t *testing.T) {
	virtual(t, func(t *testing.T) {
		s := newSystem(t, setup{entries: 1, servers: 1})
		defer s.close()
		var all []*seen
		var waits []<-chan struct{}
		for i := range 20 {
			if i == 10 {
				s.net.Stall("server-0")
			}
			req := request(fmt.Sprintf("r%d", i), 5)
			req.NonIdempotent = i%2 == 0
			at, done := s.generate(s.client(once, 0), req)
			all, waits = append(all, at), append(waits, done)
		}
		for _, done := range waits {
			<-done
		}
		s.net.Restore("server-0")
		time.Sleep(time.Minute)
		for i, at := range all {
			if failure.IsNotRun(at.err) {
				require.Empty(t, s.runs(fmt.Sprintf("r%d", i)))
			}
		}
	})
}

// The engine has room for one stream and ten are asked for with a deadline that
// passes while nine wait. Whoever is told "not run" must not be in the engine's
// log, then or later.
func TestNotRunIsTrueForQueued(t *testing.T) {
	virtual(t, func(t *testing.T) {
		s := newSystem(t, setup{entries: 2, servers: 1, resumes: true, memory: 300})
		defer s.close()
		s.nodes[0].opts.Policy.MaxWait = 2 * time.Second
		var all []*seen
		var waits []<-chan struct{}
		for i := range 10 {
			at, done := s.generate(s.client(once), request(fmt.Sprintf("q%d", i), 250))
			all, waits = append(all, at), append(waits, done)
		}
		refused := 0
		for _, done := range waits {
			<-done
		}
		time.Sleep(time.Minute)
		for i, at := range all {
			if at.err == nil {
				continue
			}
			require.True(t, failure.IsNotRun(at.err), "%v", at.err)
			require.NotZero(t, failure.FromError(at.err).RetryAfter)
			require.Empty(t, s.runs(fmt.Sprintf("q%d", i)))
			refused++
		}
		require.NotZero(t, refused, "the test needs refusals to say anything")
	})
}

// Callers give up while their requests wait in a full server's queue. The requests
// must leave the queue at once and never run.
func TestCallerGoneLeavesTheQueue(t *testing.T) {
	virtual(t, func(t *testing.T) {
		s := newSystem(t, setup{entries: 1, servers: 1, resumes: true, memory: 300})
		defer s.close()
		at, done := s.generate(s.client(once), request("long", 250))
		time.Sleep(100 * time.Millisecond)
		ctx, cancel := context.WithCancel(t.Context())
		var gone sync.WaitGroup
		for i := range 5 {
			gone.Go(func() {
				_, err := s.client(once).Generate(ctx, request(fmt.Sprintf("g%d", i), 250), client.Handler{})
				require.Error(t, err)
			})
		}
		time.Sleep(100 * time.Millisecond)
		require.Equal(t, 5, s.nodes[0].agent.Agent.Stats().Queued)
		cancel()
		gone.Wait()
		time.Sleep(100 * time.Millisecond)
		require.Zero(t, s.nodes[0].agent.Agent.Stats().Queued)
		<-done
		requireWhole(t, at, 250)
		time.Sleep(time.Minute)
		for i := range 5 {
			require.Empty(t, s.runs(fmt.Sprintf("g%d", i)))
		}
	})
}

// A team may have two streams open at a server and asks for ten. At most two may
// run at a time; the others are refused as not run and run when they come back.
func TestStreamBoundOfATeam(t *testing.T) {
	virtual(t, func(t *testing.T) {
		s := newSystem(t, setup{entries: 1, servers: 1, resumes: true})
		defer s.close()
		row := teamRow(team, 1)
		row.GetTeam().MaxStreams = 2
		_, err := s.operator(0).Apply(t.Context(), &kingcupv1.ApplyRequest{Puts: []*kingcupv1.Row{row}})
		require.NoError(t, err)
		time.Sleep(2 * time.Second)
		var waits []<-chan struct{}
		var all []*seen
		for i := range 10 {
			at, done := s.generate(s.client(client.Options{MaxRetries: 100}), request(fmt.Sprintf("b%d", i), 50))
			all, waits = append(all, at), append(waits, done)
		}
		time.Sleep(500 * time.Millisecond)
		require.Equal(t, 2, s.nodes[0].agent.Agent.Stats().Running)
		for i, done := range waits {
			<-done
			requireWhole(t, all[i], 50)
			require.Len(t, s.runs(fmt.Sprintf("b%d", i)), 1)
		}
	})
}

// callIn and callOut are one call in a history of keyed outcomes.
type callIn struct{ key string }

type callOut struct {
	outcome  kingcupv1.Outcome
	replayed bool
}

// keyedOutcomes says what callers of one key may see: at most one fresh answer,
// replays only after the run, and any number of refusals and unknowns.
var keyedOutcomes = (&porcupine.NondeterministicModel{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		by := make(map[string][]porcupine.Operation)
		for _, op := range history {
			by[op.Input.(callIn).key] = append(by[op.Input.(callIn).key], op)
		}
		var out [][]porcupine.Operation
		for _, ops := range by {
			out = append(out, ops)
		}
		return out
	},
	Init: func() []any { return []any{false} },
	Step: func(state, _, output any) []any {
		ran, out := state.(bool), output.(callOut)
		switch {
		case out.outcome == kingcupv1.Outcome_OUTCOME_NOT_RUN:
			return []any{ran}
		case out.outcome == kingcupv1.Outcome_OUTCOME_UNKNOWN && ran:
			return []any{true}
		case out.outcome == kingcupv1.Outcome_OUTCOME_UNKNOWN:
			return []any{false, true}
		case out.replayed == ran:
			return []any{true}
		}
		return nil
	},
}).ToModel()

// recorder notes invocations and answers of concurrent clients.
type recorder struct {
	mu    sync.Mutex
	began time.Time
	ops   []porcupine.Operation
}

func (r *recorder) do(client int, in any, f func() any) {
	call := time.Since(r.began).Nanoseconds()
	out := f()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ops = append(r.ops, porcupine.Operation{ClientId: client, Input: in, Output: out, Call: call, Return: time.Since(r.began).Nanoseconds()})
}

// raceForKeys has eight callers repeat calls for four keys at both entries while
// answers of the table and of the service are lost and an entry is killed, and
// returns the history and the most runs of one key.
func raceForKeys(t *testing.T, o setup) (ops []porcupine.Operation, most int) {
	s := newSystem(t, o)
	defer s.close()
	rec := &recorder{began: time.Now()}
	const keys, callers, rounds = 4, 8, 6
	var wg sync.WaitGroup
	for c := range callers {
		wg.Go(func() {
			for r := range rounds {
				key := fmt.Sprintf("k%d", (c+r)%keys)
				rec.do(c, callIn{key}, func() any { return s.bookOutcome((c+r)%2, key) })
				time.Sleep(time.Duration(s.random.Uint64()%uint64(20)) * time.Millisecond)
			}
		})
	}
	s.table.LoseCommitResponses(1, 3)
	s.service.LoseResponses(2)
	wg.Wait()
	for k := range keys {
		most = max(most, s.service.RunCount(team, fmt.Sprintf("k%d", k)))
	}
	return rec.ops, most
}

func (s *system) bookOutcome(entry int, key string) callOut {
	resp, err := s.book(entry, key)
	if err != nil {
		return callOut{outcome: failure.FromError(err).Outcome}
	}
	return callOut{kingcupv1.Outcome_OUTCOME_ANSWERED, resp.GetReplayed()}
}

// Callers repeat non-idempotent calls at two entries at once while answers are
// lost. The history must be one of a run that happens at most once per key.
func TestAtMostOnceHistory(t *testing.T) {
	for seed := range uint64(5) {
		virtual(t, func(t *testing.T) {
			ops, most := raceForKeys(t, setup{entries: 2, servers: 1, seed: seed})
			require.LessOrEqual(t, most, 1)
			require.True(t, porcupine.CheckOperations(keyedOutcomes, ops))
		})
	}
}

// Twenty entries route their claims to eight. Callers repeat calls at all of them
// while answers are lost, and one writer of claims is killed in between. The
// history must be one of a run that happens at most once per key.
func TestAtMostOnceHistoryRouted(t *testing.T) {
	for seed := range uint64(3) {
		virtual(t, func(t *testing.T) {
			s := newSystem(t, setup{entries: 20, servers: 1, seed: seed})
			defer s.close()
			time.Sleep(20 * time.Second)
			before := s.table.Counts().Commits
			rec := &recorder{began: time.Now()}
			const keys, callers, rounds = 6, 18, 4
			s.table.LoseCommitResponses(1, 3)
			s.service.LoseResponses(2)
			var wg sync.WaitGroup
			for c := range callers {
				wg.Go(func() {
					for r := range rounds {
						key := fmt.Sprintf("k%d", (c+r)%keys)
						rec.do(c, callIn{key}, func() any { return s.bookOutcome(c, key) })
						time.Sleep(time.Duration(s.random.Uint64()%uint64(30)) * time.Millisecond)
					}
				})
			}
			time.Sleep(40 * time.Millisecond)
			s.killEntry(19)
			wg.Wait()
			for k := range keys {
				require.LessOrEqual(t, s.service.RunCount(team, fmt.Sprintf("k%d", k)), 1)
			}
			require.True(t, porcupine.CheckOperations(keyedOutcomes, rec.ops))
			t.Logf("%d calls, %d commits", len(rec.ops), s.table.Counts().Commits-before)
		})
	}
}

// Four hundred calls at twenty entries in a second must take fewer transactions than
// one a claim and one an outcome: the entries that write claims group them.
func TestRoutedClaimsShareTransactions(t *testing.T) {
	virtual(t, func(t *testing.T) {
		s := newSystem(t, setup{entries: 20, servers: 1})
		defer s.close()
		time.Sleep(20 * time.Second)
		before := s.table.Counts().Commits
		const calls = 400
		var wg sync.WaitGroup
		for i := range calls {
			wg.Go(func() {
				_, err := s.book(i%20, fmt.Sprintf("c%d", i))
				require.NoError(t, err)
			})
			time.Sleep(time.Second / calls)
		}
		wg.Wait()
		commits := s.table.Counts().Commits - before
		t.Logf("%d calls in a second, %d commits", calls, commits)
		require.Less(t, commits, uint64(calls))
	})
}

// Six of twenty entries are stalled, writers of claims among them. Calls at the
// others must still be answered, after one wait for the silent writer, because the
// claim is then written from the caller's own entry.
func TestStalledClaimWriterIsPassedBy(t *testing.T) {
	virtual(t, func(t *testing.T) {
		s := newSystem(t, setup{entries: 20, servers: 1})
		defer s.close()
		time.Sleep(20 * time.Second)
		for i := 14; i < 20; i++ {
			s.net.Stall(s.eopts[i].InnerAddress)
		}
		var wg sync.WaitGroup
		for i := range 28 {
			wg.Go(func() {
				began := time.Now()
				_, err := s.book(i%14, fmt.Sprintf("c%d", i))
				require.NoError(t, err)
				require.Less(t, time.Since(began), 10*time.Second)
			})
		}
		wg.Wait()
		for i := 14; i < 20; i++ {
			s.net.Restore(s.eopts[i].InnerAddress)
		}
		time.Sleep(time.Minute)
		for i := range 28 {
			require.Equal(t, 1, s.service.RunCount(team, fmt.Sprintf("c%d", i)))
		}
	})
}

// unconditional is a table that drops the conditions of commits.
type unconditional struct{ storage.Table }

func (u unconditional) Commit(ctx context.Context, txn storage.Txn) (uint64, error) {
	txn.Conditions = nil
	return u.Table.Commit(ctx, txn)
}

// The same race with claims that are not conditional must be caught: the check
// above would otherwise prove nothing.
func TestAtMostOnceHistoryCatchesBrokenClaims(t *testing.T) {
	caught := false
	for seed := range uint64(5) {
		virtual(t, func(t *testing.T) {
			ops, most := raceForKeys(t, setup{
				entries: 2, servers: 1, seed: seed,
				table: func(in *tables.Table) storage.Table { return unconditional{in} },
			})
			caught = caught || most > 1 || !porcupine.CheckOperations(keyedOutcomes, ops)
		})
	}
	require.True(t, caught)
}
