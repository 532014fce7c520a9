package apierr

import (
	"math"
	"time"
)

// Body is the JSON response body that reports an Error.
type Body struct {
	Refusal Fields `json:"error"`
}

// Fields are the members of the "error" object in a Body.
type Fields struct {
	Type         Code   `json:"type" doc:"Stable reason, see docs/METRICS.md"`
	Message      string `json:"message" doc:"Text for people"`
	Ran          Ran    `json:"ran" enum:"not_run,unknown,done" doc:"Whether the work ran"`
	RetryAfterMS int64  `json:"retry_after_ms" doc:"Milliseconds to wait before a repeat; 0 when a repeat does not help"`
	RequestID    string `json:"request_id,omitempty" doc:"Request id of the refused request"`
}

// BodyFor returns the response body for e. An empty requestID is left out of the body.
func BodyFor(e *Error, requestID string) Body {
	return Body{Refusal: Fields{
		Type:         e.Code,
		Message:      e.Detail,
		Ran:          e.ran(),
		RetryAfterMS: int64(math.Ceil(float64(e.RetryAfter) / float64(time.Millisecond))),
		RequestID:    requestID,
	}}
}

// RetryAfterSeconds returns the value of the Retry-After header in seconds, rounded up. Zero means
// that the response has no such header.
func (e *Error) RetryAfterSeconds() int {
	return int(math.Ceil(float64(e.RetryAfter) / float64(time.Second)))
}
