package dispatch_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/cardamompier/cardamompier/apierr"
	"github.com/cardamompier/cardamompier/config"
	"github.com/cardamompier/cardamompier/dispatch"
	"github.com/cardamompier/cardamompier/genlog"
	"github.com/cardamompier/cardamompier/gossip"
	"github.com/cardamompier/cardamompier/hosts"
	"github.com/cardamompier/cardamompier/kv/kvmem"
)

// TestGenerationAfterBrokenAttempt covers a generation that one engine received and did not answer, and that no other
// engine takes. It guards against an error that states that it did not run, by the last attempt alone.
func TestGenerationAfterBrokenAttempt(t *testing.T) {
	var received atomic.Int64
	engine := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if received.Add(1) == 1 {
			panic(http.ErrAbortHandler)
		}
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = w.Write([]byte(`{"reason":"refused"}`))
	}))
	defer engine.Close()
	list := fixedHosts{{ID: "e", Address: engine.Listener.Addr().String(), FailureDomain: "d", Pool: "p", State: hosts.StateLive, Slots: 1}}
	logger := hclog.NewNullLogger()
	d := dispatch.New(hosts.NewPoller(list, time.Second, logger), dispatch.NewIsolation(gossip.NewTable("n"), kvmem.New(), logger), logger)
	log := genlog.NewLog(genlog.Record{RequestID: "r", Prompt: "a", MaxTokens: 4})
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	d.Generate(ctx, dispatch.Generation{Service: &config.Service{Name: "s", Kind: config.KindModel, Pool: "p"}, Log: log})
	chunk, err := log.Read(t.Context(), 0)
	if err != nil || chunk.Failed == nil || ctx.Err() != nil {
		t.Fatalf("got %+v and error %v, want a failed generation", chunk, err)
	}
	if received.Load() > 0 && chunk.Failed.Ran != apierr.RanUnknown {
		t.Errorf("an engine received the generation %d times, and the error says %q (%v)", received.Load(), chunk.Failed.Ran, chunk.Failed)
	}
}
