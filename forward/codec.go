package forward

import (
	"net/http"
	"time"
)

// PromptPart is a part of a prompt. Several requests may share the same part.
type PromptPart struct {
	// Digest identifies the part's text.
	Digest uint64
	Tokens int
}

// Metadata is the information in the headers of a caller's request.
type Metadata struct {
	// RequestID identifies one try of a caller; a repeated try has another id.
	RequestID string
	// TimeLeft is how long the caller waits for the answer; zero if the caller sets no
	// limit.
	TimeLeft time.Duration
	// Key is the API key that identifies the client account; empty for none.
	Key string
	// PromptTokens and MaxOutputTokens are set on requests to model engines only.
	PromptTokens, MaxOutputTokens int
	// Prompt holds the parts of the prompt in order. Requests may share all parts
	// except the last.
	Prompt []PromptPart
}

// UpstreamMetadata is the information that the forwarder adds to the headers of a request for
// an upstream.
type UpstreamMetadata struct {
	// Instance is the id of the intended upstream. If another upstream now has the
	// address, it rejects the request.
	Instance string
	// Account is the name of the client account; empty for none.
	Account string
	// TimeLeft limits the time during which the upstream may work on the request.
	TimeLeft time.Duration
	// Priority ranks the request at the model engine, 0 (most urgent) first; negative
	// if unset.
	Priority int
	// ResumeAfter is the id of the last event that the caller received. If it is
	// empty, the header that the caller sent is kept.
	ResumeAfter string
}

// AnswerMetadata is the information in the headers and status of an upstream's answer.
type AnswerMetadata struct {
	RequestID string
	// Sealed is true if the answer has the header that marks it as a complete answer
	// of the upstream.
	Sealed bool
	// NotRun is true if the upstream did not run the request and never will.
	NotRun bool
	// WrongInstance is true if the answer says that the address now belongs to another upstream than
	// the intended one. Only NotRun tells that the request did not run.
	WrongInstance bool
	// Leaving is true if the upstream announces that it leaves.
	Leaving bool
	// RetryAfter is the time for which an upstream that rejected the request wants no more
	// requests from this host; zero if it names none.
	RetryAfter time.Duration
	// Limited is true if the upstream names a limit: the requests per second, RateLimit, that it
	// takes from all hosts together.
	Limited   bool
	RateLimit float64
}

// Codec decodes and encodes the HTTP headers that a deployment uses.
type Codec interface {
	// Decode reads the headers of a caller's request. Its errors are of type
	// *MetadataError.
	Decode(h http.Header) (Metadata, error)
	// Encode sets the headers of a request for an upstream and removes headers that
	// callers may not set.
	Encode(h http.Header, s UpstreamMetadata)
	// AnswerMetadata reads the status and the headers of an upstream's answer.
	AnswerMetadata(status int, h http.Header) AnswerMetadata
	// SetRetryAfter sets the header that tells a caller after which time to retry.
	SetRetryAfter(h http.Header, after time.Duration)
}

// MetadataError reports a header that is missing or malformed.
type MetadataError struct {
	Header, Value string
	Cause         error
}

// Error implements error.
func (e *MetadataError) Error() string {
	msg := "header " + e.Header + " is missing or malformed"
	if e.Cause != nil {
		msg += ": " + e.Cause.Error()
	}
	return msg
}

// Unwrap returns the cause.
func (e *MetadataError) Unwrap() error { return e.Cause }
