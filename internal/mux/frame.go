// Package mux encodes and decodes protobuf frames and configures the yamux
// sessions that carry them between the processes of this system.
package mux

import (
	"bufio"
	"encoding/binary"
	"io"
	"sync"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"
)

// MaxFrameBytes bounds the encoded message in a frame. A frame that announces more
// bytes is rejected before memory is allocated for it.
const MaxFrameBytes = 4 << 20

// frameHeaderLen is the size of the length that precedes a message, in bytes.
const frameHeaderLen = 4

// Errors of reading and writing frames.
var (
	ErrFrameTooLarge = errors.New("frame exceeds the size bound")
	ErrMalformed     = errors.New("malformed frame")
)

// writeBuffers reuses the buffers of WriteFrame.
var writeBuffers = sync.Pool{New: func() any { return new([]byte) }}

// WriteFrame writes msg, preceded by its length, in one Write. Errors:
// ErrFrameTooLarge, ErrMalformed, or an error of w.
func WriteFrame(w io.Writer, msg proto.Message) error {
	p := writeBuffers.Get().(*[]byte)
	defer writeBuffers.Put(p)
	buf, err := appendFrame((*p)[:0], msg)
	if err != nil {
		return err
	}
	*p = buf
	_, err = w.Write(buf)
	return err
}

// EncodeFrame encodes msg, preceded by its length, for a message that is sent to
// several peers. Errors: ErrFrameTooLarge, ErrMalformed.
func EncodeFrame(msg proto.Message) ([]byte, error) { return appendFrame(nil, msg) }

// appendFrame appends msg, preceded by its length, to buf.
func appendFrame(buf []byte, msg proto.Message) ([]byte, error) {
	buf = append(buf, make([]byte, frameHeaderLen)...)
	buf, err := proto.MarshalOptions{}.MarshalAppend(buf, msg)
	if err != nil {
		return nil, errors.Wrap(ErrMalformed, err.Error())
	}
	size := len(buf) - frameHeaderLen
	if size > MaxFrameBytes {
		return nil, errors.Wrapf(ErrFrameTooLarge, "%d bytes", size)
	}
	binary.BigEndian.PutUint32(buf, uint32(size))
	return buf, nil
}

// FrameReader reads frames and reuses its buffer. It is not safe for concurrent
// use.
type FrameReader struct {
	r   *bufio.Reader
	buf []byte

	admit   func(size int) error
	maxKept int
}

// Admit makes Read call admit with the length of each frame before memory is allocated for it, and return its error. A
// buffer of more than maxKept bytes is not kept for further frames.
func (f *FrameReader) Admit(admit func(size int) error, maxKept int) {
	f.admit, f.maxKept = admit, maxKept
}

const readBufferBytes = 1 << 10

// NewFrameReader returns a reader of the frames in r.
func NewFrameReader(r io.Reader) *FrameReader {
	return &FrameReader{r: bufio.NewReaderSize(r, readBufferBytes)}
}

// Read decodes the next frame into msg. Errors: io.EOF if r ends between two
// frames, ErrFrameTooLarge, ErrMalformed, or another error of r.
func (f *FrameReader) Read(msg proto.Message) error {
	var header [frameHeaderLen]byte
	if _, err := io.ReadFull(f.r, header[:]); err != nil {
		return err
	}
	size := binary.BigEndian.Uint32(header[:])
	if size > MaxFrameBytes {
		return errors.Wrapf(ErrFrameTooLarge, "%d bytes announced", size)
	}
	if f.admit != nil {
		if err := f.admit(int(size)); err != nil {
			return err
		}
		if size > uint32(f.maxKept) {
			defer func() { f.buf = nil }()
		}
	}
	if cap(f.buf) < int(size) {
		f.buf = make([]byte, size)
	}
	f.buf = f.buf[:size]
	if _, err := io.ReadFull(f.r, f.buf); err != nil {
		return toUnexpectedEOF(err)
	}
	if err := proto.Unmarshal(f.buf, msg); err != nil {
		return errors.Wrap(ErrMalformed, err.Error())
	}
	return nil
}

// toUnexpectedEOF turns io.EOF, which in the middle of a frame is not a regular
// end, into io.ErrUnexpectedEOF.
func toUnexpectedEOF(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}
