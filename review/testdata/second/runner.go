package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

// run is a request that a runner has begun to work on.
type run struct {
	id       string
	at       time.Time
	complete bool
}

// runner is a stand-in for a runner. It answers streams with events, and other requests with a body.
type runner struct {
	d       *deployment
	id      string
	service string
	zone    string
	address string
	// events is the number of events of a stream, and pause the time between two of them.
	events int
	pause  time.Duration
	// work is the time that another request takes.
	work time.Duration

	server *http.Server
	beats  context.CancelFunc

	mu   sync.Mutex
	runs []*run
}

// stopBeating ends the runner's reports to the store.
func (r *runner) stopBeating() { r.beats() }

// close ends the runner and its channels.
func (r *runner) close() { _ = r.server.Close() }

// startRunner starts a runner and registers it in the store.
func (d *deployment) startRunner(id, service, zone string) *runner {
	r := &runner{d: d, id: id, service: service, zone: zone, events: 20, pause: 100 * time.Millisecond, work: 60 * time.Millisecond}
	listener := listen()
	r.address, r.server = listener.Addr().String(), &http.Server{Handler: http.HandlerFunc(r.serve)}
	go func() { _ = r.server.Serve(listener) }()
	var ctx context.Context
	ctx, r.beats = context.WithCancel(context.Background())
	born := time.Now().UnixMilli()
	go func() {
		for seq := 1; ctx.Err() == nil; seq++ {
			d.store.Put("servers/"+id, map[string]any{
				"service": service, "address": r.address, "zone": zone, "version": "v1", "slots": 64, "state": "ready",
				"cold_left_ms": 0, "seq": seq, "born": born,
			})
			select {
			case <-time.After(1200 * time.Millisecond):
			case <-ctx.Done():
			}
		}
	}()
	return r
}

func (r *runner) begin(id string) *run {
	r.mu.Lock()
	defer r.mu.Unlock()
	b := &run{id: id, at: time.Now()}
	r.runs = append(r.runs, b)
	return b
}

func (r *runner) end(b *run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	b.complete = true
}

// count returns the number of runs so far.
func (r *runner) count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.runs)
}

// ran returns the runs of a request, and whether one was worked on to its end.
func (r *runner) ran(id string) (n int, complete bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, b := range r.runs {
		if b.id == id {
			n++
			complete = complete || b.complete
		}
	}
	return n, complete
}

func (r *runner) serve(w http.ResponseWriter, q *http.Request) {
	id := q.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	if q.Header.Get("Expect-Instance") != r.id {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, q.Body); err != nil {
		return
	}
	b := r.begin(id)
	r.d.record.log("runner %s begins to work on %s", r.id, id)
	w.Header().Set("Response-Seal", "seal-"+id)
	if q.URL.Path[:3] != "/s/" {
		time.Sleep(r.work)
		_, _ = io.WriteString(w, "answer of "+id)
		r.end(b)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	for n := 1; n <= r.events; n++ {
		select {
		case <-q.Context().Done():
			r.d.record.log("runner %s drops %s: its channel has closed", r.id, id)
			return
		case <-time.After(r.pause):
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: x\n\n", n)
		_ = http.NewResponseController(w).Flush()
	}
	r.end(b)
}
