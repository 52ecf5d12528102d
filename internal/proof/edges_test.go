package proof

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"kingcupplank.example/kingcup/client"
	"kingcupplank.example/kingcup/failure"
	kingcupv1 "kingcupplank.example/kingcup/proto/kingcup/v1"
)

// Bad requests must each get one typed refusal that says "not run".
func TestBadRequests(t *testing.T) {
	virtual(t, func(t *testing.T) {
		s := newSystem(t, setup{entries: 1, servers: 1})
		defer s.close()
		for reason, change := range map[kingcupv1.Reason]func(*kingcupv1.GenerateRequest){
			kingcupv1.Reason_REASON_UNKNOWN_TEAM:     func(r *kingcupv1.GenerateRequest) { r.Team = "nobody" },
			kingcupv1.Reason_REASON_UNKNOWN_MODEL:    func(r *kingcupv1.GenerateRequest) { r.Model = "none" },
			kingcupv1.Reason_REASON_PROMPT_TOO_LARGE: func(r *kingcupv1.GenerateRequest) { r.Prompt = make([]byte, 2<<20) },
			kingcupv1.Reason_REASON_INVALID:          func(r *kingcupv1.GenerateRequest) { r.RequestId, r.NonIdempotent = "", true },
		} {
			req := request("bad", 5)
			change(req)
			_, err := s.client(once).Generate(context.Background(), req, client.Handler{})
			require.Equal(t, reason, failure.FromError(err).Reason)
			require.True(t, failure.IsNotRun(err))
		}
		at, done := s.generate(s.client(once), request("good", 5))
		<-done
		requireWholeRandom(t, at, 5)
	})
}

// One caller opens a long stream and does not read it; another one reads. The
// slow one must get a typed end once it is further behind than the buffer, the
// engine must be freed of it, and the other must not notice.
func TestSlowReaderIsCutOff(t *testing.T) {
	virtual(t, func(t *testing.T) {
		s := newSystem(t, setup{entries: 1, servers: 1, resumes: true, buffer: 4 << 10})
		defer s.close()
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		st, err := kingcupv1.NewCallerServiceClient(s.conns[0]).Generate(ctx, request("slow", 90000))
		require.NoError(t, err)
		at, done := s.generate(s.client(once), request("quick", 500))
		<-done
		requireWhole(t, at, 500)
		time.Sleep(1700 * time.Second)
		for err == nil {
			_, err = st.Recv()
		}
		require.Equal(t, kingcupv1.Reason_REASON_SLOW_READER, failure.FromError(err).Reason, "%v", err)
		time.Sleep(time.Minute)
		running, err := s.nodes[0].engine.List(t.Context())
		require.NoError(t, err)
		require.Empty(t, running)
	})
}
