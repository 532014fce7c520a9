// Package weightshttp is the adapter to the platform's weight store: JSON
// calls over HTTP. Handler serves the same form, for the stand-in process.
package weightshttp

import (
	"context"
	"net/http"

	"github.com/cardamompier/cardamompier/jsonhttp"
	"github.com/cardamompier/cardamompier/weights"
)

// Paths of the calls.
const (
	pathModels = "/v1/weights/models"
	pathLimits = "/v1/weights/limits"
)

// Client reads the weight store at one address.
type Client struct{ calls *jsonhttp.Client }

var _ weights.Store = (*Client)(nil)

// NewClient returns a client of the store at base.
func NewClient(base string) *Client { return &Client{calls: jsonhttp.NewClient(base)} }

// Models implements weights.Store.
func (c *Client) Models(ctx context.Context) ([]weights.Model, error) {
	var out []weights.Model
	return out, typed("models", c.calls.Call(ctx, http.MethodGet, pathModels, nil, &out))
}

// Limits implements weights.Store.
func (c *Client) Limits(ctx context.Context) (weights.Limits, error) {
	var out weights.Limits
	return out, typed("limits", c.calls.Call(ctx, http.MethodGet, pathLimits, nil, &out))
}

func typed(op string, err error) error {
	if err == nil {
		return nil
	}
	return &weights.Error{Op: op, Cause: err}
}

// Handler serves store in this package's wire form.
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
