package forward_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
)

// TestRefusalWrittenTwice guards against an upstream that writes an earlier refusal once more on a kept
// connection, as the next request arrives: a request that a caller sends again under the same id must
// neither be called not run while it runs, nor be sent to a second upstream.
func TestRefusalWrittenTwice(t *testing.T) {
	for _, path := range []string{"/order/x", "/read/x"} {
		var runs, refusals atomic.Int64
		f := newFixture(t, func(int, receivedRequest, net.Conn) {})
		f.serveKept(t, func(r receivedRequest, conn net.Conn, earlier int) {
			refusal := func() { writeAnswer(conn, r, http.StatusServiceUnavailable, "Not-Executed: 1\r\n", "") }
			if refusals.Load() < 2 {
				refusals.Add(1)
				refusal()
				return
			}
			if earlier > 0 {
				refusal()
			}
			runs.Add(1)
			writeAnswer(conn, r, http.StatusOK, sealHeader, "ran")
		})
		if status, _, _, err := f.send(t, path, "b"); err != nil || status != http.StatusTooManyRequests {
			t.Fatalf("%s: first try: got status %d and error %v, want 429", path, status, err)
		}
		status, body, _, err := f.send(t, path, "b")
		if n := runs.Load(); err != nil || status != http.StatusOK || body != "ran" || n != 1 {
			t.Errorf("%s: second try: got status %d, body %q and error %v after %d runs, want the answer of one run", path, status, body, err, n)
		}
	}
}

// serveKept replaces the upstreams by some that keep their connections. earlier counts the requests that
// the connection carried before.
func (f *fixture) serveKept(t *testing.T, answer func(r receivedRequest, conn net.Conn, earlier int)) {
	t.Helper()
	list := f.snapshot.Load().Hosts
	for i := range list {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = listener.Close() })
		list[i].Address = listener.Addr().String()
		id := list[i].ID
		go acceptConns(listener, func(conn net.Conn) {
			go serveRequests(conn, func(req *http.Request, earlier int) {
				answer(receivedRequest{Request: req, upstream: id}, conn, earlier)
			})
		})
	}
	f.setUpstreams(list)
}

// serveRequests reads the requests of one connection until it ends.
func serveRequests(conn net.Conn, answer func(req *http.Request, earlier int)) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for earlier := 0; ; earlier++ {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		answer(req, earlier)
	}
}

// TestHeadCutAtEachByte guards against an answer that is relayed as complete although its upstream stopped within
// the head: the caller gets 502 wherever the head ends.
func TestHeadCutAtEachByte(t *testing.T) {
	for _, framing := range []string{"Content-Length: 2\r\n", "Transfer-Encoding: chunked\r\n", ""} {
		head := "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n" + sealHeader + framing + "\r\n"
		var sent atomic.Int64
		f := newFixture(t, func(_ int, _ receivedRequest, conn net.Conn) {
			_, _ = io.WriteString(conn, head[:sent.Load()])
		})
		for n := range len(head) {
			sent.Store(int64(n))
			for _, path := range []string{"/order/x", "/stream/x"} {
				if status, body, _, err := f.send(t, path+fmt.Sprint(n), "b"); err != nil || status != http.StatusBadGateway {
					t.Fatalf("head cut after %d bytes %q: %s got status %d, body %q and error %v, want 502", n, head[:n], path, status, body, err)
				}
			}
		}
	}
}
