package app

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/grpc"

	kingcupv1 "kingcupplank.example/kingcup/proto/kingcup/v1"
)

// slowListener accepts connections whose writes are delayed, as on a busy VM.
type slowListener struct{ net.Listener }

type slowConn struct{ net.Conn }

func (l slowListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return slowConn{c}, err
}

func (c slowConn) Write(p []byte) (int, error) {
	time.Sleep(100 * time.Millisecond)
	return c.Conn.Write(p)
}

// Guards against an entry that stops as soon as its last handler has returned, while the
// end of the response is not yet written. The caller must receive the complete response.
func TestStopGRPCDeliversResponsesInProgress(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	returned := make(chan struct{})
	srv := grpc.NewServer(grpc.UnknownServiceHandler(func(_ any, stream grpc.ServerStream) error {
		defer close(returned)
		return stream.SendMsg(&kingcupv1.CallRequest{RequestId: "r"})
	}))
	go srv.Serve(slowListener{l})
	conn, err := DialGRPC(l.Addr().String())
	require.NoError(t, err)
	defer conn.Close()
	st, err := conn.NewStream(t.Context(), &grpc.StreamDesc{ServerStreams: true}, "/any/Method")
	require.NoError(t, err)
	require.NoError(t, st.SendMsg(&kingcupv1.CallRequest{}))
	require.NoError(t, st.CloseSend())
	<-returned
	stopGRPC(srv, 5*time.Second)
	require.NoError(t, st.RecvMsg(&kingcupv1.CallRequest{}))
	require.ErrorIs(t, st.RecvMsg(&kingcupv1.CallRequest{}), io.EOF)
}
