package cardamompier

import (
	"encoding/json"
	"expvar"
	"net/http"
	"net/http/pprof"
	"time"

	"github.com/samber/do/v2"

	"github.com/cardamompier/cardamompier/config"
	"github.com/cardamompier/cardamompier/inner"
	"github.com/cardamompier/cardamompier/membership"
)

const innerHeaderTimeout = 5 * time.Second

// PathStatus is the path at which the inner listener serves Status as JSON.
const PathStatus = "/status"

// PathRequests is the path at which the inner listener lists the running requests that this
// host owns or holds a copy of.
const PathRequests = "/requests"

// PathUpstreams is the path at which the inner listener lists the upstreams in use.
const PathUpstreams = "/upstreams"

// Status is the status that an entry host reports to operators.
type Status struct {
	Host          string `json:"host"`
	FailureDomain string `json:"failure_domain"`
	// Revision is the revision of the configuration in force; zero when none is known.
	Revision uint64 `json:"revision"`
	Ready    bool   `json:"ready"`
	// NotReady is the reason why the host is not ready; empty when it is ready.
	NotReady string `json:"not_ready,omitempty"`
	// Config is the state of the component that follows the stored configuration.
	Config  config.State `json:"config"`
	Leaving bool         `json:"leaving"`
	// Joined is true when the host has found the other entry hosts or is the first one.
	Joined  bool                `json:"joined"`
	Members []membership.Member `json:"members"`
	// HostListAgeMS is the age of the upstream list in milliseconds.
	HostListAgeMS int64 `json:"host_list_age_ms"`
}

// Status returns the current status of the host.
func (s *Server) Status() Status {
	out := Status{
		Host: s.settings.HostID, FailureDomain: s.settings.FailureDomain,
		Leaving: s.registry.Self().Leaving, Members: s.registry.View().Members, Joined: s.registry.Joined(),
		HostListAgeMS: time.Since(s.poller.Current().ReadAt).Milliseconds(),
	}
	out.Config = s.follower.State()
	out.Revision = out.Config.Revision
	out.NotReady = notReady(out)
	out.Ready = out.NotReady == ""
	return out
}

// notReady returns why a host with this status should get no requests; empty if it should.
func notReady(status Status) string {
	switch {
	case status.Leaving:
		return "leaving"
	case status.Revision == 0 && status.Config.CheckedMS < 0:
		return "neither the platform nor a peer gave a configuration"
	case status.Revision == 0:
		return "no configuration was published"
	default:
		return ""
	}
}

// innerServer returns the HTTP server for operators and other entry hosts; callers must not
// reach it.
func (s *Server) innerServer() *http.Server {
	mux := http.NewServeMux()
	mux.Handle("GET "+inner.Path, do.MustInvoke[*inner.Server](s.injector))
	mux.Handle("GET /debug/vars", expvar.Handler())
	mux.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
	mux.Handle("GET /debug/pprof/heap", pprof.Handler("heap"))
	mux.HandleFunc("GET "+PathStatus, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(s.Status())
	})
	mux.HandleFunc("GET "+PathRequests, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(s.gateway.Requests.Roles())
	})
	mux.HandleFunc("GET "+PathUpstreams, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(s.poller.Current().Hosts)
	})
	return &http.Server{Handler: mux, ReadHeaderTimeout: innerHeaderTimeout, MaxHeaderBytes: maxCallerHeaderBytes}
}
