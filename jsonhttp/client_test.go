package jsonhttp_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cardamompier/cardamompier/jsonhttp"
	"github.com/cardamompier/cardamompier/stricthttp"
)

// gatedConn delivers no bytes to the server while its gate is closed, as a connection that went silent.
type gatedConn struct {
	net.Conn
	silent *atomic.Bool
	done   chan struct{}
	once   sync.Once
}

func (c *gatedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.silent.Load() && err == nil {
		<-c.done
	}
	return n, err
}

func (c *gatedConn) Close() error {
	c.once.Do(func() { close(c.done) })
	return c.Conn.Close()
}

// gatedListener accepts connections that go silent when its current gate is closed.
type gatedListener struct {
	net.Listener
	mu   sync.Mutex
	gate *atomic.Bool
}

func (l *gatedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return &gatedConn{Conn: conn, silent: l.gate, done: make(chan struct{})}, nil
}

// silence makes the open connections silent. New ones work.
func (l *gatedListener) silence() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.gate.Store(true)
	l.gate = &atomic.Bool{}
}

// TestCallsAfterAllConnectionsWentSilent guards against calls that fail one after the other, each at the end of its
// time, because each uses another idle connection that went silent without a reset.
func TestCallsAfterAllConnectionsWentSilent(t *testing.T) {
	var waiting sync.WaitGroup
	waiting.Add(2)
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/together" {
			waiting.Done()
			waiting.Wait()
		}
		_, _ = w.Write([]byte("{}"))
	}))
	listener := &gatedListener{Listener: server.Listener, gate: &atomic.Bool{}}
	server.Listener = listener
	server.Start()
	defer server.Close()
	client := jsonhttp.NewClient(server.URL, stricthttp.NewTransport)
	call := func(path string) error {
		ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
		defer cancel()
		var answer struct{} // read, so that the connection is used again
		return client.Call(ctx, http.MethodGet, path, nil, &answer)
	}
	var opened sync.WaitGroup
	for range 2 {
		opened.Go(func() {
			if err := call("/together"); err != nil {
				t.Error(err)
			}
		})
	}
	opened.Wait()
	listener.silence()
	if call("/a") == nil {
		t.Fatal("a call on a silent connection was answered")
	}
	if err := call("/b"); err != nil {
		t.Errorf("the call after the first that was not answered failed: %v", err)
	}
}
