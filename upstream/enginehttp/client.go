package enginehttp

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/cardamompier/cardamompier/jsonhttp"
	"github.com/cardamompier/cardamompier/upstream"
)

const (
	dialTimeout     = time.Second
	idleConnTimeout = 60 * time.Second
	maxIdlePerHost  = 256
	maxErrorSize    = 4 << 10  // bytes
	maxReplySize    = 64 << 20 // bytes: an exported KV cache
	readBufferSize  = 4 << 10  // bytes for each open stream
	maxHeadBytes    = 64 << 10 // of the head of an answer
)

// Client is an engine at one address.
type Client struct {
	id   string
	base string
	http *http.Client
}

var _ upstream.Engine = (*Client)(nil)

// NewTransport returns the transport that the engines of a process share.
func NewTransport() *http.Transport {
	return &http.Transport{
		DialContext:            (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost:    maxIdlePerHost,
		IdleConnTimeout:        idleConnTimeout,
		DisableCompression:     true,
		ReadBufferSize:         readBufferSize,
		MaxResponseHeaderBytes: maxHeadBytes,
	}
}

// NewClient returns the engine of host id at an IP number and port.
func NewClient(id, address string, transport *http.Transport) *Client {
	return &Client{id: id, base: "http://" + address, http: &http.Client{Transport: transport}}
}

// Generate implements upstream.Engine.
func (c *Client) Generate(ctx context.Context, req upstream.GenerateRequest) (upstream.TokenStream, error) {
	res, err := c.post(ctx, PathGenerate, GenerateBody(req))
	if err != nil {
		return nil, err
	}
	return c.newStream(res.Body), nil
}

// Resume implements upstream.Engine.
func (c *Client) Resume(ctx context.Context, streamID string, from int) (upstream.TokenStream, error) {
	query := url.Values{ParamStream: {streamID}, ParamFrom: {strconv.Itoa(from)}}
	res, err := c.do(ctx, http.MethodGet, PathResume+"?"+query.Encode(), nil)
	if err != nil {
		return nil, err
	}
	return c.newStream(res.Body), nil
}

// Cancel implements upstream.Engine.
func (c *Client) Cancel(ctx context.Context, streamID string) error {
	return c.discard(c.do(ctx, http.MethodPost, PathCancel+"?"+streamQuery(streamID), nil))
}

// ExportCache implements upstream.Engine.
func (c *Client) ExportCache(ctx context.Context, streamID string) ([]byte, error) {
	res, err := c.do(ctx, http.MethodGet, PathExport+"?"+streamQuery(streamID), nil)
	if err != nil {
		return nil, err
	}
	defer func() { _ = res.Body.Close() }()
	cache, err := io.ReadAll(io.LimitReader(res.Body, maxReplySize))
	if err != nil {
		return nil, c.fail(PathExport, upstream.ReasonBroken, err)
	}
	return cache, nil
}

// ImportCache implements upstream.Engine.
func (c *Client) ImportCache(ctx context.Context, streamID string, cache []byte) error {
	return c.discard(c.do(ctx, http.MethodPost, PathImport+"?"+streamQuery(streamID), cache))
}

// Load implements upstream.Engine.
func (c *Client) Load(ctx context.Context) (upstream.LoadReport, error) {
	var report upstream.LoadReport
	return report, c.get(ctx, PathLoad, &report)
}

// CacheEvents implements upstream.Engine.
func (c *Client) CacheEvents(ctx context.Context, after uint64) ([]upstream.CacheEvent, error) {
	var events []upstream.CacheEvent
	path := PathCacheEvents + "?" + url.Values{ParamAfter: {strconv.FormatUint(after, 10)}}.Encode()
	return events, c.get(ctx, path, &events)
}

// Order implements upstream.Engine.
func (c *Client) Order(ctx context.Context, order upstream.Order) error {
	return c.discard(c.post(ctx, PathOrder, order))
}

func (c *Client) get(ctx context.Context, path string, into any) error {
	res, err := c.do(ctx, http.MethodGet, path, nil)
	if err != nil {
		return err
	}
	defer func() { _ = res.Body.Close() }()
	if err := json.NewDecoder(io.LimitReader(res.Body, maxReplySize)).Decode(into); err != nil {
		return c.fail(path, upstream.ReasonProtocol, err)
	}
	return nil
}

func (c *Client) post(ctx context.Context, path string, body any) (*http.Response, error) {
	encoded, err := json.Marshal(body)
	if err != nil {
		return nil, c.fail(path, upstream.ReasonRefused, err)
	}
	return c.do(ctx, http.MethodPost, path, encoded)
}

// do sends one call without replay: its body has no GetBody.
func (c *Client) do(ctx context.Context, method, path string, body []byte) (*http.Response, error) {
	var reader io.Reader
	if body != nil {
		reader = io.NopCloser(bytes.NewReader(body))
	}
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, reader)
	if err != nil {
		return nil, c.fail(path, upstream.ReasonRefused, err)
	}
	req.ContentLength = int64(len(body))
	res, err := c.http.Do(req)
	if err != nil {
		return nil, c.fail(path, reasonOfTransport(ctx, err), err)
	}
	if res.StatusCode == http.StatusOK {
		return res, nil
	}
	defer func() { _ = res.Body.Close() }()
	var refusal ErrorBody
	if err := json.NewDecoder(io.LimitReader(res.Body, maxErrorSize)).Decode(&refusal); err != nil || refusal.Reason == "" {
		return nil, c.fail(path, upstream.ReasonProtocol, err)
	}
	return nil, c.fail(path, refusal.Reason, nil)
}

func (c *Client) discard(res *http.Response, err error) error {
	if err != nil {
		return err
	}
	return res.Body.Close()
}

func (c *Client) fail(op string, reason upstream.Reason, cause error) *upstream.Error {
	return &upstream.Error{Op: op, Upstream: c.id, Reason: reason, Cause: cause}
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

func streamQuery(id string) string { return url.Values{ParamStream: {id}}.Encode() }

// tokenStream reads the lines of one attempt.
type tokenStream struct {
	client  *Client
	body    io.ReadCloser
	scanner *bufio.Scanner
	done    bool
}

func (c *Client) newStream(body io.ReadCloser) *tokenStream {
	return &tokenStream{client: c, body: body, scanner: bufio.NewScanner(body)}
}

// Next implements upstream.TokenStream.
func (s *tokenStream) Next() (upstream.Token, error) {
	if s.done {
		return upstream.Token{}, io.EOF
	}
	if !s.scanner.Scan() {
		return upstream.Token{}, s.client.fail("stream", upstream.ReasonBroken, s.scanner.Err())
	}
	var line Line
	if err := json.Unmarshal(s.scanner.Bytes(), &line); err != nil {
		return upstream.Token{}, s.client.fail("stream", upstream.ReasonProtocol, err)
	}
	if line.Done {
		s.done = true
		return upstream.Token{}, io.EOF
	}
	return upstream.Token{Index: line.Index, Text: line.Text}, nil
}

// Close implements io.Closer.
func (s *tokenStream) Close() error { return s.body.Close() }
