// Package jsonhttp sends and serves JSON calls over HTTP for the adapters to the platform's
// services. It never retries a call, and its errors state whether a failed call may have taken
// effect.
//
// The adapters define the paths, the bodies and the meaning of the refusal codes.
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
	// maxBodySize bounds the body of a request and of a response, in bytes.
	maxBodySize = 16 << 20
)

// Client sends JSON calls to one service. Use NewClient.
type Client struct {
	base string
	http *http.Client
}

// NewClient returns a client of the service at the URL base, such as "http://127.0.0.1:7500". wrap returns the transport
// that checks the responses, such as stricthttp.NewTransport.
func NewClient(base string, wrap func(*http.Transport) http.RoundTripper) *Client {
	transport := wrap(&http.Transport{IdleConnTimeout: idleConnTimeout})
	return &Client{base: base, http: &http.Client{Transport: transport, Timeout: callTimeout}}
}

// Error describes a failed call.
type Error struct {
	Path string
	// Status is the HTTP status of a refusal, which is a response with a status other than 200. It
	// is zero when the call failed in another way.
	Status int
	// Code is the error code in a refusal's body; empty if the body contains none.
	Code string
	// Sent reports that the call may have reached the service without a valid response. It is false
	// for a refusal.
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

// Unwrap returns Cause.
func (e *Error) Unwrap() error { return e.Cause }

// refusal is the JSON response body for a refused call.
type refusal struct {
	Error string `json:"error"`
}

// Call sends body as JSON and decodes the JSON response into out. A nil body sends no body, and a
// nil out ignores the response body. A non-nil error is an *Error.
func (c *Client) Call(ctx context.Context, method, path string, body, out any) error {
	_, err := c.CallWithHeader(ctx, method, path, body, out)
	return err
}

// CallWithHeader is Call, and also returns the header of the response, that of a refusal too. The
// header is nil if no response arrived.
func (c *Client) CallWithHeader(ctx context.Context, method, path string, body, out any) (http.Header, error) {
	req, err := c.request(ctx, method, path, body)
	if err != nil {
		return nil, &Error{Path: path, Cause: err}
	}
	res, err := c.http.Do(req)
	if err != nil {
		if errors.Is(err, context.DeadlineExceeded) {
			// Connections may go silent together, without a reset.
			c.http.CloseIdleConnections()
		}
		return nil, &Error{Path: path, Sent: !IsDialError(err), Cause: err}
	}
	defer func() { _ = res.Body.Close() }()
	decoder := json.NewDecoder(io.LimitReader(res.Body, maxBodySize))
	if res.StatusCode != http.StatusOK {
		var refused refusal
		_ = decoder.Decode(&refused)
		return res.Header, &Error{Path: path, Status: res.StatusCode, Code: refused.Error}
	}
	if out == nil {
		return res.Header, nil
	}
	if err := decoder.Decode(out); err != nil {
		return res.Header, &Error{Path: path, Sent: true, Cause: err}
	}
	return res.Header, nil
}

// request builds an HTTP request without GetBody, so that net/http cannot resend it.
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

// IsDialError reports whether a request failed before any byte of it was sent, because no connection
// could be established.
func IsDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// Serve returns an HTTP handler that decodes the JSON request body into a Req, calls handle and
// writes its result as JSON. An empty body leaves Req at its zero value. A *Refusal error sets the
// response's status and code; any other error becomes status 500 with the code "internal".
func Serve[Req any](handle func(context.Context, Req) (any, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var req Req
		err := json.NewDecoder(io.LimitReader(r.Body, maxBodySize)).Decode(&req)
		if err != nil && !errors.Is(err, io.EOF) {
			write(w, http.StatusBadRequest, refusal{Error: "invalid"})
			return
		}
		result, err := handle(r.Context(), req)
		if err == nil {
			write(w, http.StatusOK, result)
			return
		}
		var refused *Refusal
		if !errors.As(err, &refused) {
			refused = &Refusal{Status: http.StatusInternalServerError, Code: "internal"}
		}
		write(w, refused.Status, refusal{Error: refused.Code})
	}
}

// Refusal is the error that a handler of Serve returns to refuse a call with a status and a code.
type Refusal struct {
	Status int
	Code   string
}

// Error implements error.
func (r *Refusal) Error() string { return "refused: " + r.Code }

// write sends a response with the given status and with body as JSON.
func write(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
