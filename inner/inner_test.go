package inner_test

import (
	"context"
	"net"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-faster/errors"

	"github.com/cardamompier/cardamompier/inner"
)

type echo struct {
	Text string `cbor:"1,keyasint"`
}

// newPair starts a server with an echo handler (kind 1), a handler that blocks until
// its context is done (kind 2) and one that panics on an empty text (kind 3). It
// returns a client, the server's address and the server.
func newPair(t *testing.T) (*inner.Client, string, *inner.Server) {
	t.Helper()
	server := inner.NewServer()
	inner.Register(server, 1, func(_ context.Context, req echo) (echo, error) {
		if req.Text == "fail" {
			return echo{}, &inner.Failure{Code: "asked"}
		}
		return req, nil
	})
	inner.Register(server, 2, func(ctx context.Context, _ echo) (echo, error) {
		<-ctx.Done()
		return echo{}, nil
	})
	inner.Register(server, 3, func(_ context.Context, req echo) (echo, error) {
		return echo{Text: req.Text[:1]}, nil // panics on an empty text
	})
	web := httptest.NewServer(server)
	client := inner.NewClient()
	t.Cleanup(func() { client.Close(); server.Close(); web.Close() })
	return client, strings.TrimPrefix(web.URL, "http://"), server
}

// reasonOf returns the Reason of the *inner.Error in err's chain, or an empty Reason.
func reasonOf(err error) inner.Reason {
	var failed *inner.Error
	if errors.As(err, &failed) {
		return failed.Reason
	}
	return ""
}

func TestCallReturnsResponseOrTypedError(t *testing.T) {
	client, address, _ := newPair(t)
	var got echo
	if err := client.Call(t.Context(), address, 1, echo{Text: "x"}, &got); err != nil || got.Text != "x" {
		t.Fatalf("call of the echo handler returned %+v, %v", got, err)
	}
	if err := client.Call(t.Context(), address, 1, echo{Text: "fail"}, &got); reasonOf(err) != inner.ReasonHandler {
		t.Fatalf("failing handler: error is %v, want reason handler", err)
	}
	if err := client.Call(t.Context(), address, 9, echo{}, nil); reasonOf(err) != inner.ReasonUnknownKind {
		t.Fatalf("kind without a handler: error is %v, want reason unknown_kind", err)
	}
	if err := client.Call(t.Context(), "127.0.0.1:1", 1, echo{}, nil); reasonOf(err) != inner.ReasonConnect {
		t.Fatalf("address without a listener: error is %v, want reason connect_failed", err)
	}
}

func TestCallFailsWhenConnectionBreaks(t *testing.T) {
	client, address, server := newPair(t)
	failed := make(chan error, 1)
	go func() { failed <- client.Call(context.Background(), address, 2, echo{}, nil) }()
	if err := client.Call(t.Context(), address, 1, echo{Text: "opens"}, nil); err != nil {
		t.Fatal(err)
	}
	server.Close()
	if reason := reasonOf(<-failed); reason != inner.ReasonBroken && reason != inner.ReasonConnect {
		t.Fatalf("reason is %q, want connection_broken or connect_failed", reason)
	}
}

func TestCallReturnsWhenContextExpires(t *testing.T) {
	client, address, _ := newPair(t)
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	if err := client.Call(ctx, address, 2, echo{}, nil); reasonOf(err) != inner.ReasonTimeout && reasonOf(err) != inner.ReasonBroken {
		t.Fatalf("error is %v, want reason timeout or connection_broken", err)
	}
}

// TestCallsToUnresponsiveHostReturnInTime checks that a call to a host that does not
// respond returns when its own context is done. Calls that wait for the same
// connection must not dial one after the other.
func TestCallsToUnresponsiveHostReturnInTime(t *testing.T) {
	unresponsive, err := net.Listen("tcp", "127.0.0.1:0") // accepts connections and never responds
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = unresponsive.Close() }()
	var dials atomic.Int64
	go func() {
		for {
			conn, err := unresponsive.Accept()
			if err != nil {
				return
			}
			defer func() { _ = conn.Close() }()
			dials.Add(1)
		}
	}()
	client := inner.NewClient()
	defer client.Close()
	const slowCalls = 6 // number of calls with a 1 min timeout; each would dial for 1 s
	started := make(chan struct{}, slowCalls)
	for range slowCalls {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
			defer cancel()
			started <- struct{}{}
			_ = client.Call(ctx, unresponsive.Addr().String(), 1, echo{}, nil)
		}()
	}
	for range slowCalls {
		<-started
	}
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	if err := client.Call(ctx, unresponsive.Addr().String(), 1, echo{}, nil); reasonOf(err) != inner.ReasonConnect {
		t.Fatalf("error is %v, want reason connect_failed", err)
	}
	if got := dials.Load(); got >= slowCalls {
		t.Fatalf("a call with a timeout of 50 ms waited for %d dials of other calls", got)
	}
}

// TestPanicOfAHandlerEndsItsCallOnly checks that a call whose handler panics fails
// with ReasonHandler, and that the connection and the process still serve calls.
func TestPanicOfAHandlerEndsItsCallOnly(t *testing.T) {
	client, address, server := newPair(t)
	if err := client.Call(t.Context(), address, 3, echo{}, nil); reasonOf(err) != inner.ReasonHandler {
		t.Errorf("call of the panicking handler: error is %v, want reason handler", err)
	}
	if _, err := server.Handle(t.Context(), 3, []byte{0xa0}); err == nil {
		t.Error("Answer returned no error for the panicking handler")
	}
	var got echo
	if err := client.Call(t.Context(), address, 3, echo{Text: "xy"}, &got); err != nil || got.Text != "x" {
		t.Errorf("call after the panic returned %+v, %v", got, err)
	}
}

// relay passes bytes on between a client and a server. Its connections can be made silent.
type relay struct {
	net.Listener
	target string
	mu     sync.Mutex
	gate   *atomic.Bool
	opened atomic.Int32
}

func newRelay(t *testing.T, target string) *relay {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &relay{Listener: listener, target: target, gate: &atomic.Bool{}}
	t.Cleanup(func() { _ = listener.Close() })
	go r.accept()
	return r
}

func (r *relay) accept() {
	for {
		from, err := r.Accept()
		if err != nil {
			return
		}
		r.opened.Add(1)
		to, err := net.Dial("tcp", r.target)
		if err != nil {
			_ = from.Close()
			continue
		}
		r.mu.Lock()
		gate := r.gate
		r.mu.Unlock()
		go pass(to, from, gate)
		go pass(from, to, gate)
	}
}

// pass copies bytes until the connection ends, and drops them while the gate is closed.
func pass(to, from net.Conn, silent *atomic.Bool) {
	defer func() { _ = to.Close() }()
	buffer := make([]byte, 4096)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		if silent.Load() {
			continue
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

// silence makes the open connections silent. New ones work.
func (r *relay) silence() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.gate.Store(true)
	r.gate = &atomic.Bool{}
}

// TestConnectionThatWentSilentIsReplaced guards against calls between hosts that fail for good, because their connection
// went silent without a reset: copies of the store and evidence of crashes then stay where they are.
func TestConnectionThatWentSilentIsReplaced(t *testing.T) {
	const callTime, bound = 200 * time.Millisecond, 1500 * time.Millisecond
	_, target, _ := newPair(t)
	r := newRelay(t, target)
	client := inner.NewClient()
	defer client.Close()
	call := func() error {
		ctx, cancel := context.WithTimeout(t.Context(), callTime)
		defer cancel()
		return client.Call(ctx, r.Addr().String(), 1, echo{Text: "x"}, nil)
	}
	if err := call(); err != nil {
		t.Fatal(err)
	}
	r.silence()
	began := time.Now()
	for call() != nil {
		if time.Since(began) > bound {
			t.Fatalf("no call was answered for %v after the connection went silent", bound)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// TestBusyHostKeepsItsConnection guards against a connection that is replaced, with all calls under way, because
// some of its calls last long: a host that answers others is not silent.
func TestBusyHostKeepsItsConnection(t *testing.T) {
	_, target, _ := newPair(t)
	r := newRelay(t, target)
	client := inner.NewClient()
	defer client.Close()
	call := func(kind inner.MessageKind, span time.Duration) error {
		ctx, cancel := context.WithTimeout(t.Context(), span)
		defer cancel()
		return client.Call(ctx, r.Addr().String(), kind, echo{Text: "x"}, nil)
	}
	for began := time.Now(); time.Since(began) < 2*time.Second; {
		if err := call(1, time.Second); err != nil {
			t.Fatal(err)
		}
		if call(2, 300*time.Millisecond) == nil {
			t.Fatal("a call of the handler that blocks was answered")
		}
	}
	if n := r.opened.Load(); n != 1 {
		t.Errorf("%d connections were opened, want 1", n)
	}
}
