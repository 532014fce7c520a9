// Package strictjson decodes JSON files that people write. A file must hold exactly
// one object without unknown fields; an error names the line and the field of the
// first fault.
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

// MaxSize is the maximum size of one file, in bytes (64 KiB).
const MaxSize = 64 << 10

// Fault describes the first error in a JSON file.
type Fault struct {
	// Line is the 1-based line of the fault.
	Line int
	// Field is the name or dotted path of the faulty field; empty if there is none.
	Field    string
	Expected string
	Cause    error
}

// ValueError is the error that an UnmarshalJSON method returns for an invalid value.
type ValueError struct {
	// Raw is the text of the invalid value as written in the file.
	Raw      string
	Expected string
}

// Error returns the text with the invalid value and what was expected.
func (e *ValueError) Error() string { return e.Raw + ": expected " + e.Expected }

// lastKey matches the key and the colon at the end of the text before a value.
var lastKey = regexp.MustCompile(`"([A-Za-z0-9_]+)"\s*:\s*$`)

// Decode decodes data, which must hold exactly one JSON object, into the value that
// into points to. It returns the first fault, or nil if there is none.
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

// faultOf converts a decoding error to a Fault. The offset in bytes gives the line of
// an error that has no position of its own.
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

// faultOfValue converts a ValueError to a Fault with the line of the first occurrence
// of the invalid value and, where one precedes it, its key.
func faultOfValue(err *ValueError, data []byte) *Fault {
	offset := max(bytes.Index(data, []byte(err.Raw)), 0)
	fault := &Fault{Line: lineAt(data, int64(offset)), Expected: err.Expected}
	if key := lastKey.FindSubmatch(data[:offset]); key != nil {
		fault.Field = string(key[1])
	}
	return fault
}

// nameOf returns the JSON name of a Go type with its article, for an error text.
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

// LineOf returns the 1-based line on which a field's name first occurs in data, or 1
// if it does not occur. For a path such as "platform.key_value", LineOf searches for
// the last part only.
func LineOf(data []byte, field string) int {
	name := field[strings.LastIndexByte(field, '.')+1:]
	return lineAt(data, int64(bytes.Index(data, []byte(`"`+name+`"`))))
}

// lineAt returns the 1-based line of an offset in bytes. It limits the offset to the
// bounds of data.
func lineAt(data []byte, offset int64) int {
	offset = min(max(offset, 0), int64(len(data)))
	return 1 + bytes.Count(data[:offset], []byte("\n"))
}
