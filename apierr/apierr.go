// Package apierr defines the errors that reach a client account's caller: a
// machine-readable code, whether the request ran, and when to come again.
//
// Other packages return their own typed errors; the gateway maps them to this
// type once, at the edge. Statuses and bodies are rendered nowhere else.
package apierr

import (
	"net/http"
	"time"
)

// Code names the reason for a refusal or failure. Codes are stable: callers
// and dashboards match on them.
type Code string

// The reasons that a caller can see.
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

// Ran states whether the refused request's work ran.
type Ran string

// The states that a refusal reports.
const (
	// NotRun holds only while no byte of the request can have reached an upstream.
	NotRun Ran = "not_run"
	// RanUnknown is the answer after the first byte may have reached an upstream.
	RanUnknown Ran = "unknown"
	// RanDone means that the work ran to its end.
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

// Codes returns every code with its HTTP status. The map is a copy.
func Codes() map[Code]int {
	out := make(map[Code]int, len(statuses))
	for code, status := range statuses {
		out[code] = status
	}
	return out
}

// Error is a refusal or failure as the caller sees it.
type Error struct {
	Code Code
	// Ran says whether the work ran; empty is read as NotRun.
	Ran Ran
	// RetryAfter is how long the caller should wait; zero means that a
	// repeat will not help.
	RetryAfter time.Duration
	// Detail is for people and holds no secrets.
	Detail string
	// Cause is logged and never sent to the caller.
	Cause error
}

// New returns an error for work that did not run.
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

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// Status returns the HTTP status of the code.
func (e *Error) Status() int {
	if status, ok := statuses[e.Code]; ok {
		return status
	}
	return http.StatusInternalServerError
}

// WithCause returns a copy of e that wraps cause.
func (e *Error) WithCause(cause error) *Error {
	out := *e
	out.Cause = cause
	return &out
}

// WithRetryAfter returns a copy of e that asks the caller to wait for d.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	out := *e
	out.RetryAfter = d
	return &out
}

// WithRan returns a copy of e that reports ran.
func (e *Error) WithRan(ran Ran) *Error {
	out := *e
	out.Ran = ran
	return &out
}

func (e *Error) ran() Ran {
	if e.Ran == "" {
		return NotRun
	}
	return e.Ran
}
