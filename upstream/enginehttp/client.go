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
	"github.com/cardamompier/cardamompier/stricthttp"
	"github.com/cardamompier/cardamompier/upstream"
)

const (
	dialTimeout     = time.Second
	idleConnTimeout = 60 * time.Second
	maxIdlePerHost  = 256
	maxErrorSize    = 4 << 10  // limit of an error body, in bytes
	maxCacheSize    = 32 << 20 // limit of an exported KV cache, in bytes
	maxReportSize   = 64 << 10 // limit of a load report, in bytes
	maxEventsSize   = 1 << 20  // limit of a reply with cache events, in bytes
	readBufferSize  = 4 << 10  // bytes per open stream
	maxHeadBytes    = 64 << 10 // limit of the status line and headers of a response
)

// Client calls the model engine at one address.
type Client struct {
	id   string
	base string
	http *http.Client
	// replies is charged for exported KV caches.
	replies *upstream.ReplyBudget
}

var _ upstream.Engine = (*Client)(nil)

// NewTransport returns an HTTP transport, which all engine clients of a process share.
func NewTransport() http.RoundTripper {
	return stricthttp.NewTransport(&http.Transport{
		DialContext:            (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost:    maxIdlePerHost,
		IdleConnTimeout:        idleConnTimeout,
		DisableCompression:     true,
		ReadBufferSize:         readBufferSize,
		MaxResponseHeaderBytes: maxHeadBytes,
	})
}

// NewClient returns a client for the engine on host id. address is an IP address and port. Exported KV
// caches are charged to the given budget.
func NewClient(id, address string, transport http.RoundTripper, replies *upstream.ReplyBudget) *Client {
	return &Client{id: id, base: "http://" + address, http: &http.Client{Transport: transport}, replies: replies}
}

// Generate starts an attempt, one try of a request, and returns its token stream.
func (c *Client) Generate(ctx context.Context, req upstream.GenerateRequest) (upstream.TokenStream, error) {
	res, err := c.post(ctx, PathGenerate, GenerateBody(req))
	if err != nil {
		return nil, err
	}
	return c.newStream(res.Body), nil
}

// Resume reopens the token stream of an attempt at token index from.
func (c *Client) Resume(ctx context.Context, streamID string, from int) (upstream.TokenStream, error) {
	query := url.Values{ParamStream: {streamID}, ParamFrom: {strconv.Itoa(from)}}
	res, err := c.do(ctx, http.MethodGet, PathResume+"?"+query.Encode(), nil)
	if err != nil {
		return nil, err
	}
	return c.newStream(res.Body), nil
}

// Cancel cancels the attempt streamID on the engine.
func (c *Client) Cancel(ctx context.Context, streamID string) error {
	return c.discard(c.do(ctx, http.MethodPost, PathCancel+"?"+streamQuery(streamID), nil))
}

// ExportCache returns the KV cache of the attempt streamID, at most maxCacheSize bytes and what is left of
// the budget. The caller must call release when it no longer uses the cache.
func (c *Client) ExportCache(ctx context.Context, streamID string) (cache []byte, release func(), err error) {
	res, err := c.do(ctx, http.MethodGet, PathExport+"?"+streamQuery(streamID), nil)
	if err != nil {
		return nil, nil, err
	}
	defer func() { _ = res.Body.Close() }()
	cache, release, err = c.replies.ReadAll(res.Body, maxCacheSize)
	if err != nil {
		return nil, nil, c.fail(PathExport, upstream.ReasonBroken, err)
	}
	return cache, release, nil
}

// ImportCache uploads a KV cache for the attempt streamID.
func (c *Client) ImportCache(ctx context.Context, streamID string, cache []byte) error {
	return c.discard(c.do(ctx, http.MethodPost, PathImport+"?"+streamQuery(streamID), cache))
}

// Load returns the engine's latest load report.
func (c *Client) Load(ctx context.Context) (upstream.LoadReport, error) {
	var report upstream.LoadReport
	return report, c.get(ctx, PathLoad, maxReportSize, &report)
}

// CacheEvents returns the engine's prefix cache events after the given sequence number.
func (c *Client) CacheEvents(ctx context.Context, after uint64) ([]upstream.CacheEvent, error) {
	var events []upstream.CacheEvent
	path := PathCacheEvents + "?" + url.Values{ParamAfter: {strconv.FormatUint(after, 10)}}.Encode()
	return events, c.get(ctx, path, maxEventsSize, &events)
}

// Order sends the engine its desired state: role, model, adapters and version.
func (c *Client) Order(ctx context.Context, order upstream.Order) error {
	return c.discard(c.post(ctx, PathOrder, order))
}

// get sends a GET request and decodes the JSON response, of at most maxSize bytes, into the given value.
func (c *Client) get(ctx context.Context, path string, maxSize int64, into any) error {
	res, err := c.do(ctx, http.MethodGet, path, nil)
	if err != nil {
		return err
	}
	defer func() { _ = res.Body.Close() }()
	if err := json.NewDecoder(io.LimitReader(res.Body, maxSize)).Decode(into); err != nil {
		return c.fail(path, upstream.ReasonProtocol, err)
	}
	return nil
}

// post sends a POST request with body encoded as JSON.
func (c *Client) post(ctx context.Context, path string, body any) (*http.Response, error) {
	encoded, err := json.Marshal(body)
	if err != nil {
		return nil, c.fail(path, upstream.ReasonRefused, err)
	}
	return c.do(ctx, http.MethodPost, path, encoded)
}

// do sends one request and returns the response if its status is 200. The request has
// no GetBody function, so that http.Transport cannot send a body a second time.
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

// discard closes the body of a response that carries no data.
func (c *Client) discard(res *http.Response, err error) error {
	if err != nil {
		return err
	}
	return res.Body.Close()
}

// fail returns an upstream.Error for the failed call op to the client's host.
func (c *Client) fail(op string, reason upstream.Reason, cause error) *upstream.Error {
	return &upstream.Error{Op: op, Upstream: c.id, Reason: reason, Cause: cause}
}

// reasonOfTransport classifies an error of http.Client.Do.
func reasonOfTransport(ctx context.Context, err error) upstream.Reason {
	if jsonhttp.IsDialError(err) {
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

func streamQuery(id string) string { return url.Values{ParamStream: {id}}.Encode() }

// tokenStream reads the tokens of one attempt from a response body with one JSON object
// per line.
type tokenStream struct {
	client  *Client
	body    io.ReadCloser
	scanner *bufio.Scanner
	done    bool
}

func (c *Client) newStream(body io.ReadCloser) *tokenStream {
	return &tokenStream{client: c, body: body, scanner: bufio.NewScanner(body)}
}

// Next returns the next token, io.EOF after the final line, or an *upstream.Error.
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

// Close closes the response body of the token stream.
func (s *tokenStream) Close() error { return s.body.Close() }
