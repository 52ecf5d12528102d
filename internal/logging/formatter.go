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

// jsonFormatter writes the same bytes as logrus.JSONFormatter, but does not copy the fields, and
// uses no reflection for values of common types. It saves this time because a log line is
// formatted in the goroutine of a request, which waits for it.
type jsonFormatter struct{ timestampFormat string }

// Format implements logrus.Formatter.
func (f jsonFormatter) Format(e *logrus.Entry) ([]byte, error) {
	b := e.Buffer
	if b == nil {
		b = &bytes.Buffer{}
	}
	w := objectWriter{buf: b}
	keys := make([]string, 0, len(e.Data)+3)
	for key := range e.Data {
		if isReserved(key) {
			return (&logrus.JSONFormatter{TimestampFormat: f.timestampFormat}).Format(e)
		}
		keys = append(keys, key)
	}
	keys = append(keys, logrus.FieldKeyLevel, logrus.FieldKeyMsg, logrus.FieldKeyTime)
	slices.Sort(keys)
	for _, key := range keys {
		w.key(key)
		switch key {
		case logrus.FieldKeyLevel:
			w.str(e.Level.String())
		case logrus.FieldKeyMsg:
			w.str(e.Message)
		case logrus.FieldKeyTime:
			w.str(e.Time.Format(f.timestampFormat))
		default:
			w.value(e.Data[key])
		}
	}
	b.WriteString("}\n")
	return b.Bytes(), w.err
}

// isReserved reports whether key is the name of a field that logrus itself writes.
func isReserved(key string) bool {
	switch key {
	case logrus.FieldKeyLevel, logrus.FieldKeyMsg, logrus.FieldKeyTime, logrus.FieldKeyLogrusError, logrus.FieldKeyFunc, logrus.FieldKeyFile:
		return true
	}
	return false
}

// objectWriter writes the members of a JSON object. err is the first encoding error.
type objectWriter struct {
	buf *bytes.Buffer
	err error
}

func (w *objectWriter) key(key string) {
	if w.buf.Len() == 0 {
		w.buf.WriteByte('{')
	} else {
		w.buf.WriteByte(',')
	}
	w.str(key)
	w.buf.WriteByte(':')
}

func (w *objectWriter) value(v any) {
	switch v := v.(type) {
	case string:
		w.str(v)
	case int:
		w.integer(int64(v))
	case int64:
		w.integer(v)
	case uint64:
		w.buf.Write(strconv.AppendUint(w.buf.AvailableBuffer(), v, 10))
	case bool:
		w.buf.Write(strconv.AppendBool(w.buf.AvailableBuffer(), v))
	case error:
		w.str(v.Error())
	default:
		w.marshal(v)
	}
}

func (w *objectWriter) integer(v int64) {
	w.buf.Write(strconv.AppendInt(w.buf.AvailableBuffer(), v, 10))
}

// str writes s as a JSON string. Strings with bytes outside printable ASCII, or with characters
// that JSON or HTML escaping replaces, are left to encoding/json.
func (w *objectWriter) str(s string) {
	for i := range len(s) {
		if c := s[i]; c < ' ' || c >= 0x7f || c == '"' || c == '\\' || c == '<' || c == '>' || c == '&' {
			w.marshal(s)
			return
		}
	}
	w.buf.WriteByte('"')
	w.buf.WriteString(s)
	w.buf.WriteByte('"')
}

func (w *objectWriter) marshal(v any) {
	data, err := json.Marshal(v)
	if err != nil && w.err == nil {
		w.err = errors.Wrap(err, "encode log field")
	}
	w.buf.Write(data)
}

var _ logrus.Formatter = jsonFormatter{}

// timestampFormat is the format of the time field.
const timestampFormat = time.RFC3339Nano
