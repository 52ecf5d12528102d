package peers

import (
	"context"
	"io"
	"net"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"kingcupplank.example/kingcup/intake"
	"kingcupplank.example/kingcup/internal/guard"
	"kingcupplank.example/kingcup/internal/mux"
	peerv1 "kingcupplank.example/kingcup/proto/kingcup/peer/v1"
)

const (
	// decodedCopies is how many times a frame is in memory: as read and as decoded.
	decodedCopies = 2
	// closeTimeout bounds the time until a peer closes a stream whose request is answered.
	closeTimeout = 10 * time.Second
)

// Errors of reading frames.
var (
	errNoMemory = errors.New("no memory for the frame")
	errYielded  = errors.New("stream was given up for others")
)

// SetLimits bounds the connections that are accepted and the memory that peers may hold.
func (m *Manager) SetLimits(l intake.Limits) {
	m.conns.SetLimits(intake.Limits{Connections: l.Connections})
	m.streams.SetLimits(intake.Limits{Bytes: l.Bytes, LargeBytes: l.LargeBytes})
}

// frameReader reads the frames of a stream. Memory for a frame is charged to the stream's client before it is allocated.
type frameReader struct {
	gate   *guard.Gate
	client *intake.Client
	frames *mux.FrameReader
}

func newFrameReader(stream io.Reader, gate *guard.Gate, client *intake.Client) *frameReader {
	f := &frameReader{gate: gate, client: client}
	f.frames = mux.NewFrameReader(receiving{stream, f})
	f.frames.Admit(f.charge, intake.SmallBytes)
	return f
}

// charge charges a frame. While a large one comes, its client may yield.
func (f *frameReader) charge(size int) error {
	if !f.gate.Charge(f.client, int64(decodedCopies*size)) {
		return errNoMemory
	}
	if size > intake.SmallBytes {
		f.gate.SetServing(f.client, false)
	}
	return nil
}

// Read decodes the next frame into msg.
func (f *frameReader) Read(msg proto.Message) error {
	if err := f.frames.Read(msg); err != nil {
		return err
	}
	f.gate.ReleaseAll(f.client)
	if !f.gate.Complete(f.client) {
		return errYielded
	}
	return nil
}

// receiving records what comes from a client.
type receiving struct {
	io.Reader
	to *frameReader
}

// Read implements io.Reader.
func (r receiving) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if n > 0 {
		r.to.gate.Receive(r.to.client, n)
	}
	return n, err
}

// serveStream reads and answers the request on a stream. It closes the session of a peer that sends more, or does not close
// the stream after its answer: what it sends would stay in the session's memory.
func (m *Manager) serveStream(ctx context.Context, session *yamux.Session, stream net.Conn, client *intake.Client, onRequest func() bool) error {
	stream.SetDeadline(time.Now().Add(answerTimeout))
	request := &peerv1.Fetch{}
	err := newFrameReader(stream, m.streams, client).Read(request)
	stream.SetReadDeadline(time.Time{})
	var timeout net.Error
	switch {
	case errors.As(err, &timeout) && timeout.Timeout():
	case err != nil || !onRequest():
		session.Close()
		return errors.Wrap(err, "read request of peer")
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		if _, err := stream.Read(make([]byte, 1)); err != io.EOF {
			session.Close()
		}
	}()
	if err == nil {
		err = m.answer(ctx, stream, request)
	}
	stream.Close()
	stream.SetReadDeadline(time.Now().Add(closeTimeout))
	<-ended
	return errors.Wrap(err, "answer peer")
}
