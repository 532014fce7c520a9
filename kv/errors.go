package kv

import "github.com/go-faster/errors"

// Reason classifies a failed call.
type Reason string

// The reasons of a failed call.
const (
	ReasonNotFound     Reason = "not_found"
	ReasonConflict     Reason = "conflict"
	ReasonLeaseExpired Reason = "lease_expired"
	ReasonTooLarge     Reason = "too_large"
	// ReasonRateLimited: the service refused the call before it took effect.
	ReasonRateLimited Reason = "rate_limited"
	// ReasonUnavailable: the call surely did not take effect.
	ReasonUnavailable Reason = "unavailable"
	// ReasonUnknown: the call may have taken effect.
	ReasonUnknown Reason = "unknown"
	// ReasonInvalid: the call was malformed.
	ReasonInvalid Reason = "invalid"
)

// Error is a failed call to the service.
type Error struct {
	Op     string
	Key    string
	Reason Reason
	// Current is the key's version on a conflict, where the service gave it.
	Current Version
	Cause   error
}

// Error implements error.
func (e *Error) Error() string {
	msg := "kv " + e.Op + " " + e.Key + ": " + string(e.Reason)
	if e.Cause != nil {
		msg += ": " + e.Cause.Error()
	}
	return msg
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// ReasonOf returns the reason of err, ReasonUnknown for an error of another
// type, and the empty reason for nil.
func ReasonOf(err error) Reason {
	if err == nil {
		return ""
	}
	var e *Error
	if errors.As(err, &e) {
		return e.Reason
	}
	return ReasonUnknown
}
