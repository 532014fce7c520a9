package main

import (
	"context"
	"encoding/json"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/integrii/flaggy"

	"github.com/cardamompier/cardamompier/control"
	"github.com/cardamompier/cardamompier/kv"
	"github.com/cardamompier/cardamompier/kv/kvhttp"
	"github.com/cardamompier/cardamompier/lease"
	"github.com/cardamompier/cardamompier/upstream"
	"github.com/cardamompier/cardamompier/upstream/enginehttp"
)

const (
	leaderTTL      = 3 * time.Second        // duration of the leader's lease
	leaderInterval = 200 * time.Millisecond // between two reconciliations of the engines
	pathLeader     = "/standin/leader"      // serves a leaderStatus
)

// leader is a test stand-in for a host that competes for the leader lease and, as leader,
// sends orders to the engines. It reads the wanted state of the engines from a file and
// can delay its orders.
type leader struct {
	id, platform, wanted, engines string        // flag values
	delay                         time.Duration // delay of each order
	fence                         atomic.Uint64 // fencing number of the current term; 0 while not leading
	holding                       atomic.Int64  // orders that are being delayed or sent
}

// leaderStatus is the state of the leader that tests can read.
type leaderStatus struct {
	Leading bool   `json:"leading"`
	Fence   uint64 `json:"fence"` // fencing number; 0 while not leading
	// Holding counts the orders that are being delayed or sent.
	Holding int64 `json:"holding"`
}

// flags defines the flags of the leader subcommand.
func (l *leader) flags(c *flaggy.Subcommand) {
	c.String(&l.id, "", "host", "the host's name")
	c.String(&l.platform, "", "platform", "URL of the key-value service")
	c.String(&l.wanted, "", "wanted", "JSON file with the wanted state of each engine")
	c.String(&l.engines, "", "engines", "engines as id=address, with commas")
	c.Duration(&l.delay, "", "order-delay", "time that an order takes on its way")
}

// run campaigns for the lease, reconciles the engines while it holds the lease, and serves
// the status on listen.
func (l *leader) run(listen string) {
	store := kv.NewClient(kvhttp.NewClient(l.platform), kv.Options{})
	logger := hclog.Default().Named(l.id)
	holder := lease.New(store, "engines", l.id, logger, lease.Options{TTL: leaderTTL})
	reconciler := control.New(l, l, logger, leaderInterval)
	go holder.Run(context.Background(), func(ctx context.Context, term *lease.Term) {
		l.fence.Store(term.Fence)
		reconciler.Lead(ctx, term)
		l.fence.Store(0)
	})
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+pathLeader, func(w http.ResponseWriter, _ *http.Request) {
		fence := l.fence.Load()
		_ = json.NewEncoder(w).Encode(leaderStatus{Leading: fence > 0, Fence: fence, Holding: l.holding.Load()})
	})
	serve(listen, mux)
}

// Wanted implements control.WantedStateSource. It returns nil if the file cannot be read or parsed.
func (l *leader) Wanted() map[string]control.WantedState {
	var wanted map[string]control.WantedState
	if data, err := os.ReadFile(l.wanted); err == nil {
		_ = json.Unmarshal(data, &wanted)
	}
	return wanted
}

// Engine implements control.Engines for the engines of the engines flag.
func (l *leader) Engine(id string) (upstream.Engine, bool) {
	for _, pair := range strings.Split(l.engines, ",") {
		name, address, _ := strings.Cut(pair, "=")
		if name == id {
			return slowEngine{enginehttp.NewClient(id, address, enginehttp.NewTransport(), upstream.NewReplyBudget()), l}, true
		}
	}
	return nil, false
}

// slowEngine is an engine client that delays orders as a slow network does: the end of the
// caller's context does not stop a delayed order.
type slowEngine struct {
	upstream.Engine
	leader *leader
}

// Order implements upstream.Engine and sends the order after the leader's delay.
func (e slowEngine) Order(ctx context.Context, order upstream.Order) error {
	e.leader.holding.Add(1)
	defer e.leader.holding.Add(-1)
	time.Sleep(e.leader.delay)
	return e.Engine.Order(context.WithoutCancel(ctx), order)
}
