// Package apierr defines the errors that callers of client accounts receive: a machine-readable
// code, whether the request ran, and how long to wait before a retry.
//
// Other packages return their own typed errors, and package gateway maps them to Error. Only
// apierr defines the HTTP statuses and JSON bodies of these errors.
package apierr

import (
	"net/http"
	"time"
)

// Code identifies the reason for a refusal or failure. Codes must not change, because callers and
// dashboards match on them.
type Code string

// The codes that a caller can receive.
const (
	CodeUnauthenticated     Code = "unauthenticated"
	CodeForbidden           Code = "service_not_allowed"
	CodeUnknownService      Code = "unknown_service"
	CodeInvalidRequest      Code = "invalid_request"
	CodeRequestTooLarge     Code = "request_too_large"
	CodeNotReady            Code = "not_ready"
	CodeDraining            Code = "draining"
	CodeNoUpstream          Code = "no_upstream"
	CodeUpstreamFailed      Code = "upstream_failed"
	CodeUpstreamRefused     Code = "upstream_refused"
	CodeRateLimited         Code = "rate_limited"
	CodeOverloaded          Code = "overloaded"
	CodeTooLate             Code = "would_start_too_late"
	CodeDeadlineExceeded    Code = "deadline_exceeded"
	CodeRetryBudget         Code = "retry_budget_exhausted"
	CodeQuarantined         Code = "request_quarantined"
	CodeKeyRequired         Code = "idempotency_key_required"
	CodeKeyConflict         Code = "idempotency_key_conflict"
	CodeKeyTooOld           Code = "idempotency_key_too_old"
	CodeOrderInProgress     Code = "order_in_progress"
	CodeOrderUnknown        Code = "order_outcome_unknown"
	CodePlatformUnavailable Code = "platform_unavailable"
	CodeUnknownRequest      Code = "unknown_request"
	CodeRequestLost         Code = "request_lost"
	CodeInternal            Code = "internal"
)

// Ran states whether the work of a refused or failed request ran.
type Ran string

// The values of Ran in an error.
const (
	// NotRun is reported only while no byte of the request can have reached an upstream.
	NotRun Ran = "not_run"
	// RanUnknown is reported once the first byte of the request may have reached an upstream.
	RanUnknown Ran = "unknown"
	// RanDone means that the work ran to completion.
	RanDone Ran = "done"
)

// statuses maps each code to its HTTP status.
var statuses = map[Code]int{
	CodeUnauthenticated:     http.StatusUnauthorized,
	CodeForbidden:           http.StatusForbidden,
	CodeUnknownService:      http.StatusNotFound,
	CodeInvalidRequest:      http.StatusBadRequest,
	CodeRequestTooLarge:     http.StatusRequestEntityTooLarge,
	CodeNotReady:            http.StatusServiceUnavailable,
	CodeDraining:            http.StatusServiceUnavailable,
	CodeNoUpstream:          http.StatusServiceUnavailable,
	CodeUpstreamFailed:      http.StatusBadGateway,
	CodeUpstreamRefused:     http.StatusBadGateway,
	CodeRateLimited:         http.StatusTooManyRequests,
	CodeOverloaded:          http.StatusTooManyRequests,
	CodeTooLate:             http.StatusServiceUnavailable,
	CodeDeadlineExceeded:    http.StatusGatewayTimeout,
	CodeRetryBudget:         http.StatusServiceUnavailable,
	CodeQuarantined:         http.StatusUnprocessableEntity,
	CodeKeyRequired:         http.StatusBadRequest,
	CodeKeyConflict:         http.StatusUnprocessableEntity,
	CodeKeyTooOld:           http.StatusUnprocessableEntity,
	CodeOrderInProgress:     http.StatusConflict,
	CodeOrderUnknown:        http.StatusBadGateway,
	CodePlatformUnavailable: http.StatusServiceUnavailable,
	CodeUnknownRequest:      http.StatusNotFound,
	CodeRequestLost:         http.StatusGone,
	CodeInternal:            http.StatusInternalServerError,
}

// Codes returns a new map from every code to its HTTP status.
func Codes() map[Code]int {
	out := make(map[Code]int, len(statuses))
	for code, status := range statuses {
		out[code] = status
	}
	return out
}

// Error is a refusal or failure that is reported to the caller.
type Error struct {
	Code Code
	// Ran states whether the work ran. The empty value means NotRun.
	Ran Ran
	// RetryAfter is the time to wait before a retry. Zero means that a retry does not help.
	RetryAfter time.Duration
	// Detail is a text for human readers and must not contain secrets.
	Detail string
	// Cause is the underlying error, which is logged and never sent to the caller.
	Cause error
}

// New returns an error with Ran set to NotRun, for a request whose work did not run.
func New(code Code, detail string) *Error {
	return &Error{Code: code, Ran: NotRun, Detail: detail}
}

// Error implements error.
func (e *Error) Error() string {
	msg := string(e.Code) + " (" + string(e.ran()) + "): " + e.Detail
	if e.Cause != nil {
		msg += ": " + e.Cause.Error()
	}
	return msg
}

// Unwrap returns Cause.
func (e *Error) Unwrap() error { return e.Cause }

// Status returns the HTTP status of the error's code, or 500 for an undefined code.
func (e *Error) Status() int {
	if status, ok := statuses[e.Code]; ok {
		return status
	}
	return http.StatusInternalServerError
}

// WithCause returns a copy of e with Cause set to cause.
func (e *Error) WithCause(cause error) *Error {
	out := *e
	out.Cause = cause
	return &out
}

// WithRetryAfter returns a copy of e with RetryAfter set to d.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	out := *e
	out.RetryAfter = d
	return &out
}

// WithRan returns a copy of e with Ran set to ran.
func (e *Error) WithRan(ran Ran) *Error {
	out := *e
	out.Ran = ran
	return &out
}

// ran returns Ran, with NotRun in place of the empty value.
func (e *Error) ran() Ran {
	if e.Ran == "" {
		return NotRun
	}
	return e.Ran
}
