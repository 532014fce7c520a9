package connpool

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
)

// endlessConn is a connection that yields prefix and then repeats a text. It counts the
// bytes read from it.
type endlessConn struct {
	net.Conn
	prefix, repeat []byte
	bytesRead      int
	pause          time.Duration // delay before each read that follows prefix
	deadline       time.Time
}

// endlessLimit is the number of bytes after which an endlessConn returns an error, so
// that a reader without a bound ends as well.
const endlessLimit = 8 << 20

// Read yields one byte at a time after prefix if pause is set.
func (e *endlessConn) Read(p []byte) (int, error) {
	if e.bytesRead > endlessLimit {
		return 0, io.ErrUnexpectedEOF
	}
	n := copy(p, e.prefix)
	e.prefix = e.prefix[n:]
	if n == 0 {
		if e.pause > 0 {
			p = p[:1]
			time.Sleep(e.pause)
		}
		if !e.deadline.IsZero() && time.Now().After(e.deadline) {
			return 0, timeoutError{}
		}
		for n < len(p) {
			n += copy(p[n:], e.repeat)
		}
	}
	e.bytesRead += n
	return n, nil
}

// SetReadDeadline sets the time after which reads that follow prefix time out.
func (e *endlessConn) SetReadDeadline(t time.Time) error {
	e.deadline = t
	return nil
}

// timeoutError is the error of a read after the deadline of an endlessConn.
type timeoutError struct{}

func (timeoutError) Error() string { return "timeout" }
func (timeoutError) Timeout() bool { return true }

// newConn returns a Conn over conn with the read buffer that the pool uses.
func newConn(conn net.Conn) *Conn {
	return &Conn{Conn: conn, reader: bufio.NewReaderSize(conn, maxHeadBytes)}
}

// matchNone matches no response to a request.
func matchNone(http.Header) bool { return false }

// TestUnendingHeadIsRejected checks that an upstream which sends bytes without end, and
// no valid response, is rejected with the right reason after a bounded number of bytes.
func TestUnendingHeadIsRejected(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	for name, c := range map[string]struct {
		prefix, repeat string
		maxRead        int // bytes
		want           HeadReason
	}{
		"status line":              {"HTTP/1.1 200 ", "O", maxHeadBytes, HeadTooLong},
		"header line":              {ok + "A: ", "b", maxHeadBytes, HeadTooLong},
		"header lines":             {ok, "A: b\r\n", maxHeadBytes, HeadTooLong},
		"folded header lines":      {ok + "A: b\r\n", " b\r\n", maxHeadBytes, HeadTooLong},
		"many lines":               {ok + strings.Repeat("A:\r\n", maxHeadLines) + "\r\n", "x", maxHeadBytes, HeadTooManyLines},
		"not HTTP":                 {"", "\x00\x17garbage", maxHeadBytes, HeadNotHTTP},
		"empty lines":              {"", "\r\n", maxHeadBytes, HeadNotHTTP},
		"informational responses":  {"", "HTTP/1.1 103 Early\r\n\r\n", maxHeadBytes, HeadInformationalOnly},
		"mismatched responses":     {"", ok + "Content-Length: 0\r\nId: other\r\n\r\n", maxHeadBytes, HeadMismatchedOnly},
		"mismatched response body": {ok + "Id: other\r\n\r\n", "x", maxMismatchedBytes + 2*maxHeadBytes, HeadMismatchedOnly},
	} {
		conn := &endlessConn{prefix: []byte(c.prefix), repeat: []byte(c.repeat)}
		_, err := newConn(conn).readResponse(request("a", ""), matchNone)
		var headErr *HeadError
		if !errors.As(err, &headErr) || headErr.Reason != c.want {
			t.Errorf("%s: got error %v, want %s", name, err, c.want)
		}
		if conn.bytesRead > c.maxRead {
			t.Errorf("%s: read %d bytes, limit %d", name, conn.bytesRead, c.maxRead)
		}
	}
}

// TestSlowHeadIsRejected checks that a response head which arrives byte by byte is
// rejected after headTimeout. A head that only starts late is accepted, because the
// upstream may be working on the request until then.
func TestSlowHeadIsRejected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		conn := &endlessConn{prefix: []byte("HTTP/1.1 200 OK\r\nA: "), repeat: []byte("b"), pause: 300 * time.Millisecond}
		start := time.Now()
		_, err := newConn(conn).readResponse(request("a", ""), matchNone)
		var headErr *HeadError
		if !errors.As(err, &headErr) || headErr.Reason != HeadTooSlow {
			t.Errorf("got error %v, want reason too_slow", err)
		}
		if took := time.Since(start); took > headTimeout+conn.pause {
			t.Errorf("the slow head was rejected only after %s", took)
		}
	})
	synctest.Test(t, func(t *testing.T) {
		client, server := net.Pipe()
		go func() {
			time.Sleep(5 * headTimeout)
			for _, part := range []string{responseStart, "a\r", "\n", "\r", "\n1"} {
				_, _ = io.WriteString(server, part)
				time.Sleep(headTimeout / 10)
			}
			time.Sleep(2 * headTimeout)
			_, _ = io.WriteString(server, "HTTP/1.1 204 No Content\nId: b\n\n")
		}()
		conn := newConn(client)
		for _, id := range []string{"a", "b"} {
			res, err := conn.readResponse(request(id, ""), func(h http.Header) bool { return h.Get("Id") == id })
			if err != nil {
				t.Fatal(err)
			}
			if _, err := io.Copy(io.Discard, res.Body); err != nil {
				t.Fatal(err)
			}
		}
	})
}

// TestTwoResponsesInOneRead checks that the second of two responses that arrived in one
// read is returned without another read from the connection.
func TestTwoResponsesInOneRead(t *testing.T) {
	client, server := net.Pipe()
	defer func() { _ = server.Close() }()
	go func() { _, _ = io.WriteString(server, responseStart+"old\r\n\r\nx"+responseStart+"a\r\n\r\ny") }()
	res, err := newConn(client).readResponse(request("a", ""), func(h http.Header) bool { return h.Get("Id") == "a" })
	if err != nil {
		t.Fatal(err)
	}
	if body, err := io.ReadAll(res.Body); err != nil || string(body) != "y" {
		t.Errorf("got body %q, error %v, want y", body, err)
	}
}

// hostileUpstreams is the number of upstreams that concurrently send response heads without end.
const hostileUpstreams = 200

// TestMemoryOfUnfinishedHeads checks that 200 upstreams which each send a head almost as
// long as maxHeadBytes, and never finish it, together use at most 16 MiB of heap. The
// smallest host can spare this much beside its work.
func TestMemoryOfUnfinishedHeads(t *testing.T) {
	const maxGrowth = 16 << 20 // bytes
	var headers bytes.Buffer
	for i := 0; headers.Len() < maxHeadBytes-64; i++ {
		headers.WriteString("A" + strings.Repeat("b", i%50) + ": c\r\n")
	}
	before := heapBytes()
	conns := make([]*Conn, 0, hostileUpstreams)
	written := make(chan struct{}, hostileUpstreams)
	for range hostileUpstreams {
		client, server := net.Pipe()
		ctx, cancel := context.WithCancel(context.Background())
		t.Cleanup(cancel)
		go func() {
			_, _ = io.WriteString(server, "HTTP/1.1 200 OK\r\n")
			_, _ = server.Write(headers.Bytes())
			written <- struct{}{}
			<-ctx.Done()
			_ = server.Close()
		}()
		conn := newConn(client)
		conns = append(conns, conn)
		go func() { _, _ = conn.readResponse(request("a", ""), matchNone) }()
	}
	for range conns {
		<-written
	}
	if growth := heapBytes() - before; growth > maxGrowth {
		t.Errorf("heap grew by %d bytes, limit %d", growth, maxGrowth)
	} else {
		t.Logf("%d upstreams: heap grew by %d KiB", hostileUpstreams, growth>>10)
	}
	runtime.KeepAlive(conns)
}

// heapBytes returns the size of the live heap objects after a garbage collection.
func heapBytes() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// FuzzHead checks for arbitrary bytes that http.ReadResponse needs no bytes after the end
// of the response head that headEnd finds, so that parsing never waits for more bytes.
func FuzzHead(f *testing.F) {
	for _, seed := range []string{
		responseStart + "a\r\n\r\n1", "HTTP/1.1 200 OK\n\n", "HTTP/1.1 200 OK\r\nA: b\r\n c\r\n\r\nx", "HTTP/1.1 200 OK\nA: b\n \n\n",
		"HTTP/1.1 200 OK\r\n\r\r\n\r\n", "HTTP/\n\r\n",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		conn := newConn(&endlessConn{prefix: data, repeat: []byte("x")})
		size, err := conn.awaitHead()
		if err != nil {
			return
		}
		source := conn.Conn.(*endlessConn)
		source.prefix, source.repeat = nil, nil
		bytesRead := source.bytesRead
		buffered, err := conn.reader.Peek(conn.reader.Buffered())
		if err != nil {
			t.Fatal(err)
		}
		end, ok := headEnd(buffered, 0)
		if !ok || end != size {
			t.Fatalf("awaitHead found a head of %d bytes, and headEnd one of %d, %t", size, end, ok)
		}
		if _, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(buffered[:end])), nil); errors.Is(err, io.ErrUnexpectedEOF) {
			t.Fatalf("http.ReadResponse reads past the end of head %q, after %d bytes read", buffered[:end], bytesRead)
		}
	})
}
