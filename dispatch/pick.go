package dispatch

import (
	"github.com/cardamompier/cardamompier/hosts"
	"github.com/cardamompier/cardamompier/routing"
)

// pick returns a live host of a pool that was not tried, for a call to a
// plain service.
func (d *Dispatcher) pick(pool string, tried map[string]bool) (hosts.Host, bool) {
	return d.route(pool, tried, "", routing.Request{})
}
