package forward_test

import (
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

// stopTimes are the moments of a planned stop after its signal.
const (
	stopAccept = 300 * time.Millisecond
	stopEnd    = 500 * time.Millisecond
	stopAnswer = 600 * time.Millisecond
)

// TestRequestsAtTheEndOfAStopAreAnswered guards against requests that a stopping host has taken and passed on,
// and whose connections it closes without an answer at the end of its grace period, orders that may run once
// among them. Each must have an answer by then, one that promises nothing if the request may have run.
func TestRequestsAtTheEndOfAStopAreAnswered(t *testing.T) {
	for name, c := range map[string]struct {
		path   string
		begin  string // what the upstream sends before it works on
		status int
	}{
		"order":                {"/order/x", "", http.StatusBadGateway},
		"idempotent":           {"/read/x", "", http.StatusBadGateway},
		"stream, head only":    {"/stream/x", streamHead, http.StatusBadGateway},
		"resumable, no event":  {"/resume/x", streamHead, http.StatusBadGateway},
		"whole answer, a part": {"/order/x", "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nContent-Length: 100\r\n" + sealHeader + "\r\npart", http.StatusBadGateway},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			release := make(chan struct{})
			f := newFixture(t, func(_ int, r receivedRequest, conn net.Conn) {
				if c.begin != "" {
					_, _ = conn.Write([]byte(strings.Replace(c.begin, "%s", r.Header.Get("Request-Id"), 1)))
				}
				<-release
			})
			defer close(release)
			now := time.Now()
			f.Drain(now.Add(stopAccept), now.Add(stopEnd), now.Add(stopAnswer))
			var calls sync.WaitGroup
			for i := range 5 { // over the time in which requests are accepted
				calls.Go(func() {
					time.Sleep(stopAccept * time.Duration(i) / 5)
					status, body, _, err := f.send(t, c.path, "b")
					if took := time.Since(now); err != nil || status != c.status || !strings.Contains(body, `"ran":"unknown"`) || took > stopAnswer+answerSlack {
						t.Errorf("request %d: got status %d, body %q and error %v after %v, want %d after %v", i, status, body, err, took, c.status, stopAnswer)
					}
				})
			}
			calls.Wait()
		})
	}
}

// answerSlack is the time that an answer may need on a busy machine.
const answerSlack = 500 * time.Millisecond

// streamHead is the head of a stream without an event.
const streamHead = "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n" + sealHeader + "\r\n"

// TestRequestsBehindTheEndOfAStopDoNotRun checks that a request that crosses the end of a stop is refused as not
// run and reaches no upstream, although its deadline would allow it.
func TestRequestsBehindTheEndOfAStopDoNotRun(t *testing.T) {
	f := newFixture(t, func(_ int, r receivedRequest, conn net.Conn) { writeAnswer(conn, r, http.StatusOK, sealHeader, "ok") })
	now := time.Now()
	f.Drain(now.Add(stopAccept), now.Add(stopEnd), now.Add(stopAccept/2))
	time.Sleep(stopAccept)
	status, _, header, err := f.send(t, "/order/x", "b", "Deadline-Ms", "50")
	if err != nil || status != http.StatusServiceUnavailable || header.Get("Retry-After") == "" {
		t.Errorf("got status %d, headers %v and error %v, want 503 with Retry-After", status, header, err)
	}
	if n := len(f.receivedRequests()); n != 0 {
		t.Errorf("upstreams received %d requests, want none", n)
	}
}
