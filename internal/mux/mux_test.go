package mux

import (
	"bytes"
	"encoding/binary"
	"io"
	"net"
	"testing"

	"github.com/stretchr/testify/require"

	"kingcupplank.example/kingcup/internal/fuzzseed"
	innerv1 "kingcupplank.example/kingcup/proto/kingcup/inner/v1"
	kingcupv1 "kingcupplank.example/kingcup/proto/kingcup/v1"
)

func header(size uint32) []byte {
	return binary.BigEndian.AppendUint32(nil, size)
}

// A peer announces a frame of nearly 4 GiB. The reader must refuse it before it
// allocates anything for it.
func TestOversizedFrame(t *testing.T) {
	fr := NewFrameReader(bytes.NewReader(header(0xfffffff0)))
	err := fr.Read(&innerv1.Open{})
	require.ErrorIs(t, err, ErrFrameTooLarge)
	require.Zero(t, cap(fr.buf))
	big := &innerv1.Open{Kind: &innerv1.Open_Call{Call: &innerv1.Call{Request: &kingcupv1.CallRequest{Body: make([]byte, MaxFrameBytes)}}}}
	require.ErrorIs(t, WriteFrame(io.Discard, big), ErrFrameTooLarge)
}

// FuzzFrameReader feeds arbitrary bytes to the inner codec: it must return an
// error or a message, and never hold more memory than its bound.
func FuzzFrameReader(f *testing.F) {
	corpus := fuzzseed.New(f)
	var good bytes.Buffer
	WriteFrame(&good, &innerv1.Open{Protocol: 1, Kind: &innerv1.Open_Start{Start: &innerv1.Start{GenerationId: "g", Attempt: 1}}})
	corpus.Add(good.Bytes())
	corpus.Add(header(MaxFrameBytes + 1))
	corpus.Add([]byte{0, 0, 0, 1})
	corpus.AddMutations()
	f.Fuzz(func(t *testing.T, raw []byte) {
		fr := NewFrameReader(bytes.NewReader(raw))
		for {
			open := &innerv1.Open{}
			if err := fr.Read(open); err != nil {
				break
			}
		}
		require.LessOrEqual(t, cap(fr.buf), MaxFrameBytes)
	})
}

// writes records what reaches a connection in one Write each.
type writes struct {
	net.Conn
	all [][]byte
}

func (w *writes) Write(p []byte) (int, error) {
	w.all = append(w.all, bytes.Clone(p))
	return len(p), nil
}

// A data frame's header and body must leave together; frames without a body, such
// as pings and window updates, must not wait for anything.
func TestCorkedJoinsHeaderAndBody(t *testing.T) {
	out := &writes{}
	c := &corked{Conn: out}
	data := []byte{0, 0, 0, 0, 0, 0, 0, 1, 0, 0, 0, 3}
	ping := []byte{0, 2, 0, 1, 0, 0, 0, 0, 0, 0, 0, 9}
	for _, p := range [][]byte{ping, data, []byte("abc"), data, []byte("xyz"), ping} {
		n, err := c.Write(p)
		require.NoError(t, err)
		require.Equal(t, len(p), n)
	}
	require.Equal(t, [][]byte{ping, append(bytes.Clone(data), "abc"...), append(bytes.Clone(data), "xyz"...), ping}, out.all)
}
