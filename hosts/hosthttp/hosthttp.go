// Package hosthttp reads and serves the platform's host list as a JSON array over HTTP.
package hosthttp

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/cardamompier/cardamompier/hosts"
	"github.com/cardamompier/cardamompier/stricthttp"
)

// Path is the URL path of the host list.
const Path = "/v1/hosts"

const (
	readTimeout  = 2 * time.Second
	maxReplySize = 8 << 20 // bytes
)

// Client reads the host list from one address.
type Client struct {
	url  string
	http *http.Client
}

var _ hosts.Source = (*Client)(nil)

// NewClient returns a client that reads the host list from the server at base, for example
// "http://127.0.0.1:7501".
func NewClient(base string) *Client {
	return &Client{url: base + Path, http: &http.Client{Timeout: readTimeout, Transport: stricthttp.NewDefaultTransport()}}
}

// List returns all hosts of the list, or a *hosts.Error after at most 2 s. It implements
// hosts.Source.
func (c *Client) List(ctx context.Context) ([]hosts.Host, error) {
	fail := func(err error) ([]hosts.Host, error) { return nil, &hosts.Error{Source: c.url, Cause: err} }
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.url, nil)
	if err != nil {
		return fail(err)
	}
	res, err := c.http.Do(req)
	if err != nil {
		return fail(err)
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		return fail(&StatusError{Status: res.StatusCode})
	}
	var list []hosts.Host
	if err := json.NewDecoder(io.LimitReader(res.Body, maxReplySize)).Decode(&list); err != nil {
		return fail(err)
	}
	return list, nil
}

// StatusError reports an HTTP response with a status other than 200.
type StatusError struct{ Status int }

// Error returns the text of the HTTP status.
func (e *StatusError) Error() string { return "status " + http.StatusText(e.Status) }

// Handler returns an HTTP handler that responds with the list that current returns.
func Handler(current func() []hosts.Host) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(current())
	})
}
