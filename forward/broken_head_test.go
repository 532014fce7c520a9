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

// wholeAnswer returns a complete answer to the request r.
func wholeAnswer(r receivedRequest, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 X\r\nRequest-Id: %s\r\nContent-Length: %d\r\n%s\r\n%s", r.Header.Get("Request-Id"), len(body), sealHeader, body)
}

// checkBrokenHead checks what callers get if an upstream sends the given bytes and then keeps or closes the connection:
// neither the answer nor the statement that the request did not run, and a repeatable request is served by the other
// upstream.
func checkBrokenHead(t *testing.T, name string, answer func(r receivedRequest) string) {
	t.Helper()
	released := make(chan struct{})
	defer close(released)
	for _, closes := range []bool{false, true} {
		broken := func(n int, r receivedRequest, conn net.Conn) {
			if n > 0 {
				_, _ = io.WriteString(conn, wholeAnswer(r, "second"))
				return
			}
			_, _ = io.WriteString(conn, answer(r))
			if !closes {
				<-released
			}
		}
		for path, want := range map[string]int{"/order/x": http.StatusBadGateway, "/read/x": http.StatusOK, "/stream/x": http.StatusBadGateway} {
			f := newFixture(t, broken)
			start := time.Now()
			status, body, header, err := f.send(t, path, "b")
			if err != nil || status != want || want == http.StatusOK && body != "second" || want != http.StatusOK && header.Get("Response-Seal") != "" {
				t.Errorf("%s, %s, closes %t: got status %d, body %q, header %v and error %v, want %d", name, path, closes, status, body, header, err, want)
			}
			if strings.Contains(body, "not_run") {
				t.Errorf("%s, %s, closes %t: the answer states that the request did not run: %s", name, path, closes, body)
			}
			if took := time.Since(start); took > requestTimeout/2 {
				t.Errorf("%s, %s, closes %t: answered after %s", name, path, closes, took)
			}
		}
	}
}

// TestInvalidStatus covers answers with a status that HTTP does not have. It guards against callers that get what follows
// the head as their answer, or wait for it until their deadline.
func TestInvalidStatus(t *testing.T) {
	for _, status := range []string{"000", "099", "+20", "-00", "101"} {
		for name, rest := range map[string]func(receivedRequest) string{
			"no body": func(r receivedRequest) string { return "Request-Id: r1\r\n" + sealHeader + "\r\n" },
			"text": func(r receivedRequest) string {
				return "Request-Id: r1\r\nContent-Length: 2\r\n" + sealHeader + "\r\nok"
			},
			"answer as a body": func(r receivedRequest) string {
				return "Request-Id: r1\r\n" + sealHeader + "\r\n" + wholeAnswer(r, "inner")
			},
			"rejection": func(r receivedRequest) string {
				return "Request-Id: r1\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
			},
			"rejection as a body": func(r receivedRequest) string {
				return "Request-Id: r1\r\n\r\nHTTP/1.1 503 X\r\nRequest-Id: r1\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
			},
		} {
			checkBrokenHead(t, status+" "+name, func(r receivedRequest) string { return "HTTP/1.1 " + status + " X\r\n" + rest(r) })
		}
	}
}
