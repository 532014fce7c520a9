// Package plainhttp is the adapter to plain services: an HTTP call under the
// service's path, with the order key in a header.
package plainhttp

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"sync/atomic"
	"time"

	"github.com/cardamompier/cardamompier/jsonhttp"
	"github.com/cardamompier/cardamompier/upstream"
)

// Headers of a call. HeaderOrderKey is not one of the names that make
// http.Transport replay a request.
const (
	HeaderOrderKey  = "X-Order-Key"
	HeaderRequestID = "X-Request-Id"
)

const (
	dialTimeout  = time.Second
	maxReplySize = 8 << 20  // bytes
	maxHeadSize  = 64 << 10 // bytes
	maxIdle      = 64
	idleTimeout  = 60 * time.Second
)

// Client is a plain service at one address.
type Client struct {
	id   string
	base string
	// pooled reuses connections; single opens a new one for each call, so that a
	// failure to connect proves that nothing was sent.
	pooled *http.Client
	single *http.Client
	// echoes says that the service repeats the request's id in its answers. Only
	// then an answer that comes late, where the next one is due, can be told
	// from it, so that connections may be used again.
	echoes atomic.Bool
}

var _ upstream.PlainService = (*Client)(nil)

// NewClient returns the service of host id at an IP number and port.
func NewClient(id, address string) *Client {
	dial := (&net.Dialer{Timeout: dialTimeout}).DialContext
	pooled := &http.Transport{
		DialContext: dial, MaxIdleConnsPerHost: maxIdle, IdleConnTimeout: idleTimeout, MaxResponseHeaderBytes: maxHeadSize,
	}
	single := &http.Transport{DialContext: dial, DisableKeepAlives: true, MaxResponseHeaderBytes: maxHeadSize}
	return &Client{
		id: id, base: "http://" + address,
		pooled: &http.Client{Transport: pooled, CheckRedirect: keepRedirect},
		single: &http.Client{Transport: single, CheckRedirect: keepRedirect},
	}
}

// keepRedirect hands a redirect to the caller: following it would repeat the call.
func keepRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Do implements upstream.PlainService.
func (c *Client) Do(ctx context.Context, call upstream.Call) (upstream.Reply, error) {
	req, err := c.request(ctx, call)
	if err != nil {
		return upstream.Reply{}, c.fail(upstream.ReasonRefused, err)
	}
	client := c.single
	if call.OrderKey == "" && c.echoes.Load() {
		client = c.pooled
	}
	res, err := client.Do(req)
	if err != nil {
		return upstream.Reply{}, c.fail(reasonOfTransport(ctx, err), err)
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(res.Body, maxReplySize+1))
	if err != nil {
		return upstream.Reply{}, c.fail(upstream.ReasonBroken, err)
	}
	echoed := res.Header.Get(HeaderRequestID)
	if echoed != "" && echoed != call.RequestID { // another request's
		c.pooled.CloseIdleConnections()
		return upstream.Reply{}, c.fail(upstream.ReasonProtocol, &StrayError{Got: echoed})
	}
	c.echoes.Store(echoed != "")
	if len(body) > maxReplySize {
		return upstream.Reply{}, c.fail(upstream.ReasonProtocol, nil)
	}
	return upstream.Reply{Status: res.StatusCode, ContentType: res.Header.Get("Content-Type"), Body: body}, nil
}

// StrayError is the cause of a call that got the answer to another one.
type StrayError struct {
	// Got is the id in the answer.
	Got string
}

// Error implements error.
func (e *StrayError) Error() string { return "the answer belongs to request " + e.Got }

// request builds the call without GetBody, so that it cannot be replayed.
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
		req.Header.Set(HeaderOrderKey, call.OrderKey)
	}
	return req, nil
}

func (c *Client) fail(reason upstream.Reason, cause error) *upstream.Error {
	return &upstream.Error{Op: "call", Upstream: c.id, Reason: reason, Cause: cause}
}

func reasonOfTransport(ctx context.Context, err error) upstream.Reason {
	if jsonhttp.Unsent(err) {
		return upstream.ReasonConnect
	}
	if ctx.Err() != nil {
		return upstream.ReasonTimeout
	}
	return upstream.ReasonBroken
}
