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

// Each kind of invalid request must be refused with its own reason and the outcome "not run".
func TestBadRequests(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
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
			_, err := s.client(noRetries).Generate(context.Background(), req, client.Handler{})
			require.Equal(t, reason, failure.FromError(err).Reason)
			require.True(t, failure.IsNotRun(err))
		}
		got, done := s.generate(s.client(noRetries), request("good", 5))
		<-done
		requireTokenCount(t, got, 5)
	})
}

// One caller opens a long stream and does not read it, another caller reads its own. The slow
// stream must end with REASON_SLOW_READER once it is behind by more than the buffer, and the
// engine must stop generating it. The other stream must not be affected.
func TestSlowReaderIsCutOff(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		s := newSystem(t, setup{entries: 1, servers: 1, resumes: true, buffer: 4 << 10})
		defer s.close()
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		st, err := kingcupv1.NewCallerServiceClient(s.conns[0]).Generate(ctx, request("slow", 90000))
		require.NoError(t, err)
		got, done := s.generate(s.client(noRetries), request("quick", 500))
		<-done
		requireComplete(t, got, 500)
		time.Sleep(1700 * time.Second)
		for err == nil {
			_, err = st.Recv()
		}
		require.Equal(t, kingcupv1.Reason_REASON_SLOW_READER, failure.FromError(err).Reason, "%v", err)
		time.Sleep(time.Minute)
		running, err := s.backendServers[0].engine.List(t.Context())
		require.NoError(t, err)
		require.Empty(t, running)
	})
}
