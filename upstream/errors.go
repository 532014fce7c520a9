package upstream

import "github.com/go-faster/errors"

// Reason classifies a failed call to an upstream.
type Reason string

// The reasons of a failed call.
const (
	// ReasonConnect: no connection, so that no byte reached the upstream.
	ReasonConnect Reason = "connect_failed"
	// ReasonRefused: the upstream answered that it did not take the work.
	ReasonRefused Reason = "refused"
	// ReasonLeaving: the upstream refused because its host is leaving.
	ReasonLeaving Reason = "leaving"
	// ReasonBroken: the connection broke after the work may have begun.
	ReasonBroken Reason = "connection_broken"
	// ReasonNoStream: the engine does not know the attempt.
	ReasonNoStream Reason = "no_such_stream"
	// ReasonStaleFence: the engine refused an order with an old fencing number.
	ReasonStaleFence Reason = "stale_fence"
	// ReasonTimeout: the context ended after the work may have begun.
	ReasonTimeout Reason = "timeout"
	// ReasonProtocol: the answer could not be understood.
	ReasonProtocol Reason = "protocol"
)

// Error is a failed call to an upstream.
type Error struct {
	Op       string
	Upstream string
	Reason   Reason
	Cause    error
}

// Error implements error.
func (e *Error) Error() string {
	msg := "upstream " + e.Upstream + " " + e.Op + ": " + string(e.Reason)
	if e.Cause != nil {
		msg += ": " + e.Cause.Error()
	}
	return msg
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// NotRun says that the work surely did not begin.
func (e *Error) NotRun() bool {
	switch e.Reason {
	case ReasonConnect, ReasonRefused, ReasonLeaving, ReasonNoStream, ReasonStaleFence:
		return true
	default:
		return false
	}
}

// ReasonOf returns the reason of err, ReasonProtocol for an error of another
// type, and the empty reason for nil.
func ReasonOf(err error) Reason {
	if err == nil {
		return ""
	}
	var e *Error
	if errors.As(err, &e) {
		return e.Reason
	}
	return ReasonProtocol
}
