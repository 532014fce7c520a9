package forward_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// earlyAnswer is how an upstream answers before it reads the body of a request.
type earlyAnswer struct {
	framed bool // whether the answer states its length
	body   string
	end    func(conn *net.TCPConn)
}

// send writes the answer and ends the connection.
func (a earlyAnswer) send(r receivedRequest, conn net.Conn) {
	framing := "Connection: close\r\n"
	if a.framed {
		framing = fmt.Sprintf("Content-Length: %d\r\n", len(a.body))
	}
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 X\r\nRequest-Id: %s\r\n%s%s\r\n%s", r.Header.Get("Request-Id"), framing, sealHeader, a.body)
	a.end(conn.(*net.TCPConn))
}

// reset resets a connection after the given time, while the request is still being written.
func reset(conn *net.TCPConn, after time.Duration) {
	time.Sleep(after)
	_ = conn.SetLinger(0)
	_ = conn.Close()
}

// endAndRead ends an answer in order, and then reads the rest of the request.
func endAndRead(conn *net.TCPConn) {
	_ = conn.CloseWrite()
	_, _ = io.Copy(io.Discard, conn)
}

// endAndReset ends an answer in order, and then resets the connection, as the kernel does for bytes that are not read.
func endAndReset(conn *net.TCPConn) {
	_ = conn.CloseWrite()
	reset(conn, resetDelay)
}

const (
	earlyAnswerPlays = 12
	// resetDelay is the time after which an answer has arrived.
	resetDelay = 20 * time.Millisecond
)

// TestResetUnderUpload covers an answer without a length whose connection is reset while the request is still being written.
// It guards against a part of an answer that reaches its caller as a whole one.
func TestResetUnderUpload(t *testing.T) {
	long := strings.Repeat("x", 100<<10) // of which a part is relayed before its end is known
	second := map[string]string{"/read/x": "second", "/resume/x": eventText(1) + eventText(2)}
	for _, size := range []int{4 << 20, 300 << 10, 100} {
		for _, c := range []struct{ path, part string }{
			{"/order/x", "part"}, {"/order/x", long}, {"/order/x", ""}, {"/read/x", "part"}, {"/stream/x", eventText(1)}, {"/resume/x", eventText(1)},
		} {
			taken := 0
			for play := range earlyAnswerPlays {
				delay := time.Duration(play%2) * resetDelay
				f := newUploadFixture(t, func(n int, r receivedRequest, conn net.Conn) {
					if n == 0 {
						earlyAnswer{body: c.part, end: func(conn *net.TCPConn) { reset(conn, delay) }}.send(r, conn)
						return
					}
					_, _ = io.Copy(io.Discard, r.Body)
					earlyAnswer{body: second[c.path], end: endAndRead}.send(r, conn)
				})
				status, body, _, err := f.send(t, c.path, strings.Repeat("b", size))
				switch whole, repeatable := second[c.path]; {
				case err == nil && status == http.StatusOK && (!repeatable || body != whole):
					taken++
				case repeatable && (err != nil || status != http.StatusOK):
					t.Errorf("%s, body of %d bytes: got status %d and error %v, want the answer of the second upstream", c.path, size, status, err)
				case strings.Contains(body, "not_run"):
					t.Errorf("%s, body of %d bytes: the answer states that the request did not run", c.path, size)
				}
			}
			if taken > 0 {
				t.Errorf("%s, body of %d bytes: %d of %d callers got a part of %d bytes as a whole answer", c.path, size, taken, earlyAnswerPlays, len(c.part))
			}
		}
	}
}

// TestWholeAnswerUnderUpload covers whole answers that an upstream sends before it reads the request: they reach the caller.
func TestWholeAnswerUnderUpload(t *testing.T) {
	long, events := strings.Repeat("x", 100<<10), eventText(1)+eventText(2)
	for name, a := range map[string]earlyAnswer{
		"length, then read":        {framed: true, end: endAndRead},
		"length, then reset":       {framed: true, end: func(conn *net.TCPConn) { reset(conn, resetDelay) }},
		"end in order":             {end: endAndRead},
		"end in order, then reset": {end: endAndReset},
	} {
		for path, bodies := range map[string][]string{"/order/x": {"whole", long}, "/stream/x": {events}} {
			for _, body := range bodies {
				a.body = body
				for range earlyAnswerPlays {
					f := newUploadFixture(t, func(_ int, r receivedRequest, conn net.Conn) { a.send(r, conn) })
					if status, got, _, err := f.send(t, path, strings.Repeat("b", 4<<20)); err != nil || status != http.StatusOK || got != body {
						t.Errorf("%s, %s: got status %d, %d bytes and error %v, want 200 and %d bytes", name, path, status, len(got), err, len(body))
					}
				}
			}
		}
	}
}
