// Package proof tests the guarantees of the whole system under injected faults. Most tests run all
// components in one process in virtual time and check the history of concurrent requests. The
// TestProcess tests run the programs as separate processes.
package proof

import (
	"bytes"
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"kingcupplank.example/kingcup/client"
	"kingcupplank.example/kingcup/engine"
	"kingcupplank.example/kingcup/failure"
	"kingcupplank.example/kingcup/internal/standin/engines"
	"kingcupplank.example/kingcup/internal/wire"
	innerv1 "kingcupplank.example/kingcup/proto/kingcup/inner/v1"
	kingcupv1 "kingcupplank.example/kingcup/proto/kingcup/v1"
)

// observedStream records what one caller received of one generation.
type observedStream struct {
	mu      sync.Mutex
	tokens  [][]byte
	servers []string
	// longest is the longest time between two tokens.
	longest time.Duration
	last    time.Time
	res     client.Result
	err     error
}

func (s *observedStream) addServer(server string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.servers = append(s.servers, server)
}

func (s *observedStream) add(t *testing.T, tok client.Token) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if uint64(len(s.tokens)) != tok.Index {
		t.Errorf("token %d received, %d expected", tok.Index, len(s.tokens))
	}
	s.tokens = append(s.tokens, append([]byte(nil), tok.Text...))
	if !s.last.IsZero() {
		s.longest = max(s.longest, time.Since(s.last))
	}
	s.last = time.Now()
}

// server returns the backend server that runs the generation now.
func (s *observedStream) server() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.servers[len(s.servers)-1]
}

func (s *observedStream) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.tokens)
}

// generate starts a generation in the background. The channel is closed when its caller has the final
// result.
func (s *system) generate(c *client.Client, req *kingcupv1.GenerateRequest) (*observedStream, <-chan struct{}) {
	out, done := &observedStream{}, make(chan struct{})
	go func() {
		defer close(done)
		out.res, out.err = c.Generate(s.t.Context(), req, client.Handler{
			Started: func(_, server string) { out.addServer(server) },
			Token:   func(t client.Token) { out.add(s.t, t) },
		})
	}()
	return out, done
}

func request(id string, tokens int) *kingcupv1.GenerateRequest {
	return &kingcupv1.GenerateRequest{Team: team, RequestId: id, Model: model, Prompt: fmt.Appendf(nil, "tokens=%d plan %s", tokens, id)}
}

// checkComplete returns an error unless the caller received exactly the n tokens that an engine
// generates for this generation.
func checkComplete(s *observedStream, n int) error {
	if s.err != nil {
		return s.err
	}
	if len(s.tokens) != n {
		return errors.Errorf("got %d tokens, want %d", len(s.tokens), n)
	}
	return checkSameGeneration(s)
}

// checkSameGeneration returns an error if a received token is not the one that an engine generates
// at that index for this generation.
func checkSameGeneration(s *observedStream) error {
	for i, text := range s.tokens {
		if !bytes.Equal(engines.ExpectedToken(s.res.GenerationID, i), text) {
			return errors.Errorf("token %d is of another generation", i)
		}
	}
	return nil
}

func requireComplete(t *testing.T, s *observedStream, n int) {
	t.Helper()
	require.NoError(t, checkComplete(s, n))
}

// checkComplete must detect a missing token, a duplicate token and tokens of another generation.
func TestStreamCheckerCatchesBrokenStreams(t *testing.T) {
	whole := func(id string) *observedStream {
		s := &observedStream{res: client.Result{GenerationID: id}}
		for i := range 10 {
			s.tokens = append(s.tokens, engines.ExpectedToken(id, i))
		}
		return s
	}
	require.NoError(t, checkComplete(whole("a"), 10))
	missing, doubled, spliced := whole("a"), whole("a"), whole("a")
	missing.tokens = append(missing.tokens[:4:4], missing.tokens[5:]...)
	doubled.tokens[5] = doubled.tokens[4]
	copy(spliced.tokens[5:], whole("b").tokens[5:])
	for _, broken := range []*observedStream{missing, doubled, spliced} {
		require.Error(t, checkComplete(broken, 10))
	}
}

// waitForThird waits until the caller has received a third of the tokens.
func waitForThird(s *observedStream, tokens int) {
	for s.count() < tokens/3 {
		time.Sleep(10 * time.Millisecond)
	}
}

// During a stream of 300 tokens a component on its path crashes or a link fails. The caller must get
// each token once, in order and from one generation. This works because buffered tokens are numbered
// and every entry can find the stream.
func TestStreamSurvives(t *testing.T) {
	const tokens = 300
	faults := map[string]func(s *system, got *observedStream){
		"entry killed": func(s *system, got *observedStream) {
			s.killEntry(0)
		},
		"entry killed and agent killed": func(s *system, got *observedStream) {
			i := s.serverIndex(got.server())
			s.killEntry(0)
			s.killAgent(i)
			s.startAgent(s.backendServers[i])
		},
		"agent killed and restarted": func(s *system, got *observedStream) {
			i := s.serverIndex(got.server())
			s.killAgent(i)
			time.Sleep(time.Second)
			s.startAgent(s.backendServers[i])
		},
		"agent killed twice": func(s *system, got *observedStream) {
			i := s.serverIndex(got.server())
			for range 2 {
				s.killAgent(i)
				time.Sleep(500 * time.Millisecond)
				s.startAgent(s.backendServers[i])
				time.Sleep(500 * time.Millisecond)
			}
		},
		"engine killed": func(s *system, got *observedStream) {
			s.killEngine(s.serverIndex(got.server()))
		},
		"engine killed twice": func(s *system, got *observedStream) {
			i := s.serverIndex(got.server())
			s.killEngine(i)
			time.Sleep(700 * time.Millisecond)
			s.killEngine(i)
		},
		"server lost for good": func(s *system, got *observedStream) {
			i := s.serverIndex(got.server())
			s.killAgent(i)
			s.killEngine(i)
		},
		"link cut and healed": func(s *system, got *observedStream) {
			name := got.server()
			s.net.Disconnect(name)
			time.Sleep(time.Second)
			s.net.Restore(name)
		},
		"link stalled and healed": func(s *system, got *observedStream) {
			name := got.server()
			s.net.Stall(name)
			time.Sleep(2 * time.Second)
			s.net.Restore(name)
		},
		"link stalled for long": func(s *system, got *observedStream) {
			s.net.Stall(got.server())
			time.Sleep(40 * time.Second)
			s.net.Restore(got.server())
		},
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T) {
				s := newSystem(t, setup{entries: 2, servers: 3, resumes: true})
				defer s.close()
				c := s.client(client.DefaultOptions())
				// A client sends its first request to its second entry. Another request before
				// it makes the observed stream go to entry 0.
				_, warm := s.generate(c, request("warm", 1))
				<-warm
				got, done := s.generate(c, request("r1", tokens))
				waitForThird(got, tokens)
				fault(s, got)
				<-done
				requireComplete(t, got, tokens)
				t.Logf("longest time between two tokens: %v", got.longest)
			})
		})
	}
}

// An engine that cannot resume generations crashes during one. The caller must get a typed failure
// after a part of the tokens, never a response that is composed of two generations.
func TestNeverSplicesGenerations(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		s := newSystem(t, setup{entries: 2, servers: 3, resumes: false})
		defer s.close()
		got, done := s.generate(s.client(client.DefaultOptions()), request("r1", 300))
		waitForThird(got, 300)
		s.killEngine(s.serverIndex(got.server()))
		<-done
		require.Error(t, got.err)
		f := failure.FromError(got.err)
		require.Equal(t, kingcupv1.Outcome_OUTCOME_UNKNOWN, f.Outcome)
		require.Less(t, len(got.tokens), 300)
	})
}

// Many callers stream concurrently through both entries while an agent is killed. Every caller must
// get the complete tokens of its own generation.
func TestConcurrentStreamsAreNotMixed(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		s := newSystem(t, setup{entries: 2, servers: 2, resumes: true})
		defer s.close()
		c := s.client(client.DefaultOptions())
		const callers = 20
		var streams []*observedStream
		var dones []<-chan struct{}
		for i := range callers {
			got, done := s.generate(c, request(fmt.Sprintf("r%d", i), 50+7*i))
			streams, dones = append(streams, got), append(dones, done)
		}
		time.Sleep(500 * time.Millisecond)
		s.killAgent(0)
		s.startAgent(s.backendServers[0])
		ids := make(map[string]bool)
		for i, done := range dones {
			<-done
			requireComplete(t, streams[i], 50+7*i)
			require.False(t, ids[streams[i].res.GenerationID], "two callers share a generation")
			ids[streams[i].res.GenerationID] = true
		}
	})
}

// An agent is drained while streams run and new requests arrive. From then on no request may start
// there, the streams in progress must be completed, and later requests must go to other servers,
// although the platform's VM list does not show the drain yet.
func TestLeavingServerGetsNoNewWork(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		s := newSystem(t, setup{entries: 2, servers: 2, resumes: true})
		defer s.close()
		c := s.client(client.DefaultOptions())
		var streams []*observedStream
		var dones []<-chan struct{}
		ask := func(n int) {
			for range n {
				got, done := s.generate(c, request(fmt.Sprintf("r%d", len(streams)), 100))
				streams, dones = append(streams, got), append(dones, done)
			}
		}
		ask(10)
		time.Sleep(300 * time.Millisecond)
		_, err := s.operator(0).Drain(t.Context(), &kingcupv1.DrainRequest{BackendServer: "server-0"})
		require.NoError(t, err)
		started := len(s.backendServers[0].engine.log())
		for range 10 {
			ask(3)
			time.Sleep(100 * time.Millisecond)
		}
		for i, done := range dones {
			<-done
			requireComplete(t, streams[i], 100)
		}
		require.Len(t, s.backendServers[0].engine.log(), started, "a request started after the drain")
	})
}

// Under load, an entry and an agent are shut down, each twice. Every stream in progress must be
// completed first, and new requests must be refused as not run. The engines cannot resume a
// generation elsewhere, so an aborted stream would be detected.
func TestShutdownCompletesStreams(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		s := newSystem(t, setup{entries: 2, servers: 2})
		defer s.close()
		var streams []*observedStream
		var dones []<-chan struct{}
		for i := range 12 {
			got, done := s.generate(s.client(noRetries, 0), request(fmt.Sprintf("r%d", i), 200))
			streams, dones = append(streams, got), append(dones, done)
		}
		time.Sleep(time.Second)
		left := make(chan int, 4)
		for range 2 {
			go func() { left <- s.entries[0].Shutdown(context.Background()) }()
			go func() { left <- s.backendServers[0].agent.Shutdown(context.Background()) }()
		}
		time.Sleep(100 * time.Millisecond)
		late, refused := s.generate(s.client(noRetries, 0), request("late", 5))
		<-refused
		require.True(t, failure.IsNotRun(late.err), "%v", late.err)
		require.Empty(t, s.runs("late"))
		for range 4 {
			require.Zero(t, <-left)
		}
		for i, done := range dones {
			select {
			case <-done:
			case <-time.After(100 * time.Millisecond):
				t.Fatal("shutdown returned before the caller had its answer")
			}
			requireTokenCount(t, streams[i], 200)
		}
	})
}

// An agent sends overlapping batches of tokens, as happens when an entry has attached to a stream
// twice. The caller must get each token once.
func TestDuplicateTokensAreDropped(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		s := newSystem(t, setup{entries: 1, servers: 1, resumes: true})
		defer s.close()
		s.startFakeAgent(0, func(open *innerv1.Open, st *wire.Stream) {
			id := open.GetStart().GetGenerationId()
			st.Send(&innerv1.Reply{Kind: &innerv1.Reply_Accepted{Accepted: &innerv1.Accepted{GenerationId: id}}})
			digest := engine.NewDigest()
			for first := 0; first < 30; first += 5 {
				run := &kingcupv1.Tokens{FirstIndex: uint64(max(0, first-5)), Attempt: 1}
				for i := max(0, first-5); i < first+5; i++ {
					run.Texts = append(run.Texts, engines.ExpectedToken(id, i))
				}
				st.Send(&innerv1.Reply{Kind: &innerv1.Reply_Tokens{Tokens: run}})
			}
			for i := range 30 {
				digest.Add(engines.ExpectedToken(id, i))
			}
			st.Send(&innerv1.Reply{Kind: &innerv1.Reply_End{End: &kingcupv1.End{Tokens: 30, Digest: digest.Sum()}}})
		})
		time.Sleep(10 * time.Second)
		got, done := s.generate(s.client(noRetries), request("doubled", 30))
		<-done
		requireComplete(t, got, 30)
	})
}

// A server is drained while most of its requests wait in its queue. The queued requests are returned
// as not run, and each must run exactly once, at the other server.
func TestQueuedRequestsRunOnceAfterLeave(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		s := newSystem(t, setup{entries: 2, servers: 2, resumes: true, memory: 300})
		defer s.close()
		var streams []*observedStream
		var dones []<-chan struct{}
		for i := range 12 {
			got, done := s.generate(s.client(client.Options{MaxRetries: 20}), request(fmt.Sprintf("r%d", i), 100))
			streams, dones = append(streams, got), append(dones, done)
		}
		time.Sleep(200 * time.Millisecond)
		require.NotZero(t, s.backendServers[0].agent.Agent.Stats().Queued, "no request is queued, so the test checks nothing")
		_, err := s.operator(0).Drain(t.Context(), &kingcupv1.DrainRequest{BackendServer: "server-0"})
		require.NoError(t, err)
		for i, done := range dones {
			<-done
			requireComplete(t, streams[i], 100)
			require.Len(t, s.freshRuns(fmt.Sprintf("r%d", i)), 1)
		}
	})
}

// An agent is killed and restarted while its engine, which cannot resume a generation from a prefix,
// continues the stream. The new agent must find the stream at the engine, and the caller must get
// it completely from this single run.
func TestAgentRestartKeepsEngineStreams(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		s := newSystem(t, setup{entries: 1, servers: 1, resumes: false})
		defer s.close()
		got, done := s.generate(s.client(noRetries), request("kept", 200))
		waitForThird(got, 200)
		s.killAgent(0)
		time.Sleep(time.Second)
		s.startAgent(s.backendServers[0])
		<-done
		requireTokenCount(t, got, 200)
		require.Len(t, s.runs("kept"), 1)
	})
}

// The link to an agent stalls: nothing arrives and no operation fails. The entry tries a second
// connection, which fails too, and then closes the stalled one. The caller must get its next token
// within ten seconds.
func TestStalledLinkIsReplacedSoon(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		s := newSystem(t, setup{entries: 1, servers: 3, resumes: true})
		defer s.close()
		got, done := s.generate(s.client(client.DefaultOptions()), request("stalled", 300))
		waitForThird(got, 300)
		s.net.Stall(got.server())
		had, began := got.count(), time.Now()
		for got.count() <= had+1 && time.Since(began) < time.Minute {
			time.Sleep(10 * time.Millisecond)
		}
		t.Logf("next token after %v", time.Since(began))
		require.Less(t, time.Since(began), 10*time.Second)
		<-done
		requireComplete(t, got, 300)
	})
}

// A generation crashes each engine that begins to run it. If the agent restarted it on the recovered
// engine, or the entry sent it to the next server, it would crash one engine after the other with
// the streams of other callers. After the third crash the caller must get the outcome "unknown"
// with no retry-after time.
func TestGenerationThatCrashesEnginesIsRejected(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		s := newSystem(t, setup{entries: 2, servers: 3, resumes: true})
		defer s.close()
		got, done := s.generate(s.client(client.DefaultOptions()), request("r1", 3000))
		ends := 0
		for begun := time.Now(); time.Since(begun) < 30*time.Second; time.Sleep(50 * time.Millisecond) {
			for i, n := range s.backendServers {
				if n.engine == nil {
					continue
				}
				if running, err := n.engine.List(t.Context()); err == nil && len(running) > 0 {
					s.killEngine(i)
					ends++
				}
			}
		}
		<-done
		require.Equal(t, 3, ends)
		require.Equal(t, kingcupv1.Outcome_OUTCOME_UNKNOWN, failure.FromError(got.err).Outcome)
		require.Equal(t, kingcupv1.Reason_REASON_HARMFUL, failure.FromError(got.err).Reason)
		require.Zero(t, failure.FromError(got.err).RetryAfter)
	})
}
