package dispatch

import (
	"github.com/cardamompier/cardamompier/hosts"
	"github.com/cardamompier/cardamompier/routing"
)

// pick selects a live host of a pool that is not in tried, for a call to a plain service (an HTTP
// service that generates no tokens).
func (d *Dispatcher) pick(pool string, tried map[string]bool) (hosts.Host, bool) {
	return d.route(pool, tried, "", routing.Request{})
}
