// Package platform is a stand-in for the platform's services: the key-value
// service and the host list, with an endpoint that tells them to fail.
package platform

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

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
	Store *kvmem.Store
	// ListLag is how long a change of the host list stays unseen. Zero shows
	// it at once. It is set before the platform serves.
	ListLag time.Duration

	mu     sync.Mutex
	lists  []datedList // in order of time; the first may be shown
	market *market     // nil for none
}

// datedList is a host list with the time when it was set.
type datedList struct {
	at   time.Time
	list []hosts.Host
}

// New returns a platform with an empty store and the given hosts.
func New(list []hosts.Host) *Platform {
	return &Platform{Store: kvmem.New(), lists: []datedList{{list: list}}}
}

// SetHosts replaces the host list; it is shown after ListLag.
func (p *Platform) SetHosts(list []hosts.Host) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lists = append(p.lists, datedList{at: time.Now(), list: list})
}

// Hosts returns the host list as it is shown now.
func (p *Platform) Hosts() []hosts.Host {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.lists) > 1 && time.Since(p.lists[1].at) >= p.ListLag {
		p.lists = p.lists[1:]
	}
	return append(append([]hosts.Host{}, p.lists[0].list...), p.market.hosts()...)
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
