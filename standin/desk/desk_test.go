package desk_test

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/cardamompier/cardamompier/standin/desk"
	"github.com/cardamompier/cardamompier/upstream"
	"github.com/cardamompier/cardamompier/upstream/plainhttp"
)

// serveDesk starts the desk's server without faults and returns its address. Tests send
// one order before they set a fault, so that the client has an idle connection to reuse.
func serveDesk(t *testing.T, d *desk.Desk) string {
	t.Helper()
	d.Options.DropAfterRun = 0
	server := httptest.NewServer(d.Handler())
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// TestOrderIsNotReplayed closes the connection after the desk has executed an order. The
// adapter must report that the order may have run, and must send it only once.
func TestOrderIsNotReplayed(t *testing.T) {
	d := &desk.Desk{}
	client := plainhttp.NewClient("desk", serveDesk(t, d), upstream.NewReplyBudget())
	call := upstream.Call{RequestID: "r0", Method: http.MethodPost, Path: "/orders", Body: []byte("{}"), OrderKey: "a/k0"}
	if _, err := client.Do(t.Context(), call); err != nil {
		t.Fatal(err)
	}
	d.Options.DropAfterRun = 1000
	for _, body := range [][]byte{[]byte("{}"), nil} {
		call.RequestID, call.OrderKey, call.Body = "r1", "a/k1"+string(body), body
		_, err := client.Do(t.Context(), call)
		if reason := upstream.ReasonOf(err); reason != upstream.ReasonBroken {
			t.Fatalf("got reason %q for an order whose connection broke before the answer", reason)
		}
		if n := d.Executions()[call.OrderKey]; n != 1 {
			t.Fatalf("the desk executed the order %d times, want 1", n)
		}
	}
}

// TestDeskInducesReplay checks that the closed connection makes an ordinary HTTP client
// send the order again, so that the desk executes it more than once.
func TestDeskInducesReplay(t *testing.T) {
	d := &desk.Desk{}
	url := "http://" + serveDesk(t, d) + "/orders"
	post := func(key string) {
		req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url, bytes.NewReader([]byte("{}")))
		if err != nil {
			t.Fatal(err)
		}
		req.Header.Set("Idempotency-Key", key)
		req.Header.Set(plainhttp.HeaderIdempotencyKey, key)
		if res, err := http.DefaultClient.Do(req); err == nil {
			_, _ = io.Copy(io.Discard, res.Body) // lets the client reuse the connection
			_ = res.Body.Close()
		}
	}
	post("k0")
	d.Options.DropAfterRun = 1000
	post("k1")
	if n := d.Executions()["k1"]; n < 2 {
		t.Fatalf("the desk executed the order of an ordinary client %d times: its fault causes no replay", n)
	}
}
