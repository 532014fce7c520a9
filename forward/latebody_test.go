package forward_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// TestBodyThatArrivesTooLate guards against a body that arrives in parts for longer than its request's time and holds
// memory meanwhile: the request is refused as one that has not run, and no upstream gets it.
func TestBodyThatArrivesTooLate(t *testing.T) {
	f := newFixture(t, nil)
	conn, err := net.Dial("tcp", strings.TrimPrefix(f.url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	_, _ = fmt.Fprint(conn, "POST /read/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: r1\r\nAuthorization: Bearer within-limit-key\r\n"+
		"Deadline-Ms: 200\r\nContent-Length: 1000\r\n\r\n")
	go func() {
		for range 100 {
			if _, err := io.WriteString(conn, "x"); err != nil {
				return
			}
			time.Sleep(20 * time.Millisecond)
		}
	}()
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	body, _ := io.ReadAll(res.Body)
	if res.StatusCode != http.StatusRequestTimeout || !strings.Contains(string(body), `"ran":"not_run"`) || res.Header.Get("Retry-After") == "" || !res.Close {
		t.Errorf("got status %d, headers %v and body %s, want 408, not run, Retry-After and the end of the connection", res.StatusCode, res.Header, body)
	}
	if n := len(f.receivedRequests()); n != 0 {
		t.Errorf("upstreams received %d requests, want none", n)
	}
}
