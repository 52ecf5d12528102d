package relay

import (
	"context"
	"io"
	"time"

	"github.com/pkg/errors"

	"kingcupplank.example/kingcup/backends"
)

// errUnprovenEnd means that a response ended with its connection, and its server doesn't answer afterwards.
var errUnprovenEnd = errors.New("response ended with its connection and its server does not answer")

// endProofTimeout bounds how long a server may take to answer after a response that ended with its connection.
// Callers of streams wait for the next event for longer.
const endProofTimeout = time.Second

// unframedBody is the body of a response that ends with its connection. The kernel closes the connections of
// a process that ends like those that the process closes, and its listener possibly after them. So the end is that of
// the response only if the same process answers a call that is made after it.
type unframedBody struct {
	io.ReadCloser
	relay  *Relay
	server backends.Server
	// err is the result of the check.
	err error
}

// Read implements io.Reader.
func (b *unframedBody) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.ReadCloser.Read(p)
	if err != io.EOF {
		return n, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), endProofTimeout)
	defer cancel()
	b.err = io.EOF
	if b.relay.Registry.HasRestarted(b.server) || !b.relay.Upstream.Answers(ctx, b.server) {
		b.err = errUnprovenEnd
	}
	return n, b.err
}
