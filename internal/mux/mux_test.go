package mux

import (
	"bytes"
	"encoding/binary"
	"io"
	"net"
	"testing"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"kingcupplank.example/kingcup/internal/fuzzseed"
	innerv1 "kingcupplank.example/kingcup/proto/kingcup/inner/v1"
	kingcupv1 "kingcupplank.example/kingcup/proto/kingcup/v1"
)

func header(size uint32) []byte {
	return binary.BigEndian.AppendUint32(nil, size)
}

// A peer announces a frame of nearly 4 GiB. The reader must reject it before it
// allocates memory for it. The writer must not send a frame beyond the limit.
func TestOversizedFrame(t *testing.T) {
	reader := NewFrameReader(bytes.NewReader(header(0xfffffff0)))
	err := reader.Read(&innerv1.Open{})
	require.ErrorIs(t, err, ErrFrameTooLarge)
	require.Zero(t, cap(reader.buf))
	oversized := &innerv1.Open{Kind: &innerv1.Open_Call{Call: &innerv1.Call{Request: &kingcupv1.CallRequest{Body: make([]byte, MaxFrameBytes)}}}}
	require.ErrorIs(t, WriteFrame(io.Discard, oversized), ErrFrameTooLarge)
}

// FuzzFrameReader reads frames from arbitrary bytes. Read must return an error or
// a message, and its buffer must not exceed MaxFrameBytes.
func FuzzFrameReader(f *testing.F) {
	corpus := fuzzseed.New(f)
	var valid bytes.Buffer
	WriteFrame(&valid, &innerv1.Open{Protocol: 1, Kind: &innerv1.Open_Start{Start: &innerv1.Start{GenerationId: "g", Attempt: 1}}})
	corpus.Add(valid.Bytes())
	corpus.Add(header(MaxFrameBytes + 1))
	corpus.Add([]byte{0, 0, 0, 1})
	corpus.AddMutations()
	f.Fuzz(func(t *testing.T, raw []byte) {
		reader := NewFrameReader(bytes.NewReader(raw))
		for {
			open := &innerv1.Open{}
			if err := reader.Read(open); err != nil {
				break
			}
		}
		require.LessOrEqual(t, cap(reader.buf), MaxFrameBytes)
	})
}

// Guards against a part of a frame being taken for a message, or its end for the end between two frames.
func TestCutFramesAreErrors(t *testing.T) {
	var frames bytes.Buffer
	var ends []int
	for _, id := range []string{"one", "two"} {
		require.NoError(t, WriteFrame(&frames, &innerv1.Open{Protocol: 1, Kind: &innerv1.Open_Start{Start: &innerv1.Start{GenerationId: id, Attempt: 1}}}))
		ends = append(ends, frames.Len())
	}
	for cut := range frames.Len() {
		reader, whole := NewFrameReader(bytes.NewReader(frames.Bytes()[:cut])), 0
		err := reader.Read(&innerv1.Open{})
		for ; err == nil; err = reader.Read(&innerv1.Open{}) {
			whole++
		}
		require.Equal(t, cut >= ends[0], whole == 1, "after %d bytes", cut)
		require.Equal(t, cut == 0 || cut == ends[0], err == io.EOF, "after %d bytes: %v", cut, err)
	}
}

// writeRecorder records the data of each Write call.
type writeRecorder struct {
	net.Conn
	writes [][]byte
}

func (w *writeRecorder) Write(p []byte) (int, error) {
	w.writes = append(w.writes, bytes.Clone(p))
	return len(p), nil
}

// The header and body of a data frame must be written in one Write. Frames
// without a body, such as pings and window updates, must be written at once.
func TestHeaderAndBodyAreWrittenTogether(t *testing.T) {
	out := &writeRecorder{}
	c := &coalescingConn{Conn: out}
	data := []byte{0, 0, 0, 0, 0, 0, 0, 1, 0, 0, 0, 3}
	ping := []byte{0, 2, 0, 1, 0, 0, 0, 0, 0, 0, 0, 9}
	for _, p := range [][]byte{ping, data, []byte("abc"), data, []byte("xyz"), ping} {
		n, err := c.Write(p)
		require.NoError(t, err)
		require.Equal(t, len(p), n)
	}
	require.Equal(t, [][]byte{ping, append(bytes.Clone(data), "abc"...), append(bytes.Clone(data), "xyz"...), ping}, out.writes)
}

// Guards against memory that is allocated for a frame which is not admitted, or kept after a large one.
func TestFramesAreAdmittedBeforeMemoryIsAllocated(t *testing.T) {
	const maxKept, small, large = 1 << 10, 100, 100 << 10
	var sent bytes.Buffer
	for _, n := range []int{small, large, small, large} {
		require.NoError(t, WriteFrame(&sent, &kingcupv1.CallRequest{Body: make([]byte, n)}))
	}
	var sizes []int
	errFull := errors.New("full")
	f := NewFrameReader(&sent)
	f.Admit(func(size int) error {
		if sizes = append(sizes, size); len(sizes) == 4 {
			return errFull
		}
		return nil
	}, maxKept)
	for range 3 {
		require.NoError(t, f.Read(&kingcupv1.CallRequest{}))
		require.LessOrEqual(t, cap(f.buf), maxKept)
	}
	require.ErrorIs(t, f.Read(&kingcupv1.CallRequest{}), errFull)
	require.LessOrEqual(t, cap(f.buf), maxKept)
	require.Len(t, sizes, 4)
	require.Greater(t, sizes[3], large)
}
