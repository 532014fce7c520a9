package forward_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"
)

// sendUntilClosed sends a text again and again, as an upstream in trouble does.
func sendUntilClosed(conn net.Conn, text string) (sent int) {
	block := []byte(strings.Repeat(text, 1+4096/len(text)))
	for sent < 64<<20 {
		n, err := conn.Write(block)
		sent += n
		if err != nil {
			return sent
		}
	}
	return sent
}

// Bytes without end where events are due: the stream is broken off after a
// bounded number of them, and the upstream's connection is closed.
func TestBytesWithoutEndInAStream(t *testing.T) {
	for name, text := range map[string]string{
		"no line end": "x", "no event end": "data: x\n", "binary": "\x00\x01",
	} {
		sent := make(chan int, 1)
		f := newFixture(t, func(_ int, r seen, conn net.Conn) {
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 X\r\nRequest-Id: %s\r\n%s\r\n%s", r.Header.Get("Request-Id"), sealed, event(1))
			sent <- sendUntilClosed(conn, text)
		})
		began := time.Now()
		if _, body, _, err := f.send(t, "/stream/x", "b"); err == nil || body != event(1) {
			t.Errorf("%s: %q, %v", name, body, err)
		}
		if took := time.Since(began); took > requestTimeout/2 {
			t.Errorf("%s: broken off after %s", name, took)
		}
		if n := <-sent; n > 8<<20 { // what the system buffers for a connection, and the bound
			t.Errorf("%s: %d bytes were taken", name, n)
		}
	}
}

// Two hundred streams that stall just before the bound of an event: what they
// take together fits beside the work of the smallest host.
func TestMemoryOfEventsWithoutEnd(t *testing.T) {
	const streams, most = 200, 16 << 20
	var begun sync.WaitGroup
	begun.Add(streams)
	release := make(chan struct{})
	f := newFixture(t, func(_ int, r seen, conn net.Conn) {
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 X\r\nRequest-Id: %s\r\n%s\r\n%s%s",
			r.Header.Get("Request-Id"), sealed, event(1), strings.Repeat("x", 31<<10))
		begun.Done()
		<-release
	})
	before := heap()
	var done sync.WaitGroup
	client := &http.Client{Transport: &http.Transport{DisableCompression: true, DisableKeepAlives: true}}
	for range streams {
		done.Go(func() {
			req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, f.url+"/stream/x", nil)
			if err != nil {
				t.Error(err)
				return
			}
			req.Host = "h.example"
			req.Header.Set("Request-Id", "r1")
			req.Header.Set("Authorization", "Bearer rich-key")
			req.Header.Set("Deadline-Ms", "2000")
			res, err := client.Do(req)
			if err != nil {
				return
			}
			defer func() { _ = res.Body.Close() }()
			_, _ = io.Copy(io.Discard, res.Body)
		})
	}
	begun.Wait()
	time.Sleep(200 * time.Millisecond)
	grown := heap() - before
	close(release)
	done.Wait()
	// Callers and their connections are in this process too: 2 x 40 KiB each.
	if own := int64(streams * 80 << 10); grown > most+own {
		t.Errorf("%d bytes of heap, bound %d", grown, most+own)
	}
	t.Logf("%d streams: %d KiB", streams, grown>>10)
}

func heap() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// Chunked bodies in trouble: extensions, trailers or empty events without end.
// The answer ends within the caller's time, and takes a bounded number of bytes
// where they are no events.
func TestChunkedBytesWithoutEnd(t *testing.T) {
	for name, c := range map[string]struct{ before, text string }{
		"chunk extension":     {"", "5;" + strings.Repeat("x", 1000)},
		"chunk extensions":    {"", "1;" + strings.Repeat("x", 2000) + "\r\nx\r\n"},
		"size line":           {"", "0"},
		"trailer line":        {"0\r\n", "x"},
		"trailer lines":       {"0\r\n", "A: b\r\n"},
		"chunks of no events": {"", "4\r\nxxxx\r\n"},
	} {
		sent := make(chan int, 1)
		f := newFixture(t, func(_ int, r seen, conn net.Conn) {
			beginStream(conn, r)
			chunk(conn, event(1))
			_, _ = io.WriteString(conn, c.before)
			sent <- sendUntilClosed(conn, c.text)
		})
		began := time.Now()
		_, body, _, err := f.send(t, "/stream/x", "b")
		if err == nil || body != event(1) {
			t.Errorf("%s: %q, %v", name, body, err)
		}
		if took := time.Since(began); took > requestTimeout/2 {
			t.Errorf("%s: ended after %s", name, took)
		}
		if n := <-sent; n > 8<<20 { // what the system buffers for a connection, and the bound
			t.Errorf("%s: %d bytes were taken", name, n)
		}
	}
}

// drip sends a text byte by byte, at a pace, until the connection is closed.
func drip(conn net.Conn, text string, pause time.Duration) {
	for i := 0; ; i++ {
		if _, err := conn.Write([]byte{text[i%len(text)]}); err != nil {
			return
		}
		time.Sleep(pause)
	}
}

// Progress is events, not bytes: a slow but sound stream is passed on to its
// end; one that drips bytes of no event ends with the caller's time.
func TestSlowStreamsAndDrippingOnes(t *testing.T) {
	const pause, events = 150 * time.Millisecond, 8
	f := newFixture(t, func(_ int, r seen, conn net.Conn) {
		beginStream(conn, r)
		for id := 1; id <= events; id++ {
			chunk(conn, event(id))
			time.Sleep(pause)
		}
		_, _ = io.WriteString(conn, "0\r\n\r\n")
	})
	var want strings.Builder
	for id := 1; id <= events; id++ {
		want.WriteString(event(id))
	}
	if status, body, _, err := f.send(t, "/stream/x", "b"); err != nil || status != http.StatusOK || body != want.String() {
		t.Errorf("a slow stream: %d %q, %v", status, body, err)
	}
	for name, text := range map[string]string{"in a body": "x", "in a head": "HTTP/1.1 200 OK\r\nA: " + strings.Repeat("x", 1000)} {
		closed := make(chan struct{})
		f = newFixture(t, func(_ int, r seen, conn net.Conn) {
			defer close(closed)
			if name == "in a body" {
				_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 X\r\nRequest-Id: %s\r\n%s\r\n%s", r.Header.Get("Request-Id"), sealed, event(1))
			}
			drip(conn, text, 20*time.Millisecond)
		})
		began := time.Now()
		status, body, _, err := f.send(t, "/stream/x", "b", "Deadline-Ms", "400")
		if err == nil && status == http.StatusOK {
			t.Errorf("%s: %d %q looks whole", name, status, body)
		}
		if took := time.Since(began); took > 400*time.Millisecond+requestTimeout/4 {
			t.Errorf("%s: ended after %s", name, took)
		}
		<-closed
	}
}

// An upstream that is only silent, and vanishes from the list for it, keeps the
// streams that it is at work on: they are neither cut nor started elsewhere.
func TestStreamOfAnUpstreamThatIsNotListed(t *testing.T) {
	f := newFixture(t, nil)
	f.answerWith(func(_ int, r seen, conn net.Conn) {
		beginStream(conn, r)
		chunk(conn, event(1))
		f.list(nil)
		time.Sleep(300 * time.Millisecond)
		chunk(conn, event(2))
		_, _ = io.WriteString(conn, "0\r\n\r\n")
	})
	status, body, _, err := f.send(t, "/resume/x", "b")
	if err != nil || status != http.StatusOK || body != event(1)+event(2) {
		t.Errorf("%d %q, %v", status, body, err)
	}
	if n := len(f.arrivals()); n != 1 {
		t.Errorf("%d arrivals", n)
	}
}
