// Package upstream defines the interfaces to upstreams, the hosts that run requests:
// model engines, and plain services, which are not model engines. Only the clients in its
// sub-packages depend on the wire formats.
package upstream

import (
	"context"
	"io"
	"time"
)

// Priority orders requests within an engine. Requests of higher priority run first.
type Priority int

// The priorities of requests.
const (
	PriorityLong   Priority = 0
	PriorityNormal Priority = 5
	PriorityUrgent Priority = 10
)

// GenerateRequest is a request to an engine to generate text.
type GenerateRequest struct {
	// StreamID identifies one attempt (one try of a request) on the engine, for example
	// to cancel, resume or export it. Each attempt has its own stream id.
	StreamID string
	// RequestID identifies the request in logs. All attempts of a request share it.
	RequestID string
	Model     string
	Adapter   string
	Prompt    string
	// Prior is text that an earlier attempt generated. The engine continues after it.
	Prior string
	// PriorTokens is the number of tokens in Prior, and so the index of the first token
	// that the engine generates.
	PriorTokens int
	// MaxTokens bounds the whole generated text including Prior, in tokens.
	MaxTokens int
	Priority  Priority
}

// Token is one token of generated text.
type Token struct {
	// Index is the position in the whole generated text, across attempts, from zero.
	Index int
	Text  string
}

// TokenStream yields the tokens of one attempt. It is not safe for concurrent use.
type TokenStream interface {
	// Next returns the next token, io.EOF after the last one, or *Error.
	Next() (Token, error)
	io.Closer
}

// LoadReport is an engine's own report of its load. The report is older than the call
// that returns it, so the load may have changed since.
type LoadReport struct {
	Running int
	Waiting int
	// CacheUsed is the used fraction of the engine's prefix cache, from 0 to 1.
	CacheUsed float64
	// Leaving reports whether the cloud provider has notified the host that it will
	// reclaim it.
	Leaving bool
	// Serving is the last order (desired state) that the engine accepted.
	Serving Order
	// At is the time of the report by the engine's clock.
	At time.Time
}

// CacheEvent reports that an engine cached or evicted a prompt prefix.
type CacheEvent struct {
	// Sequence increases by one with each event of an engine. A gap means that the
	// reader missed events.
	Sequence uint64
	// Prefix is the digest of the prompt prefix, as the engine's documentation defines it.
	Prefix uint64
	// Stored is true if the engine cached the prefix and false if it evicted it.
	Stored bool
}

// Order is the complete desired state of an engine.
type Order struct {
	// Fence is a fencing token, which only increases. Engines that check it reject an
	// order with a smaller token than the last one.
	Fence    uint64
	Role     string
	Model    string
	Adapters []string
	Version  string
}

// Engine calls one model engine. The errors of all methods are of type *Error.
type Engine interface {
	// Generate starts an attempt at a request and returns its tokens.
	Generate(ctx context.Context, req GenerateRequest) (TokenStream, error)
	// Resume reopens the token stream of a started attempt at token index from.
	Resume(ctx context.Context, streamID string, from int) (TokenStream, error)
	// Cancel ends an attempt on the engine. Cancelling an unknown attempt is no error.
	Cancel(ctx context.Context, streamID string) error
	// ExportCache returns the KV cache of an attempt in an opaque encoding. If there is no error, release
	// must be called when the cache is no longer used.
	ExportCache(ctx context.Context, streamID string) (cache []byte, release func(), err error)
	// ImportCache loads an exported KV cache into the engine, so that Generate with the
	// same stream id recomputes nothing.
	ImportCache(ctx context.Context, streamID string, cache []byte) error
	// Load returns the engine's latest load report.
	Load(ctx context.Context) (LoadReport, error)
	// CacheEvents returns the engine's prefix cache events after a sequence number.
	CacheEvents(ctx context.Context, after uint64) ([]CacheEvent, error)
	// Order sends the engine its desired state: role, model, adapters and version.
	Order(ctx context.Context, order Order) error
}

// Call is one request to a plain service.
type Call struct {
	RequestID string
	Method    string
	// Path is the path relative to the service's root, with a leading slash.
	Path        string
	Query       string
	ContentType string
	Body        []byte
	// OrderKey is the idempotency key with which the upstream detects a repeated call. It
	// is empty for idempotent calls.
	OrderKey string
}

// Reply is the response of a plain service. Release must be called when its body is no longer used.
type Reply struct {
	Status      int
	ContentType string
	Body        []byte
	release     func()
}

// NewReply returns a reply whose body is released by a call of release.
func NewReply(status int, contentType string, body []byte, release func()) Reply {
	return Reply{Status: status, ContentType: contentType, Body: body, release: release}
}

// Release returns the memory of the body to the budget that it was charged to, if there is one.
func (r Reply) Release() {
	if r.release != nil {
		r.release()
	}
}

// PlainService calls one plain service, an upstream that is not a model engine.
type PlainService interface {
	// Do sends the call exactly once. Errors are of type *Error.
	Do(ctx context.Context, call Call) (Reply, error)
}
