// Package weightshttp is a client of the platform's weight store, which it calls with
// JSON over HTTP. Handler serves the same calls in the process that replaces the
// platform in tests.
package weightshttp

import (
	"context"
	"net/http"

	"github.com/cardamompier/cardamompier/jsonhttp"
	"github.com/cardamompier/cardamompier/stricthttp"
	"github.com/cardamompier/cardamompier/weights"
)

// HTTP paths of the weight store.
const (
	pathModels = "/v1/weights/models"
	pathLimits = "/v1/weights/limits"
)

// Client reads the weight store at one base URL. Use NewClient.
type Client struct{ calls *jsonhttp.Client }

var _ weights.Store = (*Client)(nil)

// NewClient returns a Client of the weight store at the URL base.
func NewClient(base string) *Client {
	return &Client{calls: jsonhttp.NewClient(base, stricthttp.NewTransport)}
}

// Models implements weights.Store.
func (c *Client) Models(ctx context.Context) ([]weights.Model, error) {
	var out []weights.Model
	return out, wrapError("models", c.calls.Call(ctx, http.MethodGet, pathModels, nil, &out))
}

// Limits implements weights.Store.
func (c *Client) Limits(ctx context.Context) (weights.Limits, error) {
	var out weights.Limits
	return out, wrapError("limits", c.calls.Call(ctx, http.MethodGet, pathLimits, nil, &out))
}

// wrapError returns err as a *weights.Error of the operation op, or nil if err is nil.
func wrapError(op string, err error) error {
	if err == nil {
		return nil
	}
	return &weights.Error{Op: op, Cause: err}
}

// Handler returns an HTTP handler that serves store to clients of this package.
func Handler(store weights.Store) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+pathModels, jsonhttp.Serve(func(ctx context.Context, _ struct{}) (any, error) {
		return store.Models(ctx)
	}))
	mux.HandleFunc("GET "+pathLimits, jsonhttp.Serve(func(ctx context.Context, _ struct{}) (any, error) {
		return store.Limits(ctx)
	}))
	return mux
}
