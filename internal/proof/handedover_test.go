package proof

import (
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"kingcupplank.example/kingcup/failure"
	"kingcupplank.example/kingcup/internal/wire"
	innerv1 "kingcupplank.example/kingcup/proto/kingcup/inner/v1"
	kingcupv1 "kingcupplank.example/kingcup/proto/kingcup/v1"
)

// leavingThenRunning is agents of which the first that gets a generation accepts it and leaves before it has begun,
// and the next one runs it without an end, and is replaced: it does not know its streams any more.
type leavingThenRunning struct {
	mu     sync.Mutex
	left   int
	starts []int
}

// handle handles a stream at an agent.
func (l *leavingThenRunning) handle(agent int, open *innerv1.Open, st *wire.Stream) {
	left := failure.NotRun(kingcupv1.Reason_REASON_LEAVING, 0, "backend server is leaving")
	l.mu.Lock()
	switch {
	case open.GetStart() != nil:
		if l.starts = append(l.starts, agent); len(l.starts) == 1 {
			l.left = agent
		}
	case open.GetAttach() == nil:
		l.mu.Unlock()
		return
	}
	isLeft := agent == l.left
	l.mu.Unlock()
	if start := open.GetStart(); start != nil {
		st.Send(&innerv1.Reply{Kind: &innerv1.Reply_Accepted{Accepted: &innerv1.Accepted{GenerationId: start.GetGenerationId(), Attempt: start.GetAttempt()}}})
		time.Sleep(100 * time.Millisecond)
	}
	switch {
	case isLeft:
		st.SendFailure(left)
		return
	case open.GetAttach() != nil:
		st.SendFailure(failure.Unknown(kingcupv1.Reason_REASON_UNKNOWN_GENERATION, 0, "no such generation here"))
		return
	}
	st.Recv(&innerv1.Control{})
}

func (l *leavingThenRunning) startCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.starts)
}

// playHandover has a request that must not run twice handed over from an agent that leaves to one that runs it, lets
// its caller's connection break, and returns the agents and the server that the caller saw first.
func playHandover(t *testing.T, s *system) (agents *leavingThenRunning, id, firstServer string) {
	agents = &leavingThenRunning{}
	for i := range s.backendServers[:3] {
		s.startFakeAgent(i, func(open *innerv1.Open, st *wire.Stream) { agents.handle(i, open, st) })
	}
	time.Sleep(10 * time.Second)
	req := request("plan", 5)
	req.NonIdempotent = true
	st, err := kingcupv1.NewCallerServiceClient(s.conns[0]).Generate(t.Context(), req)
	require.NoError(t, err)
	first, err := st.Recv()
	require.NoError(t, err)
	_, err = st.Recv()
	require.NoError(t, err)
	require.Equal(t, 2, agents.startCount())
	return agents, first.GetStarted().GetGenerationId(), first.GetStarted().GetBackendServer()
}

// Guards against a caller that comes back being told that its request has not run, by a server that handed it over.
func TestServerThatLeftSpeaksForItselfAlone(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		s := newSystem(t, setup{entries: 2, servers: 3})
		defer s.close()
		agents, _, _ := playHandover(t, s)
		req := request("plan", 5)
		req.NonIdempotent = true
		again, err := kingcupv1.NewCallerServiceClient(s.conns[1]).Generate(t.Context(), req)
		require.NoError(t, err)
		_, err = again.Recv()
		require.False(t, failure.IsNotRun(err), "%v", err)
		require.Equal(t, 2, agents.startCount())
	})
}

// Guards against a request that must not run twice being placed again where its caller resumes it, as its first
// server had handed it over.
func TestResumedRequestIsNotPlacedAgain(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		s := newSystem(t, setup{entries: 2, servers: 3})
		defer s.close()
		agents, id, server := playHandover(t, s)
		req := request("plan", 5)
		req.NonIdempotent = true
		resumed, err := kingcupv1.NewCallerServiceClient(s.conns[1]).Resume(t.Context(), &kingcupv1.ResumeRequest{Request: req, GenerationId: id, BackendServer: server, Attempt: 1})
		require.NoError(t, err)
		_, err = resumed.Recv()
		require.False(t, failure.IsNotRun(err), "%v", err)
		time.Sleep(5 * time.Second)
		require.Equal(t, 2, agents.startCount())
	})
}

// Guards against a reply of another kind being taken for the answer to a call, or for the acceptance of a generation.
func TestReplyOfAnotherKindIsNoAnswer(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		s := newSystem(t, setup{entries: 1, servers: 1})
		defer s.close()
		for i := range s.backendServers {
			s.startFakeAgent(i, func(_ *innerv1.Open, st *wire.Stream) {
				st.Send(&innerv1.Reply{Kind: &innerv1.Reply_Done{Done: &innerv1.Done{}}})
			})
		}
		time.Sleep(10 * time.Second)
		_, err := s.callNonIdempotent(0, "slot")
		require.Equal(t, kingcupv1.Outcome_OUTCOME_UNKNOWN, failure.FromError(err).Outcome, "%v", err)
		_, err = s.callNonIdempotent(0, "slot")
		require.Error(t, err, "a call without an answer is replayed as answered")
		req := request("plan", 5)
		req.NonIdempotent = true
		got, done := s.generate(s.client(noRetries, 0), req)
		<-done
		require.Equal(t, kingcupv1.Outcome_OUTCOME_UNKNOWN, failure.FromError(got.err).Outcome, "%v", got.err)
		require.Empty(t, got.servers, "announced as accepted")
	})
}
