package plainhttp

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/go-faster/errors"

	"github.com/cardamompier/cardamompier/upstream"
)

// copiesLate serves each connection: it answers a request, and once the next one
// has come sends the answer before again in place of it. It says how many
// connections there were.
func copiesLate(t *testing.T, echo bool) (address string, connections func() int) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	opened := make(chan struct{}, 64)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			opened <- struct{}{}
			go func() {
				defer func() { _ = conn.Close() }()
				reader, last := bufio.NewReader(conn), ""
				for {
					req, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					id := req.Header.Get(HeaderRequestID)
					if last == "" {
						last = id
					}
					head := ""
					if echo {
						head = HeaderRequestID + ": " + last + "\r\n"
					}
					_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n%s\r\n%s", len(last), head, last)
				}
			}()
		}
	}()
	return listener.Addr().String(), func() int { return len(opened) }
}

// A service that sends a second copy of an answer, late, on a connection that is
// in use again: no caller gets another's answer, whether the service repeats the
// request's id or not.
func TestSecondCopyOfAnAnswerIsNobodys(t *testing.T) {
	for _, echo := range []bool{false, true} {
		address, connections := copiesLate(t, echo)
		client := NewClient("u", address)
		strays := 0
		for i := range 6 {
			id := fmt.Sprint("request-", i)
			reply, err := client.Do(t.Context(), upstream.Call{Method: http.MethodGet, Path: "/", RequestID: id})
			var stray *StrayError
			switch {
			case errors.As(err, &stray):
				strays++
			case err != nil:
				t.Errorf("echo %t: %v", echo, err)
			case string(reply.Body) != id:
				t.Errorf("echo %t: %s got the answer of %s", echo, id, reply.Body)
			}
		}
		if echo && strays == 0 || !echo && connections() != 6 {
			t.Errorf("echo %t: %d strays, %d connections", echo, strays, connections())
		}
	}
}

// Bytes without end in a head: the call fails within a bounded number of them.
func TestHeadWithoutEnd(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	sent := make(chan int, 1)
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n")
		n, _ := io.Copy(conn, io.LimitReader(endlessHeaders{}, 64<<20))
		sent <- int(n)
	}()
	began := time.Now()
	_, err = NewClient("u", listener.Addr().String()).Do(t.Context(), upstream.Call{Method: http.MethodGet, Path: "/", RequestID: "a"})
	if err == nil || time.Since(began) > 5*time.Second {
		t.Errorf("%v after %s", err, time.Since(began))
	}
	if n := <-sent; n > 16<<20 { // what the system buffers, and the bound
		t.Errorf("%d bytes were taken", n)
	}
}

// endlessHeaders is header lines without end.
type endlessHeaders struct{}

func (endlessHeaders) Read(p []byte) (int, error) {
	const line = "A: b\r\n"
	n := 0
	for len(p)-n >= len(line) {
		n += copy(p[n:], line)
	}
	return n, nil
}
