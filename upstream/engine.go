// Package upstream is the narrow interface to the hosts that do the work:
// model engines and plain services. Adapters in its sub-packages know the
// wire forms; nothing else does.
package upstream

import (
	"context"
	"io"
	"time"
)

// Priority orders work within an engine; a higher one goes first.
type Priority int

// Priorities of work.
const (
	PriorityLong   Priority = 0
	PriorityNormal Priority = 5
	PriorityUrgent Priority = 10
)

// GenerateRequest asks an engine for text.
type GenerateRequest struct {
	// StreamID names the attempt on the engine: it is cancelled, resumed and
	// exported under this name. Each attempt has its own.
	StreamID string
	// RequestID is the request's id across attempts, for logs.
	RequestID string
	Model     string
	Adapter   string
	Prompt    string
	// Prior is text that was generated before; the engine continues after it.
	Prior string
	// PriorTokens is the number of tokens in Prior; the first token of the
	// answer has this index.
	PriorTokens int
	// MaxTokens bounds the whole answer with Prior, in tokens.
	MaxTokens int
	Priority  Priority
}

// Token is one piece of generated text.
type Token struct {
	// Index counts from zero over the whole answer.
	Index int
	Text  string
}

// TokenStream yields the tokens of one attempt. It is used by one goroutine.
type TokenStream interface {
	// Next returns the next token, io.EOF after the last one, or *Error.
	Next() (Token, error)
	io.Closer
}

// LoadReport is an engine's own account of its load. It lags.
type LoadReport struct {
	Running int
	Waiting int
	// CacheUsed is the used share of the prefix cache, 0 to 1.
	CacheUsed float64
	// Leaving says that the host received a reclaim notice.
	Leaving bool
	// Serving is the last order that the engine took.
	Serving Order
	// At is the engine's clock when the report was made.
	At time.Time
}

// CacheEvent tells that an engine stored or dropped a prompt prefix.
type CacheEvent struct {
	// Sequence counts without gaps at the engine; a gap at the reader means
	// that events were lost.
	Sequence uint64
	// Prefix is the digest of the prefix, see the engine's page.
	Prefix uint64
	Stored bool
}

// Order tells an engine its whole wanted state.
type Order struct {
	// Fence only grows; engines that check it refuse a smaller one.
	Fence    uint64
	Role     string
	Model    string
	Adapters []string
	Version  string
}

// Engine is one model engine. All methods return *Error.
type Engine interface {
	// Generate starts an attempt.
	Generate(ctx context.Context, req GenerateRequest) (TokenStream, error)
	// Resume continues to read an attempt from a token index.
	Resume(ctx context.Context, streamID string, from int) (TokenStream, error)
	// Cancel ends an attempt. Cancelling an unknown attempt is no error.
	Cancel(ctx context.Context, streamID string) error
	// ExportCache returns the KV cache of an attempt in an opaque form.
	ExportCache(ctx context.Context, streamID string) ([]byte, error)
	// ImportCache prepares an attempt from an exported KV cache, so that
	// Generate with the same StreamID recomputes nothing.
	ImportCache(ctx context.Context, streamID string, cache []byte) error
	// Load returns the engine's load report.
	Load(ctx context.Context) (LoadReport, error)
	// CacheEvents returns the events after a sequence number.
	CacheEvents(ctx context.Context, after uint64) ([]CacheEvent, error)
	// Order gives the engine its wanted state.
	Order(ctx context.Context, order Order) error
}

// Call is one request to a plain service.
type Call struct {
	RequestID string
	Method    string
	// Path is the path below the service, with a leading slash.
	Path        string
	Query       string
	ContentType string
	Body        []byte
	// OrderKey is the idempotency key under which the upstream counts the
	// execution; empty for idempotent work.
	OrderKey string
}

// Reply is a plain service's answer.
type Reply struct {
	Status      int
	ContentType string
	Body        []byte
}

// PlainService is one plain service. Do returns *Error and never repeats a call.
type PlainService interface {
	Do(ctx context.Context, call Call) (Reply, error)
}
