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

// TestInvalidFieldName covers answers with a blank or a control byte in the name of a field. It guards against callers that
// get such an answer, with the field or with a body that is not the upstream's, or a statement that it makes.
func TestInvalidFieldName(t *testing.T) {
	const ok = "HTTP/1.1 200 X\r\nRequest-Id: r1\r\n" + sealHeader
	answers := map[string]string{
		"rejection":                "HTTP/1.1 503 X\r\nRequest-Id: r1\r\nNot-Executed: 1\r\nBad Name: x\r\nContent-Length: 0\r\n\r\n",
		"informational":            "HTTP/1.1 103 X\r\nBad Name: x\r\n\r\n" + ok + "Content-Length: 2\r\n\r\nok",
		"answer to another":        "HTTP/1.1 200 X\r\nRequest-Id: r0\r\nContent-Length : 0\r\n\r\n" + ok + "Content-Length: 2\r\n\r\nok",
		"chunks as a body":         ok + "Transfer-Encoding : chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"more than the length":     ok + "Content-Length : 2\r\n\r\nok and more",
		"length in a folded line":  ok + " Content-Length: 2\r\n\r\nok and more",
		"folded line with a tab":   ok + "\tContent-Length: 2\r\n\r\nok and more",
		"first line with a blank":  "HTTP/1.1 200 X\r\n Request-Id: r1\r\n" + sealHeader + "Content-Length: 2\r\n\r\nok",
		"name that is empty":       ok + ": x\r\nContent-Length: 2\r\n\r\nok",
		"line without a colon":     ok + "Bad\r\nContent-Length: 2\r\n\r\nok",
		"line ends without return": "HTTP/1.1 200 X\nRequest-Id: r1\n" + "Response-Seal: s\nBad Name: x\nContent-Length: 2\n\nok",
	}
	for _, c := range []string{" ", "\t", "\x00", "\x01", "\x0b", "\x1f", "\x7f", "\r", "\xa0"} {
		answers[fmt.Sprintf("%q in a name", c)] = ok + "Bad" + c + "Name: x\r\nContent-Length: 2\r\n\r\nok"
		answers[fmt.Sprintf("%q before the colon", c)] = ok + "Name" + c + ": x\r\nContent-Length: 2\r\n\r\nok"
	}
	for name, answer := range answers {
		checkBrokenHead(t, name, func(receivedRequest) string { return answer })
	}
}
