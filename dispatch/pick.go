package dispatch

import (
	"context"

	"github.com/cardamompier/cardamompier/hosts"
)

// pick returns the next live host of a pool that was not tried.
func (d *Dispatcher) pick(pool string, tried map[string]bool) (hosts.Host, bool) {
	list := d.hosts.Usable(context.Background(), pool)
	start := int(d.next.Add(1))
	for i := range list {
		host := list[(start+i)%len(list)]
		if !tried[host.ID] {
			return host, true
		}
	}
	return hosts.Host{}, false
}
