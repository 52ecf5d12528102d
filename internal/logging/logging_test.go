package logging

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"math"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Guards against lines that differ from those of logrus.JSONFormatter. Operators and tools
// parse the lines.
func TestFormatEqualsLogrus(t *testing.T) {
	reference := &logrus.JSONFormatter{TimestampFormat: timestampFormat}
	rapid.Check(t, func(t *rapid.T) {
		e := logrus.NewEntry(logrus.New())
		e.Time = time.Unix(rapid.Int64Range(0, 1<<33).Draw(t, "s"), rapid.Int64Range(0, 999_999_999).Draw(t, "ns")).UTC()
		e.Level = logrus.Level(rapid.IntRange(2, 6).Draw(t, "level"))
		e.Message = rapid.String().Draw(t, "message")
		for range rapid.IntRange(0, 8).Draw(t, "fields") {
			e = withRandomField(t, e)
		}
		want, err := reference.Format(e)
		require.NoError(t, err)
		got, err := jsonFormatter{timestampFormat}.Format(e)
		require.NoError(t, err)
		require.Equal(t, string(want), string(got))
	})
}

type namedString string

func withRandomField(t *rapid.T, e *logrus.Entry) *logrus.Entry {
	keys := rapid.OneOf(rapid.String(), rapid.SampledFrom([]string{"msg", "level", "time", "error", "server", "<b>"}))
	text := rapid.String().Draw(t, "text")
	value := rapid.SampledFrom([]any{
		text, len(text), int64(-len(text)), uint64(math.MaxUint64), len(text)%2 == 0, errors.New(text), nil, 0.1 * float64(len(text)),
		time.Duration(len(text)), namedString(text), []string{text, "b"}, map[string]any{text: 1}, []map[string]any{{"a": text}},
	}).Draw(t, "value")
	out := e.WithField(keys.Draw(t, "key"), value)
	out.Time, out.Level, out.Message = e.Time, e.Level, e.Message
	return out
}

// Guards against an incomplete line, without an error, for a value that cannot be encoded.
func TestUnencodableValueIsAnError(t *testing.T) {
	_, err := jsonFormatter{timestampFormat}.Format(logrus.WithField("value", math.Inf(1)))
	require.Error(t, err)
}

// Guards against lost lines that can't be told from lines that were never written.
func TestLostLinesShow(t *testing.T) {
	var out bytes.Buffer
	reader := make(chan struct{})
	q := NewWriter(writerFunc(func(line []byte) (int, error) {
		<-reader
		return out.Write(line)
	}))
	log := New(q, logrus.InfoLevel)
	for range maxQueuedLines + 100 {
		log.Info("usual")
	}
	for range reservedLines / 2 {
		log.WithField(KeptField, true).Info("kept")
	}
	close(reader)
	q.Close()
	lost, kept, last := q.Lost(LostToRate)+q.Lost(LostToQueue), 0, 0
	require.Positive(t, lost)
	gaps, reports := 0, 0
	for line := range bytes.Lines(out.Bytes()) {
		var l struct {
			Line  int    `json:"line"`
			Msg   string `json:"msg"`
			Kept  bool   `json:"kept"`
			Queue int    `json:"lost_by_queue"`
			Rate  int    `json:"lost_by_rate"`
		}
		require.NoError(t, json.Unmarshal(line, &l))
		if l.Line == 0 {
			reports += l.Queue + l.Rate
			continue
		}
		gaps += l.Line - last - 1
		last = l.Line
		if l.Kept {
			kept++
		}
	}
	require.EqualValues(t, lost, gaps)
	require.EqualValues(t, lost, reports)
	require.Equal(t, reservedLines/2, kept)
}

// Guards against numbers that repeat or go back where goroutines log at the same time.
func TestLinesAreNumberedInOrder(t *testing.T) {
	var out bytes.Buffer
	q := NewWriter(&out)
	log := New(q, logrus.InfoLevel)
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			for range 50 {
				log.Info("line")
			}
		})
	}
	wg.Wait()
	q.Close()
	number := 0
	for line := range bytes.Lines(out.Bytes()) {
		var l struct {
			Line int `json:"line"`
		}
		require.NoError(t, json.Unmarshal(line, &l))
		number++
		require.Equal(t, number, l.Line)
	}
	require.Equal(t, 400, number)
}

// writerFunc is an io.Writer.
type writerFunc func(p []byte) (int, error)

func (f writerFunc) Write(p []byte) (int, error) { return f(p) }

// Measures a log line like the two that a gateway writes for a plain request.
func BenchmarkLogLine(b *testing.B) {
	log := New(io.Discard, logrus.InfoLevel).WithField("vm", "vm-1").WithFields(logrus.Fields{"request": "attempt-1234", "route": "safe", "service": "desk", "team": "team-1", "config": uint64(12), "config_age_ms": int64(33)})
	b.ReportAllocs()
	for b.Loop() {
		log.WithFields(logrus.Fields{"server": "i-desk-12", "running": 3, "of": 12, "tokens": 0, "prompt": 0, "waited_ms": int64(0), "answer_ms": int64(12), "try": 1, "status": 200}).Info("sent")
	}
}
