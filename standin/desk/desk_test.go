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

// serveDesk returns the address of a desk that drops the connections of all
// orders but the first, which leaves a connection to be kept alive.
func serveDesk(t *testing.T, d *desk.Desk) string {
	t.Helper()
	d.Options.DropAfterRun = 0
	server := httptest.NewServer(d.Handler())
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// TestOrderIsNotReplayed cuts the connection after the order ran: the adapter
// must say that it may have run, and send it once.
func TestOrderIsNotReplayed(t *testing.T) {
	d := &desk.Desk{}
	client := plainhttp.NewClient("desk", serveDesk(t, d))
	call := upstream.Call{RequestID: "r0", Method: http.MethodPost, Path: "/orders", Body: []byte("{}"), OrderKey: "a/k0"}
	if _, err := client.Do(t.Context(), call); err != nil {
		t.Fatal(err)
	}
	d.Options.DropAfterRun = 1000
	for _, body := range [][]byte{[]byte("{}"), nil} {
		call.RequestID, call.OrderKey, call.Body = "r1", "a/k1"+string(body), body
		_, err := client.Do(t.Context(), call)
		if reason := upstream.ReasonOf(err); reason != upstream.ReasonBroken {
			t.Fatalf("reason %q for an order whose answer was cut off", reason)
		}
		if n := d.Executions()[call.OrderKey]; n != 1 {
			t.Fatalf("the order ran %d times", n)
		}
	}
}

// TestDeskInducesReplay shows that the desk's fault is one that an ordinary
// client answers with a second execution.
func TestDeskInducesReplay(t *testing.T) {
	d := &desk.Desk{}
	url := "http://" + serveDesk(t, d) + "/orders"
	post := func(key string) {
		req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url, bytes.NewReader([]byte("{}")))
		if err != nil {
			t.Fatal(err)
		}
		req.Header.Set("Idempotency-Key", key)
		req.Header.Set(plainhttp.HeaderOrderKey, key)
		if res, err := http.DefaultClient.Do(req); err == nil {
			_, _ = io.Copy(io.Discard, res.Body) // so that the connection is used again
			_ = res.Body.Close()
		}
	}
	post("k0")
	d.Options.DropAfterRun = 1000
	post("k1")
	if n := d.Executions()["k1"]; n < 2 {
		t.Fatalf("an ordinary client ran the order %d times: the desk's fault induces no replay", n)
	}
}
