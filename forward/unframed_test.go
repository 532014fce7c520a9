package forward_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
)

// writeUnframedHead writes the head of an answer that ends with its connection.
func writeUnframedHead(conn net.Conn, r receivedRequest) {
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 X\r\nRequest-Id: %s\r\nConnection: close\r\n%s\r\n", r.Header.Get("Request-Id"), sealHeader)
}

// TestUnframedStream covers streams that end with their connection. One that ends after a whole
// event is complete; one without any event, or that ends within an event, is continued at
// another upstream.
func TestUnframedStream(t *testing.T) {
	whole := eventText(1) + eventText(2)
	for name, c := range map[string]struct {
		first string // what the first upstream sends after the head
		sends int
	}{
		"whole":               {whole, 1},
		"no event":            {"", 2},
		"ends within event 1": {"id: 1\nda", 2},
		"ends within event 2": {eventText(1) + "id: 2\n", 2},
	} {
		f := newFixture(t, func(n int, r receivedRequest, conn net.Conn) {
			writeUnframedHead(conn, r)
			if n == 0 {
				_, _ = io.WriteString(conn, c.first)
				return
			}
			_, _ = io.WriteString(conn, whole)
		})
		status, body, _, err := f.send(t, "/resume/x", "b")
		if err != nil || status != http.StatusOK || body != whole {
			t.Errorf("%s: got status %d, body %q and error %v, want 200 and both events", name, status, body, err)
		}
		if sends := len(f.receivedRequests()); sends != c.sends {
			t.Errorf("%s: sent to %d upstreams, want %d", name, sends, c.sends)
		}
	}
}
