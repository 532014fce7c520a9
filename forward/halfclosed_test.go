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
	"sync/atomic"
	"testing"
	"time"
)

// open sends a request to the forwarder on a connection of its own.
func (f *fixture) open(t *testing.T, path string) *net.TCPConn {
	t.Helper()
	conn, err := net.Dial("tcp", strings.TrimPrefix(f.url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	_, _ = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h.example\r\nRequest-Id: r1\r\nAuthorization: Bearer within-limit-key\r\n"+
		"Deadline-Ms: 2000\r\nContent-Length: 1\r\n\r\nb", path)
	return conn.(*net.TCPConn)
}

// TestHalfClosedCaller covers callers that end their direction of the connection after their request and still read.
// It guards against an empty answer with status 200 that no upstream gave, which net/http writes for a handler that
// returns without an answer.
func TestHalfClosedCaller(t *testing.T) {
	for _, path := range []string{"/order/x", "/stream/x", "/read/x", "/resume/x"} {
		f := newFixture(t, func(_ int, r receivedRequest, conn net.Conn) {
			time.Sleep(100 * time.Millisecond)
			writeAnswer(conn, r, 200, sealHeader, "ok")
		})
		conn := f.open(t, path)
		_ = conn.CloseWrite()
		res, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err == nil && (res.StatusCode != http.StatusOK || res.Header.Get("Response-Seal") == "") {
			t.Errorf("%s: got status %d with headers %v that no upstream gave", path, res.StatusCode, res.Header)
		}
	}
}

// TestStreamOfHalfClosedCaller guards against a stream that ends as complete, before its last event, when its caller
// ends its direction of the connection.
func TestStreamOfHalfClosedCaller(t *testing.T) {
	ended := make(chan struct{})
	f := newFixture(t, func(_ int, r receivedRequest, conn net.Conn) {
		writeStreamHead(conn, r)
		writeChunk(conn, eventText(1))
		<-ended
		writeChunk(conn, eventText(2))
		_, _ = io.WriteString(conn, "0\r\n\r\n")
	})
	conn := f.open(t, "/stream/x")
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	_ = conn.CloseWrite()
	time.AfterFunc(200*time.Millisecond, func() { close(ended) })
	if body, err := io.ReadAll(res.Body); err == nil && string(body) != eventText(1)+eventText(2) {
		t.Errorf("the stream ended without an error after %q", body)
	}
}

// TestInterruptedCaller covers a connection whose reads fail after the whole request was read, as when its caller is
// shed while its body ends. It guards against an answer that no upstream gave.
func TestInterruptedCaller(t *testing.T) {
	var accepted atomic.Pointer[net.Conn]
	f := newFixture(t, func(_ int, r receivedRequest, conn net.Conn) {
		_ = (*accepted.Load()).SetReadDeadline(time.Unix(1, 0))
		time.Sleep(100 * time.Millisecond)
		writeAnswer(conn, r, 200, sealHeader, "ok")
	})
	server := httptest.NewUnstartedServer(f.Forwarder)
	server.Config.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		accepted.Store(&conn)
		return ctx
	}
	server.Start()
	t.Cleanup(server.Close)
	f.url = server.URL
	res, err := http.ReadResponse(bufio.NewReader(f.open(t, "/order/x")), nil)
	if err == nil && (res.StatusCode != http.StatusOK || res.Header.Get("Response-Seal") == "") {
		t.Errorf("got status %d with headers %v that no upstream gave", res.StatusCode, res.Header)
	}
}
