package relay

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/pkg/errors"
)

// errGap means that the events of a stream are not consecutive.
var errGap = errors.New("gap in the events of a stream")

// errEventTooLarge means that an event exceeds maxEventSize.
var errEventTooLarge = errors.New("event too large")

const (
	eventBufferSize = 2 << 10
	// maxEventSize bounds an event in bytes; events contain a few tokens.
	maxEventSize = 256 << 10
)

// eventReader splits a stream into complete events. An event cut off at a break is never
// forwarded: its remainder would come from another server.
type eventReader struct {
	in  *bufio.Reader
	buf []byte
}

func newEventReader(r io.Reader) *eventReader {
	return &eventReader{in: bufio.NewReaderSize(r, eventBufferSize)}
}

// next returns the next event including its blank line. The result is valid until the next call.
// io.EOF means that the stream ended between two events.
func (e *eventReader) next() ([]byte, error) {
	e.buf = e.buf[:0]
	for {
		line, err := e.in.ReadSlice('\n')
		e.buf = append(e.buf, line...)
		if err == bufio.ErrBufferFull {
			err = nil
		}
		if err != nil {
			return nil, e.endError(err)
		}
		if len(e.buf) > maxEventSize {
			return nil, errEventTooLarge
		}
		if isBlank(line) && len(e.buf) > len(line) {
			return e.buf, nil
		}
	}
}

func (e *eventReader) endError(err error) error {
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

// sequence checks that events are consecutive.
type sequence struct {
	lastID  uint64
	started bool
	// stale counts the events since the last new one.
	stale int
}

// sequenceAfter returns the sequence that follows the event with an id.
func sequenceAfter(id string) sequence {
	last, err := strconv.ParseUint(id, 10, 64)
	return sequence{lastID: last, started: err == nil}
}

// errNoProgress means that a stream brings events that are not new, one after the other.
var errNoProgress = errors.New("events without progress")

// maxStaleEvents bounds the events in a row that are duplicates or have no id.
const maxStaleEvents = 64

// accept reports whether an event is to be forwarded. It is false for a duplicate, and a gap is
// an error. Events without an id are accepted.
func (s *sequence) accept(event []byte) (bool, error) {
	id, ok := eventID(event)
	if !ok || s.started && id <= s.lastID {
		if s.stale++; s.stale > maxStaleEvents {
			return false, errNoProgress
		}
		return !ok, nil
	}
	s.stale = 0
	if !s.started {
		s.lastID, s.started = id, true
		return true, nil
	}
	if id != s.lastID+1 {
		return false, errors.Wrapf(errGap, "event %d follows %d", id, s.lastID)
	}
	s.lastID = id
	return true, nil
}

// lastEventID returns the id of the last accepted event, empty if none.
func (s *sequence) lastEventID() string {
	if !s.started {
		return ""
	}
	return strconv.FormatUint(s.lastID, 10)
}
