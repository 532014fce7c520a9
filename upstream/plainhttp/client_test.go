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

// serveDuplicates starts a service that answers every request on a connection with the
// response to the first request on it. If echo is set, the response carries its request
// id. connections returns the number of connections opened so far.
func serveDuplicates(t *testing.T, echo bool) (address string, connections func() int) {
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
				reader, firstID := bufio.NewReader(conn), ""
				for {
					req, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					id := req.Header.Get(HeaderRequestID)
					if firstID == "" {
						firstID = id
					}
					header := ""
					if echo {
						header = HeaderRequestID + ": " + firstID + "\r\n"
					}
					_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n%s\r\n%s", len(firstID), header, firstID)
				}
			}()
		}
	}()
	return listener.Addr().String(), func() int { return len(opened) }
}

// TestDuplicateResponseReachesNoCaller checks a service that sends a response again in
// place of the response to the next request on a reused connection. No caller may receive
// another request's response, whether or not the service repeats request ids.
func TestDuplicateResponseReachesNoCaller(t *testing.T) {
	for _, echo := range []bool{false, true} {
		address, connections := serveDuplicates(t, echo)
		client := NewClient("u", address, upstream.NewReplyBudget())
		mismatches := 0
		for i := range 6 {
			id := fmt.Sprint("request-", i)
			reply, err := client.Do(t.Context(), upstream.Call{Method: http.MethodGet, Path: "/", RequestID: id})
			var mismatch *MismatchError
			switch {
			case errors.As(err, &mismatch):
				mismatches++
			case err != nil:
				t.Errorf("echo %t: unexpected error %v", echo, err)
			case string(reply.Body) != id:
				t.Errorf("echo %t: %s received the response to %s", echo, id, reply.Body)
			}
		}
		if echo && mismatches == 0 || !echo && connections() != 6 {
			t.Errorf("echo %t: %d mismatched responses, %d connections", echo, mismatches, connections())
		}
	}
}

// TestUnendingHeadFailsTheCall checks that a call fails after a bounded number of bytes and
// within 5 s if the service sends response headers without end.
func TestUnendingHeadFailsTheCall(t *testing.T) {
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
	start := time.Now()
	_, err = NewClient("u", listener.Addr().String(), upstream.NewReplyBudget()).Do(t.Context(), upstream.Call{Method: http.MethodGet, Path: "/", RequestID: "a"})
	if err == nil || time.Since(start) > 5*time.Second {
		t.Errorf("call returned error %v after %s, want an error within 5s", err, time.Since(start))
	}
	if n := <-sent; n > 16<<20 { // allows for socket buffers in addition to maxHeadSize
		t.Errorf("the client read %d bytes of an unending head", n)
	}
}

// endlessHeaders is a reader that yields header lines without end.
type endlessHeaders struct{}

// Read fills p with whole header lines.
func (endlessHeaders) Read(p []byte) (int, error) {
	const line = "A: b\r\n"
	n := 0
	for len(p)-n >= len(line) {
		n += copy(p[n:], line)
	}
	return n, nil
}

// TestDialErrorAfterSentCall covers a service that ends when it has received a call on a reused connection:
// http.Transport sends a GET again by itself, and the new connection is refused. It guards against an error that states
// that such a call did not run.
func TestDialErrorAfterSentCall(t *testing.T) {
	listener, err := net.Listen("tcp", "127.83.1.1:0") // where no other test listens once it is closed
	if err != nil {
		t.Fatal(err)
	}
	received := make(chan string, 8)
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		reader := bufio.NewReader(conn)
		for n := 0; ; n++ {
			req, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			received <- req.Header.Get(HeaderRequestID)
			if n > 0 {
				_ = listener.Close()
				_ = conn.Close()
				return
			}
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n%s: %s\r\n\r\n", HeaderRequestID, req.Header.Get(HeaderRequestID))
		}
	}()
	client := NewClient("h", listener.Addr().String(), nil)
	client.echoesID.Store(true) // calls use pooled connections
	if _, err := client.Do(t.Context(), upstream.Call{RequestID: "r1", Method: http.MethodGet, Path: "/"}); err != nil {
		t.Fatal(err)
	}
	_, err = client.Do(t.Context(), upstream.Call{RequestID: "r2", Method: http.MethodGet, Path: "/"})
	var failed *upstream.Error
	if !errors.As(err, &failed) || failed.NotRun() {
		t.Errorf("got error %v, want one that does not state that the call did not run", err)
	}
	if n := len(received); n != 2 {
		t.Errorf("the service received %d calls, want 2", n)
	}
}
