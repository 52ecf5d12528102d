package wire

import (
	"context"
	"encoding/binary"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"kingcupplank.example/kingcup/failure"
	"kingcupplank.example/kingcup/intake"
	"kingcupplank.example/kingcup/internal/memnet"
	"kingcupplank.example/kingcup/internal/mux"
	innerv1 "kingcupplank.example/kingcup/proto/kingcup/inner/v1"
	kingcupv1 "kingcupplank.example/kingcup/proto/kingcup/v1"
)

func header(size uint32) []byte {
	return binary.BigEndian.AppendUint32(nil, size)
}

// sendRaw opens a stream, sends raw bytes on it and returns the failure that the
// server replies with.
func sendRaw(t *testing.T, raw []byte) *failure.Error {
	t.Helper()
	network := memnet.New()
	l, err := network.Listen("server")
	require.NoError(t, err)
	srv := NewServer(l, func(context.Context, *innerv1.Open, *Stream) {}, intake.Limits{})
	go srv.Serve()
	defer srv.Close()
	sess, err := Dial(t.Context(), network, "server", Identity{Name: "peer"})
	require.NoError(t, err)
	defer sess.Close()
	conn, err := sess.mux.OpenStream()
	require.NoError(t, err)
	st := newStream(conn)
	_, err = conn.Write(raw)
	require.NoError(t, err)
	reply := &innerv1.Reply{}
	st.SetReadDeadline(time.Now().Add(10 * time.Second))
	require.NoError(t, st.Recv(reply))
	return failure.FromProto(reply.GetFailure())
}

// A peer sends a malformed frame, an oversized frame, or uses another protocol
// version. The server must reply with a failure whose outcome is "not run".
func TestInvalidFirstFramesAreRefused(t *testing.T) {
	otherVersion, err := proto.Marshal(&innerv1.Open{Protocol: ProtocolVersion + 1})
	require.NoError(t, err)
	for name, raw := range map[string][]byte{
		"malformed": append(header(3), 0xff, 0xff, 0xff),
		"oversized": header(mux.MaxFrameBytes + 1),
		"version":   append(header(uint32(len(otherVersion))), otherVersion...),
	} {
		fail := sendRaw(t, raw)
		require.Equal(t, kingcupv1.Reason_REASON_PROTOCOL, fail.Reason, name)
		require.Equal(t, kingcupv1.Outcome_OUTCOME_NOT_RUN, fail.Outcome, name)
	}
}

// A peer sends a configuration over a link of low bandwidth, which takes five times
// the idle timeout. Data arrives all the time, so the frame must be read to its end.
// If the peer stops sending in the middle, the read must time out.
func TestSlowFrameIsReadWhileDataArrives(t *testing.T) {
	const idleTimeout, parts = 300 * time.Millisecond, 25
	frame, err := mux.EncodeFrame(&innerv1.Reply{Kind: &innerv1.Reply_Failure{Failure: &kingcupv1.Failure{Detail: string(make([]byte, 5000))}}})
	require.NoError(t, err)
	network := memnet.New()
	l, err := network.Listen("server")
	require.NoError(t, err)
	srv := NewServer(l, func(_ context.Context, open *innerv1.Open, st *Stream) {
		for i := range parts {
			if open.GetConfigPull().GetHaveVersion() == 1 && i == parts/2 {
				time.Sleep(10 * idleTimeout)
				return
			}
			st.conn.Write(frame[i*len(frame)/parts : (i+1)*len(frame)/parts])
			time.Sleep(5 * idleTimeout / parts)
		}
	}, intake.Limits{})
	go srv.Serve()
	defer srv.Close()
	sess, err := Dial(t.Context(), network, "server", Identity{Name: "peer"})
	require.NoError(t, err)
	defer sess.Close()
	for version, isComplete := range []bool{true, false} {
		st, _, err := sess.Open(&innerv1.Open{Kind: &innerv1.Open_ConfigPull{ConfigPull: &innerv1.ConfigPull{HaveVersion: uint64(version)}}})
		require.NoError(t, err)
		err = st.RecvWithIdleTimeout(&innerv1.Reply{}, idleTimeout)
		require.Equal(t, isComplete, err == nil, "version %d: %v", version, err)
		st.Close()
	}
}
