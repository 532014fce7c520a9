package upstream

import "github.com/go-faster/errors"

// Reason classifies a failed call to an upstream.
type Reason string

// The reasons of a failed call.
const (
	// ReasonConnect means that no connection was opened, so no byte reached the upstream.
	ReasonConnect Reason = "connect_failed"
	// ReasonRefused means that the upstream rejected the call without running it.
	ReasonRefused Reason = "refused"
	// ReasonLeaving means that the upstream rejected the call because its host is being
	// taken out of service.
	ReasonLeaving Reason = "leaving"
	// ReasonBroken means that the connection broke after the call may have started to run.
	ReasonBroken Reason = "connection_broken"
	// ReasonNoStream means that the engine has no attempt with the given stream id.
	ReasonNoStream Reason = "no_such_stream"
	// ReasonStaleFence means that the engine rejected an order with an old fencing token.
	ReasonStaleFence Reason = "stale_fence"
	// ReasonTimeout means that the context was done after the call may have started to run.
	ReasonTimeout Reason = "timeout"
	// ReasonProtocol means that the response was invalid.
	ReasonProtocol Reason = "protocol"
)

// Error describes a failed call to an upstream.
type Error struct {
	// Op is the operation that failed, such as the path of the call.
	Op string
	// Upstream is the host id of the upstream.
	Upstream string
	Reason   Reason
	Cause    error
}

// Error returns the upstream, the operation, the reason and any cause as one line.
func (e *Error) Error() string {
	msg := "upstream " + e.Upstream + " " + e.Op + ": " + string(e.Reason)
	if e.Cause != nil {
		msg += ": " + e.Cause.Error()
	}
	return msg
}

// Unwrap returns the cause of the failed call, or nil.
func (e *Error) Unwrap() error { return e.Cause }

// NotRun reports whether the call certainly did not start to run on the upstream.
func (e *Error) NotRun() bool {
	switch e.Reason {
	case ReasonConnect, ReasonRefused, ReasonLeaving, ReasonNoStream, ReasonStaleFence:
		return true
	default:
		return false
	}
}

// ReasonOf returns the reason of the *Error in err's chain. It returns ReasonProtocol for
// any other error and the empty reason if err is nil.
func ReasonOf(err error) Reason {
	if err == nil {
		return ""
	}
	var callErr *Error
	if errors.As(err, &callErr) {
		return callErr.Reason
	}
	return ReasonProtocol
}
