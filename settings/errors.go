package settings

import "strconv"

// Error is a setting that was refused.
type Error struct {
	File string
	// Line is 1-based; zero when the settings are not from a file.
	Line     int
	Field    string
	Expected string
	Cause    error
}

// Error implements error.
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

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }
