package kv

import "github.com/go-faster/errors"

// Reason is the cause of a failed call to the key-value service.
type Reason string

// Reasons why a call to the key-value service fails.
const (
	ReasonNotFound     Reason = "not_found"
	ReasonConflict     Reason = "conflict"
	ReasonLeaseExpired Reason = "lease_expired"
	ReasonTooLarge     Reason = "too_large"
	// ReasonRateLimited means that the call budget or the service's rate limit
	// rejected the call before it took effect.
	ReasonRateLimited Reason = "rate_limited"
	// ReasonUnavailable means that the service or the circuit breaker did not
	// accept the call, so that it did not take effect.
	ReasonUnavailable Reason = "unavailable"
	// ReasonUnknown means that no response arrived, so that the call may have
	// taken effect.
	ReasonUnknown Reason = "unknown"
	// ReasonInvalid means that the call was malformed.
	ReasonInvalid Reason = "invalid"
)

// Error describes a failed call to the key-value service.
type Error struct {
	Op     string
	Key    string
	Reason Reason
	// Current is the stored version of the key after a conflict. Zero means
	// that the key does not exist or that the service did not report a version.
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

// Unwrap returns e.Cause.
func (e *Error) Unwrap() error { return e.Cause }

// ReasonOf returns the Reason of the *Error in err's chain. It returns
// ReasonUnknown if the chain has no *Error, and an empty Reason if err is nil.
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
