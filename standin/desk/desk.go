// Package desk is a stand-in for an order desk: a plain service whose calls
// may not be repeated. It counts every execution by order key, so that a test
// can see a second one, and fails in the ways of a real desk.
package desk

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/cardamompier/cardamompier/upstream/plainhttp"
)

// PathExecutions serves the counts of executions by order key, PathRequests
// the request ids that were executed.
const (
	PathExecutions = "/standin/executions"
	PathRequests   = "/standin/requests"
)

// Options are the ways in which a desk fails. The zero value is a healthy desk.
type Options struct {
	// DropAfterRun is the number of first orders whose connection is cut after
	// they ran, before the answer.
	DropAfterRun int
	// Delay is how long an order takes after it was counted.
	Delay time.Duration
	// Refuse answers that the order was not taken.
	Refuse bool
}

// Desk is the stand-in's state. The zero value is ready.
type Desk struct {
	Options    Options
	mu         sync.Mutex
	executions map[string]int
	requests   map[string]int
	jobs       int
}

// Job is the answer to an order.
type Job struct {
	Job   string `json:"job"`
	State string `json:"state"`
}

// Handler serves any path as an order, and the counts.
func (d *Desk) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+PathExecutions, d.serveExecutions)
	mux.HandleFunc("GET "+PathRequests, d.serveRequests)
	mux.HandleFunc("/", d.serveOrder)
	return mux
}

// Executions returns a copy of the counts.
func (d *Desk) Executions() map[string]int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return copyOf(d.executions)
}

// Requests returns how often each request id was executed.
func (d *Desk) Requests() map[string]int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return copyOf(d.requests)
}

func copyOf(counts map[string]int) map[string]int {
	out := make(map[string]int, len(counts))
	for key, n := range counts {
		out[key] = n
	}
	return out
}

func (d *Desk) serveOrder(w http.ResponseWriter, r *http.Request) {
	if d.Options.Refuse {
		http.Error(w, "the desk takes no orders", http.StatusServiceUnavailable)
		return
	}
	job := d.execute(r.Header.Get(plainhttp.HeaderOrderKey), r.Header.Get(plainhttp.HeaderRequestID))
	time.Sleep(d.Options.Delay)
	if job <= d.Options.DropAfterRun {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(Job{Job: fmt.Sprintf("job-%d", job), State: "accepted"})
}

// execute counts an execution and returns the number of its job.
func (d *Desk) execute(key, request string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.executions == nil {
		d.executions, d.requests = map[string]int{}, map[string]int{}
	}
	d.executions[key]++
	d.requests[request]++
	d.jobs++
	return d.jobs
}

func (d *Desk) serveExecutions(w http.ResponseWriter, _ *http.Request) {
	_ = json.NewEncoder(w).Encode(d.Executions())
}

func (d *Desk) serveRequests(w http.ResponseWriter, _ *http.Request) {
	_ = json.NewEncoder(w).Encode(d.Requests())
}
