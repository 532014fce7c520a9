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

// endless sends a beginning and then repeats a text until it is closed; it
// counts what was taken from it.
type endless struct {
	net.Conn
	beginning, repeat []byte
	taken             int
	pause             time.Duration // between two reads after the beginning
	deadline          time.Time
}

// endlessBytes ends a source whose reader has no bound, in bytes.
const endlessBytes = 8 << 20

func (e *endless) Read(p []byte) (int, error) {
	if e.taken > endlessBytes {
		return 0, io.ErrUnexpectedEOF
	}
	n := copy(p, e.beginning)
	e.beginning = e.beginning[n:]
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
	e.taken += n
	return n, nil
}

func (e *endless) SetReadDeadline(t time.Time) error {
	e.deadline = t
	return nil
}

type timeoutError struct{}

func (timeoutError) Error() string { return "timeout" }
func (timeoutError) Timeout() bool { return true }

func overConn(conn net.Conn) *Conn {
	return &Conn{Conn: conn, reader: bufio.NewReaderSize(conn, headBytes)}
}

func never(http.Header) bool { return false }

// Bytes that are no answer and never end: the exchange is over after a bounded
// number of them, with its reason.
func TestBytesWithoutEndInAHead(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	for name, c := range map[string]struct {
		beginning, repeat string
		most              int // bytes taken
		want              HeadReason
	}{
		"status line":     {"HTTP/1.1 200 ", "O", headBytes, HeadTooLong},
		"header line":     {ok + "A: ", "b", headBytes, HeadTooLong},
		"header lines":    {ok, "A: b\r\n", headBytes, HeadTooLong},
		"continued lines": {ok + "A: b\r\n", " b\r\n", headBytes, HeadTooLong},
		"many lines":      {ok + strings.Repeat("A:\r\n", headLines) + "\r\n", "x", headBytes, HeadTooManyLines},
		"garbage":         {"", "\x00\x17garbage", headBytes, HeadNoAnswer},
		"empty lines":     {"", "\r\n", headBytes, HeadNoAnswer},
		"informational":   {"", "HTTP/1.1 103 Early\r\n\r\n", headBytes, HeadInformational},
		"strays":          {"", ok + "Content-Length: 0\r\nId: other\r\n\r\n", headBytes, HeadStrays},
		"stray body":      {ok + "Id: other\r\n\r\n", "x", strayBytes + 2*headBytes, HeadStrays},
	} {
		source := &endless{beginning: []byte(c.beginning), repeat: []byte(c.repeat)}
		_, err := overConn(source).readAnswer(request("a", ""), never)
		var failed *HeadError
		if !errors.As(err, &failed) || failed.Reason != c.want {
			t.Errorf("%s: %v, want %s", name, err, c.want)
		}
		if source.taken > c.most {
			t.Errorf("%s: %d bytes were taken, bound %d", name, source.taken, c.most)
		}
	}
}

// A head that drips is given up after a bounded time; one that only starts
// late is not: silence before it is the upstream at work.
func TestHeadThatDrips(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := &endless{beginning: []byte("HTTP/1.1 200 OK\r\nA: "), repeat: []byte("b"), pause: 300 * time.Millisecond}
		began := time.Now()
		_, err := overConn(source).readAnswer(request("a", ""), never)
		var failed *HeadError
		if !errors.As(err, &failed) || failed.Reason != HeadTooSlow {
			t.Errorf("%v", err)
		}
		if took := time.Since(began); took > headTime+source.pause {
			t.Errorf("given up after %s", took)
		}
	})
	synctest.Test(t, func(t *testing.T) {
		ours, theirs := net.Pipe()
		go func() {
			time.Sleep(5 * headTime)
			for _, part := range []string{answerOf, "a\r", "\n", "\r", "\n1"} {
				_, _ = io.WriteString(theirs, part)
				time.Sleep(headTime / 10)
			}
			time.Sleep(2 * headTime)
			_, _ = io.WriteString(theirs, "HTTP/1.1 204 No Content\nId: b\n\n")
		}()
		conn := overConn(ours)
		for _, id := range []string{"a", "b"} {
			res, err := conn.readAnswer(request(id, ""), func(h http.Header) bool { return h.Get("Id") == id })
			if err != nil {
				t.Fatal(err)
			}
			if _, err := io.Copy(io.Discard, res.Body); err != nil {
				t.Fatal(err)
			}
		}
	})
}

// Two answers that came in one read: the second needs no further byte.
func TestSecondHeadIsBufferedAlready(t *testing.T) {
	ours, theirs := net.Pipe()
	defer func() { _ = theirs.Close() }()
	go func() { _, _ = io.WriteString(theirs, answerOf+"old\r\n\r\nx"+answerOf+"a\r\n\r\ny") }()
	res, err := overConn(ours).readAnswer(request("a", ""), func(h http.Header) bool { return h.Get("Id") == "a" })
	if err != nil {
		t.Fatal(err)
	}
	if body, err := io.ReadAll(res.Body); err != nil || string(body) != "y" {
		t.Errorf("%q, %v", body, err)
	}
}

// hostileUpstreams is how many upstreams send bytes without end at once.
const hostileUpstreams = 200

// Two hundred upstreams that send heads without end, and hold them just before
// the bound: what they take together fits beside the work of the smallest host.
func TestMemoryOfHeadsWithoutEnd(t *testing.T) {
	const most = 16 << 20 // bytes
	var repeated bytes.Buffer
	for i := 0; repeated.Len() < headBytes-64; i++ {
		repeated.WriteString("A" + strings.Repeat("b", i%50) + ": c\r\n")
	}
	before := heap()
	held := make([]*Conn, 0, hostileUpstreams)
	written := make(chan struct{}, hostileUpstreams)
	for range hostileUpstreams {
		ours, theirs := net.Pipe()
		ctx, cancel := context.WithCancel(context.Background())
		t.Cleanup(cancel)
		go func() {
			_, _ = io.WriteString(theirs, "HTTP/1.1 200 OK\r\n")
			_, _ = theirs.Write(repeated.Bytes())
			written <- struct{}{}
			<-ctx.Done()
			_ = theirs.Close()
		}()
		conn := overConn(ours)
		held = append(held, conn)
		go func() { _, _ = conn.readAnswer(request("a", ""), never) }()
	}
	for range held {
		<-written
	}
	if grown := heap() - before; grown > most {
		t.Errorf("%d bytes of heap, bound %d", grown, most)
	} else {
		t.Logf("%d upstreams: %d KiB", hostileUpstreams, grown>>10)
	}
	runtime.KeepAlive(held)
}

func heap() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// Any bytes: the head is found where the parser finds its end, so that parsing
// never waits for more.
func FuzzHead(f *testing.F) {
	for _, seed := range []string{
		answerOf + "a\r\n\r\n1", "HTTP/1.1 200 OK\n\n", "HTTP/1.1 200 OK\r\nA: b\r\n c\r\n\r\nx", "HTTP/1.1 200 OK\nA: b\n \n\n",
		"HTTP/1.1 200 OK\r\n\r\r\n\r\n", "HTTP/\n\r\n",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		conn := overConn(&endless{beginning: data, repeat: []byte("x")})
		if conn.awaitHead() != nil {
			return
		}
		source := conn.Conn.(*endless)
		source.beginning, source.repeat = nil, nil
		taken := source.taken
		buffered, err := conn.reader.Peek(conn.reader.Buffered())
		if err != nil {
			t.Fatal(err)
		}
		end, ok := headEnd(buffered, 0)
		if !ok {
			t.Fatal("no end")
		}
		if _, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(buffered[:end])), nil); errors.Is(err, io.ErrUnexpectedEOF) {
			t.Fatalf("the parser reads past the end: %q after %d bytes", buffered[:end], taken)
		}
	})
}
