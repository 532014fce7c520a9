// Package platform is a test stand-in for the platform's services: the key-value service,
// the host list and, optionally, a cloud and a weight store. A test endpoint injects faults
// into the key-value service.
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

// PathFaults, PathCalls and PathHosts are the paths of the test endpoints.
const (
	// PathFaults sets the faults of the key-value service.
	PathFaults = "/standin/faults"
	// PathCalls serves the number of calls to the key-value service by kind, rejected calls
	// included.
	PathCalls = "/standin/calls"
	// PathHosts replaces the host list.
	PathHosts = "/standin/hosts"
)

// Platform is the state of the stand-in. Use New to create one.
type Platform struct {
	Store *kvmem.Store // data of the key-value service
	// ListLag is the delay until readers see a change of the host list. Zero means no
	// delay. Set it before the platform serves requests.
	ListLag time.Duration

	mu     sync.Mutex
	lists  []datedList // the oldest first; earlier lists than the visible one are removed
	market *market     // nil if there is no cloud and no weight store
}

// datedList is a host list with the time at which a test set it.
type datedList struct {
	at   time.Time
	list []hosts.Host
}

// New returns a platform with an empty key-value store and the given host list.
func New(list []hosts.Host) *Platform {
	return &Platform{Store: kvmem.New(), lists: []datedList{{list: list}}}
}

// SetHosts replaces the host list. Readers see the new list after ListLag.
func (p *Platform) SetHosts(list []hosts.Host) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lists = append(p.lists, datedList{at: time.Now(), list: list})
}

// Hosts returns the host list that readers see now, including the hosts of the cloud.
func (p *Platform) Hosts() []hosts.Host {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.lists) > 1 && time.Since(p.lists[1].at) >= p.ListLag {
		p.lists = p.lists[1:]
	}
	return append(append([]hosts.Host{}, p.lists[0].list...), p.market.hosts()...)
}

// Handler returns a handler for the platform's services and the test endpoints.
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
