// Package enginehttp is the adapter to a model engine: JSON calls over HTTP,
// tokens as one JSON object a line. The wire form is known to this package
// alone; the stand-in engine uses its types.
package enginehttp

import "github.com/cardamompier/cardamompier/upstream"

// Paths of the calls. Stream ids stand in the query.
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

// ParamStream and ParamFrom are query parameters.
const (
	ParamStream = "stream"
	ParamFrom   = "from"
	ParamAfter  = "after"
)

// GenerateBody is the body of a generate call.
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

// Line is one line of a token stream. The last has Done set.
type Line struct {
	Index int    `json:"i"`
	Text  string `json:"t,omitempty"`
	Done  bool   `json:"done,omitempty"`
}

// ErrorBody is the body of a refused call.
type ErrorBody struct {
	Reason upstream.Reason `json:"reason"`
}
