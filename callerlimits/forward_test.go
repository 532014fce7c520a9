package callerlimits

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/coder/websocket"

	"github.com/cardamompier/cardamompier/inner"
	"github.com/cardamompier/cardamompier/kv"
	"github.com/cardamompier/cardamompier/kv/kvmem"
)

const (
	// memoryMB is the memory of the forwarding host, in MiB, and the bound of its resident memory.
	memoryMB = 64
	// descriptors limits the open descriptors of a host. A quarter of them must stay free of callers' connections, for
	// upstreams, the store and other hosts.
	descriptors, openBound = 400, descriptors * 3 / 4
	routeHost, accountKey  = "h.example", "account-key"
	// answerTimeout is how long the test waits for the answer to one ordinary request. It is no bound that is tested.
	answerTimeout = 60 * time.Second
	// unreadBytes is the size of the answers that nobody reads.
	unreadBytes = 4 << 20
)

// forwardHost is a forwarding entry host with the addresses of its listeners.
type forwardHost struct {
	*process
	listen, ready, directory, inner, metrics string
}

// startForward starts a store, an upstream and a forwarding host, and waits until the host is ready.
func startForward(t *testing.T) *forwardHost {
	t.Helper()
	store := kvmem.New()
	upstream := httptest.NewServer(http.HandlerFunc(serveUpstream))
	t.Cleanup(func() { upstream.CloseClientConnections(); upstream.Close() })
	publish(t, store, upstream.Listener.Addr().String())
	server := httptest.NewServer(storeHandler(store))
	t.Cleanup(func() { server.CloseClientConnections(); server.Close() })
	h := &forwardHost{listen: freePort(t), ready: freePort(t), directory: freePort(t), inner: freePort(t), metrics: freePort(t)}
	settings, err := json.Marshal(map[string]any{
		"host_id": "n0", "failure_domain": "a", "region": "r", "failure_domains": map[string]string{"a": "r"},
		"listen": h.listen, "ready_listen": h.ready, "directory_listen": h.directory, "inner_listen": h.inner,
		"metrics_listen": h.metrics, "store": server.Listener.Addr().String(), "memory_mb": memoryMB,
	})
	if err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(t.TempDir(), "settings.json")
	if err := os.WriteFile(file, settings, 0o600); err != nil {
		t.Fatal(err)
	}
	h.process = startProcess(t, file+".log", descriptors, "forward", "--settings", file)
	await(t, answerTimeout, "the host is ready", func() bool { return answers(h.ready, "/cardamompier/ready") })
	return h
}

// publish writes a route table and the record of one upstream to the store.
func publish(t *testing.T, store *kvmem.Store, upstream string) {
	t.Helper()
	table := map[string]any{
		"version": 1,
		"routes": []map[string]any{
			{"name": "read", "host": routeHost, "prefix": "/read/", "kind": "idempotent", "timeout_ms": 20000, "max_attempts": 1, "service": "desk"},
			{"name": "stream", "host": routeHost, "prefix": "/stream/", "kind": "stream", "timeout_ms": 20000, "max_attempts": 1, "service": "desk"},
		},
		"services": []map[string]any{{"name": "desk", "max_conns": 1000}},
		"limits":   map[string]any{"max_header_bytes": headLimit, "max_body_bytes": bodyLimit},
		"tenants":  []map[string]any{{"name": "account", "api_keys": []string{accountKey}}},
	}
	record := map[string]any{
		"service": "desk", "address": upstream, "zone": "a", "state": "ready", "slots": 1000, "born": time.Now().UnixMilli(), "version": "1", "cold_left_ms": 0, "seq": 1,
	}
	for key, contents := range map[string]any{"op/config": table, "servers/u1": record} {
		value, err := json.Marshal(contents)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := store.CompareAndSwap(context.Background(), kv.Write{Key: key, Value: value}); err != nil {
			t.Fatal(err)
		}
	}
}

// serveUpstream answers with the length of the request's body, or on the path /read/large with unreadBytes bytes and on
// /stream/large with as many bytes of events.
func serveUpstream(w http.ResponseWriter, r *http.Request) {
	size, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		return
	}
	w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
	w.Header().Set("Response-Seal", "s")
	switch r.URL.Path {
	case "/read/large":
		_ = repeat(w, "x", unreadBytes)
	case "/stream/large":
		w.Header().Set("Content-Type", "text/event-stream")
		event := "data: " + strings.Repeat("x", 16<<10) + "\n\n"
		for id := 1; id*len(event) < unreadBytes; id++ {
			if _, err := fmt.Fprintf(w, "id: %d\n%s", id, event); err != nil {
				return
			}
		}
	default:
		_, _ = fmt.Fprint(w, size)
	}
}

// answers reports whether a GET request is answered with status 200.
func answers(address, path string) bool {
	client := http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := client.Get("http://" + address + path)
	if err != nil {
		return false
	}
	defer func() { _ = res.Body.Close() }()
	_, err = io.Copy(io.Discard, res.Body)
	return err == nil && res.StatusCode == http.StatusOK
}

// request sends a request with a body of size bytes and returns whether an upstream answered it with that size.
func (h *forwardHost) request(body io.Reader, size int) error {
	req, err := http.NewRequest(http.MethodPost, "http://"+h.listen+"/read/x", body)
	if err != nil {
		return err
	}
	req.Host, req.ContentLength = routeHost, int64(size)
	req.Header.Set("Request-Id", "r1")
	req.Header.Set("Authorization", "Bearer "+accountKey)
	client := http.Client{Timeout: 20 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = res.Body.Close() }()
	answer, err := io.ReadAll(res.Body)
	if err == nil && (res.StatusCode != http.StatusOK || string(answer) != fmt.Sprint(size)) {
		err = fmt.Errorf("status %d, body %q", res.StatusCode, answer)
	}
	return err
}

// checkServes checks that the host answers one ordinary request. The request is repeated while the host refuses it.
func (h *forwardHost) checkServes(t *testing.T) {
	t.Helper()
	var err error
	for deadline := time.Now().Add(answerTimeout); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		if err = h.request(strings.NewReader("0123456789"), 10); err == nil {
			return
		}
	}
	t.Errorf("no ordinary request was answered: %v", err)
}

// checkKind checks that the host withstands callers of one kind at one of its listeners.
func checkKind(t *testing.T, k kind, address func(*forwardHost) string, head string) {
	t.Helper()
	h := startForward(t)
	c := k.play(t, address(h), head)
	defer c.close()
	h.check(t, memoryMB)
	h.checkServes(t)
	h.check(t, memoryMB)
	c.close()
	h.checkServes(t)
	h.check(t, memoryMB)
}

// headOf returns the beginning of a request of a client account.
func headOf(path string) string {
	return "POST " + path + " HTTP/1.1\r\nHost: " + routeHost + "\r\nRequest-Id: r2\r\nAuthorization: Bearer " + accountKey + "\r\n"
}

// TestRequestsBeyondLimits guards against the end of the process by callers of its main listener, for lack of memory or
// descriptors.
func TestRequestsBeyondLimits(t *testing.T) {
	listen := func(h *forwardHost) string { return h.listen }
	for _, k := range append(append([]kind{}, headKinds...), bodyKinds...) {
		t.Run(k.name, func(t *testing.T) { checkKind(t, k, listen, headOf("/read/x")) })
	}
	for _, path := range []string{"/read/large", "/stream/large"} {
		t.Run(unreadAnswers.name+path, func(t *testing.T) { checkKind(t, unreadAnswers, listen, headOf(path)) })
	}
}

// TestOtherListenersBeyondLimits guards against the same at the listeners that do not take requests: whoever reaches
// one of them could end the process.
func TestOtherListenersBeyondLimits(t *testing.T) {
	body := []kind{bodyKinds[1], bodyKinds[3]}
	for _, l := range []struct {
		name, path string
		address    func(*forwardHost) string
	}{
		{"directory", "/cardamompier/resolve", func(h *forwardHost) string { return h.directory }},
		{"ready", "/cardamompier/ready", func(h *forwardHost) string { return h.ready }},
		{"inner", "/inner", func(h *forwardHost) string { return h.inner }},
		{"metrics", "/debug/vars", func(h *forwardHost) string { return h.metrics }},
	} {
		head := "GET " + l.path + " HTTP/1.1\r\nHost: h\r\n"
		for _, k := range append([]kind{headKinds[1], headKinds[2], headKinds[4], headKinds[7], unreadAnswers}, body...) {
			t.Run(l.name+"/"+k.name, func(t *testing.T) { checkKind(t, k, l.address, head) })
		}
	}
}

// TestFramesShortOfTheirEnd guards against the end of the process by messages at the listener for other hosts that
// announce the largest size and stop short of it.
func TestFramesShortOfTheirEnd(t *testing.T) {
	const frameBytes = 4 << 20
	h := startForward(t)
	frames := kind{"frames short of their end", 60, func(conn net.Conn, _ string) error {
		client := http.Client{Transport: &http.Transport{DialContext: func(context.Context, string, string) (net.Conn, error) { return conn, nil }}}
		ctx, cancel := context.WithTimeout(context.Background(), sendTimeout)
		defer cancel()
		ws, _, err := websocket.Dial(ctx, "ws://"+h.inner+inner.Path, &websocket.DialOptions{HTTPClient: &client})
		if err != nil {
			return err
		}
		w, err := ws.Writer(ctx, websocket.MessageBinary)
		if err != nil {
			return err
		}
		return repeat(w, "x", frameBytes-1)
	}}
	c := frames.play(t, h.inner, "")
	defer c.close()
	h.check(t, memoryMB)
	h.checkServes(t)
	h.check(t, memoryMB)
}

// slowReader reads from a text in small parts with a pause after each.
type slowReader struct {
	left int
}

// Read implements io.Reader.
func (r *slowReader) Read(p []byte) (int, error) {
	if r.left == 0 {
		return 0, io.EOF
	}
	time.Sleep(50 * time.Millisecond)
	n := min(r.left, len(p), 16<<10)
	for i := range p[:n] {
		p[i] = 'x'
	}
	r.left -= n
	return n, nil
}

// TestLargeBodyOverASlowLink guards against limits that a single caller within them meets.
func TestLargeBodyOverASlowLink(t *testing.T) {
	h := startForward(t)
	if err := h.request(&slowReader{left: bodyLimit}, bodyLimit); err != nil {
		t.Errorf("a body of the largest size that was sent slowly: %v", err)
	}
	h.check(t, memoryMB)
}
