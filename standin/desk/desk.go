// Package desk is a stand-in for an order desk: a plain service whose calls
// may not be repeated. It counts every execution by order key, so that a test
// can see a second one.
package desk

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"

	"github.com/cardamompier/cardamompier/upstream/plainhttp"
)

// PathExecutions serves the counts of executions by order key.
const PathExecutions = "/standin/executions"

// Desk is the stand-in's state. The zero value is ready.
type Desk struct {
	mu         sync.Mutex
	executions map[string]int
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
	mux.HandleFunc("/", d.serveOrder)
	return mux
}

// Executions returns a copy of the counts.
func (d *Desk) Executions() map[string]int {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := make(map[string]int, len(d.executions))
	for key, n := range d.executions {
		out[key] = n
	}
	return out
}

func (d *Desk) serveOrder(w http.ResponseWriter, r *http.Request) {
	key := r.Header.Get(plainhttp.HeaderOrderKey)
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(Job{Job: fmt.Sprintf("job-%d", d.execute(key)), State: "accepted"})
}

func (d *Desk) execute(key string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.executions == nil {
		d.executions = map[string]int{}
	}
	d.executions[key]++
	return len(d.executions)
}

func (d *Desk) serveExecutions(w http.ResponseWriter, _ *http.Request) {
	_ = json.NewEncoder(w).Encode(d.Executions())
}
