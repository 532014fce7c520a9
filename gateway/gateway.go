// Package gateway serves the HTTP API for callers of client accounts. It authenticates, validates,
// accepts and answers requests, and is the only place that maps typed errors to HTTP statuses.
//
// Package dispatch runs the accepted requests at upstreams.
package gateway

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/danielgtaylor/huma/v2"
	"github.com/danielgtaylor/huma/v2/adapters/humago"
	"github.com/hashicorp/go-hclog"

	"github.com/cardamompier/cardamompier/apierr"
	"github.com/cardamompier/cardamompier/config"
	"github.com/cardamompier/cardamompier/dispatch"
	"github.com/cardamompier/cardamompier/genlog"
	"github.com/cardamompier/cardamompier/inner"
	"github.com/cardamompier/cardamompier/membership"
	"github.com/cardamompier/cardamompier/metrics"
	"github.com/cardamompier/cardamompier/order"
	"github.com/cardamompier/cardamompier/reclaim"
)

const (
	maxBodySize        = 4 << 20 // bytes
	headerTimeout      = 10 * time.Second
	idleTimeout        = 2 * time.Minute
	maxHeaderSize      = 16 << 10 // bytes
	notReadyRetryAfter = time.Second
	apiVersion         = "0.1.0"
	headerRequestID    = "X-Request-Id"
	headerIdempotent   = "Idempotency-Key"
)

// Refusals counts rejected requests by the error code in the response.
var Refusals = metrics.New("refusals_total", "Rejected requests, by the error code in the response.")

// Accepted counts accepted requests, by service.
var Accepted = metrics.New("accepted_total", "Accepted requests, by service.")

// Parts are the components that New assembles into a Gateway.
type Parts struct {
	Config         *config.Follower
	Members        *membership.Registry
	Dispatcher     *dispatch.Dispatcher
	Ledger         order.Ledger
	Quota          Quota
	GenerationLogs *genlog.Store
	Holder         *genlog.Holder
	Peers          *inner.Client
	InnerAPI       *inner.Server
	Logger         hclog.Logger
}

// Quota enforces the request limits of client accounts across all entry hosts.
type Quota interface {
	// Admit counts one request against an account's limit, or returns the refusal when the limit
	// is reached.
	Admit(ctx context.Context, account *config.Account) *apierr.Error
	// AddTokens adds tokens generated for an account to its usage.
	AddTokens(account string, tokens int)
}

// Gateway is the HTTP server for callers. Use New.
type Gateway struct {
	Parts
	// Requests owns the requests that this host accepted, copies them to other entry hosts, and finds
	// requests that another entry host accepted.
	Requests *reclaim.Keeper
	mux      *http.ServeMux
	api      huma.API
	draining atomic.Bool
	gates    gates
	// work counts the requests that run at this host.
	work sync.WaitGroup
	// stopWaiting is closed near the end of a drain, when handlers must stop waiting for answers
	// and reply to their callers.
	stopWaiting chan struct{}
}

// New returns a gateway that uses the given parts and registers its HTTP routes.
func New(parts Parts) *Gateway {
	g := &Gateway{Parts: parts, mux: http.NewServeMux(), stopWaiting: make(chan struct{})}
	g.Requests = reclaim.New(reclaim.Config{
		Members: parts.Members, Client: parts.Peers, Logs: parts.GenerationLogs, Holder: parts.Holder,
		Run: g.RunGeneration, Logger: parts.Logger.Named("reclaim"),
	}, parts.InnerAPI)
	description := huma.DefaultConfig("cardamompier", apiVersion)
	description.CreateHooks = nil // omits huma's $schema links from responses
	g.api = humago.New(g.mux, description)
	g.registerAddresses()
	g.registerChat()
	g.registerRequests()
	g.mux.HandleFunc("/services/{service}/{path...}", g.servePlain)
	return g
}

// Server returns an HTTP server for the gateway with header size and time limits.
func (g *Gateway) Server() *http.Server {
	return &http.Server{
		Handler:           g.mux,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderSize,
	}
}

// API returns the OpenAPI description of the caller-facing endpoints.
func (g *Gateway) API() *huma.OpenAPI { return g.api.OpenAPI() }

// call is an authenticated request to a service.
type call struct {
	account *config.Account
	service *config.Service
}

// authenticate returns the client account whose key the Authorization header contains, and the
// configuration that it was found in.
func (g *Gateway) authenticate(header string) (*config.Account, *config.Snapshot, *apierr.Error) {
	snapshot := g.Config.Current()
	if snapshot == nil {
		return nil, nil, apierr.New(apierr.CodeNotReady, "no configuration is known yet").WithRetryAfter(notReadyRetryAfter)
	}
	key, found := strings.CutPrefix(header, "Bearer ")
	if !found {
		return nil, nil, apierr.New(apierr.CodeUnauthenticated, "an Authorization header with a bearer key is needed")
	}
	account, ok := snapshot.Authenticate(key)
	if !ok {
		return nil, nil, apierr.New(apierr.CodeUnauthenticated, "the key is not known")
	}
	return account, snapshot, nil
}

// authorize authenticates a request and checks that its client account may call the service. It
// rejects every request while the host drains.
func (g *Gateway) authorize(header, service string, kind config.Kind) (call, *apierr.Error) {
	if g.draining.Load() {
		return call{}, apierr.New(apierr.CodeDraining, "this host is stopping; ask another address").WithRetryAfter(notReadyRetryAfter)
	}
	account, snapshot, refusal := g.authenticate(header)
	if refusal != nil {
		return call{}, refusal
	}
	s, ok := snapshot.Services[service]
	if !ok || s.Kind != kind {
		return call{}, apierr.New(apierr.CodeUnknownService, "there is no such service of this kind")
	}
	if !account.Allows(service) {
		return call{}, apierr.New(apierr.CodeForbidden, "the client account may not call this service")
	}
	return call{account: account, service: s}, nil
}

// admit authorizes a request and counts it against its client account's limit.
func (g *Gateway) admit(ctx context.Context, header, service string, kind config.Kind) (call, *apierr.Error) {
	c, refusal := g.authorize(header, service, kind)
	if refusal != nil {
		return call{}, refusal
	}
	return c, g.Quota.Admit(ctx, c.account)
}
