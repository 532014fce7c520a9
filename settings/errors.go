package settings

import "strconv"

// Error reports a settings file or a setting that was rejected.
type Error struct {
	File string
	// Line is the 1-based line of the fault in the file; zero if there is none.
	Line     int
	Field    string
	Expected string
	Cause    error
}

// Error returns the text with the file, the line and field if known, the expected
// value and the cause.
func (e *Error) Error() string {
	msg := "settings " + e.File
	if e.Line > 0 {
		msg += ":" + strconv.Itoa(e.Line)
	}
	if e.Field != "" {
		msg += ": field " + e.Field
	}
	msg += ": expected " + e.Expected
	if e.Cause != nil {
		msg += ": " + e.Cause.Error()
	}
	return msg
}

// Unwrap returns the error that made the settings unreadable, or nil for a setting
// with an invalid value.
func (e *Error) Unwrap() error { return e.Cause }
