package logger

import (
	"bytes"
	"encoding/json"
	"maps"
	"reflect"
	"slices"
	"sync"

	"github.com/go-json-experiment/json/jsontext"
	"github.com/sirupsen/logrus"
)

const timeFormat = "2006-01-02T15:04:05.000000Z07:00"

// Names of the fields that every line has. Another field of the same name gets
// clashPrefix, as in logrus's JSON format.
const (
	fieldTime    = "time"
	fieldLevel   = "level"
	fieldMessage = "msg"
	clashPrefix  = "fields."
)

// lineEncoder is a reusable encoder with its buffer, and a buffer for the names of
// a line's fields.
type lineEncoder struct {
	buffer  bytes.Buffer
	encoder jsontext.Encoder
	names   []string
}

var lineEncoders = sync.Pool{New: func() any { return new(lineEncoder) }}

// format returns a log entry as one line of JSON, with its fields sorted by name.
// Unlike logrus's formatter it does not pass strings, integers and booleans to
// encoding/json, which halves the cost of a line.
func format(e *logrus.Entry) ([]byte, error) {
	le := lineEncoders.Get().(*lineEncoder)
	defer lineEncoders.Put(le)
	le.buffer.Reset()
	enc := &le.encoder
	enc.Reset(&le.buffer, jsontext.AllowInvalidUTF8(true), jsontext.AllowDuplicateNames(true)) // the keys of a map are distinct
	tokens := []jsontext.Token{
		jsontext.BeginObject,
		jsontext.String(fieldTime), jsontext.String(e.Time.Format(timeFormat)),
		jsontext.String(fieldLevel), jsontext.String(e.Level.String()),
		jsontext.String(fieldMessage), jsontext.String(e.Message),
	}
	for _, t := range tokens {
		if err := enc.WriteToken(t); err != nil {
			return nil, err
		}
	}
	le.names = slices.AppendSeq(le.names[:0], maps.Keys(e.Data))
	slices.Sort(le.names)
	for _, name := range le.names {
		if err := writeField(enc, name, e.Data[name]); err != nil {
			return nil, err
		}
	}
	err := enc.WriteToken(jsontext.EndObject) // the encoder adds the newline
	return bytes.Clone(le.buffer.Bytes()), err
}

func writeField(enc *jsontext.Encoder, name string, value any) error {
	if name == fieldTime || name == fieldLevel || name == fieldMessage {
		name = clashPrefix + name
	}
	if err := enc.WriteToken(jsontext.String(name)); err != nil {
		return err
	}
	if err, ok := value.(error); ok {
		return enc.WriteToken(jsontext.String(err.Error()))
	}
	switch v := reflect.ValueOf(value); v.Kind() {
	case reflect.String:
		return enc.WriteToken(jsontext.String(v.String()))
	case reflect.Int, reflect.Int64:
		return enc.WriteToken(jsontext.Int(v.Int()))
	case reflect.Bool:
		return enc.WriteToken(jsontext.Bool(v.Bool()))
	}
	text, err := json.Marshal(value)
	if err != nil {
		return err
	}
	return enc.WriteValue(text)
}
