package kvhttp

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/cardamompier/cardamompier/jsonhttp"
	"github.com/cardamompier/cardamompier/kv"
	"github.com/cardamompier/cardamompier/stricthttp"
)

const (
	callTimeout = 2 * time.Second
	// watchWait limits how long one watch call waits for a change. The caller of
	// Watch then calls it again.
	watchWait = 20 * time.Second
	// maxReplySize is the size limit of a response, in bytes. A response to List
	// contains several values.
	maxReplySize    = 16 << 20
	maxIdlePerHost  = 64
	idleConnTimeout = 60 * time.Second
)

// Client calls the key-value service at one address. It never retries a call.
type Client struct {
	baseURL string
	http    *http.Client
}

var _ kv.Store = (*Client)(nil)

// NewClient returns a Client of the service at baseURL, for example
// "http://127.0.0.1:7500".
func NewClient(baseURL string) *Client {
	transport := &http.Transport{MaxIdleConnsPerHost: maxIdlePerHost, IdleConnTimeout: idleConnTimeout}
	return &Client{baseURL: baseURL, http: &http.Client{Transport: stricthttp.NewTransport(transport)}}
}

// Close closes the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Get implements kv.Store.
func (c *Client) Get(ctx context.Context, key string) (kv.Entry, error) {
	reply, err := c.call(ctx, pathGet, key, callBody{Key: key}, callTimeout)
	if err != nil {
		return kv.Entry{}, err
	}
	if len(reply.Entries) != 1 {
		return kv.Entry{}, &kv.Error{Op: pathGet, Key: key, Reason: kv.ReasonUnknown}
	}
	return reply.Entries[0].entry(), nil
}

// List implements kv.Store.
func (c *Client) List(ctx context.Context, prefix string) ([]kv.Entry, kv.Version, error) {
	reply, err := c.call(ctx, pathList, prefix, callBody{Key: prefix}, callTimeout)
	if err != nil {
		return nil, 0, err
	}
	entries := make([]kv.Entry, 0, len(reply.Entries))
	for _, e := range reply.Entries {
		entries = append(entries, e.entry())
	}
	return entries, reply.Revision, nil
}

// CompareAndSwap implements kv.Store.
func (c *Client) CompareAndSwap(ctx context.Context, w kv.Write) (kv.Version, error) {
	if len(w.Value) > kv.MaxValueSize {
		return 0, &kv.Error{Op: pathSwap, Key: w.Key, Reason: kv.ReasonTooLarge}
	}
	body := callBody{Key: w.Key, Value: w.Value, Expect: w.Expect, Lease: w.Lease}
	reply, err := c.call(ctx, pathSwap, w.Key, body, callTimeout)
	return reply.Revision, err
}

// Delete implements kv.Store.
func (c *Client) Delete(ctx context.Context, key string, expect kv.Version) error {
	_, err := c.call(ctx, pathDelete, key, callBody{Key: key, Expect: expect}, callTimeout)
	return err
}

// Grant implements kv.Store.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (kv.LeaseID, error) {
	reply, err := c.call(ctx, pathGrant, "", callBody{TTLMS: ttl.Milliseconds()}, callTimeout)
	return reply.Lease, err
}

// KeepAlive implements kv.Store.
func (c *Client) KeepAlive(ctx context.Context, id kv.LeaseID) error {
	_, err := c.call(ctx, pathKeepAlive, "", callBody{Lease: id}, callTimeout)
	return err
}

// Revoke implements kv.Store.
func (c *Client) Revoke(ctx context.Context, id kv.LeaseID) error {
	_, err := c.call(ctx, pathRevoke, "", callBody{Lease: id}, callTimeout)
	return err
}

// Watch implements kv.Store.
func (c *Client) Watch(ctx context.Context, prefix string, after kv.Version) ([]kv.Event, kv.Version, error) {
	body := callBody{Key: prefix, After: after, WaitMS: watchWait.Milliseconds()}
	reply, err := c.call(ctx, pathWatch, prefix, body, watchWait+callTimeout)
	if err != nil {
		return nil, 0, err
	}
	events := make([]kv.Event, 0, len(reply.Entries))
	for _, e := range reply.Entries {
		events = append(events, kv.Event{Entry: e.entry(), Deleted: e.Deleted})
	}
	return events, max(after, reply.Revision), nil
}

// call sends one call and decodes its response. It fails with ReasonUnavailable
// if the request was not sent, with the reason in the response if the service
// rejected the call, and with ReasonUnknown if no valid response arrived.
func (c *Client) call(ctx context.Context, path, key string, body callBody, timeout time.Duration) (replyBody, error) {
	fail := func(reason kv.Reason, cause error) (replyBody, error) {
		return replyBody{}, &kv.Error{Op: path, Key: key, Reason: reason, Cause: cause}
	}
	encoded, err := json.Marshal(body)
	if err != nil {
		return fail(kv.ReasonInvalid, err)
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	// The NopCloser prevents http.NewRequest from setting GetBody. Without
	// GetBody, the HTTP transport cannot send a write a second time.
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.baseURL+path, io.NopCloser(bytes.NewReader(encoded)))
	if err != nil {
		return fail(kv.ReasonInvalid, err)
	}
	req.ContentLength = int64(len(encoded))
	res, err := c.http.Do(req)
	if err != nil {
		return fail(reasonOfTransport(err), err)
	}
	defer func() { _ = res.Body.Close() }()
	var reply replyBody
	if err := json.NewDecoder(io.LimitReader(res.Body, maxReplySize)).Decode(&reply); err != nil {
		return fail(kv.ReasonUnknown, err)
	}
	if reply.Error != nil {
		return reply, &kv.Error{Op: path, Key: key, Reason: reply.Error.Reason, Current: reply.Error.Current}
	}
	return reply, nil
}

// reasonOfTransport returns ReasonUnavailable if err shows that the request was
// not sent, and ReasonUnknown otherwise.
func reasonOfTransport(err error) kv.Reason {
	if jsonhttp.IsDialError(err) {
		return kv.ReasonUnavailable
	}
	return kv.ReasonUnknown
}
