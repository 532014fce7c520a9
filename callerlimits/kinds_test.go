package callerlimits

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"
)

// kind is a kind of caller that exceeds a limit or stops short of the end of a request.
type kind struct {
	name string
	// count is the number of callers, all at once.
	count int
	// send sends what such a caller sends; head is the beginning of a request with all headers but those of the body's
	// framing, without the empty line at the end.
	send func(conn net.Conn, head string) error
}

const (
	// headLimit and bodyLimit are the limits of the route table.
	headLimit, bodyLimit = 16 << 10, 1 << 20
	// endlessBytes bounds what a caller sends whose request has no end, so that the test ends.
	endlessBytes = 16 << 20
	// sendTimeout bounds how long a caller sends, and holdTime how long it then keeps its connection open.
	sendTimeout, holdTime = 10 * time.Second, 500 * time.Millisecond
)

// repeat writes a text again and again, up to a number of bytes.
func repeat(w io.Writer, text string, bytes int) error {
	block := strings.Repeat(text, 1+(16<<10)/len(text))
	for bytes > 0 {
		n, err := io.WriteString(w, block[:min(len(block), bytes)])
		if err != nil {
			return err
		}
		bytes -= n
	}
	return nil
}

// start writes a text, then repeats another up to a number of bytes.
func start(conn net.Conn, text, again string, bytes int) error {
	if _, err := io.WriteString(conn, text); err != nil {
		return err
	}
	return repeat(conn, again, bytes)
}

// chunk returns a chunk of a body in the chunked coding.
func chunk(size int) string { return fmt.Sprintf("%x\r\n%s\r\n", size, strings.Repeat("x", size)) }

const chunkedEnd = "Transfer-Encoding: chunked\r\n\r\n"

// shortChunks returns a sender of a chunked body that stops short of the body limit, in chunks of one size.
func shortChunks(size int) func(net.Conn, string) error {
	return func(conn net.Conn, head string) error {
		text := chunk(size)
		count := (bodyLimit - 1) / size
		return start(conn, head+chunkedEnd, text, count*len(text)-1)
	}
}

// distinctLines returns header lines with distinct names, which take the most memory for their bytes.
func distinctLines(bytes int) string {
	var b strings.Builder
	for i := 0; b.Len() < bytes; i++ {
		fmt.Fprintf(&b, "a%x:\r\n", i)
	}
	return b.String()[:bytes]
}

// headKinds exceed limits of a request's head. They apply to every listener.
var headKinds = []kind{
	{"heads of one line below the limit", 400, func(conn net.Conn, head string) error {
		return start(conn, head+"A: ", "x", headLimit-len(head)-16)
	}},
	{"heads of many lines below the limit", 400, func(conn net.Conn, head string) error {
		return start(conn, head, distinctLines(headLimit-len(head)-16), headLimit-len(head)-16)
	}},
	{"heads over the limit", 400, func(conn net.Conn, head string) error {
		lines := distinctLines(62 << 10)
		return start(conn, head, lines, len(lines))
	}},
	{"header lines without end", 200, func(conn net.Conn, head string) error {
		return start(conn, head, "Abc: d\r\n", endlessBytes)
	}},
	{"header line without end", 200, func(conn net.Conn, head string) error {
		return start(conn, head+"A: ", "x", endlessBytes)
	}},
	{"request line without end", 200, func(conn net.Conn, _ string) error {
		return start(conn, "GET /", "x", endlessBytes)
	}},
	{"empty lines without end", 200, func(conn net.Conn, _ string) error {
		return start(conn, "", "\r\n", endlessBytes)
	}},
	{"nothing sent", 400, func(net.Conn, string) error { return nil }},
}

// bodyKinds exceed limits of a request's body.
var bodyKinds = []kind{
	{"bodies short of their end in one chunk", 120, shortChunks(bodyLimit - 1)},
	{"bodies short of their end in chunks of 4 kB", 120, shortChunks(4096)},
	{"bodies short of their end in chunks of one byte", 120, shortChunks(1)},
	{"bodies short of their announced length", 120, func(conn net.Conn, head string) error {
		return start(conn, head+fmt.Sprintf("Content-Length: %d\r\n\r\n", bodyLimit), "x", bodyLimit-1)
	}},
	{"bodies announced and not sent", 200, func(conn net.Conn, head string) error {
		_, err := io.WriteString(conn, head+fmt.Sprintf("Content-Length: %d\r\n\r\n", bodyLimit))
		return err
	}},
	{"bodies announced over the limit", 120, func(conn net.Conn, head string) error {
		return start(conn, head+fmt.Sprintf("Content-Length: %d\r\n\r\n", 8*bodyLimit), "x", 8*bodyLimit)
	}},
	{"bodies sent over the limit", 120, func(conn net.Conn, head string) error {
		text := chunk(32 << 10)
		return start(conn, head+chunkedEnd, text, 8*bodyLimit)
	}},
	{"chunks without end", 120, func(conn net.Conn, head string) error {
		return start(conn, head+chunkedEnd, "1\r\nx\r\n", endlessBytes)
	}},
	{"chunk extensions without end", 120, func(conn net.Conn, head string) error {
		return start(conn, head+chunkedEnd+"1;", "x", endlessBytes)
	}},
	{"trailers without end", 120, func(conn net.Conn, head string) error {
		return start(conn, head+chunkedEnd+"0\r\n", "A: b\r\n", endlessBytes)
	}},
}

// unreadAnswers are whole requests whose callers do not read the answers.
var unreadAnswers = kind{"answers that nobody reads", 200, func(conn net.Conn, head string) error {
	_, err := io.WriteString(conn, head+"Content-Length: 0\r\n\r\n")
	return err
}}

// callers are open connections of callers of one kind.
type callers struct {
	conns []net.Conn
}

// play opens the connections of all callers of a kind and returns when each of them has sent what it sends, or can send
// no more. The connections stay open until close.
func (k kind) play(t *testing.T, address, head string) *callers {
	t.Helper()
	c := &callers{conns: make([]net.Conn, k.count)}
	var sending sync.WaitGroup
	for i := range c.conns {
		sending.Go(func() {
			conn, err := net.DialTimeout("tcp", address, sendTimeout)
			if err != nil {
				return // the listener's queue is full, which is allowed
			}
			c.conns[i] = conn
			_ = conn.SetWriteDeadline(time.Now().Add(sendTimeout))
			_ = k.send(conn, head) // the host may close the connection at any time
		})
	}
	sending.Wait()
	time.Sleep(holdTime)
	return c
}

func (c *callers) close() {
	for _, conn := range c.conns {
		if conn != nil {
			_ = conn.Close()
		}
	}
}
