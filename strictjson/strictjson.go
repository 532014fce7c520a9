// Package strictjson decodes JSON files that people write: one object, no
// unknown fields, and each fault with its line and field.
package strictjson

import (
	"bytes"
	"encoding/json"
	"reflect"
	"regexp"
	"strconv"
	"strings"

	"github.com/go-faster/errors"
)

// MaxSize bounds one file, in bytes.
const MaxSize = 64 << 10

// Fault is what is wrong with a file.
type Fault struct {
	// Line is 1-based.
	Line int
	// Field as it stands in the file; empty when the fault has none.
	Field    string
	Expected string
	Cause    error
}

// ValueError is returned by an UnmarshalJSON method for a value that it refuses.
type ValueError struct {
	// Raw is the value as it stands in the file.
	Raw      string
	Expected string
}

// Error implements error.
func (e *ValueError) Error() string { return e.Raw + ": expected " + e.Expected }

// keyBefore matches the key of the value that follows.
var keyBefore = regexp.MustCompile(`"([A-Za-z0-9_]+)"\s*:\s*$`)

// Decode decodes the only JSON object in data. It returns nil or the first fault.
func Decode(data []byte, into any) *Fault {
	if len(data) > MaxSize {
		return &Fault{Line: 1, Expected: "at most " + strconv.Itoa(MaxSize) + " bytes"}
	}
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return faultOf(err, data, decoder.InputOffset())
	}
	if rest := bytes.TrimSpace(data[decoder.InputOffset():]); len(rest) > 0 {
		return &Fault{Line: lineAt(data, decoder.InputOffset()), Expected: "one JSON object and nothing after it"}
	}
	return nil
}

func faultOf(err error, data []byte, offset int64) *Fault {
	var typeErr *json.UnmarshalTypeError
	if errors.As(err, &typeErr) {
		return &Fault{Line: lineAt(data, typeErr.Offset), Field: typeErr.Field, Expected: nameOf(typeErr.Type)}
	}
	var valueErr *ValueError
	if errors.As(err, &valueErr) {
		return faultOfValue(valueErr, data)
	}
	var syntaxErr *json.SyntaxError
	if errors.As(err, &syntaxErr) {
		return &Fault{Line: lineAt(data, syntaxErr.Offset), Expected: "valid JSON", Cause: err}
	}
	if field, ok := strings.CutPrefix(err.Error(), "json: unknown field "); ok {
		name := strings.Trim(field, `"`)
		return &Fault{Line: LineOf(data, name), Field: name, Expected: "a known field"}
	}
	return &Fault{Line: lineAt(data, offset), Expected: "valid JSON", Cause: err}
}

// faultOfValue finds a refused value's line and key.
func faultOfValue(err *ValueError, data []byte) *Fault {
	at := max(bytes.Index(data, []byte(err.Raw)), 0)
	fault := &Fault{Line: lineAt(data, int64(at)), Expected: err.Expected}
	if key := keyBefore.FindSubmatch(data[:at]); key != nil {
		fault.Field = string(key[1])
	}
	return fault
}

// nameOf names a type as JSON has it.
func nameOf(t reflect.Type) string {
	switch t.Kind() {
	case reflect.String:
		return "a text"
	case reflect.Bool:
		return "true or false"
	case reflect.Slice:
		return "a list"
	case reflect.Struct, reflect.Map:
		return "an object"
	default:
		return "a number"
	}
}

// LineOf returns the line of a field's first mention, or 1. The last part of a
// path such as "platform.key_value" is the field's name.
func LineOf(data []byte, field string) int {
	name := field[strings.LastIndexByte(field, '.')+1:]
	return lineAt(data, int64(bytes.Index(data, []byte(`"`+name+`"`))))
}

func lineAt(data []byte, offset int64) int {
	offset = min(max(offset, 0), int64(len(data)))
	return 1 + bytes.Count(data[:offset], []byte("\n"))
}
