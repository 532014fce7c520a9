package soak

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"
)

const (
	// poisonPart is the prompt part that crashes every upstream that begins an answer on it.
	poisonPart = "dead"
	// crashDowntime is how long an upstream refuses connections after a crash.
	crashDowntime = 600 * time.Millisecond
	// maxPoisonRuns is the number of requests with poisonPart that may reach upstreams: five
	// crashes, then three more.
	maxPoisonRuns = 5 + 3
	// poisonCalls is the number of requests with poisonPart in one round.
	poisonCalls = 16
	// contactSpan is the time after which a host that started must refuse quarantined content.
	contactSpan = 3 * time.Second
)

// crashOnPrompt begins an answer and ends all connections of the upstream.
func (u *upstream) crashOnPrompt(w http.ResponseWriter) {
	u.d.poisonRuns.Add(1)
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	_ = http.NewResponseController(w).Flush()
	time.Sleep(10 * time.Millisecond) // until the proxy has passed the head on
	u.proxy.refuse(crashDowntime)
	panic(http.ErrAbortHandler)
}

// checkPoisonPart sends requests with poisonPart, no two alike, to all hosts in turn, before and
// after all hosts are killed at once. It checks how many reach upstreams, and that requests with the
// same first part are served.
func (d *deployment) checkPoisonPart(t *testing.T) {
	client := newClient()
	stream := kinds[2]
	served := 0
	for round := range 2 {
		for i := range poisonCalls {
			address := d.hosts[i%len(d.hosts)].listen
			stream.prompt = fmt.Sprintf("f1:50,%s:30,%x:20", poisonPart, 1000*(round+1)+i)
			d.call(context.Background(), client, address, stream)
			stream.prompt = fmt.Sprintf("f1:50,%x:20", 5000*(round+1)+i)
			if d.call(context.Background(), client, address, stream) == "served" {
				served++
			}
			time.Sleep(100 * time.Millisecond)
		}
		if round == 0 {
			d.killAllHosts(t)
			for _, h := range d.hosts {
				await(t, recoverSpan, h.name+" is ready after all hosts were killed", h.isReady)
			}
			time.Sleep(contactSpan)
		}
	}
	if runs := d.poisonRuns.Load(); runs == 0 || runs > maxPoisonRuns {
		t.Errorf("BUDGET: %d requests with a part that crashes upstreams reached upstreams, want 1 to %d", runs, maxPoisonRuns)
	}
	if served < 2*poisonCalls*9/10 {
		t.Errorf("LOST: %d of %d sound requests with the same first part were served", served, 2*poisonCalls)
	}
}
