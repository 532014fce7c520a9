package enginesim

import (
	"encoding/json"
	"io"
	"net/http"

	"github.com/cardamompier/cardamompier/upstream"
)

// PathOrders serves Orders, for tests.
const PathOrders = "/standin/orders"

// Orders are the orders that an engine got from leaders.
type Orders struct {
	// Serving is the order that is in force.
	Serving upstream.Order `json:"serving"`
	Taken   int            `json:"taken"`
	// Refused counts orders with an old fencing number.
	Refused int `json:"refused"`
	// Older counts orders that were taken after one with a greater number,
	// by an engine that ignores them.
	Older   int    `json:"older"`
	Highest uint64 `json:"highest"`
}

// Order takes an order, or refuses one with an old fencing number unless the
// engine ignores them.
func (e *Engine) Order(order upstream.Order) upstream.Reason {
	e.mu.Lock()
	defer e.mu.Unlock()
	old := order.Fence < e.orders.Highest
	if old && !e.options.IgnoreFence {
		e.orders.Refused++
		return upstream.ReasonStaleFence
	}
	if old {
		e.orders.Older++
	}
	e.orders.Taken++
	e.orders.Serving = order
	e.orders.Highest = max(e.orders.Highest, order.Fence)
	return ""
}

// Orders returns the orders that the engine got.
func (e *Engine) Orders() Orders {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.orders
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var order upstream.Order
	if err := json.NewDecoder(io.LimitReader(r.Body, maxBodySize)).Decode(&order); err != nil {
		refuse(w, upstream.ReasonRefused)
		return
	}
	if reason := e.Order(order); reason != "" {
		refuse(w, reason)
	}
}

func (e *Engine) serveOrders(w http.ResponseWriter, _ *http.Request) {
	_ = json.NewEncoder(w).Encode(e.Orders())
}
