package guard

import (
	"bytes"
	"io"
	"net"
	"testing"

	"github.com/stretchr/testify/require"
	"golang.org/x/net/http2"

	"kingcupplank.example/kingcup/intake"
)

// Guards against frames that are missed where reads or writes split them.
func TestFramesAreFoundInPieces(t *testing.T) {
	var sent bytes.Buffer
	f := http2.NewFramer(&sent, nil)
	require.NoError(t, f.WriteData(1, false, make([]byte, 300)))
	require.NoError(t, f.WriteRSTStream(3, http2.ErrCodeCancel))
	require.NoError(t, f.WriteData(1<<31-1, true, nil))
	want := []frame{{300, frameData, 0, 1}, {4, frameReset, 0, 3}, {0, frameData, flagEndStream, 1<<31 - 1}}
	for piece := 1; piece <= sent.Len(); piece++ {
		s := frameScanner{skip: prefaceBytes}
		var got []frame
		for p := append(make([]byte, prefaceBytes), sent.Bytes()...); len(p) > 0; p = p[min(piece, len(p)):] {
			s.scan(p[:min(piece, len(p))], func(f frame) { got = append(got, f) })
		}
		require.Equal(t, want, got, piece)
	}
}

// answering returns a connection with a call that has a charged answer of n bytes and has ended, and the other end.
func answering(t *testing.T, n int64) (*grpcConn, net.Conn) {
	server, client := net.Pipe()
	t.Cleanup(func() { client.Close() })
	go io.Copy(io.Discard, client)
	g := NewGRPC(intake.Limits{Bytes: 1 << 20}, 1<<20)
	conn := g.gate.Admit(server)
	conn.StopCounting()
	c := &grpcConn{Conn: conn, grpc: g, open: map[uint32]struct{}{1: {}}, newest: 1}
	c.change(1, 0, callBytes)
	c.change(-1, 1, 0)
	of := &call{conn: c, bytes: callBytes}
	require.True(t, c.addAnswer(of, n))
	c.count(-1, 0)
	c.change(0, -1, -callBytes)
	require.Equal(t, n+intake.ClientBytes, g.gate.Bytes())
	return c, client
}

// Guards against answers that are charged no more before they are written, or still after they are written or given up.
func TestAnswersAreChargedUntilWritten(t *testing.T) {
	const n = 1000
	data := func(end bool) []byte {
		var b bytes.Buffer
		require.NoError(t, http2.NewFramer(&b, nil).WriteData(1, end, make([]byte, n/2)))
		return b.Bytes()
	}
	c, _ := answering(t, n)
	c.Write(data(false))
	require.Equal(t, int64(n/2+intake.ClientBytes), c.gate.Bytes())
	c.Write(data(true))
	require.Equal(t, int64(intake.ClientBytes), c.gate.Bytes())

	c, _ = answering(t, n)
	c.noteReceived(frame{kind: frameReset, stream: 1})
	c.Write(nil)
	require.Equal(t, int64(intake.ClientBytes), c.gate.Bytes())
}
