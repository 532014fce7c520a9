// Package plainhttp is the client of plain services, which are not model engines. It sends
// an HTTP request to a path of the service, with the idempotency key in a header.
package plainhttp

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/cardamompier/cardamompier/jsonhttp"
	"github.com/cardamompier/cardamompier/stricthttp"
	"github.com/cardamompier/cardamompier/upstream"
)

// Headers of a request to a plain service.
const (
	// HeaderIdempotencyKey carries the idempotency key. The name differs from Idempotency-Key
	// and X-Idempotency-Key, for which http.Transport may send a request again.
	HeaderIdempotencyKey = "X-Order-Key"
	// HeaderRequestID carries the request id, which a service may repeat in its response.
	HeaderRequestID = "X-Request-Id"
)

const (
	dialTimeout  = time.Second
	maxReplySize = 8 << 20  // limit of a response body, in bytes
	maxHeadSize  = 64 << 10 // limit of the status line and headers of a response, in bytes
	maxIdle      = 64
	idleTimeout  = 60 * time.Second
)

// Client calls the plain service at one address.
type Client struct {
	id   string
	base string
	// pooled reuses connections. single opens a new connection for each call, so that
	// a failure to connect proves that nothing was sent.
	pooled *http.Client
	single *http.Client
	// echoesID reports whether the service repeats the request id in its responses.
	// Connections are reused only if it does, because otherwise a late response to one
	// request cannot be distinguished from the response to the next request.
	echoesID atomic.Bool
	replies  *upstream.ReplyBudget
}

var _ upstream.PlainService = (*Client)(nil)

// NewClient returns a client for the plain service on host id. address is an IP address
// and port. The replies are charged to the given budget.
func NewClient(id, address string, replies *upstream.ReplyBudget) *Client {
	dial := (&net.Dialer{Timeout: dialTimeout}).DialContext
	pooled := &http.Transport{
		DialContext: dial, MaxIdleConnsPerHost: maxIdle, IdleConnTimeout: idleTimeout, MaxResponseHeaderBytes: maxHeadSize,
	}
	single := &http.Transport{DialContext: dial, DisableKeepAlives: true, MaxResponseHeaderBytes: maxHeadSize}
	return &Client{
		id: id, base: "http://" + address, replies: replies,
		pooled: &http.Client{Transport: stricthttp.NewTransport(pooled), CheckRedirect: returnRedirect},
		single: &http.Client{Transport: stricthttp.NewTransport(single), CheckRedirect: returnRedirect},
	}
}

// returnRedirect makes http.Client return a redirect response to the caller, because
// following the redirect would send the request a second time.
func returnRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Do sends a call to the service once and returns the response. Errors are of type
// *upstream.Error. The reason is ReasonProtocol if the head of the response is invalid or carries
// another request's id, or if its body exceeds 8 MiB or what is left of the budget.
func (c *Client) Do(ctx context.Context, call upstream.Call) (upstream.Reply, error) {
	var written atomic.Bool
	req, err := c.request(traceWrites(ctx, &written), call)
	if err != nil {
		return upstream.Reply{}, c.fail(upstream.ReasonRefused, err)
	}
	client := c.single
	if call.OrderKey == "" && c.echoesID.Load() {
		client = c.pooled
	}
	res, err := client.Do(req)
	if err != nil {
		return upstream.Reply{}, c.fail(reasonOfTransport(ctx, err, written.Load()), err)
	}
	defer func() { _ = res.Body.Close() }()
	body, release, err := c.replies.ReadAll(res.Body, maxReplySize)
	var cut *upstream.SizeError
	if errors.As(err, &cut) {
		return upstream.Reply{}, c.fail(upstream.ReasonProtocol, err)
	}
	if err != nil {
		return upstream.Reply{}, c.fail(upstream.ReasonBroken, err)
	}
	echoedID := res.Header.Get(HeaderRequestID)
	if echoedID != "" && echoedID != call.RequestID { // response to another request
		release()
		c.pooled.CloseIdleConnections()
		return upstream.Reply{}, c.fail(upstream.ReasonProtocol, &MismatchError{Got: echoedID})
	}
	c.echoesID.Store(echoedID != "")
	return upstream.NewReply(res.StatusCode, res.Header.Get("Content-Type"), body, release), nil
}

// MismatchError is the cause of a failed call whose response belongs to another request.
type MismatchError struct {
	// Got is the request id in the response.
	Got string
}

// Error returns a text with the request id in the response.
func (e *MismatchError) Error() string { return "the response belongs to request " + e.Got }

// request returns the HTTP request of a call. The request has no GetBody function, so that
// http.Transport cannot send a body a second time.
func (c *Client) request(ctx context.Context, call upstream.Call) (*http.Request, error) {
	target := c.base + (&url.URL{Path: call.Path, RawQuery: call.Query}).String()
	var body io.Reader
	if len(call.Body) > 0 {
		body = io.NopCloser(bytes.NewReader(call.Body))
	}
	req, err := http.NewRequestWithContext(ctx, call.Method, target, body)
	if err != nil {
		return nil, err
	}
	req.ContentLength = int64(len(call.Body))
	req.Header.Set(HeaderRequestID, call.RequestID)
	if call.ContentType != "" {
		req.Header.Set("Content-Type", call.ContentType)
	}
	if call.OrderKey != "" {
		req.Header.Set(HeaderIdempotencyKey, call.OrderKey)
	}
	return req, nil
}

// fail returns an upstream.Error for a failed call to the client's host.
func (c *Client) fail(reason upstream.Reason, cause error) *upstream.Error {
	return &upstream.Error{Op: "call", Upstream: c.id, Reason: reason, Cause: cause}
}

// traceWrites returns a context with which http.Transport sets written once it has written the head of the request to a
// connection.
func traceWrites(ctx context.Context, written *atomic.Bool) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{WroteHeaders: func() { written.Store(true) }})
}

// reasonOfTransport classifies an error of http.Client.Do. A connection that was not opened proves only that nothing
// was sent if nothing was written before: http.Transport may send a request again after its connection was closed.
func reasonOfTransport(ctx context.Context, err error, written bool) upstream.Reason {
	if jsonhttp.IsDialError(err) && !written {
		return upstream.ReasonConnect
	}
	if ctx.Err() != nil {
		return upstream.ReasonTimeout
	}
	if upstream.CountMalformedHead(err) {
		return upstream.ReasonProtocol
	}
	return upstream.ReasonBroken
}
