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
	"kingcupplank.example/kingcup/intake"
	"kingcupplank.example/kingcup/internal/standin/tables"
	"kingcupplank.example/kingcup/internal/wire"
	innerv1 "kingcupplank.example/kingcup/proto/kingcup/inner/v1"
	kingcupv1 "kingcupplank.example/kingcup/proto/kingcup/v1"
	"kingcupplank.example/kingcup/storage"
)

func (s *system) callNonIdempotent(entry int, id string) (*kingcupv1.CallResponse, error) {
	return s.client(noRetries, entry).Call(s.t.Context(), &kingcupv1.CallRequest{
		Team: team, RequestId: id, Service: service, NonIdempotent: true, Body: []byte("baler " + id),
	})
}

// The table applies a claim and the response is lost. The call must run once and its caller must get
// the response, because the entry reads the claim back and recognizes its own nonce.
func TestLostClaimResponse(t *testing.T) {
	for _, lost := range []struct{ before, after int }{{0, 1}, {1, 0}, {2, 2}} {
		t.Run(fmt.Sprint(lost), func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T) {
				s := newSystem(t, setup{entries: 2, servers: 1})
				defer s.close()
				s.table.LoseCommitResponses(lost.before, lost.after)
				resp, err := s.callNonIdempotent(0, "slot")
				require.NoError(t, err)
				require.False(t, resp.GetReplayed())
				require.Equal(t, 1, s.service.RunCount(team, "slot"))
			})
		})
	}
}

// The service runs a call and the response is lost. The caller must get the outcome "unknown". It
// retries at another entry, and the call must not run again.
func TestLostServiceResponse(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		s := newSystem(t, setup{entries: 2, servers: 1})
		defer s.close()
		s.service.LoseResponses(1)
		for entry := range 2 {
			_, err := s.callNonIdempotent(entry, "slot")
			require.Equal(t, kingcupv1.Outcome_OUTCOME_UNKNOWN, failure.FromError(err).Outcome)
		}
		require.Equal(t, 1, s.service.RunCount(team, "slot"))
	})
}

// An entry is killed after it has dispatched a call. The caller retries at the other entry. The
// call must run exactly once, and the retry must not get the outcome "not run".
func TestEntryKilledAfterDispatch(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		s := newSystem(t, setup{entries: 2, servers: 1})
		defer s.close()
		inside, proceed := make(chan struct{}), make(chan struct{})
		var first sync.Once
		s.service.SetBeforeCall(func() { first.Do(func() { close(inside) }); <-proceed })
		done := make(chan error, 1)
		go func() { _, err := s.callNonIdempotent(0, "slot"); done <- err }()
		<-inside
		var killed sync.WaitGroup
		killed.Go(func() { s.killEntry(0) })
		time.Sleep(time.Second)
		_, err := s.callNonIdempotent(1, "slot")
		require.Equal(t, kingcupv1.Outcome_OUTCOME_UNKNOWN, failure.FromError(err).Outcome)
		close(proceed)
		require.Equal(t, kingcupv1.Outcome_OUTCOME_UNKNOWN, failure.FromError(<-done).Outcome)
		killed.Wait()
		time.Sleep(time.Second)
		require.Equal(t, 1, s.service.RunCount(team, "slot"))
	})
}

// While the store is down, a non-idempotent call must be refused as not run, immediately and with
// a retry-after time, and must not run.
func TestStoreOutageRefusesClaims(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		s := newSystem(t, setup{entries: 2, servers: 1})
		defer s.close()
		s.table.SetOutage(true)
		began := time.Now()
		_, err := s.callNonIdempotent(0, "slot")
		require.True(t, failure.IsNotRun(err))
		require.NotZero(t, failure.FromError(err).RetryAfter)
		require.Less(t, time.Since(began), 100*time.Millisecond)
		require.Zero(t, s.service.RunCount(team, "slot"))
		s.table.SetOutage(false)
		_, err = s.callNonIdempotent(0, "slot")
		require.NoError(t, err)
	})
}

// startFakeAgent replaces an agent by a server that sends heartbeats and passes every other stream
// to handle.
func (s *system) startFakeAgent(server int, handle func(open *innerv1.Open, st *wire.Stream)) {
	n := s.backendServers[server]
	s.killAgent(server)
	l, err := s.net.Listen(n.opts.InnerAddress)
	require.NoError(s.t, err)
	srv := wire.NewServer(l, func(ctx context.Context, open *innerv1.Open, st *wire.Stream) {
		if open.GetWatch() == nil {
			handle(open, st)
			return
		}
		for ctx.Err() == nil {
			beat := &innerv1.Heartbeat{ConfigVersion: s.entries[0].Sync.Replica().Version(), Models: []string{model, service}}
			if st.Send(&innerv1.Reply{Kind: &innerv1.Reply_Heartbeat{Heartbeat: beat}}) != nil {
				return
			}
			time.Sleep(time.Second)
		}
	}, intake.Limits{})
	go srv.Serve()
	s.fakeAgents = append(s.fakeAgents, srv)
}

// An agent receives a request and never responds. The entry cannot know whether the request ran,
// so a non-idempotent caller must get the outcome "unknown", not "not run", and the request must
// not be sent again.
func TestSilentAgentMeansUnknownOutcome(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		s := newSystem(t, setup{entries: 1, servers: 1})
		defer s.close()
		var received atomic.Int64
		s.startFakeAgent(0, func(_ *innerv1.Open, st *wire.Stream) {
			received.Add(1)
			st.Recv(&innerv1.Control{})
		})
		time.Sleep(10 * time.Second)
		req := request("silent", 5)
		req.NonIdempotent = true
		got, done := s.generate(s.client(noRetries, 0), req)
		<-done
		require.Equal(t, kingcupv1.Outcome_OUTCOME_UNKNOWN, failure.FromError(got.err).Outcome, "%v", got.err)
		require.EqualValues(t, 1, received.Load())
	})
}

// The link to an agent stalls with requests in flight. A request that the entry reports as "not
// run" must not run after the link is restored.
func TestNotRunIsTrueAfterStalledLink(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		s := newSystem(t, setup{entries: 1, servers: 1})
		defer s.close()
		var streams []*observedStream
		var dones []<-chan struct{}
		for i := range 20 {
			if i == 10 {
				s.net.Stall("server-0")
			}
			req := request(fmt.Sprintf("r%d", i), 5)
			req.NonIdempotent = i%2 == 0
			got, done := s.generate(s.client(noRetries, 0), req)
			streams, dones = append(streams, got), append(dones, done)
		}
		for _, done := range dones {
			<-done
		}
		s.net.Restore("server-0")
		time.Sleep(time.Minute)
		for i, got := range streams {
			if failure.IsNotRun(got.err) {
				require.Empty(t, s.runs(fmt.Sprintf("r%d", i)))
			}
		}
	})
}

// The engine has memory for one stream. Of ten requests, those that wait in the queue for too long
// are refused. A request that was refused as "not run" must never run at the engine, also not
// later.
func TestNotRunIsTrueForQueuedRequests(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		s := newSystem(t, setup{entries: 2, servers: 1, resumes: true, memory: 300})
		defer s.close()
		s.backendServers[0].opts.Policy.MaxWait = 2 * time.Second
		var streams []*observedStream
		var dones []<-chan struct{}
		for i := range 10 {
			got, done := s.generate(s.client(noRetries), request(fmt.Sprintf("q%d", i), 250))
			streams, dones = append(streams, got), append(dones, done)
		}
		refused := 0
		for _, done := range dones {
			<-done
		}
		time.Sleep(time.Minute)
		for i, got := range streams {
			if got.err == nil {
				continue
			}
			require.True(t, failure.IsNotRun(got.err), "%v", got.err)
			require.NotZero(t, failure.FromError(got.err).RetryAfter)
			require.Empty(t, s.runs(fmt.Sprintf("q%d", i)))
			refused++
		}
		require.NotZero(t, refused, "no request was refused, so the test checks nothing")
	})
}

// Callers disconnect while their requests wait in the queue of a full server. The requests must be
// removed from the queue at once and never run.
func TestDisconnectedCallerLeavesQueue(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		s := newSystem(t, setup{entries: 1, servers: 1, resumes: true, memory: 300})
		defer s.close()
		got, done := s.generate(s.client(noRetries), request("long", 250))
		time.Sleep(100 * time.Millisecond)
		ctx, cancel := context.WithCancel(t.Context())
		var gone sync.WaitGroup
		for i := range 5 {
			gone.Go(func() {
				_, err := s.client(noRetries).Generate(ctx, request(fmt.Sprintf("g%d", i), 250), client.Handler{})
				require.Error(t, err)
			})
		}
		time.Sleep(100 * time.Millisecond)
		require.Equal(t, 5, s.backendServers[0].agent.Agent.Stats().Queued)
		cancel()
		gone.Wait()
		time.Sleep(100 * time.Millisecond)
		require.Zero(t, s.backendServers[0].agent.Agent.Stats().Queued)
		<-done
		requireComplete(t, got, 250)
		time.Sleep(time.Minute)
		for i := range 5 {
			require.Empty(t, s.runs(fmt.Sprintf("g%d", i)))
		}
	})
}

// A team that may have two open streams at a server requests ten. At most two may run at a time.
// The others are refused as not run and must run when they are retried.
func TestTeamStreamLimit(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		s := newSystem(t, setup{entries: 1, servers: 1, resumes: true})
		defer s.close()
		row := teamRow(team, 1)
		row.GetTeam().MaxStreams = 2
		_, err := s.operator(0).Apply(t.Context(), &kingcupv1.ApplyRequest{Puts: []*kingcupv1.Row{row}})
		require.NoError(t, err)
		time.Sleep(2 * time.Second)
		var dones []<-chan struct{}
		var streams []*observedStream
		for i := range 10 {
			got, done := s.generate(s.client(client.Options{MaxRetries: 100}), request(fmt.Sprintf("b%d", i), 50))
			streams, dones = append(streams, got), append(dones, done)
		}
		time.Sleep(500 * time.Millisecond)
		require.Equal(t, 2, s.backendServers[0].agent.Agent.Stats().Running)
		for i, done := range dones {
			<-done
			requireComplete(t, streams[i], 50)
			require.Len(t, s.runs(fmt.Sprintf("b%d", i)), 1)
		}
	})
}

// callInput and callOutput are one call in a history of calls with idempotency keys.
type callInput struct{ key string }

type callOutput struct {
	outcome  kingcupv1.Outcome
	replayed bool
}

// atMostOnce models the outcomes that callers of one key may get: at most one response that is not
// replayed, replayed responses only after the run, and any number of refusals and unknown outcomes.
var atMostOnce = (&porcupine.NondeterministicModel{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		by := make(map[string][]porcupine.Operation)
		for _, op := range history {
			by[op.Input.(callInput).key] = append(by[op.Input.(callInput).key], op)
		}
		var out [][]porcupine.Operation
		for _, ops := range by {
			out = append(out, ops)
		}
		return out
	},
	Init: func() []any { return []any{false} },
	Step: func(state, _, output any) []any {
		ran, out := state.(bool), output.(callOutput)
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

// recorder records the calls of concurrent clients and their outcomes.
type recorder struct {
	mu    sync.Mutex
	began time.Time
	ops   []porcupine.Operation
}

func (r *recorder) record(client int, in any, f func() any) {
	call := time.Since(r.began).Nanoseconds()
	out := f()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ops = append(r.ops, porcupine.Operation{ClientId: client, Input: in, Output: out, Call: call, Return: time.Since(r.began).Nanoseconds()})
}

// raceCalls runs eight callers that repeat calls with four keys at both entries while responses of
// the table and of the service are lost. It returns the history and the highest number of runs of
// one key.
func raceCalls(t *testing.T, o setup) (ops []porcupine.Operation, maxRuns int) {
	s := newSystem(t, o)
	defer s.close()
	rec := &recorder{began: time.Now()}
	const keys, callers, rounds = 4, 8, 6
	var wg sync.WaitGroup
	for c := range callers {
		wg.Go(func() {
			for r := range rounds {
				key := fmt.Sprintf("k%d", (c+r)%keys)
				rec.record(c, callInput{key}, func() any { return s.callForOutcome((c+r)%2, key) })
				time.Sleep(time.Duration(s.random.Uint64()%uint64(20)) * time.Millisecond)
			}
		})
	}
	s.table.LoseCommitResponses(1, 3)
	s.service.LoseResponses(2)
	wg.Wait()
	for k := range keys {
		maxRuns = max(maxRuns, s.service.RunCount(team, fmt.Sprintf("k%d", k)))
	}
	return rec.ops, maxRuns
}

func (s *system) callForOutcome(entry int, key string) callOutput {
	resp, err := s.callNonIdempotent(entry, key)
	if err != nil {
		return callOutput{outcome: failure.FromError(err).Outcome}
	}
	return callOutput{kingcupv1.Outcome_OUTCOME_ANSWERED, resp.GetReplayed()}
}

// Callers repeat non-idempotent calls at two entries concurrently while responses are lost. The
// history must be consistent with at most one run per key.
func TestAtMostOnceHistory(t *testing.T) {
	for seed := range uint64(5) {
		inVirtualTime(t, func(t *testing.T) {
			ops, maxRuns := raceCalls(t, setup{entries: 2, servers: 1, seed: seed})
			require.LessOrEqual(t, maxRuns, 1)
			require.True(t, porcupine.CheckOperations(atMostOnce, ops))
		})
	}
}

// Twenty entries forward their claims to eight of them. Callers repeat calls at the entries while
// responses are lost and an entry that writes claims is killed. The history must be consistent
// with at most one run per key.
func TestAtMostOnceHistoryRouted(t *testing.T) {
	for seed := range uint64(3) {
		inVirtualTime(t, func(t *testing.T) {
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
						rec.record(c, callInput{key}, func() any { return s.callForOutcome(c, key) })
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
			require.True(t, porcupine.CheckOperations(atMostOnce, rec.ops))
			t.Logf("%d calls, %d commits", len(rec.ops), s.table.Counts().Commits-before)
		})
	}
}

// 400 calls in a second at twenty entries must take fewer than 400 transactions, where one for each
// claim and each outcome would be 800. The entries that write claims combine them.
func TestRoutedClaimsShareTransactions(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		s := newSystem(t, setup{entries: 20, servers: 1})
		defer s.close()
		time.Sleep(20 * time.Second)
		before := s.table.Counts().Commits
		const calls = 400
		var wg sync.WaitGroup
		for i := range calls {
			wg.Go(func() {
				_, err := s.callNonIdempotent(i%20, fmt.Sprintf("c%d", i))
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

// Six of twenty entries are stalled, some of which write claims. Calls at the other entries must
// still be answered after one timeout for the unresponsive writer, because the caller's entry then
// writes the claim itself.
func TestStalledClaimWriterIsBypassed(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		s := newSystem(t, setup{entries: 20, servers: 1})
		defer s.close()
		time.Sleep(20 * time.Second)
		for i := 14; i < 20; i++ {
			s.net.Stall(s.entryOptions[i].InnerAddress)
		}
		var wg sync.WaitGroup
		for i := range 28 {
			wg.Go(func() {
				began := time.Now()
				_, err := s.callNonIdempotent(i%14, fmt.Sprintf("c%d", i))
				require.NoError(t, err)
				require.Less(t, time.Since(began), 10*time.Second)
			})
		}
		wg.Wait()
		for i := 14; i < 20; i++ {
			s.net.Restore(s.entryOptions[i].InnerAddress)
		}
		time.Sleep(time.Minute)
		for i := range 28 {
			require.Equal(t, 1, s.service.RunCount(team, fmt.Sprintf("c%d", i)))
		}
	})
}

// unconditionalTable is a table that ignores the conditions of commits.
type unconditionalTable struct{ storage.Table }

func (u unconditionalTable) Commit(ctx context.Context, txn storage.Txn) (uint64, error) {
	txn.Conditions = nil
	return u.Table.Commit(ctx, txn)
}

// The check of TestAtMostOnceHistory must detect claims that are written without a condition.
func TestAtMostOnceHistoryCatchesBrokenClaims(t *testing.T) {
	caught := false
	for seed := range uint64(5) {
		inVirtualTime(t, func(t *testing.T) {
			ops, maxRuns := raceCalls(t, setup{
				entries: 2, servers: 1, seed: seed,
				table: func(in *tables.Table) storage.Table { return unconditionalTable{in} },
			})
			caught = caught || maxRuns > 1 || !porcupine.CheckOperations(atMostOnce, ops)
		})
	}
	require.True(t, caught)
}
