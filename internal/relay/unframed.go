package relay

import (
	"io"

	"github.com/pkg/errors"

	"kingcupplank.example/kingcup/backends"
)

// errEndedByCrash means that a response ended with its connection, and its server has crashed.
var errEndedByCrash = errors.New("response ended as its server crashed")

// unframedBody is the body of a response that ends with its connection. The kernel closes the connections of
// a process that ends like those that the process closes, so the server is checked at the end. One that was
// leaving may have ended in the middle of its responses too.
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
	b.err = io.EOF
	if b.relay.hasCrashed(b.server) {
		b.err = errEndedByCrash
	}
	return n, b.err
}
