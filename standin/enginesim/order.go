package enginesim

import (
	"encoding/json"
	"io"
	"net/http"

	"github.com/cardamompier/cardamompier/upstream"
)

// PathOrders serves Orders to tests.
const PathOrders = "/standin/orders"

// Orders counts the orders that an engine received from leaders.
type Orders struct {
	// Serving is the order that the engine accepted last.
	Serving upstream.Order `json:"serving"`
	// Taken counts the accepted orders.
	Taken int `json:"taken"`
	// Refused counts the orders that were rejected for an old fencing number.
	Refused int `json:"refused"`
	// Older counts the orders that were accepted after one with a greater fencing number.
	// It is zero unless Options.IgnoreFence is set.
	Older int `json:"older"`
	// Highest is the greatest fencing number of an accepted order.
	Highest uint64 `json:"highest"`
}

// Order accepts an order. It returns ReasonStaleFence for an order with an old fencing
// number, unless Options.IgnoreFence is set.
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

// Orders returns the last accepted order and the counts of orders.
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
