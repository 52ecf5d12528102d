package proof

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"kingcupplank.example/kingcup/engine"
	"kingcupplank.example/kingcup/failure"
	"kingcupplank.example/kingcup/internal/app"
	"kingcupplank.example/kingcup/internal/standin/engines"
)

// rejectingEngine loses its first stream before a token, does not know it then, and rejects the next attempt.
type rejectingEngine struct {
	replaceableEngine
	attempts []uint32
}

type lostStream struct{}

// Recv implements engine.Stream.
func (lostStream) Recv() (engine.Token, error) {
	time.Sleep(time.Second)
	return engine.Token{}, engine.ErrLost
}

// Generate implements engine.Engine.
func (e *rejectingEngine) Generate(_ context.Context, r engine.Request) (engine.Stream, error) {
	e.attempts = append(e.attempts, r.Attempt)
	if len(e.attempts) == 1 {
		return lostStream{}, nil
	}
	return nil, engine.ErrRejected
}

// Attach implements engine.Engine.
func (e *rejectingEngine) Attach(context.Context, string, uint64) (engine.Stream, error) {
	return nil, engine.ErrUnknownStream
}

// Guards against "not run" for a request that an engine has worked on, as it rejects a further attempt.
func TestRejectionOfAFurtherAttemptIsNoPromise(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		s := newSystem(t, setup{entries: 1})
		defer s.close()
		e := &rejectingEngine{}
		e.inner = engines.New(engines.Config{Step: 20 * time.Millisecond, Memory: 100000, Models: []string{model}})
		s.addServer("server-0", 0, app.Backend{Engine: e}, model)
		s.backendServers[0].engine = &e.replaceableEngine
		time.Sleep(10 * time.Second)
		got, done := s.generate(s.client(noRetries, 0), request("plan", 5))
		<-done
		require.Len(t, e.attempts, 2)
		require.Error(t, got.err)
		require.False(t, failure.IsNotRun(got.err), "%v", got.err)
	})
}
