// Package platform is a stand-in for the platform's services: the key-value
// service and the host list, with an endpoint that tells them to fail.
package platform

import (
	"encoding/json"
	"net/http"
	"sync"

	"github.com/cardamompier/cardamompier/hosts"
	"github.com/cardamompier/cardamompier/hosts/hosthttp"
	"github.com/cardamompier/cardamompier/kv/kvhttp"
	"github.com/cardamompier/cardamompier/kv/kvmem"
)

// Paths of the test endpoints.
const (
	PathFaults = "/standin/faults"
	PathCalls  = "/standin/calls"
	// PathHosts replaces the host list.
	PathHosts = "/standin/hosts"
)

// Platform is the stand-in's state. Use New.
type Platform struct {
	Store  *kvmem.Store
	mu     sync.Mutex
	list   []hosts.Host
	market *market // nil for none
}

// New returns a platform with an empty store and the given hosts.
func New(list []hosts.Host) *Platform {
	return &Platform{Store: kvmem.New(), list: list}
}

// SetHosts replaces the host list.
func (p *Platform) SetHosts(list []hosts.Host) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.list = list
}

// Hosts returns the host list.
func (p *Platform) Hosts() []hosts.Host {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append(append([]hosts.Host{}, p.list...), p.market.hosts()...)
}

// Handler serves the platform's services and the test endpoints.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", kvhttp.Handler(p.Store))
	mux.Handle("GET "+hosthttp.Path, hosthttp.Handler(p.Hosts))
	mux.HandleFunc("POST "+PathFaults, p.serveFaults)
	mux.HandleFunc("POST "+PathHosts, p.serveHosts)
	mux.HandleFunc("GET "+PathCalls, p.serveCalls)
	p.market.register(mux)
	return mux
}

func (p *Platform) serveFaults(w http.ResponseWriter, r *http.Request) {
	var faults kvmem.Faults
	if err := json.NewDecoder(r.Body).Decode(&faults); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.Store.SetFaults(faults)
}

func (p *Platform) serveHosts(w http.ResponseWriter, r *http.Request) {
	var list []hosts.Host
	if err := json.NewDecoder(r.Body).Decode(&list); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.SetHosts(list)
}

func (p *Platform) serveCalls(w http.ResponseWriter, _ *http.Request) {
	_ = json.NewEncoder(w).Encode(p.Store.Calls())
}
