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

// TestRejectionsWithoutEnd guards against requests that are not served because one upstream of four rejects them with
// bodies that do not end: they must be served as if the bodies ended.
func TestRejectionsWithoutEnd(t *testing.T) {
	share := map[string]float64{}
	for name, endless := range map[string]bool{"whole": false, "endless": true} {
		f := newFleet(t, 3, 4, func(u *simUpstream, r receivedRequest, conn net.Conn) bool {
			if u.id != "u0" {
				answerStream(conn, r, 3)
				return true
			}
			if !endless {
				writeAnswer(conn, r, http.StatusServiceUnavailable, "Not-Executed: 1\r\n", strings.Repeat("x", 100))
				return true
			}
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 503 X\r\nRequest-Id: %s\r\nNot-Executed: 1\r\n\r\n", r.Header.Get("Request-Id"))
			for block := strings.Repeat("x", 32<<10); ; {
				if _, err := io.WriteString(conn, block); err != nil {
					return false
				}
			}
		})
		calls := f.flood(3*time.Second, 3*time.Millisecond)
		served := 0
		statuses := map[int]int{}
		for _, c := range calls {
			if c.served() {
				served++
			}
			statuses[c.status]++
		}
		share[name] = float64(served) / float64(len(calls))
		t.Logf("%s: %d of %d requests served %v, %d reached the upstream that rejects", name, served, len(calls), statuses, len(f.upstreams[0].arrived()))
	}
	if share["endless"] < share["whole"]-0.05 {
		t.Errorf("%.3f of the requests were served, and %.3f where the bodies end", share["endless"], share["whole"])
	}
}
