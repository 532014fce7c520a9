package kv

// RecordError reports a stored value that cannot be encoded or decoded, or that none of its writers has
// written.
type RecordError struct {
	Key string
	// Field is the field that is missing or out of range; empty if the value as a whole is at fault.
	Field string
	// Cause may be nil if Field is set.
	Cause error
}

// Error returns the text with the key, the field if there is one, and the cause.
func (e *RecordError) Error() string {
	msg := "value of " + e.Key
	if e.Field != "" {
		msg += ": field " + e.Field
	}
	if e.Cause != nil {
		msg += ": " + e.Cause.Error()
	}
	return msg
}

// Unwrap returns the cause, or nil.
func (e *RecordError) Unwrap() error { return e.Cause }
