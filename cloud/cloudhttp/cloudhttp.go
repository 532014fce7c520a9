// Package cloudhttp implements a client of the platform's cloud API with JSON over HTTP. Handler
// serves the same protocol, for a simulated platform.
package cloudhttp

import (
	"context"
	"net/http"

	"github.com/go-faster/errors"

	"github.com/cardamompier/cardamompier/cloud"
	"github.com/cardamompier/cardamompier/jsonhttp"
	"github.com/cardamompier/cardamompier/stricthttp"
)

// Paths of the cloud API's endpoints.
const (
	pathOffers    = "/v1/cloud/offers"
	pathInstances = "/v1/cloud/instances"
	pathStart     = "/v1/cloud/start"
	pathStop      = "/v1/cloud/stop"
)

type stopBody struct {
	ID string `json:"id"`
}

// Client calls the cloud API at one base URL.
type Client struct{ calls *jsonhttp.Client }

var _ cloud.API = (*Client)(nil)

// NewClient returns a client of the cloud API at a base URL.
func NewClient(base string) *Client {
	return &Client{calls: jsonhttp.NewClient(base, stricthttp.NewTransport)}
}

// Offers implements cloud.API.
func (c *Client) Offers(ctx context.Context) ([]cloud.Offer, error) {
	var out []cloud.Offer
	return out, toCloudError(c.calls.Call(ctx, http.MethodGet, pathOffers, nil, &out))
}

// Instances implements cloud.API.
func (c *Client) Instances(ctx context.Context) ([]cloud.Instance, error) {
	var out []cloud.Instance
	return out, toCloudError(c.calls.Call(ctx, http.MethodGet, pathInstances, nil, &out))
}

// Start implements cloud.API.
func (c *Client) Start(ctx context.Context, req cloud.StartRequest) (cloud.Instance, error) {
	var out cloud.Instance
	return out, toCloudError(c.calls.Call(ctx, http.MethodPost, pathStart, req, &out))
}

// Stop implements cloud.API.
func (c *Client) Stop(ctx context.Context, id string) error {
	return toCloudError(c.calls.Call(ctx, http.MethodPost, pathStop, stopBody{ID: id}, nil))
}

// toCloudError converts the error of a failed call to a *cloud.Error. It returns nil for nil.
func toCloudError(err error) error {
	if err == nil {
		return nil
	}
	reason := cloud.ReasonUnavailable
	var failed *jsonhttp.Error
	if errors.As(err, &failed) {
		switch {
		case failed.Status == http.StatusConflict:
			reason = cloud.ReasonRefused
		case failed.Status == http.StatusBadRequest:
			reason = cloud.ReasonInvalid
		case failed.Sent || failed.Status >= http.StatusInternalServerError:
			reason = cloud.ReasonUnknown
		}
	}
	return &cloud.Error{Op: "call", Reason: reason, Cause: err}
}

// Handler returns an HTTP handler that serves api with the protocol of Client.
func Handler(api cloud.API) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+pathOffers, jsonhttp.Serve(func(ctx context.Context, _ struct{}) (any, error) {
		offers, err := api.Offers(ctx)
		return offers, toRefusal(err)
	}))
	mux.HandleFunc("GET "+pathInstances, jsonhttp.Serve(func(ctx context.Context, _ struct{}) (any, error) {
		instances, err := api.Instances(ctx)
		return instances, toRefusal(err)
	}))
	mux.HandleFunc("POST "+pathStart, jsonhttp.Serve(func(ctx context.Context, req cloud.StartRequest) (any, error) {
		instance, err := api.Start(ctx, req)
		return instance, toRefusal(err)
	}))
	mux.HandleFunc("POST "+pathStop, jsonhttp.Serve(func(ctx context.Context, req stopBody) (any, error) {
		return struct{}{}, toRefusal(api.Stop(ctx, req.ID))
	}))
	return mux
}

// toRefusal converts a *cloud.Error to a *jsonhttp.Refusal with an HTTP status, and returns any other
// error unchanged.
func toRefusal(err error) error {
	var failed *cloud.Error
	if !errors.As(err, &failed) {
		return err
	}
	status := http.StatusInternalServerError
	switch failed.Reason {
	case cloud.ReasonRefused:
		status = http.StatusConflict
	case cloud.ReasonInvalid:
		status = http.StatusBadRequest
	case cloud.ReasonUnavailable:
		status = http.StatusServiceUnavailable
	}
	return &jsonhttp.Refusal{Status: status, Code: string(failed.Reason)}
}
