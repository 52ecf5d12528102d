package logging

import (
	"bytes"
	"encoding/json"
	"slices"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
)

// jsonFormatter writes what logrus.JSONFormatter does, byte for byte, without its copy of the
// fields and reflection: requests write their lines themselves, and wait for them.
type jsonFormatter struct{ timestamp string }

// Format implements logrus.Formatter.
func (f jsonFormatter) Format(e *logrus.Entry) ([]byte, error) {
	b := e.Buffer
	if b == nil {
		b = &bytes.Buffer{}
	}
	w := lineWriter{buf: b}
	keys := make([]string, 0, len(e.Data)+3)
	for key := range e.Data {
		if reserved(key) {
			return (&logrus.JSONFormatter{TimestampFormat: f.timestamp}).Format(e)
		}
		keys = append(keys, key)
	}
	keys = append(keys, logrus.FieldKeyLevel, logrus.FieldKeyMsg, logrus.FieldKeyTime)
	slices.Sort(keys)
	for _, key := range keys {
		w.key(key)
		switch key {
		case logrus.FieldKeyLevel:
			w.text(e.Level.String())
		case logrus.FieldKeyMsg:
			w.text(e.Message)
		case logrus.FieldKeyTime:
			w.text(e.Time.Format(f.timestamp))
		default:
			w.value(e.Data[key])
		}
	}
	b.WriteString("}\n")
	return b.Bytes(), w.err
}

// reserved reports whether a field has the name of one of every line.
func reserved(key string) bool {
	switch key {
	case logrus.FieldKeyLevel, logrus.FieldKeyMsg, logrus.FieldKeyTime, logrus.FieldKeyLogrusError, logrus.FieldKeyFunc, logrus.FieldKeyFile:
		return true
	}
	return false
}

// lineWriter writes the members of an object; err is the first error.
type lineWriter struct {
	buf *bytes.Buffer
	err error
}

func (w *lineWriter) key(key string) {
	if w.buf.Len() == 0 {
		w.buf.WriteByte('{')
	} else {
		w.buf.WriteByte(',')
	}
	w.text(key)
	w.buf.WriteByte(':')
}

func (w *lineWriter) value(v any) {
	switch v := v.(type) {
	case string:
		w.text(v)
	case int:
		w.integer(int64(v))
	case int64:
		w.integer(v)
	case uint64:
		w.buf.Write(strconv.AppendUint(w.buf.AvailableBuffer(), v, 10))
	case bool:
		w.buf.Write(strconv.AppendBool(w.buf.AvailableBuffer(), v))
	case error:
		w.text(v.Error())
	default:
		w.any(v)
	}
}

func (w *lineWriter) integer(v int64) {
	w.buf.Write(strconv.AppendInt(w.buf.AvailableBuffer(), v, 10))
}

func (w *lineWriter) text(s string) {
	for i := range len(s) {
		if c := s[i]; c < ' ' || c >= 0x7f || c == '"' || c == '\\' || c == '<' || c == '>' || c == '&' {
			w.any(s)
			return
		}
	}
	w.buf.WriteByte('"')
	w.buf.WriteString(s)
	w.buf.WriteByte('"')
}

func (w *lineWriter) any(v any) {
	data, err := json.Marshal(v)
	if err != nil && w.err == nil {
		w.err = errors.Wrap(err, "log line")
	}
	w.buf.Write(data)
}

var _ logrus.Formatter = jsonFormatter{}

// timestampFormat is that of the lines.
const timestampFormat = time.RFC3339Nano
