// Package dispatch carries out accepted requests at upstreams: it picks one,
// runs the attempt, and tries again where that is allowed.
//
// The choice itself is made by package routing; the caller's connection is
// the gateway's.
package dispatch

import (
	"net/http"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/cardamompier/cardamompier/hosts"
	"github.com/cardamompier/cardamompier/metrics"
	"github.com/cardamompier/cardamompier/retry"
	"github.com/cardamompier/cardamompier/upstream/enginehttp"
	"github.com/cardamompier/cardamompier/upstream/plainhttp"
)

const (
	maxAttempts  = 4
	retryAfter   = time.Second
	attemptPause = 20 * time.Millisecond
)

// Retries counts repeated attempts by the reason of the failed one.
var Retries = metrics.New("retries_total", "Repeated attempts, by the reason of the failed one.")

// Dispatcher sends work to upstreams.
type Dispatcher struct {
	hosts     *hosts.Poller
	logger    hclog.Logger
	transport *http.Transport
	pools     sync.Map // name to *pool
	budgets   retry.Budgets
	isolation *Isolation

	mu     sync.Mutex
	plains map[string]*plainhttp.Client

	moves moves
}

// New returns a dispatcher over the hosts in the poller's list.
func New(list *hosts.Poller, isolation *Isolation, logger hclog.Logger) *Dispatcher {
	return &Dispatcher{
		hosts: list, logger: logger, isolation: isolation,
		transport: enginehttp.NewTransport(), plains: map[string]*plainhttp.Client{},
	}
}
