package callerconn

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/cardamompier/cardamompier/membudget"
)

// waitLimit bounds how long a test waits for what must happen; it is no bound that is tested.
const waitLimit = 20 * time.Second

// fixture is a server behind a guard.
type fixture struct {
	guard   *Guard
	address string
}

// start starts a server with a handler behind a guard with the given options.
func start(t *testing.T, o Options, handler http.HandlerFunc) *fixture {
	t.Helper()
	o.Logger = hclog.NewNullLogger()
	if o.HeadBytes == nil {
		o.HeadBytes = func() int64 { return 16 << 10 }
	}
	if o.Silence == 0 {
		o.Silence = time.Hour
	}
	if o.Descriptors == 0 {
		o.Descriptors = 10000
	}
	f := &fixture{guard: New(o)}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f.address = l.Addr().String()
	server := &http.Server{Handler: handler, MaxHeaderBytes: 64 << 10, ReadHeaderTimeout: time.Hour}
	f.guard.Attach(server)
	go func() { _ = server.Serve(f.guard.Callers(l)) }()
	ctx, cancel := context.WithCancel(context.Background())
	go f.guard.Run(ctx)
	t.Cleanup(func() {
		cancel()
		_ = server.Close()
	})
	return f
}

// dial opens a connection and sends a text.
func (f *fixture) dial(t *testing.T, text string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", f.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(waitLimit))
	if _, err := io.WriteString(conn, text); err != nil {
		t.Fatal(err)
	}
	return conn
}

// status reads an answer and returns its status.
func status(t *testing.T, conn net.Conn) int {
	t.Helper()
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatalf("no answer: %v", err)
	}
	_, _ = io.Copy(io.Discard, res.Body)
	return res.StatusCode
}

func await(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for deadline := time.Now().Add(waitLimit); !holds(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("condition does not hold: %s", what)
		}
	}
}

const whole = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"

// readAll is a handler that reads the body and charges it.
func readAll(w http.ResponseWriter, r *http.Request) {
	h := membudget.FromContext(r.Context())
	h.Begin(membudget.PhaseBody)
	body, err := membudget.ReadBody(r.Body, r.ContentLength, h.Grow)
	h.Begin(membudget.PhaseRunning)
	if err != nil {
		w.Header().Set("Connection", "close")
		w.WriteHeader(http.StatusTooManyRequests)
		return
	}
	_, _ = fmt.Fprint(w, body.Len())
}

// TestMemoryIsGivenBack guards against charges that outlive their request or their connection.
func TestMemoryIsGivenBack(t *testing.T) {
	f := start(t, Options{MemoryBytes: 16 << 20}, readAll)
	head := "POST / HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("Abcd: efgh\r\n", 500) + "Content-Length: 100000\r\n\r\n"
	conn := f.dial(t, head+strings.Repeat("x", 100000))
	for range 3 {
		if got := status(t, conn); got != http.StatusOK {
			t.Fatalf("status %d, want 200", got)
		}
		await(t, "an idle connection holds only its own memory", func() bool { return f.guard.budget.Held() == connBytes })
		if _, err := io.WriteString(conn, head+strings.Repeat("x", 100000)); err != nil {
			t.Fatal(err)
		}
	}
	_ = conn.Close()
	await(t, "a closed connection holds nothing", func() bool { return f.guard.budget.Held() == 0 && f.guard.callers.open.Load() == 0 })
}

// TestHeadOverTheLimit guards against heads that are read beyond the limit in force.
func TestHeadOverTheLimit(t *testing.T) {
	f := start(t, Options{MemoryBytes: 16 << 20}, readAll)
	conn := f.dial(t, "GET / HTTP/1.1\r\nHost: h\r\n"+strings.Repeat("Abcd: efgh\r\n", 2000))
	if got := status(t, conn); got != http.StatusRequestHeaderFieldsTooLarge {
		t.Errorf("status %d, want 431", got)
	}
	if got := status(t, f.dial(t, "GET / HTTP/1.1\r\nHost: h\r\nA: "+strings.Repeat("x", 15<<10)+"\r\n\r\n")); got != http.StatusOK {
		t.Errorf("a head below the limit: status %d, want 200", got)
	}
}

// TestConnectionsBeyondTheLimit guards against silent connections that keep out a caller.
func TestConnectionsBeyondTheLimit(t *testing.T) {
	f := start(t, Options{MemoryBytes: 16 << 20, Descriptors: 40}, readAll)
	for range 30 {
		f.dial(t, "")
	}
	await(t, "the pool is full", func() bool { return f.guard.callers.open.Load() >= f.guard.callers.limit })
	await(t, "a request is answered", func() bool {
		conn := f.dial(t, whole)
		defer func() { _ = conn.Close() }()
		res, err := http.ReadResponse(bufio.NewReader(conn), nil)
		return err == nil && res.StatusCode == http.StatusOK
	})
	if open, limit := f.guard.callers.open.Load(), f.guard.callers.limit; open > limit+1 {
		t.Errorf("%d connections are open, limit %d", open, limit)
	}
}

// TestSilentCallers guards against bodies that stop and answers that are not read, which hold memory for good.
func TestSilentCallers(t *testing.T) {
	f := start(t, Options{MemoryBytes: 16 << 20, Silence: 300 * time.Millisecond}, func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			readAll(w, r)
			return
		}
		for block := make([]byte, 64<<10); ; {
			if _, err := w.Write(block); err != nil {
				return
			}
		}
	})
	body := f.dial(t, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\n123")
	if got := status(t, body); got != http.StatusTooManyRequests {
		t.Errorf("a body that stops: status %d, want that of the handler's error", got)
	}
	f.dial(t, whole)
	await(t, "the connections are closed", func() bool { return f.guard.callers.open.Load() == 0 && f.guard.budget.Held() == 0 })
}

// TestSlowBody guards against progress that is taken for silence: a body arrives in parts for longer than the limit.
func TestSlowBody(t *testing.T) {
	f := start(t, Options{MemoryBytes: 16 << 20, Silence: 2 * time.Second}, readAll)
	conn := f.dial(t, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 30\r\n\r\n")
	for range 30 {
		time.Sleep(100 * time.Millisecond)
		if _, err := io.WriteString(conn, "x"); err != nil {
			t.Fatal(err)
		}
	}
	if got := status(t, conn); got != http.StatusOK {
		t.Errorf("status %d, want 200", got)
	}
}

// TestStalledBodyMakesRoom guards against bodies that stop short of their end and keep out others: their callers are
// answered, and another body of the same size is read.
func TestStalledBodyMakesRoom(t *testing.T) {
	const size = 2 << 20
	f := start(t, Options{MemoryBytes: 8 << 20}, readAll)
	head := fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", size)
	var stalled []net.Conn
	for range 4 {
		stalled = append(stalled, f.dial(t, head+strings.Repeat("x", size-100<<10)))
	}
	await(t, "another body is read", func() bool {
		conn := f.dial(t, head)
		defer func() { _ = conn.Close() }()
		_, _ = io.WriteString(conn, strings.Repeat("x", size)) // fails if the request is refused
		res, err := http.ReadResponse(bufio.NewReader(conn), nil)
		return err == nil && res.StatusCode == http.StatusOK
	})
	answered := 0
	for _, conn := range stalled {
		_ = conn.SetReadDeadline(time.Now().Add(time.Second))
		res, err := http.ReadResponse(bufio.NewReader(conn), nil)
		var timeout net.Error
		if err == nil && res.StatusCode == http.StatusTooManyRequests {
			answered++
		} else if !errors.As(err, &timeout) {
			t.Logf("a stalled caller got %v", err)
		}
	}
	if answered == 0 {
		t.Error("no stalled caller was answered")
	}
}

// TestRefusedHeadHasOneAnswer guards against bytes after the refusal of a head that was not read: net/http answered the
// failed read with 400 as well.
func TestRefusedHeadHasOneAnswer(t *testing.T) {
	for name, c := range map[string]struct {
		options Options
		want    int
	}{
		"too large": {Options{MemoryBytes: 16 << 20, HeadBytes: func() int64 { return 1 << 10 }}, http.StatusRequestHeaderFieldsTooLarge},
		"no memory": {Options{MemoryBytes: connBytes + 1<<10}, http.StatusServiceUnavailable},
	} {
		f := start(t, c.options, readAll)
		conn := f.dial(t, "GET / HTTP/1.1\r\nHost: h\r\n"+strings.Repeat("Abcd: efgh\r\n", 1000))
		reader := bufio.NewReader(conn)
		res, err := http.ReadResponse(reader, nil)
		if err != nil || res.StatusCode != c.want {
			t.Errorf("%s: got answer %v and error %v, want %d", name, res, err, c.want)
			continue
		}
		if rest, _ := io.ReadAll(reader); len(rest) > 0 {
			t.Errorf("%s: %q follows the answer", name, rest)
		}
	}
}
