package stricthttp_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/hashicorp/go-hclog"

	"github.com/cardamompier/cardamompier/cloud"
	"github.com/cardamompier/cardamompier/cloud/cloudhttp"
	"github.com/cardamompier/cardamompier/hosts/hosthttp"
	"github.com/cardamompier/cardamompier/kv"
	"github.com/cardamompier/cardamompier/kv/kvhttp"
	"github.com/cardamompier/cardamompier/platform"
	"github.com/cardamompier/cardamompier/stricthttp"
	"github.com/cardamompier/cardamompier/upstream"
	"github.com/cardamompier/cardamompier/upstream/enginehttp"
	"github.com/cardamompier/cardamompier/upstream/plainhttp"
)

// serve starts a server that reads the head of one request on each connection and passes the connection to answer, which
// it closes afterwards. It returns the server's address.
func serve(t *testing.T, answer func(r *http.Request, conn net.Conn)) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				if req, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					answer(req, conn)
				}
			}()
		}
	}()
	return listener.Addr().String()
}

// client is a client of the system. call sends one call to the server at address; mayHaveRun reports whether its error
// leaves open whether the call ran.
type client struct {
	call       func(ctx context.Context, address string) error
	mayHaveRun func(error) bool
}

// clients returns the clients that call other systems over HTTP, by name.
func clients() map[string]client {
	replies := upstream.NewReplyBudget()
	engine := func(address string) *enginehttp.Client {
		return enginehttp.NewClient("u", address, enginehttp.NewTransport(), replies)
	}
	upstreamMayHaveRun := func(err error) bool {
		var failed *upstream.Error
		return errors.As(err, &failed) && !failed.NotRun()
	}
	kvMayHaveRun := func(err error) bool { return kv.ReasonOf(err) == kv.ReasonUnknown }
	cloudMayHaveRun := func(err error) bool { return cloud.ReasonOf(err) == cloud.ReasonUnknown }
	return map[string]client{
		"plain service": {func(ctx context.Context, address string) error {
			reply, err := plainhttp.NewClient("u", address, replies).Do(ctx, upstream.Call{Method: http.MethodPost, Path: "/", RequestID: "r1", OrderKey: "k", Body: []byte("b")})
			reply.Release()
			return err
		}, upstreamMayHaveRun},
		"engine, generation": {func(ctx context.Context, address string) error {
			_, err := engine(address).Generate(ctx, upstream.GenerateRequest{})
			return err
		}, upstreamMayHaveRun},
		"engine, order": {func(ctx context.Context, address string) error {
			return engine(address).Order(ctx, upstream.Order{})
		}, upstreamMayHaveRun},
		"engine, cache": {func(ctx context.Context, address string) error {
			_, _, err := engine(address).ExportCache(ctx, "s")
			return err
		}, upstreamMayHaveRun},
		"key-value service": {func(ctx context.Context, address string) error {
			_, err := kvhttp.NewClient("http://"+address).CompareAndSwap(ctx, kv.Write{Key: "k"})
			return err
		}, kvMayHaveRun},
		"platform's store": {func(ctx context.Context, address string) error {
			_, err := platform.NewStore(address, hclog.NewNullLogger()).CompareAndSwap(ctx, kv.Write{Key: "k"})
			return err
		}, kvMayHaveRun},
		"platform's duties": {func(ctx context.Context, address string) error {
			return platform.NewDuties(address, "h", hclog.NewNullLogger()).Report(ctx, 1, 1, nil)
		}, cloudMayHaveRun},
		"cloud": {func(ctx context.Context, address string) error {
			return cloudhttp.NewClient("http://"+address).Stop(ctx, "i")
		}, cloudMayHaveRun},
		"host list": {func(ctx context.Context, address string) error {
			_, err := hosthttp.NewClient("http://" + address).List(ctx)
			return err
		}, func(error) bool { return true }},
	}
}

// checkRejected checks that no client takes an answer that begins with the given lines for one: neither its body nor the
// statement that the call did not run.
func checkRejected(t *testing.T, lines string) {
	t.Helper()
	for name, c := range clients() {
		for _, body := range []string{`{}`, `[]`, `{"reason":"refused"}`} {
			address := serve(t, func(_ *http.Request, conn net.Conn) {
				_, _ = io.WriteString(conn, strings.ReplaceAll(lines, "\n", "\r\n")+"\r\n"+body)
			})
			if err := c.call(t.Context(), address); err == nil || !c.mayHaveRun(err) {
				t.Errorf("%s: %q with body %s: got error %v, want one that leaves open whether the call ran", name, lines, body, err)
			}
		}
	}
}

// TestInvalidStatusReachesNoClient guards against an answer whose status HTTP does not have and that a client takes for a
// reply, or for a rejection without effect.
func TestInvalidStatusReachesNoClient(t *testing.T) {
	for _, status := range []string{"000", "099", "+20", "101"} {
		checkRejected(t, "HTTP/1.1 "+status+" X\n")
	}
}

// TestConnectionIsClosedAfterInvalidHead guards against a connection that is used again after an invalid head, although
// it is not known where the response ends.
func TestConnectionIsClosedAfterInvalidHead(t *testing.T) {
	closed := make(chan struct{})
	address := serve(t, func(_ *http.Request, conn net.Conn) {
		_, _ = io.WriteString(conn, "HTTP/1.1 000 X\r\nContent-Length: 0\r\n\r\n")
		_, _ = io.Copy(io.Discard, conn)
		close(closed)
	})
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+address, nil)
	if err != nil {
		t.Fatal(err)
	}
	_, err = stricthttp.NewTransport(&http.Transport{}).RoundTrip(req) //nolint:bodyclose // there is no response
	var invalid *stricthttp.HeadError
	if !errors.As(err, &invalid) || invalid.Reason != stricthttp.InvalidStatus {
		t.Errorf("got error %v, want invalid_status", err)
	}
	select {
	case <-closed:
	case <-time.After(5 * time.Second):
		t.Error("the connection stays open")
	}
}

// TestInvalidFieldNameReachesNoClient guards against an answer with a blank or a control byte in the name of a field. The
// field may be the one that frames the body.
func TestInvalidFieldNameReachesNoClient(t *testing.T) {
	for _, name := range []string{"Bad Name", "Name ", "Name\t", "Bad\x01Name", "Bad\x7fName", "Content-Length "} {
		checkRejected(t, "HTTP/1.1 200 X\n"+name+": 1\n")
		checkRejected(t, "HTTP/1.1 503 X\n"+name+": 1\n")
		checkRejected(t, "HTTP/1.1 103 X\n"+name+": 1\n\nHTTP/1.1 200 X\n")
	}
}

// TestResetUnderUpload covers a reply without a length of which a part arrives before its connection is reset, while the
// call is still being written, and one that ends in order.
func TestResetUnderUpload(t *testing.T) {
	const plays, size = 24, 4 << 20
	for name, c := range map[string]struct {
		end   func(*net.TCPConn)
		whole bool
	}{
		"reset":                    {func(*net.TCPConn) {}, false},
		"end in order":             {func(conn *net.TCPConn) { _ = conn.CloseWrite(); _, _ = io.Copy(io.Discard, conn) }, true},
		"end in order, then reset": {func(conn *net.TCPConn) { _ = conn.CloseWrite() }, true},
	} {
		replies := 0
		for range plays {
			address := serve(t, func(_ *http.Request, conn net.Conn) {
				_, _ = io.WriteString(conn, "HTTP/1.1 200 X\r\nConnection: close\r\n\r\npart")
				tcp := conn.(*net.TCPConn)
				c.end(tcp)
				time.Sleep(20 * time.Millisecond)
				_ = tcp.SetLinger(0)
			})
			reply, err := plainhttp.NewClient("u", address, upstream.NewReplyBudget()).Do(t.Context(), upstream.Call{
				Method: http.MethodPost, Path: "/", RequestID: "r1", OrderKey: "k", Body: make([]byte, size),
			})
			if err == nil && string(reply.Body) == "part" {
				replies++
			}
			reply.Release()
		}
		if c.whole && replies < plays || !c.whole && replies > 0 {
			t.Errorf("%s: %d of %d calls got the reply, want all if it is whole and none otherwise", name, replies, plays)
		}
	}
}
