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
	"github.com/cardamompier/cardamompier/retry"
	"github.com/cardamompier/cardamompier/routes"
)

// seen is a request as an upstream got it.
type seen struct {
	*http.Request
	upstream string
	body     string
}

// fixture is a forwarder before scripted upstreams.
type fixture struct {
	*forward.Forwarder
	url string

	answer   atomic.Pointer[script]
	snapshot atomic.Pointer[hosts.Snapshot]

	mu       sync.Mutex
	arrived  []seen
	refunded float64
	started  int
}

func (f *fixture) arrivals() []seen {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]seen(nil), f.arrived...)
}

// Take implements forward.Limits.
func (f *fixture) Take(_ context.Context, account string, _ admission.AccountLimit, _ float64) (time.Duration, string, bool) {
	return time.Second, "test", account != "poor"
}

// Upstreams implements forward.Prompts.
func (f *fixture) Upstreams(context.Context, uint64) ([]string, bool) { return nil, false }

// Sent implements forward.Prompts.
func (f *fixture) Sent(uint64, string) {}

// Refund implements forward.Limits.
func (f *fixture) Refund(_ string, cost float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.refunded += cost
}

// script answers the n-th request that all upstreams got together, from 0, on
// an open connection, which is closed afterwards.
type script func(n int, r seen, conn net.Conn)

const requestTimeout = 2 * time.Second

func newFixture(t *testing.T, answer script) *fixture {
	t.Helper()
	f := &fixture{}
	f.answerWith(answer)
	var list []hosts.Host
	for _, id := range []string{"u1", "u2"} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = listener.Close() })
		list = append(list, hosts.Host{ID: id, Address: listener.Addr().String(), FailureDomain: "d", Pool: "p", State: hosts.StateLive, Slots: 8})
		go f.accept(listener, id)
	}
	table := routes.New(routes.Contents{
		Version: 1, Limits: routes.Limits{BodyBytes: 1000},
		Routes: []*routes.Route{
			route("/order/", routes.NonIdempotent, 1), route("/read/", routes.Idempotent, 2),
			route("/stream/", routes.Stream, 1), route("/resume/", routes.ResumableStream, 2),
		},
		Pools:    []*routes.Pool{{Name: "p"}},
		Accounts: []*routes.Account{{Name: "rich", Rate: 1, Burst: 1}, {Name: "poor", Rate: 1, Burst: 1}},
		Keys:     map[string]string{"rich-key": "rich", "poor-key": "poor"},
	})
	f.list(list)
	f.Forwarder = forward.New(forward.Parts{
		Domain: "d", Codec: platform.Headers{}, Limits: f, Prompts: f, Hosts: func() int { return 1 },
		Table: func() *routes.Table { return table }, Upstreams: f.snapshot.Load,
		Started: func(string) {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.started++
		},
		Retries: retry.Bound{Ratio: 0.2, Slack: 10, Window: 10 * time.Second}, Logger: hclog.NewNullLogger(),
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

// answerWith sets what the upstreams answer.
func (f *fixture) answerWith(answer script) { f.answer.Store(&answer) }

// list sets the list of upstreams.
func (f *fixture) list(list []hosts.Host) { f.snapshot.Store(hosts.NewSnapshot(list, time.Now())) }

func (f *fixture) accept(listener net.Listener, id string) {
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
			body, err := io.ReadAll(req.Body)
			if err != nil {
				return
			}
			f.mu.Lock()
			n := len(f.arrived)
			r := seen{Request: req, upstream: id, body: string(body)}
			f.arrived = append(f.arrived, r)
			f.mu.Unlock()
			(*f.answer.Load())(n, r, conn)
		}()
	}
}

// reply writes an answer of the upstream that got the request.
func reply(conn net.Conn, r seen, status int, headers, body string) {
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 %d X\r\nRequest-Id: %s\r\nContent-Length: %d\r\n%s\r\n%s",
		status, r.Header.Get("Request-Id"), len(body), headers, body)
}

const sealed = "Response-Seal: s\r\n"

// send sends a request as a client does.
func (f *fixture) send(t *testing.T, path, body string, headers ...string) (status int, answer string, header http.Header, err error) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, f.url+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Host = "h.example"
	req.Header.Set("Request-Id", "r1")
	req.Header.Set("Authorization", "Bearer rich-key")
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

// An upstream that runs a request and loses its answer: a request that must not
// run twice is sent once and its outcome is unknown; one that may is sent to
// the other upstream.
func TestLostAnswer(t *testing.T) {
	lose := func(n int, r seen, conn net.Conn) {
		if n > 0 {
			reply(conn, r, 200, sealed, "ok")
		}
	}
	f := newFixture(t, lose)
	if status, _, _, err := f.send(t, "/order/x", "b"); err != nil || status != http.StatusBadGateway {
		t.Errorf("order: %d, %v", status, err)
	}
	if n := len(f.arrivals()); n != 1 {
		t.Errorf("the order arrived %d times", n)
	}
	f = newFixture(t, lose)
	if status, body, _, err := f.send(t, "/read/x", "b"); err != nil || status != http.StatusOK || body != "ok" {
		t.Errorf("read: %d %q, %v", status, body, err)
	}
	if a := f.arrivals(); len(a) != 2 || a[0].upstream == a[1].upstream {
		t.Errorf("the read arrived %d times, or at one upstream", len(a))
	}
}

// Upstreams that say that they are full: the caller is told to come again, its
// request has not run, and it costs nothing.
func TestFullUpstreams(t *testing.T) {
	f := newFixture(t, func(_ int, r seen, conn net.Conn) { reply(conn, r, 503, "Not-Executed: 1\r\n", "") })
	status, _, header, err := f.send(t, "/order/x", "b")
	if err != nil || status != http.StatusTooManyRequests || header.Get("Retry-After") == "" {
		t.Errorf("%d %v, %v", status, header, err)
	}
	if f.refunded == 0 || f.started != 0 {
		t.Errorf("refunded %v, started %d", f.refunded, f.started)
	}
}

// A status that promises that a request has not run is not passed on from an
// upstream that does not say so itself; its own failures are.
func TestFailuresOfUpstreams(t *testing.T) {
	for status, want := range map[int]int{503: 502, 429: 502, 500: 500, 404: 404} {
		f := newFixture(t, func(_ int, r seen, conn net.Conn) { reply(conn, r, status, sealed, "own") })
		if got, _, _, err := f.send(t, "/order/x", "b"); err != nil || got != want {
			t.Errorf("upstream's %d: %d, %v; want %d", status, got, err, want)
		}
	}
}

// Successes without the upstream's mark, encoded ones, and broken ones are not
// the upstream's answer.
func TestSpoiltAnswers(t *testing.T) {
	for name, spoil := range map[string]script{
		"unsealed": func(_ int, r seen, conn net.Conn) { reply(conn, r, 200, "", "ok") },
		"encoded":  func(_ int, r seen, conn net.Conn) { reply(conn, r, 200, sealed+"Content-Encoding: gzip\r\n", "ok") },
		"short": func(_ int, r seen, conn net.Conn) {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 X\r\nRequest-Id: r1\r\nContent-Length: 9\r\n"+sealed+"\r\nok")
		},
		"another's": func(_ int, _ seen, conn net.Conn) {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 X\r\nRequest-Id: r0\r\nContent-Length: 2\r\n"+sealed+"\r\nok")
		},
		"no answer": func(_ int, _ seen, conn net.Conn) { _, _ = io.WriteString(conn, "garbage\r\n\r\n") },
	} {
		f := newFixture(t, spoil)
		if status, _, header, err := f.send(t, "/order/x", "b"); err != nil || status != http.StatusBadGateway || header.Get("Response-Seal") != "" {
			t.Errorf("%s: %d, %v", name, status, err)
		}
	}
}

// event returns one event of a stream.
func event(id int) string { return fmt.Sprintf("id: %d\ndata: e%d\n\n", id, id) }

func beginStream(conn net.Conn, r seen) {
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 X\r\nRequest-Id: %s\r\nTransfer-Encoding: chunked\r\n%s\r\n", r.Header.Get("Request-Id"), sealed)
}

func chunk(conn net.Conn, text string) { _, _ = fmt.Fprintf(conn, "%x\r\n%s\r\n", len(text), text) }

// A stream that breaks off within an event goes on at the other upstream after
// the last whole event; an event that comes again is left out.
func TestStreamResumedElsewhere(t *testing.T) {
	f := newFixture(t, func(n int, r seen, conn net.Conn) {
		beginStream(conn, r)
		if n == 0 {
			chunk(conn, event(1)+event(2)+"id: 3\nda")
			return
		}
		chunk(conn, event(2)+event(3)+event(4))
		_, _ = io.WriteString(conn, "0\r\n\r\n")
	})
	status, body, _, err := f.send(t, "/resume/x", "b")
	if want := event(1) + event(2) + event(3) + event(4); err != nil || status != http.StatusOK || body != want {
		t.Errorf("%d %q, %v", status, body, err)
	}
	a := f.arrivals()
	if len(a) != 2 || a[1].Header.Get("Last-Event-Id") != "2" || a[0].upstream == a[1].upstream {
		t.Errorf("arrivals: %+v", a)
	}
}

// A stream that must not run twice and breaks off does not look complete.
func TestStreamBrokenOff(t *testing.T) {
	f := newFixture(t, func(_ int, r seen, conn net.Conn) {
		beginStream(conn, r)
		chunk(conn, event(1))
	})
	if _, body, _, err := f.send(t, "/stream/x", "b"); err == nil || body != event(1) {
		t.Errorf("%q, %v", body, err)
	}
	if n := len(f.arrivals()); n != 1 {
		t.Errorf("%d arrivals", n)
	}
}

// What an upstream gets: the caller's request unchanged, and the headers that
// only the system sets.
func TestWhatAnUpstreamGets(t *testing.T) {
	f := newFixture(t, func(_ int, r seen, conn net.Conn) { reply(conn, r, 200, sealed, "ok") })
	_, _, _, err := f.send(t, "/order/a%2Fb//c/../d?x=%20&y", "body",
		"Tenant-Id", "forged", "Kv-Hold", "forged", "Pin-Ms", "9", "Expect-Instance", "forged", "X-Own", "kept",
		"Connection", "X-Hop", "X-Hop", "dropped")
	if err != nil {
		t.Fatal(err)
	}
	r := f.arrivals()[0]
	if r.RequestURI != "/order/a%2Fb//c/../d?x=%20&y" || r.Method != http.MethodPost || r.body != "body" || r.Host != "h.example" {
		t.Errorf("%s %s %q %s", r.Method, r.RequestURI, r.body, r.Host)
	}
	for name, want := range map[string]string{
		"Tenant-Id": "rich", "Authorization": "", "Kv-Hold": "", "Pin-Ms": "", "Expect-Instance": r.upstream,
		"X-Own": "kept", "X-Hop": "", "Request-Id": "r1",
	} {
		if got := r.Header.Get(name); got != want {
			t.Errorf("%s: %q, want %q", name, got, want)
		}
	}
}

// Refusals of this host, each with its type, before anything is sent.
func TestRefusals(t *testing.T) {
	f := newFixture(t, func(_ int, r seen, conn net.Conn) { reply(conn, r, 200, sealed, "ok") })
	for name, c := range map[string]struct {
		path, body string
		headers    []string
		status     int
		code       string
	}{
		"no route":      {"/other/x", "", nil, 404, "unknown_service"},
		"unknown key":   {"/order/x", "", []string{"Authorization", "Bearer none"}, 401, "unauthenticated"},
		"no id":         {"/order/x", "", []string{"Request-Id", ""}, 400, "invalid_request"},
		"bad deadline":  {"/order/x", "", []string{"Deadline-Ms", "soon"}, 400, "invalid_request"},
		"bad tokens":    {"/order/x", "", []string{"Token-Count", "1"}, 400, "invalid_request"},
		"bad prompt":    {"/order/x", "", []string{"Prompt-Prefix", "zz:1"}, 400, "invalid_request"},
		"large body":    {"/order/x", strings.Repeat("x", 2000), nil, 413, "request_too_large"},
		"over its rate": {"/order/x", "", []string{"Authorization", "Bearer poor-key"}, 429, "rate_limited"},
	} {
		status, body, _, err := f.send(t, c.path, c.body, c.headers...)
		if err != nil || status != c.status || !strings.Contains(body, `"code":"`+c.code+`"`) || !strings.Contains(body, `"not_run"`) {
			t.Errorf("%s: %d %s, %v", name, status, body, err)
		}
	}
	if n := len(f.arrivals()); n != 0 {
		t.Errorf("%d requests reached an upstream", n)
	}
}

// A host that stops refuses what may outlast it and takes what is surely over
// before; a stream taken 4.3 s after the stop was cut at its end.
func TestStoppingHost(t *testing.T) {
	f := newFixture(t, func(_ int, r seen, conn net.Conn) { reply(conn, r, 200, sealed, "ok") })
	now := time.Now()
	f.Drain(now.Add(-time.Second), now.Add(requestTimeout/2))
	status, _, header, err := f.send(t, "/stream/x", "b")
	if err != nil || status != http.StatusServiceUnavailable || header.Get("Retry-After") == "" {
		t.Errorf("%d %v, %v", status, header, err)
	}
	if status, _, _, err = f.send(t, "/order/x", "b", "Deadline-Ms", "100"); err != nil || status != http.StatusOK {
		t.Errorf("a short request: %d, %v", status, err)
	}
}

// A caller that leaves: the upstream's connection is closed at once.
func TestCallerLeaves(t *testing.T) {
	closed := make(chan struct{})
	arrived := make(chan struct{})
	f := newFixture(t, func(_ int, _ seen, conn net.Conn) {
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
	req.Header.Set("Authorization", "Bearer rich-key")
	go func() {
		<-arrived
		cancel()
	}()
	if _, err := http.DefaultClient.Do(req); err == nil {
		t.Error("no error")
	}
	<-closed
}

// The end of a route's time is answered at once.
func TestRouteTimeout(t *testing.T) {
	f := newFixture(t, func(_ int, _ seen, conn net.Conn) { _, _ = conn.Read(make([]byte, 1)) })
	if status, _, _, err := f.send(t, "/order/x", "b", "Deadline-Ms", "50"); err != nil || status != http.StatusGatewayTimeout {
		t.Errorf("%d, %v", status, err)
	}
}
