// Package proof checks what must always hold, by the history of concurrent runs
// under failure, in virtual time.
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

// seen is what one caller saw of one generation.
type seen struct {
	mu      sync.Mutex
	tokens  [][]byte
	servers []string
	// longest is the longest wait between two tokens.
	longest time.Duration
	last    time.Time
	res     client.Result
	err     error
}

func (s *seen) at(server string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.servers = append(s.servers, server)
}

func (s *seen) add(t *testing.T, tok client.Token) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if uint64(len(s.tokens)) != tok.Index {
		t.Errorf("token %d came, %d was due", tok.Index, len(s.tokens))
	}
	s.tokens = append(s.tokens, append([]byte(nil), tok.Text...))
	if !s.last.IsZero() {
		s.longest = max(s.longest, time.Since(s.last))
	}
	s.last = time.Now()
}

// server is the backend server that has the generation now.
func (s *seen) server() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.servers[len(s.servers)-1]
}

func (s *seen) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.tokens)
}

// generate starts a caller; done closes when it has its final answer.
func (s *system) generate(c *client.Client, req *kingcupv1.GenerateRequest) (*seen, <-chan struct{}) {
	out, done := &seen{}, make(chan struct{})
	go func() {
		defer close(done)
		out.res, out.err = c.Generate(s.t.Context(), req, client.Handler{
			Started: func(_, server string) { out.at(server) },
			Token:   func(t client.Token) { out.add(s.t, t) },
		})
	}()
	return out, done
}

func request(id string, tokens int) *kingcupv1.GenerateRequest {
	return &kingcupv1.GenerateRequest{Team: team, RequestId: id, Model: model, Prompt: fmt.Appendf(nil, "tokens=%d plan %s", tokens, id)}
}

// checkWhole returns an error unless the caller saw n tokens of one lineage:
// those that the engine makes for this generation, whatever happened on the way.
func checkWhole(s *seen, n int) error {
	if s.err != nil {
		return s.err
	}
	if len(s.tokens) != n {
		return errors.Errorf("saw %d tokens, want %d", len(s.tokens), n)
	}
	return checkLineage(s)
}

// checkLineage returns an error if a token that the caller saw is not the one
// that its generation has at that index.
func checkLineage(s *seen) error {
	for i, text := range s.tokens {
		if !bytes.Equal(engines.ExpectedToken(s.res.GenerationID, i), text) {
			return errors.Errorf("token %d is of another lineage", i)
		}
	}
	return nil
}

func requireWhole(t *testing.T, s *seen, n int) {
	t.Helper()
	require.NoError(t, checkWhole(s, n))
}

// The checks above must catch a missing token, a doubled one and a splice.
func TestStreamCheckerCatchesBrokenStreams(t *testing.T) {
	whole := func(id string) *seen {
		s := &seen{res: client.Result{GenerationID: id}}
		for i := range 10 {
			s.tokens = append(s.tokens, engines.ExpectedToken(id, i))
		}
		return s
	}
	require.NoError(t, checkWhole(whole("a"), 10))
	missing, doubled, spliced := whole("a"), whole("a"), whole("a")
	missing.tokens = append(missing.tokens[:4:4], missing.tokens[5:]...)
	doubled.tokens[5] = doubled.tokens[4]
	copy(spliced.tokens[5:], whole("b").tokens[5:])
	for _, broken := range []*seen{missing, doubled, spliced} {
		require.Error(t, checkWhole(broken, 10))
	}
}

// midway lets the caller see about a third of a stream.
func midway(s *seen, tokens int) {
	for s.count() < tokens/3 {
		time.Sleep(10 * time.Millisecond)
	}
}

// The caller streams 300 tokens. Midway something between it and the engine
// dies or is cut. It must see each of the 300 tokens once, in order, from one
// generation, because buffers are numbered and any entry can find the stream.
func TestStreamSurvives(t *testing.T) {
	const tokens = 300
	faults := map[string]func(s *system, at *seen){
		"entry killed": func(s *system, at *seen) {
			s.killEntry(0)
		},
		"entry killed and agent killed": func(s *system, at *seen) {
			i := s.index(at.server())
			s.killEntry(0)
			s.killAgent(i)
			s.startAgent(s.nodes[i])
		},
		"agent killed and restarted": func(s *system, at *seen) {
			i := s.index(at.server())
			s.killAgent(i)
			time.Sleep(time.Second)
			s.startAgent(s.nodes[i])
		},
		"agent killed twice": func(s *system, at *seen) {
			i := s.index(at.server())
			for range 2 {
				s.killAgent(i)
				time.Sleep(500 * time.Millisecond)
				s.startAgent(s.nodes[i])
				time.Sleep(500 * time.Millisecond)
			}
		},
		"engine killed": func(s *system, at *seen) {
			s.killEngine(s.index(at.server()))
		},
		"engine killed twice": func(s *system, at *seen) {
			i := s.index(at.server())
			s.killEngine(i)
			time.Sleep(700 * time.Millisecond)
			s.killEngine(i)
		},
		"server lost for good": func(s *system, at *seen) {
			i := s.index(at.server())
			s.killAgent(i)
			s.killEngine(i)
		},
		"link cut and healed": func(s *system, at *seen) {
			name := at.server()
			s.net.Disconnect(name)
			time.Sleep(time.Second)
			s.net.Restore(name)
		},
		"link stalled and healed": func(s *system, at *seen) {
			name := at.server()
			s.net.Stall(name)
			time.Sleep(2 * time.Second)
			s.net.Restore(name)
		},
		"link stalled for long": func(s *system, at *seen) {
			s.net.Stall(at.server())
			time.Sleep(40 * time.Second)
			s.net.Restore(at.server())
		},
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			virtual(t, func(t *testing.T) {
				s := newSystem(t, setup{entries: 2, servers: 3, resumes: true})
				defer s.close()
				c := s.client(client.DefaultOptions())
				// The first request of a client goes to its second entry; a
				// warm-up puts the observed stream on entry 0.
				_, warm := s.generate(c, request("warm", 1))
				<-warm
				at, done := s.generate(c, request("r1", tokens))
				midway(at, tokens)
				fault(s, at)
				<-done
				requireWhole(t, at, tokens)
				t.Logf("longest wait between two tokens: %v", at.longest)
			})
		})
	}
}

// The engine cannot continue a generation and dies midway. The caller must get
// a typed failure behind a clean prefix of one generation: never a whole answer
// that is spliced from two.
func TestNeverSplicesGenerations(t *testing.T) {
	virtual(t, func(t *testing.T) {
		s := newSystem(t, setup{entries: 2, servers: 3, resumes: false})
		defer s.close()
		at, done := s.generate(s.client(client.DefaultOptions()), request("r1", 300))
		midway(at, 300)
		s.killEngine(s.index(at.server()))
		<-done
		require.Error(t, at.err)
		f := failure.FromError(at.err)
		require.Equal(t, kingcupv1.Outcome_OUTCOME_UNKNOWN, f.Outcome)
		require.Less(t, len(at.tokens), 300)
	})
}

// Many callers stream at once through both entries while an agent is killed.
// Every caller must get its own answer whole: tokens are checked against the
// lineage of the caller's own generation.
func TestCrossedStreamsKeepApart(t *testing.T) {
	virtual(t, func(t *testing.T) {
		s := newSystem(t, setup{entries: 2, servers: 2, resumes: true})
		defer s.close()
		c := s.client(client.DefaultOptions())
		const callers = 20
		var all []*seen
		var waits []<-chan struct{}
		for i := range callers {
			at, done := s.generate(c, request(fmt.Sprintf("r%d", i), 50+7*i))
			all, waits = append(all, at), append(waits, done)
		}
		time.Sleep(500 * time.Millisecond)
		s.killAgent(0)
		s.startAgent(s.nodes[0])
		ids := make(map[string]bool)
		for i, done := range waits {
			<-done
			requireWhole(t, all[i], 50+7*i)
			require.False(t, ids[all[i].res.GenerationID], "two callers share a generation")
			ids[all[i].res.GenerationID] = true
		}
	})
}

// An agent is told to leave while streams run and more are asked for. From then
// on no request may start there, the streams in progress end whole, and later
// ones go elsewhere, although the platform's list does not say so yet.
func TestLeavingServerGetsNoNewWork(t *testing.T) {
	virtual(t, func(t *testing.T) {
		s := newSystem(t, setup{entries: 2, servers: 2, resumes: true})
		defer s.close()
		c := s.client(client.DefaultOptions())
		var all []*seen
		var waits []<-chan struct{}
		ask := func(n int) {
			for range n {
				at, done := s.generate(c, request(fmt.Sprintf("r%d", len(all)), 100))
				all, waits = append(all, at), append(waits, done)
			}
		}
		ask(10)
		time.Sleep(300 * time.Millisecond)
		_, err := s.operator(0).Drain(t.Context(), &kingcupv1.DrainRequest{BackendServer: "server-0"})
		require.NoError(t, err)
		started := len(s.nodes[0].engine.log())
		for range 10 {
			ask(3)
			time.Sleep(100 * time.Millisecond)
		}
		for i, done := range waits {
			<-done
			requireWhole(t, all[i], 100)
		}
		require.Len(t, s.nodes[0].engine.log(), started, "work started after the leave")
	})
}

// Entry and agent are told to stop under load, twice. Every stream in progress
// must end whole before they are gone; new requests are refused as not run. The
// engines cannot continue a generation elsewhere, so a cut would show.
func TestShutdownCutsNothingOff(t *testing.T) {
	virtual(t, func(t *testing.T) {
		s := newSystem(t, setup{entries: 2, servers: 2})
		defer s.close()
		var all []*seen
		var waits []<-chan struct{}
		for i := range 12 {
			at, done := s.generate(s.client(once, 0), request(fmt.Sprintf("r%d", i), 200))
			all, waits = append(all, at), append(waits, done)
		}
		time.Sleep(time.Second)
		left := make(chan int, 4)
		for range 2 {
			go func() { left <- s.entries[0].Shutdown(context.Background()) }()
			go func() { left <- s.nodes[0].agent.Shutdown(context.Background()) }()
		}
		time.Sleep(100 * time.Millisecond)
		late, refused := s.generate(s.client(once, 0), request("late", 5))
		<-refused
		require.True(t, failure.IsNotRun(late.err), "%v", late.err)
		require.Empty(t, s.runs("late"))
		for range 4 {
			require.Zero(t, <-left)
		}
		for i, done := range waits {
			select {
			case <-done:
			case <-time.After(100 * time.Millisecond):
				t.Fatal("shutdown returned before the caller had its answer")
			}
			requireWholeRandom(t, all[i], 200)
		}
	})
}

// An agent sends each run of tokens twice, overlapping, as one does whose relay
// was attached twice. The caller must see each token once.
func TestDoubledFramesAreCutOff(t *testing.T) {
	virtual(t, func(t *testing.T) {
		s := newSystem(t, setup{entries: 1, servers: 1, resumes: true})
		defer s.close()
		s.fake(0, func(open *innerv1.Open, st *wire.Stream) {
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
		at, done := s.generate(s.client(once), request("doubled", 30))
		<-done
		requireWhole(t, at, 30)
	})
}

// One server is told to leave while most of its requests wait in its queue. The
// waiting ones are handed back as not run and must run once each at the other
// server; none may run at both.
func TestQueuedWorkMovesOnceOnLeave(t *testing.T) {
	virtual(t, func(t *testing.T) {
		s := newSystem(t, setup{entries: 2, servers: 2, resumes: true, memory: 300})
		defer s.close()
		var all []*seen
		var waits []<-chan struct{}
		for i := range 12 {
			at, done := s.generate(s.client(client.Options{MaxRetries: 20}), request(fmt.Sprintf("r%d", i), 100))
			all, waits = append(all, at), append(waits, done)
		}
		time.Sleep(200 * time.Millisecond)
		require.NotZero(t, s.nodes[0].agent.Agent.Stats().Queued, "the test needs a queue to say anything")
		_, err := s.operator(0).Drain(t.Context(), &kingcupv1.DrainRequest{BackendServer: "server-0"})
		require.NoError(t, err)
		for i, done := range waits {
			<-done
			requireWhole(t, all[i], 100)
			require.Len(t, s.freshRuns(fmt.Sprintf("r%d", i)), 1)
		}
	})
}

// An agent is killed and replaced while its engine, which cannot continue a
// generation from a prefix, streams on. The new agent must find the stream at
// the engine and the caller must see it whole, from the engine's one run.
func TestAgentRestartKeepsEngineStreams(t *testing.T) {
	virtual(t, func(t *testing.T) {
		s := newSystem(t, setup{entries: 1, servers: 1, resumes: false})
		defer s.close()
		at, done := s.generate(s.client(once), request("kept", 200))
		midway(at, 200)
		s.killAgent(0)
		time.Sleep(time.Second)
		s.startAgent(s.nodes[0])
		<-done
		requireWholeRandom(t, at, 200)
		require.Len(t, s.runs("kept"), 1)
	})
}

// The link to an agent stalls without breaking: nothing arrives and nothing
// fails. The caller must have its next token within ten seconds, by a second
// path that is tried, fails, and ends the stalled one.
func TestStalledLinkMovesSoon(t *testing.T) {
	virtual(t, func(t *testing.T) {
		s := newSystem(t, setup{entries: 1, servers: 3, resumes: true})
		defer s.close()
		at, done := s.generate(s.client(client.DefaultOptions()), request("stalled", 300))
		midway(at, 300)
		s.net.Stall(at.server())
		had, began := at.count(), time.Now()
		for at.count() <= had+1 && time.Since(began) < time.Minute {
			time.Sleep(10 * time.Millisecond)
		}
		t.Logf("next token after %v", time.Since(began))
		require.Less(t, time.Since(began), 10*time.Second)
		<-done
		requireWhole(t, at, 300)
	})
}

// A generation ends each engine that begins to run it, a moment later. Its agent starts it
// again on the engine that is back, its entry moves it to the next server, and engine after
// engine ends with the streams of others. After the third the caller gets the final answer:
// unknown, and not to be tried again.
func TestGenerationThatEndsItsEnginesIsGivenUp(t *testing.T) {
	virtual(t, func(t *testing.T) {
		s := newSystem(t, setup{entries: 2, servers: 3, resumes: true})
		defer s.close()
		at, done := s.generate(s.client(client.DefaultOptions()), request("r1", 3000))
		ends := 0
		for begun := time.Now(); time.Since(begun) < 30*time.Second; time.Sleep(50 * time.Millisecond) {
			for i, n := range s.nodes {
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
		require.Equal(t, kingcupv1.Outcome_OUTCOME_UNKNOWN, failure.FromError(at.err).Outcome)
		require.Equal(t, kingcupv1.Reason_REASON_HARMFUL, failure.FromError(at.err).Reason)
		require.Zero(t, failure.FromError(at.err).RetryAfter)
	})
}
