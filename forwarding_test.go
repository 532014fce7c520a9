package cardamompier

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// A planned stop under load: a request that was accepted in the moment in which
// the host closes is answered; one that does not end does not hold up the stop.
func TestRequestAcceptedAsTheHostCloses(t *testing.T) {
	for name, c := range map[string]struct {
		work     time.Duration
		answered bool
	}{"short": {lastRequests / 5, true}, "endless": {time.Minute, false}} {
		t.Run(name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			accepted := make(chan struct{})
			server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				close(accepted)
				select {
				case <-time.After(c.work):
				case <-r.Context().Done():
				}
				_, _ = io.WriteString(w, "done")
			})}
			go func() { _ = server.Serve(listener) }()
			got := make(chan string, 1)
			go func() {
				res, err := http.Get("http://" + listener.Addr().String())
				if err != nil {
					got <- ""
					return
				}
				defer func() { _ = res.Body.Close() }()
				body, _ := io.ReadAll(res.Body)
				got <- string(body)
			}()
			<-accepted
			ctx, cancel := context.WithTimeout(t.Context(), lastRequests)
			defer cancel()
			began := time.Now()
			served{server: server, listener: listener}.end(ctx)
			if took := time.Since(began); took > drainEnd {
				t.Errorf("the stop took %s", took)
			}
			if body := <-got; (body == "done") != c.answered {
				t.Errorf("the answer is %q", body)
			}
		})
	}
}
