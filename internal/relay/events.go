package relay

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/pkg/errors"
)

// errGap says that a stream's events are not consecutive.
var errGap = errors.New("gap in the events of a stream")

// errEventTooLarge says that an event exceeds its bound.
var errEventTooLarge = errors.New("event too large")

const (
	eventBuffer = 2 << 10
	// maxEvent bounds an event in bytes; events hold a few tokens.
	maxEvent = 256 << 10
)

// eventReader splits a stream into whole events. Half an event at a break is
// never passed on: its rest would come from another server.
type eventReader struct {
	in  *bufio.Reader
	buf []byte
}

func newEventReader(r io.Reader) *eventReader {
	return &eventReader{in: bufio.NewReaderSize(r, eventBuffer)}
}

// next returns the next event with its blank line; it is valid until the next
// call. io.EOF is a clean end between two events.
func (e *eventReader) next() ([]byte, error) {
	e.buf = e.buf[:0]
	for {
		line, err := e.in.ReadSlice('\n')
		e.buf = append(e.buf, line...)
		if err == bufio.ErrBufferFull {
			err = nil
		}
		if err != nil {
			return nil, e.broken(err)
		}
		if len(e.buf) > maxEvent {
			return nil, errEventTooLarge
		}
		if isBlank(line) && len(e.buf) > len(line) {
			return e.buf, nil
		}
	}
}

func (e *eventReader) broken(err error) error {
	if err == io.EOF && len(e.buf) > 0 {
		return io.ErrUnexpectedEOF
	}
	return err
}

func isBlank(line []byte) bool {
	return len(line) == 1 && line[0] == '\n' || len(line) == 2 && line[0] == '\r' && line[1] == '\n'
}

var idField = []byte("id:")

// eventID returns the id of an event.
func eventID(event []byte) (uint64, bool) {
	for line := range bytes.Lines(event) {
		if rest, ok := bytes.CutPrefix(line, idField); ok {
			id, err := strconv.ParseUint(string(bytes.TrimSpace(rest)), 10, 64)
			return id, err == nil
		}
	}
	return 0, false
}

// sequence checks that events follow one another.
type sequence struct {
	last  uint64
	begun bool
}

// sequenceAfter continues behind the event that a caller has.
func sequenceAfter(id string) sequence {
	n, err := strconv.ParseUint(id, 10, 64)
	return sequence{last: n, begun: err == nil}
}

// take reports whether an event is to be passed on. An event seen before is not,
// and a gap is an error. Events without an id pass.
func (s *sequence) take(event []byte) (bool, error) {
	id, ok := eventID(event)
	if !ok {
		return true, nil
	}
	if !s.begun {
		s.last, s.begun = id, true
		return true, nil
	}
	if id <= s.last {
		return false, nil
	}
	if id != s.last+1 {
		return false, errors.Wrapf(errGap, "event %d follows %d", id, s.last)
	}
	s.last = id
	return true, nil
}

// after is the last event passed on, empty if none.
func (s *sequence) after() string {
	if !s.begun {
		return ""
	}
	return strconv.FormatUint(s.last, 10)
}
