package wire

import (
	"context"
	"encoding/binary"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"kingcupplank.example/kingcup/failure"
	"kingcupplank.example/kingcup/internal/memnet"
	"kingcupplank.example/kingcup/internal/mux"
	innerv1 "kingcupplank.example/kingcup/proto/kingcup/inner/v1"
	kingcupv1 "kingcupplank.example/kingcup/proto/kingcup/v1"
)

func header(size uint32) []byte {
	return binary.BigEndian.AppendUint32(nil, size)
}

// talk sends raw bytes as the first of a stream and returns the server's answer.
func talk(t *testing.T, raw []byte) *failure.Error {
	t.Helper()
	network := memnet.New()
	l, err := network.Listen("server")
	require.NoError(t, err)
	srv := NewServer(l, func(context.Context, *innerv1.Open, *Stream) {})
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

// A peer sends a malformed frame, an oversized one, or speaks another version.
// It must get one clear refusal that says "not run".
func TestBadPeersAreRefused(t *testing.T) {
	other, err := proto.Marshal(&innerv1.Open{Protocol: ProtocolVersion + 1})
	require.NoError(t, err)
	for name, raw := range map[string][]byte{
		"malformed": append(header(3), 0xff, 0xff, 0xff),
		"oversized": header(mux.MaxFrameBytes + 1),
		"version":   append(header(uint32(len(other))), other...),
	} {
		f := talk(t, raw)
		require.Equal(t, kingcupv1.Reason_REASON_PROTOCOL, f.Reason, name)
		require.Equal(t, kingcupv1.Outcome_OUTCOME_NOT_RUN, f.Outcome, name)
	}
}

// A peer sends a configuration over a thin link, which takes five times as long as it may
// be silent. The bytes come in all the while, so the frame must be read to its end; when
// the peer falls silent in the middle, the reader must know soon.
func TestLongFrameIsReadWhileItComesIn(t *testing.T) {
	const silence, parts = 300 * time.Millisecond, 25
	frame, err := mux.EncodeFrame(&innerv1.Reply{Kind: &innerv1.Reply_Failure{Failure: &kingcupv1.Failure{Detail: string(make([]byte, 5000))}}})
	require.NoError(t, err)
	network := memnet.New()
	l, err := network.Listen("server")
	require.NoError(t, err)
	srv := NewServer(l, func(_ context.Context, open *innerv1.Open, st *Stream) {
		for i := range parts {
			if open.GetConfigPull().GetHaveVersion() == 1 && i == parts/2 {
				time.Sleep(10 * silence)
				return
			}
			st.conn.Write(frame[i*len(frame)/parts : (i+1)*len(frame)/parts])
			time.Sleep(5 * silence / parts)
		}
	})
	go srv.Serve()
	defer srv.Close()
	sess, err := Dial(t.Context(), network, "server", Identity{Name: "peer"})
	require.NoError(t, err)
	defer sess.Close()
	for version, whole := range []bool{true, false} {
		st, _, err := sess.Open(&innerv1.Open{Kind: &innerv1.Open_ConfigPull{ConfigPull: &innerv1.ConfigPull{HaveVersion: uint64(version)}}})
		require.NoError(t, err)
		err = st.RecvWithIdleTimeout(&innerv1.Reply{}, silence)
		require.Equal(t, whole, err == nil, "version %d: %v", version, err)
		st.Close()
	}
}
