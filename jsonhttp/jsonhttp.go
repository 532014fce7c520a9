// Package jsonhttp sends and serves the small JSON calls that the adapters to
// the platform's services share. It never repeats a call, and says of a
// failed one whether it may have had its effect.
//
// It leaves paths, bodies and the meaning of refusals to the adapters.
package jsonhttp

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/go-faster/errors"
)

const (
	callTimeout     = 5 * time.Second
	idleConnTimeout = 60 * time.Second
	// maxBodySize bounds a call and its answer, in bytes.
	maxBodySize = 16 << 20
)

// Client calls one service.
type Client struct {
	base string
	http *http.Client
}

// NewClient returns a client of the service at base, for example
// "http://127.0.0.1:7500".
func NewClient(base string) *Client {
	transport := &http.Transport{IdleConnTimeout: idleConnTimeout}
	return &Client{base: base, http: &http.Client{Transport: transport, Timeout: callTimeout}}
}

// Error is a failed call.
type Error struct {
	Path string
	// Status is the HTTP status of a refusal; zero when there was no answer.
	Status int
	// Code is the refusal's code, where the service gave one.
	Code string
	// Sent says that the call may have reached the service.
	Sent  bool
	Cause error
}

// Error implements error.
func (e *Error) Error() string {
	msg := "call " + e.Path
	if e.Status != 0 {
		msg += ": " + http.StatusText(e.Status)
	}
	if e.Code != "" {
		msg += ": " + e.Code
	}
	if e.Cause != nil {
		msg += ": " + e.Cause.Error()
	}
	return msg
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// refusal is the body of a refused call.
type refusal struct {
	Error string `json:"error"`
}

// Call sends body as JSON, or nothing for nil, and decodes the answer into
// out, which may be nil. It returns *Error.
func (c *Client) Call(ctx context.Context, method, path string, body, out any) error {
	req, err := c.request(ctx, method, path, body)
	if err != nil {
		return &Error{Path: path, Cause: err}
	}
	res, err := c.http.Do(req)
	if err != nil {
		return &Error{Path: path, Sent: !Unsent(err), Cause: err}
	}
	defer func() { _ = res.Body.Close() }()
	decoder := json.NewDecoder(io.LimitReader(res.Body, maxBodySize))
	if res.StatusCode != http.StatusOK {
		var refused refusal
		_ = decoder.Decode(&refused)
		return &Error{Path: path, Status: res.StatusCode, Code: refused.Error}
	}
	if out == nil {
		return nil
	}
	if err := decoder.Decode(out); err != nil {
		return &Error{Path: path, Sent: true, Cause: err}
	}
	return nil
}

// request builds a call without GetBody, so that it cannot be replayed.
func (c *Client) request(ctx context.Context, method, path string, body any) (*http.Request, error) {
	var reader io.Reader
	length := 0
	if body != nil {
		encoded, err := json.Marshal(body)
		if err != nil {
			return nil, err
		}
		reader, length = io.NopCloser(bytes.NewReader(encoded)), len(encoded)
	}
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, reader)
	if err == nil {
		req.ContentLength = int64(length)
	}
	return req, err
}

// Unsent says that a request failed before any byte of it was sent: there was
// no connection.
func Unsent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// Serve decodes the body of a call, if it has one, into a Req and writes the
// answer of handle, or the refusal that it returns as a *Refusal.
func Serve[Req any](handle func(context.Context, Req) (any, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var req Req
		err := json.NewDecoder(io.LimitReader(r.Body, maxBodySize)).Decode(&req)
		if err != nil && !errors.Is(err, io.EOF) {
			write(w, http.StatusBadRequest, refusal{Error: "invalid"})
			return
		}
		answer, err := handle(r.Context(), req)
		if err == nil {
			write(w, http.StatusOK, answer)
			return
		}
		var refused *Refusal
		if !errors.As(err, &refused) {
			refused = &Refusal{Status: http.StatusInternalServerError, Code: "internal"}
		}
		write(w, refused.Status, refusal{Error: refused.Code})
	}
}

// Refusal is returned by a handler to refuse a call.
type Refusal struct {
	Status int
	Code   string
}

// Error implements error.
func (r *Refusal) Error() string { return "refused: " + r.Code }

func write(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
