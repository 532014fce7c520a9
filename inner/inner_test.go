package inner_test

import (
	"context"
	"net"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-faster/errors"

	"github.com/cardamompier/cardamompier/inner"
)

type echo struct {
	Text string `cbor:"1,keyasint"`
}

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
		return echo{Text: req.Text[:1]}, nil // an empty text is one that the author did not expect
	})
	web := httptest.NewServer(server)
	client := inner.NewClient()
	t.Cleanup(func() { client.Close(); server.Close(); web.Close() })
	return client, strings.TrimPrefix(web.URL, "http://"), server
}

func reasonOf(err error) inner.Reason {
	var failed *inner.Error
	if errors.As(err, &failed) {
		return failed.Reason
	}
	return ""
}

func TestCallAnswersOrFailsTyped(t *testing.T) {
	client, address, _ := newPair(t)
	var got echo
	if err := client.Call(t.Context(), address, 1, echo{Text: "x"}, &got); err != nil || got.Text != "x" {
		t.Fatalf("got %+v, %v", got, err)
	}
	if err := client.Call(t.Context(), address, 1, echo{Text: "fail"}, &got); reasonOf(err) != inner.ReasonHandler {
		t.Fatalf("handler failure: %v", err)
	}
	if err := client.Call(t.Context(), address, 9, echo{}, nil); reasonOf(err) != inner.ReasonUnknownKind {
		t.Fatalf("unknown kind: %v", err)
	}
	if err := client.Call(t.Context(), "127.0.0.1:1", 1, echo{}, nil); reasonOf(err) != inner.ReasonConnect {
		t.Fatalf("no listener: %v", err)
	}
}

func TestCallFailsWhenTheConnectionBreaks(t *testing.T) {
	client, address, server := newPair(t)
	failed := make(chan error, 1)
	go func() { failed <- client.Call(context.Background(), address, 2, echo{}, nil) }()
	if err := client.Call(t.Context(), address, 1, echo{Text: "opens"}, nil); err != nil {
		t.Fatal(err)
	}
	server.Close()
	if reason := reasonOf(<-failed); reason != inner.ReasonBroken && reason != inner.ReasonConnect {
		t.Fatalf("reason %q", reason)
	}
}

func TestCallEndsWithItsContext(t *testing.T) {
	client, address, _ := newPair(t)
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	if err := client.Call(ctx, address, 2, echo{}, nil); reasonOf(err) != inner.ReasonTimeout && reasonOf(err) != inner.ReasonBroken {
		t.Fatalf("got %v", err)
	}
}

// TestCallsToASilentHostEndInTime: calls that wait for the same dial end with
// their own contexts, not one dial after the other.
func TestCallsToASilentHostEndInTime(t *testing.T) {
	silent, err := net.Listen("tcp", "127.0.0.1:0") // accepts and never answers
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = silent.Close() }()
	var dials atomic.Int64
	go func() {
		for {
			conn, err := silent.Accept()
			if err != nil {
				return
			}
			defer func() { _ = conn.Close() }()
			dials.Add(1)
		}
	}()
	client := inner.NewClient()
	defer client.Close()
	const patient = 6 // calls that dial for a second each
	begun := make(chan struct{}, patient)
	for range patient {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
			defer cancel()
			begun <- struct{}{}
			_ = client.Call(ctx, silent.Addr().String(), 1, echo{}, nil)
		}()
	}
	for range patient {
		<-begun
	}
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	if err := client.Call(ctx, silent.Addr().String(), 1, echo{}, nil); reasonOf(err) != inner.ReasonConnect {
		t.Fatalf("got %v", err)
	}
	if got := dials.Load(); got >= patient {
		t.Fatalf("a call with 50 ms waited for %d dials of others", got)
	}
}

// A message that a handler does not expect makes it panic: the call fails with a
// type, the connection and the process go on.
func TestPanicOfAHandlerEndsItsCallOnly(t *testing.T) {
	client, address, server := newPair(t)
	if err := client.Call(t.Context(), address, 3, echo{}, nil); reasonOf(err) != inner.ReasonHandler {
		t.Errorf("the call: %v", err)
	}
	if _, err := server.Answer(t.Context(), 3, []byte{0xa0}); err == nil {
		t.Error("no error over another transport")
	}
	var got echo
	if err := client.Call(t.Context(), address, 3, echo{Text: "xy"}, &got); err != nil || got.Text != "x" {
		t.Errorf("the next call: %+v, %v", got, err)
	}
}
