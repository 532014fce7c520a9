// Package dispatch runs accepted requests at upstreams: it selects an upstream
// for each attempt, runs the attempt, and retries after a failure where the
// request's service and the retry budgets allow a retry.
//
// Package routing ranks the upstreams, and package gateway owns the caller's
// connection.
package dispatch

import (
	"net/http"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/cardamompier/cardamompier/hosts"
	"github.com/cardamompier/cardamompier/metrics"
	"github.com/cardamompier/cardamompier/retry"
	"github.com/cardamompier/cardamompier/upstream"
	"github.com/cardamompier/cardamompier/upstream/enginehttp"
	"github.com/cardamompier/cardamompier/upstream/plainhttp"
)

const (
	maxAttempts  = 4
	retryAfter   = time.Second
	attemptPause = 20 * time.Millisecond
)

// Retries counts retries by the reason for which the previous attempt failed.
var Retries = metrics.New("retries_total", "Retries, by the reason for which the previous attempt failed.")

// Dispatcher runs generations and calls at upstreams. Use New.
type Dispatcher struct {
	hosts     *hosts.Poller
	logger    hclog.Logger
	transport http.RoundTripper // to engines
	pools     sync.Map          // from pool name to *pool
	budgets   retry.Budgets
	isolation *Isolation
	replies   *upstream.ReplyBudget

	mu           sync.Mutex
	plainClients map[string]*plainhttp.Client // by host id and address

	attempts attemptRegistry
}

// New returns a dispatcher that sends work to the hosts in the poller's list.
func New(list *hosts.Poller, isolation *Isolation, logger hclog.Logger) *Dispatcher {
	return &Dispatcher{
		hosts: list, logger: logger, isolation: isolation,
		transport: enginehttp.NewTransport(), replies: upstream.NewReplyBudget(), plainClients: map[string]*plainhttp.Client{},
	}
}
