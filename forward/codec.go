package forward

import (
	"net/http"
	"time"
)

// PromptPart is a part of a prompt that requests may share.
type PromptPart struct {
	// Digest identifies the part's text.
	Digest uint64
	Tokens int
}

// Metadata is what a caller says of its request beside method, path and body.
type Metadata struct {
	// RequestID is unique for each try of a caller.
	RequestID string
	// TimeLeft is how long the caller waits; zero when it does not say.
	TimeLeft time.Duration
	// Key identifies the client account; empty for none.
	Key string
	// PromptTokens and MaxOutputTokens are set on requests to model engines.
	PromptTokens, MaxOutputTokens int
	// Prompt holds the parts of the prompt in order; the last is the request's own.
	Prompt []PromptPart
}

// Sending is what the forwarder tells the upstream.
type Sending struct {
	// Instance is the id of the upstream that is meant; another one that has
	// got its address refuses.
	Instance string
	// Account is the client account; empty for none.
	Account string
	// TimeLeft bounds the upstream's work.
	TimeLeft time.Duration
	// Priority ranks the request at the engine, 0 first; negative for unset.
	Priority int
	// ResumeAfter is the id of the last event that the caller has; empty to
	// leave what the caller said.
	ResumeAfter string
}

// Verdict is what an upstream's answer says beside its status.
type Verdict struct {
	RequestID string
	// Sealed says that the answer bears the upstream's mark of a whole answer.
	Sealed bool
	// NotRun says that the upstream did not run the request and never will.
	NotRun bool
	// Moved says that another upstream has the address now.
	Moved bool
}

// Codec translates headers to and from the wire of a deployment.
type Codec interface {
	// Decode reads a caller's headers. It returns *MetadataError.
	Decode(h http.Header) (Metadata, error)
	// Encode sets the headers for an upstream, and removes those that callers
	// may not set.
	Encode(h http.Header, s Sending)
	// Verdict reads the headers of an answer.
	Verdict(status int, h http.Header) Verdict
	// SetRetryAfter tells a caller when to come again.
	SetRetryAfter(h http.Header, after time.Duration)
}

// MetadataError is a header that cannot be read.
type MetadataError struct {
	Header, Value string
	Cause         error
}

// Error implements error.
func (e *MetadataError) Error() string {
	msg := "header " + e.Header + " cannot be read"
	if e.Cause != nil {
		msg += ": " + e.Cause.Error()
	}
	return msg
}

// Unwrap returns the cause.
func (e *MetadataError) Unwrap() error { return e.Cause }
