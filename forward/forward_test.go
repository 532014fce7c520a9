package forward_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/cardamompier/cardamompier/admission"
	"github.com/cardamompier/cardamompier/forward"
	"github.com/cardamompier/cardamompier/hosts"
	"github.com/cardamompier/cardamompier/platform"
	"github.com/cardamompier/cardamompier/quarantine"
	"github.com/cardamompier/cardamompier/retry"
	"github.com/cardamompier/cardamompier/routes"
)

// receivedRequest is a request as an upstream received it.
type receivedRequest struct {
	*http.Request
	upstream string
	body     string
}

// fixture is a Forwarder with two upstreams whose answers a test defines.
type fixture struct {
	*forward.Forwarder
	url string

	answer   atomic.Pointer[answerFunc]
	snapshot atomic.Pointer[hosts.Snapshot]
	// onChoice is called when an upstream was chosen for a request with a shared prompt; may be nil.
	onChoice func()
	// limitsPanic makes the limits panic.
	limitsPanic atomic.Bool
	// answersEarly is whether the upstreams answer before they read the body of a request.
	answersEarly bool

	mu       sync.Mutex
	received []receivedRequest
	refunded float64
	started  int
}

func (f *fixture) receivedRequests() []receivedRequest {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]receivedRequest(nil), f.received...)
}

// Take implements forward.Limits.
func (f *fixture) Take(_ context.Context, account string, _ admission.AccountLimit, _ float64) (time.Duration, string, bool) {
	if f.limitsPanic.Load() {
		panic("the limits fail")
	}
	return time.Second, "test", account != "over-limit"
}

// Upstreams implements forward.Prompts.
func (f *fixture) Upstreams(context.Context, uint64) ([]string, bool) { return nil, false }

// Sent implements forward.Prompts.
func (f *fixture) Sent(uint64, string) {
	if f.onChoice != nil {
		f.onChoice()
	}
}

// Refund implements forward.Limits.
func (f *fixture) Refund(_ string, cost float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.refunded += cost
}

// answerFunc writes an upstream's answer to the connection, which is closed
// afterwards. n counts the requests that all upstreams together received before this
// request.
type answerFunc func(n int, r receivedRequest, conn net.Conn)

const requestTimeout = 2 * time.Second

func newFixture(t *testing.T, answer answerFunc) *fixture {
	t.Helper()
	return startFixture(t, &fixture{}, 1000, answer)
}

// newUploadFixture returns a fixture for bodies of up to maxUpload bytes, whose upstreams answer before they read the body.
func newUploadFixture(t *testing.T, answer answerFunc) *fixture {
	t.Helper()
	return startFixture(t, &fixture{answersEarly: true}, maxUpload, answer)
}

const maxUpload = 8 << 20

func startFixture(t *testing.T, f *fixture, maxBody int64, answer answerFunc) *fixture {
	t.Helper()
	f.setAnswer(answer)
	var list []hosts.Host
	for _, id := range []string{"u1", "u2"} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = listener.Close() })
		list = append(list, hosts.Host{ID: id, Address: listener.Addr().String(), FailureDomain: "d", Pool: "p", State: hosts.StateLive, Slots: 8})
		go f.serveUpstream(listener, id)
	}
	table := routes.New(routes.Contents{
		Version: 1, Limits: routes.Limits{BodyBytes: maxBody},
		Routes: []*routes.Route{
			route("/order/", routes.NonIdempotent, 1), route("/read/", routes.Idempotent, 2),
			route("/stream/", routes.Stream, 1), route("/resume/", routes.ResumableStream, 2),
		},
		Pools:    []*routes.Pool{{Name: "p"}},
		Accounts: []*routes.Account{{Name: "within-limit", Rate: 1, Burst: 1}, {Name: "over-limit", Rate: 1, Burst: 1}},
		Keys:     map[string]string{"within-limit-key": "within-limit", "over-limit-key": "over-limit"},
	})
	f.setUpstreams(list)
	f.Forwarder = forward.New(forward.Config{
		Domain: "d", Codec: platform.Headers{}, Limits: f, Prompts: f, Hosts: func() int { return 1 },
		Table: func() *routes.Table { return table }, Upstreams: f.snapshot.Load,
		OnStarted: func(string) {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.started++
		},
		Retries: retry.Bound{Ratio: 0.2, Slack: 10, Window: 10 * time.Second},
		Crashes: quarantine.NewTracker(func(quarantine.Key) bool { return true }, func(string, quarantine.Set) {}),
		Logger:  hclog.NewNullLogger(),
	})
	server := httptest.NewServer(f.Forwarder)
	t.Cleanup(server.Close)
	f.url = server.URL
	return f
}

func route(prefix string, kind routes.Kind, attempts int) *routes.Route {
	return &routes.Route{
		Name: prefix, Host: "h.example", Prefix: prefix, Kind: kind, Timeout: requestTimeout, Objective: time.Second,
		MaxAttempts: attempts, Targets: []routes.Target{{Pool: "p", Weight: 1}},
	}
}

// setAnswer sets the function that writes the answers of all upstreams.
func (f *fixture) setAnswer(answer answerFunc) { f.answer.Store(&answer) }

// setUpstreams sets the list of upstreams.
func (f *fixture) setUpstreams(list []hosts.Host) {
	f.snapshot.Store(hosts.NewSnapshot(list, time.Now()))
}

func (f *fixture) serveUpstream(listener net.Listener, id string) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go func() {
			defer func() { _ = conn.Close() }()
			req, err := http.ReadRequest(bufio.NewReader(conn))
			if err != nil {
				return
			}
			var body []byte
			if !f.answersEarly {
				if body, err = io.ReadAll(req.Body); err != nil {
					return
				}
			}
			f.mu.Lock()
			n := len(f.received)
			r := receivedRequest{Request: req, upstream: id, body: string(body)}
			f.received = append(f.received, r)
			f.mu.Unlock()
			(*f.answer.Load())(n, r, conn)
		}()
	}
}

// writeAnswer writes a complete answer to the request r.
func writeAnswer(conn net.Conn, r receivedRequest, status int, headers, body string) {
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 %d X\r\nRequest-Id: %s\r\nContent-Length: %d\r\n%s\r\n%s",
		status, r.Header.Get("Request-Id"), len(body), headers, body)
}

const sealHeader = "Response-Seal: s\r\n"

// send sends a request to the forwarder as a client does and returns its answer.
func (f *fixture) send(t *testing.T, path, body string, headers ...string) (status int, answer string, header http.Header, err error) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, f.url+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Host = "h.example"
	req.Header.Set("Request-Id", "r1")
	req.Header.Set("Authorization", "Bearer within-limit-key")
	req.Header.Set("Deadline-Ms", "2000")
	for i := 0; i < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	client := &http.Client{Transport: &http.Transport{DisableCompression: true, DisableKeepAlives: true}}
	res, err := client.Do(req)
	if err != nil {
		return 0, "", nil, err
	}
	defer func() { _ = res.Body.Close() }()
	data, err := io.ReadAll(res.Body)
	return res.StatusCode, string(data), res.Header, err
}

// TestLostAnswer covers an upstream that receives a request and closes the connection
// without an answer. A request that must not run twice is sent once and fails with
// 502, because its outcome is unknown. A request that may run twice is sent to the
// other upstream.
func TestLostAnswer(t *testing.T) {
	lose := func(n int, r receivedRequest, conn net.Conn) {
		if n > 0 {
			writeAnswer(conn, r, 200, sealHeader, "ok")
		}
	}
	f := newFixture(t, lose)
	if status, _, _, err := f.send(t, "/order/x", "b"); err != nil || status != http.StatusBadGateway {
		t.Errorf("non-idempotent request: got status %d and error %v, want 502", status, err)
	}
	if n := len(f.receivedRequests()); n != 1 {
		t.Errorf("upstreams received the non-idempotent request %d times, want once", n)
	}
	f = newFixture(t, lose)
	if status, body, _, err := f.send(t, "/read/x", "b"); err != nil || status != http.StatusOK || body != "ok" {
		t.Errorf("idempotent request: got status %d, body %q and error %v, want 200 and \"ok\"", status, body, err)
	}
	if a := f.receivedRequests(); len(a) != 2 || a[0].upstream == a[1].upstream {
		t.Errorf("upstreams received the idempotent request %d times, want once at each of two upstreams", len(a))
	}
}

// TestFullUpstreams covers upstreams that reject a request as full. The caller gets a
// Retry-After time, and the request is refunded because it did not run.
func TestFullUpstreams(t *testing.T) {
	f := newFixture(t, func(_ int, r receivedRequest, conn net.Conn) { writeAnswer(conn, r, 503, "Not-Executed: 1\r\n", "") })
	status, _, header, err := f.send(t, "/order/x", "b")
	if err != nil || status != http.StatusTooManyRequests || header.Get("Retry-After") == "" {
		t.Errorf("got status %d, headers %v and error %v, want 429 with Retry-After", status, header, err)
	}
	if f.refunded == 0 || f.started != 0 {
		t.Errorf("refunded cost is %v and started requests are %d, want a refund and no start", f.refunded, f.started)
	}
}

// TestFailuresOfUpstreams checks which error statuses of an upstream reach the caller.
// 503 and 429 tell the caller that the request did not run, so they become 502 unless
// the upstream itself states that it did not run the request. Other statuses are
// relayed.
func TestFailuresOfUpstreams(t *testing.T) {
	for status, want := range map[int]int{503: 502, 429: 502, 500: 500, 404: 404} {
		f := newFixture(t, func(_ int, r receivedRequest, conn net.Conn) {
			writeAnswer(conn, r, status, sealHeader, "upstream body")
		})
		if got, _, _, err := f.send(t, "/order/x", "b"); err != nil || got != want {
			t.Errorf("upstream status %d: caller got %d and error %v, want %d", status, got, err, want)
		}
	}
}

// TestInvalidAnswers checks that a successful answer becomes 502 if it is truncated,
// encoded, malformed, for another request, or lacks the header that marks it as made
// by the upstream.
func TestInvalidAnswers(t *testing.T) {
	for name, answer := range map[string]answerFunc{
		"no header that marks the answer": func(_ int, r receivedRequest, conn net.Conn) { writeAnswer(conn, r, 200, "", "ok") },
		"encoded body": func(_ int, r receivedRequest, conn net.Conn) {
			writeAnswer(conn, r, 200, sealHeader+"Content-Encoding: gzip\r\n", "ok")
		},
		"truncated body": func(_ int, r receivedRequest, conn net.Conn) {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 X\r\nRequest-Id: r1\r\nContent-Length: 9\r\n"+sealHeader+"\r\nok")
		},
		"answer to another request": func(_ int, _ receivedRequest, conn net.Conn) {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 X\r\nRequest-Id: r0\r\nContent-Length: 2\r\n"+sealHeader+"\r\nok")
		},
		"malformed answer": func(_ int, _ receivedRequest, conn net.Conn) { _, _ = io.WriteString(conn, "garbage\r\n\r\n") },
	} {
		f := newFixture(t, answer)
		if status, _, header, err := f.send(t, "/order/x", "b"); err != nil || status != http.StatusBadGateway || header.Get("Response-Seal") != "" {
			t.Errorf("%s: got status %d and error %v, want 502 without the upstream's headers", name, status, err)
		}
	}
}

// eventText returns one event of an event stream.
func eventText(id int) string { return fmt.Sprintf("id: %d\ndata: e%d\n\n", id, id) }

func writeStreamHead(conn net.Conn, r receivedRequest) {
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 X\r\nRequest-Id: %s\r\nTransfer-Encoding: chunked\r\n%s\r\n", r.Header.Get("Request-Id"), sealHeader)
}

func writeChunk(conn net.Conn, text string) {
	_, _ = fmt.Fprintf(conn, "%x\r\n%s\r\n", len(text), text)
}

// TestStreamResumedElsewhere covers a stream that breaks off within an event. The
// forwarder continues the stream at the other upstream after the last whole event and
// drops an event that the caller already received.
func TestStreamResumedElsewhere(t *testing.T) {
	f := newFixture(t, func(n int, r receivedRequest, conn net.Conn) {
		writeStreamHead(conn, r)
		if n == 0 {
			writeChunk(conn, eventText(1)+eventText(2)+"id: 3\nda")
			return
		}
		writeChunk(conn, eventText(2)+eventText(3)+eventText(4))
		_, _ = io.WriteString(conn, "0\r\n\r\n")
	})
	status, body, _, err := f.send(t, "/resume/x", "b")
	if want := eventText(1) + eventText(2) + eventText(3) + eventText(4); err != nil || status != http.StatusOK || body != want {
		t.Errorf("got status %d, body %q and error %v, want 200 and events 1 to 4", status, body, err)
	}
	a := f.receivedRequests()
	if len(a) != 2 || a[1].Header.Get("Last-Event-Id") != "2" || a[0].upstream == a[1].upstream {
		t.Errorf("upstreams received %+v, want the second request at the other upstream with Last-Event-Id 2", a)
	}
}

// TestStreamBrokenOff checks that a stream that breaks off and must not run twice ends
// with an error at the caller, so that the answer does not look complete.
func TestStreamBrokenOff(t *testing.T) {
	f := newFixture(t, func(_ int, r receivedRequest, conn net.Conn) {
		writeStreamHead(conn, r)
		writeChunk(conn, eventText(1))
	})
	if _, body, _, err := f.send(t, "/stream/x", "b"); err == nil || body != eventText(1) {
		t.Errorf("got body %q and error %v, want event 1 and an error", body, err)
	}
	if n := len(f.receivedRequests()); n != 1 {
		t.Errorf("upstreams received %d requests, want 1", n)
	}
}

// TestRequestSentToUpstream checks that an upstream receives the caller's request
// unchanged, except for hop-by-hop headers and headers that only the system sets.
func TestRequestSentToUpstream(t *testing.T) {
	f := newFixture(t, func(_ int, r receivedRequest, conn net.Conn) { writeAnswer(conn, r, 200, sealHeader, "ok") })
	_, _, _, err := f.send(t, "/order/a%2Fb//c/../d?x=%20&y", "body",
		"Tenant-Id", "forged", "Kv-Hold", "forged", "Pin-Ms", "9", "Expect-Instance", "forged", "X-Own", "kept",
		"Connection", "X-Hop", "X-Hop", "dropped")
	if err != nil {
		t.Fatal(err)
	}
	r := f.receivedRequests()[0]
	if r.RequestURI != "/order/a%2Fb//c/../d?x=%20&y" || r.Method != http.MethodPost || r.body != "body" || r.Host != "h.example" {
		t.Errorf("upstream received method %s, target %s, body %q and host %s", r.Method, r.RequestURI, r.body, r.Host)
	}
	for name, want := range map[string]string{
		"Tenant-Id": "within-limit", "Authorization": "", "Kv-Hold": "", "Pin-Ms": "", "Expect-Instance": r.upstream,
		"X-Own": "kept", "X-Hop": "", "Request-Id": "r1",
	} {
		if got := r.Header.Get(name); got != want {
			t.Errorf("header %s is %q, want %q", name, got, want)
		}
	}
}

// TestRefusals checks the status and error code of requests that this host rejects
// before it sends anything to an upstream.
func TestRefusals(t *testing.T) {
	f := newFixture(t, func(_ int, r receivedRequest, conn net.Conn) { writeAnswer(conn, r, 200, sealHeader, "ok") })
	for name, c := range map[string]struct {
		path, body string
		headers    []string
		status     int
		code       string
	}{
		"no route":       {"/other/x", "", nil, 404, "unknown_service"},
		"unknown key":    {"/order/x", "", []string{"Authorization", "Bearer none"}, 401, "unauthenticated"},
		"no id":          {"/order/x", "", []string{"Request-Id", ""}, 400, "invalid_request"},
		"bad deadline":   {"/order/x", "", []string{"Deadline-Ms", "soon"}, 400, "invalid_request"},
		"bad tokens":     {"/order/x", "", []string{"Token-Count", "1"}, 400, "invalid_request"},
		"bad prompt":     {"/order/x", "", []string{"Prompt-Prefix", "zz:1"}, 400, "invalid_request"},
		"large body":     {"/order/x", strings.Repeat("x", 2000), nil, 413, "request_too_large"},
		"over its limit": {"/order/x", "", []string{"Authorization", "Bearer over-limit-key"}, 429, "rate_limited"},
	} {
		status, body, _, err := f.send(t, c.path, c.body, c.headers...)
		if err != nil || status != c.status || !strings.Contains(body, `"code":"`+c.code+`"`) || !strings.Contains(body, `"not_run"`) {
			t.Errorf("%s: got status %d, body %s and error %v", name, status, body, err)
		}
	}
	if n := len(f.receivedRequests()); n != 0 {
		t.Errorf("upstreams received %d requests, want none", n)
	}
}

// TestStoppingHost checks that a stopping host rejects a request that may outlast the
// host and accepts a request that ends before the host stops. Before this rule, a
// stream that a host accepted 4.3 s after its stop began was cut off when the host
// ended.
func TestStoppingHost(t *testing.T) {
	f := newFixture(t, func(_ int, r receivedRequest, conn net.Conn) { writeAnswer(conn, r, 200, sealHeader, "ok") })
	now := time.Now()
	f.Drain(now.Add(-time.Second), now.Add(requestTimeout/2), now.Add(requestTimeout))
	status, _, header, err := f.send(t, "/stream/x", "b")
	if err != nil || status != http.StatusServiceUnavailable || header.Get("Retry-After") == "" {
		t.Errorf("stream: got status %d, headers %v and error %v, want 503 with Retry-After", status, header, err)
	}
	if status, _, _, err = f.send(t, "/order/x", "b", "Deadline-Ms", "100"); err != nil || status != http.StatusOK {
		t.Errorf("short request: got status %d and error %v, want 200", status, err)
	}
}

// TestCallerLeaves checks that the connection to the upstream is closed at once when
// the caller disconnects.
func TestCallerLeaves(t *testing.T) {
	closed := make(chan struct{})
	arrived := make(chan struct{})
	f := newFixture(t, func(_ int, _ receivedRequest, conn net.Conn) {
		close(arrived)
		_, _ = conn.Read(make([]byte, 1))
		close(closed)
	})
	ctx, cancel := context.WithCancel(t.Context())
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, f.url+"/stream/x", strings.NewReader("b"))
	if err != nil {
		t.Fatal(err)
	}
	req.Host = "h.example"
	req.Header.Set("Request-Id", "r1")
	req.Header.Set("Authorization", "Bearer within-limit-key")
	go func() {
		<-arrived
		cancel()
	}()
	if _, err := http.DefaultClient.Do(req); err == nil {
		t.Error("the cancelled request returned no error")
	}
	<-closed
}

// TestRouteTimeout checks that the caller gets 504 as soon as the request's deadline
// passes.
func TestRouteTimeout(t *testing.T) {
	f := newFixture(t, func(_ int, _ receivedRequest, conn net.Conn) { _, _ = conn.Read(make([]byte, 1)) })
	if status, _, _, err := f.send(t, "/order/x", "b", "Deadline-Ms", "50"); err != nil || status != http.StatusGatewayTimeout {
		t.Errorf("got status %d and error %v, want 504", status, err)
	}
}
