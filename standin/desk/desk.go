// Package desk is a test stand-in for an order desk, a plain HTTP service whose calls
// are not idempotent. It counts every execution by order key, so that a test can detect
// a repeated one, and can be set to fail as a real desk does.
package desk

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/cardamompier/cardamompier/upstream/plainhttp"
)

// PathExecutions serves the number of executions by order key, PathRequests the number
// of executions by request id.
const (
	PathExecutions = "/standin/executions"
	PathRequests   = "/standin/requests"
)

// Options configure the failures of a desk. The zero value is a healthy desk.
type Options struct {
	// DropAfterRun is the number of orders, from the first one on, for which the desk
	// executes the order and then closes the connection without an answer.
	DropAfterRun int
	// Delay is the time between the count of an execution and the answer.
	Delay time.Duration
	// Refuse makes the desk reject every order with status 503 and execute none.
	Refuse bool
}

// Desk is the state of the stand-in. The zero value is ready to use.
type Desk struct {
	Options    Options
	mu         sync.Mutex
	executions map[string]int // executions by order key
	requests   map[string]int // executions by request id
	jobs       int            // executions in total
}

// Job is the body of the answer to an executed order.
type Job struct {
	Job   string `json:"job"`
	State string `json:"state"`
}

// Handler returns a handler that serves the counts on the test paths and accepts an
// order on any other path.
func (d *Desk) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+PathExecutions, d.serveExecutions)
	mux.HandleFunc("GET "+PathRequests, d.serveRequests)
	mux.HandleFunc("/", d.serveOrder)
	return mux
}

// Executions returns the number of executions by order key.
func (d *Desk) Executions() map[string]int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return copyOf(d.executions)
}

// Requests returns the number of executions by request id.
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
	job := d.execute(r.Header.Get(plainhttp.HeaderIdempotencyKey), r.Header.Get(plainhttp.HeaderRequestID))
	time.Sleep(d.Options.Delay)
	if job <= d.Options.DropAfterRun {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(Job{Job: fmt.Sprintf("job-%d", job), State: "accepted"})
}

// execute counts an execution and returns its job number, from 1 on.
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
