// Package enginehttp is the client of model engines: JSON calls over HTTP, with token
// streams of one JSON object per line. Only this package defines the wire format; the
// simulated engine for tests uses its types.
package enginehttp

import "github.com/cardamompier/cardamompier/upstream"

// Paths of the engine's HTTP API. Stream ids are passed as a query parameter.
const (
	PathGenerate    = "/v1/generate"
	PathResume      = "/v1/resume"
	PathCancel      = "/v1/cancel"
	PathExport      = "/v1/cache/export"
	PathImport      = "/v1/cache/import"
	PathLoad        = "/v1/load"
	PathCacheEvents = "/v1/cache/events"
	PathOrder       = "/v1/order"
)

// Query parameters of the engine's HTTP API.
const (
	// ParamStream is the stream id, which identifies an attempt.
	ParamStream = "stream"
	// ParamFrom is the index of the first token to return.
	ParamFrom = "from"
	// ParamAfter is the sequence number after which cache events are returned.
	ParamAfter = "after"
)

// GenerateBody is the JSON body of a generate request. It has the fields of
// upstream.GenerateRequest.
type GenerateBody struct {
	StreamID    string            `json:"stream_id"`
	RequestID   string            `json:"request_id"`
	Model       string            `json:"model"`
	Adapter     string            `json:"adapter,omitempty"`
	Prompt      string            `json:"prompt"`
	Prior       string            `json:"prior,omitempty"`
	PriorTokens int               `json:"prior_tokens,omitempty"`
	MaxTokens   int               `json:"max_tokens"`
	Priority    upstream.Priority `json:"priority"`
}

// Line is one line of a token stream: a token, or the final line, which has Done set.
type Line struct {
	Index int    `json:"i"`
	Text  string `json:"t,omitempty"`
	Done  bool   `json:"done,omitempty"`
}

// ErrorBody is the JSON body of an error response, whose status is not 200.
type ErrorBody struct {
	Reason upstream.Reason `json:"reason"`
}
