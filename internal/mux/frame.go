// Package mux carries protobuf frames on yamux streams between the system's own
// processes.
package mux

import (
	"bufio"
	"encoding/binary"
	"io"
	"sync"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"
)

// MaxFrameBytes bounds a frame in bytes. A peer that announces more is cut off
// before anything is allocated for it.
const MaxFrameBytes = 4 << 20

const headerLen = 4

// Errors of the inner protocol.
var (
	ErrFrameTooLarge = errors.New("frame exceeds the size bound")
	ErrMalformed     = errors.New("malformed frame")
)

var scratch = sync.Pool{New: func() any { return new([]byte) }}

// WriteFrame writes msg with its length in front, in one Write.
func WriteFrame(w io.Writer, msg proto.Message) error {
	p := scratch.Get().(*[]byte)
	defer scratch.Put(p)
	buf, err := appendFrame((*p)[:0], msg)
	if err != nil {
		return err
	}
	*p = buf
	_, err = w.Write(buf)
	return err
}

// EncodeFrame encodes msg with its length in front, for a message that goes to several
// peers.
func EncodeFrame(msg proto.Message) ([]byte, error) { return appendFrame(nil, msg) }

func appendFrame(buf []byte, msg proto.Message) ([]byte, error) {
	buf = append(buf, make([]byte, headerLen)...)
	buf, err := proto.MarshalOptions{}.MarshalAppend(buf, msg)
	if err != nil {
		return nil, errors.Wrap(ErrMalformed, err.Error())
	}
	size := len(buf) - headerLen
	if size > MaxFrameBytes {
		return nil, errors.Wrapf(ErrFrameTooLarge, "%d bytes", size)
	}
	binary.BigEndian.PutUint32(buf, uint32(size))
	return buf, nil
}

// FrameReader reads frames into a buffer that it reuses. It is for one
// goroutine.
type FrameReader struct {
	r   *bufio.Reader
	buf []byte
}

const readBuffer = 1 << 10

// NewFrameReader reads frames from r.
func NewFrameReader(r io.Reader) *FrameReader {
	return &FrameReader{r: bufio.NewReaderSize(r, readBuffer)}
}

// Read fills msg with the next frame. io.EOF means that the peer closed
// between two frames.
func (f *FrameReader) Read(msg proto.Message) error {
	var header [headerLen]byte
	if _, err := io.ReadFull(f.r, header[:]); err != nil {
		return err
	}
	size := binary.BigEndian.Uint32(header[:])
	if size > MaxFrameBytes {
		return errors.Wrapf(ErrFrameTooLarge, "%d bytes announced", size)
	}
	if cap(f.buf) < int(size) {
		f.buf = make([]byte, size)
	}
	f.buf = f.buf[:size]
	if _, err := io.ReadFull(f.r, f.buf); err != nil {
		return unexpected(err)
	}
	if err := proto.Unmarshal(f.buf, msg); err != nil {
		return errors.Wrap(ErrMalformed, err.Error())
	}
	return nil
}

func unexpected(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}
